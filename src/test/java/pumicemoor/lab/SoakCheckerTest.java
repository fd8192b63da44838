package pumicemoor.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import pumicemoor.lab.LoadClients.Done;
import pumicemoor.lab.LoadClients.End;

/** Each check of the soak catches a planted break, and only that. */
class SoakCheckerTest {

    private final SoakChecker checker = new SoakChecker(1_000, 1_500);

    private int breaks(List<Record.Asked> asked, List<Done> done) {
        return checker.breaks(asked, done).size();
    }

    private static List<Record.Asked> asked(long at) {
        return List.of(new Record.Asked(at, "box-1", "router", "o"));
    }

    @Test
    void aRequestAtADrainingCachePastTheGraceIsABreakUntilItIsActiveAgain() {
        checker.drained("box-1", 5_000);
        checker.active("box-1", 9_000);
        assertEquals(0, breaks(asked(4_000), List.of()));
        assertEquals(0, breaks(asked(6_050), List.of()));
        assertEquals(1, breaks(asked(6_051), List.of()));
        assertEquals(1, breaks(asked(8_999), List.of()));
        assertEquals(0, breaks(asked(9_000), List.of()));
    }

    @Test
    void aFillFromADrainingCachePastTheGraceIsABreak() {
        checker.drained("box-1", 5_000);
        assertEquals(1, breaks(List.of(new Record.Asked(7_000, "box-1", "box-2", "o")), List.of()));
    }

    @Test
    void secondAndLateAnswersAreBreaks() {
        assertEquals(1, breaks(List.of(), List.of(new Done(1_000, End.TWICE, 0))));
        assertEquals(1, breaks(List.of(), List.of(new Done(1_000, End.LATE, 0))));
        assertEquals(1, breaks(List.of(), List.of(new Done(1_000, End.LATE, 2_051_000))));
        assertEquals(0, breaks(List.of(), List.of(new Done(1_000, End.LATE, 2_050_000))));
        assertEquals(0, breaks(List.of(), List.of(new Done(1_000, End.SERVED, 0), new Done(1_000, End.REFUSED, 0))));
    }

    @Test
    void aLostRequestIsABreakUnlessAProcessWasKilledWhileItWasOpen() {
        assertEquals(1, breaks(List.of(), List.of(new Done(1_000, End.LOST, 0))));
        checker.killed(3_000);
        assertEquals(1, breaks(List.of(), List.of(new Done(900, End.LOST, 0))));
        assertEquals(0, breaks(List.of(), List.of(new Done(1_000, End.LOST, 0))));
        assertEquals(1, breaks(List.of(), List.of(new Done(3_051, End.LOST, 0))));
    }
}
