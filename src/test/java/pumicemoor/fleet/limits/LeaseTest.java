package pumicemoor.fleet.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import pumicemoor.RouterApi.LimitMeasure;

/** The two sides of a lease by themselves: what old, late and doubled asks and grants do, which is nothing. */
class LeaseTest {

    private static final long SECOND = 1_000_000;
    private static final LeaseTimes TIMES = new LeaseTimes(3 * SECOND, SECOND);
    private static final FleetLimit LIMIT = new FleetLimit("origin", 1, LimitMeasure.PER_SECOND, 100);

    @Test
    void anOlderGrantBehindANewerChangesNothing() {
        HeldLease held = new HeldLease(LIMIT, TIMES, 0);
        held.asks(SECOND, "g", 1, 10);
        held.asks(SECOND + 50_000, "g", 1, 11);
        assertTrue(held.granted(SECOND + 60_000, "g", 1, 11, 20));
        assertFalse(held.granted(SECOND + 70_000, "g", 1, 10, 80), "a lease renewed by an old version");
        assertFalse(held.granted(SECOND + 70_000, "g", 1, 11, 80), "a grant that comes twice");
        assertEquals(20, held.part(2 * SECOND, 4));
        assertEquals(SECOND + 50_000 + 3 * SECOND, held.until(), "it counts from when its ask left");
    }

    @Test
    void aGrantThatIsTooLateOrNotAskedForChangesNothing() {
        HeldLease held = new HeldLease(LIMIT, TIMES, 0);
        held.asks(SECOND, "g", 1, 10);
        assertFalse(held.granted(2 * SECOND + 1, "g", 1, 10, 20));
        assertFalse(held.granted(SECOND, "g", 1, 12, 20));
        assertFalse(held.leased(2 * SECOND));
    }

    @Test
    void afterALeaseComesTheLowerOfItAndTheEvenPartAndThenTheEvenPart() {
        HeldLease held = new HeldLease(LIMIT, TIMES, 0);
        held.asks(SECOND, "g", 1, 10);
        held.granted(SECOND, "g", 1, 10, 7);
        assertEquals(7, held.part(4 * SECOND, 4));
        assertEquals(7, held.part(4 * SECOND + TIMES.shrink() - 1, 4));
        assertEquals(25, held.part(4 * SECOND + TIMES.shrink(), 4));
        assertEquals(
                -1, held.asks(5 * SECOND, "other", 1, 20), "another is asked only when the first can't count on it");
        assertEquals(0, held.asks(4 * SECOND + TIMES.shrink(), "other", 1, 21));
    }

    @Test
    void aFreshProcessBeginsWithLittle() {
        HeldLease held = new HeldLease(LIMIT, TIMES, SECOND);
        assertEquals(2.5, held.part(SECOND, 4));
        assertEquals(25, held.part(SECOND + TIMES.shrink(), 4));
    }

    @Test
    void aLateAskIsNotAnswered() {
        LeaseBook book = new LeaseBook(LIMIT, TIMES);
        assertTrue(book.ask(SECOND, "a", 1, 5, 0, 50, 0, 4) > 0);
        assertEquals(-1, book.ask(SECOND, "a", 1, 4, 0, 50, 0, 4), "a newer one was answered");
        assertEquals(-1, book.ask(SECOND, "a", 1, 5, 0, 50, 0, 4), "it comes twice");
        assertEquals(-1, book.ask(SECOND, "a", 0, 9, 0, 50, 0, 4), "of a process that this one has followed");
    }

    @Test
    void whoMayNotHaveHeardOfItsGrantCountsWithTheEvenPart() {
        LeaseBook book = new LeaseBook(LIMIT, TIMES);
        double a = book.ask(SECOND, "a", 1, 1, 0, 0, 0, 4);
        book.ask(SECOND, "b", 1, 1, 0, 1_000, 0, 4);
        assertTrue(book.counted(4) <= 100, "what is counted is never over the limit");
        book.ask(SECOND + 1, "a", 1, 2, 1, 0, 0, 4);
        double b = book.ask(SECOND + 2, "b", 1, 2, 1, 1_000, 0, 4);
        assertTrue(a <= 25 && b <= 50, () -> "a " + a + ", b " + b);
        assertTrue(book.counted(4) <= 100);
    }
}
