package pumicemoor.lab;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Log of the requests that the stand-ins receive, and of their drains and restarts; reports are computed from it. Times
 * are milliseconds since the log was created at the start of the run. It must never query a router.
 */
final class RequestLog {

    /** A request that a member received, sent by a router, or by another member as a fill. */
    record ReceivedRequest(long atMillis, String member, String sender, String object) {}

    /** A fill that returned to a member it had already passed, or that would have waited for itself. */
    record FillLoop(long atMillis, String member, String object, String description) {}

    private final long startNanos = System.nanoTime();
    private final List<ReceivedRequest> requests = new ArrayList<>();
    private final List<FillLoop> fillLoops = new ArrayList<>();
    private final Map<String, Long> drainStartMillis = new HashMap<>();
    private final Map<String, List<long[]>> restartMillis = new HashMap<>(); // by member; each array holds one time
    // by object and waiting member: the members that it waits for
    private final Map<String, Map<String, Set<String>>> waitsByObject = new HashMap<>();

    long nowMillis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void requestReceived(String member, String sender, String object) {
        requests.add(new ReceivedRequest(nowMillis(), member, sender, object));
    }

    synchronized void fillLoop(String member, String object, String description) {
        fillLoops.add(new FillLoop(nowMillis(), member, object, description));
    }

    synchronized void drainStarted(String member) {
        drainStartMillis.put(member, nowMillis());
    }

    synchronized void restarted(String member) {
        restartMillis.computeIfAbsent(member, key -> new ArrayList<>()).add(new long[] {nowMillis()});
    }

    /**
     * Records that one member begins to wait for another, and logs a fill loop if a chain of waits leads back to the
     * first.
     */
    synchronized void waitStarted(String waiter, String target, String object) {
        Map<String, Set<String>> waits = waitsByObject.computeIfAbsent(object, key -> new HashMap<>());
        Set<String> reachable = new HashSet<>(Set.of(target));
        for (int sizeBefore = 0; sizeBefore < reachable.size(); ) {
            sizeBefore = reachable.size();
            List.copyOf(reachable).forEach(next -> reachable.addAll(waits.getOrDefault(next, Set.of())));
        }
        if (reachable.contains(waiter)) {
            fillLoop(waiter, object, "waits for itself through " + target);
        }
        waits.computeIfAbsent(waiter, key -> new HashSet<>()).add(target);
    }

    synchronized void waitEnded(String waiter, String target, String object) {
        Map<String, Set<String>> waits = waitsByObject.get(object);
        if (waits != null
                && waits.getOrDefault(waiter, Set.of()).remove(target)
                && waits.get(waiter).isEmpty()) {
            waits.remove(waiter);
            if (waits.isEmpty()) {
                waitsByObject.remove(object);
            }
        }
    }

    synchronized List<ReceivedRequest> requests() {
        return List.copyOf(requests);
    }

    synchronized List<FillLoop> fillLoops() {
        return List.copyOf(fillLoops);
    }

    synchronized Map<String, Long> drainStartMillis() {
        return Map.copyOf(drainStartMillis);
    }

    /** Returns the times, in milliseconds, at which each member restarted with an empty store. */
    synchronized Map<String, List<Long>> restartMillis() {
        Map<String, List<Long>> timesByMember = new HashMap<>();
        restartMillis.forEach((member, times) ->
                timesByMember.put(member, times.stream().map(start -> start[0]).toList()));
        return timesByMember;
    }
}
