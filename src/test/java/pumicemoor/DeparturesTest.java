package pumicemoor;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pumicemoor.RouterHarness.MICROS_PER_MILLI;
import static pumicemoor.RouterHarness.MICROS_PER_SECOND;
import static pumicemoor.RouterHarness.ofType;
import static pumicemoor.RouterHarness.onlyFetch;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import pumicemoor.RouterApi.Action;
import pumicemoor.RouterApi.AttemptEnded;
import pumicemoor.RouterApi.Cancel;
import pumicemoor.RouterApi.Fetch;
import pumicemoor.RouterApi.FillResult;
import pumicemoor.RouterApi.Log;
import pumicemoor.RouterApi.Lookup;
import pumicemoor.RouterApi.Outcome;
import pumicemoor.RouterApi.PeerMessage;
import pumicemoor.RouterApi.Refuse;
import pumicemoor.RouterApi.RequestAbandoned;
import pumicemoor.RouterApi.SendToPeer;
import pumicemoor.RouterApi.State;

/** Tests each departure from the ordinary path: it happens under its condition and not otherwise. */
class DeparturesTest {

    /** More requests than the initial limit (48) of a member of unknown capacity. */
    private static final int REQUESTS_ABOVE_INITIAL_LIMIT = 50;

    /** Returns a router that may send peer messages, in a location of the given number of routers. */
    private static RouterHarness withPeerMessages(int localRouters) {
        RouterHarness router = new RouterHarness();
        router.peerMessages = true;
        router.localRouters = localRouters;
        return router.addFleet(3, 2).start();
    }

    /** Sends the given number of requests, each for another object, and returns all fetches. */
    private static List<Fetch> requestMany(RouterHarness router, int requests) {
        List<Fetch> sent = new ArrayList<>();
        for (int i = 0; i < requests; i++) {
            sent.addAll(ofType(Fetch.class, router.request("crowd" + i)));
        }
        return sent;
    }

    @Test
    void whileTheSourceIsFullACacheOnlyLookupComesBeforeTheWait() {
        RouterHarness router = new RouterHarness().addFleet(5, 1).start();
        List<Fetch> sent = requestMany(router, REQUESTS_ABOVE_INITIAL_LIMIT);
        Fetch lookup = sent.get(sent.size() - 1);
        assertEquals(101, sent.get(0).source());
        assertEquals(lookup.member(), lookup.source(), "a cache-only lookup");
        assertEquals(
                0,
                ofType(Fetch.class, router.endAttempt(lookup, 0, Outcome.MISS, FillResult.NONE)).stream()
                        .filter(fetch -> fetch.id().equals(lookup.id()))
                        .count(),
                "waits for capacity at the source");
    }

    @Test
    void aWaitingRequestIsSentWhenCapacityBecomesFree() {
        RouterHarness router = new RouterHarness().addFleet(5, 1).start();
        List<Fetch> sent = requestMany(router, REQUESTS_ABOVE_INITIAL_LIMIT);
        Fetch lookup = sent.get(sent.size() - 1);
        router.endAttempt(lookup, 0, Outcome.MISS, FillResult.NONE);
        List<Action> next = new ArrayList<>();
        for (Fetch fetch : sent.subList(0, 8)) {
            next.addAll(router.endAttempt(fetch, 0, Outcome.OK, FillResult.FILLED));
        }
        assertTrue(
                ofType(Fetch.class, next).stream().anyMatch(fetch -> fetch.id().equals(lookup.id())));
    }

    @Test
    void aLargeRequestFindsAMemberFullSoonerThanASmallOne() {
        RouterHarness router = new RouterHarness().addFleet(1, 1).start();
        for (int i = 0; i < 30; i++) { // more than the largest requests may use of the initial limit of 48
            router.request("o" + i, RouterHarness.PAGE, 1_000);
        }
        assertTrue(ofType(Fetch.class, router.request("large", RouterHarness.PAGE, 40_000))
                .isEmpty());
        assertFalse(ofType(Fetch.class, router.request("small", RouterHarness.PAGE, 10))
                .isEmpty());
    }

