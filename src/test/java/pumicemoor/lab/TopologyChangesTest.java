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
import pumicemoor.lab.Scenario.ChangeDelivery;
import pumicemoor.lab.Scenario.ScheduledEvent;

/**
 * Guards against fill loops, repeated fills at the origin and lost requests during topology changes: the real program
 * runs between stand-ins under load while its topology changes twenty times. Checked by the stand-ins' logs.
 */
class TopologyChangesTest {

    private static final Map<String, Double> ORIGIN = Map.of("origin", 1.0);

    @TempDir
    Path folder;

    private static ScheduledEvent topologyChange(
            double atSeconds, Map<String, Map<String, Double>> hubs, Map<String, Double> depot) {
        return new ScheduledEvent(atSeconds, hubs, depot, null, null, null, null, null);
    }

    /**
     * Returns twenty changes, in which hubs swap places, are added, are removed and restart with empty stores, and the
     * drain of a cache.
     */
    private static List<ScheduledEvent> twentyChanges() {
        List<Map<String, Map<String, Double>>> hubTopologies = List.of(
                Map.of("hub-a", ORIGIN, "hub-b", Map.of("hub-a", 1.0)),
                Map.of("hub-b", ORIGIN, "hub-a", Map.of("hub-b", 1.0)),
                Map.of("hub-a", ORIGIN, "hub-b", ORIGIN, "hub-c", Map.of("hub-a", 1.0)),
                Map.of("hub-c", ORIGIN, "hub-a", Map.of("hub-c", 1.0), "hub-b", Map.of("hub-a", 1.0)));
        List<Map<String, Double>> depotTopologies = List.of(
                Map.of("hub-b", 1.0),
                Map.of("hub-a", 1.0, "hub-b", 1.0),
                Map.of("hub-b", 1.0, "hub-c", 1.0),
                Map.of("hub-a", 1.0));
        List<ScheduledEvent> events = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            double atSeconds = 0.5 + 1.6 * i;
            events.add(topologyChange(atSeconds, hubTopologies.get(i % 4), depotTopologies.get(i % 4)));
            if (i % 5 == 2) {
                events.add(new ScheduledEvent(atSeconds + 0.8, null, null, "hub-a", null, null, null, null));
            }
            if (i == 7) {
                events.add(new ScheduledEvent(atSeconds + 0.3, null, null, null, "box-2", null, null, null));
            }
        }
        return events;
    }

    @Test
    void twentyTopologyChangesUnderLoadCauseNoFillLoopAndFillEachObjectOnceAtTheOrigin() throws Exception {
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
                new Change(ChangeDelivery.FEED, 300, 600, 300, 600, 150),
                Map.of("hub-a", ORIGIN, "hub-b", ORIGIN),
                Map.of("hub-a", 1.0),
                twentyChanges(),
                null,
                null);
        Report report = LabRun.play(scenario, folder, new PrintStream(OutputStream.nullOutputStream()));
        String table = report.markdown();
        assertEquals(20, report.changes());
        assertEquals(0, report.fillLoops(), table);
        assertTrue(report.maxFillsPerObjectAtOrigin() <= 1, table);
        assertEquals(0, report.requestsAfterDrain(), table);
        assertTrue(report.maxSlowStartLoad() <= 1, table);
        assertEquals(0, report.count("lost") + report.count("late") + report.count("twice"), table);
        report.status().forEach((router, fields) -> assertEquals("as-wanted", fields.get("hierarchy-stage"), table));
    }
}
