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

/** A book whose holders stand for cells, and a cell's share of a limit as its grantor holds it. */
class CellShareTest {

    private static final long SECOND = 1_000_000;
    private static final LeaseTimes TIMES = new LeaseTimes(3 * SECOND, 300_000);
    private static final LeaseTimes ABOVE = TIMES.ofCells();
    private static final FleetLimit LIMIT = new FleetLimit("origin", 1, LimitMeasure.PER_SECOND, 100);
    private static final FleetLimit WHOLE = new FleetLimit("origin", 1, LimitMeasure.IN_FLIGHT, 100);

    private static double ask(
            LeaseBook book, long now, String cell, long number, long holds, int routers, double wanted, double inUse) {
        return book.ask(
                now, new LeaseBook.Asker(cell, 1, number, holds, routers), wanted, inUse, 10, held -> held * 10.0);
    }

    @Test
    void theTimesAreThoseThatAreStated() {
        assertEquals(6 * SECOND, ABOVE.lease());
        assertEquals(1_200_000, ABOVE.guard());
        assertEquals(ABOVE.guard() + ABOVE.lease() + TIMES.lease(), ABOVE.shrink());
        assertEquals(
                TIMES.guard() + ABOVE.guard() + 2 * ABOVE.lease() + TIMES.lease(),
                TIMES.inCells().shrink());
        assertEquals(TIMES.lease(), TIMES.inCells().lease());
        assertEquals(TIMES.guard(), TIMES.inCells().guard());
    }

    @Test
    void whoWantsAllGetsByTheRoutersItStandsFor() {
        LeaseBook book = new LeaseBook(LIMIT, ABOVE);
        double a = 0;
        double b = 0;
        for (int i = 1; i < 40; i++) {
            a = ask(book, i * SECOND, "a", i, i - 1, 6, 1_000, a);
            b = ask(book, i * SECOND, "b", i, i - 1, 2, 1_000, b);
        }
        assertEquals(60, a, 1e-6);
        assertEquals(20, b, 1e-6);
        assertEquals(8, book.held());
        assertEquals(100, book.counted(10), 1e-6, "two that are in nobody's book count with their even parts");
    }

    @Test
    void whatOneCellDoesNotWantTheOtherGets() {
        LeaseBook book = new LeaseBook(LIMIT, ABOVE);
        double a = 0;
        double b = 0;
        for (int i = 1; i < 40; i++) {
            a = ask(book, i * SECOND, "a", i, i - 1, 6, 8, a);
            b = ask(book, i * SECOND, "b", i, i - 1, 2, 1_000, b);
        }
        assertEquals(10, a, 1e-6);
        assertEquals(70, b, 1e-6);
    }

    @Test
    void aCellCountsWithAsManyEvenPartsUntilItShowsItsLeaseAndWithWhatItsOwnBookCounts() {
        LeaseBook book = new LeaseBook(LIMIT, ABOVE);
        double a = ask(book, SECOND, "a", 1, 0, 6, 0, 0);
        assertEquals(60, Math.max(a, book.countedOfHolders(10)), 1e-9, "it may not have heard of its grant");
        ask(book, 2 * SECOND, "a", 2, 1, 6, 0, 35);
        assertEquals(Math.max(35, a), book.countedOfHolders(10), 1e-9, "what its routers were lent lasts on");
        double b = ask(book, 2 * SECOND, "b", 1, 0, 2, 1_000, 0);
        assertTrue(b <= 80 - Math.max(35, a) + 1e-9, () -> "b gets " + b);
    }

    @Test
    void theLeastIsForEachRouterThatIsStoodFor() {
        LeaseBook book = new LeaseBook(LIMIT, ABOVE);
        ask(book, SECOND, "a", 1, 0, 5, 1_000, 95);
        assertEquals(3, ask(book, SECOND, "b", 1, 0, 3, 1_000, 0), 1e-9, "a tenth of three even parts");
        LeaseBook whole = new LeaseBook(WHOLE, ABOVE);
        ask(whole, SECOND, "a", 1, 0, 5, 1_000, 95);
        assertEquals(3, ask(whole, SECOND, "b", 1, 0, 3, 1_000, 0), 1e-9, "one each");
    }

