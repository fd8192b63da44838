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
import pumicemoor.RouterApi.LimitShare;
import pumicemoor.RouterApi.LimitSharesUpdate;
import pumicemoor.RouterApi.Event;
import pumicemoor.RouterApi.MemberHealthReport;
import pumicemoor.RouterApi.EjectedMember;
import pumicemoor.RouterApi.Role;
import pumicemoor.RouterApi.EjectionsUpdate;
import pumicemoor.RouterApi.LimitDemand;
import pumicemoor.fleet.FleetSetup.LimitRule;
import pumicemoor.fleet.FleetSetup.Scope;
import pumicemoor.fleet.Packet.Ask;
import pumicemoor.fleet.Packet.Body;
import pumicemoor.fleet.Packet.CellAsk;
import pumicemoor.fleet.Packet.CellWant;
import pumicemoor.fleet.Packet.DrainAsk;
import pumicemoor.fleet.Packet.Grant;
import pumicemoor.fleet.Packet.News;
import pumicemoor.fleet.Packet.Part;
import pumicemoor.fleet.Packet.Piece;
import pumicemoor.fleet.Packet.PlanGrant;
import pumicemoor.fleet.Packet.PlanReport;
import pumicemoor.fleet.Packet.Want;
import pumicemoor.fleet.drains.DrainCommand;
import pumicemoor.fleet.drains.DrainCommandParser;
import pumicemoor.fleet.drains.Drains;
import pumicemoor.fleet.drains.Plan;
import pumicemoor.fleet.drains.MemberKind;
import pumicemoor.fleet.drains.FleetSnapshot;
import pumicemoor.fleet.limits.CellShare;
import pumicemoor.fleet.limits.FleetLimit;
import pumicemoor.fleet.limits.HeldLease;
import pumicemoor.fleet.limits.LeaseBook;
import pumicemoor.fleet.limits.LeaseTimes;
import pumicemoor.fleet.membership.Membership;
import pumicemoor.fleet.membership.RouterRecord;
import pumicemoor.fleet.membership.RouterStatus;
import pumicemoor.fleet.verdicts.FailureReport;
import pumicemoor.fleet.verdicts.FailureReport.Cause;
import pumicemoor.fleet.verdicts.EjectionPolicy;
import pumicemoor.fleet.verdicts.Ejection;
import pumicemoor.fleet.verdicts.EjectionTable;

/**
 * One router's part in its fleet: membership, leases and verdicts over the same packets. It owns the packets' numbers,
 * what rides along with them, and who reports to whom: every router reports to the living one that the cluster's hash
 * puts first. It takes time, packets, the list of members and what the decisions tell; packets, events for the
 * decisions and lines for people are fetched from it. In a large fleet it is one level of two: that of a cell's routers,
 * or that of the cells' delegates (docs/fleet-design.md, "Cells").
 */
public final class Fleet implements FleetParticipant {

    private static final int ASKS_A_LEASE = 5;
    private static final int QUIET =
            8; // periods until a router in a cell knows to whom to report; it changes that slowly
    private static final int CELL_NEWS =
            300; // bytes of news of routers in a packet: a start at once is spread over time
    private static final int VOTE = 3; // leases that a vote binds a router in a cell; it outlasts its cell's own vote
    private static final int INFORMED = 16; // periods until a process has compared all that it knows of routers
    private static final int MOST_CHANGES = 256; // lines kept until they are fetched

    /** What is known of a listed member; ready where the list has nothing against it. */
    public record Listed(String name, Role role, long started, boolean ready) {

        /** One that is ready. */
        public Listed(String name, Role role, long started) {
            this(name, role, started, true);
        }
    }

    private record Accused(FailureReport accusation, long until) {}

    /** A whole fleet; the routers of a cell; the delegates of all cells. */
    private enum Level {
        FLAT,
        CELL,
        UPPER
    }

