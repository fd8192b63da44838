package pumicemoor.calls;

import java.util.LinkedHashMap;
import java.util.Map;
import pumicemoor.RefusalPolicy.EarlierAttempts;

/**
 * A registry of calls by id, so that a request with side effects is not sent to a member twice. It owns a bounded
 * number of entries, one for each id of a request that must not run twice, from the call until long after its end; it
 * must not be used for other requests. Since it is empty after a start of the router, it refuses a client retry with an
 * unknown id: the request may have run.
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

    private final int capacity;
    private final long retentionMicros;
    private final Map<String, Status> statusById = new LinkedHashMap<>();
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
     * id is open or may have run, or if it is a client retry with an unknown id.
     */
    public EarlierAttempts earlierAttempts(long now, String id, boolean clientRetry) {
        evict(now);
        Status status = statusById.get(id);
        return EarlierAttempts.of(
                status == null ? clientRetry : status == Status.OPEN || status == Status.MAY_HAVE_RUN);
    }

    /** Registers a call as open. */
    public void begin(String id) {
        endedAt.remove(id);
        statusById.put(id, Status.OPEN);
    }

    /**
     * Records the end of a call. It may have run if an attempt was announced and no later report has shown that the
     * attempt never ran.
     */
    public void ended(long now, String id, boolean mayHaveRun) {
        statusById.put(id, mayHaveRun ? Status.MAY_HAVE_RUN : Status.NOT_RUN);
        endedAt.remove(id);
        endedAt.put(id, now);
        evict(now);
    }

    private void evict(long now) {
        while (!endedAt.isEmpty()) {
            Map.Entry<String, Long> oldest = endedAt.entrySet().iterator().next();
            boolean expired = now - oldest.getValue() > retentionMicros;
            if (!expired && statusById.size() <= capacity) {
                return;
            }
            evictedEarly += expired ? 0 : 1;
            endedAt.remove(oldest.getKey());
            statusById.remove(oldest.getKey());
        }
    }

    public int size() {
        return statusById.size();
    }

    /**
     * Returns the number of ids evicted before the end of the retention time; if it grows, the capacity is too small.
     */
    public long evictedEarly() {
        return evictedEarly;
    }
}