    @Test
    void anAskThatComesLateChangesNeitherWeightNorWish() {
        LeaseBook book = new LeaseBook(LIMIT, ABOVE);
        ask(book, SECOND, "a", 5, 0, 6, 50, 0);
        assertEquals(-1, ask(book, SECOND, "a", 4, 0, 2, 0, 0));
        assertEquals(6, book.held());
        assertEquals(50, book.wanted(), 1e-9);
    }

    @Test
    void aShareMovesWithTheRoutersOfTheBookAndEndsForNewLeasesBeforeItEnds() {
        CellShare share = new CellShare(LIMIT, ABOVE, TIMES.lease(), 0);
        assertEquals(40, share.pool(SECOND, 4, 10), 1e-9, "without a lease the even parts of those in the book");
        assertEquals(0, share.asks(SECOND, "k", 1, 7, 4));
        assertTrue(share.granted(SECOND, "k", 1, 7, 70));
        assertEquals(70, share.pool(SECOND, 4, 10), 1e-9);
        assertEquals(60, share.pool(SECOND, 3, 10), 1e-9, "who fell out of the book takes its even part away");
        assertEquals(80, share.pool(SECOND, 5, 10), 1e-9, "who came in brings it along");
        long until = SECOND + ABOVE.lease();
        assertEquals(until, share.until());
        assertEquals(70, share.pool(until - TIMES.lease(), 4, 10), 1e-9);
        assertEquals(
                40,
                share.pool(until - TIMES.lease() + 1, 4, 10),
                1e-9,
                "a router's lease from now on would outlast it");
        assertFalse(share.over(until + ABOVE.shrink() - 1));
        assertTrue(share.over(until + ABOVE.shrink()));
    }

    @Test
    void aShareBelowTheEvenPartsStaysThereWhileOthersAreBroughtDown() {
        CellShare share = new CellShare(LIMIT, ABOVE, TIMES.lease(), 0);
        share.asks(SECOND, "k", 1, 7, 4);
        share.granted(SECOND, "k", 1, 7, 4);
        long until = share.until();
        assertEquals(4, share.pool(until, 4, 10), 1e-9);
        assertEquals(4, share.pool(until + ABOVE.shrink() - 1, 4, 10), 1e-9);
        assertEquals(40, share.pool(until + ABOVE.shrink(), 4, 10), 1e-9);
        assertEquals(-1, share.asks(until + ABOVE.shrink() - 1, "other", 1, 8, 4), "another is asked only then");
        assertEquals(0, share.asks(until + ABOVE.shrink(), "other", 1, 9, 4));
    }

    @Test
    void anOldGrantIsForAsManyAsWereAskedFor() {
        CellShare share = new CellShare(LIMIT, ABOVE, TIMES.lease(), 0);
        share.asks(SECOND, "k", 1, 7, 4);
        share.asks(SECOND + 1, "k", 1, 8, 6);
        assertTrue(share.granted(SECOND + 2, "k", 1, 7, 50));
        assertEquals(70, share.pool(SECOND + 2, 6, 10), 1e-9, "asked for four, now six");
        assertTrue(share.granted(SECOND + 3, "k", 1, 8, 50));
        assertEquals(50, share.pool(SECOND + 3, 6, 10), 1e-9);
        assertFalse(share.granted(SECOND + 4, "k", 1, 7, 90), "an older one behind a newer one");
    }

