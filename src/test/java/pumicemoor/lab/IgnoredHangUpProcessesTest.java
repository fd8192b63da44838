package pumicemoor.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a router that keeps its old coordinator because SIGHUP is ignored in its process, as under nohup: it
 * must notice the change of its configuration file by itself.
 */
class IgnoredHangUpProcessesTest {

    private static final long DRAIN_GRACE_MILLIS = 1_000; // stop-sending-within-us in LabConfig
    private static final long MAX_RELOAD_MILLIS = 1_000;
    private static final String DRAINED = "box-1";

    @TempDir
    Path folder;

    @Test
    void aProcessThatIgnoresSighupFollowsANewCoordinator() throws Exception {
        ExecutorService executor = Executors.newCachedThreadPool();
        try (FleetRig rig = new FleetRig(folder, 1, 4, 200, "");
                CoordinatorStandIn next = new CoordinatorStandIn(executor, 0, 5)) {
            RouterProcess router = rig.routers.get(0);
            router.kill();
            router.ignoreSighup();
            rig.start(0);
            router.awaitReady();
            rig.runLoad(1);
            assertTrue(rig.receivedAtMillis(DRAINED).length > 0, "the cache received no requests before its drain");
            rig.moveCoordinator(0, next);
            Thread.sleep(MAX_RELOAD_MILLIS);
            rig.drain(DRAINED);
            rig.runLoad(3);
            long drainStartMillis = rig.requestLog.drainStartMillis().get(DRAINED);
            assertEquals(
                    List.of(),
                    rig.requestLog.requests().stream()
                            .filter(request -> request.member().equals(DRAINED)
                                    && request.atMillis() > drainStartMillis + DRAIN_GRACE_MILLIS)
                            .toList());
            assertEquals("1", router.status().get("reloads"));
        } finally {
            executor.shutdownNow();
        }
    }
}
