package pumicemoor.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.ToIntFunction;

/**
 * A queue of updates to piggyback on outgoing packets. Each update is sent a number of times that grows with the
 * logarithm of the fleet size; those sent least often go first, and of equals the newest. Keeps the transmission count
 * of each update. Only the newest update about a subject is kept, so the number of subjects bounds the queue.
 */
final class GossipQueue<T> {

    private static final class Entry<T> {
        final String subject;
        final T update;
        final long sequence;
        int transmissions;

        Entry(String subject, T update, long sequence) {
            this.subject = subject;
            this.update = update;
            this.sequence = sequence;
        }
    }

    private final Map<String, Entry<T>> bySubject = new HashMap<>();
    private final TreeSet<Entry<T>> byTransmissions = new TreeSet<>(
            Comparator.comparingInt((Entry<T> e) -> e.transmissions).thenComparingLong(e -> -e.sequence));
    private long nextSequence;

    void put(String subject, T update) {
        Entry<T> entry = new Entry<>(subject, update, nextSequence++);
        Entry<T> replaced = bySubject.put(subject, entry);
        if (replaced != null) {
            byTransmissions.remove(replaced);
        }
        byTransmissions.add(entry);
    }

    boolean isEmpty() {
        return bySubject.isEmpty();
    }

    /**
     * Returns the updates that fit into the given number of bytes and counts one transmission for each. Updates that
     * have reached the given number of transmissions are removed.
     */
    List<T> take(int maxBytes, int maxTransmissions, ToIntFunction<T> sizeInBytes) {
        List<Entry<T>> taken = new ArrayList<>();
        int bytesLeft = maxBytes;
        for (Entry<T> entry : byTransmissions) {
            int size = sizeInBytes.applyAsInt(entry.update);
            if (size <= bytesLeft) {
                bytesLeft -= size;
                taken.add(entry);
            }
        }
        for (Entry<T> entry : taken) {
            byTransmissions.remove(entry);
            entry.transmissions++;
            byTransmissions.add(entry);
        }
        while (!byTransmissions.isEmpty() && byTransmissions.last().transmissions >= maxTransmissions) {
            bySubject.remove(byTransmissions.pollLast().subject);
        }
        return taken.stream().map(e -> e.update).toList();
    }
}
