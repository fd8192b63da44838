package pumicemoor.node;

import java.util.EnumMap;
import java.util.LinkedHashMap;
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
        OVERDUE, OK, ERROR, FULL, TIMEOUT, CONNECT_FAILED, RESET, CANCELLED, MOOT, MISS, LATE_ANSWERS,
        UPDATES, LIST_LINES, PURGES, BAD_INPUT, FAULTS, BYTES_IN, BYTES_OUT, LINES_OPENED
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

    /** All of them by name, in their order. */
    public Map<String, String> all() {
        Map<String, String> all = new LinkedHashMap<>();
        for (Name name : Name.values()) {
            all.put(name.name().toLowerCase(Locale.ROOT).replace('_', '-'), Long.toString(get(name)));
        }
        return all;
    }

    /** All that is not zero, on one line. */
    @Override
    public String toString() {
        return all().entrySet().stream().filter(e -> !e.getValue().equals("0"))
                .map(e -> e.getKey() + "=" + e.getValue()).collect(Collectors.joining(" "));
    }
}