    private static final Drains.Usage NOTHING = new Drains.Usage() {
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
    private final long order;
    private final LeaseTimes times;
    private final PacketCodec codec;
    private final Membership membership;
    private final Votes votes;
    private final GossipQueue<RouterRecord> routerNews = new GossipQueue<>();
    private final GossipQueue<Long> verdictNews = new GossipQueue<>(); // the members meant; the verdict is told as it stands
    private final Map<Long, HeldLease> leases = new TreeMap<>();
    private final Map<Long, LeaseBook> books = new HashMap<>();
    private final Map<Long, CellShare> shares = new TreeMap<>(); // of its own cell, where this is the level above
    private final List<Ejection> passing = new ArrayList<>(); // verdicts that are new here, for the other level
    private final Map<Long, Want> wants = new HashMap<>();
    private final EjectionTable verdicts = new EjectionTable();
    private final EjectionPolicy bench;
    private final Map<Long, Accused> accused = new TreeMap<>();
    private final Optional<Drains> drains;
    private final Map<String, Long> dropped = new TreeMap<>();
    private final List<Datagram> outbox = new ArrayList<>();
    private final List<Event> events = new ArrayList<>();
    private final List<LogEvent> notices = new ArrayList<>();
    private final long startedAt;
    private Map<Long, Listed> members = Map.of();
    private long now;
    private long numbers;
    private long askAt;
    private long askedAt;
    private long plannedAt;
    private long planAt; // when the keeper of the plan is to hear again
    private long gossipAt;
    private long sent;
    private long sentBytes;
    private long heard;
    private boolean inOffice;
    private boolean allowancesNew = true;
    private boolean verdictsNew = true;
    private boolean membersNew;
    private int routersTold;
    private List<RouterRecord> placed = List.of(); // those that live, of which the first by the cluster's hash is known
    private RouterRecord firstPlaced; // null where there are none
    private Map<Long, String> tiers = Map.of(); // of the members that may be out
    private Fleet below; // the own cell, where this is the level above
    private Fleet above; // the level above, where this is a cell and this router is a delegate
    private String accusedTo = ""; // the cell's grantor that accusations were last told
    private long accusedAt;

    /** One whose router has nothing under way. */
    public Fleet(FleetSetup setup, long time, long seed) {
        this(setup, time, seed, NOTHING);
    }

    /** Starts at this time (Unix microseconds). */
    public Fleet(FleetSetup setup, long time, long seed, Drains.Usage usage) {
        this(setup, setup.cluster(), time, seed, usage, Level.FLAT, 0);
    }

    /**
     * The level of a cell's routers, for a process of this instance. The order names whose hash orders its routers: that of
     * the cell before all splits, so that a grantor is still that of its part after one.
     */
    public static Fleet ofCell(FleetSetup setup, String order, long time, long seed, long instance) {
        return new Fleet(setup, order, time, seed, NOTHING, Level.CELL, instance);
    }

    /** The level of the cells' delegates, for a process of this instance in this cell. */
    public static Fleet ofDelegates(FleetSetup setup, long time, long seed, long instance, Fleet cell) {
        Fleet upper = new Fleet(setup, setup.cluster(), time, seed, NOTHING, Level.UPPER, instance);
        upper.below = cell;
        return upper;
    }

    private Fleet(
            FleetSetup setup, String order, long time, long seed, Drains.Usage usage, Level level, long instance) {
        this.level = level;
        this.order = Hashes.of(order);
        this.times = switch (level) {
            case FLAT -> setup.times();
            case CELL -> setup.times().inCells();
            case UPPER -> setup.times().ofCells();
        };
        this.setup = setup;
        this.now = time;
        this.startedAt = time;
        this.codec = new PacketCodec(setup.cluster());
        this.votes = new Votes(setup.membership().name(), (level == Level.CELL ? VOTE : 1) * times.lease(), time);
        this.bench = new EjectionPolicy(setup.verdicts().orElse(new EjectionPolicy.Rules(0, 1, 1, 1)));
        this.askAt = time + setup.membership().period();
        this.gossipAt = askAt;
        this.membership =
                new Membership(setup.membership(), time, seed, instance, level != Level.FLAT, new Membership.Outlet() {
                    @Override
                    public long send(String address, Body body) {
                        return Fleet.this.send(address, body);
                    }

                    @Override
                    public void sendAll(String address, Predicate<RouterRecord> which) {
                        Fleet.this.sendAll(address, which);
                    }

                    @Override
                    public void spread(RouterRecord news) {
                        routerNews.put(news.name(), news);
                    }

                    @Override
                    public void changed(RouterRecord news, RouterStatus before, String cause) {
                        notice(
                                "router " + news.name() + " is " + lower(news.standing()) + ": " + cause,
                                Map.of(
                                        "router",
                                        news.name(),
                                        "standing",
                                        lower(news.standing()),
                                        "before",
                                        before == null ? "unknown" : lower(before),
                                        "incarnation",
                                        news.incarnation(),
                                        "cause",
                                        cause));
                        if (news.standing().compareTo(RouterStatus.DEAD) >= 0) {
                            votes.forget(news.name());
                        }
                    }

                    @Override
                    public void dropped(String what) {
                        drop(what);
                    }
                });
        this.planAt = askAt;
        this.drains = setup.drains()
                .map(t -> new Drains(
                        t,
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
                            public void term(long term) {
                                votes.heard(term);
                            }

                            @Override
                            public void dropped(String what) {
                                drop(what);
                            }

                            @Override
                            public void changed(String text, Map<String, Object> figures) {
                                notice(text, figures);
                            }
                        }));
    }

    private static String lower(Enum<?> value) {
        return value.name().toLowerCase(java.util.Locale.ROOT);
    }

    private void notice(String text, Map<String, Object> figures) {
        if (notices.size() < MOST_CHANGES) {
            notices.add(new LogEvent(text, figures));
        }
    }

    private void drop(String what) {
        dropped.merge(what, 1L, Long::sum);
    }

    // ---- what comes in --------------------------------------------------------------------------------

    /** Takes a packet, whatever it is. */
    @Override
    public void receive(long time, byte[] bytes) {
        now = Math.max(now, time);
        Packet packet;
        try {
            packet = codec.read(bytes, Membership.lastIncarnation(now));
        } catch (BadPacketException e) {
            drop(lower(e.reason));
            return;
        }
        heard++;
        if (membership.heard(now, packet)) {
            packet.verdicts().forEach(this::take);
            if (packet.body() instanceof Ask a) {
                asked(packet, a);
            } else if (packet.body() instanceof CellAsk a) {
                asked(packet, a);
            } else if (packet.body() instanceof Grant g) {
                granted(packet, g);
            } else {
                drains.ifPresentOrElse(d -> heard(d, packet), () -> {
                    if (ofDrains(packet.body())) {
                        drop("drains-off");
                    }
                });
            }
        }
    }

    private static boolean ofDrains(Body body) {
        return body instanceof PlanReport
                || body instanceof PlanGrant
                || body instanceof Piece
                || body instanceof DrainAsk;
    }

    private void heard(Drains d, Packet packet) {
        RouterRecord from = packet.from();
        if (packet.body() instanceof PlanGrant g) {
            d.answered(now, from.address(), g);
        } else if (packet.body() instanceof Piece p) {
            if (d.take(p)) {
                planAt = now; // the keeper waits for a majority that holds it
            }
        } else if (ofDrains(packet.body()) && !grants()) {
            drop("asked-not-grantor");
        } else if (packet.body() instanceof PlanReport r) {
            d.reported(world(), peer(from), packet.number(), r);
        } else if (packet.body() instanceof DrainAsk a) {
            d.passedOn(world(), a.command());
        }
    }

