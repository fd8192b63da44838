package pumicemoor.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import pumicemoor.Hashes;
import pumicemoor.RouterApi.EjectedMember;
import pumicemoor.RouterApi.EjectionsUpdate;
import pumicemoor.RouterApi.Event;
import pumicemoor.RouterApi.LimitDemand;
import pumicemoor.RouterApi.LimitShare;
import pumicemoor.RouterApi.LimitSharesUpdate;
import pumicemoor.RouterApi.MemberHealthReport;
import pumicemoor.RouterApi.Role;
import pumicemoor.fleet.FleetSetup.LimitRule;
import pumicemoor.fleet.FleetSetup.Scope;
import pumicemoor.fleet.Packet.Ask;
import pumicemoor.fleet.Packet.Body;
import pumicemoor.fleet.Packet.CellAsk;
import pumicemoor.fleet.Packet.CellDemand;
import pumicemoor.fleet.Packet.Demand;
import pumicemoor.fleet.Packet.DrainAsk;
import pumicemoor.fleet.Packet.Grant;
import pumicemoor.fleet.Packet.GrantedShare;
import pumicemoor.fleet.Packet.News;
import pumicemoor.fleet.Packet.Piece;
import pumicemoor.fleet.Packet.PlanGrant;
import pumicemoor.fleet.Packet.PlanReport;
import pumicemoor.fleet.drains.DrainCommand;
import pumicemoor.fleet.drains.DrainCommandParser;
import pumicemoor.fleet.drains.Drains;
import pumicemoor.fleet.drains.FleetSnapshot;
import pumicemoor.fleet.drains.MemberKind;
import pumicemoor.fleet.drains.Plan;
import pumicemoor.fleet.limits.CellShare;
import pumicemoor.fleet.limits.FleetLimit;
import pumicemoor.fleet.limits.HeldLease;
import pumicemoor.fleet.limits.LeaseTable;
import pumicemoor.fleet.limits.LeaseTimes;
import pumicemoor.fleet.membership.Membership;
import pumicemoor.fleet.membership.RouterRecord;
import pumicemoor.fleet.membership.RouterStatus;
import pumicemoor.fleet.verdicts.Ejection;
import pumicemoor.fleet.verdicts.EjectionPolicy;
import pumicemoor.fleet.verdicts.EjectionTable;
import pumicemoor.fleet.verdicts.FailureReport;
import pumicemoor.fleet.verdicts.FailureReport.Cause;

/**
 * One router's participation in its fleet: membership, leases and ejections, which share the same packets. Owns the
 * packet numbers, the gossip that is piggybacked on packets, and the choice of the grantor: every router reports to the
 * living router that ranks first by rendezvous hashing. It is given the time, packets, the list of members and reports
 * of the routing decisions; packets, events for the decisions and log events are fetched from it. In a large fleet an
 * instance is one of two levels: that of the routers of a cell, or that of the delegates of all cells
 * (docs/fleet-design.md, "Cells").
 */
public final class Fleet implements FleetParticipant {

    private static final int REPORTS_PER_LEASE = 5;
    private static final int CELL_REPORT_DELAY_PERIODS =
            8; // before a router's first report in a cell: it learns of its grantor, or of a change of it, no faster
    private static final int CELL_GOSSIP_BYTES =
            300; // of router records in a packet, in cells; spreads them over time when all routers start at once
    // How long a vote binds a router of a cell; it outlasts the vote of its cell's grantor on the upper level.
    private static final int CELL_VOTE_LEASES = 3;
    // Time until a new process has compared its whole membership table with another router's.
    private static final int FULL_COMPARE_PERIODS = 16;
    private static final int MAX_PENDING_LOG_EVENTS = 256; // kept until they are fetched
    private static final long EJECTION_MEMORY_MICROS = 60_000_000; // how long an ended ejection is remembered
    private static final int MAX_LIST_ENTRIES = 255; // the largest count that fits the byte before a list in a packet

    /** A member in the list of members; {@code ready} if the list allows its use. */
    public record ListedMember(String name, Role role, long startedAt, boolean ready) {

        /** A member that is ready. */
        public ListedMember(String name, Role role, long startedAt) {
            this(name, role, startedAt, true);
        }
    }

    private record ActiveReport(FailureReport report, long until) {}

    /** What an instance spans: a whole fleet, the routers of one cell, or the delegates of all cells. */
    private enum Level {
        FLAT,
        CELL,
        UPPER
    }

    private static final Drains.Usage NO_USAGE = new Drains.Usage() {
        @Override
        public int underWay(long member) {
            return 0;
        }

        @Override
        public double hits(long member) {
            return 0;
        }
    };

    private final FleetSetup setup;
    private final Level level;
    private final long rendezvousSeed;
    private final LeaseTimes times;
    private final PacketCodec codec;
    private final Membership membership;
    private final LeaderElection election;
    private final GossipQueue<RouterRecord> routerGossip = new GossipQueue<>();
    // Member ids; the ejection itself is read from the table when it is sent.
    private final GossipQueue<Long> ejectionGossip = new GossipQueue<>();
    private final Map<Long, HeldLease> leases = new TreeMap<>();
    private final Map<Long, LeaseTable> leaseTables = new HashMap<>();
    // The shares leased to this router's cell; used on the upper level only.
    private final Map<Long, CellShare> cellShares = new TreeMap<>();
    // Ejections that are new on this level and not yet passed to the other one.
    private final List<Ejection> ejectionsForOtherLevel = new ArrayList<>();
    private final Map<Long, Demand> demands = new HashMap<>();
    private final EjectionTable ejections = new EjectionTable();
    private final EjectionPolicy ejectionPolicy;
    private final Map<Long, ActiveReport> failureReports = new TreeMap<>();
    private final Optional<Drains> drains;
    private final Map<String, Long> dropCounters = new TreeMap<>();
    private final List<Datagram> outbox = new ArrayList<>();
    private final List<Event> events = new ArrayList<>();
    private final List<LogEvent> logEvents = new ArrayList<>();
    private final long startedAt;
    private Map<Long, ListedMember> members = Map.of();
    private long now;
    private long lastNumber;
    private long nextReportAt;
    private long lastReportAt;
    private long lastPlanReportAt;
    private long nextPlanReportAt; // when this router reports to the grantor about the drain plan
    private long nextGossipAt;
    private long packetsSent;
    private long bytesSent;
    private long packetsReceived;
    private boolean isLeader;
    private boolean limitSharesChanged = true;
    private boolean ejectionsChanged = true;
    private boolean membersChanged;
    private int lastRouterCount;
    private List<RouterRecord> rankedRouters = List.of(); // the list of living routers that topRanked was computed from
    private RouterRecord topRanked; // null if the list is empty
    private Map<Long, String> ejectableTiers = Map.of(); // the tiers of the members that can be ejected, by member id
    private Fleet lowerLevel; // this router's cell; set on the upper level only
    private Fleet upperLevel; // set in a cell only, while this router is its delegate
    private String failureReportsSentTo = ""; // the grantor of the cell that last received failure reports
    private long failureReportsSentAt;

