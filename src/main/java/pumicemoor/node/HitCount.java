package pumicemoor.node;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts how often each member has recently answered from its own cache, in the current time window and the one before.
 * Times are in microseconds.
 */
final class HitCount {

    private static final long WINDOW_MICROS = 10_000_000;

    private Map<Long, Integer> current = new HashMap<>();
    private Map<Long, Integer> previous = new HashMap<>();
    private long windowEnd;

    void add(long now, long member) {
        rotate(now);
        current.merge(member, 1, Integer::sum);
    }

    double recentHits(long now, long member) {
        rotate(now);
        return current.getOrDefault(member, 0) + previous.getOrDefault(member, 0);
    }

    private void rotate(long now) {
        if (now >= windowEnd) {
            previous = now >= windowEnd + WINDOW_MICROS ? Map.of() : current;
            current = new HashMap<>();
            windowEnd = now + WINDOW_MICROS;
        }
    }
}
