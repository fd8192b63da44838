package pumicemoor.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pumicemoor.fleet.VirtualFleet.MILLI;
import static pumicemoor.fleet.VirtualFleet.PERIOD;
import static pumicemoor.fleet.VirtualFleet.SECOND;
import static pumicemoor.fleet.VirtualFleet.TIMES;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pumicemoor.RouterApi.LimitMeasure;

/** Fleets of several sizes, case by case. */
class FleetTest {

    private static final double LIMIT = 1_000;

    @ParameterizedTest
    @ValueSource(ints = {3, 30, 100})
    void allFindEachOtherAndTheLimitIsShared(int n) {
        VirtualFleet fleet = new VirtualFleet(n, n, 10, LimitMeasure.PER_SECOND, LIMIT, 7);
        fleet.startAll();
        fleet.run(10 * SECOND, () -> assertTrue(fleet.spent() <= LIMIT * (1 + 1e-9), () -> "spends " + fleet.spent()));
        assertTrue(fleet.agreed());
        assertTrue(fleet.spent() > 0.95 * LIMIT, () -> "spends only " + fleet.spent());
    }

    @Test
    void sharesMoveToWhereDemandIs() {
        VirtualFleet fleet = new VirtualFleet(8, 8, 10, LimitMeasure.PER_SECOND, LIMIT, 7);
        fleet.routers.get(3).wanted = 600;
        fleet.startAll();
        fleet.run(10 * SECOND, () -> assertTrue(fleet.spent() <= LIMIT * (1 + 1e-9)));
        assertTrue(
                fleet.routers.get(3).part() > 600,
                () -> "has " + fleet.routers.get(3).part());
        fleet.routers.get(3).wanted = 0;
        fleet.routers.get(5).wanted = 900;
        fleet.run(10 * SECOND, () -> assertTrue(fleet.spent() <= LIMIT * (1 + 1e-9)));
        assertTrue(
                fleet.routers.get(5).part() > 800,
                () -> "has " + fleet.routers.get(5).part());
    }

    @Test
    void inASplitEachSideStaysWithinItsPartAndNobodyIsAtZero() {
        VirtualFleet fleet = new VirtualFleet(8, 8, 10, LimitMeasure.PER_SECOND, LIMIT, 11);
        fleet.routers.forEach(r -> r.wanted = r.name.hashCode() % 2 == 0 ? 500 : 1);
        fleet.startAll();
        fleet.run(8 * SECOND, () -> {});
        fleet.cut = (a, b) -> (fleet.routers.indexOf(a) < 3) != (fleet.routers.indexOf(b) < 3);
        fleet.run(20 * SECOND, () -> {
            assertTrue(fleet.spent() <= LIMIT * (1 + 1e-9), () -> "spends " + fleet.spent());
            fleet.routers.forEach(r -> assertTrue(r.part() > 0, r.name));
        });
        double small = fleet.routers.subList(0, 3).stream()
                .mapToDouble(VirtualFleet.Router::part)
                .sum();
        assertTrue(small <= LIMIT * 3 / 8 * (1 + 1e-9) && small > LIMIT * 3 / 8 * 0.9, () -> "small side " + small);
        fleet.cut = (a, b) -> false;
        fleet.run(20 * SECOND, () -> assertTrue(fleet.spent() <= LIMIT * (1 + 1e-9)));
        assertTrue(fleet.agreed());
        assertTrue(fleet.spent() > 0.95 * LIMIT, () -> "spends only " + fleet.spent());
    }

    @Test
    void whoIsCutOffAloneFallsBackToTheEvenPart() {
        VirtualFleet fleet = new VirtualFleet(5, 5, 4, LimitMeasure.PER_SECOND, LIMIT, 3);
        fleet.routers.get(4).wanted = 900;
        fleet.startAll();
        fleet.run(8 * SECOND, () -> {});
        assertTrue(fleet.routers.get(4).part() > 700);
        fleet.cut = (a, b) -> a == fleet.routers.get(4) || b == fleet.routers.get(4);
        fleet.run(TIMES.lease() + TIMES.shrink(), () -> {});
        fleet.run(
                60 * SECOND, () -> assertEquals(LIMIT / 5, fleet.routers.get(4).part(), LIMIT / 5 * 0.001));
    }

    @Test
    void aVerdictNeedsTwoWitnessesAndReachesAllWithinItsBound() {
        VirtualFleet fleet = new VirtualFleet(30, 30, 10, LimitMeasure.PER_SECOND, LIMIT, 5);
        fleet.startAll();
        fleet.run(12 * SECOND, () -> {});
        fleet.judge(fleet.routers.get(2), 1_003, true);
        fleet.run(2 * SECOND, () -> {});
        assertTrue(fleet.outAnywhere().isEmpty(), "one accuser is not enough");
        long at = fleet.now;
        fleet.judge(fleet.routers.get(2), 1_003, true);
        fleet.judge(fleet.routers.get(9), 1_003, true);
        fleet.run(Bounds.spread(30) * PERIOD, () -> {});
        fleet.routers.forEach(r -> assertTrue(r.heardOut.containsKey(1_003L), r.name));
        assertTrue(fleet.routers.stream()
                                .mapToLong(r -> r.heardOut.get(1_003L))
                                .max()
                                .orElseThrow()
                        - at
                <= Bounds.spread(30) * PERIOD);
        fleet.judge(fleet.routers.get(2), 1_003, false);
        fleet.judge(fleet.routers.get(9), 1_003, false);
        fleet.run(Bounds.spread(30) * PERIOD, () -> {});
        assertTrue(fleet.outAnywhere().isEmpty(), "the evidence has ended");
    }

    @Test
    void noMoreThanTheShareOfATierIsOut() {
        VirtualFleet fleet = new VirtualFleet(9, 9, 10, LimitMeasure.PER_SECOND, LIMIT, 5);
        fleet.startAll();
        fleet.run(12 * SECOND, () -> {});
        for (int i = 0; i < 40; i++) {
            int round = i;
            for (int m = 0; m < 6; m++) {
                fleet.judge(fleet.routers.get((round + m) % 9), 1_000 + m, true);
            }
            fleet.run(
                    500 * MILLI, () -> assertTrue(fleet.outAnywhere().size() <= 2, () -> "out " + fleet.outAnywhere()));
        }
        assertEquals(2, fleet.outAnywhere().size(), "two of ten may be out, and six are accused");
    }

    @Test
    void theSecondOfANameStandsAside() {
        VirtualFleet fleet = new VirtualFleet(5, 5, 4, LimitMeasure.PER_SECOND, LIMIT, 3);
        fleet.routers.subList(0, 4).forEach(fleet::start);
        fleet.run(5 * SECOND, () -> {});
        fleet.start(fleet.routers.get(4), "router-1", fleet.routers.get(4).address);
        fleet.run(10 * SECOND, () -> {});
        assertTrue(fleet.routers.get(4).notices.stream().anyMatch(n -> n.text().contains("stands aside")));
        assertTrue(fleet.routers.get(1).notices.stream().noneMatch(n -> n.text().contains("stands aside")));
        assertTrue(fleet.routers.get(0).fleet.rows("members").orElseThrow().stream()
                .anyMatch(m -> m.get("name").equals("router-1")
                        && m.get("address").equals(fleet.routers.get(1).address)
                        && m.get("standing").equals("alive")));
    }
}
