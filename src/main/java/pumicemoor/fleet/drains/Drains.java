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
import pumicemoor.fleet.Packet.Piece;
import pumicemoor.fleet.Packet.PlanGrant;
import pumicemoor.fleet.Packet.PlanReport;
import pumicemoor.fleet.Packet.Use;
import pumicemoor.fleet.drains.FleetSnapshot.Peer;
import pumicemoor.fleet.limits.LeaseTimes;

/**
 * One router's part in drains: it goes by the plan in force, tells the keeper what it holds and has under way, passes on
 * operators' commands, and writes the plan while it is the keeper itself. It owns the commands that are not taken yet and
 * until when this router is in touch with a keeper. What is to be sent goes to its outlet.
 */
public final class Drains {

    /** The most that may be out at once; what is under way at each of them fits a report. */
    public static final int MOST_OUT = 50;

    /** The most members of one request; a command fits a packet. */
    public static final int MOST_MEMBERS = 120;

    private static final int REMEMBERED = 8; // reports whose answer may come
    private static final int MOST_COMMANDS = 64; // not taken yet
    private static final long COMMAND_LIFE = 60_000_000; // microseconds that one is asked for again
    private static final int USES = 60; // members in a report
    private static final int ROUNDS = 4; // of writing at one sitting, where this router is a majority alone
    private static final String PIECE_DROPPED = "plan-piece";

    /** Where packets, terms and lines go. */
    public interface Outlet {

        /** A packet for an address; the number it was sent under is given back. */
        long send(String address, Body body);

        /** A term that was heard of. */
        void term(long term);

        void dropped(String what);

        /** What a person wants to know. */
        void changed(String text, Map<String, Object> figures);
    }

    /** What the decisions go by: members that nothing is sent to, and when those that came back did. */
    public record View(boolean settled, Set<Long> alone, Map<Long, Long> returned) {}

    /** What this router does with a member, asked when it is to be told. */
    public interface Usage {

        /** How many attempts are under way that ask the member or name it as a source. */
        int underWay(long member);

        /** How often lately it answered from what it holds. */
        double hits(long member);
    }

    private record Pending(DrainCommand command, long since) {}

    private final DrainTimes times;
    private final LeaseTimes leases;
    private final String self;
    private final long instance;
    private final long startedAt;
    private final Outlet outlet;
    private final PlanStore book = new PlanStore();
    private final PlanLeader keeper = new PlanLeader(book);
    private final RouterAcknowledgements audience;
    private final Map<Long, Pending> pending = new LinkedHashMap<>();
    private final Map<Long, Long> sentAt = new TreeMap<>(); // of reports, by their numbers
    private final Map<Long, String> causes = new HashMap<>(); // of steps being written, by member
    private final Map<Long, Long> returned = new TreeMap<>();
    private final Usage usage;
    private Plan logged = Plan.NONE;
    private View lastView;
    private long toldStamp; // of the plan that the decisions go by
    private long touchUntil;
    private boolean touched; // since the start
    private boolean cutOff; // when the decisions were last told
    private int nextUse;

    public Drains(
            DrainTimes times,
            LeaseTimes leases,
            String self,
            long instance,
            long startedAt,
            Usage usage,
            Outlet outlet) {
        this.times = times;
        this.leases = leases;
        this.self = self;
        this.instance = instance;
        this.startedAt = startedAt;
        this.usage = usage;
        this.outlet = outlet;
        this.audience = new RouterAcknowledgements(times, leases, self, keeper);
    }

    // ---- any router -----------------------------------------------------------------------------------

    /** The plan in force, as far as this router knows. */
    public Plan plan() {
        return book.applied();
    }

    /** Whether a plan is held that is not known to be in force, so that the keeper waits to hear of it. */
    public boolean inHaste() {
        return book.held().stamp() > book.applied().stamp() || !pending.isEmpty() || !touched;
    }

    /** Tells the keeper, or who is taken for it, what is held here; the commands that it has not taken go along. */
    public void report(long now, String address, long term) {
        long number =
                outlet.send(address, new PlanReport(term, book.held().stamp(), toldStamp, book.seasoned(), someUses()));
        sentAt.put(number, now);
        if (sentAt.size() > REMEMBERED) {
            sentAt.remove(sentAt.keySet().iterator().next());
        }
        forgetTaken(now);
        pending.values().forEach(p -> outlet.send(address, new DrainAsk(p.command())));
    }

