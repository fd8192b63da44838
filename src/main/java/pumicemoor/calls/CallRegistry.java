package pumicemoor.calls;

import java.util.LinkedHashMap;
import java.util.Map;
import pumicemoor.RefusalPolicy.EarlierAttempts;

/**
 * A registry of calls by id, so that a request with side effects is not sent to a member twice. It owns a bounded
 * number of entries, one for each id of a request that must not run twice, from the call until long after its end; it
 * must not be used for other requests. Since it is empty after a start of the router, it can't vouch for a try that was
 * made elsewhere or before: such a request may have run.
 */
public final class CallRegistry {

    /**
     * The status of a call: open, so an attempt may be running; ended without having run; or ended and may have run.
     */
    private enum Status {
        OPEN,
        NOT_RUN,
        MAY_HAVE_RUN
    }

    /** What is known of an id, with the number of its tries at this router. */
    private record Entry(Status status, int tries) {}

    private final int capacity;
    private final long retentionMicros;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final Map<String, Long> endedAt = new LinkedHashMap<>();
    private long evictedEarly;

    /**
     * Creates a registry that keeps the id of an ended call for the retention time (microseconds), unless the number of
     * entries, open calls included, exceeds the capacity.
     */
    public CallRegistry(int capacity, long retentionMicros) {
        this.capacity = capacity;
        this.retentionMicros = retentionMicros;
    }

    /**
     * What is known of the earlier attempts of a call that arrives now. They may have run if another call with the same
     * id is open or may have run, or if its caller has tried it more often than this router has seen.
     */
    public EarlierAttempts earlierAttempts(long now, String id, int earlierTries) {
        evict(now);
        Entry entry = entries.get(id);
        if (entry == null) {
            return EarlierAttempts.of(earlierTries > 0);
        }
        return EarlierAttempts.of(entry.status() != Status.NOT_RUN || earlierTries > entry.tries());
    }

    /** Registers a try of a call as open, in place of its last one. */
    public void begin(String id) {
        endedAt.remove(id);
        entries.put(id, new Entry(Status.OPEN, tries(id) + 1));
    }

    /**
     * Records the end of a call. It may have run if an attempt was announced and no later report has shown that the
     * attempt never ran.
     */
    public void ended(long now, String id, boolean mayHaveRun) {
        entries.put(id, new Entry(mayHaveRun ? Status.MAY_HAVE_RUN : Status.NOT_RUN, tries(id)));
        endedAt.remove(id);
        endedAt.put(id, now);
        evict(now);
    }

    private int tries(String id) {
        Entry entry = entries.get(id);
        return entry == null ? 0 : entry.tries();
    }

    private void evict(long now) {
        while (!endedAt.isEmpty()) {
            Map.Entry<String, Long> oldest = endedAt.entrySet().iterator().next();
            boolean expired = now - oldest.getValue() > retentionMicros;
            if (!expired && entries.size() <= capacity) {
                return;
            }
            evictedEarly += expired ? 0 : 1;
            endedAt.remove(oldest.getKey());
            entries.remove(oldest.getKey());
        }
    }

    public int size() {
        return entries.size();
    }

    /**
     * Returns the number of ids evicted before the end of the retention time; if it grows, the capacity is too small.
     */
    public long evictedEarly() {
        return evictedEarly;
    }
}
