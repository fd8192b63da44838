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
import pumicemoor.fleet.drains.DrainTimes;
import pumicemoor.fleet.drains.DrainOrder;
import pumicemoor.fleet.drains.Phase;
import pumicemoor.fleet.drains.Plan;

/**
 * A rolling maintenance in the virtual network, with an operator who takes a member down when any router says that it is
 * out, and brings it back some time later; it checks at every step what drains promise.
 */
final class DrainRun {

    static final long MILLI = VirtualFleet.MILLI;
    static final long SECOND = VirtualFleet.SECOND;
    static final long LONGEST = 2 * SECOND; // an attempt
    static final long WARM = SECOND;

    /** The physical side: since when a member is out for work, under which fence. */
    private record Work(long since, long fence) {}

    final VirtualFleet fleet;
    final int caches;
    final int mostOut;
    final int leastServing;
    final Map<Long, Work> down = new LinkedHashMap<>();
    final Map<Long, Long> worked = new LinkedHashMap<>(); // members done, by their fence
    final Set<Long> fencesSeen = new HashSet<>();
    final Set<Long> everOut = new HashSet<>();
    final Random random;
    long work = 500 * MILLI;
    boolean operatorThere = true;
    int mostEverOut;

    DrainRun(int routers, int caches, int mostOut, int leastServing, long gone, long seed) {
        this.caches = caches;
        this.mostOut = mostOut;
        this.leastServing = leastServing;
        this.random = new Random(seed);
        fleet = new VirtualFleet(routers, routers, caches, LimitMeasure.PER_SECOND, 1_000, seed);
        fleet.drains = Optional.of(new DrainTimes(200 * MILLI, LONGEST, gone, 60 * SECOND, WARM, WARM));
        fleet.startAll();
    }

    static long box(int i) {
        return 1_000L + i;
    }

    /** Asks a router for the maintenance of these; its answer. */
    String request(Router r, long id, int from, int to) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("drain", "request");
        fields.put("id", Long.toHexString(id));
        fields.put(
                "members",
                VirtualFleet.upTo(to).skip(from).mapToObj(i -> "box-" + i).collect(Collectors.joining(",")));
        fields.put("max-at-once", Integer.toString(mostOut));
        fields.put("min-serving", Integer.toString(leastServing));
        return r.fleet.handleCommand(fleet.now, fields);
    }

    void run(long time) {
        fleet.run(time, this::step);
    }

    /** Until nothing is left to be done, at most so long; how long it took. */
    long runToEnd(long longest) {
        long from = fleet.now;
        while (fleet.now - from < longest && !ended()) {
            run(SECOND);
        }
        assertTrue(
                ended(),
                () -> "not ended after " + longest / SECOND + " s: "
                        + fleet.routers.stream()
                                .map(r ->
                                        r.running + " " + r.fleet.rows("drains").orElseThrow()
                                                + r.fleet.rows("drain-requests").orElseThrow())
                                .toList());
        return fleet.now - from;
    }

    boolean ended() {
        return down.isEmpty()
                && everOut.size() > 0
                && fleet.routers.stream()
                        .filter(r -> r.running)
                        .allMatch(r -> r.fleet.plan().orElseThrow().requests().isEmpty()
                                && !r.fleet.plan().orElseThrow().closed().isEmpty());
    }

    private void step() {
        for (Router r : fleet.routers) {
            if (fleet.acts(r) && random.nextInt(4) == 0) {
                r.ask(box(random.nextInt(caches)), (long) (random.nextDouble() * LONGEST));
            }
        }
        check();
        if (operatorThere) {
            operate();
        }
    }

    /** What holds at every instant. */
    private void check() {
        for (Router r : fleet.routers) {
            Plan plan = r.fleet.plan().orElseThrow();
            assertTrue(plan.out() <= mostOut, () -> r.name + ": " + plan);
            boolean knew = plan.stamp() > 0; // a process started anew that has reached nobody promises nothing
            down.keySet()
                    .forEach(m -> assertTrue(
                            !r.running || !knew || r.open(m) == 0,
                            () -> r.name + " has " + r.open(m) + " under way at " + m + ", which is out; " + plan + " "
                                    + r.fleet.rows("members") + r.fleet.fields()));
        }
        mostEverOut = Math.max(mostEverOut, down.size());
        assertTrue(down.size() <= mostOut, () -> "out at once: " + down);
        assertTrue(caches - down.size() >= leastServing, () -> "too few serve: " + down);
    }

    private void operate() {
        for (Router r : fleet.routers) {
            if (!fleet.acts(r)) {
                continue;
            }
            for (DrainOrder o : r.fleet.plan().orElseThrow().orders()) {
                if (o.phase() == Phase.OUT && fencesSeen.add(o.fence() * 31 + o.member())) {
                    assertTrue(!down.containsKey(o.member()), "a member goes out twice");
                    down.put(o.member(), new Work(fleet.now, o.fence()));
                    everOut.add(o.member());
                    check();
                }
            }
        }
        List<Router> there = fleet.routers.stream().filter(fleet::acts).toList();
        down.forEach((m, w) -> {
            if (fleet.now - w.since() >= work) {
                worked.put(m, w.fence()); // it runs again; now the routers are to be told
            }
        });
        down.keySet().removeAll(worked.keySet());
        for (Map.Entry<Long, Long> w : List.copyOf(worked.entrySet())) {
            if (there.isEmpty() || random.nextInt(3) > 0) {
                continue;
            }
            Router r = there.get(random.nextInt(there.size()));
            Plan plan = r.fleet.plan().orElseThrow();
            // the operator goes by what is shown: all is told once the member is no longer out under that fence
            if (plan.stamp() > w.getValue()
                    && plan.of(w.getKey()).map(o -> o.fence() > w.getValue()).orElse(true)) {
                worked.remove(w.getKey());
            } else {
                String said = r.fleet.handleCommand(
                        fleet.now,
                        Map.of(
                                "drain",
                                "done",
                                "id",
                                Long.toHexString(w.getValue()),
                                "members",
                                "box-" + (w.getKey() - 1_000),
                                "fence",
                                Long.toString(w.getValue())));
                assertTrue(said.startsWith("waits") || said.startsWith("refused: members"), said);
            }
        }
    }
}
