package pumicemoor.node;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * What the router took in, sent and answered, counted since its start. It only counts; nothing may be
 * decided by it.
 */
public final class Counters {

    /** What is counted. */
    public enum Name {
        CONNECTIONS, REQUESTS, WITHDRAWN, TURNED_AWAY, ATTEMPTS, QUITS, SERVED, UNCHANGED, REFUSED, FAILED,
        OVERDUE, OK, ERROR, FULL, TIMEOUT, CONNECT_FAILED, RESET, CANCELLED, MOOT, MISS, LATE_ANSWERS, UPDATES,
        LIST_LINES, PURGES, BAD_INPUT, FAULTS, BYTES_IN, BYTES_OUT, LINES_OPENED
    }

    private final Map<Name, Long> counts = new EnumMap<>(Name.class);

    public void add(Name name, long more) {
        counts.merge(name, more, Long::sum);
    }

    public void add(Name name) {
        add(name, 1);
    }

    public long get(Name name) {
        return counts.getOrDefault(name, 0L);
    }

    /** All that is not zero, on one line. */
    @Override
    public String toString() {
        return counts.entrySet().stream()
                .map(e -> e.getKey().name().toLowerCase(Locale.ROOT).replace('_', '-') + "=" + e.getValue())
                .collect(Collectors.joining(" "));
    }
}
