package pumicemoor.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/**
 * Guards against wrong counts and bytes in the figures of stream readers: compares them at small sizes with the values
 * that the rules imply. CPU times are not compared.
 */
class ReaderRolesTest {

    private static final ReaderRoles.Plan SMALL_PLAN =
            new ReaderRoles.Plan(List.of(50, 100), List.of(0, 10, 40), List.of(18_000), List.of(3, 15), 1, 1);
    private static final List<Sample> SMALL_SAMPLES = measure(SMALL_PLAN);

    private static List<Sample> measure(ReaderRoles.Plan plan) {
        return ReaderRoles.measure(plan, new PrintStream(OutputStream.nullOutputStream()));
    }

    private static double figure(String role, int size, String name) {
        return SMALL_SAMPLES.stream()
                .filter(s -> s.role().equals(role) && s.size() == size)
                .findFirst()
                .orElseThrow()
                .figures()
                .get(name);
    }

    /** The figures that are the same in each run: all but heap, CPU time and values derived from it. */
    private static Map<String, Map<String, Double>> reproducibleFigures(List<Sample> samples) {
        return samples.stream()
                .collect(Collectors.toMap(
                        s -> s.role() + " " + s.size(),
                        s -> s.figures().entrySet().stream()
                                .filter(f -> !f.getKey().contains("cpu")
                                        && !f.getKey().contains("heap"))
                                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue)),
                        (a, b) -> a,
                        TreeMap::new));
    }

    @Test
    void equalSeedsGiveEqualCountsAndBytes() {
        assertEquals(reproducibleFigures(SMALL_SAMPLES), reproducibleFigures(measure(SMALL_PLAN)));
        assertEquals(2 * 7 + 3 + 2 + 1, SMALL_SAMPLES.size());
    }

    @Test
    void purgeIsKeptForThreeTimesTheTargetTimeAndNoLonger() {
        assertEquals(0, figure("reader, purges a second", 0, "entries"));
        assertEquals(3 * 4.9 * 10, figure("reader, purges a second", 10, "entries"), 1);
        assertEquals(3 * 4.9 * 40, figure("reader, purges a second", 40, "entries"), 2);
    }

    @Test
    void bytesGrowOnlyWithTheNumberOfEntries() {
        double withFifty = figure("reader, whole list", 50, "bytes a list");
        double withHundred = figure("reader, whole list", 100, "bytes a list");
        double bytesPerEntry = (withHundred - withFifty) / 50;
        assertTrue(bytesPerEntry > 150 && bytesPerEntry < 170, bytesPerEntry + " bytes per list entry");
        assertTrue(withFifty - 50 * bytesPerEntry < 150, "bytes of an empty list: " + (withFifty - 50 * bytesPerEntry));
        assertEquals(
                figure("reader, single changes", 50, "bytes a change"),
                figure("reader, single changes", 100, "bytes a change"),
                2);
        double purgeBytes = figure("sender", 18_000, "bytes a purge");
        assertEquals(
                10 * purgeBytes + CoordinatorEvents.HEARTBEAT.length(),
                figure("reader, purges a second", 10, "bytes in/s"),
                0.01);
    }

    @Test
    void allRequestsAreServedAndEachGapCausesOneStreamRequest() {
        for (int members : SMALL_PLAN.members()) {
            for (String layout : List.of("decider, sites of 5.8", "decider, one site")) {
                assertTrue(figure(layout, members, "requests") >= 2_000);
                assertEquals(figure(layout, members, "requests"), figure(layout, members, "served"));
            }
            assertEquals(1, figure("reader, whole list", members, "asked again"));
            assertEquals(1, figure("cold start", members, "ready"));
        }
    }

    @Test
    void disconnectedRouterAcceptsNoOldCopies() {
        assertEquals(0, figure("reader, seconds cut off", 3, "bounded while cut off"));
        assertEquals(1, figure("reader, seconds cut off", 15, "bounded while cut off"));
        assertEquals(
                0,
                figure("reader, seconds cut off", 15, "unbounded while behind"),
                "events from the backlog must not be taken as proof of being up to date");
    }

    @Test
    void demandReportsGrowWithTheNumberOfLimits() {
        double withFifty = figure("holder, a limit at each cache", 50, "bytes out/s");
        double withHundred = figure("holder, a limit at each cache", 100, "bytes out/s");
        assertTrue(withHundred > 1.3 * withFifty && withHundred < 2 * withFifty, withFifty + ", " + withHundred);
        assertTrue(withHundred > figure("grantor of one other holder, a limit at each cache", 100, "bytes out/s"));
    }
}
