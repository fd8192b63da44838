package pumicemoor.fleet.drains;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import pumicemoor.fleet.Packet.Body;
import pumicemoor.fleet.Packet.Piece;
import pumicemoor.fleet.Packet.PlanGrant;
import pumicemoor.fleet.Packet.PlanReport;
import pumicemoor.fleet.drains.FleetSnapshot.Target;
import pumicemoor.fleet.limits.LeaseTimes;

/** What one router goes by: plans in force alone, and the named left alone once it may not hear of what came of them. */
class DrainsTest {

    private static final long LEASE = 1_000;
    private static final long GUARD = 100;
    private static final long ME = 77; // this process
    private static final String KEEPER = "127.0.0.1:9";

    private final List<Body> sent = new ArrayList<>();
    private final List<String> dropped = new ArrayList<>();
    private final Drains drains = new Drains(
            new DrainTimes(10, 500, 9_000, 9_000, 50, 50),
            new LeaseTimes(LEASE, GUARD),
            "me",
            ME,
            0,
            new Drains.Usage() {
                @Override
                public int underWay(long member) {
                    return 3;
                }

                @Override
                public double hits(long member) {
                    return 2;
                }
            },
            new Drains.Outlet() {
                @Override
                public long send(String address, Body body) {
                    sent.add(body);
                    return sent.size();
                }

                @Override
                public void term(long term) {
                    // of no use here
                }

                @Override
                public void dropped(String what) {
                    dropped.add(what);
                }

                @Override
                public void changed(String text, Map<String, Object> figures) {
                    throw new AssertionError("only a keeper tells of steps");
                }
            });

    private static FleetSnapshot world(long now) {
        return new FleetSnapshot(
                now,
                0,
                0,
                3,
                List.of(),
                Map.of(1L, new Target("box-1", MemberKind.CACHE, true, 0), 2L, new Target("box-2", MemberKind.CACHE, true, 0)),
                Set.of());
    }

    private static Plan plan(long stamp, Phase one, Phase two) {
        return new Plan(
                stamp,
                List.of(new DrainRequest(5, 0, 1, 1)),
                List.of(new DrainOrder(1, MemberKind.CACHE, 1, one, stamp, 40), new DrainOrder(2, MemberKind.CACHE, 1, two, stamp, 40)),
                List.of());
    }

    private void give(Plan plan) {
        PlanStore book = new PlanStore();
        book.hold(plan);
        List<byte[]> pieces = book.pieces();
        for (int i = 0; i < pieces.size(); i++) {
            drains.take(new Piece(plan.stamp(), i, pieces.size(), pieces.get(i)));
        }
    }

    /** Reports at a time and is answered at another. */
    private void answer(long asked, long at, long instance, boolean office, long inForce) {
        drains.report(asked, KEEPER, 1);
        long report =
                sent.size() - (sent.get(sent.size() - 1) instanceof PlanReport ? 0 : 1); // a command may follow it
        drains.answered(at, KEEPER, new PlanGrant(report, instance, 1, office, inForce, inForce));
    }

    private Set<Long> alone(long now) {
        Drains.View view = drains.takeView(now, world(now));
        return view == null ? null : view.alone();
    }

    @Test
    void aPlanIsGoneByOnceItIsInForceAndTheNamedAreLeftAloneOutOfTouch() {
        assertTrue(!drains.takeView(0, world(0)).settled(), "who is out is not known yet");
        give(plan(11, Phase.NAMED, Phase.QUEUED));
        answer(100, 110, ME, false, 11);
        assertEquals(Set.of(1L), alone(110));
        assertEquals(0, drains.plan().stamp(), "nobody in office said that it is in force");
        answer(200, 210, ME + 1, true, 11);
        assertEquals(List.of("late-plan-grant"), dropped, "that was for the process before");
        answer(300, 310, ME, true, 11);
        Drains.View view = drains.takeView(310, world(310));
        assertTrue(view.settled() && view.alone().isEmpty());
        assertEquals(11, drains.plan().stamp());
        assertEquals(300 + LEASE, drains.nextDue(310), "the lease counts from when the report left");
        assertNull(alone(1_299));
        assertEquals(Set.of(1L), alone(1_300));
        // back in touch, but behind: what was named may be out by now
        answer(1_400, 1_410, ME, true, 12);
        assertNull(alone(1_410));
        give(plan(12, Phase.RETURNING, Phase.NAMED));
        assertNull(alone(1_420), "it is not known to be in force here");
        answer(1_500, 1_510, ME, true, 12);
        view = drains.takeView(1_510, world(1_510));
        assertTrue(view.alone().isEmpty());
        assertEquals(Map.of(1L, 40L), view.returned(), "it came back cold");
    }

    @Test
    void aProcessStartedAnewGoesByAnOldPlanRatherThanNone() {
        assertNotNull(drains.takeView(0, world(0)));
        give(plan(11, Phase.OUT, Phase.NAMED));
        assertEquals(Set.of(1L, 2L), alone(10));
        Drains.View view = drains.takeView(LEASE + GUARD, world(LEASE + GUARD));
        assertTrue(view.settled() && view.alone().equals(Set.of(1L, 2L)), "it waited as long as it may");
        assertTrue(!((PlanReport) last(LEASE + GUARD)).seasoned(), "but it does not remember");
    }

    private Body last(long now) {
        drains.report(now, KEEPER, 1);
        return sent.get(sent.size() - 1);
    }

    @Test
    void aReportTellsWhatTheDecisionsGoByAndACommandGoesAlongUntilItIsTaken() {
        give(plan(11, Phase.DRAINING, Phase.QUEUED));
        answer(100, 110, ME, true, 11);
        assertEquals(0, ((PlanReport) last(120)).applied(), "the decisions have not been told");
        drains.takeView(130, world(130));
        PlanReport report = (PlanReport) last(140);
        assertEquals(11, report.applied());
        assertEquals(3, report.uses().get(0).underWay());
        assertEquals(2, report.uses().get(1).hits());
        drains.command(150, new DrainCommand(DrainCommand.Kind.CANCEL, 8, 0, 0, 0, List.of(2L)));
        int before = sent.size();
        drains.report(160, KEEPER, 1);
        assertEquals(before + 2, sent.size());
        give(plan(12, Phase.DRAINING, Phase.FINISHED));
        answer(170, 180, ME, true, 12);
        before = sent.size();
        drains.report(190, KEEPER, 1);
        assertEquals(before + 1, sent.size(), "it was taken");
    }
}
