package pumicemoor.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pumicemoor.lab.LoadClients.RequestOutcome;
import pumicemoor.lab.LoadClients.RequestResult;

/**
 * Guards against a restarted router that forwards by an outdated list of members: a cache begins to drain during the
 * restart, while the coordinator's stream is late or reset.
 */
class StaleStartProcessesTest {

    private static final long DRAIN_GRACE_MILLIS = 1_000; // stop-sending-within-us in LabConfig
    private static final String DRAINED = "box-1";
    private static final double REQUESTS_PER_SECOND = 50;
    private static final long NEVER_MILLIS = 3_600_000; // longer than the test

    @TempDir
    Path folder;

    @Test
    void noRequestGoesToACacheThatDrainsWhileTheRouterStartsAndTheCoordinatorIsOverloaded() throws Exception {
        try (FleetRig rig = new FleetRig(folder, 1, 4, REQUESTS_PER_SECOND, "")) {
            restartDuringADrain(rig, () -> {
                rig.coordinator.delayStreams(2_500);
                rig.start(0);
            });
        }
    }

    @Test
    void noRequestGoesToACacheThatDrainsWhileTheRouterStartsAndItsFirstStreamsAreReset() throws Exception {
        try (FleetRig rig = new FleetRig(folder, 1, 4, REQUESTS_PER_SECOND, "")) {
            restartDuringADrain(rig, () -> {
                rig.coordinator.resetNext(20);
                rig.start(0);
            });
        }
    }

    @Test
    void aCoordinatorConfiguredDuringTheStartBySighupIsFollowedBeforeTheRouterListens() throws Exception {
        ExecutorService executor = Executors.newCachedThreadPool();
        try (FleetRig rig = new FleetRig(folder, 1, 4, REQUESTS_PER_SECOND, "");
                CoordinatorStandIn next = new CoordinatorStandIn(executor, 0, 5)) {
            restartDuringADrain(rig, () -> {
                rig.coordinator.delayStreams(NEVER_MILLIS);
                rig.start(0);
                rig.awaitLogged(0, "is being followed");
                rig.moveCoordinator(0, next);
                rig.routers.get(0).reload();
            });
            assertEquals("0", rig.routers.get(0).status().get("started-unsynced"));
        } finally {
            executor.shutdownNow();
        }
    }

    /** Injects a fault of the coordinator and starts the router. */
    private interface FaultyStart {
        void run() throws Exception;
    }

    private static void restartDuringADrain(FleetRig rig, FaultyStart start) throws Exception {
        rig.runLoad(2);
        assertTrue(rig.receivedAtMillis(DRAINED).length > 0, "the cache received no requests before its drain");
        rig.routers.get(0).kill();
        start.run();
        rig.drain(DRAINED);
        rig.runLoad(9);
        Thread.sleep(1_000);
        long endMillis = rig.requestLog.nowMillis();
        List<RequestResult> lastResults = rig.clients.completed().stream()
                .filter(result -> result.sentAtMillis() > endMillis - 3_000)
                .toList();
        assertTrue(
                lastResults.size() > REQUESTS_PER_SECOND,
                () -> "requests of the last 3 seconds: " + lastResults.size());
        assertTrue(
                lastResults.stream().allMatch(result -> result.outcome() == RequestOutcome.SERVED),
                "not all requests are served after the restart: " + lastResults);
        long drainStartMillis = rig.requestLog.drainStartMillis().get(DRAINED);
        assertEquals(
                List.of(),
                rig.requestLog.requests().stream()
                        .filter(request -> request.member().equals(DRAINED)
                                && request.atMillis() > drainStartMillis + DRAIN_GRACE_MILLIS)
                        .toList());
    }
}
