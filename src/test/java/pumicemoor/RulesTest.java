package pumicemoor;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pumicemoor.RouterHarness.MICROS_PER_MILLI;
import static pumicemoor.RouterHarness.MICROS_PER_SECOND;
import static pumicemoor.RouterHarness.ofType;
import static pumicemoor.RouterHarness.onlyFetch;
import static pumicemoor.RouterHarness.onlyLookup;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import pumicemoor.RouterApi.Action;
import pumicemoor.RouterApi.DeduplicationScope;
import pumicemoor.RouterApi.DiscoveryHeartbeat;
import pumicemoor.RouterApi.Fail;
import pumicemoor.RouterApi.Fetch;
import pumicemoor.RouterApi.FillResult;
import pumicemoor.RouterApi.Idempotency;
import pumicemoor.RouterApi.Lookup;
import pumicemoor.RouterApi.Outcome;
import pumicemoor.RouterApi.Purged;
import pumicemoor.RouterApi.Refuse;
import pumicemoor.RouterApi.RequestAbandoned;
import pumicemoor.RouterApi.State;

/** Tests the five rules, each as far as one router can keep it by itself. */
class RulesTest {

    private static int finalAnswers(List<Action> actions) {
        return ofType(Refuse.class, actions).size()
                + ofType(Fail.class, actions).size();
    }

    @Test
    void aTimeoutAtTheDeadlineIsAnsweredAtOnce() {
        RouterHarness router = new RouterHarness().addFleet(1, 1).start();
        Fetch sent = onlyFetch(router.request("a"));
        router.now += 5 * MICROS_PER_SECOND;
        assertEquals(1, finalAnswers(router.endAttempt(sent, 0, Outcome.TIMEOUT, FillResult.NONE)));
    }