    /** The members as they are listed now, by their number. */
    @Override
    public void updateMembers(long time, Map<Long, Listed> listed) {
        now = Math.max(now, time);
        if (listed.equals(members)) {
            return;
        }
        listed(Map.copyOf(listed));
        membersNew = true;
        Map<Long, FleetLimit> limits = new TreeMap<>();
        members.forEach((id, m) -> setup.limits().stream()
                .filter(r -> covers(r, m)
                        && setup.limits().stream()
                                .noneMatch(o -> covers(o, m) && o.measure() == r.measure() && tighter(o, r)))
                .forEach(r -> limits.put(
                        Hashes.of(r.name() + "/" + m.name()), new FleetLimit(r.name(), id, r.measure(), r.amount()))));
        setup.limits().stream()
                .filter(r -> r.scope() == Scope.ACROSS_ZONES)
                .forEach(r -> limits.put(
                        Hashes.of(r.name()),
                        new FleetLimit(r.name(), LimitShare.ACROSS_ZONES, r.measure(), r.amount())));
        leases.keySet().retainAll(limits.keySet());
        shares.keySet().retainAll(limits.keySet());
        books.keySet().retainAll(limits.keySet());
        wants.keySet().retainAll(limits.keySet());
        if (level == Level.UPPER) {
            limits.forEach((id, limit) -> shares.computeIfAbsent(
                    id, i -> new CellShare(limit, times, setup.times().lease(), startedAt)));
        } else {
            limits.forEach((id, limit) -> leases.computeIfAbsent(id, i -> new HeldLease(limit, times, startedAt)));
        }
        accused.entrySet()
                .removeIf(e -> !members.containsKey(e.getKey())
                        || members.get(e.getKey()).started()
                                != e.getValue().accusation().started());
        allowancesNew = true;
    }

    private void listed(Map<Long, Listed> listed) {
        members = listed;
        tiers = new TreeMap<>();
        members.forEach((id, m) -> {
            if (m.role() != Role.ORIGIN) {
                tiers.put(id, lower(m.role()));
            }
        });
    }

    /** Of two limits of one measure on one member the lower counts; the names settle a tie. */
    private static boolean tighter(LimitRule one, LimitRule other) {
        return one.amount() != other.amount()
                ? one.amount() < other.amount()
                : one.name().compareTo(other.name()) < 0;
    }

    private static boolean covers(LimitRule rule, Listed m) {
        return switch (rule.scope()) {
            case MEMBER -> rule.member().equals(m.name());
            case EACH_CACHE -> m.role() == Role.CACHE;
            case EACH_PARENT -> m.role() == Role.PARENT;
            case ORIGIN -> m.role() == Role.ORIGIN;
            case ACROSS_ZONES -> false; // it is for none of them
        };
    }

    /** What the decisions wanted of an allowance. */
    @Override
    public void reportDemand(LimitDemand w) {
        leases.forEach((id, lease) -> {
            if (lease.limit().member() == w.member() && lease.limit().measure() == w.measure()) {
                wants.put(id, new Want(id, 0, w.demand(), w.inUse()));
            }
        });
    }

    /** What the decisions hold of a member now. */
    @Override
    public void reportHealth(long time, MemberHealthReport j) {
        now = Math.max(now, time);
        Listed m = members.get(j.member());
        if (m == null || setup.verdicts().isEmpty()) {
            return;
        }
        if (j.failing()) {
            accused.put(
                    j.member(),
                    new Accused(
                            new FailureReport(
                                    j.member(),
                                    m.started(),
                                    j.unresponsive() ? Cause.SILENT : Cause.FAILING,
                                    j.consecutiveFailures(),
                                    j.failureRate()),
                            j.until() + setup.verdicts().get().hold()));
        } else {
            accused.remove(j.member());
        }
        // who keeps the verdicts is told at once, but however often judgements come, no more than four times a period
        askAt = Math.min(askAt, Math.max(now, askedAt + setup.membership().period() / 4));
    }

    /** Ends this router's part in good order. */
    @Override
    public void leave(long time) {
        now = Math.max(now, time);
        membership.leave();
    }

    // ---- time -----------------------------------------------------------------------------------------

    @Override
    public long nextDue() {
        long due = Math.min(Math.min(membership.nextDue(), askAt), verdicts.nextEnd(now));
        return Math.min(due, drains.map(d -> Math.min(planAt, d.nextDue(now))).orElse(Long.MAX_VALUE));
    }

    /** Lives on to this time. */
    @Override
    public void advance(long time) {
        long before = now;
        now = Math.max(now, time);
        membership.advance(now);
        if (now >= gossipAt) {
            gossipAt = now + setup.membership().period();
            if (!routerNews.isEmpty() || !verdictNews.isEmpty()) {
                membership.listeners().forEach(n -> send(n.address(), new News()));
            }
        }
        if (now >= askAt) {
            askAt = now + times.lease() / ASKS_A_LEASE;
            askedAt = now;
            accused.values().removeIf(a -> now >= a.until());
            if (inOffice) {
                office(); // also where nobody reports here any more
            }
            if (level == Level.UPPER) {
                reportCell();
            } else if (level == Level.FLAT
                    || now >= startedAt + QUIET * setup.membership().period()) {
                report();
            }
        }
        if (now >= planAt) {
            drains.ifPresent(this::reportPlan);
        }
        for (EjectionTable.Held ended : verdicts.ended(before, now)) {
            verdictsNew = true;
            notice(ended.verdict(), "ended: nobody renewed it");
        }
        verdicts.forget(now, 60_000_000);
        if (routers() != routersTold || leases.values().stream().anyMatch(l -> l.changesAt(before) <= now)) {
            routersTold = routers();
            allowancesNew = true;
        }
    }

