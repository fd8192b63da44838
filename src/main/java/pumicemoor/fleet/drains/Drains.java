package pumicemoor.fleet.drains;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import pumicemoor.fleet.Packet.Body;
import pumicemoor.fleet.Packet.DrainAsk;
import pumicemoor.fleet.Packet.MemberUsage;
import pumicemoor.fleet.Packet.Piece;
import pumicemoor.fleet.Packet.PlanGrant;
import pumicemoor.fleet.Packet.PlanReport;
import pumicemoor.fleet.drains.FleetSnapshot.Peer;
import pumicemoor.fleet.limits.LeaseTimes;

/**
 * One router's part in coordinated drains: it acts on the plan in force, reports to the leader which plans it holds
 * and which requests it has in flight, forwards operators' commands, and writes the plan while it is the leader
 * itself. Owns the commands that no plan in force contains yet and the time until which this router is in contact
 * with a leader. Packets to be sent go to its outlet.
 */
public final class Drains {

    /** The largest number of members that may be out at once; the usage of each of them fits in one report. */
    public static final int MAX_MEMBERS_OUT = 50;

    /** The largest number of members in one request; a command fits in one packet. */
    public static final int MAX_MEMBERS_PER_REQUEST = 120;

    private static final int MAX_UNANSWERED_REPORTS = 8; // reports whose answer may still arrive
    private static final int MAX_PENDING_COMMANDS = 64; // commands that are in no plan in force yet
    private static final long COMMAND_TTL_MICROS = 60_000_000; // for this long a command is sent with each report
    private static final int MAX_USES_PER_REPORT = 60;
    private static final int MAX_ROUNDS_PER_CALL = 4; // plans written in one call, if this router alone is a majority
    private static final String DROPPED_PIECE_REASON = "plan-piece";

    /** Receives packets to be sent, terms and log entries. */
    public interface Outlet {

        /** Sends a packet to an address and returns its number. */
        long send(String address, Body body);

        /** Reports a term that was received from another router. */
        void observeTerm(long term);

        void dropped(String reason);

        /** Logs a change for operators. */
        void log(String text, Map<String, Object> fields);
    }

    /**
     * The state of drains that routing decisions use: whether the plan in force is known, or this process has waited
     * for it as long as it may; the members that no requests are sent to; and when members returned from a drain, in
     * Unix microseconds.
     */
    public record View(boolean settled, Set<Long> avoidedMembers, Map<Long, Long> returnedAt) {}

    /** This router's use of a member, queried for each report. */
    public interface Usage {

        /** Returns how many attempts in flight go to the member or name it as a source. */
        int underWay(long member);

        /** Returns how often the member recently answered from its own copies. */
        double hits(long member);
    }

    private record PendingCommand(DrainCommand command, long since) {}

    private final DrainTimes times;
    private final LeaseTimes leaseTimes;
    private final String localName;
    private final long instance;
    private final long startedAt;
    private final Outlet outlet;
    private final PlanStore planStore = new PlanStore();
    private final PlanLeader leader = new PlanLeader(planStore);
    private final RouterAcknowledgements acknowledgements;
    private final Map<Long, PendingCommand> pendingCommands = new LinkedHashMap<>();
    private final Map<Long, Long> reportSentAt = new TreeMap<>(); // by the number of the report
    private final Map<Long, String> stepCauses = new HashMap<>(); // by member, for the plan being written
    private final Map<Long, Long> returnedAt = new TreeMap<>();
    private final Usage usage;
    private Plan lastLoggedPlan = Plan.NONE;
    private View lastView;
    private long viewStamp; // stamp of the plan that the last view is based on
    private long leaderContactUntil;
    private boolean hadLeaderContact; // since the start of the process
    private boolean viewCutOff; // whether contact was lost when the last view was taken
    private int nextUsageIndex;

    public Drains(
            DrainTimes times,
            LeaseTimes leaseTimes,
            String localName,
            long instance,
            long startedAt,
            Usage usage,
            Outlet outlet) {
        this.times = times;
        this.leaseTimes = leaseTimes;
        this.localName = localName;
        this.instance = instance;
        this.startedAt = startedAt;
        this.usage = usage;
        this.outlet = outlet;
        this.acknowledgements = new RouterAcknowledgements(times, leaseTimes, localName, leader);
    }