    @Test
    void aRequestThatWaitsForCapacityIsAnsweredBeforeItsDeadline() {
        RouterHarness router = new RouterHarness().addFleet(1, 1).start();
        List<Action> actions = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            actions.addAll(router.request("object" + i));
        }
        int sent = ofType(Fetch.class, actions).size();
        actions.addAll(router.advance(4_900 * MICROS_PER_MILLI));
        assertTrue(sent < 60);
        int answered = finalAnswers(actions);
        int fetched = (int)
                ofType(Fetch.class, actions).stream().map(Fetch::id).distinct().count();
        assertTrue(answered + fetched >= 60, "waiting without an answer: " + (60 - answered - fetched));
    }

    @Test
    void aRequestWhoseClientHasDisconnectedIsNotAnswered() {
        RouterHarness router = new RouterHarness().addFleet(1, 1).start();
        Fetch sent = onlyFetch(router.request("a"));
        router.handle(new RequestAbandoned(sent.id()));
        List<Action> later = router.endAttempt(sent, 0, Outcome.CANCELLED, FillResult.NONE);
        later.addAll(router.advance(6 * MICROS_PER_SECOND));
        assertEquals(0, finalAnswers(later));
        assertEquals(0, ofType(Fetch.class, later).size());
    }

    @ParameterizedTest
    @EnumSource(
            value = Outcome.class,
            names = {"OK", "MOOT"},
            mode = EnumSource.Mode.EXCLUDE)
    void anUnsafeRequestIsSentAgainOnlyIfItNeverRan(Outcome outcome) {
        RouterHarness router = new RouterHarness();
        router.bypassCaches = true;
        router.addFleet(2, 2).start();
        Lookup sent = onlyLookup(router.request("w", RouterHarness.WRITE, 0));
        assertEquals(900, sent.member());
        List<Action> next = router.endAttempt(sent.id(), 0, 900, outcome, FillResult.NONE);
        if (outcome.provesNotRun) {
            assertEquals(0, ofType(Fail.class, next).size());
        } else {
            assertEquals(
                    0,
                    ofType(Lookup.class, next).size()
                            + ofType(Fetch.class, next).size());
            assertEquals(0, ofType(Refuse.class, next).size());
            assertEquals(1, ofType(Fail.class, next).size());
        }
    }

    @ParameterizedTest
    @EnumSource(DeduplicationScope.class)
    void aKeyedRequestThatMayHaveRunIsRefusedOnlyWhereAllMembersDropDuplicates(DeduplicationScope scope) {
        RouterHarness router = new RouterHarness();
        router.idempotency = Idempotency.KEYED;
        router.deduplicationScope = scope;
        router.addFleet(3, 2).start();
        List<Action> next = router.endAttempt(onlyFetch(router.request("a")), 0, Outcome.RESET, FillResult.NONE);
        assertEquals(0, ofType(Fetch.class, next).size());
        assertEquals(
                scope == DeduplicationScope.ALL ? 1 : 0,
                ofType(Refuse.class, next).size());
        assertEquals(
                scope == DeduplicationScope.ALL ? 0 : 1,
                ofType(Fail.class, next).size());
    }

    @Test
    void aDrainingMemberIsNeitherTargetNorSource() {
        RouterHarness router = new RouterHarness().addFleet(3, 2).start();
        Fetch first = router.requestAndServe("a", FillResult.FILLED);
        router.changeMember(first.member(), State.DRAINING, 0);
        router.changeMember(first.source(), State.GONE, 0);
        for (int i = 0; i < 40; i++) {
            for (Fetch sent : ofType(Fetch.class, router.request("o" + i))) {
                assertNotEquals(first.member(), sent.member());
                assertNotEquals(first.source(), sent.source());
                router.endAttempt(sent, 0, Outcome.OK, FillResult.FILLED);
            }
        }
    }

    @Test
    void aCacheInSlowStartGetsNoMoreThanThisRoutersShareInAnyWindow() {
        RouterHarness router = new RouterHarness();
        router.localRouters = 2;
        router.addFleet(2, 2).start();
        router.changeMember(1, State.READY, router.now);
        // a transfer takes 0.1 s; the smallest capacity assumed for a cache is one transfer
        int sent = 0;
        for (int i = 0; i < 200; i++) {
            router.now += 5 * MICROS_PER_MILLI;
            for (Fetch fetch : ofType(Fetch.class, router.request("o" + i))) {
                sent += fetch.member() == 1 ? 1 : 0;
                router.endAttempt(fetch, 0, Outcome.OK, FillResult.HIT);
            }
        }
        // 2.5 times at most 28 % of a cache of six transfers, for one second, divided between two routers
        assertTrue(sent * 0.1 <= 2.5 * 0.28 * 6 / 2, sent + " sent");
        assertTrue(sent > 0);
    }

    @Test
    void aParentInSlowStartGetsNoMoreFillsThanItsBudget() {
        RouterHarness router = new RouterHarness().addFleet(3, 2).start();
        router.changeMember(101, State.READY, router.now);
        int fills = 0;
        for (int i = 0; i < 100; i++) {
            router.now += 10 * MICROS_PER_MILLI;
            for (Fetch fetch : ofType(Fetch.class, router.request("o" + i))) {
                fills += fetch.source() == 101 ? 1 : 0;
                router.endAttempt(fetch, 0, Outcome.OK, FillResult.FILLED);
            }
        }
        assertTrue(fills * 0.1 <= 2 * 0.15 * 6 / 2, fills + " fills");
    }

    @Test
    void copiesFromBeforeAPurgeAreRejectedAsSoonAsItIsReceived() {
        RouterHarness router = new RouterHarness().addFleet(3, 2).start();
        router.requestAndServe("a", FillResult.FILLED);
        router.handle(new Purged("a", 4, 200 * MICROS_PER_MILLI));
        assertTrue(onlyFetch(router.request("a")).maxAge() <= 200 * MICROS_PER_MILLI);
        router.now += 3 * MICROS_PER_SECOND;
        Fetch later = onlyFetch(router.request("a"));
        assertTrue(later.maxAge() > 0 && later.maxAge() <= 3_200 * MICROS_PER_MILLI);
        router.now += 2_900 * MICROS_PER_MILLI;
        assertTrue(onlyFetch(router.request("a")).maxAge() <= 6_100 * MICROS_PER_MILLI);
    }

    @Test
    void withoutHeartbeatsCopiesOlderThanThePurgeDeliveryTimeAreRejected() {
        RouterHarness router = new RouterHarness().addFleet(1, 1).start();
        router.handle(new DiscoveryHeartbeat());
        router.now += 5 * MICROS_PER_SECOND;
        assertEquals(0, onlyFetch(router.request("a")).maxAge(), "a copy is fresh until it is purged");
        router.now += 4 * MICROS_PER_SECOND;
        assertEquals(
                7 * MICROS_PER_SECOND,
                onlyFetch(router.request("b")).maxAge(),
                "a purge of 8.5 s ago counts as delivered, one of 6 s ago does not");
        router.handle(new Purged("c", 4, 2 * MICROS_PER_SECOND));
        assertEquals(2 * MICROS_PER_SECOND, onlyFetch(router.request("c")).maxAge());
        router.handle(new DiscoveryHeartbeat());
        assertEquals(0, onlyFetch(router.request("d")).maxAge());
    }

    @Test
    void aPurgeOfAGroupAppliesToAllItsObjects() {
        RouterHarness router = new RouterHarness().addFleet(3, 2).start();
        router.handle(new Purged(null, 4, 0));
        long maxAge = onlyFetch(router.request("a")).maxAge();
        assertEquals(1, maxAge, "0 would mean any age");
        router.now += MICROS_PER_SECOND;
        assertEquals(MICROS_PER_SECOND, onlyFetch(router.request("b")).maxAge());
    }

    @Test
    void aPurgeNeverExtendsTheFreshnessOfTheClass() {
        RouterHarness router = new RouterHarness();
        router.freshFor = 2 * MICROS_PER_SECOND;
        router.addFleet(3, 2).start();
        router.handle(new Purged("a", 4, 0));
        router.now += 5 * MICROS_PER_SECOND;
        assertEquals(2 * MICROS_PER_SECOND, onlyFetch(router.request("a")).maxAge());
    }

    @Test
    void aPurgeReceivedOutOfOrderDoesNotUndoANewerOne() {
        RouterHarness router = new RouterHarness().addFleet(3, 2).start();
        router.handle(new Purged("a", 4, 0));
        router.handle(new Purged("a", 4, 4 * MICROS_PER_SECOND));
        router.now += MICROS_PER_SECOND;
        assertEquals(MICROS_PER_SECOND, onlyFetch(router.request("a")).maxAge());
    }

    @Test
    void aLookupIsNeverSentToACache() {
        RouterHarness router = new RouterHarness();
        router.bypassCaches = true;
        router.addFleet(3, 2).start();
        for (int i = 0; i < 100; i++) {
            for (Lookup sent : ofType(Lookup.class, router.request("o" + i))) {
                assertEquals(900, sent.member());
            }
        }
    }
}
