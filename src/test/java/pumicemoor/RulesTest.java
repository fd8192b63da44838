package pumicemoor;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pumicemoor.RouterHarness.MILLI;
import static pumicemoor.RouterHarness.SECOND;
import static pumicemoor.RouterHarness.fetch;
import static pumicemoor.RouterHarness.lookup;
import static pumicemoor.RouterHarness.only;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import pumicemoor.RouterApi.Action;
import pumicemoor.RouterApi.Idempotency;
import pumicemoor.RouterApi.Fail;
import pumicemoor.RouterApi.Fetch;
import pumicemoor.RouterApi.FillResult;
import pumicemoor.RouterApi.Lookup;
import pumicemoor.RouterApi.DiscoveryHeartbeat;
import pumicemoor.RouterApi.Outcome;
import pumicemoor.RouterApi.Purged;
import pumicemoor.RouterApi.Refuse;
import pumicemoor.RouterApi.DeduplicationScope;
import pumicemoor.RouterApi.RequestAbandoned;
import pumicemoor.RouterApi.State;

/** The five rules, each as a router can keep it on its own. */
class RulesTest {

    private static int finals(List<Action> actions) {
        return only(Refuse.class, actions).size() + only(Fail.class, actions).size();
    }

    @Test
    void timeoutAtTheDeadlineIsAnsweredAtOnce() {
        RouterHarness r = new RouterHarness().fleet(1, 1).start();
        Fetch sent = fetch(r.ask("a"));
        r.now += 5 * SECOND;
        assertEquals(1, finals(r.end(sent, 0, Outcome.TIMEOUT, FillResult.NONE)));
    }

