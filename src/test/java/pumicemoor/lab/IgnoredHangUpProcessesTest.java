package pumicemoor.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A router whose parent had it ignore SIGHUP, as nohup does, and whose coordinator moves. */
class IgnoredHangUpProcessesTest {

    private static final long DRAIN_GRACE = 1_000; // milliseconds, of the settings in LabConfig
    private static final long RELOAD_WITHIN = 1_000; // milliseconds
    private static final String DRAINED = "box-1";

    @TempDir
    Path folder;

    @Test
    void aNewCoordinatorIsFollowedByAProcessThatCannotBeSentSighup() throws Exception {
        ExecutorService work = Executors.newCachedThreadPool();
        try (FleetRig rig = new FleetRig(folder, 1, 4, 200, "");
                CoordinatorStandIn next = new CoordinatorStandIn(work, 0, 5)) {
            RouterProcess router = rig.routers.get(0);
            router.kill();
            router.ignoreHangUp();
            rig.start(0);
            router.awaitReady();
            rig.play(1);
            assertTrue(rig.cameTo(DRAINED).length > 0, "the cache is not used at all");
            rig.movesTo(0, next);
            Thread.sleep(RELOAD_WITHIN);
            rig.drain(DRAINED);
            rig.play(3);
            long drained = rig.record.drainedAt().get(DRAINED);
            assertEquals(
                    List.of(),
                    rig.record.asked().stream()
                            .filter(a -> a.member().equals(DRAINED) && a.at() > drained + DRAIN_GRACE)
                            .toList());
            assertEquals("1", router.status().get("reloads"));
        } finally {
            work.shutdownNow();
        }
    }
}