    /** What is under way at members that drain; then, in turns, how much those that wait are in use. */
    private List<Use> someUses() {
        List<Use> uses = new ArrayList<>();
        List<DrainOrder> waiting = new ArrayList<>();
        for (DrainOrder o : book.applied().orders()) {
            if (o.phase() == Phase.DRAINING && uses.size() < USES) {
                uses.add(new Use(o.member(), usage.underWay(o.member()), 0));
            } else if (o.phase() == Phase.QUEUED) {
                waiting.add(o);
            }
        }
        for (int i = 0; i < waiting.size() && uses.size() < USES; i++) {
            long member = waiting.get(nextUse++ % waiting.size()).member();
            uses.add(new Use(member, 0, usage.hits(member)));
        }
        return uses;
    }

    private void forgetTaken(long now) {
        pending.values().removeIf(p -> now - p.since() > COMMAND_LIFE || taken(p.command()));
    }

    /** Whether the plan in force shows that a command was taken or has nothing left to do. */
    private boolean taken(DrainCommand c) {
        if (c.kind() == DrainCommand.Kind.REQUEST) {
            return book.applied().knows(c.id());
        }
        return c.members().stream().allMatch(m -> book.applied()
                .of(m)
                .map(o -> c.kind() == DrainCommand.Kind.DONE
                        ? o.fence() != c.fence()
                        : !o.phase().waits() && o.phase() != Phase.DRAINING)
                .orElse(true));
    }

    /** An operator's command; false where there are too many that wait to be taken. */
    public boolean command(long now, DrainCommand c) {
        forgetTaken(now);
        if (pending.size() >= MOST_COMMANDS) {
            return false;
        }
        pending.putIfAbsent(c.id(), new Pending(c, now));
        return true;
    }

    /** The answer of whom this router reports to. */
    public void answered(long now, String address, PlanGrant g) {
        Long left = sentAt.get(g.report());
        if (g.instance() != instance || left == null) {
            outlet.dropped("late-plan-grant");
            return;
        }
        outlet.term(g.term());
        if (g.office()) {
            book.inForce(g.inForce());
            if (book.applied().stamp() >= g.inForce()) {
                touch(left + leases.lease());
            }
            follow();
            logged = book.applied(); // its steps are logged where they are written
        }
        if (g.held() < book.held().stamp()) {
            sendPieces(address);
        }
    }

    private void touch(long until) {
        touchUntil = Math.max(touchUntil, until);
        touched = true;
    }

    /** Takes a piece of a plan; true where the plan is whole with it. */
    public boolean take(Piece p) {
        boolean whole = book.take(p.stamp(), p.index(), p.count(), p.bytes());
        if (whole) {
            outlet.term(Plan.term(book.held().stamp()));
        } else if (p.stamp() <= book.held().stamp()) {
            outlet.dropped(PIECE_DROPPED);
        }
        return whole;
    }

    private void sendPieces(String address) {
        List<byte[]> pieces = book.pieces();
        for (int i = 0; i < pieces.size(); i++) {
            outlet.send(address, new Piece(book.held().stamp(), i, pieces.size(), pieces.get(i)));
        }
    }

    private void follow() {
        book.applied().orders().stream()
                .filter(o -> o.phase() == Phase.RETURNING)
                .forEach(o -> returned.merge(o.member(), o.since(), Math::max));
    }

    /** Whether this process knows what is in force, or has waited for that as long as it may. */
    private boolean settled(long now) {
        return touched || now >= startedAt + leases.lease() + leases.guard();
    }

    /** Whether what the decisions go by may be another now; cheap, for it is asked at every input. */
    public boolean viewMayChange(long now) {
        return lastView == null
                || book.applied().stamp() != toldStamp
                || !lastView.settled()
                || cutOff != now >= touchUntil;
    }

    /** What the decisions are to go by from now on; null where that is as before. */
    public View takeView(long now, FleetSnapshot world) {
        world.targets().forEach((id, t) -> {
            if (returned.getOrDefault(id, Long.MAX_VALUE) <= t.started()) {
                returned.remove(id);
            }
        });
        returned.keySet()
                .removeIf(id -> !world.targets().containsKey(id)
                        && book.applied().of(id).isEmpty());
        toldStamp = book.applied().stamp();
        cutOff = now >= touchUntil;
        Set<Long> alone = new HashSet<>();
        Plan plan = touched ? book.applied() : book.held(); // who has heard of no keeper yet goes by what there is
        plan.orders().stream().filter(o -> leftAlone(o, now)).forEach(o -> alone.add(o.member()));
        View view = new View(settled(now), alone, Map.copyOf(returned));
        if (view.equals(lastView)) {
            return null;
        }
        lastView = view;
        return view;
    }