    // ---- all routers -----------------------------------------------------------------------------------

    /** Returns the newest plan that this router knows to be in force. */
    public Plan plan() {
        return planStore.applied();
    }

    /**
     * Returns whether the next report should not be delayed: a plan is not known to be in force yet, a command waits,
     * or there has been no contact with a leader since the start.
     */
    public boolean needsPromptReport() {
        return planStore.newest().stamp() > planStore.applied().stamp()
                || !pendingCommands.isEmpty()
                || !hadLeaderContact;
    }

    /** Sends a report, and the commands that are in no plan yet, to the router that is believed to be the leader. */
    public void report(long now, String address, long term) {
        long number = outlet.send(
                address,
                new PlanReport(term, planStore.newest().stamp(), viewStamp, planStore.recovered(), reportedUsage()));
        reportSentAt.put(number, now);
        if (reportSentAt.size() > MAX_UNANSWERED_REPORTS) {
            reportSentAt.remove(reportSentAt.keySet().iterator().next());
        }
        removeTakenCommands(now);
        pendingCommands.values().forEach(p -> outlet.send(address, new DrainAsk(p.command())));
    }

    /** Returns the usage of draining members, and then, in rotation, of queued ones as far as the report has space. */
    private List<MemberUsage> reportedUsage() {
        List<MemberUsage> uses = new ArrayList<>();
        List<DrainOrder> waiting = new ArrayList<>();
        for (DrainOrder order : planStore.applied().orders()) {
            if (order.phase() == Phase.DRAINING && uses.size() < MAX_USES_PER_REPORT) {
                uses.add(new MemberUsage(order.member(), usage.underWay(order.member()), 0));
            } else if (order.phase() == Phase.QUEUED) {
                waiting.add(order);
            }
        }
        for (int i = 0; i < waiting.size() && uses.size() < MAX_USES_PER_REPORT; i++) {
            long member = waiting.get(nextUsageIndex++ % waiting.size()).member();
            uses.add(new MemberUsage(member, 0, usage.hits(member)));
        }
        return uses;
    }

    private void removeTakenCommands(long now) {
        pendingCommands.values().removeIf(p -> now - p.since() > COMMAND_TTL_MICROS || isTaken(p.command()));
    }

    /** Returns whether the plan in force contains the command or leaves nothing to do for it. */
    private boolean isTaken(DrainCommand command) {
        if (command.kind() == DrainCommand.Kind.REQUEST) {
            return planStore.applied().containsRequest(command.id());
        }
        return command.members().stream().allMatch(m -> planStore
                .applied()
                .orderFor(m)
                .map(o -> command.kind() == DrainCommand.Kind.DONE
                        ? o.fence() != command.fence()
                        : !o.phase().isWaiting() && o.phase() != Phase.DRAINING)
                .orElse(true));
    }

    /** Accepts an operator's command; returns false if too many commands are pending. */
    public boolean command(long now, DrainCommand command) {
        removeTakenCommands(now);
        if (pendingCommands.size() >= MAX_PENDING_COMMANDS) {
            return false;
        }
        pendingCommands.putIfAbsent(command.id(), new PendingCommand(command, now));
        return true;
    }

    /** Processes the answer to one of this router's reports. */
    public void answerReceived(long now, String address, PlanGrant grant) {
        Long sentTime = reportSentAt.get(grant.reportNumber());
        if (grant.instance() != instance || sentTime == null) {
            outlet.dropped("late-plan-grant");
            return;
        }
        outlet.observeTerm(grant.term());
        if (grant.fromLeader()) {
            planStore.confirmInForce(grant.stampInForce());
            if (planStore.applied().stamp() >= grant.stampInForce()) {
                extendLeaderContact(sentTime + leaseTimes.leaseMicros());
            }
            recordReturns();
            lastLoggedPlan = planStore.applied(); // the leader logs its steps
        }
        if (grant.heldStamp() < planStore.newest().stamp()) {
            sendPieces(address);
        }
    }

    private void extendLeaderContact(long until) {
        leaderContactUntil = Math.max(leaderContactUntil, until);
        hadLeaderContact = true;
    }