    /** How many routers the fleet is taken for. */
    @Override
    public int routers() {
        return Math.max(setup.size(), membership.known());
    }

    /** To whom all report: of those that live the one that the cluster's hash puts first. */
    private RouterRecord grantor() {
        RouterRecord self = membership.self();
        List<RouterRecord> living = membership.living();
        if (living != placed) {
            placed = living;
            firstPlaced = null;
            for (RouterRecord n : living) {
                if (firstPlaced == null || Long.compareUnsigned(place(n), place(firstPlaced)) > 0) {
                    firstPlaced = n;
                }
            }
        }
        return firstPlaced != null && Long.compareUnsigned(place(firstPlaced), place(self)) > 0 ? firstPlaced : self;
    }

    private long place(RouterRecord n) {
        return Hashes.mix(Hashes.of(n.name()) ^ order);
    }

    /** Whether all report to this router, as far as it knows. */
    public boolean grants() {
        return grantor().name().equals(setup.membership().name());
    }

    // ---- the two levels -------------------------------------------------------------------------------

    /** The first so many of those that live, by the cluster's hash: a cell's delegates, its grantor before the others. */
    public List<RouterRecord> first(int count) {
        List<RouterRecord> all = new ArrayList<>(membership.living());
        all.add(membership.self());
        Map<RouterRecord, Long> places = new HashMap<>();
        all.forEach(n -> places.put(n, place(n)));
        all.sort((a, b) -> Long.compareUnsigned(places.get(b), places.get(a)));
        return List.copyOf(all.subList(0, Math.min(count, all.size())));
    }

    /** Whether this router is among the first so many. */
    public boolean among(int count) {
        long own = place(membership.self());
        return membership.living().stream()
                        .filter(n -> Long.compareUnsigned(place(n), own) > 0)
                        .limit(count)
                        .count()
                < count;
    }

    /** Those known to live on this level, without this router. */
    public List<RouterRecord> living() {
        return membership.living();
    }

    /** This router as it tells of itself on this level. */
    public RouterRecord self() {
        return membership.self();
    }

    /** The number of this level's cluster, as it stands in its packets. */
    public long cluster() {
        return codec.cluster();
    }

    /** Sets the level above this cell; null for none, which may be only once all of its shares are over. */
    public void setAbove(Fleet upper) {
        above = upper;
    }

    /** Sets the cell whose delegate this is. */
    public void setBelow(Fleet cell) {
        below = cell;
    }

    /** Whether nothing that was lent to this cell can be counted on any more. */
    public boolean sharesOver(long time) {
        return shares.values().stream().allMatch(s -> s.over(time));
    }

    /** Passes terms and verdicts between this cell and the level above, both ways. */
    public void meet(long time, Fleet upper) {
        now = Math.max(now, time);
        upper.now = Math.max(upper.now, time);
        votes.heard(upper.votes.term());
        upper.votes.heard(votes.term());
        while (!passing.isEmpty() || !upper.passing.isEmpty()) {
            takeAll(passing).forEach(v -> upper.take(upper.asOf(v, this)));
            takeAll(upper.passing).forEach(v -> take(asOf(v, upper)));
        }
    }

    /** A verdict with the time that is left of it at the other level. */
    private Ejection asOf(Ejection v, Fleet other) {
        EjectionTable.Held h = other.verdicts.on(v.member());
        return h != null && h.verdict().version() == v.version() ? v.withLeft(Math.max(0, h.until() - other.now)) : v;
    }

    /**
     * Goes on in place of an older level of the same process, whose cell was split: with its leases and books, which
     * name processes and not cells, and all that was told to it. Its votes are as those of a fresh process.
     */
    public void succeed(Fleet old) {
        leases.putAll(old.leases);
        books.putAll(old.books);
        wants.putAll(old.wants);
        accused.putAll(old.accused);
        accusedTo = old.accusedTo;
        accusedAt = old.accusedAt;
        numbers = old.numbers;
        sent = old.sent;
        sentBytes = old.sentBytes;
        heard = old.heard;
        old.dropped.forEach((what, count) -> dropped.merge(what, count, Long::sum));
        listed(old.members);
        votes.heard(old.votes.term());
        old.verdicts.all().forEach(h -> take(h.verdict().withLeft(Math.max(0, h.until() - now))));
        allowancesNew = true;
        verdictsNew = true;
    }

    // ---- reports and grants ---------------------------------------------------------------------------

    private void report() {
        RouterRecord to = grantor();
        boolean own = to.name().equals(setup.membership().name());
        boolean vote = votes.vote(now, to.name(), to.instance());
        List<FailureReport> accusations = mayAccuse(to.name())
                ? accused.values().stream()
                        .map(Accused::accusation)
                        .limit(PacketCodec.ACCUSATIONS)
                        .toList()
                : List.of();
        if (own) {
            bench.reported(to.name(), ++numbers, now + times.lease(), accusations);
            keepOwn(to);
            sit();
            return;
        }
        List<Long> ids = new ArrayList<>(leases.keySet());
        for (int from = 0; from == 0 || from < ids.size(); from += PacketCodec.WANTS) {
            List<Want> list = new ArrayList<>();
            for (long id : ids.subList(from, Math.min(ids.size(), from + PacketCodec.WANTS))) {
                long holds = leases.get(id).asks(now, to.name(), to.instance(), numbers + 1);
                Want w = wants.getOrDefault(id, new Want(id, 0, 0, 0));
                if (holds >= 0) {
                    list.add(new Want(id, holds, w.wanted(), w.inUse()));
                }
            }
            send(to.address(), new Ask(vote, votes.seen(to.name(), to.instance()), votes.term(), list, accusations));
        }
    }

