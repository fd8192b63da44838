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
 * Random schedules of deaths, restarts, pauses, partitions, one-way cuts, and lost, duplicated and reordered packets:
 * the stated bounds hold at every instant, and all routers agree on the membership after the last change.
 */
class FleetSchedulesTest {

    private static final double LIMIT = 1_000;

    @Property(tries = 150, seed = "4711")
    void smallFleetsStayWithinTheirBounds(@ForAll long seed, @ForAll @IntRange(min = 3, max = 9) int routerCount) {
        play(seed, routerCount, 30, LimitMeasure.PER_SECOND);
    }

    @Property(tries = 60, seed = "4712")
    void wholeNumberSharesStayWithinTheLimit(@ForAll long seed, @ForAll @IntRange(min = 3, max = 9) int routerCount) {
        play(seed, routerCount, 30, LimitMeasure.IN_FLIGHT);
    }

    @Property(tries = 2, seed = "4713")
    void aHundredRoutersStayWithinTheirBounds(@ForAll long seed) {
        play(seed, 100, 12, LimitMeasure.PER_SECOND);
    }

    private static void play(long seed, int routerCount, int changeCount, LimitMeasure measure) {
        Random random = new Random(seed);
        VirtualFleet fleet = new VirtualFleet(routerCount, routerCount, 10, measure, LIMIT, seed);
        fleet.lossRate = random.nextInt(3) == 0 ? 0.3 * random.nextDouble() : 0;
        fleet.duplicateRate = random.nextInt(3) == 0 ? 0.3 : 0;
        fleet.maxDelayMicros = random.nextInt(3) == 0 ? 400 * MILLI : 5 * MILLI;
        Map<Router, Long> restarted = new HashMap<>();
        Runnable checkBounds = () -> {
            // A process that was just restarted may not yet be in its grantor's lease table as its predecessor was.
            long recentRestarts = restarted.values().stream()
                    .filter(at -> fleet.now - at < 2 * TIMES.shrinkMicros())
                    .count();
            double bound = LIMIT + recentRestarts * LIMIT / routerCount;
            assertTrue(
                    fleet.totalLimitShares() <= bound * (1 + 1e-9),
                    () -> "the routers together may use " + fleet.totalLimitShares() + " of " + LIMIT);
            assertTrue(fleet.ejectedAnywhere().size() <= 2, () -> "ejected: " + fleet.ejectedAnywhere());
            fleet.routers.stream()
                    .filter(r -> r.running)
                    .forEach(r -> assertTrue(r.limitShare() > 0, r.name + " has a limit share of zero"));
        };
        fleet.startAll();
        for (int i = 0; i < changeCount; i++) {
            fleet.run((long) (random.nextDouble() * 2 * SECOND), checkBounds);
            change(fleet, random, restarted);
        }
        fleet.cut = (a, b) -> false;
        for (Router router : fleet.routers) {
            router.pausedUntil = Math.min(router.pausedUntil, fleet.now);
            if (!router.running) {
                restarted.put(router, fleet.now);
                fleet.start(router);
            }
        }
        fleet.lossRate = 0;
        fleet.maxDelayMicros = 5 * MILLI;
        fleet.run(45 * SECOND, checkBounds);
        assertTrue(fleet.membershipAgrees(), () -> "seed " + seed + ": the routers do not agree on the membership");
        assertTrue(
                fleet.totalLimitShares() > 0.85 * LIMIT,
                () -> "seed " + seed + ": the routers together may use only " + fleet.totalLimitShares());
    }

    private static void change(VirtualFleet fleet, Random random, Map<Router, Long> restarted) {
        List<Router> routers = fleet.routers;
        Router picked = routers.get(random.nextInt(routers.size()));
        switch (random.nextInt(9)) {
            case 0 -> fleet.kill(picked);
            case 1 -> {
                if (!picked.running) {
                    restarted.put(picked, fleet.now);
                    fleet.start(picked);
                }
            }
            case 2 -> fleet.pause(picked, (long) (random.nextDouble() * 8 * SECOND));
            case 3 -> {
                List<Router> side = new ArrayList<>(routers);
                side.removeIf(r -> random.nextBoolean());
                fleet.cut = (a, b) -> side.contains(a) != side.contains(b);
            }
            case 4 -> {
                Router other = routers.get(random.nextInt(routers.size()));
                BiPredicate<Router, Router> before = fleet.cut;
                fleet.cut = (a, b) -> before.test(a, b) || a == picked && b == other;
            }
            case 5 -> fleet.cut = (a, b) -> false;
            case 6, 7 -> picked.demand = random.nextInt(3) == 0 ? 0 : random.nextDouble() * LIMIT;
            default -> {
                for (Router router : routers) {
                    if (fleet.isActive(router) && random.nextInt(3) > 0) {
                        fleet.reportHealth(router, 1_000 + random.nextInt(5), random.nextInt(4) > 0);
                    }
                }
            }
        }
    }

    /**
     * In the virtual network an ejection reaches every router within the stated bound although 30 % of the packets are
     * lost.
     */
    @Property(tries = 30, seed = "4714")
    void ejectionsSpreadWithinTheBoundUnderLoss(
            @ForAll long seed, @ForAll @IntRange(min = 3, max = 60) int routerCount) {
        VirtualFleet fleet = new VirtualFleet(routerCount, routerCount, 10, LimitMeasure.PER_SECOND, LIMIT, seed);
        fleet.startAll();
        fleet.run(15 * SECOND, () -> {});
        fleet.lossRate = 0.3;
        fleet.run(3 * SECOND, () -> {});
        long[] ejectedAt = {Long.MAX_VALUE};
        fleet.routers.subList(0, 2).forEach(r -> fleet.reportHealth(r, 1_003, true));
        for (int i = 0; i < 20; i++) {
            fleet.run(SECOND, () -> {
                boolean known = fleet.routers.stream().anyMatch(r -> r.firstEjectedAt.containsKey(1_003L));
                ejectedAt[0] = known ? Math.min(ejectedAt[0], fleet.now) : ejectedAt[0];
            });
            fleet.routers.subList(0, 2).forEach(r -> fleet.reportHealth(r, 1_003, true));
        }
        long lastEjectedAt = fleet.routers.stream()
                .mapToLong(r -> r.firstEjectedAt.getOrDefault(1_003L, Long.MAX_VALUE))
                .max()
                .orElse(0);
        assertTrue(
                lastEjectedAt - ejectedAt[0] <= Bounds.spreadPeriods(routerCount) * PERIOD,
                () -> routerCount + " routers, " + (lastEjectedAt - ejectedAt[0]) / MILLI
                        + " ms until the ejection reached all");
    }
}
