package pumicemoor;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import pumicemoor.RouterApi.Action;
import pumicemoor.RouterApi.EjectedMember;
import pumicemoor.RouterApi.EjectionsUpdate;
import pumicemoor.RouterApi.Fetch;
import pumicemoor.RouterApi.FillResult;
import pumicemoor.RouterApi.LimitDemand;
import pumicemoor.RouterApi.LimitMeasure;
import pumicemoor.RouterApi.LimitShare;
import pumicemoor.RouterApi.LimitSharesUpdate;
import pumicemoor.RouterApi.Lookup;
import pumicemoor.RouterApi.MemberHealthReport;
import pumicemoor.RouterApi.Outcome;
import pumicemoor.RouterApi.Refuse;
import pumicemoor.RouterApi.State;

/** Tests how the decisions follow the fleet's limits and ejections. */
class FleetDecisionsTest {

    private static final long MICROS_PER_SECOND = RouterHarness.MICROS_PER_SECOND;
    private static final long MICROS_PER_MILLI = RouterHarness.MICROS_PER_MILLI;

    /** Counts the attempts that may reach a member, as target, as source, or as the origin upstream of a parent. */
    private static long countReaching(List<Action> actions, long member) {
        return Stream.concat(
                        RouterHarness.ofType(Fetch.class, actions).stream()
                                .filter(fetch -> fetch.member() == member
                                        || fetch.source() == member
                                        || member == 900 && fetch.source() > 100 && !fetch.onlyIfCached()),
                        RouterHarness.ofType(Lookup.class, actions).stream()
                                .filter(lookup -> lookup.member() == member))
                .count();
    }

    /** Requests a new object every 10 ms and answers every attempt after 5 ms; returns all actions. */
    private static List<Action> simulateLoad(RouterHarness router, int requests, int requestClass) {
        List<Action> allActions = new ArrayList<>();
        for (int i = 0; i < requests; i++) {
            List<Action> actions = new ArrayList<>(router.request("o" + i, requestClass, 10));
            actions.addAll(router.advance(5 * MICROS_PER_MILLI));
            for (int j = 0; j < actions.size(); j++) {
                if (actions.get(j) instanceof Fetch fetch) {
                    actions.addAll(router.endAttempt(
                            fetch,
                            (int) actions.subList(0, j).stream()
                                    .filter(a -> a instanceof Fetch earlier
                                            && earlier.id().equals(fetch.id()))
                                    .count(),
                            Outcome.OK,
                            FillResult.FILLED));
                } else if (actions.get(j) instanceof Lookup lookup) {
                    actions.addAll(router.endAttempt(lookup.id(), 0, lookup.member(), Outcome.OK, FillResult.NONE));
                }
            }
            allActions.addAll(actions);
            allActions.addAll(router.advance(5 * MICROS_PER_MILLI));
        }
        return allActions;
    }

    private static RouterHarness withLimits(LimitShare... shares) {
        RouterHarness router = new RouterHarness().addFleet(3, 2);
        router.bypassCaches = true;
        router.start();
        router.handle(new LimitSharesUpdate(List.of(shares)));
        return router;
    }

    @Test
    void noMoreAttemptsReachAMemberThanItsLimitShareAllows() {
        for (long member : new long[] {1, 101, 900}) {
            RouterHarness router = withLimits(new LimitShare(member, LimitMeasure.PER_SECOND, 20, Long.MAX_VALUE, 20));
            long reaching = countReaching(simulateLoad(router, 600, RouterHarness.PAGE), member);
            assertTrue(reaching <= 20 * 6.1 + 1, () -> member + " was reached " + reaching + " times");
            assertTrue(reaching > 20 * 6 * 0.8, () -> member + " was reached " + reaching + " times only");
        }
    }