    /** In a cell, whether another grantor can count what this router accuses in its sum no more. */
    private boolean mayAccuse(String to) {
        if (level == Level.CELL && !accused.isEmpty()) {
            if (!to.equals(accusedTo) && !accusedTo.isEmpty() && now < accusedAt + times.shrink()) {
                return false;
            }
            accusedTo = to;
            accusedAt = now;
        }
        return true;
    }

    /** What the cell wants, as its grantor tells it to whom it takes for the grantor of the level above. */
    private void reportCell() {
        if (!below.grants()) {
            return;
        }
        RouterRecord to = grantor();
        boolean own = to.name().equals(setup.membership().name());
        boolean vote = votes.vote(now, to.name(), to.instance());
        List<FailureReport> accusations =
                below.bench.inSum(now).stream().limit(PacketCodec.ACCUSATIONS).toList();
        List<Long> ids =
                shares.keySet().stream().filter(id -> below.held(id, now) > 0).toList();
        if (own) {
            bench.reported(to.name(), ++numbers, now + times.lease(), accusations);
            for (long id : ids) {
                CellWant w = cellWant(id, to, ++numbers);
                if (w.holds() >= 0) {
                    granted(
                            shares.get(id),
                            to.name(),
                            to.instance(),
                            numbers,
                            ask(to.name(), to.instance(), numbers, w));
                }
            }
            sit();
            return;
        }
        Votes.Backing backing = below.votes.backing(now + times.lease());
        for (int from = 0; from == 0 || from < ids.size(); from += PacketCodec.CELL_WANTS) {
            List<CellWant> list = ids.subList(from, Math.min(ids.size(), from + PacketCodec.CELL_WANTS)).stream()
                    .map(id -> cellWant(id, to, numbers + 1))
                    .filter(w -> w.holds() >= 0)
                    .toList();
            send(
                    to.address(),
                    new CellAsk(
                            vote,
                            votes.seen(to.name(), to.instance()),
                            votes.term(),
                            backing.routers(),
                            Math.min(backing.term(), votes.term()),
                            list,
                            accusations));
        }
    }

    private CellWant cellWant(long id, RouterRecord to, long number) {
        LeaseBook book = below.books.get(id);
        return new CellWant(
                id,
                shares.get(id).asks(now, to.name(), to.instance(), number, book.held()),
                book.held(),
                book.wanted(),
                book.countedOfHolders(routers()));
    }

    private double ask(String name, long instance, long number, CellWant w) {
        return book(w.limit())
                .ask(
                        now,
                        new LeaseBook.Asker(name, instance, number, w.holds(), w.routers()),
                        w.wanted(),
                        w.inUse(),
                        routers(),
                        held -> held * limitOf(w.limit()).evenPart(routers()));
    }

    /** How many routers this cell's book of a limit holds now. */
    private int held(long id, long time) {
        LeaseBook book = books.get(id);
        if (book == null) {
            return 0;
        }
        book.expire(time);
        return book.held();
    }

    /** What this cell may lend, in a cell: its share, or the even parts of those that its book holds. */
    private double pool(long id, int held) {
        CellShare share = above == null ? null : above.shares.get(id);
        return share == null ? held * limitOf(id).evenPart(routers()) : share.pool(now, held, routers());
    }

    private FleetLimit limitOf(long id) {
        return level == Level.UPPER ? shares.get(id).limit() : leases.get(id).limit();
    }

    private double ask(String name, long instance, long number, Want w) {
        double inUse = limitOf(w.limit()).measure().wholeNumbers ? w.inUse() : 0;
        return book(w.limit())
                .ask(
                        now,
                        new LeaseBook.Asker(name, instance, number, w.holds(), 1),
                        w.wanted(),
                        inUse,
                        routers(),
                        held -> pool(w.limit(), held));
    }

    private void asked(Packet packet, CellAsk a) {
        RouterRecord from = packet.from();
        if (level != Level.UPPER || !grants()) {
            drop("asked-not-grantor");
            return;
        }
        votes.heard(a.term());
        votes.reported(from.name(), from.instance(), a.vote(), a.seen(), a.known(), a.backing());
        bench.reported(from.name(), packet.number(), now + times.lease(), a.accusations());
        List<Part> parts = new ArrayList<>();
        for (CellWant w : a.wants()) {
            if (!shares.containsKey(w.limit())) {
                drop("unknown-limit");
                continue;
            }
            double part = w.routers() == 0 ? -1 : ask(from.name(), from.instance(), packet.number(), w);
            if (part >= 0) {
                parts.add(new Part(w.limit(), part));
            } else {
                drop("late-ask");
            }
        }
        sit();
        votes.sent(now, from.name(), numbers + 1);
        send(from.address(), new Grant(packet.number(), votes.term(), parts));
    }

    private boolean granted(CellShare share, String name, long instance, long ask, double part) {
        String grantorBefore = share.grantor();
        boolean before = share.leased(now);
        if (!share.granted(now, name, instance, ask, part)) {
            return false;
        }
        if (!before || !grantorBefore.equals(name)) {
            notice(
                    "the cell's share of " + share.limit().name() + " from " + name + ": " + part,
                    Map.of(
                            "limit",
                            share.limit().name(),
                            "member",
                            nameOf(share.limit().member()),
                            "grantor",
                            name,
                            "part",
                            part,
                            "cause",
                            before ? "another grantor" : "none was held"));
        }
        return true;
    }

