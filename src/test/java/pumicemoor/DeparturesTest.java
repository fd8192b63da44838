package pumicemoor;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pumicemoor.RouterHarness.MILLI;
import static pumicemoor.RouterHarness.SECOND;
import static pumicemoor.RouterHarness.fetch;
import static pumicemoor.RouterHarness.only;

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
import pumicemoor.RouterApi.State;
import pumicemoor.RouterApi.SendToPeer;

/** What the router does besides the ordinary path, each when its condition holds and not otherwise. */
class DeparturesTest {

    /** Requests that fill the first limit (48) of a member of untold size, and one more. */
    private static final int CROWD = 50;

    /** A router of a location with this many routers, allowed to tell peers, before three caches and two parents. */
    private static RouterHarness noting(int routersHere) {
        RouterHarness r = new RouterHarness();
        r.peerNotes = true;
        r.routersHere = routersHere;
        return r.fleet(3, 2).start();
    }

    /**
     * Asks for objects of the one parent of this fleet until fills are held up; returns all that was sent.
     */
    private static List<Fetch> crowd(RouterHarness r, int requests) {
        List<Fetch> sent = new ArrayList<>();
        for (int i = 0; i < requests; i++) {
            sent.addAll(only(Fetch.class, r.ask("crowd" + i)));
        }
        return sent;
    }

    @Test
    void withTheSourceFullARequestLooksBeforeItWaits() {
        RouterHarness r = new RouterHarness().fleet(5, 1).start();
        List<Fetch> sent = crowd(r, CROWD);
        Fetch look = sent.get(sent.size() - 1);
        assertEquals(101, sent.get(0).source());
        assertEquals(look.member(), look.source(), "asks the cache alone");
        assertEquals(
                0,
                only(Fetch.class, r.end(look, 0, Outcome.MISS, FillResult.NONE)).stream()
                        .filter(f -> f.id().equals(look.id()))
                        .count(),
                "waits for room at the source");
    }

    @Test
    void waitingRequestIsSentWhenRoomComes() {
        RouterHarness r = new RouterHarness().fleet(5, 1).start();
        List<Fetch> sent = crowd(r, CROWD);
        Fetch look = sent.get(sent.size() - 1);
        r.end(look, 0, Outcome.MISS, FillResult.NONE);
        List<Action> next = new ArrayList<>();
        for (Fetch f : sent.subList(0, 8)) {
            next.addAll(r.end(f, 0, Outcome.OK, FillResult.FILLED));
        }
        assertTrue(only(Fetch.class, next).stream().anyMatch(f -> f.id().equals(look.id())));
    }

    @Test
    void largeRequestFindsAMemberFullSoonerThanASmallOne() {
        RouterHarness r = new RouterHarness().fleet(1, 1).start();
        for (int i = 0; i < 30; i++) { // past the share of a first limit of 48 open to the largest
            r.ask("o" + i, RouterHarness.PAGE, 1_000);
        }
        assertTrue(only(Fetch.class, r.ask("large", RouterHarness.PAGE, 40_000)).isEmpty());
        assertFalse(only(Fetch.class, r.ask("small", RouterHarness.PAGE, 10)).isEmpty());
    }

    @Test
    void lateAnswersLowerWhatAMemberMayHave() {
        int before = crowd(new RouterHarness().fleet(1, 1).start(), 40).size();
        RouterHarness r = new RouterHarness().fleet(1, 1).start();
        for (int round = 0; round < 8; round++) {
            List<Fetch> sent = only(Fetch.class, r.ask("late" + round));
            r.now += 2 * SECOND;
            sent.forEach(f -> r.end(f, 0, Outcome.OK, FillResult.HIT));
        }
        assertTrue(crowd(r, 40).size() < before);
    }

    @Test
    void clientsThatLeaveEarlyDoNotLowerWhatAMemberMayHave() {
        int before = crowd(new RouterHarness().fleet(1, 1).start(), 40).size();
        RouterHarness r = new RouterHarness().fleet(1, 1).start();
        for (int round = 0; round < 30; round++) {
            Fetch sent = fetch(r.ask("left" + round));
            r.now += 30 * MILLI;
            List<Cancel> cancels = only(Cancel.class, r.handle(new RequestAbandoned(sent.id())));
            assertEquals(1, cancels.size());
            r.handle(new AttemptEnded(
                    sent.id(), 0, sent.member(), Outcome.CANCELLED, 30 * MILLI, true, FillResult.NONE, 0, Map.of()));
        }
        assertEquals(before, crowd(r, 40).size());
    }

