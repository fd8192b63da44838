package pumicemoor.idempotency;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import pumicemoor.RefusalPolicy.EarlierAttempts;

/**
 * Remembers by id the requests that must not run twice: those that are open, those that have ended and may have run,
 * and those of which every try at this router is known not to have run. It owns a bounded number of ids of ended
 * requests, each for a limited time; ids of requests that may have run have a bound of their own, so that others never
 * push them out. It must not be used for requests that are safe to repeat. Since it is empty after a start of the
 * router, it can't vouch for a try that was made elsewhere or before.
 */
public final class RequestHistory {

    /** The number of earlier tries of a request whose sender has given none that can be read. */
    public static final int UNKNOWN_TRIES = Integer.MAX_VALUE;

    private final int mayHaveRunCapacity;
    private final int notRunCapacity;
    private final long retentionMicros;
    private final Map<String, Integer> openTries = new HashMap<>(); // by id, the open one included
    private final Map<String, Ended> mayHaveRun = new LinkedHashMap<>(); // the order of the maps is that of the ends
    private final Map<String, Ended> notRun = new LinkedHashMap<>();
    private long forgottenEarly;

    /** The end of the last try of a request, with the number of its tries at this router. */
    private record Ended(long at, int tries) {}

    /**
     * Creates an empty history that keeps ids of ended requests for a retention time (microseconds), up to a capacity
     * for those that may have run and another one for those that have not.
     */
    public RequestHistory(int mayHaveRunCapacity, int notRunCapacity, long retentionMicros) {
        this.mayHaveRunCapacity = mayHaveRunCapacity;
        this.notRunCapacity = notRunCapacity;
        this.retentionMicros = retentionMicros;
    }

    /**
     * What is known of the earlier attempts of a request that arrives now. The sender gives the number of its earlier
     * tries under this id; tries that this router has not seen may have run elsewhere.
     */
    public EarlierAttempts earlierAttempts(long now, String id, int earlierTries) {
        if (openTries.containsKey(id) || isKept(mayHaveRun.get(id), now)) {
            return EarlierAttempts.MAY_HAVE_RUN;
        }
        Ended ended = notRun.get(id);
        int seenTries = isKept(ended, now) ? ended.tries() : 0;
        return EarlierAttempts.of(earlierTries > seenTries);
    }

    /** Records that a try of a request is open from now on, in place of its last one. */
    public void begin(String id) {
        Ended ended = notRun.remove(id);
        openTries.merge(id, ended == null ? 1 : ended.tries() + 1, (tries, first) -> tries + 1);
    }

    /** Records that a try was turned away before any attempt. */
    public void turnedAway(long now, String id) {
        if (openTries.containsKey(id)) {
            begin(id); // an attempt is kept for the next try
        } else if (!isKept(mayHaveRun.get(id), now)) {
            begin(id);
            ended(now, id, false);
        }
    }

    /**
     * Records the end of a request, which may have run unless each of its attempts is known not to have. Returns the
     * number of ids that were forgotten early for it.
     */
    public int ended(long now, String id, boolean requestMayHaveRun) {
        Integer tries = openTries.remove(id);
        notRun.remove(id);
        mayHaveRun.remove(id); // it goes to the end of the order
        (requestMayHaveRun ? mayHaveRun : notRun).put(id, new Ended(now, tries == null ? 1 : tries));
        removeOldest(notRun, notRunCapacity, now);
        int forgotten = removeOldest(mayHaveRun, mayHaveRunCapacity, now);
        forgottenEarly += forgotten;
        return forgotten;
    }

    /** Removes expired ids and those over the capacity; returns the number of the latter. */
    private int removeOldest(Map<String, Ended> ids, int capacity, long now) {
        int removedEarly = 0;
        for (Iterator<Ended> oldest = ids.values().iterator(); oldest.hasNext(); ) {
            boolean kept = isKept(oldest.next(), now);
            if (kept && ids.size() <= capacity) {
                return removedEarly;
            }
            removedEarly += kept ? 1 : 0;
            oldest.remove();
        }
        return removedEarly;
    }

    private boolean isKept(Ended ended, long now) {
        return ended != null && now - ended.at() <= retentionMicros;
    }

    /** The number of ids that are remembered. */
    public int size() {
        return openTries.size() + mayHaveRun.size() + notRun.size();
    }

    /**
     * The number of ids of requests that may have run and were forgotten before the end of the retention time, for lack
     * of capacity; if it grows, the capacity is too small.
     */
    public long forgottenEarly() {
        return forgottenEarly;
    }
}