    private void reportPlan(Drains d) {
        plannedAt = now;
        RouterRecord to = grantor();
        if (to.name().equals(setup.membership().name())) {
            d.sit(world());
        } else {
            d.report(now, to.address(), votes.term());
        }
        planAt = now + (d.inHaste() ? setup.membership().period() : times.lease() / ASKS_A_LEASE);
    }

    /** The grantor's own leases are in its own book like all others. */
    private void keepOwn(RouterRecord self) {
        leases.forEach((id, lease) -> {
            long number = ++numbers;
            long holds = lease.asks(now, self.name(), self.instance(), number);
            Want w = wants.getOrDefault(id, new Want(id, 0, 0, 0));
            if (holds >= 0) {
                double part = ask(self.name(), self.instance(), number, new Want(id, holds, w.wanted(), w.inUse()));
                granted(lease, self.name(), self.instance(), number, part);
            }
        });
    }

    private LeaseBook book(long id) {
        return books.computeIfAbsent(id, i -> new LeaseBook(limitOf(i), times));
    }

    private void asked(Packet packet, Ask a) {
        RouterRecord from = packet.from();
        if (level == Level.UPPER || !grants()) {
            drop("asked-not-grantor");
            return;
        }
        votes.reported(from.name(), from.instance(), a.vote(), a.seen(), a.term());
        bench.reported(from.name(), packet.number(), now + times.lease(), a.accusations());
        List<Part> parts = new ArrayList<>();
        for (Want w : a.wants()) {
            if (!leases.containsKey(w.limit())) {
                drop("unknown-limit");
                continue;
            }
            double part = ask(from.name(), from.instance(), packet.number(), w);
            if (part >= 0) {
                parts.add(new Part(w.limit(), part));
            } else {
                drop("late-ask");
            }
        }
        sit();
        votes.sent(now, from.name(), numbers + 1);
        send(from.address(), new Grant(packet.number(), votes.term(), parts));
    }

    private void granted(Packet packet, Grant g) {
        RouterRecord from = packet.from();
        votes.heard(g.term());
        votes.saw(from.name(), from.instance(), packet.number());
        for (Part p : g.parts()) {
            HeldLease lease = leases.get(p.limit());
            CellShare share = shares.get(p.limit());
            if (lease == null && share == null) {
                drop("unknown-limit");
            } else if (p.amount() > limitOf(p.limit()).amount()) {
                drop("oversized-lease");
            } else if (share != null
                    ? !granted(share, from.name(), from.instance(), g.ask(), p.amount())
                    : !granted(lease, from.name(), from.instance(), g.ask(), p.amount())) {
                drop("late-grant");
            }
        }
    }

    private boolean granted(HeldLease lease, String name, long instance, long ask, double part) {
        String grantorBefore = lease.grantor();
        boolean before = lease.leased(now);
        if (!lease.granted(now, name, instance, ask, part)) {
            return false;
        }
        allowancesNew = true;
        if (!before || !grantorBefore.equals(name)) {
            notice(
                    "lease of " + lease.limit().name() + " from " + name + ": " + part,
                    Map.of(
                            "limit",
                            lease.limit().name(),
                            "member",
                            nameOf(lease.limit().member()),
                            "grantor",
                            name,
                            "part",
                            part,
                            "cause",
                            before ? "another grantor" : "none was held"));
        }
        return true;
    }

    // ---- verdicts -------------------------------------------------------------------------------------

    /** Whether this router is the keeper now. */
    private boolean office() {
        boolean office = level != Level.CELL
                && votes.inOffice(now, routers(), level == Level.FLAT ? Votes.Backing.ONE : below.votes.backing(now));
        if (office != inOffice) {
            inOffice = office;
            notice(
                    office
                            ? "this router is the keeper of term " + votes.ownTerm()
                            : "this router is not the keeper any more",
                    Map.of("keeper", office, "term", votes.ownTerm()));
        }
        return office;
    }

    private void sit() {
        if (!office() || setup.verdicts().isEmpty()) {
            return;
        }
        EjectionPolicy.Rules rules = setup.verdicts().get();
        boolean fresh = now >= votes.officeSince() + rules.hold() + rules.guard();
        bench.sit(now, votes.ownTerm(), setup.membership().name(), fresh, tiers, verdicts, routers())
                .forEach(this::take);
    }

    private void take(Ejection v) {
        EjectionTable.Held before = verdicts.on(v.member());
        boolean stood = before != null && before.verdict().failing() && now < before.until();
        if (setup.verdicts().isEmpty()
                || !verdicts.take(now, v, setup.verdicts().get().hold())) {
            return;
        }
        bench.heard(verdicts.on(v.member()));
        if (level != Level.FLAT) {
            passing.add(v);
        }
        verdictNews.put(Long.toString(v.member()), v.member());
        verdictsNew = true;
        if (stood != v.failing()) {
            notice(v, v.failing() ? v.accusers() + " accuse it: " + lower(v.cause()) : "the evidence ended");
        }
    }

    private void notice(Ejection v, String cause) {
        notice(
                "verdict on " + nameOf(v.member())
                        + (cause.startsWith("ended") ? " " : v.failing() ? ": out, " : ": lifted, ") + cause,
                Map.of(
                        "member",
                        nameOf(v.member()),
                        "out",
                        v.failing() && !cause.startsWith("ended"),
                        "version",
                        v.version(),
                        "accusers",
                        v.accusers(),
                        "strikes",
                        v.strikes(),
                        "keeper",
                        v.keeper(),
                        "cause",
                        cause));
    }

    private String nameOf(long member) {
        return member == LimitShare.ACROSS_ZONES
                ? "across-zones"
                : members.containsKey(member) ? members.get(member).name() : Long.toString(member);
    }

