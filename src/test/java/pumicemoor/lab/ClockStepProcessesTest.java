package pumicemoor.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pumicemoor.lab.LoadClients.RequestOutcome;
import pumicemoor.lab.LoadClients.RequestResult;

/**
 * Guards against a router that loses requests or forgets a drain when the wall clock is stepped. A library that the
 * test builds and preloads steps the clock of the process under load.
 */
class ClockStepProcessesTest {

    private static final long DRAIN_GRACE_MILLIS = 1_000; // stop-sending-within-us in LabConfig
    private static final String DRAINED = "box-1";
    private static final double REQUESTS_PER_SECOND = 50;

    @TempDir
    Path folder;

    @ParameterizedTest
    @ValueSource(ints = {5, -5, 3_600, -3_600})
    void aWallClockStepLosesNoRequestAndKeepsDrains(int stepSeconds) throws Exception {
        Path library = Preload.build(folder, "clockstep.c");
        Path stepFile = Files.writeString(folder.resolve("step"), "0");
        try (FleetRig rig = new FleetRig(folder, 1, 4, REQUESTS_PER_SECOND, "")) {
            RouterProcess router = rig.routers.get(0);
            router.kill();
            router.setEnvironment(Map.of("LD_PRELOAD", library.toString(), "CLOCK_STEP", stepFile.toString()));
            rig.start(0);
            router.awaitReady();
            rig.runLoad(2);
            long stepMillis = rig.requestLog.nowMillis();
            Files.writeString(stepFile, Integer.toString(stepSeconds));
            rig.runLoad(2);
            rig.drain(DRAINED);
            rig.runLoad(3);
            Thread.sleep(1_000);
            long drainStartMillis = rig.requestLog.drainStartMillis().get(DRAINED);
            List<RequestResult> resultsAfterStep = rig.clients.completed().stream()
                    .filter(result -> result.sentAtMillis() > stepMillis - 500)
                    .toList();
            assertTrue(
                    resultsAfterStep.size() > 4 * REQUESTS_PER_SECOND,
                    () -> "only " + resultsAfterStep.size() + " requests were sent");
            assertEquals(
                    List.of(),
                    resultsAfterStep.stream()
                            .filter(result -> result.outcome() != RequestOutcome.SERVED)
                            .toList());
            assertEquals(
                    List.of(),
                    rig.requestLog.requests().stream()
                            .filter(request -> request.member().equals(DRAINED)
                                    && request.atMillis() > drainStartMillis + DRAIN_GRACE_MILLIS)
                            .toList());
        }
    }
}