    /** Creates an instance for a router that has no requests in flight. */
    public Fleet(FleetSetup setup, long time, long seed) {
        this(setup, time, seed, NO_USAGE);
    }

    /** Creates an instance that starts at this time (Unix microseconds). */
    public Fleet(FleetSetup setup, long time, long seed, Drains.Usage usage) {
        this(setup, setup.cluster(), time, seed, usage, Level.FLAT, 0);
    }

    /**
     * Creates the level of a cell's routers, for a process with this instance number. The rendezvous key, by which the
     * routers are ranked, is the name of the cell before all splits, so that a grantor remains the grantor of its part
     * of the cell after a split.
     */
    public static Fleet ofCell(FleetSetup setup, String rendezvousKey, long time, long seed, long instance) {
        return new Fleet(setup, rendezvousKey, time, seed, NO_USAGE, Level.CELL, instance);
    }

    /** Creates the level of the cells' delegates, for a process with this instance number in this cell. */
    public static Fleet ofDelegates(FleetSetup setup, long time, long seed, long instance, Fleet cell) {
        Fleet upper = new Fleet(setup, setup.cluster(), time, seed, NO_USAGE, Level.UPPER, instance);
        upper.lowerLevel = cell;
        return upper;
    }

    private Fleet(
            FleetSetup setup,
            String rendezvousKey,
            long time,
            long seed,
            Drains.Usage usage,
            Level level,
            long instance) {
        this.level = level;
        this.rendezvousSeed = Hashes.of(rendezvousKey);
        this.times = switch (level) {
            case FLAT -> setup.times();
            case CELL -> setup.times().forCellRouters();
            case UPPER -> setup.times().forUpperLevel();
        };
        this.setup = setup;
        this.now = time;
        this.startedAt = time;
        this.codec = new PacketCodec(setup.cluster());
        this.election = new LeaderElection(
                setup.membership().name(), (level == Level.CELL ? CELL_VOTE_LEASES : 1) * times.leaseMicros(), time);
        this.ejectionPolicy = new EjectionPolicy(setup.ejectionRules().orElse(new EjectionPolicy.Rules(0, 1, 1, 1)));
        this.nextReportAt = time + setup.membership().periodMicros();
        this.nextGossipAt = nextReportAt;
        this.membership =
                new Membership(setup.membership(), time, seed, instance, level != Level.FLAT, new Membership.Outlet() {
                    @Override
                    public long send(String address, Body body) {
                        return Fleet.this.send(address, body);
                    }

                    @Override
                    public void sendAll(String address, Predicate<RouterRecord> filter) {
                        Fleet.this.sendAll(address, filter);
                    }

                    @Override
                    public void gossip(RouterRecord router) {
                        routerGossip.put(router.name(), router);
                    }

                    @Override
                    public void statusChanged(RouterRecord router, RouterStatus before, String cause) {
                        addLogEvent(
                                "router " + router.name() + " is " + lower(router.status()) + ": " + cause,
                                Map.of(
                                        "router",
                                        router.name(),
                                        "standing",
                                        lower(router.status()),
                                        "before",
                                        before == null ? "unknown" : lower(before),
                                        "incarnation",
                                        router.incarnation(),
                                        "cause",
                                        cause));
                        if (router.status().compareTo(RouterStatus.DEAD) >= 0) {
                            election.forget(router.name());
                        }
                    }

                    @Override
                    public void dropped(String counter) {
                        drop(counter);
                    }
                });
        this.nextPlanReportAt = nextReportAt;
        this.drains = setup.drains()
                .map(drainTimes -> new Drains(
                        drainTimes,
                        setup.times(),
                        setup.membership().name(),
                        membership.self().instance(),
                        time,
                        usage,
                        new Drains.Outlet() {
                            @Override
                            public long send(String address, Body body) {
                                return Fleet.this.send(address, body);
                            }

                            @Override
                            public void observeTerm(long term) {
                                election.observeTerm(term);
                            }

                            @Override
                            public void dropped(String counter) {
                                drop(counter);
                            }

                            @Override
                            public void log(String text, Map<String, Object> fields) {
                                addLogEvent(text, fields);
                            }
                        }));
    }

    private static String lower(Enum<?> value) {
        return value.name().toLowerCase(java.util.Locale.ROOT);
    }

    private void addLogEvent(String text, Map<String, Object> fields) {
        if (logEvents.size() < MAX_PENDING_LOG_EVENTS) {
            logEvents.add(new LogEvent(text, fields));
        }
    }

    private void drop(String counter) {
        dropCounters.merge(counter, 1L, Long::sum);
    }

    // ---- input ----------------------------------------------------------------------------------------

    /** Handles a received datagram. Bytes that are not a valid packet of this fleet are counted and dropped. */
    @Override
    public void receive(long time, byte[] bytes) {
        now = Math.max(now, time);
        Packet packet;
        try {
            packet = codec.read(bytes, Membership.maxIncarnation(now));
        } catch (BadPacketException e) {
            drop(lower(e.reason));
            return;
        }
        packetsReceived++;
        if (membership.receive(now, packet)) {
            packet.ejections().forEach(this::applyEjection);
            if (packet.body() instanceof Ask ask) {
                handleAsk(packet, ask);
            } else if (packet.body() instanceof CellAsk ask) {
                handleAsk(packet, ask);
            } else if (packet.body() instanceof Grant grant) {
                handleGrant(packet, grant);
            } else {
                drains.ifPresentOrElse(d -> handleDrainPacket(d, packet), () -> {
                    if (isDrainBody(packet.body())) {
                        drop("drains-off");
                    }
                });
            }
        }
    }

    private static boolean isDrainBody(Body body) {
        return body instanceof PlanReport
                || body instanceof PlanGrant
                || body instanceof Piece
                || body instanceof DrainAsk;
    }