    /** Who is out now: never more of a tier than the share, whatever was told. */
    private List<EjectedMember> out() {
        Map<Role, Integer> room = new HashMap<>();
        for (Role role : Role.values()) {
            long size = members.values().stream().filter(m -> m.role() == role).count();
            room.put(role, (int) Math.floor(setup.verdicts().get().mostOut() * size + 1e-9));
        }
        List<EjectionTable.Held> standing = new ArrayList<>(verdicts.standing(now));
        standing.sort(java.util.Comparator.comparingLong(h -> -h.verdict().version()));
        List<EjectedMember> out = new ArrayList<>();
        for (EjectionTable.Held h : standing) {
            Listed m = members.get(h.verdict().member());
            if (m != null && m.started() == h.verdict().started() && room.merge(m.role(), -1, Integer::sum) >= 0) {
                out.add(new EjectedMember(
                        h.verdict().member(),
                        Math.max(
                                m.started(),
                                drains.map(d -> d.returned(h.verdict().member()))
                                        .orElse(0L)),
                        h.until()));
            }
        }
        return out;
    }

    // ---- drains ---------------------------------------------------------------------------------------

    /** What is known beside the plan; a process that may not yet know of every router is no keeper of it. */
    private FleetSnapshot world() {
        boolean keeps =
                office() && now >= startedAt + INFORMED * setup.membership().period();
        Map<Long, FleetSnapshot.Target> targets = new TreeMap<>();
        members.forEach((id, m) -> {
            if (m.role() != Role.ORIGIN) {
                targets.put(
                        id,
                        new FleetSnapshot.Target(
                                m.name(), m.role() == Role.CACHE ? MemberKind.CACHE : MemberKind.PARENT, m.ready(), m.started()));
            }
        });
        Set<Long> failing =
                verdicts.standing(now).stream().map(h -> h.verdict().member()).collect(Collectors.toSet());
        return new FleetSnapshot(
                now,
                keeps ? votes.ownTerm() : 0,
                votes.officeSince(),
                routers(),
                membership.table().stream().map(this::peer).toList(),
                targets,
                failing);
    }

    private FleetSnapshot.Peer peer(RouterRecord n) {
        return new FleetSnapshot.Peer(
                Hashes.of(FleetSnapshot.ROUTERS + n.name()),
                n.name(),
                n.address(),
                n.instance(),
                n.standing(),
                membership.since(n.name()));
    }

    /** What the decisions are to go by where members are taken out in order; empty where that is as before. */
    @Override
    public Optional<Drains.View> takeDrainView() {
        Optional<Drains.View> view =
                drains.filter(d -> membersNew || d.viewMayChange(now)).map(d -> d.takeView(now, world()));
        membersNew = false;
        return view;
    }

    /** Whether members may be used: not before it is known which are out, or could have been. */
    @Override
    public boolean membersUsable() {
        return drains.map(Drains::settled).orElse(true);
    }

    /** The plan of drains in force, as far as this router knows. */
    Optional<Plan> plan() {
        return drains.map(Drains::plan);
    }

    /** Whether members are taken out in order. */
    @Override
    public boolean coordinatesDrains() {
        return drains.isPresent();
    }

    /** Takes an operator's command and says what becomes of it, in one line. */
    @Override
    public String handleCommand(long time, Map<String, String> fields) {
        now = Math.max(now, time);
        if (drains.isEmpty()) {
            return "refused: this router has no section 'fleet.drains' in its operator's file";
        }
        try {
            DrainCommand c = DrainCommandParser.command(
                    fields, setup.cluster(), world(), drains.get().plan());
            if (!drains.get().command(now, c)) {
                return "refused: too many commands wait to be taken";
            }
            // the keeper hears at once, but however often commands come, no more than four times a period
            planAt = Math.min(
                    planAt, Math.max(now, plannedAt + setup.membership().period() / 4));
            return "waits " + Long.toUnsignedString(c.id(), 16);
        } catch (DrainCommandParser.Wrong e) {
            return "refused: " + e.getMessage();
        }
    }

    // ---- what goes out --------------------------------------------------------------------------------

    private long send(String address, Body body) {
        long number = ++numbers;
        if (membership == null || membership.aside(now)) {
            return number;
        }
        RouterRecord self = membership.self().as(RouterStatus.ALIVE);
        int room = codec.room(self, body);
        // verdicts first: they are few, and under loss there is always more news of routers than a packet holds
        List<Ejection> told = verdictNews
                .take(
                        room / 2,
                        membership.times(),
                        m -> verdicts.on(m) == null
                                ? PacketCodec.LONGEST
                                : PacketCodec.size(verdicts.on(m).verdict()))
                .stream()
                .map(this::asItStands)
                .toList();
        int left = room - told.stream().mapToInt(PacketCodec::size).sum();
        int news = level == Level.FLAT ? left : reports(body) ? 0 : Math.min(left, CELL_NEWS);
        List<RouterRecord> routers = routerNews.take(news, membership.times(), PacketCodec::size);
        put(address, new Packet(self, number, body, routers, told));
        return number;
    }

    /** Whether it is one of the many that come to a grantor and go from it: in cells these carry no news of routers. */
    private static boolean reports(Body body) {
        return body instanceof Ask || body instanceof CellAsk || body instanceof Grant;
    }

    private Ejection asItStands(long member) {
        EjectionTable.Held h = verdicts.on(member);
        return h.verdict().withLeft(Math.max(0, h.until() - now));
    }

    private void put(String address, Packet packet) {
        byte[] bytes = codec.write(packet);
        sent++;
        sentBytes += bytes.length;
        outbox.add(new Datagram(address, bytes));
    }

