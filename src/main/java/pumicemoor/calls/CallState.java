package pumicemoor.calls;

import java.util.ArrayList;
import java.util.List;

/**
 * The life of one stream: what was heard on it and from the decisions, and so what may be said. It owns the phase
 * and nothing else. Whatever comes in whatever order, the caller hears at most one final answer, the decisions
 * hear one end of each attempt that was named, and they are told when nobody waits any more.
 */
public final class CallState {

    /** Where a stream is. */
    public enum Phase {
        NEW,
        DECIDING,
        NAMED,
        RESPONDED,
        OVER
    }

    /** How a caller works: told once before the request and heard once after, or as often as it takes. */
    public enum Style {
        PROXY,
        REPORTER
    }

    /** The code of a final answer. */
    public enum Code {
        SERVED,
        REFUSED,
        FAILED
    }

    /** What is to be done. */
    public sealed interface Act {

        /** Ask the decisions. */
        record Ask() implements Act {}

        /** Name the attempt to the caller. */
        record TellName(int attempt) implements Act {}

        /** The one final answer to the caller. */
        record TellFinal(Code code, long stayAway) implements Act {}

        /** Let the phase that was heard go on as it is. */
        record GoOn() implements Act {}

        /** Tell the decisions how the attempt ended, as it was heard. */
        record End(int attempt) implements Act {}

        /** Tell the decisions that nobody waits for this call any more. */
        record Withdraw() implements Act {}

        /** End the stream in good order. */
        record Complete() implements Act {}

        /** End the stream with an error: what came was against the protocol. */
        record Abort(String why) implements Act {}
    }

    private final Style style;
    private Phase phase = Phase.NEW;
    private int attempt = -1; // named to the caller and not ended
    private boolean halfClosed;
    private boolean asked; // the decisions hold the request
    private boolean mayHaveRun;

    public CallState(Style style) {
        this.style = style;
    }

    public Phase phase() {
        return phase;
    }

    /** Whether the decisions still hold this call. */
    public boolean held() {
        return asked;
    }

    /** Whether a member was named and nothing since has shown that the request never ran. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    // ---- heard from the caller ------------------------------------------------------------------------

    /** The request, which is to be decided. */
    public List<Act> request() {
        if (phase != Phase.NEW) {
            return abort("a second request on a stream");
        }
        phase = Phase.DECIDING;
        asked = true;
        return List.of(new Act.Ask());
    }

    /** The request, which the front answers by itself. */
    public List<Act> answered(Code code, long stayAway) {
        if (phase != Phase.NEW) {
            return abort("a second request on a stream");
        }
        phase = Phase.OVER;
        return List.of(new Act.TellFinal(code, stayAway), new Act.Complete());
    }

    /** The request, which no rule fits and which is passed on untouched. */
    public List<Act> passed() {
        if (phase != Phase.NEW) {
            return abort("a second request on a stream");
        }
        phase = Phase.RESPONDED;
        return List.of(new Act.GoOn());
    }

    /** The request comes again for an attempt that the decisions hold ready: it is named at once. */
    public List<Act> adopt(int number) {
        if (phase != Phase.NEW) {
            return abort("a second request on a stream");
        }
        phase = Phase.DECIDING;
        asked = true;
        return named(number);
    }

    /** The decisions hold an attempt ready for the caller's next try; this stream has no part in it. */
    public void detach() {
        asked = false;
    }

    /** How the attempt of that number ended; -1 for the one that was named last. */
    public List<Act> response(int number, boolean neverRan) {
        if (phase == Phase.NEW || phase == Phase.DECIDING) {
            return abort("a response before a member was named");
        }
        if (phase == Phase.OVER) {
            return List.of();
        }
        if (phase == Phase.RESPONDED || attempt < 0 || number >= 0 && number != attempt) {
            // the decisions have given this attempt up meanwhile, or the call passes untouched
            return style == Style.REPORTER ? List.of() : List.of(new Act.GoOn());
        }
        int ended = attempt;
        attempt = -1;
        mayHaveRun = !neverRan;
        if (style == Style.PROXY) {
            phase = Phase.RESPONDED;
            return List.of(new Act.End(ended), new Act.GoOn());
        }
        phase = Phase.DECIDING;
        return List.of(new Act.End(ended));
    }

    /** A body or trailers, which are no matter to the decision. */
    public List<Act> other() {
        return phase == Phase.NEW
                ? abort("a body or trailers before the request")
                : phase == Phase.OVER ? List.of() : List.of(new Act.GoOn());
    }

    /** The caller will send nothing more. */
    public List<Act> halfClosed() {
        halfClosed = true;
        if (phase == Phase.DECIDING) {
            return List.of(); // it still waits for the answer
        }
        return over(phase != Phase.OVER);
    }

    /** The caller has left, or its connection broke. */
    public List<Act> gone() {
        return over(false);
    }

    /** The caller's time for a message is nearly up: what is not decided by now is refused. */
    public List<Act> messageTimeUp(long stayAway) {
        return phase == Phase.DECIDING && style == Style.PROXY ? finish(Code.REFUSED, stayAway) : List.of();
    }

    // ---- heard from the decisions ---------------------------------------------------------------------

    /** They name an attempt. */
    public List<Act> named(int number) {
        if (phase == Phase.DECIDING || phase == Phase.NAMED && style == Style.REPORTER) {
            attempt = number;
            phase = Phase.NAMED;
            mayHaveRun = true;
            List<Act> acts = new ArrayList<>(List.of(new Act.TellName(number)));
            if (halfClosed) { // its end can't be heard any more
                acts.addAll(over(true));
            }
            return acts;
        }
        // the caller was told of one attempt and can't be told of another
        return withdraw();
    }

    /** They have given their final answer; the request is no longer theirs. */
    public List<Act> decided(Code code, long stayAway) {
        asked = false;
        attempt = -1; // where one is out its time is up: a response that still comes goes on untouched
        if (phase == Phase.DECIDING || phase == Phase.NAMED && style == Style.REPORTER) {
            phase = Phase.OVER;
            return List.of(new Act.TellFinal(code, stayAway), new Act.Complete());
        }
        return List.of();
    }

    private List<Act> finish(Code code, long stayAway) {
        List<Act> acts = new ArrayList<>(List.of(new Act.TellFinal(code, stayAway)));
        acts.addAll(over(true));
        return acts;
    }

    private List<Act> withdraw() {
        attempt = -1;
        if (!asked) {
            return List.of();
        }
        asked = false;
        return List.of(new Act.Withdraw());
    }

    private List<Act> over(boolean complete) {
        phase = Phase.OVER;
        List<Act> acts = new ArrayList<>(withdraw());
        if (complete) {
            acts.add(new Act.Complete());
        }
        return acts;
    }

    private List<Act> abort(String why) {
        if (phase == Phase.OVER) {
            return List.of();
        }
        List<Act> acts = new ArrayList<>(over(false));
        acts.add(new Act.Abort(why));
        return acts;
    }
}