    private void handleDrainPacket(Drains drains, Packet packet) {
        RouterRecord from = packet.from();
        if (packet.body() instanceof PlanGrant grant) {
            drains.answerReceived(now, from.address(), grant);
        } else if (packet.body() instanceof Piece piece) {
            if (drains.acceptPiece(piece)) {
                nextPlanReportAt = now; // the leader waits until a majority holds the plan
            }
        } else if (isDrainBody(packet.body()) && !isGrantor()) {
            drop("asked-not-grantor");
        } else if (packet.body() instanceof PlanReport report) {
            drains.reportReceived(snapshot(), peer(from), packet.number(), report);
        } else if (packet.body() instanceof DrainAsk ask) {
            drains.commandForwarded(snapshot(), ask.command());
        }
    }

    /** Replaces the list of members, keyed by member id. */
    @Override
    public void updateMembers(long time, Map<Long, ListedMember> newMembers) {
        now = Math.max(now, time);
        if (newMembers.equals(members)) {
            return;
        }
        setMembers(Map.copyOf(newMembers));
        membersChanged = true;
        Map<Long, FleetLimit> limits = new TreeMap<>();
        members.forEach((id, member) -> setup.limits().stream()
                .filter(rule -> appliesTo(rule, member)
                        && setup.limits().stream()
                                .noneMatch(o ->
                                        appliesTo(o, member) && o.measure() == rule.measure() && isTighter(o, rule)))
                .forEach(rule -> limits.put(
                        Hashes.of(rule.name() + "/" + member.name()),
                        new FleetLimit(rule.name(), id, rule.measure(), rule.amount()))));
        setup.limits().stream()
                .filter(r -> r.scope() == Scope.ACROSS_ZONES)
                .forEach(rule -> limits.put(
                        Hashes.of(rule.name()),
                        new FleetLimit(rule.name(), LimitShare.ACROSS_ZONES, rule.measure(), rule.amount())));
        leases.keySet().retainAll(limits.keySet());
        cellShares.keySet().retainAll(limits.keySet());
        leaseTables.keySet().retainAll(limits.keySet());
        demands.keySet().retainAll(limits.keySet());
        if (level == Level.UPPER) {
            limits.forEach((id, limit) -> cellShares.computeIfAbsent(
                    id, i -> new CellShare(limit, times, setup.times().leaseMicros(), startedAt)));
        } else {
            limits.forEach((id, limit) -> leases.computeIfAbsent(id, i -> new HeldLease(limit, times, startedAt)));
        }
        failureReports
                .entrySet()
                .removeIf(entry -> !members.containsKey(entry.getKey())
                        || members.get(entry.getKey()).startedAt()
                                != entry.getValue().report().memberStartedAt());
        limitSharesChanged = true;
    }

    private void setMembers(Map<Long, ListedMember> newMembers) {
        members = newMembers;
        ejectableTiers = new TreeMap<>();
        members.forEach((id, member) -> {
            if (member.role() != Role.ORIGIN) {
                ejectableTiers.put(id, lower(member.role()));
            }
        });
    }

    /** Of two limits with the same measure on the same member the lower one applies; names break a tie. */
    private static boolean isTighter(LimitRule one, LimitRule other) {
        return one.amount() != other.amount()
                ? one.amount() < other.amount()
                : one.name().compareTo(other.name()) < 0;
    }

    private static boolean appliesTo(LimitRule rule, ListedMember member) {
        return switch (rule.scope()) {
            case MEMBER -> rule.member().equals(member.name());
            case EACH_CACHE -> member.role() == Role.CACHE;
            case EACH_PARENT -> member.role() == Role.PARENT;
            case ORIGIN -> member.role() == Role.ORIGIN;
            case ACROSS_ZONES -> false; // applies to traffic, not to a member
        };
    }

    /** Records the current demand of the routing decisions on a limit share. */
    @Override
    public void reportDemand(LimitDemand demand) {
        leases.forEach((id, lease) -> {
            if (lease.limit().member() == demand.member() && lease.limit().measure() == demand.measure()) {
                demands.put(id, new Demand(id, 0, demand.demand(), demand.inUse()));
            }
        });
    }

    /** Records the health of a member as the routing decisions see it now. */
    @Override
    public void reportHealth(long time, MemberHealthReport health) {
        now = Math.max(now, time);
        ListedMember member = members.get(health.member());
        if (member == null || setup.ejectionRules().isEmpty()) {
            return;
        }
        if (health.failing()) {
            failureReports.put(
                    health.member(),
                    new ActiveReport(
                            new FailureReport(
                                    health.member(),
                                    member.startedAt(),
                                    health.unresponsive() ? Cause.SILENT : Cause.FAILING,
                                    health.consecutiveFailures(),
                                    health.failureRate()),
                            health.until() + setup.ejectionRules().get().ejectionMicros()));
        } else {
            failureReports.remove(health.member());
        }
        // Reports to the grantor at once, but at most four times per period however often health reports arrive.
        nextReportAt = Math.min(
                nextReportAt, Math.max(now, lastReportAt + setup.membership().periodMicros() / 4));
    }

    /** Announces that this router leaves the fleet gracefully. */
    @Override
    public void leave(long time) {
        now = Math.max(now, time);
        membership.leave();
    }

    // ---- time -----------------------------------------------------------------------------------------

    @Override
    public long nextDue() {
        long due = Math.min(Math.min(membership.nextDue(), nextReportAt), ejections.nextEnd(now));
        return Math.min(
                due, drains.map(d -> Math.min(nextPlanReportAt, d.nextDue(now))).orElse(Long.MAX_VALUE));
    }

    /** Advances to this time and runs the timers that are due. */
    @Override
    public void advance(long time) {
        long before = now;
        now = Math.max(now, time);
        membership.advance(now);
        if (now >= nextGossipAt) {
            nextGossipAt = now + setup.membership().periodMicros();
            if (!routerGossip.isEmpty() || !ejectionGossip.isEmpty()) {
                membership.gossipTargets().forEach(n -> send(n.address(), new News()));
            }
        }
        if (now >= nextReportAt) {
            nextReportAt = now + times.leaseMicros() / REPORTS_PER_LEASE;
            lastReportAt = now;
            failureReports.values().removeIf(r -> now >= r.until());
            if (isLeader) {
                updateLeadership(); // also when no other router reports here any more
            }
            if (level == Level.UPPER) {
                reportCell();
            } else if (level == Level.FLAT
                    || now
                            >= startedAt
                                    + CELL_REPORT_DELAY_PERIODS
                                            * setup.membership().periodMicros()) {
                report();
            }
        }
        if (now >= nextPlanReportAt) {
            drains.ifPresent(this::reportPlan);
        }
        for (EjectionTable.KnownDecision ended : ejections.ended(before, now)) {
            ejectionsChanged = true;
            addLogEvent(ended.decision(), "ended: it expired without being renewed");
        }
        ejections.forget(now, EJECTION_MEMORY_MICROS);
        if (routers() != lastRouterCount || leases.values().stream().anyMatch(l -> l.nextChangeAt(before) <= now)) {
            lastRouterCount = routers();
            limitSharesChanged = true;
        }
    }

