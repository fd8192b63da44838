package pumicemoor.net;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Set;
import pumicemoor.node.Counters;
import pumicemoor.node.Counters.Name;

/**
 * Limits the memory that the frames received in part use on all client connections together. It owns the sum of their
 * buffers. Past the limit it makes the decoders with the largest buffers drop them and skip the rest of their frames,
 * so that a client with a small frame is not affected by clients with large ones. It must never delay a read: a client
 * that leaves must be noticed.
 */
final class PartialFrames {

    private final long maxBytes;
    private final Counters counters;
    private final Set<FrameDecoder> holders = new LinkedHashSet<>(); // those with a buffer
    private long bytes;

    PartialFrames(long maxBytes, Counters counters) {
        this.maxBytes = maxBytes;
        this.counters = counters;
    }

    /** Adds to the memory of one decoder, and drops the largest buffers until the sum is within the limit. */
    void add(FrameDecoder holder, int addedBytes) {
        holders.add(holder);
        bytes += addedBytes;
        while (bytes > maxBytes) {
            FrameDecoder largest = holders.stream()
                    .filter(FrameDecoder::canDrop)
                    .max(Comparator.comparingInt(FrameDecoder::heldBytes))
                    .orElse(null);
            if (largest == null) {
                return; // what is left are frames of which not even the header is received
            }
            counters.add(Name.FRAMES_DROPPED);
            largest.drop();
        }
    }

    /** Removes the memory of one decoder, whose buffer has been released or passed on. */
    void remove(FrameDecoder holder, int removedBytes) {
        holders.remove(holder);
        bytes -= removedBytes;
    }

    /** The memory in bytes of all frames received in part. */
    long bytes() {
        return bytes;
    }

    /** The number of connections with a frame received in part. */
    int connections() {
        return holders.size();
    }
}
