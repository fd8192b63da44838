package pumicemoor.calls;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import pumicemoor.calls.CallState.Act;
import pumicemoor.calls.CallState.Code;
import pumicemoor.calls.CallState.Phase;
import pumicemoor.calls.CallState.Style;

/** One stream by what is heard on it: any order of phases, cancels, time-outs, half closes and decisions. */
class CallStateTest {

    /** Plays the decisions beside it: they hold a request from Ask until they decide or are told to let go. */
    private static final class Play {
        final CallState state;
        final Style style;
        final List<Act> acts = new ArrayList<>();
        boolean held;
        boolean named; // an attempt is out, as the decisions see it
        int attempts;
        int tolds;
        int finals;
        int closes;
        boolean ran;

        Play(Style style) {
            this.style = style;
            this.state = new CallState(style);
        }

        void take(List<Act> all) {
            for (Act act : all) {
                acts.add(act);
                assertEquals(0, closes, "nothing is said after the end: " + acts);
                if (act instanceof Act.Ask) {
                    assertFalse(held);
                    held = true;
                } else if (act instanceof Act.TellName) {
                    tolds++;
                    assertEquals(0, finals);
                    assertTrue(style == Style.REPORTER || tolds == 1, "a proxy is told once: " + acts);
                } else if (act instanceof Act.TellFinal) {
                    finals++;
                    assertEquals(1, finals, acts.toString());
                    assertTrue(style == Style.REPORTER || tolds == 0, "told once: " + acts);
                } else if (act instanceof Act.End e) {
                    assertTrue(held && named && e.attempt() == attempts - 1, "an end for each attempt, once: " + acts);
                    named = false;
                } else if (act instanceof Act.Withdraw) {
                    assertTrue(held, "withdrawn once, while they hold it: " + acts);
                    held = false;
                    named = false;
                } else if (act instanceof Act.Complete || act instanceof Act.Abort) {
                    closes++;
                }
            }
        }

        void step(int what) {
            switch (what) {
                case 0, 1 -> take(state.request());
                case 2 -> take(state.response(-1, what == 3));
                case 3 -> take(state.response(attempts - 1, true));
                case 4 -> take(state.other());
                case 5 -> take(state.halfClosed());
                case 6 -> take(state.gone());
                case 7 -> take(state.messageTimeUp(5));
                case 8 -> take(state.answered(Code.REFUSED, 1));
                case 9 -> take(state.passed());
                case 10, 11 -> {
                    if (held && !named) {
                        named = true;
                        take(state.named(attempts++));
                    }
                }
                case 12 -> {
                    if (held && named) { // they call the attempt off for another
                        take(state.named(attempts++));
                    }
                }
                default -> {
                    if (held) {
                        held = false;
                        named = false;
                        take(state.decided(Code.values()[what % 3], 0));
                    }
                }
            }
        }
    }

    @Property(seed = "20261201", tries = 30_000)
    void anyOrderLeavesOneFinalAnswerAndNothingBehind(
            @ForAll boolean reporter, @ForAll @Size(max = 14) List<@IntRange(max = 15) Integer> steps) {
        Play play = new Play(reporter ? Style.REPORTER : Style.PROXY);
        steps.forEach(play::step);
        assertEquals(play.held, play.state.held(), () -> play.acts.toString());
        play.take(play.state.gone());
        assertEquals(Phase.OVER, play.state.phase());
        assertFalse(play.held, () -> "the decisions still hold it: " + play.acts);
        play.take(play.state.gone());
        play.take(play.state.halfClosed());
        play.take(play.state.other());
    }

    @Test
    void aCallWithoutAResponsePhaseIsLetGoWithItsEndUnknown() {
        CallState state = new CallState(Style.PROXY);
        state.request();
        state.named(0);
        assertEquals(List.of(new Act.Withdraw(), new Act.Complete()), state.halfClosed());
        assertTrue(state.mayHaveRun());
    }

    @Test
    void aCallerThatHalfClosesEarlyStillHearsItsAnswer() {
        CallState state = new CallState(Style.PROXY);
        state.request();
        assertEquals(List.of(), state.halfClosed());
        assertEquals(List.of(new Act.TellName(0), new Act.Withdraw(), new Act.Complete()), state.named(0));
    }

    @Test
    void refusedInTimeItIsNotNamedAfterwards() {
        CallState state = new CallState(Style.PROXY);
        state.request();
        assertEquals(
                List.of(new Act.TellFinal(Code.REFUSED, 9), new Act.Withdraw(), new Act.Complete()),
                state.messageTimeUp(9));
        assertEquals(List.of(), state.named(0));
        assertFalse(state.mayHaveRun());
    }

    @Test
    void anAttemptGivenUpMeanwhileEndsOnce() {
        CallState state = new CallState(Style.PROXY);
        state.request();
        state.named(0);
        assertEquals(List.of(), state.decided(Code.FAILED, 0));
        assertEquals(
                List.of(new Act.GoOn()), state.response(-1, false), "the response goes on, the decisions are over it");
    }
}
