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

/** The counts and bytes of the measured roles at small sizes, against what the rules make them; no times. */
class ReaderRolesTest {

    private static final ReaderRoles.Plan SMALL =
            new ReaderRoles.Plan(List.of(50, 100), List.of(0, 10, 40), List.of(18_000), List.of(3, 15), 1, 1);
    private static final List<Sample> SAMPLES = measured(SMALL);

    private static List<Sample> measured(ReaderRoles.Plan plan) {
        return ReaderRoles.measure(plan, new PrintStream(OutputStream.nullOutputStream()));
    }

    private static double figure(String role, int size, String name) {
        return SAMPLES.stream()
                .filter(s -> s.role().equals(role) && s.size() == size)
                .findFirst()
                .orElseThrow()
                .figures()
                .get(name);
    }

    /** What is the same each time: all but processor time and heap, and what is worked out from processor time. */
    private static Map<String, Map<String, Double>> counted(List<Sample> samples) {
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
    void countsAndBytesFollowFromTheSeed() {
        assertEquals(counted(SAMPLES), counted(measured(SMALL)));
        assertEquals(2 * 7 + 3 + 2 + 1, SAMPLES.size());
    }

    @Test
    void aPurgeIsKeptForThreeTimesItsTimeAndNoLonger() {
        assertEquals(0, figure("reader, purges a second", 0, "entries"));
        assertEquals(3 * 4.9 * 10, figure("reader, purges a second", 10, "entries"), 1);
        assertEquals(3 * 4.9 * 40, figure("reader, purges a second", 40, "entries"), 2);
    }

    @Test
    void bytesGrowWithLinesAndNotOtherwise() {
        double fifty = figure("reader, whole list", 50, "bytes a list");
        double hundred = figure("reader, whole list", 100, "bytes a list");
        double line = (hundred - fifty) / 50;
        assertTrue(line > 150 && line < 170, line + " bytes a line");
        assertTrue(fifty - 50 * line < 150, "an empty list of " + (fifty - 50 * line));
        assertEquals(
                figure("reader, single changes", 50, "bytes a change"),
                figure("reader, single changes", 100, "bytes a change"),
                2);
        double purge = figure("sender", 18_000, "bytes a purge");
        assertEquals(
                10 * purge + CoordinatorEvents.COMMENT.length(),
                figure("reader, purges a second", 10, "bytes in/s"),
                0.01);
    }

    @Test
    void allIsServedAndEachGapAsksOnce() {
        for (int members : SMALL.members()) {
            for (String layout : List.of("decider, sites of 5.8", "decider, one site")) {
                assertTrue(figure(layout, members, "requests") >= 2_000);
                assertEquals(figure(layout, members, "requests"), figure(layout, members, "served"));
            }
            assertEquals(1, figure("reader, whole list", members, "asked again"));
            assertEquals(1, figure("cold start", members, "ready"));
        }
    }

    @Test
    void whoHearsNothingTakesNoOldCopies() {
        assertEquals(0, figure("reader, seconds cut off", 3, "bounded while cut off"));
        assertEquals(1, figure("reader, seconds cut off", 15, "bounded while cut off"));
        assertEquals(0, figure("reader, seconds cut off", 15, "unbounded while behind"), "what was missed is no sign");
    }

    @Test
    void asksGrowWithTheLimitsHeld() {
        double fifty = figure("holder, a limit at each cache", 50, "bytes out/s");
        double hundred = figure("holder, a limit at each cache", 100, "bytes out/s");
        assertTrue(hundred > 1.3 * fifty && hundred < 2 * fifty, fifty + ", " + hundred);
        assertTrue(hundred > figure("grantor of one other holder, a limit at each cache", 100, "bytes out/s"));
    }
}
