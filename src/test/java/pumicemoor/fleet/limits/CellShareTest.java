package pumicemoor.fleet.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;
import pumicemoor.RouterApi.LimitMeasure;

/** Checks a lease table whose holders represent cells, and a cell's share of a limit as held by the cell's grantor. */
class CellShareTest {

    private static final long SECOND = 1_000_000;
    private static final LeaseTimes TIMES = new LeaseTimes(3 * SECOND, 300_000);
    private static final LeaseTimes UPPER_TIMES = TIMES.forUpperLevel();
    private static final FleetLimit LIMIT = new FleetLimit("origin", 1, LimitMeasure.PER_SECOND, 100);
    private static final FleetLimit WHOLE_NUMBER_LIMIT = new FleetLimit("origin", 1, LimitMeasure.IN_FLIGHT, 100);

    private static double ask(
            LeaseTable table,
            long now,
            String holder,
            long number,
            long holds,
            int routers,
            double demand,
            double inUse) {
        return table.ask(
                now,
                new LeaseTable.Requester(holder, 1, number, holds, routers),
                demand,
                inUse,
                10,
                held -> held * 10.0);
    }

    @Test
    void upperAndCellTimesFollowFromTheRouterLeaseTimes() {
        assertEquals(6 * SECOND, UPPER_TIMES.leaseMicros());
        assertEquals(1_200_000, UPPER_TIMES.guardMicros());
        assertEquals(
                UPPER_TIMES.guardMicros() + UPPER_TIMES.leaseMicros() + TIMES.leaseMicros(),
                UPPER_TIMES.shrinkMicros());
        assertEquals(
                TIMES.guardMicros() + UPPER_TIMES.guardMicros() + 2 * UPPER_TIMES.leaseMicros() + TIMES.leaseMicros(),
                TIMES.forCellRouters().shrinkMicros());
        assertEquals(TIMES.leaseMicros(), TIMES.forCellRouters().leaseMicros());
        assertEquals(TIMES.guardMicros(), TIMES.forCellRouters().guardMicros());
    }

    @Test
    void cellsThatDemandTheWholeLimitShareItByTheirRouters() {
        LeaseTable table = new LeaseTable(LIMIT, UPPER_TIMES);
        double a = 0;
        double b = 0;
        for (int i = 1; i < 40; i++) {
            a = ask(table, i * SECOND, "a", i, i - 1, 6, 1_000, a);
            b = ask(table, i * SECOND, "b", i, i - 1, 2, 1_000, b);
        }
        assertEquals(60, a, 1e-6);
        assertEquals(20, b, 1e-6);
        assertEquals(8, table.representedRouters());
        assertEquals(100, table.maxFleetSpend(10), 1e-6, "two routers without a holder count with their even shares");
    }

    @Test
    void unusedShareOfOneCellGoesToTheOther() {
        LeaseTable table = new LeaseTable(LIMIT, UPPER_TIMES);
        double a = 0;
        double b = 0;
        for (int i = 1; i < 40; i++) {
            a = ask(table, i * SECOND, "a", i, i - 1, 6, 8, a);
            b = ask(table, i * SECOND, "b", i, i - 1, 2, 1_000, b);
        }
        assertEquals(10, a, 1e-6);
        assertEquals(70, b, 1e-6);
    }

    @Test
    void cellCountsWithItsEvenSharesUntilItConfirmsItsLeaseAndAtLeastWithWhatItHasGranted() {
        LeaseTable table = new LeaseTable(LIMIT, UPPER_TIMES);
        double a = ask(table, SECOND, "a", 1, 0, 6, 0, 0);
        assertEquals(60, Math.max(a, table.maxHolderSpend(10)), 1e-9, "it may not have received its grant");
        ask(table, 2 * SECOND, "a", 2, 1, 6, 0, 35);
        assertEquals(Math.max(35, a), table.maxHolderSpend(10), 1e-9, "leases granted to its routers stay in force");
        double b = ask(table, 2 * SECOND, "b", 1, 0, 2, 1_000, 0);
        assertTrue(b <= 80 - Math.max(35, a) + 1e-9, () -> "b gets " + b);
    }

