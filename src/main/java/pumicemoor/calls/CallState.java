package pumicemoor.calls;

import java.util.ArrayList;
import java.util.List;
import pumicemoor.RefusalPolicy.Rejection;

/**
 * The state machine of one stream on which another proxy makes a call. It maps each message from the caller or the
 * decision module to the actions that have to follow, and owns the state of the stream and nothing else. In whatever
 * order messages arrive, the caller receives at most one final answer, and the decision module receives at most one end
 * of each announced attempt, and the withdrawal of the request if the caller no longer waits for it.
 */
public final class CallState {

    /** The phases of a stream: before the request, waiting for a decision, attempt announced, response seen, ended. */
    public enum Phase {
        NEW,
        DECIDING,
        ANNOUNCED,
        RESPONDED,
        ENDED
    }

    /**
     * The kind of caller. A proxy receives one attempt before it sends the request, and its stream reports the end of
     * that attempt once; a reporter receives further attempts after each end that it reports.
     */
    public enum Style {
        PROXY,
        REPORTER
    }

    /** The result code of a final answer. */
    public enum Code {
        SERVED,
        REFUSED,
        FAILED
    }

    /** An action that the owner of the stream has to carry out. */
    public sealed interface StreamAction {

        /** Passes the request to the decision module. */
        record RequestDecision() implements StreamAction {}

        /** Announces the attempt to the caller. */
        record AnnounceAttempt(int attempt) implements StreamAction {}

        /** Sends the one final answer to the caller, with the delay in microseconds before a retry. */
        record SendFinalAnswer(Code code, long retryAfterMicros) implements StreamAction {}

        /** Lets the message that was received continue unchanged. */
        record PassThrough() implements StreamAction {}

        /** Reports the end of the attempt to the decision module, as the caller reported it. */
        record ReportAttemptEnd(int attempt) implements StreamAction {}

        /** Reports to the decision module that the caller no longer waits. */
        record Withdraw() implements StreamAction {}

        /** Completes the stream normally. */
        record Complete() implements StreamAction {}

        /** Ends the stream with an error after a violation of the protocol. */
        record Abort(String reason) implements StreamAction {}
    }

    private final Style style;
    private Phase phase = Phase.NEW;
    private int attempt = -1; // announced to the caller and not ended
    private boolean inputEnded;
    private boolean requestOpen; // the decision module has the request and has not answered it
    private boolean attemptUnknown; // the attempt announced last has not been reported as one that never ran
    private boolean earlierMayHaveRun; // one before it has ended without such a report

    public CallState(Style style) {
        this.style = style;
    }

    public Phase phase() {
        return phase;
    }

    /** Whether the request is still open at the decision module. */
    public boolean requestOpen() {
        return requestOpen;
    }

    /** Whether an attempt was announced of which no report has shown that it never ran. */
    public boolean mayHaveRun() {
        return attemptUnknown || earlierMayHaveRun;
    }

    // ---- messages of the caller -----------------------------------------------------------------------

    /** Handles a request that goes to the decision module. */
    public List<StreamAction> request() {
        if (phase != Phase.NEW) {
            return abort("a second request on a stream");
        }
        phase = Phase.DECIDING;
        requestOpen = true;
        return List.of(new StreamAction.RequestDecision());
    }

    /** Handles a request that the server rejects without the decision module. */
    public List<StreamAction> reject(Rejection rejection) {
        if (phase != Phase.NEW) {
            return abort("a second request on a stream");
        }
        phase = Phase.ENDED;
        return List.of(finalAnswer(rejection), new StreamAction.Complete());
    }

    /** Handles a request that no rule matches and that is passed through unchanged. */
    public List<StreamAction> passThrough() {
        if (phase != Phase.NEW) {
            return abort("a second request on a stream");
        }
        phase = Phase.RESPONDED;
        return List.of(new StreamAction.PassThrough());
    }

    /** Handles a client retry for which the decision module already has an attempt, which is announced at once. */
    public List<StreamAction> adopt(int number) {
        if (phase != Phase.NEW) {
            return abort("a second request on a stream");
        }
        phase = Phase.DECIDING;
        requestOpen = true;
        return attemptAnnounced(number);
    }

    /** Hands the open request over to the stream of the caller's next try, for which an attempt is ready. */
    public void detach() {
        requestOpen = false;
    }