    private void sendAll(String address, Predicate<RouterRecord> which) {
        RouterRecord self = membership.self().as(RouterStatus.ALIVE);
        int room = codec.room(self, new News());
        List<RouterRecord> routers = new ArrayList<>();
        List<Ejection> told = new ArrayList<>();
        int used = 0;
        Collection<RouterRecord> table = membership.table();
        for (RouterRecord n : table) {
            if (!which.test(n)) {
                continue;
            }
            if (used + PacketCodec.size(n) > room || routers.size() == 255) {
                put(address, new Packet(self, ++numbers, new News(), routers, told));
                routers = new ArrayList<>();
                used = 0;
            }
            routers.add(n);
            used += PacketCodec.size(n);
        }
        for (EjectionTable.Held h : verdicts.all()) {
            if (used + PacketCodec.size(h.verdict()) > room || told.size() == 255) {
                put(address, new Packet(self, ++numbers, new News(), routers, told));
                routers = new ArrayList<>();
                told = new ArrayList<>();
                used = 0;
            }
            told.add(asItStands(h.verdict().member()));
            used += PacketCodec.size(h.verdict());
        }
        put(address, new Packet(self, ++numbers, new News(), routers, told));
    }

    /** The packets to be sent, each given out once. */
    @Override
    public List<Datagram> takePackets() {
        return takeAll(outbox);
    }

    /** What the decisions are to be told, each given out once. */
    @Override
    public List<Event> takeEvents() {
        if (allowancesNew && !setup.limits().isEmpty()) {
            events.add(new LimitSharesUpdate(
                    leases.values().stream().map(this::allowance).toList()));
        }
        if (verdictsNew && setup.verdicts().isPresent()) {
            events.add(new EjectionsUpdate(out()));
        }
        allowancesNew = false;
        verdictsNew = false;
        return takeAll(events);
    }

    private LimitShare allowance(HeldLease lease) {
        FleetLimit limit = lease.limit();
        return new LimitShare(
                limit.member(),
                limit.measure(),
                lease.part(now, routers()),
                lease.leased(now) ? lease.until() : Long.MAX_VALUE,
                lease.after(routers()));
    }

    @Override
    public List<LogEvent> takeLogEvents() {
        return takeAll(notices);
    }

    private static <T> List<T> takeAll(List<T> list) {
        List<T> taken = List.copyOf(list);
        list.clear();
        return taken;
    }

    // ---- what can be seen -----------------------------------------------------------------------------

    /** Counters and the state in short, by name. */
    @Override
    public Map<String, String> fields() {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("fleet-routers", Integer.toString(routers()));
        fields.put("fleet-living", Integer.toString(membership.living().size() + 1));
        fields.put("fleet-grantor", grantor().name());
        fields.put("fleet-keeper", inOffice ? "yes" : "no");
        fields.put("fleet-term", Long.toString(votes.term()));
        fields.put("fleet-verdicts", Integer.toString(verdicts.standing(now).size()));
        fields.put("fleet-packets-out", Long.toString(sent));
        fields.put("fleet-bytes-out", Long.toString(sentBytes));
        fields.put("fleet-packets-in", Long.toString(heard));
        drains.ifPresent(d -> fields.putAll(d.fields(now)));
        dropped.forEach((what, count) -> fields.put("fleet-dropped-" + what, Long.toString(count)));
        return fields;
    }

    /** Rows for people and programs about one subject; empty where there is none of that name. */
    @Override
    public Optional<List<Map<String, Object>>> rows(String subject) {
        return switch (subject) {
            case "members" ->
                Optional.of(membership.table().stream().map(this::row).toList());
            case "limits" -> Optional.of(leases.values().stream().map(this::row).toList());
            case "verdicts" ->
                Optional.of(verdicts.all().stream().map(this::row).toList());
            case "drains" -> drains.map(d -> d.rows(world(), grantor().name()));
            case "drain-requests" -> drains.map(Drains::requestRows);
            default -> Optional.empty();
        };
    }

    private Map<String, Object> row(RouterRecord n) {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("name", n.name());
        row.put("address", n.address());
        row.put("standing", lower(n.standing()));
        row.put("incarnation", n.incarnation());
        row.put("instance", n.instance());
        row.put("since-ms", membership.since(n.name()) / 1_000);
        row.put("grantor", n.name().equals(grantor().name()));
        row.put("self", n.name().equals(setup.membership().name()));
        return row;
    }

    private Map<String, Object> row(HeldLease lease) {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("limit", lease.limit().name());
        row.put("member", nameOf(lease.limit().member()));
        row.put("measure", lower(lease.limit().measure()).replace('_', '-'));
        row.put("fleet", lease.limit().amount());
        row.put("part", lease.part(now, routers()));
        row.put("state", lease.leased(now) ? "leased" : "alone");
        row.put("left-ms", Math.max(0, lease.until() - now) / 1_000);
        row.put("grantor", lease.grantor());
        row.put(
                "counted",
                books.entrySet().stream()
                        .filter(b -> leases.get(b.getKey()) == lease)
                        .mapToDouble(b -> b.getValue().counted(routers()))
                        .sum());
        return row;
    }

    private Map<String, Object> row(EjectionTable.Held h) {
        Ejection v = h.verdict();
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("member", nameOf(v.member()));
        row.put("out", v.failing() && now < h.until());
        row.put("version", v.version());
        row.put("left-ms", Math.max(0, h.until() - now) / 1_000);
        row.put("accusers", v.accusers());
        row.put("cause", lower(v.cause()));
        row.put("strikes", v.strikes());
        row.put("fail-share", Math.round(v.failShare() * 1_000) / 1_000.0);
        row.put("keeper", v.keeper());
        row.put("heard-at-ms", h.heardAt() / 1_000);
        return row;
    }
}