    @Test
    void minimumShareIsPerRepresentedRouter() {
        LeaseTable table = new LeaseTable(LIMIT, UPPER_TIMES);
        ask(table, SECOND, "a", 1, 0, 5, 1_000, 95);
        assertEquals(3, ask(table, SECOND, "b", 1, 0, 3, 1_000, 0), 1e-9, "a tenth of three even shares");
        LeaseTable wholeNumberTable = new LeaseTable(WHOLE_NUMBER_LIMIT, UPPER_TIMES);
        ask(wholeNumberTable, SECOND, "a", 1, 0, 5, 1_000, 95);
        assertEquals(3, ask(wholeNumberTable, SECOND, "b", 1, 0, 3, 1_000, 0), 1e-9, "one for each router");
    }

    @Test
    void lateRequestChangesNeitherRoutersNorDemand() {
        LeaseTable table = new LeaseTable(LIMIT, UPPER_TIMES);
        ask(table, SECOND, "a", 5, 0, 6, 50, 0);
        assertEquals(-1, ask(table, SECOND, "a", 4, 0, 2, 0, 0));
        assertEquals(6, table.representedRouters());
        assertEquals(50, table.totalDemand(), 1e-9);
    }

    @Test
    void shareFollowsTheRoutersInTheTableAndBacksNoRouterLeaseThatWouldOutlastIt() {
        CellShare share = new CellShare(LIMIT, UPPER_TIMES, TIMES.leaseMicros(), 0);
        assertEquals(
                40,
                share.grantableAmount(SECOND, 4, 10),
                1e-9,
                "without a lease, the even shares of the routers in the table");
        assertEquals(0, share.recordRequest(SECOND, "k", 1, 7, 4));
        assertTrue(share.applyGrant(SECOND, "k", 1, 7, 70));
        assertEquals(70, share.grantableAmount(SECOND, 4, 10), 1e-9);
        assertEquals(
                60,
                share.grantableAmount(SECOND, 3, 10),
                1e-9,
                "a router that left the table takes its even share away");
        assertEquals(80, share.grantableAmount(SECOND, 5, 10), 1e-9, "a router that entered adds its even share");
        long until = SECOND + UPPER_TIMES.leaseMicros();
        assertEquals(until, share.expiresAt());
        assertEquals(70, share.grantableAmount(until - TIMES.leaseMicros(), 4, 10), 1e-9);
        assertEquals(
                40,
                share.grantableAmount(until - TIMES.leaseMicros() + 1, 4, 10),
                1e-9,
                "a router lease granted from now on would outlast the share");
        assertFalse(share.hasEnded(until + UPPER_TIMES.shrinkMicros() - 1));
        assertTrue(share.hasEnded(until + UPPER_TIMES.shrinkMicros()));
    }

    @Test
    void expiredShareBelowTheEvenSharesStaysLowWhileOthersAreReduced() {
        CellShare share = new CellShare(LIMIT, UPPER_TIMES, TIMES.leaseMicros(), 0);
        share.recordRequest(SECOND, "k", 1, 7, 4);
        share.applyGrant(SECOND, "k", 1, 7, 4);
        long until = share.expiresAt();
        assertEquals(4, share.grantableAmount(until, 4, 10), 1e-9);
        assertEquals(4, share.grantableAmount(until + UPPER_TIMES.shrinkMicros() - 1, 4, 10), 1e-9);
        assertEquals(40, share.grantableAmount(until + UPPER_TIMES.shrinkMicros(), 4, 10), 1e-9);
        assertEquals(
                -1,
                share.recordRequest(until + UPPER_TIMES.shrinkMicros() - 1, "other", 1, 8, 4),
                "another grantor is asked only after the shrink time");
        assertEquals(0, share.recordRequest(until + UPPER_TIMES.shrinkMicros(), "other", 1, 9, 4));
    }

    @Test
    void grantIsForTheNumberOfRoutersInItsRequest() {
        CellShare share = new CellShare(LIMIT, UPPER_TIMES, TIMES.leaseMicros(), 0);
        share.recordRequest(SECOND, "k", 1, 7, 4);
        share.recordRequest(SECOND + 1, "k", 1, 8, 6);
        assertTrue(share.applyGrant(SECOND + 2, "k", 1, 7, 50));
        assertEquals(70, share.grantableAmount(SECOND + 2, 6, 10), 1e-9, "requested for four, now six");
        assertTrue(share.applyGrant(SECOND + 3, "k", 1, 8, 50));
        assertEquals(50, share.grantableAmount(SECOND + 3, 6, 10), 1e-9);
        assertFalse(share.applyGrant(SECOND + 4, "k", 1, 7, 90), "older grant after a newer one");
    }

