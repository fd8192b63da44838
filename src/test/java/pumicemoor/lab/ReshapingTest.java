package pumicemoor.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pumicemoor.lab.Scenario.Change;
import pumicemoor.lab.Scenario.Happening;
import pumicemoor.lab.Scenario.Way;

/** The real program between stand-ins, reshaped again and again under load; judged by the stand-ins' records. */
class ReshapingTest {

    private static final Map<String, Double> ORIGIN = Map.of("origin", 1.0);

    @TempDir
    Path folder;

    private static Happening reshape(double at, Map<String, Map<String, Double>> hubs, Map<String, Double> depot) {
        return new Happening(at, hubs, depot, null, null, null, null, null);
    }

    /** Twenty changes: hubs that change places, come, go, and start cold; a cache is drained among them. */
    private static List<Happening> twentyChanges() {
        List<Map<String, Map<String, Double>>> shapes = List.of(
                Map.of("hub-a", ORIGIN, "hub-b", Map.of("hub-a", 1.0)),
                Map.of("hub-b", ORIGIN, "hub-a", Map.of("hub-b", 1.0)),
                Map.of("hub-a", ORIGIN, "hub-b", ORIGIN, "hub-c", Map.of("hub-a", 1.0)),
                Map.of("hub-c", ORIGIN, "hub-a", Map.of("hub-c", 1.0), "hub-b", Map.of("hub-a", 1.0)));
        List<Map<String, Double>> depots = List.of(
                Map.of("hub-b", 1.0),
                Map.of("hub-a", 1.0, "hub-b", 1.0),
                Map.of("hub-b", 1.0, "hub-c", 1.0),
                Map.of("hub-a", 1.0));
        List<Happening> all = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            double at = 0.5 + 1.6 * i;
            all.add(reshape(at, shapes.get(i % 4), depots.get(i % 4)));
            if (i % 5 == 2) {
                all.add(new Happening(at + 0.8, null, null, "hub-a", null, null, null, null));
            }
            if (i == 7) {
                all.add(new Happening(at + 0.3, null, null, null, "box-2", null, null, null));
            }
        }
        return all;
    }

    @Test
    void twentyChangesUnderLoadMakeNoCircleAndAskTheOriginOnceAnObject() throws Exception {
        Scenario scenario = new Scenario(
                "twenty",
                5,
                34,
                250,
                250,
                2,
                3,
                50,
                4,
                2_000,
                new Change(Way.FEED, 300, 600, 300, 600, 150),
                Map.of("hub-a", ORIGIN, "hub-b", ORIGIN),
                Map.of("hub-a", 1.0),
                twentyChanges(),
                null,
                null);
        Report report = LabRun.play(scenario, folder, new PrintStream(OutputStream.nullOutputStream()));
        String all = report.markdown();
        assertEquals(20, report.changes());
        assertEquals(0, report.circles(), all);
        assertTrue(report.mostFillsAtOrigin() <= 1, all);
        assertEquals(0, report.askedAfterDrain(), all);
        assertTrue(report.mostOfColdBudget() <= 1, all);
        assertEquals(0, report.ended("lost") + report.ended("late") + report.ended("twice"), all);
        report.status().forEach((router, fields) -> assertEquals("as-wanted", fields.get("hierarchy-stage"), all));
    }
}