    @Test
    void anUncacheableRequestWaitsAndIsThenRefusedWhereTheOriginsLimitIsUsedUp() {
        RouterHarness router = withLimits(new LimitShare(900, LimitMeasure.PER_SECOND, 10, Long.MAX_VALUE, 10));
        List<Action> allActions = simulateLoad(router, 300, RouterHarness.WRITE);
        allActions.addAll(router.advance(4 * MICROS_PER_SECOND));
        long reaching = countReaching(allActions, 900);
        assertTrue(reaching <= 10 * 7.1 + 1 && reaching >= 25, () -> "reached " + reaching);
        assertEquals(
                300,
                reaching + RouterHarness.ofType(Refuse.class, allActions).size(),
                "each request has exactly one end");
    }

    @Test
    void afterItsExpiryALimitShareHasTheAmountForAfterwards() {
        RouterHarness router = withLimits();
        router.handle(new LimitSharesUpdate(
                List.of(new LimitShare(900, LimitMeasure.PER_SECOND, 50, router.now + 2 * MICROS_PER_SECOND, 5))));
        long first = countReaching(simulateLoad(router, 200, RouterHarness.PAGE), 900);
        long afterExpiry = countReaching(simulateLoad(router, 400, RouterHarness.PAGE), 900);
        assertTrue(first > 60, () -> "first " + first);
        assertTrue(afterExpiry <= 5 * 4.1 + 5 + 1 && afterExpiry >= 10, () -> "then " + afterExpiry);
    }