    @Test
    void lateAnswersLowerTheLimitOfAMember() {
        int before = requestMany(new RouterHarness().addFleet(1, 1).start(), 40).size();
        RouterHarness router = new RouterHarness().addFleet(1, 1).start();
        for (int round = 0; round < 8; round++) {
            List<Fetch> sent = ofType(Fetch.class, router.request("late" + round));
            router.now += 2 * MICROS_PER_SECOND;
            sent.forEach(fetch -> router.endAttempt(fetch, 0, Outcome.OK, FillResult.HIT));
        }
        assertTrue(requestMany(router, 40).size() < before);
    }

    @Test
    void clientsThatDisconnectEarlyDoNotLowerTheLimitOfAMember() {
        int before = requestMany(new RouterHarness().addFleet(1, 1).start(), 40).size();
        RouterHarness router = new RouterHarness().addFleet(1, 1).start();
        for (int round = 0; round < 30; round++) {
            Fetch sent = onlyFetch(router.request("left" + round));
            router.now += 30 * MICROS_PER_MILLI;
            List<Cancel> cancels = ofType(Cancel.class, router.handle(new RequestAbandoned(sent.id())));
            assertEquals(1, cancels.size());
            router.handle(new AttemptEnded(
                    sent.id(),
                    0,
                    sent.member(),
                    Outcome.CANCELLED,
                    30 * MICROS_PER_MILLI,
                    true,
                    FillResult.NONE,
                    0,
                    Map.of()));
        }
        assertEquals(before, requestMany(router, 40).size());
    }

    @Test
    void aQuickFailureIsRetriedAtTheSameCache() {
        RouterHarness router = new RouterHarness().addFleet(3, 2).start();
        Fetch sent = onlyFetch(router.request("a"));
        Fetch retry = onlyFetch(router.handle(new AttemptEnded(
                sent.id(),
                0,
                sent.member(),
                Outcome.ERROR,
                2 * MICROS_PER_MILLI,
                false,
                FillResult.NONE,
                0,
                Map.of())));
        assertEquals(sent.member(), retry.member());
    }

    @Test
    void aBrokenConnectionMovesTheRequestToAnotherCache() {
        RouterHarness router = new RouterHarness().addFleet(3, 2).start();
        Fetch sent = onlyFetch(router.request("a"));
        Fetch next = onlyFetch(router.endAttempt(sent, 0, Outcome.RESET, FillResult.NONE));
        assertNotEquals(sent.member(), next.member());
    }

    @Test
    void aRequestThatFailsAtEveryMemberIsRefusedAndEjectsNone() {
        RouterHarness router = new RouterHarness().addFleet(4, 2).start();
        for (int i = 0; i < 30; i++) {
            router.requestAndServe("good" + i, FillResult.FILLED);
        }
        for (int i = 0; i < 4; i++) {
            List<Action> actions = router.request("bad");
            for (int attempt = 0; !ofType(Fetch.class, actions).isEmpty(); attempt++) {
                assertTrue(attempt < 4, "sent a fifth time");
                Fetch sent = onlyFetch(actions);
                actions = router.handle(new AttemptEnded(
                        sent.id(),
                        attempt,
                        sent.member(),
                        Outcome.ERROR,
                        MICROS_PER_MILLI,
                        false,
                        FillResult.NONE,
                        0,
                        Map.of()));
                assertEquals(List.of(), ofType(Log.class, actions));
            }
            assertEquals(1, ofType(Refuse.class, actions).size());
        }
    }