    @Test
    void grownCellCountsWithItsOlderGrantPlusTheEvenSharesOfNewRouters() {
        LeaseTable table = new LeaseTable(LIMIT, UPPER_TIMES);
        double b = 0;
        for (int i = 1; i < 40; i++) {
            ask(table, i * SECOND, "a", i, i - 1, 4, 0, 4);
            b = ask(table, i * SECOND, "b", i, i - 1, 4, 1_000, b);
        }
        double counted = b + 4;
        assertEquals(counted, table.maxHolderSpend(10), 1e-6, "a holds the minimum, a tenth of four even shares");
        ask(table, 40 * SECOND, "a", 40, 39, 5, 0, 4);
        assertEquals(
                counted + 10,
                table.maxHolderSpend(10),
                1e-6,
                "the grant for four is in force until the last one is received");
        ask(table, 41 * SECOND, "a", 41, 40, 5, 0, 4);
        assertEquals(counted + 1, table.maxHolderSpend(10), 1e-6, "it confirms a grant for five");
        ask(table, 42 * SECOND, "a", 42, 41, 3, 0, 4);
        assertEquals(counted + 1, table.maxHolderSpend(10), 1e-6, "fewer routers do not reduce an older grant");
    }

    private static final class Cell {
        final String name;
        int routers;
        final CellShare share;
        final Deque<double[]> grantable = new ArrayDeque<>(); // {time, amount that it could grant}
        final Deque<double[]> granted = new ArrayDeque<>(); // {time, amount that it did grant}
        double demand;
        int grantor; // index of the upper grantor that it asks

        Cell(int number, int routers) {
            this.name = "c" + number;
            this.routers = routers;
            this.share = new CellShare(LIMIT, UPPER_TIMES, TIMES.leaseMicros(), 0);
        }

        /**
         * Returns the most that its routers may spend now: what it could grant at any time within their lease duration.
         */
        double maxSpend(long now, int allRouters) {
            grantable.add(new double[] {now, share.grantableAmount(now, routers, allRouters)});
            return max(grantable, now);
        }

        /** Grants all that it may now. */
        void grantAll(long now, int allRouters) {
            granted.add(new double[] {now, share.grantableAmount(now, routers, allRouters)});
        }

        /** Returns the sum of its routers' leases, as its own table counts them. */
        double counted(long now) {
            return max(granted, now);
        }

        private static double max(Deque<double[]> amounts, long now) {
            amounts.removeIf(a -> a[0] <= now - TIMES.leaseMicros());
            return amounts.stream().mapToDouble(a -> a[1]).max().orElse(0);
        }
    }

    private record InFlight(long arrivesAt, Runnable delivery) {}

    /**
     * Cells with abruptly changing demand and two competing upper grantors; requests and grants are lost, late and
     * duplicated.
     */
    @Property(tries = 80, seed = "5301", shrinking = ShrinkingMode.OFF)
    void sumOfCellSharesStaysWithinTheLimit(@ForAll long seed) {
        Random random = new Random(seed);
        List<Cell> cells = new ArrayList<>();
        for (int i = 0; i < 2 + random.nextInt(4); i++) {
            cells.add(new Cell(i, 1 + random.nextInt(6)));
        }
        int allRouters = cells.stream().mapToInt(c -> c.routers).sum();
        List<LeaseTable> tables = List.of(new LeaseTable(LIMIT, UPPER_TIMES), new LeaseTable(LIMIT, UPPER_TIMES));
        List<InFlight> inFlight = new ArrayList<>();
        long[] clock = {SECOND}; // time of the current delivery
        double highest = 0;
        long now = SECOND;
        for (int step = 1; step < 3_000; step++) {
            now += random.nextInt(200_000);
            clock[0] = now;
            if (random.nextInt(200) == 0) {
                int preferred = random.nextInt(2);
                cells.forEach(c -> c.grantor = random.nextInt(4) == 0 ? 1 - preferred : preferred);
            }
            for (InFlight message : List.copyOf(inFlight)) {
                if (message.arrivesAt() <= now) {
                    inFlight.remove(message);
                    message.delivery().run();
                }
            }
            Cell cell = cells.get(random.nextInt(cells.size()));
            if (random.nextInt(40) == 0) {
                cell.demand = random.nextInt(3) == 0 ? 0 : random.nextDouble() * 150;
            }
            long number = step;
            LeaseTable table = tables.get(cell.grantor);
            String grantor = "k" + cell.grantor;
            long holds = cell.share.recordRequest(now, grantor, 1, number, cell.routers);
            if (holds >= 0 && random.nextInt(4) > 0) {
                double inUse = cell.maxSpend(now, allRouters);
                double demand = cell.demand;
                Runnable request = () -> {
                    long receivedAt = clock[0];
                    double share = table.ask(
                            receivedAt,
                            new LeaseTable.Requester(cell.name, 1, number, holds, cell.routers),
                            demand,
                            inUse,
                            allRouters,
                            held -> held * LIMIT.evenShare(allRouters));
                    if (share >= 0 && random.nextInt(4) > 0) {
                        long grantArrivesAt = receivedAt + random.nextInt(900_000);
                        inFlight.add(new InFlight(
                                grantArrivesAt, () -> cell.share.applyGrant(clock[0], grantor, 1, number, share)));
                    }
                };
                inFlight.add(new InFlight(now + random.nextInt(900_000), request));
                if (random.nextInt(5) == 0) {
                    inFlight.add(new InFlight(now + random.nextInt(3_000_000), request));
                }
            }
            double sum = 0;
            for (Cell each : cells) {
                sum += each.maxSpend(now, allRouters);
            }
            highest = Math.max(highest, sum);
            assertTrue(sum <= 100 * (1 + 1e-9), "the cells may grant " + sum + " of 100");
        }
        assertTrue(highest > 80, "the cells were granted most of the limit");
    }