    /** The fleet size that shares and majorities are computed from. */
    @Override
    public int routers() {
        return Math.max(setup.size(), membership.knownRouters());
    }

    /** The router that all routers report to: the living router with the highest rendezvous weight. */
    private RouterRecord grantor() {
        RouterRecord self = membership.self();
        List<RouterRecord> living = membership.living();
        if (living != rankedRouters) {
            rankedRouters = living;
            topRanked = null;
            for (RouterRecord router : living) {
                if (topRanked == null
                        || Long.compareUnsigned(rendezvousWeight(router), rendezvousWeight(topRanked)) > 0) {
                    topRanked = router;
                }
            }
        }
        return topRanked != null && Long.compareUnsigned(rendezvousWeight(topRanked), rendezvousWeight(self)) > 0
                ? topRanked
                : self;
    }

    private long rendezvousWeight(RouterRecord router) {
        return Hashes.mix(Hashes.of(router.name()) ^ rendezvousSeed);
    }

    /** Whether this router is the grantor, as far as it knows. */
    public boolean isGrantor() {
        return grantor().name().equals(setup.membership().name());
    }

    // ---- the two levels -------------------------------------------------------------------------------

    /**
     * The living routers with the highest rendezvous weights, highest first: in a cell its delegates, led by its
     * grantor.
     */
    public List<RouterRecord> topRankedRouters(int count) {
        List<RouterRecord> all = new ArrayList<>(membership.living());
        all.add(membership.self());
        Map<RouterRecord, Long> weights = new HashMap<>();
        all.forEach(n -> weights.put(n, rendezvousWeight(n)));
        all.sort((a, b) -> Long.compareUnsigned(weights.get(b), weights.get(a)));
        return List.copyOf(all.subList(0, Math.min(count, all.size())));
    }

    /** Whether this router is among the {@code count} living routers with the highest rendezvous weights. */
    public boolean isAmongTopRanked(int count) {
        long own = rendezvousWeight(membership.self());
        return membership.living().stream()
                        .filter(n -> Long.compareUnsigned(rendezvousWeight(n), own) > 0)
                        .limit(count)
                        .count()
                < count;
    }

    /** The routers known to be alive on this level, without this router. */
    public List<RouterRecord> living() {
        return membership.living();
    }

    /** The record that this router sends about itself on this level. */
    public RouterRecord self() {
        return membership.self();
    }

    /** The id of this level's cluster, as written into its packets. */
    public long cluster() {
        return codec.cluster();
    }

    /**
     * Sets the upper level of this cell; null for none, which is allowed only once all shares leased from it have
     * ended.
     */
    public void setUpperLevel(Fleet upper) {
        upperLevel = upper;
    }

    /** Sets the cell that this router is a delegate of. */
    public void setLowerLevel(Fleet cell) {
        lowerLevel = cell;
    }

    /** Whether all shares that were leased to this cell have ended. */
    public boolean cellSharesEnded(long time) {
        return cellShares.values().stream().allMatch(s -> s.hasEnded(time));
    }

    /** Exchanges terms and ejections between this cell and the upper level, in both directions. */
    public void exchangeWith(long time, Fleet upper) {
        now = Math.max(now, time);
        upper.now = Math.max(upper.now, time);
        election.observeTerm(upper.election.term());
        upper.election.observeTerm(election.term());
        while (!ejectionsForOtherLevel.isEmpty() || !upper.ejectionsForOtherLevel.isEmpty()) {
            takeAll(ejectionsForOtherLevel).forEach(e -> upper.applyEjection(upper.withTimeLeftAt(e, this)));
            takeAll(upper.ejectionsForOtherLevel).forEach(e -> applyEjection(withTimeLeftAt(e, upper)));
        }
    }

    /** Returns the ejection with the time that it has left according to the other level. */
    private Ejection withTimeLeftAt(Ejection ejection, Fleet other) {
        EjectionTable.KnownDecision held = other.ejections.find(ejection.member());
        return held != null && held.decision().version() == ejection.version()
                ? ejection.withTimeLeft(Math.max(0, held.endsAt() - other.now))
                : ejection;
    }

    /**
     * Takes over from an older level of the same process whose cell was split: its leases and lease tables, which name
     * processes and not cells, and everything reported to it. Votes are not taken over; they start as in a new process.
     */
    public void takeOver(Fleet old) {
        leases.putAll(old.leases);
        leaseTables.putAll(old.leaseTables);
        demands.putAll(old.demands);
        failureReports.putAll(old.failureReports);
        failureReportsSentTo = old.failureReportsSentTo;
        failureReportsSentAt = old.failureReportsSentAt;
        lastNumber = old.lastNumber;
        packetsSent = old.packetsSent;
        bytesSent = old.bytesSent;
        packetsReceived = old.packetsReceived;
        old.dropCounters.forEach((counter, count) -> dropCounters.merge(counter, count, Long::sum));
        setMembers(old.members);
        election.observeTerm(old.election.term());
        old.ejections.all().forEach(h -> applyEjection(h.decision().withTimeLeft(Math.max(0, h.endsAt() - now))));
        limitSharesChanged = true;
        ejectionsChanged = true;
    }

    // ---- reports and grants ---------------------------------------------------------------------------

    private void report() {
        RouterRecord to = grantor();
        boolean own = to.name().equals(setup.membership().name());
        boolean vote = election.vote(now, to.name(), to.instance());
        List<FailureReport> reports = mayReportFailures(to.name())
                ? failureReports.values().stream()
                        .map(ActiveReport::report)
                        .limit(PacketCodec.MAX_FAILURE_REPORTS)
                        .toList()
                : List.of();
        if (own) {
            ejectionPolicy.recordReport(to.name(), ++lastNumber, now + times.leaseMicros(), reports);
            renewOwnLeases(to);
            decideEjections();
            return;
        }
        List<Long> ids = new ArrayList<>(leases.keySet());
        for (int from = 0; from == 0 || from < ids.size(); from += PacketCodec.MAX_DEMANDS) {
            List<Demand> batch = new ArrayList<>();
            for (long id : ids.subList(from, Math.min(ids.size(), from + PacketCodec.MAX_DEMANDS))) {
                long grantInForce = leases.get(id).recordRequest(now, to.name(), to.instance(), lastNumber + 1);
                Demand demand = demands.getOrDefault(id, new Demand(id, 0, 0, 0));
                if (grantInForce >= 0) {
                    batch.add(new Demand(id, grantInForce, demand.demand(), demand.inUse()));
                }
            }
            send(
                    to.address(),
                    new Ask(vote, election.lastSeen(to.name(), to.instance()), election.term(), batch, reports));
        }
    }

