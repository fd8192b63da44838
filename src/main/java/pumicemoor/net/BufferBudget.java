package pumicemoor.net;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.LongSupplier;

/**
 * Limits the memory that message bodies use. It owns the queue of readers that wait for capacity and must never reject
 * one: a waiting reader stops reading, so that flow control stops the peer.
 */
final class BufferBudget {

    private final LongSupplier usedBytes;
    private final long maxBytes;
    private final Queue<Runnable> waitingReaders = new ArrayDeque<>();

    BufferBudget(LongSupplier usedBytes, long maxBytes) {
        this.usedBytes = usedBytes;
        this.maxBytes = maxBytes;
    }

    /** Whether this number of additional bytes fits within the limit. */
    boolean hasCapacity(long bytes) {
        return usedBytes.getAsLong() + bytes <= maxBytes;
    }

    /** Whether a reader may allocate this number of bytes; if not, it is queued and resumed once there is capacity. */
    boolean admit(long bytes, Runnable resume) {
        boolean admitted = hasCapacity(bytes);
        if (!admitted) {
            waitingReaders.add(resume);
        }
        return admitted;
    }

    /** Resumes waiting readers, as far as there is capacity. */
    void resume() {
        for (int remaining = waitingReaders.size(); remaining > 0 && hasCapacity(0); remaining--) {
            waitingReaders.poll().run();
        }
    }
}