    /** Accepts a piece of a plan; returns true if it completes a newer plan. */
    public boolean acceptPiece(Piece piece) {
        boolean whole = planStore.addPiece(piece.stamp(), piece.index(), piece.count(), piece.bytes());
        if (whole) {
            outlet.observeTerm(Plan.termOf(planStore.newest().stamp()));
        } else if (piece.stamp() <= planStore.newest().stamp()) {
            outlet.dropped(DROPPED_PIECE_REASON);
        }
        return whole;
    }

    private void sendPieces(String address) {
        List<byte[]> pieces = planStore.pieces();
        for (int i = 0; i < pieces.size(); i++) {
            outlet.send(address, new Piece(planStore.newest().stamp(), i, pieces.size(), pieces.get(i)));
        }
    }

    private void recordReturns() {
        planStore.applied().orders().stream()
                .filter(o -> o.phase() == Phase.RETURNING)
                .forEach(o -> returnedAt.merge(o.member(), o.since(), Math::max));
    }

    /** Returns whether this process knows the plan in force, or has waited for it as long as it may. */
    private boolean settled(long now) {
        return hadLeaderContact || now >= startedAt + leaseTimes.leaseMicros() + leaseTimes.guardMicros();
    }

    /** Returns whether the view may have changed; a cheap check, since it is made at every input. */
    public boolean viewMayChange(long now) {
        return lastView == null
                || planStore.applied().stamp() != viewStamp
                || !lastView.settled()
                || viewCutOff != now >= leaderContactUntil;
    }

    /** Returns the view for routing decisions from now on, or null if it has not changed. */
    public View takeView(long now, FleetSnapshot snapshot) {
        snapshot.targets().forEach((id, target) -> {
            if (returnedAt.getOrDefault(id, Long.MAX_VALUE) <= target.startedAt()) {
                returnedAt.remove(id);
            }
        });
        returnedAt
                .keySet()
                .removeIf(id -> !snapshot.targets().containsKey(id)
                        && planStore.applied().orderFor(id).isEmpty());
        viewStamp = planStore.applied().stamp();
        viewCutOff = now >= leaderContactUntil;
        Set<Long> avoided = new HashSet<>();
        // without any contact with a leader, use the newest plan held
        Plan plan = hadLeaderContact ? planStore.applied() : planStore.newest();
        plan.orders().stream().filter(o -> isAvoided(o, now)).forEach(o -> avoided.add(o.member()));
        View view = new View(settled(now), avoided, Map.copyOf(returnedAt));
        if (view.equals(lastView)) {
            return null;
        }
        lastView = view;
        return view;
    }

    /**
     * Returns whether no requests may be sent to the member: it is draining or out, or it is named and this router
     * has lost contact with the leader, so that it may not learn of the next phase.
     */
    private boolean isAvoided(DrainOrder order, long now) {
        return order.phase() == Phase.DRAINING
                || order.phase() == Phase.OUT
                || order.phase() == Phase.NAMED && now >= leaderContactUntil;
    }

    public long nextDue(long now) {
        long settles = startedAt + leaseTimes.leaseMicros() + leaseTimes.guardMicros();
        return Math.min(
                leaderContactUntil > now ? leaderContactUntil : Long.MAX_VALUE,
                settled(now) ? Long.MAX_VALUE : settles);
    }

    // ---- the leader -----------------------------------------------------------------------------------

    /** Processes a router's report and answers it at once. */
    public void reportReceived(FleetSnapshot snapshot, Peer from, long number, PlanReport report) {
        outlet.observeTerm(report.term());
        outlet.observeTerm(Plan.termOf(report.heldStamp()));
        leader.recordReport(
                from.name(),
                new PlanLeader.Report(
                        from.instance(), report.term(), report.heldStamp(), report.appliedStamp(), report.recovered()));
        acknowledgements.recordUsage(from.name(), report.uses());
        runLeader(snapshot);
        boolean isLeader = snapshot.term() > 0 && leader.inForce() > 0;
        if (isLeader) {
            acknowledgements.recordAnswer(from.name(), snapshot.now());
        }
        outlet.send(
                from.address(),
                new PlanGrant(
                        number,
                        from.instance(),
                        snapshot.term(),
                        isLeader,
                        planStore.newest().stamp(),
                        leader.inForce()));
        // also if not the leader: a restarted process is better off with an old plan than with none
        if (report.heldStamp() < planStore.newest().stamp()) {
            sendPieces(from.address());
        }
    }

