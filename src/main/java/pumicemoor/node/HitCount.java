package pumicemoor.node;

import java.util.HashMap;
import java.util.Map;

/** How often members lately answered from what they hold: the present stretch of time and the one before, no more. */
final class HitCount {

    private static final long STRETCH = 10_000_000; // microseconds

    private Map<Long, Integer> present = new HashMap<>();
    private Map<Long, Integer> before = new HashMap<>();
    private long end;

    void add(long now, long member) {
        turn(now);
        present.merge(member, 1, Integer::sum);
    }

    double of(long now, long member) {
        turn(now);
        return present.getOrDefault(member, 0) + before.getOrDefault(member, 0);
    }

    private void turn(long now) {
        if (now >= end) {
            before = now >= end + STRETCH ? Map.of() : present;
            present = new HashMap<>();
            end = now + STRETCH;
        }
    }
}