    /**
     * Whether failure reports may be sent to this router. In a cell they may only once no other grantor can still
     * include this router's earlier reports in its sum, or they would count twice.
     */
    private boolean mayReportFailures(String to) {
        if (level == Level.CELL && !failureReports.isEmpty()) {
            if (!to.equals(failureReportsSentTo)
                    && !failureReportsSentTo.isEmpty()
                    && now < failureReportsSentAt + times.shrinkMicros()) {
                return false;
            }
            failureReportsSentTo = to;
            failureReportsSentAt = now;
        }
        return true;
    }

    /**
     * If this router is the grantor of its cell, reports the cell's votes, demand and failure reports to the grantor of
     * the upper level.
     */
    private void reportCell() {
        if (!lowerLevel.isGrantor()) {
            return;
        }
        RouterRecord to = grantor();
        boolean own = to.name().equals(setup.membership().name());
        boolean vote = election.vote(now, to.name(), to.instance());
        List<FailureReport> reports = lowerLevel.ejectionPolicy.aggregatedReports(now).stream()
                .limit(PacketCodec.MAX_FAILURE_REPORTS)
                .toList();
        List<Long> ids = cellShares.keySet().stream()
                .filter(id -> lowerLevel.leaseHolders(id, now) > 0)
                .toList();
        if (own) {
            ejectionPolicy.recordReport(to.name(), ++lastNumber, now + times.leaseMicros(), reports);
            for (long id : ids) {
                CellDemand demand = cellDemand(id, to, ++lastNumber);
                if (demand.grantInForce() >= 0) {
                    acceptGrant(
                            cellShares.get(id),
                            to.name(),
                            to.instance(),
                            lastNumber,
                            grantFor(to.name(), to.instance(), lastNumber, demand));
                }
            }
            decideEjections();
            return;
        }
        LeaderElection.Backing backing = lowerLevel.election.backing(now + times.leaseMicros());
        for (int from = 0; from == 0 || from < ids.size(); from += PacketCodec.MAX_CELL_DEMANDS) {
            List<CellDemand> batch =
                    ids.subList(from, Math.min(ids.size(), from + PacketCodec.MAX_CELL_DEMANDS)).stream()
                            .map(id -> cellDemand(id, to, lastNumber + 1))
                            .filter(d -> d.grantInForce() >= 0)
                            .toList();
            send(
                    to.address(),
                    new CellAsk(
                            vote,
                            election.lastSeen(to.name(), to.instance()),
                            election.term(),
                            backing.routers(),
                            Math.min(backing.term(), election.term()),
                            batch,
                            reports));
        }
    }

    private CellDemand cellDemand(long id, RouterRecord to, long number) {
        LeaseTable table = lowerLevel.leaseTables.get(id);
        return new CellDemand(
                id,
                cellShares.get(id).recordRequest(now, to.name(), to.instance(), number, table.representedRouters()),
                table.representedRouters(),
                table.totalDemand(),
                table.maxHolderSpend(routers()));
    }

    private double grantFor(String name, long instance, long number, CellDemand demand) {
        return leaseTable(demand.limit())
                .ask(
                        now,
                        new LeaseTable.Requester(name, instance, number, demand.grantInForce(), demand.routers()),
                        demand.demand(),
                        demand.inUse(),
                        routers(),
                        held -> held * limitOf(demand.limit()).evenShare(routers()));
    }

    /** The number of routers in this cell's lease table for a limit. */
    private int leaseHolders(long id, long time) {
        LeaseTable table = leaseTables.get(id);
        if (table == null) {
            return 0;
        }
        table.expire(time);
        return table.representedRouters();
    }

    /** How much a cell may lease out: its share, or without one the even shares of the routers in its lease table. */
    private double grantableAmount(long id, int held) {
        CellShare share = upperLevel == null ? null : upperLevel.cellShares.get(id);
        return share == null ? held * limitOf(id).evenShare(routers()) : share.grantableAmount(now, held, routers());
    }

    private FleetLimit limitOf(long id) {
        return level == Level.UPPER
                ? cellShares.get(id).limit()
                : leases.get(id).limit();
    }

    private double grantFor(String name, long instance, long number, Demand demand) {
        double inUse = limitOf(demand.limit()).measure().wholeNumbers ? demand.inUse() : 0;
        return leaseTable(demand.limit())
                .ask(
                        now,
                        new LeaseTable.Requester(name, instance, number, demand.grantInForce(), 1),
                        demand.demand(),
                        inUse,
                        routers(),
                        held -> grantableAmount(demand.limit(), held));
    }

    private void handleAsk(Packet packet, CellAsk ask) {
        RouterRecord from = packet.from();
        if (level != Level.UPPER || !isGrantor()) {
            drop("asked-not-grantor");
            return;
        }
        election.observeTerm(ask.term());
        election.receiveReport(
                from.name(), from.instance(), ask.vote(), ask.lastSeen(), ask.knownTerm(), ask.boundRouters());
        ejectionPolicy.recordReport(from.name(), packet.number(), now + times.leaseMicros(), ask.failureReports());
        List<GrantedShare> granted = new ArrayList<>();
        for (CellDemand demand : ask.demands()) {
            if (!cellShares.containsKey(demand.limit())) {
                drop("unknown-limit");
                continue;
            }
            double amount =
                    demand.routers() == 0 ? -1 : grantFor(from.name(), from.instance(), packet.number(), demand);
            if (amount >= 0) {
                granted.add(new GrantedShare(demand.limit(), amount));
            } else {
                drop("late-ask");
            }
        }
        decideEjections();
        election.recordSent(now, from.name(), lastNumber + 1);
        send(from.address(), new Grant(packet.number(), election.term(), granted));
    }

    private boolean acceptGrant(CellShare share, String name, long instance, long ask, double amount) {
        String grantorBefore = share.grantor();
        boolean before = share.leased(now);
        if (!share.applyGrant(now, name, instance, ask, amount)) {
            return false;
        }
        if (!before || !grantorBefore.equals(name)) {
            addLogEvent(
                    "the cell's share of " + share.limit().name() + " from " + name + ": " + amount,
                    Map.of(
                            "limit",
                            share.limit().name(),
                            "member",
                            nameOf(share.limit().member()),
                            "grantor",
                            name,
                            "part",
                            amount,
                            "cause",
                            before ? "another grantor" : "none was held"));
        }
        return true;
    }