    @Test
    void requestHeldForRoomIsAnsweredBeforeItsTimeIsUp() {
        RouterHarness r = new RouterHarness().fleet(1, 1).start();
        List<Action> actions = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            actions.addAll(r.ask("object" + i));
        }
        int sent = only(Fetch.class, actions).size();
        actions.addAll(r.pass(4_900 * MILLI));
        assertTrue(sent < 60);
        int answered = finals(actions);
        int out = (int)
                only(Fetch.class, actions).stream().map(Fetch::id).distinct().count();
        assertTrue(answered + out >= 60, "held without an answer: " + (60 - answered - out));
    }

    @Test
    void requestThatItsClientHasLeftIsNotAnswered() {
        RouterHarness r = new RouterHarness().fleet(1, 1).start();
        Fetch sent = fetch(r.ask("a"));
        r.handle(new RequestAbandoned(sent.id()));
        List<Action> later = r.end(sent, 0, Outcome.CANCELLED, FillResult.NONE);
        later.addAll(r.pass(6 * SECOND));
        assertEquals(0, finals(later));
        assertEquals(0, only(Fetch.class, later).size());
    }

    @ParameterizedTest
    @EnumSource(
            value = Outcome.class,
            names = {"OK", "MOOT"},
            mode = EnumSource.Mode.EXCLUDE)
    void unsafeRequestGoesOnOnlyIfItNeverRan(Outcome outcome) {
        RouterHarness r = new RouterHarness();
        r.direct = true;
        r.fleet(2, 2).start();
        Lookup sent = lookup(r.ask("w", RouterHarness.WRITE, 0));
        assertEquals(900, sent.member());
        List<Action> next = r.end(sent.id(), 0, 900, outcome, FillResult.NONE);
        if (outcome.provesNotRun) {
            assertEquals(0, only(Fail.class, next).size());
        } else {
            assertEquals(
                    0, only(Lookup.class, next).size() + only(Fetch.class, next).size());
            assertEquals(0, only(Refuse.class, next).size());
            assertEquals(1, only(Fail.class, next).size());
        }
    }

    @ParameterizedTest
    @EnumSource(DeduplicationScope.class)
    void keyedRequestThatMayHaveRunIsRefusedOnlyWhereAllDropRepeats(DeduplicationScope group) {
        RouterHarness r = new RouterHarness();
        r.effect = Idempotency.KEYED;
        r.group = group;
        r.fleet(3, 2).start();
        List<Action> next = r.end(fetch(r.ask("a")), 0, Outcome.RESET, FillResult.NONE);
        assertEquals(0, only(Fetch.class, next).size());
        assertEquals(group == DeduplicationScope.ALL ? 1 : 0, only(Refuse.class, next).size());
        assertEquals(group == DeduplicationScope.ALL ? 0 : 1, only(Fail.class, next).size());
    }

    @Test
    void drainingMemberIsNeitherAskedNorNamed() {
        RouterHarness r = new RouterHarness().fleet(3, 2).start();
        Fetch first = r.serve("a", FillResult.FILLED);
        r.change(first.member(), State.DRAINING, 0);
        r.change(first.source(), State.GONE, 0);
        for (int i = 0; i < 40; i++) {
            for (Fetch sent : only(Fetch.class, r.ask("o" + i))) {
                assertNotEquals(first.member(), sent.member());
                assertNotEquals(first.source(), sent.source());
                r.end(sent, 0, Outcome.OK, FillResult.FILLED);
            }
        }
    }

    @Test
    void coldCacheGetsNoMoreThanThisRoutersShareInAnySpan() {
        RouterHarness r = new RouterHarness();
        r.routersHere = 2;
        r.fleet(2, 2).start();
        r.change(1, State.READY, r.now);
        // a transfer of 0.1 s; the least capacity that a cache may be taken for is one transfer
        int sent = 0;
        for (int i = 0; i < 200; i++) {
            r.now += 5 * MILLI;
            for (Fetch f : only(Fetch.class, r.ask("o" + i))) {
                sent += f.member() == 1 ? 1 : 0;
                r.end(f, 0, Outcome.OK, FillResult.HIT);
            }
        }
        // 2.5 times at most 28 % of a cache of six transfers for one second, halved between two routers
        assertTrue(sent * 0.1 <= 2.5 * 0.28 * 6 / 2, sent + " sent");
        assertTrue(sent > 0);
    }

    @Test
    void coldParentCountsFillsAndIsPassedOverOnceItsBudgetIsSpent() {
        RouterHarness r = new RouterHarness().fleet(3, 2).start();
        r.change(101, State.READY, r.now);
        int fills = 0;
        for (int i = 0; i < 100; i++) {
            r.now += 10 * MILLI;
            for (Fetch f : only(Fetch.class, r.ask("o" + i))) {
                fills += f.source() == 101 ? 1 : 0;
                r.end(f, 0, Outcome.OK, FillResult.FILLED);
            }
        }
        assertTrue(fills * 0.1 <= 2 * 0.15 * 6 / 2, fills + " fills");
    }

    @Test
    void copiesFromBeforeAPurgeAreShutOutFromTheMomentItIsTold() {
        RouterHarness r = new RouterHarness().fleet(3, 2).start();
        r.serve("a", FillResult.FILLED);
        r.handle(new Purged("a", 4, 200 * MILLI));
        assertTrue(fetch(r.ask("a")).maxAge() <= 200 * MILLI);
        r.now += 3 * SECOND;
        Fetch later = fetch(r.ask("a"));
        assertTrue(later.maxAge() > 0 && later.maxAge() <= 3_200 * MILLI);
        r.now += 2_900 * MILLI;
        assertTrue(fetch(r.ask("a")).maxAge() <= 6_100 * MILLI);
    }

    @Test
    void whileNoNewsComesNoCopyWillDoThatIsOlderThanAPurgeThatCountsAsTold() {
        RouterHarness r = new RouterHarness().fleet(1, 1).start();
        r.handle(new DiscoveryHeartbeat());
        r.now += 5 * SECOND;
        assertEquals(0, fetch(r.ask("a")).maxAge(), "a copy is good until it is purged");
        r.now += 4 * SECOND;
        assertEquals(
                7 * SECOND, fetch(r.ask("b")).maxAge(), "a purge of 8.5 s ago counts as told, one of 6 s ago does not");
        r.handle(new Purged("c", 4, 2 * SECOND));
        assertEquals(2 * SECOND, fetch(r.ask("c")).maxAge());
        r.handle(new DiscoveryHeartbeat());
        assertEquals(0, fetch(r.ask("d")).maxAge());
    }

    @Test
    void purgeOfAGroupHoldsForAllItsObjects() {
        RouterHarness r = new RouterHarness().fleet(3, 2).start();
        r.handle(new Purged(null, 4, 0));
        long oldest = fetch(r.ask("a")).maxAge();
        assertEquals(1, oldest, "0 would mean any age");
        r.now += SECOND;
        assertEquals(SECOND, fetch(r.ask("b")).maxAge());
    }

    @Test
    void purgeBoundNeverWidensTheFreshTimeOfTheClass() {
        RouterHarness r = new RouterHarness();
        r.fresh = 2 * SECOND;
        r.fleet(3, 2).start();
        r.handle(new Purged("a", 4, 0));
        r.now += 5 * SECOND;
        assertEquals(2 * SECOND, fetch(r.ask("a")).maxAge());
    }

    @Test
    void purgeToldOutOfOrderDoesNotUndoANewerOne() {
        RouterHarness r = new RouterHarness().fleet(3, 2).start();
        r.handle(new Purged("a", 4, 0));
        r.handle(new Purged("a", 4, 4 * SECOND));
        r.now += SECOND;
        assertEquals(SECOND, fetch(r.ask("a")).maxAge());
    }

    @Test
    void plainLookupIsNeverSentToACache() {
        RouterHarness r = new RouterHarness();
        r.direct = true;
        r.fleet(3, 2).start();
        for (int i = 0; i < 100; i++) {
            for (Lookup sent : only(Lookup.class, r.ask("o" + i))) {
                assertEquals(900, sent.member());
            }
        }
    }
}
