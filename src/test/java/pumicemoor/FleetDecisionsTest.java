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
import pumicemoor.RouterApi.LimitShare;
import pumicemoor.RouterApi.LimitSharesUpdate;
import pumicemoor.RouterApi.Fetch;
import pumicemoor.RouterApi.FillResult;
import pumicemoor.RouterApi.MemberHealthReport;
import pumicemoor.RouterApi.Lookup;
import pumicemoor.RouterApi.LimitMeasure;
import pumicemoor.RouterApi.EjectedMember;
import pumicemoor.RouterApi.Outcome;
import pumicemoor.RouterApi.Refuse;
import pumicemoor.RouterApi.State;
import pumicemoor.RouterApi.EjectionsUpdate;
import pumicemoor.RouterApi.LimitDemand;

/** What the decisions make of the fleet's limits and verdicts. */
class FleetDecisionsTest {

    private static final long SECOND = RouterHarness.SECOND;
    private static final long MILLI = RouterHarness.MILLI;

    /** How many attempts may reach a member, as its target, its source, or the origin behind its parent. */
    private static long reach(List<Action> actions, long member) {
        return Stream.concat(
                        RouterHarness.only(Fetch.class, actions).stream()
                                .filter(f -> f.member() == member
                                        || f.source() == member
                                        || member == 900 && f.source() > 100 && !f.onlyIfCached()),
                        RouterHarness.only(Lookup.class, actions).stream().filter(l -> l.member() == member))
                .count();
    }

    /** Asks for a new object every 10 ms, answers every attempt after 5 ms; returns all actions. */
    private static List<Action> load(RouterHarness r, int requests, int requestClass) {
        List<Action> all = new ArrayList<>();
        for (int i = 0; i < requests; i++) {
            List<Action> now = new ArrayList<>(r.ask("o" + i, requestClass, 10));
            now.addAll(r.pass(5 * MILLI));
            for (int j = 0; j < now.size(); j++) {
                if (now.get(j) instanceof Fetch f) {
                    now.addAll(r.end(
                            f,
                            (int) now.subList(0, j).stream()
                                    .filter(a -> a instanceof Fetch o && o.id().equals(f.id()))
                                    .count(),
                            Outcome.OK,
                            FillResult.FILLED));
                } else if (now.get(j) instanceof Lookup l) {
                    now.addAll(r.end(l.id(), 0, l.member(), Outcome.OK, FillResult.NONE));
                }
            }
            all.addAll(now);
            all.addAll(r.pass(5 * MILLI));
        }
        return all;
    }

    private static RouterHarness limited(LimitShare... allowances) {
        RouterHarness r = new RouterHarness().fleet(3, 2);
        r.direct = true;
        r.start();
        r.handle(new LimitSharesUpdate(List.of(allowances)));
        return r;
    }

    @Test
    void noMoreReachesAMemberThanItsAllowance() {
        for (long member : new long[] {1, 101, 900}) {
            RouterHarness r = limited(new LimitShare(member, LimitMeasure.PER_SECOND, 20, Long.MAX_VALUE, 20));
            long reached = reach(load(r, 600, RouterHarness.PAGE), member);
            assertTrue(reached <= 20 * 6.1 + 1, () -> member + " was reached " + reached + " times");
            assertTrue(reached > 20 * 6 * 0.8, () -> member + " was reached " + reached + " times only");
        }
    }

    @Test
    void anUncacheableRequestIsHeldAndThenRefusedWhereTheOriginIsUsedUp() {
        RouterHarness r = limited(new LimitShare(900, LimitMeasure.PER_SECOND, 10, Long.MAX_VALUE, 10));
        List<Action> all = load(r, 300, RouterHarness.WRITE);
        all.addAll(r.pass(4 * SECOND));
        long reached = reach(all, 900);
        assertTrue(reached <= 10 * 7.1 + 1 && reached >= 25, () -> "reached " + reached);
        assertEquals(300, reached + RouterHarness.only(Refuse.class, all).size(), "each has its one end");
    }

    @Test
    void anAllowanceThatRanOutGoesOverToWhatComesAfter() {
        RouterHarness r = limited();
        r.handle(new LimitSharesUpdate(List.of(new LimitShare(900, LimitMeasure.PER_SECOND, 50, r.now + 2 * SECOND, 5))));
        long first = reach(load(r, 200, RouterHarness.PAGE), 900);
        long then = reach(load(r, 400, RouterHarness.PAGE), 900);
        assertTrue(first > 60, () -> "first " + first);
        assertTrue(then <= 5 * 4.1 + 5 + 1 && then >= 10, () -> "then " + then);
    }

