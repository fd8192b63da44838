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

/** Membership, limit shares and ejections of fleets of several sizes, case by case. */
class FleetTest {

    private static final double LIMIT = 1_000;

    @ParameterizedTest
    @ValueSource(ints = {3, 30, 100})
    void allRoutersFindEachOtherAndShareTheLimit(int routerCount) {
        VirtualFleet fleet = new VirtualFleet(routerCount, routerCount, 10, LimitMeasure.PER_SECOND, LIMIT, 7);
        fleet.startAll();
        fleet.run(
                10 * SECOND,
                () -> assertTrue(
                        fleet.totalLimitShares() <= LIMIT * (1 + 1e-9),
                        () -> "the routers together may use " + fleet.totalLimitShares()));
        assertTrue(fleet.membershipAgrees());
        assertTrue(
                fleet.totalLimitShares() > 0.95 * LIMIT,
                () -> "the routers together may use only " + fleet.totalLimitShares());
    }

    @Test
    void limitSharesFollowDemand() {
        VirtualFleet fleet = new VirtualFleet(8, 8, 10, LimitMeasure.PER_SECOND, LIMIT, 7);
        fleet.routers.get(3).demand = 600;
        fleet.startAll();
        fleet.run(10 * SECOND, () -> assertTrue(fleet.totalLimitShares() <= LIMIT * (1 + 1e-9)));
        assertTrue(
                fleet.routers.get(3).limitShare() > 600,
                () -> "share: " + fleet.routers.get(3).limitShare());
        fleet.routers.get(3).demand = 0;
        fleet.routers.get(5).demand = 900;
        fleet.run(10 * SECOND, () -> assertTrue(fleet.totalLimitShares() <= LIMIT * (1 + 1e-9)));
        assertTrue(
                fleet.routers.get(5).limitShare() > 800,
                () -> "share: " + fleet.routers.get(5).limitShare());
    }

    @Test
    void inAPartitionEachSideStaysWithinItsPartAndNoRouterIsAtZero() {
        VirtualFleet fleet = new VirtualFleet(8, 8, 10, LimitMeasure.PER_SECOND, LIMIT, 11);
        fleet.routers.forEach(r -> r.demand = r.name.hashCode() % 2 == 0 ? 500 : 1);
        fleet.startAll();
        fleet.run(8 * SECOND, () -> {});
        fleet.cut = (a, b) -> (fleet.routers.indexOf(a) < 3) != (fleet.routers.indexOf(b) < 3);
        fleet.run(20 * SECOND, () -> {
            assertTrue(
                    fleet.totalLimitShares() <= LIMIT * (1 + 1e-9),
                    () -> "the routers together may use " + fleet.totalLimitShares());
            fleet.routers.forEach(r -> assertTrue(r.limitShare() > 0, r.name));
        });
        double minorityShares = fleet.routers.subList(0, 3).stream()
                .mapToDouble(VirtualFleet.Router::limitShare)
                .sum();
        assertTrue(
                minorityShares <= LIMIT * 3 / 8 * (1 + 1e-9) && minorityShares > LIMIT * 3 / 8 * 0.9,
                () -> "shares of the minority: " + minorityShares);
        fleet.cut = (a, b) -> false;
        fleet.run(20 * SECOND, () -> assertTrue(fleet.totalLimitShares() <= LIMIT * (1 + 1e-9)));
        assertTrue(fleet.membershipAgrees());
        assertTrue(
                fleet.totalLimitShares() > 0.95 * LIMIT,
                () -> "the routers together may use only " + fleet.totalLimitShares());
    }

