package pumicemoor.node;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers the client request ids of ended requests that may have run and must not run twice, so that a request that
 * arrives again under such an id is not sent again. It owns a bounded number of ids, each for a limited time; at the
 * bound the oldest id is forgotten. It must not be used for requests that are safe to repeat.
 */
final class PossiblyExecutedIds {

    private final int capacity;
    private final long retentionMicros;
    private final Map<String, Long> endedAt = new LinkedHashMap<>(); // by id, the oldest first

    /** Creates an empty memory that keeps this number of ids, each for this time (microseconds). */
    PossiblyExecutedIds(int capacity, long retentionMicros) {
        this.capacity = capacity;
        this.retentionMicros = retentionMicros;
    }

    /**
     * Adds an id, or renews its time; returns the number of ids that were forgotten for lack of capacity before their
     * retention time was over.
     */
    int add(long now, String id) {
        int forgottenEarly = 0;
        endedAt.remove(id); // the order is that of the last end
        endedAt.put(id, now);
        Iterator<Long> oldest = endedAt.values().iterator();
        while (oldest.hasNext()) {
            boolean expired = now - oldest.next() > retentionMicros;
            if (!expired && endedAt.size() <= capacity) {
                return forgottenEarly;
            }
            forgottenEarly += expired ? 0 : 1;
            oldest.remove();
        }
        return forgottenEarly;
    }

    /** Whether a request with this id may have run within the retention time. */
    boolean contains(long now, String id) {
        Long at = endedAt.get(id);
        return at != null && now - at <= retentionMicros;
    }

    int size() {
        return endedAt.size();
    }
}