    @Test
    void whatIsUnderWayIsBoundedAndOnlyWhileColdWhereSaidSo() {
        RouterHarness r = limited(new LimitShare(900, LimitMeasure.IN_FLIGHT, 2, Long.MAX_VALUE, 2));
        List<Action> all = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            all.addAll(r.ask("w" + i, RouterHarness.WRITE, 10));
        }
        assertEquals(2, reach(all, 900));
        Lookup first = RouterHarness.only(Lookup.class, all).get(0);
        assertEquals(1, reach(r.end(first.id(), 0, 900, Outcome.OK, FillResult.NONE), 900), "the next goes as one ends");
        RouterHarness warm = limited(new LimitShare(900, LimitMeasure.COLD_IN_FLIGHT, 2, Long.MAX_VALUE, 2));
        List<Action> more = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            more.addAll(warm.ask("w" + i, RouterHarness.WRITE, 10));
        }
        assertEquals(10, reach(more, 900), "the origin is never cold");
    }

    @Test
    void whatCrossesZonesStaysWithinItsKilobytes() {
        RouterHarness r =
                limited(new LimitShare(LimitShare.ACROSS_ZONES, LimitMeasure.KB_PER_SECOND, 200, Long.MAX_VALUE, 200));
        java.util.Map<String, Integer> tries = new java.util.HashMap<>();
        double crossed = 0;
        int local = 0;
        for (int i = 0; i < 1_000; i++) {
            List<Action> sent = new ArrayList<>(r.ask("o" + i % 500, RouterHarness.PAGE, 10));
            sent.addAll(r.pass(20 * MILLI));
            for (int j = 0; j < sent.size(); j++) {
                if (!(sent.get(j) instanceof Fetch f)) {
                    continue;
                }
                boolean away = f.source() > 100;
                crossed += away ? 10 : 0;
                local += away ? 0 : 1;
                sent.addAll(r.handle(new RouterApi.AttemptEnded(
                        f.id(),
                        tries.merge(f.id(), 1, Integer::sum) - 1,
                        f.member(),
                        away ? Outcome.OK : Outcome.MISS,
                        MILLI,
                        false,
                        away ? FillResult.FILLED : FillResult.NONE,
                        0,
                        java.util.Map.of(),
                        away ? 10 : 0)));
            }
        }
        double most = crossed;
        assertTrue(most <= 200 * 20.1 + 20, () -> most + " kB crossed in 20 s");
        assertTrue(most >= 200 * 20 * 0.7, () -> "only " + most + " kB crossed");
        assertTrue(local > 0, "what needs no crossing goes on");
    }

    @Test
    void whatIsWantedIsToldAlsoWhereItIsHeldUp() {
        RouterHarness r = limited(new LimitShare(900, LimitMeasure.PER_SECOND, 5, Long.MAX_VALUE, 5));
        List<LimitDemand> wanted = RouterHarness.only(LimitDemand.class, load(r, 400, RouterHarness.WRITE));
        assertTrue(wanted.size() >= 3);
        assertTrue(wanted.get(2).demand() > 80, wanted::toString);
        assertTrue(RouterHarness.only(LimitDemand.class, load(limited(), 200, RouterHarness.WRITE))
                .isEmpty());
    }

    @Test
    void aMemberThatTheFleetHasOutIsLeftAloneUntilItsTimeOrItsRestart() {
        RouterHarness r = new RouterHarness().fleet(3, 2).start();
        List<Fetch> plain = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            plain.add(r.serve("o" + i, FillResult.FILLED));
        }
        assertTrue(plain.stream().anyMatch(f -> f.member() == 2));
        r.handle(new EjectionsUpdate(List.of(new EjectedMember(2, 0, r.now + 20 * SECOND))));
        for (int i = 0; i < 60; i++) {
            Fetch f = r.serve("o" + i, FillResult.FILLED);
            assertNotEquals(2, f.member());
            assertNotEquals(2, f.source());
        }
        r.pass(20 * SECOND);
        assertTrue(
                Stream.iterate(0, i -> i + 1)
                        .limit(60)
                        .map(i -> r.serve("o" + i, FillResult.HIT))
                        .anyMatch(f -> f.member() == 2),
                "its time is over");
        r.handle(new EjectionsUpdate(List.of(new EjectedMember(2, 0, r.now + 60 * SECOND))));
        r.change(2, State.READY, r.now - 30 * SECOND);
        assertTrue(
                Stream.iterate(0, i -> i + 1)
                        .limit(60)
                        .map(i -> r.serve("o" + i, FillResult.FILLED))
                        .anyMatch(f -> f.member() == 2),
                "another process is not meant");
    }

    @Test
    void judgementsAreToldOnlyWhereTheyAreWanted() {
        for (boolean wanted : new boolean[] {true, false}) {
            RouterHarness r = new RouterHarness().fleet(1, 1).start();
            if (wanted) {
                r.handle(new EjectionsUpdate(List.of()));
            }
            List<Action> all = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                List<Action> sent = r.ask("o" + i);
                for (Fetch f : RouterHarness.only(Fetch.class, sent)) {
                    all.addAll(r.end(f, 0, Outcome.CONNECT_FAILED, FillResult.NONE));
                }
                all.addAll(r.pass(100 * MILLI));
            }
            List<MemberHealthReport> judged = RouterHarness.only(MemberHealthReport.class, all);
            assertEquals(wanted, !judged.isEmpty());
            judged.forEach(j -> assertTrue(j.member() == 1 && j.failing() && j.unresponsive() && j.until() > 0));
            assertFalse(wanted && judged.size() > 2, "once for each time out");
        }
    }
}
