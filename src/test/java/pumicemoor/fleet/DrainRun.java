package pumicemoor.fleet;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import pumicemoor.RouterApi.LimitMeasure;
import pumicemoor.fleet.VirtualFleet.Router;
import pumicemoor.fleet.drains.DrainOrder;
import pumicemoor.fleet.drains.DrainTimes;
import pumicemoor.fleet.drains.Phase;
import pumicemoor.fleet.drains.Plan;

/**
 * A rolling maintenance in a {@link VirtualFleet}. A simulated operator takes a member down once any router shows that
 * it is out, and brings it back some time later. The guarantees of drains are checked at every step.
 */
final class DrainRun {

    static final long MILLI = VirtualFleet.MILLI;
    static final long SECOND = VirtualFleet.SECOND;
    static final long MAX_ATTEMPT_MICROS = 2 * SECOND;
    static final long WARM_UP_MICROS = SECOND;

    /** The work on a member that is physically down: since when, and under which fence. */
    private record Work(long since, long fence) {}

    final VirtualFleet fleet;
    final int caches;
    final int maxOut;
    final int minServing;
    final Map<Long, Work> down = new LinkedHashMap<>();
    // Members whose work is done, with the fence of the drain.
    final Map<Long, Long> finishedWork = new LinkedHashMap<>();
    final Set<Long> fencesSeen = new HashSet<>();
    final Set<Long> everOut = new HashSet<>();
    final Random random;
    long workMicros = 500 * MILLI;
    boolean operatorPresent = true;
    int maxOutAtOnce;

    DrainRun(int routers, int caches, int maxOut, int minServing, long goneMicros, long seed) {
        this.caches = caches;
        this.maxOut = maxOut;
        this.minServing = minServing;
        this.random = new Random(seed);
        fleet = new VirtualFleet(routers, routers, caches, LimitMeasure.PER_SECOND, 1_000, seed);
        fleet.drains = Optional.of(new DrainTimes(
                200 * MILLI, MAX_ATTEMPT_MICROS, goneMicros, 60 * SECOND, WARM_UP_MICROS, WARM_UP_MICROS));
        fleet.startAll();
    }

    static long cacheId(int i) {
        return 1_000L + i;
    }

    /** Requests the maintenance of the caches from (inclusive) to (exclusive) at a router and returns its answer. */
    String request(Router router, long id, int from, int to) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("drain", "request");
        fields.put("id", Long.toHexString(id));
        fields.put(
                "members",
                VirtualFleet.range(to).skip(from).mapToObj(i -> "box-" + i).collect(Collectors.joining(",")));
        fields.put("max-at-once", Integer.toString(maxOut));
        fields.put("min-serving", Integer.toString(minServing));
        return router.fleet.handleCommand(fleet.now, fields);
    }

    void run(long time) {
        fleet.run(time, this::step);
    }

    /** Runs until the maintenance has ended, and fails after the given time. Returns how long it took. */
    long runToEnd(long timeout) {
        long from = fleet.now;
        while (fleet.now - from < timeout && !ended()) {
            run(SECOND);
        }
        assertTrue(
                ended(),
                () -> "not ended after " + timeout / SECOND + " s: "
                        + fleet.routers.stream()
                                .map(router -> router.running + " "
                                        + router.fleet.rows("drains").orElseThrow()
                                        + router.fleet.rows("drain-requests").orElseThrow())
                                .toList());
        return fleet.now - from;
    }

    boolean ended() {
        return down.isEmpty()
                && everOut.size() > 0
                && fleet.routers.stream()
                        .filter(r -> r.running)
                        .allMatch(router -> router.fleet
                                        .plan()
                                        .orElseThrow()
                                        .requests()
                                        .isEmpty()
                                && !router.fleet.plan().orElseThrow().closed().isEmpty());
    }

    private void step() {
        for (Router router : fleet.routers) {
            if (fleet.isActive(router) && random.nextInt(4) == 0) {
                router.startAttempt(cacheId(random.nextInt(caches)), (long) (random.nextDouble() * MAX_ATTEMPT_MICROS));
            }
        }
        check();
        if (operatorPresent) {
            operate();
        }
    }

    /** Checks the invariants that hold at every instant. */
    private void check() {
        for (Router router : fleet.routers) {
            Plan plan = router.fleet.plan().orElseThrow();
            assertTrue(plan.out() <= maxOut, () -> router.name + ": " + plan);
            // A restarted process that has reached no other router guarantees nothing.
            boolean hasPlan = plan.stamp() > 0;
            down.keySet()
                    .forEach(member -> assertTrue(
                            !router.running || !hasPlan || router.attemptsInFlight(member) == 0,
                            () -> router.name + " has " + router.attemptsInFlight(member) + " attempts in flight at "
                                    + member + ", which is out; " + plan + " " + router.fleet.rows("members")
                                    + router.fleet.fields()));
        }
        maxOutAtOnce = Math.max(maxOutAtOnce, down.size());
        assertTrue(down.size() <= maxOut, () -> "members down at once: " + down);
        assertTrue(caches - down.size() >= minServing, () -> "too few members serve while these are down: " + down);
    }

    private void operate() {
        for (Router router : fleet.routers) {
            if (!fleet.isActive(router)) {
                continue;
            }
            for (DrainOrder order : router.fleet.plan().orElseThrow().orders()) {
                if (order.phase() == Phase.OUT && fencesSeen.add(order.fence() * 31 + order.member())) {
                    assertTrue(!down.containsKey(order.member()), "a member goes out twice");
                    down.put(order.member(), new Work(fleet.now, order.fence()));
                    everOut.add(order.member());
                    check();
                }
            }
        }
        List<Router> active = fleet.routers.stream().filter(fleet::isActive).toList();
        down.forEach((member, started) -> {
            if (fleet.now - started.since() >= workMicros) {
                finishedWork.put(member, started.fence()); // the member runs again; next the routers are notified
            }
        });
        down.keySet().removeAll(finishedWork.keySet());
        for (Map.Entry<Long, Long> entry : List.copyOf(finishedWork.entrySet())) {
            if (active.isEmpty() || random.nextInt(3) > 0) {
                continue;
            }
            Router router = active.get(random.nextInt(active.size()));
            Plan plan = router.fleet.plan().orElseThrow();
            // The operator relies on what this router shows, and repeats the command until it no longer shows the
            // member as out under that fence.
            if (plan.stamp() > entry.getValue()
                    && plan.orderFor(entry.getKey())
                            .map(o -> o.fence() > entry.getValue())
                            .orElse(true)) {
                finishedWork.remove(entry.getKey());
            } else {
                String answer = router.fleet.handleCommand(
                        fleet.now,
                        Map.of(
                                "drain",
                                "done",
                                "id",
                                Long.toHexString(entry.getValue()),
                                "members",
                                "box-" + (entry.getKey() - 1_000),
                                "fence",
                                Long.toString(entry.getValue())));
                assertTrue(answer.startsWith("waits") || answer.startsWith("refused: members"), answer);
            }
        }
    }
}