    @Test
    void anIsolatedRouterFallsBackToTheEvenShare() {
        VirtualFleet fleet = new VirtualFleet(5, 5, 4, LimitMeasure.PER_SECOND, LIMIT, 3);
        fleet.routers.get(4).demand = 900;
        fleet.startAll();
        fleet.run(8 * SECOND, () -> {});
        assertTrue(fleet.routers.get(4).limitShare() > 700);
        fleet.cut = (a, b) -> a == fleet.routers.get(4) || b == fleet.routers.get(4);
        fleet.run(TIMES.leaseMicros() + TIMES.shrinkMicros(), () -> {});
        fleet.run(
                60 * SECOND, () -> assertEquals(LIMIT / 5, fleet.routers.get(4).limitShare(), LIMIT / 5 * 0.001));
    }

    @Test
    void anEjectionNeedsTwoReportersAndReachesAllRoutersWithinItsBound() {
        VirtualFleet fleet = new VirtualFleet(30, 30, 10, LimitMeasure.PER_SECOND, LIMIT, 5);
        fleet.startAll();
        fleet.run(12 * SECOND, () -> {});
        fleet.reportHealth(fleet.routers.get(2), 1_003, true);
        fleet.run(2 * SECOND, () -> {});
        assertTrue(fleet.ejectedAnywhere().isEmpty(), "one reporting router is not enough");
        long reportedAt = fleet.now;
        fleet.reportHealth(fleet.routers.get(2), 1_003, true);
        fleet.reportHealth(fleet.routers.get(9), 1_003, true);
        fleet.run(Bounds.spreadPeriods(30) * PERIOD, () -> {});
        fleet.routers.forEach(r -> assertTrue(r.firstEjectedAt.containsKey(1_003L), r.name));
        assertTrue(fleet.routers.stream()
                                .mapToLong(r -> r.firstEjectedAt.get(1_003L))
                                .max()
                                .orElseThrow()
                        - reportedAt
                <= Bounds.spreadPeriods(30) * PERIOD);
        fleet.reportHealth(fleet.routers.get(2), 1_003, false);
        fleet.reportHealth(fleet.routers.get(9), 1_003, false);
        fleet.run(Bounds.spreadPeriods(30) * PERIOD, () -> {});
        assertTrue(fleet.ejectedAnywhere().isEmpty(), "the failure reports have ended");
    }

    @Test
    void noMoreThanTheAllowedShareOfATierIsEjected() {
        VirtualFleet fleet = new VirtualFleet(9, 9, 10, LimitMeasure.PER_SECOND, LIMIT, 5);
        fleet.startAll();
        fleet.run(12 * SECOND, () -> {});
        for (int i = 0; i < 40; i++) {
            int round = i;
            for (int m = 0; m < 6; m++) {
                fleet.reportHealth(fleet.routers.get((round + m) % 9), 1_000 + m, true);
            }
            fleet.run(
                    500 * MILLI,
                    () -> assertTrue(fleet.ejectedAnywhere().size() <= 2, () -> "ejected: " + fleet.ejectedAnywhere()));
        }
        assertEquals(2, fleet.ejectedAnywhere().size(), "two of ten may be ejected, and six are reported");
    }

    @Test
    void theSecondRouterOfANameStandsAside() {
        VirtualFleet fleet = new VirtualFleet(5, 5, 4, LimitMeasure.PER_SECOND, LIMIT, 3);
        fleet.routers.subList(0, 4).forEach(fleet::start);
        fleet.run(5 * SECOND, () -> {});
        fleet.start(fleet.routers.get(4), "router-1", fleet.routers.get(4).address);
        fleet.run(10 * SECOND, () -> {});
        assertTrue(fleet.routers.get(4).logEvents.stream()
                .anyMatch(event -> event.text().contains("stands aside")));
        assertTrue(fleet.routers.get(1).logEvents.stream()
                .noneMatch(event -> event.text().contains("stands aside")));
        assertTrue(fleet.routers.get(0).fleet.rows("members").orElseThrow().stream()
                .anyMatch(row -> row.get("name").equals("router-1")
                        && row.get("address").equals(fleet.routers.get(1).address)
                        && row.get("standing").equals("alive")));
    }
}
