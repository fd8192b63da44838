package pumicemoor.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pumicemoor.lab.LoadClients.RequestOutcome;

/**
 * Guards against a router that forwards queued requests by an outdated list of members after a pause. While the router
 * is stopped, its coordinator stream is reset, a cache begins to drain, and requests arrive.
 */
class PausedRouterProcessesTest {

    private static final long DRAIN_GRACE_MILLIS = 1_000; // stop-sending-within-us in LabConfig
    private static final String DRAINED = "box-1";

    @TempDir
    Path folder;

    @Test
    void noRequestGoesToACacheThatDrainedWhileTheRouterWasPausedAndItsStreamWasReset() throws Exception {
        try (FleetRig rig = new FleetRig(folder, 1, 4, 40, "")) {
            rig.runLoad(2);
            assertTrue(rig.receivedAtMillis(DRAINED).length > 0, "the cache received no requests before its drain");
            RouterProcess router = rig.routers.get(0);
            router.signal("STOP");
            rig.coordinator.resetOpen();
            rig.drain(DRAINED);
            Thread.sleep(2_300);
            for (int i = 0; i < 6; i++) {
                rig.clients.sendNext();
            }
            router.signal("CONT");
            rig.runLoad(2);
            Thread.sleep(500);
            long drainStartMillis = rig.requestLog.drainStartMillis().get(DRAINED);
            assertEquals(
                    List.of(),
                    rig.requestLog.requests().stream()
                            .filter(request -> request.member().equals(DRAINED)
                                    && request.atMillis() > drainStartMillis + DRAIN_GRACE_MILLIS)
                            .toList());
            assertEquals(
                    List.of(),
                    rig.clients.completed().stream()
                            .filter(result -> result.sentAtMillis() > drainStartMillis
                                    && result.outcome() != RequestOutcome.SERVED
                                    && result.outcome() != RequestOutcome.REFUSED)
                            .toList());
        }
    }
}
