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
import pumicemoor.RefusalPolicy;
import pumicemoor.RefusalPolicy.EarlierAttempts;
import pumicemoor.RefusalPolicy.Rejection;
import pumicemoor.calls.CallState.Code;
import pumicemoor.calls.CallState.Phase;
import pumicemoor.calls.CallState.StreamAction;
import pumicemoor.calls.CallState.Style;

/**
 * Tests the state machine of a stream under any order of messages, cancellations, timeouts, half-closes and decisions.
 */
class CallStateTest {

    /**
     * A model of the decision module, at which a request is open from its RequestDecision until its final answer or
     * Withdraw; it checks each action.
     */
    private static final class DecisionModel {
        final CallState state;
        final Style style;
        final List<StreamAction> actions = new ArrayList<>();
        boolean requestOpen;
        boolean attemptOpen; // an attempt is open at the decision module
        int attempts;
        int announcements;
        int finalAnswers;
        int streamEnds;
        boolean ran;

        DecisionModel(Style style) {
            this.style = style;
            this.state = new CallState(style);
        }

        void check(List<StreamAction> newActions) {
            for (StreamAction action : newActions) {
                actions.add(action);
                assertEquals(0, streamEnds, "no action after the end of the stream: " + actions);
                if (action instanceof StreamAction.RequestDecision) {
                    assertFalse(requestOpen);
                    requestOpen = true;
                } else if (action instanceof StreamAction.AnnounceAttempt) {
                    announcements++;
                    assertEquals(0, finalAnswers);
                    assertTrue(
                            style == Style.REPORTER || announcements == 1,
                            "a proxy receives one attempt at most: " + actions);
                } else if (action instanceof StreamAction.SendFinalAnswer) {
                    finalAnswers++;
                    assertEquals(1, finalAnswers, actions.toString());
                    assertTrue(
                            style == Style.REPORTER || announcements == 0,
                            "a proxy receives either an attempt or a final answer: " + actions);
                } else if (action instanceof StreamAction.ReportAttemptEnd end) {
                    assertTrue(
                            requestOpen && attemptOpen && end.attempt() == attempts - 1,
                            "one end for each attempt: " + actions);
                    attemptOpen = false;
                } else if (action instanceof StreamAction.Withdraw) {
                    assertTrue(requestOpen, "withdrawn once, while the request is open: " + actions);
                    requestOpen = false;
                    attemptOpen = false;
                } else if (action instanceof StreamAction.Complete || action instanceof StreamAction.Abort) {
                    streamEnds++;
                }
            }
        }

        void step(int what) {
            switch (what) {
                case 0, 1 -> check(state.request());
                case 2 -> check(state.response(-1, what == 3));
                case 3 -> check(state.response(attempts - 1, true));
                case 4 -> check(state.bodyOrTrailers());
                case 5 -> check(state.halfClosed());
                case 6 -> check(state.callerGone());
                case 7 -> check(state.messageTimeUp(refusal(5)));
                case 8 -> check(state.reject(refusal(1)));
                case 9 -> check(state.passThrough());
                case 10, 11 -> {
                    if (requestOpen && !attemptOpen) {
                        attemptOpen = true;
                        check(state.attemptAnnounced(attempts++));
                    }
                }
                case 12 -> {
                    if (requestOpen && attemptOpen) { // the decision module replaces the attempt by another
                        check(state.attemptAnnounced(attempts++));
                    }
                }
                default -> {
                    if (requestOpen) {
                        requestOpen = false;
                        attemptOpen = false;
                        check(state.finalAnswer(Code.values()[what % 3], 0));
                    }
                }
            }
        }
    }

    private static Rejection refusal(long retryAfterMicros) {
        return RefusalPolicy.rejectUnclassified(EarlierAttempts.NONE_RAN, retryAfterMicros);
    }

    @Property(seed = "20261201", tries = 30_000)
    void anyOrderGivesAtMostOneFinalAnswerAndLeavesNoRequestOpen(
            @ForAll boolean reporter, @ForAll @Size(max = 14) List<@IntRange(max = 15) Integer> steps) {
        DecisionModel model = new DecisionModel(reporter ? Style.REPORTER : Style.PROXY);
        steps.forEach(model::step);
        assertEquals(model.requestOpen, model.state.requestOpen(), () -> model.actions.toString());
        model.check(model.state.callerGone());
        assertEquals(Phase.ENDED, model.state.phase());
        assertFalse(model.requestOpen, () -> "the request is still open at the decision module: " + model.actions);
        model.check(model.state.callerGone());
        model.check(model.state.halfClosed());
        model.check(model.state.bodyOrTrailers());
    }

    @Test
    void aCallWithoutAResponsePhaseIsWithdrawnAndMayHaveRun() {
        CallState state = new CallState(Style.PROXY);
        state.request();
        state.attemptAnnounced(0);
        assertEquals(List.of(new StreamAction.Withdraw(), new StreamAction.Complete()), state.halfClosed());
        assertTrue(state.mayHaveRun());
    }

    @Test
    void aCallerThatHalfClosesEarlyStillReceivesItsAttempt() {
        CallState state = new CallState(Style.PROXY);
        state.request();
        assertEquals(List.of(), state.halfClosed());
        assertEquals(
                List.of(new StreamAction.AnnounceAttempt(0), new StreamAction.Withdraw(), new StreamAction.Complete()),
                state.attemptAnnounced(0));
    }

    @Test
    void afterARefusalForTheMessageTimeoutNoAttemptIsAnnounced() {
        CallState state = new CallState(Style.PROXY);
        state.request();
        assertEquals(
                List.of(
                        new StreamAction.SendFinalAnswer(Code.REFUSED, 9),
                        new StreamAction.Withdraw(),
                        new StreamAction.Complete()),
                state.messageTimeUp(refusal(9)));
        assertEquals(List.of(), state.attemptAnnounced(0));
        assertFalse(state.mayHaveRun());
    }

    @Test
    void theResponseToAnAttemptThatTimedOutIsPassedThrough() {
        CallState state = new CallState(Style.PROXY);
        state.request();
        state.attemptAnnounced(0);
        assertEquals(List.of(), state.finalAnswer(Code.FAILED, 0));
        assertEquals(
                List.of(new StreamAction.PassThrough()),
                state.response(-1, false),
                "the response is passed through, the request is closed already");
    }

    /** Guards against a memory that takes the last attempt's end for that of all: an earlier one may have run. */
    @Test
    void aCallMayHaveRunIfAnyOfItsAttemptsMay() {
        CallState state = new CallState(Style.REPORTER);
        state.request();
        state.attemptAnnounced(0);
        state.response(0, true);
        assertFalse(state.mayHaveRun());
        state.attemptAnnounced(1);
        state.attemptAnnounced(2); // the decision module has given up the one before
        state.response(2, true);
        assertTrue(state.mayHaveRun());
        CallState failed = new CallState(Style.REPORTER);
        failed.request();
        failed.attemptAnnounced(0);
        failed.response(0, false);
        failed.attemptAnnounced(1);
        failed.response(1, true);
        assertTrue(failed.mayHaveRun());
    }
}