    @Test
    void aCellThatGrewCountsWithItsOlderGrantAndWhatTheNewerRoutersBroughtAlong() {
        LeaseBook book = new LeaseBook(LIMIT, ABOVE);
        double b = 0;
        for (int i = 1; i < 40; i++) {
            ask(book, i * SECOND, "a", i, i - 1, 4, 0, 4);
            b = ask(book, i * SECOND, "b", i, i - 1, 4, 1_000, b);
        }
        double counted = b + 4;
        assertEquals(counted, book.countedOfHolders(10), 1e-6, "a is lent the least, a tenth of four even parts");
        ask(book, 40 * SECOND, "a", 40, 39, 5, 0, 4);
        assertEquals(
                counted + 10,
                book.countedOfHolders(10),
                1e-6,
                "it lives by the grant for four until it hears of the last");
        ask(book, 41 * SECOND, "a", 41, 40, 5, 0, 4);
        assertEquals(counted + 1, book.countedOfHolders(10), 1e-6, "it shows that it lives by one for five");
        ask(book, 42 * SECOND, "a", 42, 41, 3, 0, 4);
        assertEquals(counted + 1, book.countedOfHolders(10), 1e-6, "fewer take nothing off an older grant");
    }

    private static final class Cell {
        final String name;
        int routers;
        final CellShare share;
        final Deque<double[]> pools = new ArrayDeque<>(); // when it could lend how much
        final Deque<double[]> lent = new ArrayDeque<>(); // when it did lend how much
        double wanted;
        int view;

        Cell(int number, int routers) {
            this.name = "c" + number;
            this.routers = routers;
            this.share = new CellShare(LIMIT, ABOVE, TIMES.lease(), 0);
        }

        /** The most that its routers may spend now: what it could lend at any time within their leases. */
        double counts(long now, int all) {
            pools.add(new double[] {now, share.pool(now, routers, all)});
            return most(pools, now);
        }

        /** Lends all that it may now. */
        void lends(long now, int all) {
            lent.add(new double[] {now, share.pool(now, routers, all)});
        }

        /** What its routers live by, as its own book counts them. */
        double counted(long now) {
            return most(lent, now);
        }

        private static double most(Deque<double[]> since, long now) {
            since.removeIf(p -> p[0] <= now - TIMES.lease());
            return since.stream().mapToDouble(p -> p[1]).max().orElse(0);
        }
    }

    private record Flying(long at, Runnable what) {}

    /** Cells with demand that jumps, two grantors above in dispute, asks and grants lost, late and doubled. */
    @Property(tries = 80, seed = "5301", shrinking = ShrinkingMode.OFF)
    void whatAllCellsMayLendStaysWithinTheLimit(@ForAll long seed) {
        Random random = new Random(seed);
        List<Cell> cells = new ArrayList<>();
        for (int i = 0; i < 2 + random.nextInt(4); i++) {
            cells.add(new Cell(i, 1 + random.nextInt(6)));
        }
        int all = cells.stream().mapToInt(c -> c.routers).sum();
        List<LeaseBook> books = List.of(new LeaseBook(LIMIT, ABOVE), new LeaseBook(LIMIT, ABOVE));
        List<Flying> flying = new ArrayList<>();
        long[] clock = {SECOND}; // when what is delivered comes
        double most = 0;
        long now = SECOND;
        for (int step = 1; step < 3_000; step++) {
            now += random.nextInt(200_000);
            clock[0] = now;
            if (random.nextInt(200) == 0) {
                int to = random.nextInt(2);
                cells.forEach(c -> c.view = random.nextInt(4) == 0 ? 1 - to : to);
            }
            for (Flying f : List.copyOf(flying)) {
                if (f.at() <= now) {
                    flying.remove(f);
                    f.what().run();
                }
            }
            Cell c = cells.get(random.nextInt(cells.size()));
            if (random.nextInt(40) == 0) {
                c.wanted = random.nextInt(3) == 0 ? 0 : random.nextDouble() * 150;
            }
            long number = step;
            LeaseBook book = books.get(c.view);
            String grantor = "k" + c.view;
            long holds = c.share.asks(now, grantor, 1, number, c.routers);
            if (holds >= 0 && random.nextInt(4) > 0) {
                double inUse = c.counts(now, all);
                double wanted = c.wanted;
                Runnable ask = () -> {
                    long came = clock[0];
                    double part = book.ask(
                            came,
                            new LeaseBook.Asker(c.name, 1, number, holds, c.routers),
                            wanted,
                            inUse,
                            all,
                            held -> held * LIMIT.evenPart(all));
                    if (part >= 0 && random.nextInt(4) > 0) {
                        long back = came + random.nextInt(900_000);
                        flying.add(new Flying(back, () -> c.share.granted(clock[0], grantor, 1, number, part)));
                    }
                };
                flying.add(new Flying(now + random.nextInt(900_000), ask));
                if (random.nextInt(5) == 0) {
                    flying.add(new Flying(now + random.nextInt(3_000_000), ask));
                }
            }
            double sum = 0;
            for (Cell one : cells) {
                sum += one.counts(now, all);
            }
            most = Math.max(most, sum);
            assertTrue(sum <= 100 * (1 + 1e-9), "the cells may lend " + sum + " of 100");
        }
        assertTrue(most > 80, "they were lent something");
    }

