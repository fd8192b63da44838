package pumicemoor.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pumicemoor.lab.LoadClients.RequestOutcome;
import pumicemoor.lab.LoadClients.RequestResult;

/**
 * Guards against routers that break the rules or starve each other during a change of the configuration, when processes
 * with the old and the new configuration serve in front of the same stand-in caches.
 */
class MixedConfigurationsProcessesTest {

    private static final UnaryOperator<String> OLD_CONFIGURATION = config -> config;
    private static final UnaryOperator<String> NEW_CONFIGURATION =
            config -> config.replace("\"weights\":\"rough\"", "\"weights\":\"none\"")
                    .replace(
                            "\"idempotency\":\"side_effect\"",
                            "\"idempotency\":\"token\",\"window-us\":3000000,\"group\":\"all\"")
                    .replace("\"may-tell\":false", "\"may-tell\":true");
    private static final long DRAIN_GRACE_MILLIS = 1_000; // stop-sending-within-us in LabConfig

    @TempDir
    Path folder;

    @Test
    void oldAndNewConfigurationsKeepTheRulesAndNeitherStarvesTheOther() throws Exception {
        try (FleetRig rig = new FleetRig(folder, 4, 4, 300, "", OLD_CONFIGURATION, NEW_CONFIGURATION)) {
            List<LoadClients> clientsByConfiguration = IntStream.range(0, 2)
                    .mapToObj(configuration ->
                            rig.clientsOf(List.of(rig.routers.get(configuration), rig.routers.get(configuration + 2))))
                    .toList();
            rig.runLoad(4, clientsByConfiguration);
            rig.drain("box-1");
            rig.runLoad(2, clientsByConfiguration);
            rig.routers.get(1).kill();
            rig.start(1);
            rig.runLoad(5, clientsByConfiguration);
            Thread.sleep(2_000);
            clientsByConfiguration.forEach(LoadClients::finish);
            double[] servedShares = clientsByConfiguration.stream()
                    .mapToDouble(clients -> clients.completed().stream()
                                    .filter(result -> result.outcome() == RequestOutcome.SERVED)
                                    .count()
                            / (double) clients.completed().size())
                    .toArray();
            for (RequestResult result : clientsByConfiguration.get(0).completed()) {
                assertTrue(
                        result.outcome() == RequestOutcome.SERVED
                                || result.outcome() == RequestOutcome.REFUSED
                                || result.outcome() == RequestOutcome.FAILED,
                        result::toString);
            }
            assertEquals(
                    0,
                    clientsByConfiguration.get(1).completed().stream()
                            .filter(result ->
                                    result.outcome() == RequestOutcome.TWICE || result.outcome() == RequestOutcome.LATE)
                            .count());
            assertTrue(
                    servedShares[0] > 0.9 && servedShares[1] > 0.9 * servedShares[0],
                    () -> "served " + servedShares[0] + " and " + servedShares[1]);
            long drainStartMillis = rig.requestLog.drainStartMillis().get("box-1");
            assertEquals(
                    0,
                    rig.requestLog.requests().stream()
                            .filter(request -> request.member().equals("box-1")
                                    && request.atMillis() > drainStartMillis + DRAIN_GRACE_MILLIS)
                            .count(),
                    "requests to the cache after its drain");
        }
    }
}
