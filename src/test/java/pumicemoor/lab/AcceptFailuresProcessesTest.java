package pumicemoor.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pumicemoor.client.FrameClient;

/** A router process in which accept fails, by a library that the test builds and preloads. */
class AcceptFailuresProcessesTest {

    private static final int CONNECTIONS = 20;
    private static final long LONGEST_WAIT = 500; // milliseconds

    @TempDir
    Path folder;

    @Test
    void aFailedAcceptDoesNotKeepNewConnectionsWaitingForASecond() throws Exception {
        Path library = Preload.build(folder, "acceptfail.c");
        try (FleetRig rig = new FleetRig(folder, 1, 1, 50, "")) {
            RouterProcess router = rig.routers.get(0);
            router.kill();
            router.environment(Map.of("LD_PRELOAD", library.toString()));
            rig.start(0);
            router.awaitReady();
            String[] address = router.address().split(":");
            for (int i = 0; i < CONNECTIONS; i++) {
                long began = System.nanoTime();
                try (FrameClient client = new FrameClient(address[0], Integer.parseInt(address[1]))) {
                    assertEquals(1, client.ask(1, Map.of(), 2).code());
                }
                long millis = (System.nanoTime() - began) / 1_000_000;
                assertTrue(millis < LONGEST_WAIT, () -> "answered after " + millis + " ms");
            }
            assertTrue(Integer.parseInt(router.status().get("accept-failed")) >= CONNECTIONS / 2);
        }
    }
}