    /** Processes a command that another router forwarded. */
    public void commandForwarded(FleetSnapshot snapshot, DrainCommand command) {
        if (snapshot.term() > 0) {
            command(snapshot.now(), command);
            runLeader(snapshot);
        }
    }

    /** Does the leader's work if this router is the leader, and resets the leader's state if it is not. */
    public void runLeader(FleetSnapshot snapshot) {
        acknowledgements.update(snapshot, viewStamp, planStore.newest());
        acknowledgements.recordUsage(localName, reportedUsage());
        if (snapshot.term() == 0) {
            leader.stepDown();
            stepCauses.clear();
            return;
        }
        boolean readTimedOut = snapshot.now() - snapshot.leaderSince() >= times.goneMicros();
        for (int i = 0; i < MAX_ROUNDS_PER_CALL; i++) {
            if (leader.advance(snapshot.term(), snapshot.assumedRouters(), readTimedOut)) {
                broadcastPlan(snapshot);
            }
            if (leader.inForce() > 0) {
                extendLeaderContact(snapshot.now() + leaseTimes.leaseMicros());
            }
            recordReturns();
            if (leader.stage() != PlanLeader.Stage.SETTLED) {
                return;
            }
            logSteps(snapshot);
            if (!writeNext(snapshot)) {
                return;
            }
            broadcastPlan(snapshot);
        }
    }

    private void broadcastPlan(FleetSnapshot snapshot) {
        snapshot.peers().stream()
                .filter(p -> p.isAlive() && !p.name().equals(localName))
                .forEach(p -> sendPieces(p.address()));
    }

    private boolean writeNext(FleetSnapshot snapshot) {
        long stamp = leader.nextStamp();
        Plan plan = planStore.newest();
        List<PlanTransitions.Step> steps = new ArrayList<>();
        Map<Long, MemberKind> tiers = new HashMap<>();
        snapshot.targets().forEach((id, t) -> tiers.put(id, t.tier()));
        snapshot.peers().forEach(p -> tiers.put(p.id(), MemberKind.ROUTER));
        for (PendingCommand waiting : pendingCommands.values()) {
            PlanTransitions.Outcome afterCommand =
                    PlanTransitions.afterCommand(plan, waiting.command(), tiers, stamp, snapshot.now());
            plan = afterCommand.plan();
            steps.addAll(afterCommand.steps());
        }
        PlanTransitions.Outcome next =
                PlanTransitions.next(plan, stamp, snapshot.now(), snapshot.majority(), acknowledgements);
        steps.addAll(next.steps());
        if (next.plan() == planStore.newest()) {
            removeTakenCommands(snapshot.now());
            return false;
        }
        steps.forEach(s -> stepCauses.put(s.member(), s.cause()));
        leader.write(next.plan());
        return true;
    }

    /** Logs each step once it is in force. The cause of a step that an earlier leader wrote is not known here. */
    private void logSteps(FleetSnapshot snapshot) {
        Plan plan = planStore.applied();
        if (plan == lastLoggedPlan) {
            return;
        }
        Map<Long, DrainOrder> before = new HashMap<>();
        lastLoggedPlan.orders().forEach(o -> before.put(o.member(), o));
        for (DrainOrder order : plan.orders()) {
            DrainOrder previous = before.remove(order.member());
            if (previous == null || previous.phase() != order.phase()) {
                logStep(
                        snapshot,
                        order,
                        previous == null ? "none" : lowerCase(previous.phase()),
                        lowerCase(order.phase()));
            }
        }
        before.values().stream()
                .filter(o -> o.phase() != Phase.FINISHED)
                .forEach(o -> logStep(snapshot, o, lowerCase(o.phase()), "finished"));
        lastLoggedPlan = plan;
        stepCauses.clear();
    }

    private void logStep(FleetSnapshot snapshot, DrainOrder order, String from, String to) {
        String cause = stepCauses.getOrDefault(order.member(), "an earlier leader wrote it");
        outlet.log(
                "drain of " + memberName(snapshot, order.member()) + ": " + to + ", " + cause,
                Map.of(
                        "member",
                        memberName(snapshot, order.member()),
                        "tier",
                        lowerCase(order.tier()),
                        "before",
                        from,
                        "phase",
                        to,
                        "fence",
                        order.fence(),
                        "plan",
                        planStore.applied().stamp(),
                        "out",
                        planStore.applied().out(),
                        "cause",
                        cause));
    }

