package pumicemoor.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pumicemoor.client.FrameClient;

/**
 * Guards against a router that delays new connections after a failed accept. Every second accept call of the process
 * fails as if no file descriptor were left, by a library that the test builds and preloads.
 */
class AcceptFailuresProcessesTest {

    private static final int CONNECTIONS = 20;
    private static final long MAX_RESPONSE_MILLIS = 500;

    @TempDir
    Path folder;

    @Test
    void aFailedAcceptDoesNotDelayNewConnectionsByASecond() throws Exception {
        Path library = Preload.build(folder, "acceptfail.c");
        try (FleetRig rig = new FleetRig(folder, 1, 1, 50, "")) {
            RouterProcess router = rig.routers.get(0);
            router.kill();
            router.setEnvironment(Map.of("LD_PRELOAD", library.toString()));
            rig.start(0);
            router.awaitReady();
            String[] address = router.address().split(":");
            for (int i = 0; i < CONNECTIONS; i++) {
                long startNanos = System.nanoTime();
                try (FrameClient client = new FrameClient(address[0], Integer.parseInt(address[1]))) {
                    assertEquals(1, client.request(1, Map.of(), 2).code());
                }
                long millis = (System.nanoTime() - startNanos) / 1_000_000;
                assertTrue(millis < MAX_RESPONSE_MILLIS, () -> "response took " + millis + " ms");
            }
            assertTrue(Integer.parseInt(router.status().get("accept-failed")) >= CONNECTIONS / 2);
        }
    }
}
