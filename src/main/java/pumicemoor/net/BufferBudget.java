package pumicemoor.net;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.LongSupplier;

/**
 * The bound on the bytes that bodies may hold in memory. It owns the queue of readers that wait for room and
 * must never turn one away: who waits stops reading, and so the other side stops writing.
 */
final class BufferBudget {

    private final LongSupplier held;
    private final long bound;
    private final Queue<Runnable> waiting = new ArrayDeque<>();

    BufferBudget(LongSupplier held, long bound) {
        this.held = held;
        this.bound = bound;
    }

    /** Whether there is room for so many bytes more. */
    boolean room(long bytes) {
        return held.getAsLong() + bytes <= bound;
    }

    /** Whether a reader may go on; if not, it is called once there is room. */
    boolean admit(long bytes, Runnable goOn) {
        boolean admitted = room(bytes);
        if (!admitted) {
            waiting.add(goOn);
        }
        return admitted;
    }

    /** Lets those go on that have waited, as far as there is room. */
    void resume() {
        for (int n = waiting.size(); n > 0 && room(0); n--) {
            waiting.poll().run();
        }
    }
}