    private void reportPlan(Drains drains) {
        lastPlanReportAt = now;
        RouterRecord to = grantor();
        if (to.name().equals(setup.membership().name())) {
            drains.runLeader(snapshot());
        } else {
            drains.report(now, to.address(), election.term());
        }
        nextPlanReportAt = now
                + (drains.needsPromptReport()
                        ? setup.membership().periodMicros()
                        : times.leaseMicros() / REPORTS_PER_LEASE);
    }

    /** Renews the grantor's own leases, which are in its own lease table like those of all other routers. */
    private void renewOwnLeases(RouterRecord self) {
        leases.forEach((id, lease) -> {
            long number = ++lastNumber;
            long grantInForce = lease.recordRequest(now, self.name(), self.instance(), number);
            Demand demand = demands.getOrDefault(id, new Demand(id, 0, 0, 0));
            if (grantInForce >= 0) {
                double amount = grantFor(
                        self.name(),
                        self.instance(),
                        number,
                        new Demand(id, grantInForce, demand.demand(), demand.inUse()));
                acceptGrant(lease, self.name(), self.instance(), number, amount);
            }
        });
    }

    private LeaseTable leaseTable(long id) {
        return leaseTables.computeIfAbsent(id, i -> new LeaseTable(limitOf(i), times));
    }

    private void handleAsk(Packet packet, Ask ask) {
        RouterRecord from = packet.from();
        if (level == Level.UPPER || !isGrantor()) {
            drop("asked-not-grantor");
            return;
        }
        election.receiveReport(from.name(), from.instance(), ask.vote(), ask.lastSeen(), ask.term());
        ejectionPolicy.recordReport(from.name(), packet.number(), now + times.leaseMicros(), ask.failureReports());
        List<GrantedShare> granted = new ArrayList<>();
        for (Demand demand : ask.demands()) {
            if (!leases.containsKey(demand.limit())) {
                drop("unknown-limit");
                continue;
            }
            double amount = grantFor(from.name(), from.instance(), packet.number(), demand);
            if (amount >= 0) {
                granted.add(new GrantedShare(demand.limit(), amount));
            } else {
                drop("late-ask");
            }
        }
        decideEjections();
        election.recordSent(now, from.name(), lastNumber + 1);
        send(from.address(), new Grant(packet.number(), election.term(), granted));
    }

    private void handleGrant(Packet packet, Grant grant) {
        RouterRecord from = packet.from();
        election.observeTerm(grant.term());
        election.recordSeen(from.name(), from.instance(), packet.number());
        for (GrantedShare granted : grant.shares()) {
            HeldLease lease = leases.get(granted.limit());
            CellShare share = cellShares.get(granted.limit());
            if (lease == null && share == null) {
                drop("unknown-limit");
            } else if (granted.amount() > limitOf(granted.limit()).amount()) {
                drop("oversized-lease");
            } else if (share != null
                    ? !acceptGrant(share, from.name(), from.instance(), grant.ask(), granted.amount())
                    : !acceptGrant(lease, from.name(), from.instance(), grant.ask(), granted.amount())) {
                drop("late-grant");
            }
        }
    }

    private boolean acceptGrant(HeldLease lease, String name, long instance, long ask, double amount) {
        String grantorBefore = lease.grantor();
        boolean before = lease.leased(now);
        if (!lease.applyGrant(now, name, instance, ask, amount)) {
            return false;
        }
        limitSharesChanged = true;
        if (!before || !grantorBefore.equals(name)) {
            addLogEvent(
                    "lease of " + lease.limit().name() + " from " + name + ": " + amount,
                    Map.of(
                            "limit",
                            lease.limit().name(),
                            "member",
                            nameOf(lease.limit().member()),
                            "grantor",
                            name,
                            "part",
                            amount,
                            "cause",
                            before ? "another grantor" : "none was held"));
        }
        return true;
    }

    // ---- ejections ------------------------------------------------------------------------------------

    /** Updates whether this router is the leader, logs a change, and returns the result. */
    private boolean updateLeadership() {
        boolean leader = level != Level.CELL
                && election.inOffice(
                        now,
                        routers(),
                        level == Level.FLAT ? LeaderElection.Backing.ONE : lowerLevel.election.backing(now));
        if (leader != isLeader) {
            isLeader = leader;
            addLogEvent(
                    leader
                            ? "this router is the leader of term " + election.ownTerm()
                            : "this router is no longer the leader",
                    Map.of("keeper", leader, "term", election.ownTerm()));
        }
        return leader;
    }

    private void decideEjections() {
        if (!updateLeadership() || setup.ejectionRules().isEmpty()) {
            return;
        }
        EjectionPolicy.Rules rules = setup.ejectionRules().get();
        boolean mayEject = now >= election.officeSince() + rules.ejectionMicros() + rules.slotGuardMicros();
        ejectionPolicy
                .decide(
                        now,
                        election.ownTerm(),
                        setup.membership().name(),
                        mayEject,
                        ejectableTiers,
                        ejections,
                        routers())
                .forEach(this::applyEjection);
    }

    private void applyEjection(Ejection ejection) {
        EjectionTable.KnownDecision before = ejections.find(ejection.member());
        boolean wasEjected = before != null && before.decision().failing() && now < before.endsAt();
        if (setup.ejectionRules().isEmpty()
                || !ejections.apply(now, ejection, setup.ejectionRules().get().ejectionMicros())) {
            return;
        }
        ejectionPolicy.recordEjection(ejections.find(ejection.member()));
        if (level != Level.FLAT) {
            ejectionsForOtherLevel.add(ejection);
        }
        ejectionGossip.put(Long.toString(ejection.member()), ejection.member());
        ejectionsChanged = true;
        if (wasEjected != ejection.failing()) {
            addLogEvent(
                    ejection,
                    ejection.failing()
                            ? ejection.reporters() + " routers report it: " + lower(ejection.cause())
                            : "the failure reports ended");
        }
    }

    private void addLogEvent(Ejection ejection, String cause) {
        addLogEvent(
                "ejection of " + nameOf(ejection.member())
                        + (cause.startsWith("ended") ? " " : ejection.failing() ? ": ejected, " : ": withdrawn, ")
                        + cause,
                Map.of(
                        "member",
                        nameOf(ejection.member()),
                        "out",
                        ejection.failing() && !cause.startsWith("ended"),
                        "version",
                        ejection.version(),
                        "accusers",
                        ejection.reporters(),
                        "strikes",
                        ejection.consecutiveFailures(),
                        "keeper",
                        ejection.leader(),
                        "cause",
                        cause));
    }

