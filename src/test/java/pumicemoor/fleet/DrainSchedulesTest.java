package pumicemoor.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pumicemoor.fleet.DrainRun.MILLI;
import static pumicemoor.fleet.DrainRun.SECOND;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.BiPredicate;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import pumicemoor.fleet.VirtualFleet.Router;

/**
 * Rolling maintenance under random schedules of deaths, restarts, pauses, partitions, packet loss and reordering: never
 * more members out than allowed, no request in flight at a member that is out, and all members back in the end.
 */
class DrainSchedulesTest {

    @Test
    void aWholeTierIsMaintainedWithAllLinksUp() {
        DrainRun run = new DrainRun(5, 10, 2, 7, 60 * SECOND, 1);
        run.run(10 * SECOND);
        assertTrue(run.request(run.fleet.routers.get(3), 7, 0, 10).startsWith("waits"));
        run.runToEnd(120 * SECOND);
        assertEquals(10, run.everOut.size());
        assertEquals(2, run.maxOutAtOnce, "as many members as allowed are out at once");
    }

    @Property(tries = 60, seed = "811")
    void smallFleetsStayWithinTheDrainLimits(@ForAll long seed, @ForAll @IntRange(min = 3, max = 7) int routerCount) {
        play(seed, routerCount, 8, 25);
    }

    @Property(tries = 1, seed = "812")
    void aHundredRoutersStayWithinTheDrainLimits(@ForAll long seed) {
        play(seed, 100, 12, 8);
    }

    private static void play(long seed, int routerCount, int caches, int changeCount) {
        Random random = new Random(seed);
        int maxOut = 1 + random.nextInt(3);
        DrainRun run =
                new DrainRun(routerCount, caches, maxOut, caches - maxOut - random.nextInt(2), 600 * SECOND, seed);
        VirtualFleet fleet = run.fleet;
        run.run(8 * SECOND);
        fleet.lossRate = random.nextInt(3) == 0 ? 0.3 * random.nextDouble() : 0;
        fleet.duplicateRate = random.nextInt(3) == 0 ? 0.3 : 0;
        fleet.maxDelayMicros = random.nextInt(3) == 0 ? 400 * MILLI : 5 * MILLI;
        run.request(fleet.routers.get(random.nextInt(routerCount)), 1, 0, caches);
        for (int i = 0; i < changeCount; i++) {
            run.run((long) (random.nextDouble() * 3 * SECOND));
            change(run, random, routerCount);
        }
        fleet.cut = (a, b) -> false;
        fleet.lossRate = 0;
        fleet.maxDelayMicros = 5 * MILLI;
        for (Router router : fleet.routers) {
            router.pausedUntil = Math.min(router.pausedUntil, fleet.now);
            if (!router.running) {
                fleet.start(router);
            }
        }
        run.run(10 * SECOND);
        run.request(fleet.routers.get(0), 99, 0, caches); // in case the first request was lost with its router
        run.runToEnd(400 * SECOND);
        assertEquals(caches, run.everOut.size(), () -> "seed " + seed);
    }

    private static void change(DrainRun run, Random random, int routerCount) {
        VirtualFleet fleet = run.fleet;
        List<Router> routers = fleet.routers;
        Router picked = routers.get(random.nextInt(routerCount));
        long unavailable = routers.stream()
                .filter(r -> !r.running || fleet.now - r.startedAt < 10 * SECOND)
                .count();
        switch (random.nextInt(8)) {
            case 0, 1 -> {
                // Kills only a minority, counting those that have not yet learned the plan again.
                if (picked.running && 2 * (unavailable + 1) < routerCount) {
                    fleet.kill(picked);
                }
            }
            case 2 -> {
                if (!picked.running) {
                    fleet.start(picked);
                }
            }
            case 3 -> fleet.pause(picked, (long) (random.nextDouble() * 9 * SECOND));
            case 4 -> {
                List<Router> side = new ArrayList<>(routers);
                side.removeIf(r -> random.nextBoolean());
                fleet.cut = (a, b) -> side.contains(a) != side.contains(b);
            }
            case 5 -> {
                Router other = routers.get(random.nextInt(routerCount));
                BiPredicate<Router, Router> before = fleet.cut;
                fleet.cut = (a, b) -> before.test(a, b) || a == picked && b == other;
            }
            case 6 -> fleet.cut = (a, b) -> false;
            default -> run.request(picked, random.nextInt(3), random.nextInt(4), run.caches);
        }
    }
}
