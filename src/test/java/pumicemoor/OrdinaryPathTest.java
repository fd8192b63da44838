package pumicemoor;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import pumicemoor.RouterApi.Fetch;
import pumicemoor.RouterApi.FillResult;
import pumicemoor.RouterApi.Outcome;
import pumicemoor.RouterApi.Refuse;
import pumicemoor.RouterApi.State;

/** The design's path: hashed edge cache, remembered sibling, hashed parent, origin. */
class OrdinaryPathTest {

    @Test
    void sameObjectGoesToSameCacheAndParent() {
        RouterHarness r = new RouterHarness().fleet(4, 3).start();
        Fetch first = r.serve("a", FillResult.FILLED);
        Fetch second = r.serve("a", FillResult.HIT);
        assertEquals(first.member(), second.member());
        assertEquals(first.source(), second.source());
        assertTrue(first.source() > 100 && first.source() < 900);
    }

    @Test
    void siblingThatHoldsTheObjectIsTheSourceOnceTheHashedCacheHasChanged() {
        RouterHarness r = new RouterHarness().fleet(4, 3).start();
        Fetch first = r.serve("a", FillResult.FILLED);
        long home = first.member();
        r.change(home, State.DRAINING, 0);
        Fetch standIn = r.serve("a", FillResult.FILLED);
        assertNotEquals(home, standIn.member());
        r.change(home, State.READY, 0);
        Fetch again = r.serve("a", FillResult.FILLED);
        assertEquals(home, again.member());
        assertEquals(standIn.member(), again.source());
    }

    @Test
    void referenceFadesAfterItsLife() {
        RouterHarness r = new RouterHarness().fleet(4, 3).start();
        long home = r.serve("a", FillResult.FILLED).member();
        r.change(home, State.DRAINING, 0);
        r.serve("a", FillResult.FILLED);
        r.change(home, State.READY, 0);
        r.now += 31 * RouterHarness.SECOND;
        assertTrue(RouterHarness.fetch(r.ask("a")).source() > 100);
    }

    @Test
    void restartedSiblingIsForgotten() {
        RouterHarness r = new RouterHarness().fleet(4, 3).start();
        long home = r.serve("a", FillResult.FILLED).member();
        r.change(home, State.DRAINING, 0);
        long standIn = r.serve("a", FillResult.FILLED).member();
        r.change(home, State.READY, 0);
        r.change(standIn, State.READY, r.now - 60 * RouterHarness.SECOND);
        assertTrue(RouterHarness.fetch(r.ask("a")).source() > 100);
    }

    @Test
    void noMemberAtAllStillGetsOneFinalAnswer() {
        RouterHarness r = new RouterHarness().start();
        assertEquals(1, RouterHarness.only(Refuse.class, r.ask("a")).size());
    }

    @Test
    void failedFillFromSiblingMovesOnToTheParent() {
        RouterHarness r = new RouterHarness().fleet(4, 3).start();
        long home = r.serve("a", FillResult.FILLED).member();
        r.change(home, State.DRAINING, 0);
        r.serve("a", FillResult.FILLED);
        r.change(home, State.READY, 0);
        Fetch fromSibling = RouterHarness.fetch(r.ask("a"));
        Fetch next = RouterHarness.fetch(r.end(fromSibling, 0, Outcome.MISS, FillResult.SOURCE_LACKS));
        assertTrue(next.source() > 100);
    }
}
