package pumicemoor.net;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Shares the time of the event loop among the client connections. A connection has the loop for a short time, then what
 * it has sent waits until all others that wait have had theirs; all connections together have it for a limited time
 * before timers, caches and the coordinator get their turn. It owns the queue of the connections that wait, and must
 * never let one overtake another.
 */
final class ReadTurns {

    private static final long CONNECTION_TURN_NANOS = TimeUnit.MICROSECONDS.toNanos(500);
    private static final long ALL_CONNECTIONS_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    private final Executor afterOtherInput;
    private final LongSupplier nanoClock;
    private final Deque<FrameDecoder> waiting = new ArrayDeque<>();
    private boolean scheduled; // the next turn of the loop
    private long endNanos; // of the current turn of the loop

    /** Creates the turns of an event loop; the executor runs a task after the loop has looked for other input. */
    ReadTurns(Executor afterOtherInput, LongSupplier nanoClock) {
        this.afterOtherInput = afterOtherInput;
        this.nanoClock = nanoClock;
    }

    /** Whether a connection may decode what it has read just now; if not, it has to wait. */
    boolean mayBegin() {
        if (!waiting.isEmpty()) {
            return false;
        }
        if (!scheduled) {
            endNanos = nanoClock.getAsLong() + ALL_CONNECTIONS_NANOS;
            scheduleNext();
        }
        return nanoClock.getAsLong() < endNanos;
    }

    /** The time (of the clock given) at which the turn of a connection that begins now is over. */
    long connectionTurnEnd() {
        return nanoClock.getAsLong() + CONNECTION_TURN_NANOS;
    }

    boolean isOver(long turnEnd) {
        return nanoClock.getAsLong() >= turnEnd;
    }

    /** Lets a connection continue once it is its turn. */
    void await(FrameDecoder connection) {
        waiting.add(connection);
        if (!scheduled) {
            scheduleNext();
        }
    }

    private void scheduleNext() {
        scheduled = true;
        afterOtherInput.execute(this::runTurn);
    }

    private void runTurn() {
        scheduled = false;
        endNanos = nanoClock.getAsLong() + ALL_CONNECTIONS_NANOS;
        while (!waiting.isEmpty() && nanoClock.getAsLong() < endNanos) {
            waiting.poll().continueDecoding();
        }
        if (!waiting.isEmpty() && !scheduled) {
            scheduleNext();
        }
    }

    /** Lets all connections that wait decode what they have read, however long it takes; for the end of the process. */
    void finish() {
        for (int remaining = waiting.size(); remaining > 0; remaining--) {
            waiting.poll().decodeAll();
        }
    }
}