    private String nameOf(long member) {
        return member == LimitShare.ACROSS_ZONES
                ? "across-zones"
                : members.containsKey(member) ? members.get(member).name() : Long.toString(member);
    }

    /** The members ejected now: never more of a tier than the configured share, whatever was received. */
    private List<EjectedMember> ejectedMembers() {
        Map<Role, Integer> slotsLeft = new HashMap<>();
        for (Role role : Role.values()) {
            long size = members.values().stream().filter(m -> m.role() == role).count();
            slotsLeft.put(role, (int) Math.floor(setup.ejectionRules().get().maxEjectedShare() * size + 1e-9));
        }
        List<EjectionTable.KnownDecision> active = new ArrayList<>(ejections.inForce(now));
        active.sort(java.util.Comparator.comparingLong(h -> -h.decision().version()));
        List<EjectedMember> ejected = new ArrayList<>();
        for (EjectionTable.KnownDecision held : active) {
            ListedMember member = members.get(held.decision().member());
            if (member != null
                    && member.startedAt() == held.decision().memberStartedAt()
                    && slotsLeft.merge(member.role(), -1, Integer::sum) >= 0) {
                ejected.add(new EjectedMember(
                        held.decision().member(),
                        Math.max(
                                member.startedAt(),
                                drains.map(d -> d.returned(held.decision().member()))
                                        .orElse(0L)),
                        held.endsAt()));
            }
        }
        return ejected;
    }

    // ---- drains ---------------------------------------------------------------------------------------

    /**
     * What this router knows besides the drain plan. A process that may not yet know every router does not act as the
     * leader of the plan.
     */
    private FleetSnapshot snapshot() {
        boolean actsAsLeader = updateLeadership()
                && now >= startedAt + FULL_COMPARE_PERIODS * setup.membership().periodMicros();
        Map<Long, FleetSnapshot.Target> targets = new TreeMap<>();
        members.forEach((id, member) -> {
            if (member.role() != Role.ORIGIN) {
                targets.put(
                        id,
                        new FleetSnapshot.Target(
                                member.name(),
                                member.role() == Role.CACHE ? MemberKind.CACHE : MemberKind.PARENT,
                                member.ready(),
                                member.startedAt()));
            }
        });
        Set<Long> failing =
                ejections.inForce(now).stream().map(h -> h.decision().member()).collect(Collectors.toSet());
        return new FleetSnapshot(
                now,
                actsAsLeader ? election.ownTerm() : 0,
                election.officeSince(),
                routers(),
                membership.allRouters().stream().map(this::peer).toList(),
                targets,
                failing);
    }

    private FleetSnapshot.Peer peer(RouterRecord router) {
        return new FleetSnapshot.Peer(
                Hashes.of(FleetSnapshot.ROUTER_NAME_PREFIX + router.name()),
                router.name(),
                router.address(),
                router.instance(),
                router.status(),
                membership.statusSince(router.name()));
    }

    /** The drain state that the routing decisions must follow, if it has changed since the last call. */
    @Override
    public Optional<Drains.View> takeDrainView() {
        Optional<Drains.View> view =
                drains.filter(d -> membersChanged || d.viewMayChange(now)).map(d -> d.takeView(now, snapshot()));
        membersChanged = false;
        return view;
    }

    /**
     * Whether members may be used: false until it is known which of them are, or may have been, taken out by a drain.
     */
    @Override
    public boolean membersUsable() {
        return drains.map(Drains::settled).orElse(true);
    }

    /** The drain plan in force, as far as this router knows. */
    Optional<Plan> plan() {
        return drains.map(Drains::plan);
    }

    /** Whether this fleet coordinates the drains of its members. */
    @Override
    public boolean coordinatesDrains() {
        return drains.isPresent();
    }

    /** Handles an operator's drain command and returns its result as one line. */
    @Override
    public String handleCommand(long time, Map<String, String> fields) {
        now = Math.max(now, time);
        if (drains.isEmpty()) {
            return "refused: this router has no section 'fleet.drains' in its operator's file";
        }
        try {
            DrainCommand command = DrainCommandParser.command(
                    fields, setup.cluster(), snapshot(), drains.get().plan());
            if (!drains.get().command(now, command)) {
                return "refused: too many commands wait to be taken";
            }
            // Reports to the leader at once, but at most four times per period however often commands arrive.
            nextPlanReportAt = Math.min(
                    nextPlanReportAt,
                    Math.max(now, lastPlanReportAt + setup.membership().periodMicros() / 4));
            return "waits " + Long.toUnsignedString(command.id(), 16);
        } catch (DrainCommandParser.InvalidCommandException e) {
            return "refused: " + e.getMessage();
        }
    }

    // ---- output ---------------------------------------------------------------------------------------

    private long send(String address, Body body) {
        long number = ++lastNumber;
        if (membership == null || membership.isSilent(now)) {
            return number;
        }
        RouterRecord self = membership.self().withStatus(RouterStatus.ALIVE);
        int gossipBytes = codec.bytesForGossip(self, body);
        // Ejections come first: there are few of them, and under loss there are always more router records than a
        // packet holds.
        List<Ejection> gossiped = ejectionGossip
                .take(
                        gossipBytes / 2,
                        membership.gossipTransmissions(),
                        member -> ejections.find(member) == null
                                ? PacketCodec.MAX_PACKET_BYTES
                                : PacketCodec.size(ejections.find(member).decision()))
                .stream()
                .map(this::currentEjection)
                .toList();
        int bytesLeft =
                gossipBytes - gossiped.stream().mapToInt(PacketCodec::size).sum();
        int routerBytes =
                level == Level.FLAT ? bytesLeft : isReportOrGrant(body) ? 0 : Math.min(bytesLeft, CELL_GOSSIP_BYTES);
        List<RouterRecord> routers =
                routerGossip.take(routerBytes, membership.gossipTransmissions(), PacketCodec::size);
        enqueue(address, new Packet(self, number, body, routers, gossiped));
        return number;
    }

    /**
     * Whether this is a report to a grantor or its answer. There are many of them, so in cells they carry no router
     * records.
     */
    private static boolean isReportOrGrant(Body body) {
        return body instanceof Ask || body instanceof CellAsk || body instanceof Grant;
    }

    private Ejection currentEjection(long member) {
        EjectionTable.KnownDecision held = ejections.find(member);
        return held.decision().withTimeLeft(Math.max(0, held.endsAt() - now));
    }