    /** Nothing is sent to who drains or is out; nor to who is named, by a router that may not hear how that went on. */
    private boolean leftAlone(DrainOrder o, long now) {
        return o.phase() == Phase.DRAINING || o.phase() == Phase.OUT || o.phase() == Phase.NAMED && now >= touchUntil;
    }

    public long nextDue(long now) {
        long settles = startedAt + leases.lease() + leases.guard();
        return Math.min(touchUntil > now ? touchUntil : Long.MAX_VALUE, settled(now) ? Long.MAX_VALUE : settles);
    }

    // ---- the keeper -----------------------------------------------------------------------------------

    /** A router's report, answered at once. */
    public void reported(FleetSnapshot world, Peer from, long number, PlanReport r) {
        outlet.term(r.term());
        outlet.term(Plan.term(r.held()));
        keeper.reported(
                from.name(), new PlanLeader.Report(from.instance(), r.term(), r.held(), r.applied(), r.seasoned()));
        audience.uses(from.name(), r.uses());
        sit(world);
        boolean office = world.term() > 0 && keeper.inForce() > 0;
        if (office) {
            audience.answered(from.name(), world.now());
        }
        outlet.send(
                from.address(),
                new PlanGrant(
                        number,
                        from.instance(),
                        world.term(),
                        office,
                        book.held().stamp(),
                        keeper.inForce()));
        if (r.held()
                < book.held().stamp()) { // also out of office: a process just started is better off with an old plan
            sendPieces(from.address());
        }
    }

    /** A command that another router passed on. */
    public void passedOn(FleetSnapshot world, DrainCommand c) {
        if (world.term() > 0) {
            command(world.now(), c);
            sit(world);
        }
    }

    /** Does what is to be done in office; out of it nothing. */
    public void sit(FleetSnapshot world) {
        audience.see(world, toldStamp, book.held());
        audience.uses(self, someUses());
        if (world.term() == 0) {
            keeper.leaveOffice();
            causes.clear();
            return;
        }
        boolean patient = world.now() - world.officeSince() >= times.gone();
        for (int i = 0; i < ROUNDS; i++) {
            if (keeper.sit(world.term(), world.routers(), patient)) {
                sendAll(world);
            }
            if (keeper.inForce() > 0) {
                touch(world.now() + leases.lease());
            }
            follow();
            if (keeper.stage() != PlanLeader.Stage.SETTLED) {
                return;
            }
            log(world);
            if (!writeNext(world)) {
                return;
            }
            sendAll(world);
        }
    }

    private void sendAll(FleetSnapshot world) {
        world.peers().stream().filter(p -> p.lives() && !p.name().equals(self)).forEach(p -> sendPieces(p.address()));
    }

    private boolean writeNext(FleetSnapshot world) {
        long stamp = keeper.nextStamp();
        Plan plan = book.held();
        List<PlanTransitions.Step> steps = new ArrayList<>();
        Map<Long, MemberKind> tiers = new HashMap<>();
        world.targets().forEach((id, t) -> tiers.put(id, t.tier()));
        world.peers().forEach(p -> tiers.put(p.id(), MemberKind.ROUTER));
        for (Pending p : pending.values()) {
            PlanTransitions.Outcome told = PlanTransitions.told(plan, p.command(), tiers, stamp, world.now());
            plan = told.plan();
            steps.addAll(told.steps());
        }
        PlanTransitions.Outcome next = PlanTransitions.after(plan, stamp, world.now(), world.majority(), audience);
        steps.addAll(next.steps());
        if (next.plan() == book.held()) {
            forgetTaken(world.now());
            return false;
        }
        steps.forEach(s -> causes.put(s.member(), s.cause()));
        keeper.write(next.plan());
        return true;
    }

    /** A line for each step, once it is in force; one that an earlier keeper wrote has no other cause here. */
    private void log(FleetSnapshot world) {
        Plan plan = book.applied();
        if (plan == logged) {
            return;
        }
        Map<Long, DrainOrder> before = new HashMap<>();
        logged.orders().forEach(o -> before.put(o.member(), o));
        for (DrainOrder o : plan.orders()) {
            DrainOrder was = before.remove(o.member());
            if (was == null || was.phase() != o.phase()) {
                line(world, o, was == null ? "none" : lower(was.phase()), lower(o.phase()));
            }
        }
        before.values().stream()
                .filter(o -> o.phase() != Phase.FINISHED)
                .forEach(o -> line(world, o, lower(o.phase()), "finished"));
        logged = plan;
        causes.clear();
    }

