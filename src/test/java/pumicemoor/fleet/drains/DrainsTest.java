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

/** What one router acts on: only plans in force; named members are avoided once it may miss their next phase. */
class DrainsTest {

    private static final long LEASE_MICROS = 1_000;
    private static final long GUARD_MICROS = 100;
    private static final long INSTANCE = 77; // of the process under test
    private static final String LEADER = "127.0.0.1:9";

    private final List<Body> sent = new ArrayList<>();
    private final List<String> dropped = new ArrayList<>();
    private final Drains drains = new Drains(
            new DrainTimes(10, 500, 9_000, 9_000, 50, 50),
            new LeaseTimes(LEASE_MICROS, GUARD_MICROS),
            "me",
            INSTANCE,
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
                public void observeTerm(long term) {
                    // not needed here
                }

                @Override
                public void dropped(String reason) {
                    dropped.add(reason);
                }

                @Override
                public void log(String text, Map<String, Object> fields) {
                    throw new AssertionError("only a leader logs steps");
                }
            });

    private static FleetSnapshot snapshot(long now) {
        return new FleetSnapshot(
                now,
                0,
                0,
                3,
                List.of(),
                Map.of(
                        1L,
                        new Target("box-1", MemberKind.CACHE, true, 0),
                        2L,
                        new Target("box-2", MemberKind.CACHE, true, 0)),
                Set.of());
    }

    private static Plan plan(long stamp, Phase firstPhase, Phase secondPhase) {
        return new Plan(
                stamp,
                List.of(new DrainRequest(5, 0, 1, 1)),
                List.of(
                        new DrainOrder(1, MemberKind.CACHE, 1, firstPhase, stamp, 40),
                        new DrainOrder(2, MemberKind.CACHE, 1, secondPhase, stamp, 40)),
                List.of());
    }

    private void deliver(Plan plan) {
        PlanStore sender = new PlanStore();
        sender.store(plan);
        List<byte[]> pieces = sender.pieces();
        for (int i = 0; i < pieces.size(); i++) {
            drains.acceptPiece(new Piece(plan.stamp(), i, pieces.size(), pieces.get(i)));
        }
    }

    /** Sends a report at one time and processes its answer at another. */
    private void reportAndAnswer(long reportedAt, long answeredAt, long instance, boolean fromLeader, long inForce) {
        drains.report(reportedAt, LEADER, 1);
        // a command may follow the report
        long report = sent.size() - (sent.get(sent.size() - 1) instanceof PlanReport ? 0 : 1);
        drains.answerReceived(answeredAt, LEADER, new PlanGrant(report, instance, 1, fromLeader, inForce, inForce));
    }

    private Set<Long> avoidedMembers(long now) {
        Drains.View view = drains.takeView(now, snapshot(now));
        return view == null ? null : view.avoidedMembers();
    }

    @Test
    void aPlanAppliesOnlyOnceInForceAndNamedMembersAreAvoidedWithoutLeaderContact() {
        assertTrue(!drains.takeView(0, snapshot(0)).settled(), "it is not known yet which members are out");
        deliver(plan(11, Phase.NAMED, Phase.QUEUED));
        reportAndAnswer(100, 110, INSTANCE, false, 11);
        assertEquals(Set.of(1L), avoidedMembers(110));
        assertEquals(0, drains.plan().stamp(), "no leader has reported that the plan is in force");
        reportAndAnswer(200, 210, INSTANCE + 1, true, 11);
        assertEquals(List.of("late-plan-grant"), dropped, "the answer was for the previous process");
        reportAndAnswer(300, 310, INSTANCE, true, 11);
        Drains.View view = drains.takeView(310, snapshot(310));
        assertTrue(view.settled() && view.avoidedMembers().isEmpty());
        assertEquals(11, drains.plan().stamp());
        assertEquals(300 + LEASE_MICROS, drains.nextDue(310), "the lease counts from when the report was sent");
        assertNull(avoidedMembers(1_299));
        assertEquals(Set.of(1L), avoidedMembers(1_300));
        // in contact again, but with an old plan: the named member may be out by now
        reportAndAnswer(1_400, 1_410, INSTANCE, true, 12);
        assertNull(avoidedMembers(1_410));
        deliver(plan(12, Phase.RETURNING, Phase.NAMED));
        assertNull(avoidedMembers(1_420), "the plan is not known to be in force");
        reportAndAnswer(1_500, 1_510, INSTANCE, true, 12);
        view = drains.takeView(1_510, snapshot(1_510));
        assertTrue(view.avoidedMembers().isEmpty());
        assertEquals(Map.of(1L, 40L), view.returnedAt(), "the member returned and is in slow start");
    }

    @Test
    void aRestartedProcessAppliesAnOldPlanRatherThanNone() {
        assertNotNull(drains.takeView(0, snapshot(0)));
        deliver(plan(11, Phase.OUT, Phase.NAMED));
        assertEquals(Set.of(1L, 2L), avoidedMembers(10));
        Drains.View view = drains.takeView(LEASE_MICROS + GUARD_MICROS, snapshot(LEASE_MICROS + GUARD_MICROS));
        assertTrue(view.settled() && view.avoidedMembers().equals(Set.of(1L, 2L)), "it has waited as long as it may");
        assertTrue(!((PlanReport) sendReport(LEASE_MICROS + GUARD_MICROS)).recovered(), "but it has not recovered");
    }

    private Body sendReport(long now) {
        drains.report(now, LEADER, 1);
        return sent.get(sent.size() - 1);
    }

    @Test
    void aReportHasTheStampOfTheViewAndACommandIsSentUntilAPlanContainsIt() {
        deliver(plan(11, Phase.DRAINING, Phase.QUEUED));
        reportAndAnswer(100, 110, INSTANCE, true, 11);
        assertEquals(
                0, ((PlanReport) sendReport(120)).appliedStamp(), "routing decisions have not received the plan yet");
        drains.takeView(130, snapshot(130));
        PlanReport report = (PlanReport) sendReport(140);
        assertEquals(11, report.appliedStamp());
        assertEquals(3, report.uses().get(0).inFlight());
        assertEquals(2, report.uses().get(1).recentHits());
        drains.command(150, new DrainCommand(DrainCommand.Kind.CANCEL, 8, 0, 0, 0, List.of(2L)));
        int before = sent.size();
        drains.report(160, LEADER, 1);
        assertEquals(before + 2, sent.size());
        deliver(plan(12, Phase.DRAINING, Phase.FINISHED));
        reportAndAnswer(170, 180, INSTANCE, true, 12);
        before = sent.size();
        drains.report(190, LEADER, 1);
        assertEquals(before + 1, sent.size(), "a plan contains the command");
    }
}