    private void enqueue(String address, Packet packet) {
        byte[] bytes = codec.write(packet);
        packetsSent++;
        bytesSent += bytes.length;
        outbox.add(new Datagram(address, bytes));
    }

    private void sendAll(String address, Predicate<RouterRecord> filter) {
        RouterRecord self = membership.self().withStatus(RouterStatus.ALIVE);
        int gossipBytes = codec.bytesForGossip(self, new News());
        List<RouterRecord> routers = new ArrayList<>();
        List<Ejection> gossiped = new ArrayList<>();
        int bytesUsed = 0;
        Collection<RouterRecord> known = membership.allRouters();
        for (RouterRecord router : known) {
            if (!filter.test(router)) {
                continue;
            }
            if (bytesUsed + PacketCodec.size(router) > gossipBytes || routers.size() == MAX_LIST_ENTRIES) {
                enqueue(address, new Packet(self, ++lastNumber, new News(), routers, gossiped));
                routers = new ArrayList<>();
                bytesUsed = 0;
            }
            routers.add(router);
            bytesUsed += PacketCodec.size(router);
        }
        for (EjectionTable.KnownDecision held : ejections.all()) {
            if (bytesUsed + PacketCodec.size(held.decision()) > gossipBytes || gossiped.size() == MAX_LIST_ENTRIES) {
                enqueue(address, new Packet(self, ++lastNumber, new News(), routers, gossiped));
                routers = new ArrayList<>();
                gossiped = new ArrayList<>();
                bytesUsed = 0;
            }
            gossiped.add(currentEjection(held.decision().member()));
            bytesUsed += PacketCodec.size(held.decision());
        }
        enqueue(address, new Packet(self, ++lastNumber, new News(), routers, gossiped));
    }

    /** Returns and removes the packets to be sent. */
    @Override
    public List<Datagram> takePackets() {
        return takeAll(outbox);
    }

    /** Returns and removes the events for the routing decisions. */
    @Override
    public List<Event> takeEvents() {
        if (limitSharesChanged && !setup.limits().isEmpty()) {
            events.add(new LimitSharesUpdate(
                    leases.values().stream().map(this::limitShare).toList()));
        }
        if (ejectionsChanged && setup.ejectionRules().isPresent()) {
            events.add(new EjectionsUpdate(ejectedMembers()));
        }
        limitSharesChanged = false;
        ejectionsChanged = false;
        return takeAll(events);
    }

    private LimitShare limitShare(HeldLease lease) {
        FleetLimit limit = lease.limit();
        return new LimitShare(
                limit.member(),
                limit.measure(),
                lease.currentShare(now, routers()),
                lease.leased(now) ? lease.expiresAt() : Long.MAX_VALUE,
                lease.shareAfterExpiry(routers()));
    }

    @Override
    public List<LogEvent> takeLogEvents() {
        return takeAll(logEvents);
    }

    private static <T> List<T> takeAll(List<T> list) {
        List<T> taken = List.copyOf(list);
        list.clear();
        return taken;
    }

    // ---- status ---------------------------------------------------------------------------------------

    /** Counters and a summary of the state, by name. */
    @Override
    public Map<String, String> fields() {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("fleet-routers", Integer.toString(routers()));
        fields.put("fleet-living", Integer.toString(membership.living().size() + 1));
        fields.put("fleet-grantor", grantor().name());
        fields.put("fleet-keeper", isLeader ? "yes" : "no");
        fields.put("fleet-term", Long.toString(election.term()));
        fields.put("fleet-verdicts", Integer.toString(ejections.inForce(now).size()));
        fields.put("fleet-packets-out", Long.toString(packetsSent));
        fields.put("fleet-bytes-out", Long.toString(bytesSent));
        fields.put("fleet-packets-in", Long.toString(packetsReceived));
        drains.ifPresent(d -> fields.putAll(d.fields(now)));
        dropCounters.forEach((counter, count) -> fields.put("fleet-dropped-" + counter, Long.toString(count)));
        return fields;
    }

    /** The rows of a status table, for operators and tools; empty if there is no table of that name. */
    @Override
    public Optional<List<Map<String, Object>>> rows(String table) {
        return switch (table) {
            case "members" ->
                Optional.of(membership.allRouters().stream().map(this::row).toList());
            case "limits" -> Optional.of(leases.values().stream().map(this::row).toList());
            case "verdicts" ->
                Optional.of(ejections.all().stream().map(this::row).toList());
            case "drains" -> drains.map(d -> d.rows(snapshot(), grantor().name()));
            case "drain-requests" -> drains.map(Drains::requestRows);
            default -> Optional.empty();
        };
    }

    private Map<String, Object> row(RouterRecord router) {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("name", router.name());
        row.put("address", router.address());
        row.put("standing", lower(router.status()));
        row.put("incarnation", router.incarnation());
        row.put("instance", router.instance());
        row.put("since-ms", membership.statusSince(router.name()) / 1_000);
        row.put("grantor", router.name().equals(grantor().name()));
        row.put("self", router.name().equals(setup.membership().name()));
        return row;
    }

    private Map<String, Object> row(HeldLease lease) {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("limit", lease.limit().name());
        row.put("member", nameOf(lease.limit().member()));
        row.put("measure", lower(lease.limit().measure()).replace('_', '-'));
        row.put("fleet", lease.limit().amount());
        row.put("part", lease.currentShare(now, routers()));
        row.put("state", lease.leased(now) ? "leased" : "alone");
        row.put("left-ms", Math.max(0, lease.expiresAt() - now) / 1_000);
        row.put("grantor", lease.grantor());
        row.put(
                "counted",
                leaseTables.entrySet().stream()
                        .filter(t -> leases.get(t.getKey()) == lease)
                        .mapToDouble(t -> t.getValue().maxFleetSpend(routers()))
                        .sum());
        return row;
    }

    private Map<String, Object> row(EjectionTable.KnownDecision held) {
        Ejection ejection = held.decision();
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("member", nameOf(ejection.member()));
        row.put("out", ejection.failing() && now < held.endsAt());
        row.put("version", ejection.version());
        row.put("left-ms", Math.max(0, held.endsAt() - now) / 1_000);
        row.put("accusers", ejection.reporters());
        row.put("cause", lower(ejection.cause()));
        row.put("strikes", ejection.consecutiveFailures());
        row.put("fail-share", Math.round(ejection.failureRate() * 1_000) / 1_000.0);
        row.put("keeper", ejection.leader());
        row.put("heard-at-ms", held.receivedAt() / 1_000);
        return row;
    }
}