    /**
     * One cell that routers without leases join and one that demands all the rest, with one grantor. Requests and
     * grants are lost and late, and the cells grant leases at random times, also between a request and its answer.
     */
    @Property(tries = 200, seed = "5302", shrinking = ShrinkingMode.OFF)
    void sumOfGrantsStaysWithinTheLimitWhileACellGrows(@ForAll long seed) {
        Random random = new Random(seed);
        int allRouters = 12;
        Cell growing = new Cell(0, 1 + random.nextInt(3));
        Cell other = new Cell(1, 2 + random.nextInt(3));
        other.demand = 1_000;
        int outside = allRouters - growing.routers - other.routers;
        LeaseTable table = new LeaseTable(LIMIT, UPPER_TIMES);
        List<InFlight> inFlight = new ArrayList<>();
        long[] clock = {SECOND};
        long now = SECOND;
        double highest = 0;
        for (int step = 1; step < 1_500; step++) {
            now += random.nextInt(200_000);
            clock[0] = now;
            for (InFlight message : List.copyOf(inFlight)) {
                if (message.arrivesAt() <= now) {
                    inFlight.remove(message);
                    message.delivery().run();
                }
            }
            if (outside > 0 && random.nextInt(150) == 0) {
                outside--;
                growing.routers++;
            }
            if (random.nextInt(60) == 0) {
                growing.demand = random.nextBoolean() ? 0 : random.nextDouble() * 150;
            }
            Cell cell = random.nextBoolean() ? growing : other;
            if (random.nextInt(3) == 0) {
                cell.grantAll(now, allRouters);
            }
            if (random.nextInt(4) == 0) {
                long number = step;
                int routers = cell.routers;
                double inUse = cell.counted(now);
                double demand = cell.demand;
                long holds = cell.share.recordRequest(now, "k", 1, number, routers);
                if (random.nextInt(4) > 0) {
                    inFlight.add(new InFlight(now + random.nextInt(500_000), () -> {
                        double share = table.ask(
                                clock[0],
                                new LeaseTable.Requester(cell.name, 1, number, holds, routers),
                                demand,
                                inUse,
                                allRouters,
                                held -> held * LIMIT.evenShare(allRouters));
                        if (share >= 0 && random.nextInt(4) > 0) {
                            inFlight.add(new InFlight(
                                    clock[0] + random.nextInt(500_000),
                                    () -> cell.share.applyGrant(clock[0], "k", 1, number, share)));
                        }
                    }));
                }
            }
            double sum = growing.counted(now) + other.counted(now) + outside * LIMIT.evenShare(allRouters);
            highest = Math.max(highest, sum);
            assertTrue(sum <= 100 * (1 + 1e-9), "the cells have granted " + sum + " of 100");
        }
        assertTrue(highest > 80, "the cells were granted most of the limit");
    }
}