    private static String lowerCase(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }

    private static String memberName(FleetSnapshot snapshot, long member) {
        FleetSnapshot.Target target = snapshot.targets().get(member);
        return target != null
                ? target.name()
                : snapshot.peers().stream()
                        .filter(p -> p.id() == member)
                        .map(Peer::memberName)
                        .findFirst()
                        .orElse(Long.toString(member));
    }

    // ---- monitoring -----------------------------------------------------------------------------

    /**
     * Returns when a member returned from a drain, from which on routing decisions treat it as in slow start; 0 if it
     * did not.
     */
    public long returned(long member) {
        return lastView == null ? 0 : lastView.returnedAt().getOrDefault(member, 0L);
    }

    /** Returns whether routing decisions know which members to avoid, or have waited for that as long as they may. */
    public boolean settled() {
        return lastView != null && lastView.settled();
    }

    /** Returns the plan in force, one row for each member. Only the leader knows what a member waits for. */
    public List<Map<String, Object>> rows(FleetSnapshot snapshot, String leaderName) {
        acknowledgements.update(snapshot, viewStamp, planStore.newest());
        boolean isLeader = snapshot.term() > 0 && leader.inForce() > 0;
        List<Map<String, Object>> rows = new ArrayList<>();
        for (DrainOrder order : planStore.applied().orders()) {
            Map<String, Object> row = new LinkedHashMap<>();
            row.put("member", memberName(snapshot, order.member()));
            row.put("tier", lowerCase(order.tier()));
            row.put("phase", lowerCase(order.phase()));
            row.put("for-ms", Math.max(0, snapshot.now() - order.since()) / 1_000);
            row.put("since-ms", order.since() / 1_000);
            row.put("fence", order.fence());
            row.put("confirmed", snapshot.now() < leaderContactUntil);
            row.put("overdue", order.phase() == Phase.OUT && snapshot.now() - order.since() > times.overdueMicros());
            row.put(
                    "held-up",
                    isLeader
                            ? PlanTransitions.waitReason(
                                    planStore.applied(), order, snapshot.now(), snapshot.majority(), acknowledgements)
                            : "(ask " + leaderName + ")");
            rows.add(row);
        }
        return rows;
    }

    /** Returns the open and recently ended requests, and this router's commands that are in no plan yet. */
    public List<Map<String, Object>> requestRows() {
        List<Map<String, Object>> rows = new ArrayList<>();
        Plan plan = planStore.applied();
        plan.requests()
                .forEach(r -> rows.add(requestRow(
                        r.id(),
                        "open",
                        r.maxOut(),
                        r.minServing(),
                        plan.orders().stream()
                                .filter(o -> o.isFor(r) && o.phase() != Phase.FINISHED)
                                .count())));
        plan.closed().forEach(id -> rows.add(requestRow(id, "ended", 0, 0, 0)));
        pendingCommands.values().stream()
                .filter(p -> !isTaken(p.command()))
                .forEach(p -> rows.add(requestRow(
                        p.command().id(),
                        "not-taken",
                        p.command().maxOut(),
                        p.command().minServing(),
                        p.command().members().size())));
        return rows;
    }

    private static Map<String, Object> requestRow(
            long id, String state, int maxAtOnce, int minServing, long membersLeft) {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("id", Long.toUnsignedString(id, 16));
        row.put("state", state);
        row.put("max-at-once", maxAtOnce);
        row.put("min-serving", minServing);
        row.put("members-left", membersLeft);
        return row;
    }

    /** Returns a summary of the state, by name. */
    public Map<String, String> fields(long now) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("drain-plan", Long.toString(planStore.applied().stamp()));
        fields.put("drain-out", Integer.toString(planStore.applied().out()));
        fields.put(
                "drain-waiting",
                Long.toString(planStore.applied().orders().stream()
                        .filter(o -> o.phase().isWaiting())
                        .count()));
        fields.put("drain-in-touch", now < leaderContactUntil ? "yes" : "no");
        return fields;
    }
}
