package pumicemoor.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pumicemoor.lab.LoadClients.Done;
import pumicemoor.lab.LoadClients.End;

/** During a move processes of the old shape and of the new serve before the same stand-in caches, on loopback. */
class MixedShapesProcessesTest {

    private static final UnaryOperator<String> OLD = config -> config;
    private static final UnaryOperator<String> NEW =
            config -> config.replace("\"weights\":\"rough\"", "\"weights\":\"none\"")
                    .replace(
                            "\"idempotency\":\"side_effect\"",
                            "\"idempotency\":\"token\",\"window-us\":3000000,\"group\":\"all\"")
                    .replace("\"may-tell\":false", "\"may-tell\":true");
    private static final long GRACE = 1_000; // milliseconds, the rule's in this configuration

    @TempDir
    Path folder;

    @Test
    void bothShapesKeepTheRulesAndNeitherStarvesTheOther() throws Exception {
        try (FleetRig rig = new FleetRig(folder, 4, 4, 300, "", OLD, NEW)) {
            List<LoadClients> shapes = IntStream.range(0, 2)
                    .mapToObj(shape -> rig.clientsOf(List.of(rig.routers.get(shape), rig.routers.get(shape + 2))))
                    .toList();
            rig.play(4, shapes);
            rig.drain("box-1");
            rig.play(2, shapes);
            rig.routers.get(1).kill();
            rig.start(1);
            rig.play(5, shapes);
            Thread.sleep(2_000);
            shapes.forEach(LoadClients::finish);
            double[] served = shapes.stream()
                    .mapToDouble(s ->
                            s.done().stream().filter(d -> d.end() == End.SERVED).count()
                                    / (double) s.done().size())
                    .toArray();
            for (Done d : shapes.get(0).done()) {
                assertTrue(d.end() == End.SERVED || d.end() == End.REFUSED || d.end() == End.FAILED, d::toString);
            }
            assertEquals(
                    0,
                    shapes.get(1).done().stream()
                            .filter(d -> d.end() == End.TWICE || d.end() == End.LATE)
                            .count());
            assertTrue(
                    served[0] > 0.9 && served[1] > 0.9 * served[0], () -> "served " + served[0] + " and " + served[1]);
            long drained = rig.record.drainedAt().get("box-1");
            assertEquals(
                    0,
                    rig.record.asked().stream()
                            .filter(a -> a.member().equals("box-1") && a.at() > drained + GRACE)
                            .count(),
                    "asked after its drain");
        }
    }
}