    /**
     * One cell that is joined by routers which held nothing and one that takes what is left, before one grantor: asks and
     * grants get lost and come late, and the cell lends when it likes, also between an ask and its answer.
     */
    @Property(tries = 200, seed = "5302", shrinking = ShrinkingMode.OFF)
    void whatAGrowingCellMayLendStaysWithinTheLimit(@ForAll long seed) {
        Random random = new Random(seed);
        int all = 12;
        Cell grows = new Cell(0, 1 + random.nextInt(3));
        Cell other = new Cell(1, 2 + random.nextInt(3));
        other.wanted = 1_000;
        int outside = all - grows.routers - other.routers;
        LeaseBook book = new LeaseBook(LIMIT, ABOVE);
        List<Flying> flying = new ArrayList<>();
        long[] clock = {SECOND};
        long now = SECOND;
        double most = 0;
        for (int step = 1; step < 1_500; step++) {
            now += random.nextInt(200_000);
            clock[0] = now;
            for (Flying f : List.copyOf(flying)) {
                if (f.at() <= now) {
                    flying.remove(f);
                    f.what().run();
                }
            }
            if (outside > 0 && random.nextInt(150) == 0) {
                outside--;
                grows.routers++;
            }
            if (random.nextInt(60) == 0) {
                grows.wanted = random.nextBoolean() ? 0 : random.nextDouble() * 150;
            }
            Cell c = random.nextBoolean() ? grows : other;
            if (random.nextInt(3) == 0) {
                c.lends(now, all);
            }
            if (random.nextInt(4) == 0) {
                long number = step;
                int routers = c.routers;
                double inUse = c.counted(now);
                double wanted = c.wanted;
                long holds = c.share.asks(now, "k", 1, number, routers);
                if (random.nextInt(4) > 0) {
                    flying.add(new Flying(now + random.nextInt(500_000), () -> {
                        double part = book.ask(
                                clock[0],
                                new LeaseBook.Asker(c.name, 1, number, holds, routers),
                                wanted,
                                inUse,
                                all,
                                held -> held * LIMIT.evenPart(all));
                        if (part >= 0 && random.nextInt(4) > 0) {
                            flying.add(new Flying(
                                    clock[0] + random.nextInt(500_000),
                                    () -> c.share.granted(clock[0], "k", 1, number, part)));
                        }
                    }));
                }
            }
            double sum = grows.counted(now) + other.counted(now) + outside * LIMIT.evenPart(all);
            most = Math.max(most, sum);
            assertTrue(sum <= 100 * (1 + 1e-9), "the cells have lent " + sum + " of 100");
        }
        assertTrue(most > 80, "they were lent something");
    }
}
