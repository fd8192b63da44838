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

/** Tests the ordinary path: hashed edge cache, remembered sibling, hashed parent, origin. */
class OrdinaryPathTest {

    @Test
    void requestsForOneObjectGoToTheSameCacheAndParent() {
        RouterHarness router = new RouterHarness().addFleet(4, 3).start();
        Fetch first = router.requestAndServe("a", FillResult.FILLED);
        Fetch second = router.requestAndServe("a", FillResult.HIT);
        assertEquals(first.member(), second.member());
        assertEquals(first.source(), second.source());
        assertTrue(first.source() > 100 && first.source() < 900);
    }

    @Test
    void aSiblingThatHoldsTheObjectIsTheSourceAfterTheHashedCacheHasChanged() {
        RouterHarness router = new RouterHarness().addFleet(4, 3).start();
        Fetch first = router.requestAndServe("a", FillResult.FILLED);
        long home = first.member();
        router.changeMember(home, State.DRAINING, 0);
        Fetch substitute = router.requestAndServe("a", FillResult.FILLED);
        assertNotEquals(home, substitute.member());
        router.changeMember(home, State.READY, 0);
        Fetch afterReturn = router.requestAndServe("a", FillResult.FILLED);
        assertEquals(home, afterReturn.member());
        assertEquals(substitute.member(), afterReturn.source());
    }

    @Test
    void aReferenceToAHolderExpires() {
        RouterHarness router = new RouterHarness().addFleet(4, 3).start();
        long home = router.requestAndServe("a", FillResult.FILLED).member();
        router.changeMember(home, State.DRAINING, 0);
        router.requestAndServe("a", FillResult.FILLED);
        router.changeMember(home, State.READY, 0);
        router.now += 31 * RouterHarness.MICROS_PER_SECOND;
        assertTrue(RouterHarness.onlyFetch(router.request("a")).source() > 100);
    }

    @Test
    void aRestartedSiblingIsNoLongerAHolder() {
        RouterHarness router = new RouterHarness().addFleet(4, 3).start();
        long home = router.requestAndServe("a", FillResult.FILLED).member();
        router.changeMember(home, State.DRAINING, 0);
        long substitute = router.requestAndServe("a", FillResult.FILLED).member();
        router.changeMember(home, State.READY, 0);
        router.changeMember(substitute, State.READY, router.now - 60 * RouterHarness.MICROS_PER_SECOND);
        assertTrue(RouterHarness.onlyFetch(router.request("a")).source() > 100);
    }

    @Test
    void withoutAnyMemberARequestStillGetsOneFinalAnswer() {
        RouterHarness router = new RouterHarness().start();
        assertEquals(1, RouterHarness.ofType(Refuse.class, router.request("a")).size());
    }

    @Test
    void afterAFailedFillFromASiblingTheParentIsTheSource() {
        RouterHarness router = new RouterHarness().addFleet(4, 3).start();
        long home = router.requestAndServe("a", FillResult.FILLED).member();
        router.changeMember(home, State.DRAINING, 0);
        router.requestAndServe("a", FillResult.FILLED);
        router.changeMember(home, State.READY, 0);
        Fetch fromSibling = RouterHarness.onlyFetch(router.request("a"));
        Fetch next = RouterHarness.onlyFetch(router.endAttempt(fromSibling, 0, Outcome.MISS, FillResult.SOURCE_MISS));
        assertTrue(next.source() > 100);
    }
}
