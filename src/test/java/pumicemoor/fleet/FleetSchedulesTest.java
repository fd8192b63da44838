package pumicemoor.fleet;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static pumicemoor.fleet.VirtualFleet.MILLI;
import static pumicemoor.fleet.VirtualFleet.PERIOD;
import static pumicemoor.fleet.VirtualFleet.SECOND;
import static pumicemoor.fleet.VirtualFleet.TIMES;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BiPredicate;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import pumicemoor.RouterApi.LimitMeasure;
import pumicemoor.fleet.VirtualFleet.Router;

/**
 * Random schedules of deaths, restarts, pauses, splits, one-way cuts, loss, doubling and reordering: the stated bounds
 * hold at every instant, and all agree after the last change.
 */
class FleetSchedulesTest {

    private static final double LIMIT = 1_000;

    @Property(tries = 150, seed = "4711")
    void smallFleetsKeepTheirBounds(@ForAll long seed, @ForAll @IntRange(min = 3, max = 9) int n) {
        play(seed, n, 30, LimitMeasure.PER_SECOND);
    }

    @Property(tries = 60, seed = "4712")
    void partsThatAreWholeAddUpToo(@ForAll long seed, @ForAll @IntRange(min = 3, max = 9) int n) {
        play(seed, n, 30, LimitMeasure.IN_FLIGHT);
    }

    @Property(tries = 2, seed = "4713")
    void aHundredKeepTheirBounds(@ForAll long seed) {
        play(seed, 100, 12, LimitMeasure.PER_SECOND);
    }

    private static void play(long seed, int n, int changes, LimitMeasure measure) {
        Random random = new Random(seed);
        VirtualFleet fleet = new VirtualFleet(n, n, 10, measure, LIMIT, seed);
        fleet.loss = random.nextInt(3) == 0 ? 0.3 * random.nextDouble() : 0;
        fleet.doubled = random.nextInt(3) == 0 ? 0.3 : 0;
        fleet.mostDelay = random.nextInt(3) == 0 ? 400 * MILLI : 5 * MILLI;
        Map<Router, Long> restarted = new HashMap<>();
        Runnable watch = () -> {
            // a process that was just restarted may not yet be in its grantor's book as its old one was
            long fresh = restarted.values().stream()
                    .filter(at -> fleet.now - at < 2 * TIMES.shrink())
                    .count();
            double bound = LIMIT + fresh * LIMIT / n;
            assertTrue(fleet.spent() <= bound * (1 + 1e-9), () -> "the fleet spends " + fleet.spent() + " of " + LIMIT);
            assertTrue(fleet.outAnywhere().size() <= 2, () -> "out " + fleet.outAnywhere());
            fleet.routers.stream()
                    .filter(r -> r.running)
                    .forEach(r -> assertTrue(r.part() > 0, r.name + " is at zero"));
        };
        fleet.startAll();
        for (int i = 0; i < changes; i++) {
            fleet.run((long) (random.nextDouble() * 2 * SECOND), watch);
            change(fleet, random, restarted);
        }
        fleet.cut = (a, b) -> false;
        for (Router r : fleet.routers) {
            r.pausedUntil = Math.min(r.pausedUntil, fleet.now);
            if (!r.running) {
                restarted.put(r, fleet.now);
                fleet.start(r);
            }
        }
        fleet.loss = 0;
        fleet.mostDelay = 5 * MILLI;
        fleet.run(45 * SECOND, watch);
        assertTrue(fleet.agreed(), () -> "seed " + seed + ": they do not agree");
        assertTrue(fleet.spent() > 0.85 * LIMIT, () -> "seed " + seed + ": spends only " + fleet.spent());
    }

    private static void change(VirtualFleet fleet, Random random, Map<Router, Long> restarted) {
        List<Router> routers = fleet.routers;
        Router one = routers.get(random.nextInt(routers.size()));
        switch (random.nextInt(9)) {
            case 0 -> fleet.kill(one);
            case 1 -> {
                if (!one.running) {
                    restarted.put(one, fleet.now);
                    fleet.start(one);
                }
            }
            case 2 -> fleet.pause(one, (long) (random.nextDouble() * 8 * SECOND));
            case 3 -> {
                List<Router> side = new ArrayList<>(routers);
                side.removeIf(r -> random.nextBoolean());
                fleet.cut = (a, b) -> side.contains(a) != side.contains(b);
            }
            case 4 -> {
                Router other = routers.get(random.nextInt(routers.size()));
                BiPredicate<Router, Router> before = fleet.cut;
                fleet.cut = (a, b) -> before.test(a, b) || a == one && b == other;
            }
            case 5 -> fleet.cut = (a, b) -> false;
            case 6, 7 -> one.wanted = random.nextInt(3) == 0 ? 0 : random.nextDouble() * LIMIT;
            default -> {
                for (Router r : routers) {
                    if (fleet.acts(r) && random.nextInt(3) > 0) {
                        fleet.judge(r, 1_000 + random.nextInt(5), random.nextInt(4) > 0);
                    }
                }
            }
        }
    }

    /** In the virtual network a verdict is everywhere within its bound though 30 % of packets are lost. */
    @Property(tries = 30, seed = "4714")
    void verdictsSpreadWithinTheBoundUnderLoss(@ForAll long seed, @ForAll @IntRange(min = 3, max = 60) int n) {
        VirtualFleet fleet = new VirtualFleet(n, n, 10, LimitMeasure.PER_SECOND, LIMIT, seed);
        fleet.startAll();
        fleet.run(15 * SECOND, () -> {});
        fleet.loss = 0.3;
        fleet.run(3 * SECOND, () -> {});
        long[] given = {Long.MAX_VALUE};
        fleet.routers.subList(0, 2).forEach(r -> fleet.judge(r, 1_003, true));
        for (int i = 0; i < 20; i++) {
            fleet.run(SECOND, () -> {
                boolean known = fleet.routers.stream().anyMatch(r -> r.heardOut.containsKey(1_003L));
                given[0] = known ? Math.min(given[0], fleet.now) : given[0];
            });
            fleet.routers.subList(0, 2).forEach(r -> fleet.judge(r, 1_003, true));
        }
        long last = fleet.routers.stream()
                .mapToLong(r -> r.heardOut.getOrDefault(1_003L, Long.MAX_VALUE))
                .max()
                .orElse(0);
        assertTrue(
                last - given[0] <= Bounds.spread(n) * PERIOD,
                () -> n + " routers, " + (last - given[0]) / MILLI + " ms to spread");
    }
}