    @Test
    void requestsInFlightAreLimitedAndByAColdLimitOnlyInSlowStart() {
        RouterHarness router = withLimits(new LimitShare(900, LimitMeasure.IN_FLIGHT, 2, Long.MAX_VALUE, 2));
        List<Action> allActions = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            allActions.addAll(router.request("w" + i, RouterHarness.WRITE, 10));
        }
        assertEquals(2, countReaching(allActions, 900));
        Lookup first = RouterHarness.ofType(Lookup.class, allActions).get(0);
        assertEquals(
                1,
                countReaching(router.endAttempt(first.id(), 0, 900, Outcome.OK, FillResult.NONE), 900),
                "the next is sent when one ends");
        RouterHarness coldLimited = withLimits(new LimitShare(900, LimitMeasure.COLD_IN_FLIGHT, 2, Long.MAX_VALUE, 2));
        List<Action> coldActions = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            coldActions.addAll(coldLimited.request("w" + i, RouterHarness.WRITE, 10));
        }
        assertEquals(10, countReaching(coldActions, 900), "the origin is never in slow start");
    }

    @Test
    void trafficBetweenZonesStaysWithinItsLimitOfKilobytes() {
        RouterHarness router = withLimits(
                new LimitShare(LimitShare.ACROSS_ZONES, LimitMeasure.KB_PER_SECOND, 200, Long.MAX_VALUE, 200));
        java.util.Map<String, Integer> attempts = new java.util.HashMap<>();
        double crossedSoFar = 0;
        int sentLocally = 0;
        for (int i = 0; i < 1_000; i++) {
            List<Action> actions = new ArrayList<>(router.request("o" + i % 500, RouterHarness.PAGE, 10));
            actions.addAll(router.advance(20 * MICROS_PER_MILLI));
            for (int j = 0; j < actions.size(); j++) {
                if (!(actions.get(j) instanceof Fetch fetch)) {
                    continue;
                }
                boolean crossing = fetch.source() > 100;
                crossedSoFar += crossing ? 10 : 0;
                sentLocally += crossing ? 0 : 1;
                actions.addAll(router.handle(new RouterApi.AttemptEnded(
                        fetch.id(),
                        attempts.merge(fetch.id(), 1, Integer::sum) - 1,
                        fetch.member(),
                        crossing ? Outcome.OK : Outcome.MISS,
                        MICROS_PER_MILLI,
                        false,
                        crossing ? FillResult.FILLED : FillResult.NONE,
                        0,
                        java.util.Map.of(),
                        crossing ? 10 : 0)));
            }
        }
        double crossedKb = crossedSoFar;
        assertTrue(crossedKb <= 200 * 20.1 + 20, () -> crossedKb + " kB crossed in 20 s");
        assertTrue(crossedKb >= 200 * 20 * 0.7, () -> "only " + crossedKb + " kB crossed");
        assertTrue(sentLocally > 0, "attempts within the zone go on");
    }

    @Test
    void theReportedDemandIncludesRequestsThatTheLimitDenies() {
        RouterHarness router = withLimits(new LimitShare(900, LimitMeasure.PER_SECOND, 5, Long.MAX_VALUE, 5));
        List<LimitDemand> demands =
                RouterHarness.ofType(LimitDemand.class, simulateLoad(router, 400, RouterHarness.WRITE));
        assertTrue(demands.size() >= 3);
        assertTrue(demands.get(2).demand() > 80, demands::toString);
        assertTrue(RouterHarness.ofType(LimitDemand.class, simulateLoad(withLimits(), 200, RouterHarness.WRITE))
                .isEmpty());
    }

    @Test
    void aMemberEjectedByTheFleetIsAvoidedUntilTheEjectionExpiresOrItRestarts() {
        RouterHarness router = new RouterHarness().addFleet(3, 2).start();
        List<Fetch> withoutEjection = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            withoutEjection.add(router.requestAndServe("o" + i, FillResult.FILLED));
        }
        assertTrue(withoutEjection.stream().anyMatch(fetch -> fetch.member() == 2));
        router.handle(new EjectionsUpdate(List.of(new EjectedMember(2, 0, router.now + 20 * MICROS_PER_SECOND))));
        for (int i = 0; i < 60; i++) {
            Fetch fetch = router.requestAndServe("o" + i, FillResult.FILLED);
            assertNotEquals(2, fetch.member());
            assertNotEquals(2, fetch.source());
        }
        router.advance(20 * MICROS_PER_SECOND);
        assertTrue(
                Stream.iterate(0, i -> i + 1)
                        .limit(60)
                        .map(i -> router.requestAndServe("o" + i, FillResult.HIT))
                        .anyMatch(fetch -> fetch.member() == 2),
                "the ejection has expired");
        router.handle(new EjectionsUpdate(List.of(new EjectedMember(2, 0, router.now + 60 * MICROS_PER_SECOND))));
        router.changeMember(2, State.READY, router.now - 30 * MICROS_PER_SECOND);
        assertTrue(
                Stream.iterate(0, i -> i + 1)
                        .limit(60)
                        .map(i -> router.requestAndServe("o" + i, FillResult.FILLED))
                        .anyMatch(fetch -> fetch.member() == 2),
                "the ejection is not of this process");
    }

    @Test
    void healthReportsAreSentOnlyAfterAnEjectionsUpdate() {
        for (boolean reportsWanted : new boolean[] {true, false}) {
            RouterHarness router = new RouterHarness().addFleet(1, 1).start();
            if (reportsWanted) {
                router.handle(new EjectionsUpdate(List.of()));
            }
            List<Action> allActions = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                List<Action> actions = router.request("o" + i);
                for (Fetch fetch : RouterHarness.ofType(Fetch.class, actions)) {
                    allActions.addAll(router.endAttempt(fetch, 0, Outcome.CONNECT_FAILED, FillResult.NONE));
                }
                allActions.addAll(router.advance(100 * MICROS_PER_MILLI));
            }
            List<MemberHealthReport> reports = RouterHarness.ofType(MemberHealthReport.class, allActions);
            assertEquals(reportsWanted, !reports.isEmpty());
            reports.forEach(r -> assertTrue(r.member() == 1 && r.failing() && r.unresponsive() && r.until() > 0));
            assertFalse(reportsWanted && reports.size() > 2, "at most one for each ejection");
        }
    }
}