    @Test
    void attemptsThatFailOnOneBrokenConnectionDoNotEjectTheMember() {
        RouterHarness router = new RouterHarness().addFleet(1, 2).start();
        List<Fetch> sent = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            sent.add(onlyFetch(router.request("a")));
        }
        router.now += 100 * MICROS_PER_MILLI;
        List<Action> actions = new ArrayList<>();
        sent.forEach(fetch -> actions.addAll(router.endAttempt(fetch, 0, Outcome.RESET, FillResult.NONE)));
        assertEquals(List.of(), ofType(Log.class, actions), "one connection has broken, the cache is not ejected");
        router.now += 100 * MICROS_PER_MILLI;
        Fetch next = onlyFetch(router.request("a"));
        router.now += 100 * MICROS_PER_MILLI;
        assertEquals(
                1,
                ofType(Log.class, router.endAttempt(next, 0, Outcome.RESET, FillResult.NONE))
                        .size(),
                "ejected after another one");
    }

    @Test
    void aCacheEjectedForResetsOnlyHasNoSlowStartAfterwards() {
        RouterHarness router = new RouterHarness().addFleet(2, 2).start();
        long home = router.requestAndServe("a", FillResult.FILLED).member();
        for (int i = 0; i < 2; i++) {
            Fetch sent = onlyFetch(router.request("a"));
            assertEquals(home, sent.member());
            router.now += 10 * MICROS_PER_MILLI;
            router.endAttempt(sent, 0, Outcome.RESET, FillResult.NONE);
            router.now += 10 * MICROS_PER_MILLI;
        }
        assertNotEquals(home, onlyFetch(router.request("a")).member(), "ejected");
        router.now += 2 * MICROS_PER_SECOND;
        for (int i = 0; i < 4; i++) {
            assertEquals(
                    home,
                    router.requestAndServe("a", FillResult.HIT).member(),
                    "does not wait for a slow-start budget");
        }
    }

    @Test
    void aCacheThatRefusesConnectionsTwiceIsEjectedForAWhileAndTriedAgain() {
        RouterHarness router = new RouterHarness().addFleet(2, 2).start();
        long refusing = 0;
        for (int i = 0; i < 2; i++) {
            Fetch sent = onlyFetch(router.request("a"));
            refusing = sent.member();
            router.endAttempt(sent, 0, Outcome.CONNECT_FAILED, FillResult.NONE);
        }
        assertNotEquals(refusing, onlyFetch(router.request("a")).member());
        router.now += 15 * MICROS_PER_SECOND;
        assertEquals(refusing, onlyFetch(router.request("a")).member());
    }

    @Test
    void aSilentCacheIsEjectedWhileOthersAnswer() {
        RouterHarness router = new RouterHarness().addFleet(2, 1).start();
        Fetch first = router.requestAndServe("a", FillResult.FILLED);
        router.now += MICROS_PER_MILLI;
        List<Action> later = new ArrayList<>(router.request("a"));
        later.addAll(router.request("a"));
        for (int i = 0; i < 8; i++) {
            later.addAll(router.advance(200 * MICROS_PER_MILLI));
        }
        assertTrue(ofType(Cancel.class, later).size() >= 2);
        assertNotEquals(first.member(), onlyFetch(router.request("a")).member());
    }

    @Test
    void noSourceIsBlamedWhileAllOfThemAreSilent() {
        RouterHarness router = new RouterHarness().addFleet(3, 2).start();
        Fetch sent = onlyFetch(router.request("a"));
        router.requestAndServe("other", FillResult.HIT);
        List<Action> later = router.advance(3 * MICROS_PER_SECOND);
        assertEquals(0, ofType(Cancel.class, later).size(), "waits for " + sent);
    }

    @Test
    void retriesStayWithinTheRetryBudget() {
        RouterHarness router = new RouterHarness().addFleet(4, 2).start();
        int sent = 0;
        int requests = 400;
        for (int i = 0; i < requests; i++) {
            List<Fetch> next = ofType(Fetch.class, router.request("o" + i));
            for (int attempt = 0; !next.isEmpty(); attempt++) {
                sent++;
                Fetch fetch = next.get(0);
                next = ofType(Fetch.class, router.endAttempt(fetch, attempt, Outcome.MISS, FillResult.SOURCE_MISS));
            }
        }
        assertTrue(sent <= requests * 1.2 + 41, sent + " attempts");
    }

    @Test
    void withoutCachesARequestGoesToItsParentWhereThatIsAllowed() {
        RouterHarness router = new RouterHarness();
        router.bypassCaches = true;
        router.addFleet(0, 2).start();
        Fetch sent = onlyFetch(router.request("a"));
        assertTrue(sent.member() > 100);
        assertEquals(900, sent.source());
        assertEquals(0, sent.keepRank());
    }

    @Test
    void withoutCachesAndBypassARequestIsRefusedWithRetryAdvice() {
        RouterHarness router = new RouterHarness().addFleet(0, 2).start();
        Refuse refused = ofType(Refuse.class, router.request("a")).get(0);
        assertEquals(250 * MICROS_PER_MILLI, refused.retryAfter());
        RouterHarness withoutAdvice = new RouterHarness();
        withoutAdvice.retryAfter = false;
        withoutAdvice.addFleet(0, 2).start();
        assertEquals(0, ofType(Refuse.class, withoutAdvice.request("a")).get(0).retryAfter());
    }

    @Test
    void theOriginIsTheSourceWhenNoParentIsListed() {
        RouterHarness router = new RouterHarness().addFleet(2, 0).start();
        assertEquals(900, onlyFetch(router.request("a")).source());
    }

    @Test
    void aStaleCopyIsTriedBeforeARefusal() {
        RouterHarness router = new RouterHarness();
        router.freshFor = 2 * MICROS_PER_SECOND;
        router.staleGrace = 3 * MICROS_PER_SECOND;
        router.addFleet(2, 1).start();
        Fetch sent = onlyFetch(router.request("a"));
        router.now += 600 * MICROS_PER_MILLI;
        int attempt = 0;
        List<Action> next = router.endAttempt(sent, attempt, Outcome.FULL, FillResult.SOURCE_FAILED);
        while (!ofType(Fetch.class, next).isEmpty() && onlyFetch(next).maxAge() == 2 * MICROS_PER_SECOND) {
            next = router.endAttempt(onlyFetch(next), ++attempt, Outcome.FULL, FillResult.SOURCE_FAILED);
        }
        Fetch stale = onlyFetch(next);
        assertEquals(5 * MICROS_PER_SECOND, stale.maxAge());
        assertTrue(stale.onlyIfCached());
        assertEquals(
                1,
                ofType(Refuse.class, router.endAttempt(stale, ++attempt, Outcome.MISS, FillResult.NONE))
                        .size());
    }

    @Test
    void objectsRequestedAgainAreKeptAboveOneTimeObjects() {
        RouterHarness router = new RouterHarness().addFleet(3, 2).start();
        assertEquals(1, router.requestAndServe("a", FillResult.FILLED).keepRank());
        assertEquals(2, router.requestAndServe("a", FillResult.HIT).keepRank());
    }

    @Test
    void newHoldersAreAnnouncedOnlyWhereAllowedAndTwelveTimesAMinute() {
        RouterHarness router = withPeerMessages(2);
        int messages = 0;
        for (int i = 0; i < 20; i++) {
            Fetch fetch = onlyFetch(router.request("a"));
            messages += ofType(SendToPeer.class, router.endAttempt(fetch, 0, Outcome.OK, FillResult.FILLED))
                    .size();
        }
        assertEquals(12, messages);
        RouterHarness silent = new RouterHarness().addFleet(3, 2).start();
        Fetch fetch = onlyFetch(silent.request("a"));
        assertEquals(
                0,
                ofType(SendToPeer.class, silent.endAttempt(fetch, 0, Outcome.OK, FillResult.FILLED))
                        .size());
    }

    @Test
    void aHolderFromAPeerMessageBecomesTheSource() {
        RouterHarness announcer = withPeerMessages(2);
        long home = onlyFetch(announcer.request("a")).member();
        announcer.changeMember(home, State.DRAINING, 0);
        Fetch fetch = onlyFetch(announcer.request("a"));
        SendToPeer message = ofType(SendToPeer.class, announcer.endAttempt(fetch, 0, Outcome.OK, FillResult.FILLED))
                .get(0);
        RouterHarness receiver = withPeerMessages(1);
        receiver.handle(new PeerMessage(1, message.payload()));
        assertEquals(fetch.member(), onlyFetch(receiver.request("a")).source());
    }

    /**
     * Guards the cost of peer messages in a tier of very many routers: once the routers of the location are known by
     * their own messages, a message goes to each of them and no longer to all; a router that is alone in its location
     * sends none.
     */
    @Test
    void peerMessagesGoOnlyToTheRoutersOfTheLocationOnceTheseAreKnown() {
        RouterHarness router = withPeerMessages(2);
        Fetch first = onlyFetch(router.request("a"));
        assertEquals(
                -1,
                ofType(SendToPeer.class, router.endAttempt(first, 0, Outcome.OK, FillResult.FILLED))
                        .get(0)
                        .router());
        router.handle(new PeerMessage(
                7,
                ofType(
                                SendToPeer.class,
                                router.endAttempt(onlyFetch(router.request("b")), 0, Outcome.OK, FillResult.FILLED))
                        .get(0)
                        .payload()));
        List<SendToPeer> sent = ofType(
                SendToPeer.class, router.endAttempt(onlyFetch(router.request("c")), 0, Outcome.OK, FillResult.FILLED));
        assertEquals(List.of(7), sent.stream().map(SendToPeer::router).toList());
        RouterHarness alone = withPeerMessages(1);
        assertTrue(ofType(
                        SendToPeer.class,
                        alone.endAttempt(onlyFetch(alone.request("a")), 0, Outcome.OK, FillResult.FILLED))
                .isEmpty());
    }

    @Test
    void uncacheableRequestsGoToTheOriginAndAreNotKept() {
        RouterHarness router = new RouterHarness().addFleet(3, 2).start();
        Fetch fetch = onlyFetch(router.request("w", RouterHarness.WRITE, 0));
        assertEquals(900, fetch.source());
        assertEquals(0, fetch.keepRank());
        RouterHarness direct = new RouterHarness();
        direct.bypassCaches = true;
        direct.addFleet(3, 2).start();
        assertEquals(
                900,
                ofType(Lookup.class, direct.request("w", RouterHarness.WRITE, 0))
                        .get(0)
                        .member());
    }

    /** Guards against a new router that does not know sizes and mistakes transfers of usual duration for overload. */
    @Test
    void aNewRouterWithoutKnownSizesKeepsItsLimitsWhileTransfersTakeTheirUsualTime() {
        RouterHarness router = new RouterHarness().addFleet(1, 1).start();
        for (int i = 0; i < 12; i++) {
            Fetch fetch = onlyFetch(router.request("o" + i, RouterHarness.PAGE, 0));
            router.advance(1_200 * MICROS_PER_MILLI);
            router.handle(new AttemptEnded(
                    fetch.id(),
                    0,
                    fetch.member(),
                    Outcome.OK,
                    1_200 * MICROS_PER_MILLI,
                    true,
                    FillResult.HIT,
                    0,
                    Map.of()));
        }
        for (int i = 0; i < 6; i++) {
            assertEquals(
                    1,
                    ofType(Fetch.class, router.request("o" + i, RouterHarness.PAGE, 0))
                            .size());
        }
    }

    /** If only one parent is slow, its limit falls and not the origin's; another parent takes what it can't. */
    @Test
    void fillsBypassAParentThatAloneIsLateAndFull() {
        RouterHarness router = new RouterHarness().addFleet(1, 2).start();
        long slow = 101;
        for (int i = 0; i < 40; i++) {
            Fetch fetch = onlyFetch(router.request("o" + i));
            router.advance(fetch.source() == slow ? 4 * MICROS_PER_SECOND : 100 * MICROS_PER_MILLI);
            router.endAttempt(
                    fetch, 0, Outcome.OK, fetch.source() == slow ? FillResult.FILLED : FillResult.FILLED_BY_ORIGIN);
        }
        int bypassed = 0;
        for (int i = 0; i < 30; i++) {
            long home = onlyFetch(new RouterHarness().addFleet(1, 2).start().request("p" + i))
                    .source();
            for (Fetch fetch : ofType(Fetch.class, router.request("p" + i))) {
                bypassed += home == slow && fetch.source() == 102 ? 1 : 0;
            }
        }
        assertTrue(bypassed > 0);
    }

    /** Fill results don't name the origin here, but its refusals of direct requests lower its limit for fills too. */
    @Test
    void fillsSpareAnOriginThatRefusesDirectRequests() {
        RouterHarness router = new RouterHarness().addFleet(1, 1);
        router.bypassCaches = true;
        router.fillReporting = RouterApi.FillReporting.HIT_ONLY;
        router.start();
        for (int i = 0; i < 30; i++) {
            router.now += 10 * MICROS_PER_MILLI;
            RouterApi.Lookup write = RouterHarness.onlyLookup(router.request("w" + i, RouterHarness.WRITE, 100));
            router.endAttempt(write.id(), 0, write.member(), Outcome.FULL, FillResult.NONE);
        }
        long lookups = 0;
        for (int i = 0; i < 6; i++) {
            lookups += ofType(Fetch.class, router.request("o" + i)).stream()
                    .filter(fetch -> fetch.source() == fetch.member())
                    .count();
        }
        assertTrue(lookups > 0);
    }

    /**
     * Answers these fetches, and those that follow from them, one every 5 ms and each with a latency of 0.1 s; lookups
     * find nothing. Returns the number of fills.
     */
    private static int answerAll(RouterHarness router, List<Fetch> open, FillResult fillResult) {
        java.util.Deque<Fetch> pending = new java.util.ArrayDeque<>(open);
        java.util.Map<String, Integer> attempts = new java.util.HashMap<>();
        int filled = 0;
        while (!pending.isEmpty()) {
            Fetch fetch = pending.poll();
            boolean lookup = fetch.source() == fetch.member() || fetch.onlyIfCached();
            filled += lookup ? 0 : 1;
            router.now += 5 * MICROS_PER_MILLI;
            pending.addAll(ofType(
                    Fetch.class,
                    router.endAttempt(
                            fetch,
                            attempts.merge(fetch.id(), 1, Integer::sum) - 1,
                            lookup ? Outcome.MISS : Outcome.OK,
                            lookup ? FillResult.NONE : fillResult)));
        }
        return filled;
    }

    private static List<Fetch> requestAll(RouterHarness router, String name, int count) {
        List<Fetch> open = new java.util.ArrayList<>();
        for (int i = 0; i < count; i++) {
            open.addAll(ofType(Fetch.class, router.request(name + i)));
        }
        return open;
    }

    private static long countFills(List<Fetch> open) {
        return open.stream()
                .filter(fetch -> fetch.source() != fetch.member() && !fetch.onlyIfCached())
                .count();
    }

    /** Returns a router with caches and parents of high capacity and an origin of weight one. */
    private static RouterHarness withHitsReportedOnly() {
        RouterHarness router = new RouterHarness().addFleet(16, 4);
        router.fillReporting = RouterApi.FillReporting.HIT_ONLY;
        router.weights = RouterApi.WeightMeaning.ROUGH;
        router.members.replaceAll(m -> m.role() == RouterApi.Role.ORIGIN
                ? m
                : new RouterApi.Member(m.id(), m.role(), m.zone(), m.cell(), 500, m.startedAt(), m.state()));
        return router.start();
    }

    /** No fill result names the origin; when all parents are late, its limit restricts fills through all of them. */
    @Test
    void fillsSpareTheOriginBehindParentsThatAreAllLate() {
        RouterHarness router = withHitsReportedOnly();
        for (int round = 0; round < 20; round++) {
            answerAll(router, requestAll(router, "intime" + round + "-", 12), FillResult.NONE);
        }
        List<Fetch> open = requestAll(router, "before", 60);
        long before = countFills(open);
        answerAll(router, open, FillResult.NONE);
        for (int round = 0; round < 12; round++) {
            List<Fetch> late = requestAll(router, "late" + round + "-", 16);
            router.advance(4 * MICROS_PER_SECOND);
            answerAll(router, late, FillResult.NONE);
        }
        long after = countFills(requestAll(router, "next", 60));
        assertTrue(after > 0 && after < before / 2, () -> "fills sent at once: " + before + ", then " + after);
    }

    /** The origin's weight says nothing about its capacity: fills that come on time through parents raise its limit. */
    @Test
    void fillsOnTimeRaiseTheLimitOfTheOrigin() {
        RouterHarness router = withHitsReportedOnly();
        long first = countFills(requestAll(router, "first", 12));
        router = withHitsReportedOnly();
        for (int round = 0; round < 20; round++) {
            answerAll(router, requestAll(router, "round" + round + "-", 12), FillResult.NONE);
        }
        long later = countFills(requestAll(router, "later", 12));
        assertTrue(first < 8 && later > first, () -> "at first " + first + ", later " + later);
    }
}
