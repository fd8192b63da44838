package pumicemoor.lab;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What reached the stand-ins, written down by them as it happens: the proof on which reports rest. Times are
 * milliseconds since the clients began. It must never ask a router for anything.
 */
final class Record {

    /** What was asked for and from whom: by a router, or by another member as a fill. */
    record Asked(long at, String member, String from, String object) {}

    /** A fill that came round to where it had been, or that would have waited for itself. */
    record Circle(long at, String member, String object, String how) {}

    private final long start = System.nanoTime();
    private final List<Asked> asked = new ArrayList<>();
    private final List<Circle> circles = new ArrayList<>();
    private final Map<String, Long> drainedAt = new HashMap<>();
    private final Map<String, List<long[]>> starts = new HashMap<>(); // of members that started late
    private final Map<String, Map<String, Set<String>>> waiting = new HashMap<>(); // object, who, for whom

    long now() {
        return (System.nanoTime() - start) / 1_000_000;
    }

    synchronized void asked(String member, String from, String object) {
        asked.add(new Asked(now(), member, from, object));
    }

    synchronized void circle(String member, String object, String how) {
        circles.add(new Circle(now(), member, object, how));
    }

    synchronized void drained(String member) {
        drainedAt.put(member, now());
    }

    synchronized void started(String member) {
        starts.computeIfAbsent(member, k -> new ArrayList<>()).add(new long[] {now()});
    }

    /** One member begins to wait for another; a wait that leads back to itself is written down. */
    synchronized void waits(String who, String forWhom, String object) {
        Map<String, Set<String>> waits = waiting.computeIfAbsent(object, k -> new HashMap<>());
        Set<String> seen = new HashSet<>(Set.of(forWhom));
        for (int before = 0; before < seen.size(); ) {
            before = seen.size();
            List.copyOf(seen).forEach(s -> seen.addAll(waits.getOrDefault(s, Set.of())));
        }
        if (seen.contains(who)) {
            circle(who, object, "waits for itself through " + forWhom);
        }
        waits.computeIfAbsent(who, k -> new HashSet<>()).add(forWhom);
    }

    synchronized void waitsNoMore(String who, String forWhom, String object) {
        Map<String, Set<String>> waits = waiting.get(object);
        if (waits != null
                && waits.getOrDefault(who, Set.of()).remove(forWhom)
                && waits.get(who).isEmpty()) {
            waits.remove(who);
            if (waits.isEmpty()) {
                waiting.remove(object);
            }
        }
    }

    synchronized List<Asked> asked() {
        return List.copyOf(asked);
    }

    synchronized List<Circle> circles() {
        return List.copyOf(circles);
    }

    synchronized Map<String, Long> drainedAt() {
        return Map.copyOf(drainedAt);
    }

    /** When a member started cold, in milliseconds. */
    synchronized Map<String, List<Long>> starts() {
        Map<String, List<Long>> all = new HashMap<>();
        starts.forEach((m, at) -> all.put(m, at.stream().map(a -> a[0]).toList()));
        return all;
    }
}