    @Test
    void quickFailureIsTriedAgainAtTheSameCache() {
        RouterHarness r = new RouterHarness().fleet(3, 2).start();
        Fetch sent = fetch(r.ask("a"));
        Fetch again = fetch(r.handle(new AttemptEnded(
                sent.id(), 0, sent.member(), Outcome.ERROR, 2 * MILLI, false, FillResult.NONE, 0, Map.of())));
        assertEquals(sent.member(), again.member());
    }

    @Test
    void brokenConnectionMovesTheRequestToAnotherCache() {
        RouterHarness r = new RouterHarness().fleet(3, 2).start();
        Fetch sent = fetch(r.ask("a"));
        Fetch next = fetch(r.end(sent, 0, Outcome.RESET, FillResult.NONE));
        assertNotEquals(sent.member(), next.member());
    }

    @Test
    void aRequestThatFailsWhereverItIsSentIsGivenUpAndTakesNoMemberOut() {
        RouterHarness r = new RouterHarness().fleet(4, 2).start();
        for (int i = 0; i < 30; i++) {
            r.serve("good" + i, FillResult.FILLED);
        }
        for (int i = 0; i < 4; i++) {
            List<Action> actions = r.ask("bad");
            for (int attempt = 0; !only(Fetch.class, actions).isEmpty(); attempt++) {
                assertTrue(attempt < 4, "sent a fifth time");
                Fetch sent = fetch(actions);
                actions = r.handle(new AttemptEnded(
                        sent.id(), attempt, sent.member(), Outcome.ERROR, MILLI, false, FillResult.NONE, 0, Map.of()));
                assertEquals(List.of(), only(Log.class, actions));
            }
            assertEquals(1, only(Refuse.class, actions).size());
        }
    }

