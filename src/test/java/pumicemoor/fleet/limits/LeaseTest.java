package pumicemoor.fleet.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import pumicemoor.RouterApi.LimitMeasure;

/**
 * Checks holder and grantor of a lease separately: old, late and duplicated requests and grants must change nothing.
 */
class LeaseTest {

    private static final long SECOND = 1_000_000;
    private static final LeaseTimes TIMES = new LeaseTimes(3 * SECOND, SECOND);
    private static final FleetLimit LIMIT = new FleetLimit("origin", 1, LimitMeasure.PER_SECOND, 100);

    @Test
    void olderGrantAfterNewerIsIgnored() {
        HeldLease held = new HeldLease(LIMIT, TIMES, 0);
        held.recordRequest(SECOND, "g", 1, 10);
        held.recordRequest(SECOND + 50_000, "g", 1, 11);
        assertTrue(held.applyGrant(SECOND + 60_000, "g", 1, 11, 20));
        assertFalse(held.applyGrant(SECOND + 70_000, "g", 1, 10, 80), "an older grant must not renew the lease");
        assertFalse(held.applyGrant(SECOND + 70_000, "g", 1, 11, 80), "duplicate grant");
        assertEquals(20, held.currentShare(2 * SECOND, 4));
        assertEquals(SECOND + 50_000 + 3 * SECOND, held.expiresAt(), "the lease lasts from when its request was sent");
    }

    @Test
    void lateOrUnrequestedGrantIsIgnored() {
        HeldLease held = new HeldLease(LIMIT, TIMES, 0);
        held.recordRequest(SECOND, "g", 1, 10);
        assertFalse(held.applyGrant(2 * SECOND + 1, "g", 1, 10, 20));
        assertFalse(held.applyGrant(SECOND, "g", 1, 12, 20));
        assertFalse(held.leased(2 * SECOND));
    }

    @Test
    void expiredLeaseFallsBackToTheLowerOfLeaseAndEvenShareThenToTheEvenShare() {
        HeldLease held = new HeldLease(LIMIT, TIMES, 0);
        held.recordRequest(SECOND, "g", 1, 10);
        held.applyGrant(SECOND, "g", 1, 10, 7);
        assertEquals(7, held.currentShare(4 * SECOND, 4));
        assertEquals(7, held.currentShare(4 * SECOND + TIMES.shrinkMicros() - 1, 4));
        assertEquals(25, held.currentShare(4 * SECOND + TIMES.shrinkMicros(), 4));
        assertEquals(
                -1,
                held.recordRequest(5 * SECOND, "other", 1, 20),
                "another grantor is asked only once the first no longer counts on the lease");
        assertEquals(0, held.recordRequest(4 * SECOND + TIMES.shrinkMicros(), "other", 1, 21));
    }

    @Test
    void newProcessStartsWithTheMinimumShare() {
        HeldLease held = new HeldLease(LIMIT, TIMES, SECOND);
        assertEquals(2.5, held.currentShare(SECOND, 4));
        assertEquals(25, held.currentShare(SECOND + TIMES.shrinkMicros(), 4));
    }

    @Test
    void lateRequestIsNotAnswered() {
        LeaseTable table = new LeaseTable(LIMIT, TIMES);
        assertTrue(table.ask(SECOND, "a", 1, 5, 0, 50, 0, 4) > 0);
        assertEquals(-1, table.ask(SECOND, "a", 1, 4, 0, 50, 0, 4), "a newer request was answered");
        assertEquals(-1, table.ask(SECOND, "a", 1, 5, 0, 50, 0, 4), "duplicate request");
        assertEquals(-1, table.ask(SECOND, "a", 0, 9, 0, 50, 0, 4), "request of an earlier process of the router");
    }

    @Test
    void holderThatHasNotConfirmedItsGrantCountsWithTheEvenShare() {
        LeaseTable table = new LeaseTable(LIMIT, TIMES);
        double a = table.ask(SECOND, "a", 1, 1, 0, 0, 0, 4);
        table.ask(SECOND, "b", 1, 1, 0, 1_000, 0, 4);
        assertTrue(table.maxFleetSpend(4) <= 100, "the counted sum never exceeds the limit");
        table.ask(SECOND + 1, "a", 1, 2, 1, 0, 0, 4);
        double b = table.ask(SECOND + 2, "b", 1, 2, 1, 1_000, 0, 4);
        assertTrue(a <= 25 && b <= 50, () -> "a " + a + ", b " + b);
        assertTrue(table.maxFleetSpend(4) <= 100);
    }
}