    /** Handles the end of the attempt with this number; -1 stands for the attempt announced last. */
    public List<StreamAction> response(int number, boolean neverRan) {
        if (phase == Phase.NEW || phase == Phase.DECIDING) {
            return abort("a response before a member was named");
        }
        if (phase == Phase.ENDED) {
            return List.of();
        }
        if (phase == Phase.RESPONDED || attempt < 0 || number >= 0 && number != attempt) {
            // the decision module has abandoned this attempt meanwhile, or the call is passed through
            return style == Style.REPORTER ? List.of() : List.of(new StreamAction.PassThrough());
        }
        int endedAttempt = attempt;
        attempt = -1;
        attemptUnknown = !neverRan;
        if (style == Style.PROXY) {
            phase = Phase.RESPONDED;
            return List.of(new StreamAction.ReportAttemptEnd(endedAttempt), new StreamAction.PassThrough());
        }
        phase = Phase.DECIDING;
        return List.of(new StreamAction.ReportAttemptEnd(endedAttempt));
    }

    /** Handles a body or trailers, which have no effect on the decision. */
    public List<StreamAction> bodyOrTrailers() {
        return phase == Phase.NEW
                ? abort("a body or trailers before the request")
                : phase == Phase.ENDED ? List.of() : List.of(new StreamAction.PassThrough());
    }

    /** Handles the end of input: the caller sends nothing more. */
    public List<StreamAction> halfClosed() {
        inputEnded = true;
        if (phase == Phase.DECIDING) {
            return List.of(); // the caller still waits for the answer
        }
        return end(phase != Phase.ENDED);
    }

    /** Handles the loss of the caller: it has cancelled the stream, or its connection was lost. */
    public List<StreamAction> callerGone() {
        return end(false);
    }

    /** Handles the imminent end of a proxy's message timeout: rejects a request that is not yet decided. */
    public List<StreamAction> messageTimeUp(Rejection rejection) {
        if (phase != Phase.DECIDING || style != Style.PROXY) {
            return List.of();
        }
        List<StreamAction> acts = new ArrayList<>(List.of(finalAnswer(rejection)));
        acts.addAll(end(true));
        return acts;
    }

    // ---- messages of the decision module --------------------------------------------------------------

    /** Handles an attempt that the decision module has chosen. */
    public List<StreamAction> attemptAnnounced(int number) {
        if (phase == Phase.DECIDING || phase == Phase.ANNOUNCED && style == Style.REPORTER) {
            attempt = number;
            phase = Phase.ANNOUNCED;
            earlierMayHaveRun |= attemptUnknown;
            attemptUnknown = true;
            List<StreamAction> acts = new ArrayList<>(List.of(new StreamAction.AnnounceAttempt(number)));
            if (inputEnded) { // the caller can no longer report the attempt's end
                acts.addAll(end(true));
            }
            return acts;
        }
        // either a proxy that has already received its one attempt, or a caller that no longer waits
        return withdraw();
    }

    /** Handles the final answer of the decision module, which closes the request there. */
    public List<StreamAction> finalAnswer(Code code, long retryAfterMicros) {
        requestOpen = false;
        attempt = -1; // an announced attempt has timed out: a response that still comes is passed through
        if (phase == Phase.DECIDING || phase == Phase.ANNOUNCED && style == Style.REPORTER) {
            phase = Phase.ENDED;
            return List.of(new StreamAction.SendFinalAnswer(code, retryAfterMicros), new StreamAction.Complete());
        }
        return List.of();
    }

    private static StreamAction finalAnswer(Rejection rejection) {
        return new StreamAction.SendFinalAnswer(
                rejection.refused() ? Code.REFUSED : Code.FAILED, rejection.retryAfterMicros());
    }

    private List<StreamAction> withdraw() {
        attempt = -1;
        if (!requestOpen) {
            return List.of();
        }
        requestOpen = false;
        return List.of(new StreamAction.Withdraw());
    }

    private List<StreamAction> end(boolean complete) {
        phase = Phase.ENDED;
        List<StreamAction> acts = new ArrayList<>(withdraw());
        if (complete) {
            acts.add(new StreamAction.Complete());
        }
        return acts;
    }

    private List<StreamAction> abort(String why) {
        if (phase == Phase.ENDED) {
            return List.of();
        }
        List<StreamAction> acts = new ArrayList<>(end(false));
        acts.add(new StreamAction.Abort(why));
        return acts;
    }
}
