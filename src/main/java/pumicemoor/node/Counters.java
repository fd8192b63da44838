package pumicemoor.node;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.stream.Collectors;

/**
 * Counts what the router has received, sent and answered since its start. The counts are for monitoring only; no
 * decision may depend on them. Only one thread may add; any thread may read.
 */
public final class Counters {

    /** The counters; their names are published as metrics, in lower case with hyphens. */
    public enum Name {
        CONNECTIONS,
        REQUESTS,
        WITHDRAWN,
        TURNED_AWAY,
        TURNED_OUT,
        ATTEMPTS,
        QUITS,
        SERVED,
        UNCHANGED,
        REFUSED,
        FAILED,
        OVERDUE,
        OK,
        ERROR,
        FULL,
        TIMEOUT,
        CONNECT_FAILED,
        RESET,
        CANCELLED,
        MOOT,
        MISS,
        LATE_ANSWERS,
        UNASKED,
        COORDINATOR_CONNECT_FAILED,
        COORDINATOR_ATTEMPTS_ABANDONED,
        COORDINATOR_STREAMS,
        COORDINATOR_STREAMS_LOST,
        STARTED_UNSYNCED,
        HOLDS,
        LOOP_STALLS,
        LONG_RECOVERIES,
        ACCEPT_FAILED,
        UPDATES,
        LIST_LINES,
        MEMBERS_REPLACED,
        PURGES,
        GAPS,
        RELOADS,
        RELOADS_REFUSED,
        BAD_INPUT,
        REPEATED_IDS,
        IDS_FORGOTTEN,
        FRAMES_DROPPED,
        FAULTS,
        BYTES_IN,
        BYTES_OUT,
        LINES_OPENED,
        LINES_DEAD
    }

    private final AtomicLongArray counts = new AtomicLongArray(Name.values().length);

    public void add(Name name, long amount) {
        // no atomic addition needed: a single thread writes
        counts.lazySet(name.ordinal(), counts.get(name.ordinal()) + amount);
    }

    public void add(Name name) {
        add(name, 1);
    }

    public long get(Name name) {
        return counts.get(name.ordinal());
    }

    /** Returns all counters by their metric name, in the order of declaration. */
    public Map<String, String> all() {
        Map<String, String> all = new LinkedHashMap<>();
        for (Name name : Name.values()) {
            all.put(name.name().toLowerCase(Locale.ROOT).replace('_', '-'), Long.toString(get(name)));
        }
        return all;
    }

    /** Returns the counters that are not zero, on one line. */
    @Override
    public String toString() {
        return all().entrySet().stream()
                .filter(e -> !e.getValue().equals("0"))
                .map(e -> e.getKey() + "=" + e.getValue())
                .collect(Collectors.joining(" "));
    }
}