    @Test
    void whatWasOutTogetherAndBreaksTogetherDoesNotTakeAMemberOut() {
        RouterHarness r = new RouterHarness().fleet(1, 2).start();
        List<Fetch> sent = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            sent.add(fetch(r.ask("a")));
        }
        r.now += 100 * MILLI;
        List<Action> all = new ArrayList<>();
        sent.forEach(f -> all.addAll(r.end(f, 0, Outcome.RESET, FillResult.NONE)));
        assertEquals(List.of(), only(Log.class, all), "one connection has broken, the cache is not out");
        r.now += 100 * MILLI;
        Fetch next = fetch(r.ask("a"));
        r.now += 100 * MILLI;
        assertEquals(
                1, only(Log.class, r.end(next, 0, Outcome.RESET, FillResult.NONE)).size(), "but after another");
    }

    @Test
    void aCacheLeftForResetsAloneIsAsWarmAsBeforeWhenItIsBack() {
        RouterHarness r = new RouterHarness().fleet(2, 2).start();
        long home = r.serve("a", FillResult.FILLED).member();
        for (int i = 0; i < 2; i++) {
            Fetch sent = fetch(r.ask("a"));
            assertEquals(home, sent.member());
            r.now += 10 * MILLI;
            r.end(sent, 0, Outcome.RESET, FillResult.NONE);
            r.now += 10 * MILLI;
        }
        assertNotEquals(home, fetch(r.ask("a")).member(), "out");
        r.now += 2 * SECOND;
        for (int i = 0; i < 4; i++) {
            assertEquals(home, r.serve("a", FillResult.HIT).member(), "no share of a cold budget is waited for");
        }
    }

    @Test
    void cacheThatRefusesConnectionsTwiceIsLeftForAWhileAndTriedAgain() {
        RouterHarness r = new RouterHarness().fleet(2, 2).start();
        long gone = 0;
        for (int i = 0; i < 2; i++) {
            Fetch sent = fetch(r.ask("a"));
            gone = sent.member();
            r.end(sent, 0, Outcome.CONNECT_FAILED, FillResult.NONE);
        }
        assertNotEquals(gone, fetch(r.ask("a")).member());
        r.now += 15 * SECOND;
        assertEquals(gone, fetch(r.ask("a")).member());
    }

    @Test
    void silentCacheIsLeftWhileOthersAnswer() {
        RouterHarness r = new RouterHarness().fleet(2, 1).start();
        Fetch first = r.serve("a", FillResult.FILLED);
        r.now += MILLI;
        List<Action> later = new ArrayList<>(r.ask("a"));
        later.addAll(r.ask("a"));
        for (int i = 0; i < 8; i++) {
            later.addAll(r.pass(200 * MILLI));
        }
        assertTrue(only(Cancel.class, later).size() >= 2);
        assertNotEquals(first.member(), fetch(r.ask("a")).member());
    }

    @Test
    void sourcesAreNotBlamedWhileAllOfThemAreSilent() {
        RouterHarness r = new RouterHarness().fleet(3, 2).start();
        Fetch sent = fetch(r.ask("a"));
        r.serve("other", FillResult.HIT);
        List<Action> later = r.pass(3 * SECOND);
        assertEquals(0, only(Cancel.class, later).size(), "waits for " + sent);
    }

    @Test
    void retriesKeepToOneBudget() {
        RouterHarness r = new RouterHarness().fleet(4, 2).start();
        int sent = 0;
        int requests = 400;
        for (int i = 0; i < requests; i++) {
            List<Fetch> next = only(Fetch.class, r.ask("o" + i));
            for (int attempt = 0; !next.isEmpty(); attempt++) {
                sent++;
                Fetch f = next.get(0);
                next = only(Fetch.class, r.end(f, attempt, Outcome.MISS, FillResult.SOURCE_LACKS));
            }
        }
        assertTrue(sent <= requests * 1.2 + 41, sent + " attempts");
    }

    @Test
    void withNoCacheARequestGoesStraightToItsParentWhereThatIsAllowed() {
        RouterHarness r = new RouterHarness();
        r.direct = true;
        r.fleet(0, 2).start();
        Fetch sent = fetch(r.ask("a"));
        assertTrue(sent.member() > 100);
        assertEquals(900, sent.source());
        assertEquals(0, sent.keepRank());
    }

    @Test
    void withNoCacheAndNoWayPastARequestIsRefusedWithAdvice() {
        RouterHarness r = new RouterHarness().fleet(0, 2).start();
        Refuse refused = only(Refuse.class, r.ask("a")).get(0);
        assertEquals(250 * MILLI, refused.retryAfter());
        RouterHarness silent = new RouterHarness();
        silent.retryAfter = false;
        silent.fleet(0, 2).start();
        assertEquals(0, only(Refuse.class, silent.ask("a")).get(0).retryAfter());
    }

    @Test
    void originIsTheSourceWhenNoParentIsListed() {
        RouterHarness r = new RouterHarness().fleet(2, 0).start();
        assertEquals(900, fetch(r.ask("a")).source());
    }

    @Test
    void beforeARefusalACopyPastItsFreshnessWillDo() {
        RouterHarness r = new RouterHarness();
        r.fresh = 2 * SECOND;
        r.grace = 3 * SECOND;
        r.fleet(2, 1).start();
        Fetch sent = fetch(r.ask("a"));
        r.now += 600 * MILLI;
        int attempt = 0;
        List<Action> next = r.end(sent, attempt, Outcome.FULL, FillResult.SOURCE_FAILED);
        while (!only(Fetch.class, next).isEmpty() && fetch(next).maxAge() == 2 * SECOND) {
            next = r.end(fetch(next), ++attempt, Outcome.FULL, FillResult.SOURCE_FAILED);
        }
        Fetch stale = fetch(next);
        assertEquals(5 * SECOND, stale.maxAge());
        assertTrue(stale.onlyIfCached());
        assertEquals(
                1,
                only(Refuse.class, r.end(stale, ++attempt, Outcome.MISS, FillResult.NONE))
                        .size());
    }

    @Test
    void objectsAskedForAgainAreKeptAboveOneTimeObjects() {
        RouterHarness r = new RouterHarness().fleet(3, 2).start();
        assertEquals(1, r.serve("a", FillResult.FILLED).keepRank());
        assertEquals(2, r.serve("a", FillResult.HIT).keepRank());
    }

    @Test
    void peersHearOfNewHoldersOnlyWhereAllowedAndTwelveTimesAMinute() {
        RouterHarness r = noting(2);
        int notes = 0;
        for (int i = 0; i < 20; i++) {
            Fetch f = fetch(r.ask("a"));
            notes += only(SendToPeer.class, r.end(f, 0, Outcome.OK, FillResult.FILLED))
                    .size();
        }
        assertEquals(12, notes);
        RouterHarness quiet = new RouterHarness().fleet(3, 2).start();
        Fetch f = fetch(quiet.ask("a"));
        assertEquals(
                0,
                only(SendToPeer.class, quiet.end(f, 0, Outcome.OK, FillResult.FILLED))
                        .size());
    }

    @Test
    void peersNoteNamesASibling() {
        RouterHarness teller = noting(2);
        long home = fetch(teller.ask("a")).member();
        teller.change(home, State.DRAINING, 0);
        Fetch f = fetch(teller.ask("a"));
        SendToPeer note = only(SendToPeer.class, teller.end(f, 0, Outcome.OK, FillResult.FILLED))
                .get(0);
        RouterHarness hearer = noting(1);
        hearer.handle(new PeerMessage(1, note.payload()));
        assertEquals(f.member(), fetch(hearer.ask("a")).source());
    }

    /**
     * Guards the cost of notes in a tier of very many routers: once the routers of the location are known by
     * what they told, a note goes to each of them and no longer to all; alone in its location, a router tells
     * nobody.
     */
    @Test
    void notesGoToTheRoutersOfTheLocationOnceKnown() {
        RouterHarness r = noting(2);
        Fetch first = fetch(r.ask("a"));
        assertEquals(
                -1,
                only(SendToPeer.class, r.end(first, 0, Outcome.OK, FillResult.FILLED))
                        .get(0)
                        .router());
        r.handle(new PeerMessage(
                7,
                only(SendToPeer.class, r.end(fetch(r.ask("b")), 0, Outcome.OK, FillResult.FILLED))
                        .get(0)
                        .payload()));
        List<SendToPeer> told = only(SendToPeer.class, r.end(fetch(r.ask("c")), 0, Outcome.OK, FillResult.FILLED));
        assertEquals(List.of(7), told.stream().map(SendToPeer::router).toList());
        RouterHarness alone = noting(1);
        assertTrue(only(SendToPeer.class, alone.end(fetch(alone.ask("a")), 0, Outcome.OK, FillResult.FILLED))
                .isEmpty());
    }

    @Test
    void uncacheableRequestsPassThroughUntouched() {
        RouterHarness r = new RouterHarness().fleet(3, 2).start();
        Fetch through = fetch(r.ask("w", RouterHarness.WRITE, 0));
        assertEquals(900, through.source());
        assertEquals(0, through.keepRank());
        RouterHarness direct = new RouterHarness();
        direct.direct = true;
        direct.fleet(3, 2).start();
        assertEquals(
                900,
                only(Lookup.class, direct.ask("w", RouterHarness.WRITE, 0))
                        .get(0)
                        .member());
    }

    /** Work is not told: a fresh router must not take transfers of usual length for a jam. */
    @Test
    void aFreshRouterThatIsNotToldSizesKeepsItsLimitsWhileTransfersTakeTheirUsualTime() {
        RouterHarness r = new RouterHarness().fleet(1, 1).start();
        for (int i = 0; i < 12; i++) {
            Fetch fetch = fetch(r.ask("o" + i, RouterHarness.PAGE, 0));
            r.pass(1_200 * MILLI);
            r.handle(new AttemptEnded(
                    fetch.id(), 0, fetch.member(), Outcome.OK, 1_200 * MILLI, true, FillResult.HIT, 0, Map.of()));
        }
        for (int i = 0; i < 6; i++) {
            assertEquals(
                    1, only(Fetch.class, r.ask("o" + i, RouterHarness.PAGE, 0)).size());
        }
    }

    /** One parent slow by itself: it is blamed, not the origin behind it, and what it can't take goes past it. */
    @Test
    void fillsGoPastAParentThatAloneIsLateAndFull() {
        RouterHarness r = new RouterHarness().fleet(1, 2).start();
        long slow = 101;
        for (int i = 0; i < 40; i++) {
            Fetch fetch = fetch(r.ask("o" + i));
            r.pass(fetch.source() == slow ? 4 * SECOND : 100 * MILLI);
            r.end(fetch, 0, Outcome.OK, fetch.source() == slow ? FillResult.FILLED : FillResult.FILLED_BY_ORIGIN);
        }
        int wentPast = 0;
        for (int i = 0; i < 30; i++) {
            long home =
                    fetch(new RouterHarness().fleet(1, 2).start().ask("p" + i)).source();
            for (Fetch fetch : only(Fetch.class, r.ask("p" + i))) {
                wentPast += home == slow && fetch.source() == 102 ? 1 : 0;
            }
        }
        assertTrue(wentPast > 0);
    }

    /** Notes don't tell of the origin here; that it turns direct requests away does, and fills spare it. */
    @Test
    void fillsSpareAnOriginThatTurnsDirectRequestsAway() {
        RouterHarness r = new RouterHarness().fleet(1, 1);
        r.direct = true;
        r.notes = RouterApi.FillReporting.HIT_ONLY;
        r.start();
        for (int i = 0; i < 30; i++) {
            r.now += 10 * MILLI;
            RouterApi.Lookup write = RouterHarness.lookup(r.ask("w" + i, RouterHarness.WRITE, 100));
            r.end(write.id(), 0, write.member(), Outcome.FULL, FillResult.NONE);
        }
        long looks = 0;
        for (int i = 0; i < 6; i++) {
            looks += only(Fetch.class, r.ask("o" + i)).stream()
                    .filter(f -> f.source() == f.member())
                    .count();
        }
        assertTrue(looks > 0);
    }

    /** Answers all that is out, 0.1 s after it left, and what follows from that; looks find nothing. */
    private static int answerAll(RouterHarness r, List<Fetch> out, FillResult note) {
        java.util.Deque<Fetch> open = new java.util.ArrayDeque<>(out);
        java.util.Map<String, Integer> attempts = new java.util.HashMap<>();
        int filled = 0;
        while (!open.isEmpty()) {
            Fetch f = open.poll();
            boolean look = f.source() == f.member() || f.onlyIfCached();
            filled += look ? 0 : 1;
            r.now += 5 * MILLI;
            open.addAll(only(
                    Fetch.class,
                    r.end(
                            f,
                            attempts.merge(f.id(), 1, Integer::sum) - 1,
                            look ? Outcome.MISS : Outcome.OK,
                            look ? FillResult.NONE : note)));
        }
        return filled;
    }

    private static List<Fetch> askAll(RouterHarness r, String name, int count) {
        List<Fetch> out = new java.util.ArrayList<>();
        for (int i = 0; i < count; i++) {
            out.addAll(only(Fetch.class, r.ask(name + i)));
        }
        return out;
    }

    private static long fills(List<Fetch> out) {
        return out.stream()
                .filter(f -> f.source() != f.member() && !f.onlyIfCached())
                .count();
    }

    /** Caches and parents that bear much, before an origin whose weight is one. */
    private static RouterHarness hitsAloneAreTold() {
        RouterHarness r = new RouterHarness().fleet(16, 4);
        r.notes = RouterApi.FillReporting.HIT_ONLY;
        r.weights = RouterApi.WeightMeaning.ROUGH;
        r.members.replaceAll(m -> m.role() == RouterApi.Role.ORIGIN
                ? m
                : new RouterApi.Member(m.id(), m.role(), m.zone(), m.cell(), 500, m.started(), m.state()));
        return r.start();
    }

    /** No note names the origin; that all parents come late does, and its limit holds the fills through all of them. */
    @Test
    void fillsSpareTheOriginBehindParentsThatAreAllLate() {
        RouterHarness r = hitsAloneAreTold();
        for (int round = 0; round < 20; round++) {
            answerAll(r, askAll(r, "intime" + round + "-", 12), FillResult.NONE);
        }
        List<Fetch> out = askAll(r, "before", 60);
        long before = fills(out);
        answerAll(r, out, FillResult.NONE);
        for (int round = 0; round < 12; round++) {
            List<Fetch> late = askAll(r, "late" + round + "-", 16);
            r.pass(4 * SECOND);
            answerAll(r, late, FillResult.NONE);
        }
        long after = fills(askAll(r, "next", 60));
        assertTrue(after > 0 && after < before / 2, () -> "fills let out at once: " + before + ", then " + after);
    }

    /** An origin's weight says nothing of it: fills through parents that come in time raise what it may have. */
    @Test
    void fillsInTimeRaiseWhatTheOriginMayHave() {
        RouterHarness r = hitsAloneAreTold();
        long first = fills(askAll(r, "first", 12));
        r = hitsAloneAreTold();
        for (int round = 0; round < 20; round++) {
            answerAll(r, askAll(r, "round" + round + "-", 12), FillResult.NONE);
        }
        long later = fills(askAll(r, "later", 12));
        assertTrue(first < 8 && later > first, () -> "at first " + first + ", later " + later);
    }
}