    private void line(FleetSnapshot world, DrainOrder o, String from, String to) {
        String cause = causes.getOrDefault(o.member(), "an earlier keeper wrote it");
        outlet.changed(
                "drain of " + name(world, o.member()) + ": " + to + ", " + cause,
                Map.of(
                        "member",
                        name(world, o.member()),
                        "tier",
                        lower(o.tier()),
                        "before",
                        from,
                        "phase",
                        to,
                        "fence",
                        o.fence(),
                        "plan",
                        book.applied().stamp(),
                        "out",
                        book.applied().out(),
                        "cause",
                        cause));
    }

    private static String lower(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }

    private static String name(FleetSnapshot world, long member) {
        FleetSnapshot.Target t = world.targets().get(member);
        return t != null
                ? t.name()
                : world.peers().stream()
                        .filter(p -> p.id() == member)
                        .map(Peer::asMember)
                        .findFirst()
                        .orElse(Long.toString(member));
    }

    // ---- what can be seen -----------------------------------------------------------------------------

    /** When a member came back that the decisions take for cold since; 0 for none. */
    public long returned(long member) {
        return lastView == null ? 0 : lastView.returned().getOrDefault(member, 0L);
    }

    /** Whether the decisions know whom to leave alone, or have waited for that as long as they may. */
    public boolean settled() {
        return lastView != null && lastView.settled();
    }

    /** The plan in force, member by member; what holds one up is known to the keeper alone. */
    public List<Map<String, Object>> rows(FleetSnapshot world, String keeperName) {
        audience.see(world, toldStamp, book.held());
        boolean office = world.term() > 0 && keeper.inForce() > 0;
        List<Map<String, Object>> rows = new ArrayList<>();
        for (DrainOrder o : book.applied().orders()) {
            Map<String, Object> row = new LinkedHashMap<>();
            row.put("member", name(world, o.member()));
            row.put("tier", lower(o.tier()));
            row.put("phase", lower(o.phase()));
            row.put("for-ms", Math.max(0, world.now() - o.since()) / 1_000);
            row.put("since-ms", o.since() / 1_000);
            row.put("fence", o.fence());
            row.put("confirmed", world.now() < touchUntil);
            row.put("overdue", o.phase() == Phase.OUT && world.now() - o.since() > times.overdue());
            row.put(
                    "held-up",
                    office
                            ? PlanTransitions.heldUp(book.applied(), o, world.now(), world.majority(), audience)
                            : "(ask " + keeperName + ")");
            rows.add(row);
        }
        return rows;
    }

    /** The requests that are open or were so lately, and this router's commands that nobody has taken. */
    public List<Map<String, Object>> requestRows() {
        List<Map<String, Object>> rows = new ArrayList<>();
        Plan plan = book.applied();
        plan.requests()
                .forEach(r -> rows.add(requestRow(
                        r.id(),
                        "open",
                        r.mostOut(),
                        r.leastServing(),
                        plan.orders().stream()
                                .filter(o -> o.isFor(r) && o.phase() != Phase.FINISHED)
                                .count())));
        plan.closed().forEach(id -> rows.add(requestRow(id, "ended", 0, 0, 0)));
        pending.values().stream()
                .filter(p -> !taken(p.command()))
                .forEach(p -> rows.add(requestRow(
                        p.command().id(),
                        "not-taken",
                        p.command().mostOut(),
                        p.command().leastServing(),
                        p.command().members().size())));
        return rows;
    }

    private static Map<String, Object> requestRow(long id, String state, int most, int least, long left) {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("id", Long.toUnsignedString(id, 16));
        row.put("state", state);
        row.put("max-at-once", most);
        row.put("min-serving", least);
        row.put("members-left", left);
        return row;
    }

    /** The state in short, by name. */
    public Map<String, String> fields(long now) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("drain-plan", Long.toString(book.applied().stamp()));
        fields.put("drain-out", Integer.toString(book.applied().out()));
        fields.put(
                "drain-waiting",
                Long.toString(book.applied().orders().stream()
                        .filter(o -> o.phase().waits())
                        .count()));
        fields.put("drain-in-touch", now < touchUntil ? "yes" : "no");
        return fields;
    }
}
