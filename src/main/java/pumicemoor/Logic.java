package pumicemoor;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * All decisions of one router. The interface, with its settings, events and actions, is in RouterApi.java.
 * The ordinary path, after Coral: a request goes to its object's hashed edge cache of the location. On a
 * miss there it names as fill source a sibling seen holding or filling the object, else the object's hashed
 * parent, else the origin. Everything else here is a departure that acts when something is wrong.
 */
public final class Logic implements RouterApi {
    private static final long MILLI = 1_000; // microseconds
    private static final long SECOND = 1_000_000; // microseconds
    private static final long TICK = 20 * MILLI; // sweep for overdue work; far below any aim
    private static final int HOLDERS = 4; // caches remembered an object; the design's start
    private static final long FILLING_LIFE = 20 * SECOND; // a reference to a fill; the design's start
    private static final long HOLDING_LIFE = 30 * SECOND; // a reference to a copy; the design's start
    private static final int OBJECTS = 20_000; // objects remembered; bounds memory
    private static final int NOTES_A_MINUTE = 12; // peer notes an object; the design's figure
    private static final int NOTE_BYTES = 256; // longest peer note that is sent
    private static final double RETRY_SHARE = 0.2; // further attempts earned by a request
    private static final double RETRY_BURST = 40; // that a location's routers may save up: one cache's work
    private static final int ATTEMPTS = 7; // attempts for a request at most, those that only look too
    private static final double QUICK_AIM = 0.2; // a failure within this share of the tightest aim is quick
    private static final int QUICK_FAILURES = 2; // quick failures of a request before it tries elsewhere
    private static final int STRIKES = 2; // failures in a row that take a member out
    private static final double FAIL_SHARE = 0.75; // share of failures that takes a member out
    private static final double FAIL_GAIN = 0.15; // weight of the newest outcome in that share
    private static final long DOWN_FIRST = SECOND; // first time out; doubled each time
    private static final long DOWN_LONGEST = 8 * SECOND; // longest time out
    private static final long PATIENCE = 250 * MILLI; // least time before silence counts
    private static final double PATIENCE_WORK = 4; // times the expected time, before silence counts
    private static final double MEAN_GAIN = 0.05; // weight of the newest in averages
    private static final double CREW_SPAN = 700 * MILLI; // a fellow router; its load is ours over so long
    private static final double CREW_GAIN = 0.2; // largest LATE_GAIN: one late attempt alone cuts nothing
    private static final double LIMIT_START = 48; // attempts a member of untold size may have of a location
    private static final double LIMIT_WEIGHT = 2; // that guess over the weight, where weights are told
    private static final double LIMIT_PARENT = 2; // that guess for a parent, times, over all locations
    private static final double LIMIT_LEAST = 2; // never fewer, so that recovery shows
    private static final double LIMIT_CUT = 0.8; // factor on the limit when attempts come late
    private static final double LATE_GAIN = 0.1; // weight of the newest attempt in the share that is late
    private static final double LATE_BORNE = 0.2; // share that may be late before the limit falls
    private static final double LARGE_LESS = 0.6; // share of a limit closed to the largest requests
    private static final double ORIGIN_PART = 0.5; // a fill from a parent counts so much on the origin
    private static final int WAITERS = 8; // waiting requests tried again when an attempt ends
    private static final double COLD_SAFETY = 0.65; // share of a cold member's budget that is used
    private static final double COLD_BURST = 0.25; // of the budget of a span that may be saved up
    private static final double FLOW_SPAN = 5 * SECOND; // over which the work served is averaged
    private static final double COLD_WIDTH = 3; // transfers that a member of unknown size is taken for
    private static final double COLD_SMALLER = 0.5; // such a member against the mean of the warm ones
    private static final double RETRY_AFTER_AIM = 0.5; // advice to come back after this share of the aim
    private static final int LONGEST_WAY = 8; // members that a source's fill may pass through
    private static final long TOLD_BY = 7 * SECOND; // what is purged counts as told by then, heard or not
    private static final int PURGE_LIVES = 3; // purges are kept this many times purgeDone
    private static final double QUOTA_SPAN = 100 * MILLI; // of the fleet's limits that may be saved up

    private final Settings settings;
    private final boolean weighted;
    private final long tightestAim;
    private final int crew; // routers of this location; they act alike, so ours times crew stands for all
    private final Random random;
    private final Map<Long, Node> nodes = new TreeMap<>();
    private List<Node> caches = List.of(), parents = List.of(); // listed, caches of this location only
    private Node origin;
    private Map<Long, FillSources> given = Map.of(); // who may be filled from whom; empty: by the list alone
    private final Quotas quotas = new Quotas(QUOTA_SPAN); // what this router may have of the fleet's limits
    private List<EjectedMember> verdicts; // members out by the fleet's word; null: nobody asks for ours
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final Map<String, Entry> table = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Entry> eldest) {
            return size() > OBJECTS;
        }
    };
    private final TreeSet<Job> waiting =
            new TreeSet<>(Comparator.comparingDouble((Job j) -> -j.priority).thenComparingLong(j -> j.number));
    private final Map<String, Long> purgedObjects = new LinkedHashMap<>();
    private final Map<Integer, Long> purgedGroups = new LinkedHashMap<>();
    private final Set<Integer> nearPeers = new TreeSet<>(); // routers that told of caches of this location
    private final double[] meanWork;
    private double fillWait = PATIENCE; // time that a fill adds to a transfer, lately
    private double meanPriority, retryTokens;
    private boolean ticking;
    private long arrivals, lastFill, now, watchAgainAt = Long.MAX_VALUE, heardAt = Long.MAX_VALUE;
    private Consumer<Action> out;

    /** A member of the list and what its outcomes have shown. */
    private static final class Node {
        Member member;
        boolean listed; // ready by the list
        double load, limit, lateShare; // what it has of ours, may have of all, and the share that came late
        double meanLoad, failShare; // what it has of ours over a while, as of loadAt; of failures
        long loadAt, cutAt, pressedAt = Long.MIN_VALUE / 2; // when the limit fell, when it held a request up
        int open, asked, strikes; // attempts that are out, that may reach it at all, failures in a row
        long lastAnswer, struckAt, downUntil, downFor, coldFrom;
        double flow, credit; // work served lately, in transfers, as of flowAt; budget left while cold
        long flowAt, creditAt;
    }

    /** A request that is owed an answer, or whose attempts are still out. */
    private static final class Job {
        RequestArrived request;
        RequestClass type;
        String key; // object and part
        double work, priority; // time to send it at full pace, worth for that
        long number, startBy, deadline; // startBy: after this it can't be on time
        int attempts, quickFailures;
        boolean mayHaveRun, closed, streaming, missed, parentMissed; // a look found none here, there
        boolean stale, retry; // an old copy will do now; the next attempt is a further one, on the budget
        final Map<Integer, Attempt> open = new TreeMap<>();
        final Set<Long> failed = new HashSet<>();
    }

    /** An attempt that is out, and the shares of it that count on the limits of members. */
    private static final class Attempt {
        int number;
        Node target, source, blamed; // blamed: for being late, so far
        long sent, lateFrom, due; // due: silence counts from here
        boolean overdue, cancelled, expectHit, look, lookAtParent, away;
        final Map<Node, Double> charges = new LinkedHashMap<>();
    }

    /** What is remembered of an object (or part): who holds it, how often it was asked for. */
    private static final class Entry {
        final List<Holder> holders = new ArrayList<>();
        int seen, notes;
        long noteMinute;
    }

    private record Holder(Node node, long started, long since, long until) {}

    public Logic(Settings settings, long salt) {
        this.settings = settings;
        this.random = new Random(salt);
        this.crew = settings.routersByLocation().isEmpty()
                ? settings.routers()
                : Math.max(1, settings.routersByLocation().get(settings.location()));
        this.retryTokens = Math.max(1, RETRY_BURST / crew);
        this.weighted = settings.weights() == WeightMeaning.NOMINAL || settings.weights() == WeightMeaning.ROUGH;
        this.tightestAim =
                settings.classes().stream().mapToLong(RequestClass::latencyTarget).min().orElse(0);
        this.meanWork = new double[settings.classes().size()];
    }

    @Override
    public void handle(long time, Event event, Consumer<Action> sink) {
        now = time;
        out = sink;
        if (!ticking) {
            ticking = true;
            out.accept(new SetTimer(TICK, 0));
            if (settings.watchMembers()) {
                out.accept(new WatchMembers(true));
            }
        }
        if (event instanceof RequestArrived e) {
            arrived(e);
        } else if (event instanceof AttemptEnded e) {
            ended(e);
        } else if (event instanceof RequestAbandoned e && jobs.containsKey(e.id())) {
            close(jobs.get(e.id()));
        } else if (event instanceof TimerDue) {
            tick();
        } else if (event instanceof MemberListUpdate e) {
            listed(e);
        } else if (event instanceof Purged e && e.object() == null) {
            purgedGroups.merge(e.group(), now - e.age(), Math::max);
        } else if (event instanceof Purged e) {
            purgedObjects.merge(e.object(), now - e.age(), Math::max);
        } else if (event instanceof DiscoveryHeartbeat) {
            heardAt = now;
        } else if (event instanceof AnswerStarted e && jobs.containsKey(e.id())) {
            jobs.get(e.id()).streaming = true;
        } else if (event instanceof PeerMessage e) {
            peerNote(e);
        } else if (event instanceof FillSourcesUpdate e) {
            given = e.lists();
        } else if (event instanceof LimitSharesUpdate e) {
            quotas.follow(e.shares(), now);
        } else if (event instanceof EjectionsUpdate e) {
            verdicts = e.ejected();
        }
    }

    private void listed(MemberListUpdate e) {
        if (e.kind() == MemberListKind.FAILED) {
            watchAgainAt = now + SECOND;
        } else if (e.kind() != MemberListKind.DELTA) {
            nodes.values().forEach(n -> n.listed = false);
        }
        for (Member m : e.members()) {
            Node n = nodes.get(m.id());
            if (n == null || n.member.started() != m.started()) {
                if (n != null) {
                    n.listed = false; // what was known of the process before its restart is void
                }
                n = new Node();
                n.limit = weighted ? LIMIT_WEIGHT * m.weight() : LIMIT_START;
                if (weighted && m.role() == Role.PARENT) { // all locations share it
                    n.limit *= LIMIT_PARENT * crew / Math.max(1, settings.routers());
                }
                n.limit = Math.max(LIMIT_LEAST, n.limit);
                nodes.put(m.id(), n);
            }
            n.member = m;
            n.listed = m.state() == State.READY;
            n.coldFrom = Math.max(n.coldFrom, m.started());
        }
        nodes.values().removeIf(n -> !n.listed && n.member.state() != State.DRAINING);
        caches = listed(Role.CACHE)
                .filter(n -> n.member.zone() == settings.location())
                .toList();
        parents = listed(Role.PARENT).toList();
        origin = listed(Role.ORIGIN).findFirst().orElse(null);
    }

    private Stream<Node> listed(Role role) {
        return nodes.values().stream().filter(n -> n.listed && n.member.role() == role);
    }

    private void arrived(RequestArrived r) {
        Job job = new Job();
        job.request = r;
        job.type = settings.classes().get(r.requestClass());
        job.key = r.object() + '#' + r.part();
        job.number = arrivals++;
        double mean = meanWork[r.requestClass()];
        job.work = mean > 0 ? mean : job.type.latencyTarget(); // guesses too small make all seem late
        if (r.sizeKb() > 0 && settings.fills().transferKbPerSecond() > 0) {
            job.work = r.sizeKb() / settings.fills().transferKbPerSecond() * SECOND;
            meanWork[r.requestClass()] = mean == 0 ? job.work : mean + MEAN_GAIN * (job.work - mean);
        }
        job.priority = job.type.value() / job.work;
        meanPriority += (meanPriority == 0 ? 1 : MEAN_GAIN) * (job.priority - meanPriority);
        job.deadline = now + r.timeLeft();
        job.startBy = Math.min(
                job.deadline - 2 * TICK,
                now + (long) (job.type.latencyTarget() + (job.type.latencyTargetStretch() - 1) * job.work - fillWait));
        jobs.put(r.id(), job);
        retryTokens = Math.min(Math.max(1, RETRY_BURST / crew), retryTokens + RETRY_SHARE);
        entry(job).seen++;
        route(job);
    }

    private void tick() {
        out.accept(new SetTimer(TICK, 0));
        if (now >= watchAgainAt) {
            watchAgainAt = Long.MAX_VALUE;
            out.accept(new WatchMembers(true));
        }
        quotas.told(now, id -> nodes.containsKey(id) ? nodes.get(id).asked : 0, out::accept);
        List.copyOf(waiting).forEach(this::route);
        for (Job job : new ArrayList<>(jobs.values())) {
            for (Attempt a : job.open.values()) {
                if (a.blamed == null && now >= a.lateFrom) {
                    tooMuch(a, null);
                }
                if (!a.overdue && now >= a.due) {
                    a.overdue = true;
                    overdue(job, a);
                }
            }
        }
        Predicate<Long> settled =
                at -> at < now - PURGE_LIVES * settings.rules().purgeSettleTime();
        purgedObjects.values().removeIf(settled);
        purgedGroups.values().removeIf(settled);
    }

    /** Sends the next attempt, holds the request, or gives it up. Uncacheable classes run at the origin. */
    private void route(Job job) {
        waiting.remove(job);
        if (job.closed || job.streaming || !job.open.isEmpty()) {
            return;
        }
        boolean direct = settings.fills().direct();
        Node edge = edge(job);
        if (job.attempts >= Math.min(ATTEMPTS, settings.limits().maxAttempts())
                || job.retry && retryTokens < 1
                || job.quickFailures > QUICK_FAILURES + 1 // it fails wherever it is sent
                || now >= job.deadline
                || job.mayHaveRun && job.type.idempotency() != Idempotency.SAFE) {
            giveUp(job);
        } else if (job.type.uncacheable() && origin != null && (direct || edge != null)) {
            send(
                    job,
                    direct ? origin : edge,
                    origin,
                    direct ? new Lookup(job.request.id(), origin.member.id(), 0) : get(job, edge, origin, false));
        } else if (job.type.uncacheable()
                || edge == null && !direct && caches.stream().noneMatch(this::up)) {
            giveUp(job);
        } else if (edge != null) {
            fetch(job, edge);
        } else {
            passBy(job);
        }
    }

    /** With no cache that has room, past the caches, where allowed, to a parent or the origin with room. */
    private void passBy(Job job) {
        Node source = settings.fills().direct() ? source(job, null) : null;
        if (source == null || full(source, 1, job)) {
            hold(job);
        } else if (source.member.role() == Role.ORIGIN) {
            send(job, source, source, new Lookup(job.request.id(), source.member.id(), 0));
        } else {
            List<Node> way = way(job, source, null);
            Node behind = !way.isEmpty() ? way.get(0) : origin == null ? source : origin;
            send(job, source, behind, get(job, source, behind, false));
        }
    }

    /** The ordinary path. While the source is full, the request first looks whether the cache, then the
     * parent, holds a copy, and only then waits for its turn to fill. */
    private void fetch(Job job, Node edge) {
        Node found = source(job, edge);
        Node source = found == null ? edge : found;
        boolean full = source != edge && full(source, 1, job);
        boolean originFull = source.member.role() == Role.PARENT
                && origin != null
                && full(origin, job.parentMissed ? 1 : ORIGIN_PART, job);
        if ((full || originFull) && !job.missed) {
            send(job, edge, edge, get(job, edge, edge, false));
        } else if (full || originFull && job.parentMissed) {
            hold(job);
        } else {
            if (!holds(entry(job), job, edge)) {
                remember(entry(job), edge, -1, now + FILLING_LIFE);
            }
            send(job, edge, source, get(job, edge, source, originFull));
        }
    }

    /** An attempt that may fill. One-time objects, and parts, rank below objects asked for again. */
    private Fetch get(Job job, Node target, Node source, boolean onlyIfHeld) {
        boolean kept = target.member.role() == Role.CACHE && !job.type.uncacheable();
        return new Fetch(
                job.request.id(),
                target.member.id(),
                source.member.id(),
                !kept ? 0 : job.type.parts() ? 1 : Math.min(2, entry(job).seen),
                oldest(job),
                settings.fills().joins(),
                onlyIfHeld,
                false,
                job.type.freshFor() > 0 && source != target && !onlyIfHeld,
                0,
                source == target || onlyIfHeld
                        ? List.of()
                        : way(job, source, target).stream()
                                .map(n -> n.member.id())
                                .toList());
    }

    /** The hashed edge cache; while that is out, cold or full, a holder with room, else one half idle. */
    private Node edge(Job job) {
        List<Node> order = ranked(caches, job.key, Map.of());
        order.removeIf(n -> !up(n) || !coldRoom(n, job));
        if (order.stream().anyMatch(n -> !job.failed.contains(n.member.id()))) {
            order.removeIf(n -> job.failed.contains(n.member.id()));
        }
        for (Node n : order) {
            if (!full(n, 1, job) && (n == order.get(0) || holds(entry(job), job, n))) {
                return n;
            }
        }
        return order.stream()
                .filter(n -> !full(n, n.limit / 2, job))
                .findFirst()
                .orElse(null);
    }

    /** The fill source: a remembered sibling, else the object's hashed parent, else the origin. Past a parent
     * that is late and full goes what another, neither late nor full, can take: one may be slow by itself. */
    private Node source(Job job, Node edge) {
        Predicate<Node> usable = n -> up(n) && !job.failed.contains(n.member.id()) && coldRoom(n, job);
        if (edge != null && settings.fills().siblings() != SiblingScope.NONE) {
            for (Holder h : entry(job).holders) {
                if (h.node != edge && alive(h, job) && usable.test(h.node) && mayWait(job, edge, h)) {
                    return h.node;
                }
            }
        }
        List<Node> order =
                parents(edge, job.request.object()).stream().filter(usable).toList();
        Node home = order.isEmpty() ? origin : order.get(0);
        return order.isEmpty() || home.lateShare <= LATE_BORNE || !full(home, 1, job)
                ? home
                : order.stream()
                        .filter(n -> n.lateShare <= LATE_BORNE / 2 && !full(n, 1, job))
                        .findFirst()
                        .orElse(home);
    }

    /** A cache's parents in the order of the object: all listed, or those given, by how far it has moved. */
    private List<Node> parents(Node child, String object) {
        FillSources list = list(child);
        if (list == null) {
            return ranked(parents, object, Map.of());
        }
        List<Node> to = ranked(list.current(), object), from = ranked(list.previous(), object);
        boolean moved = from.isEmpty() || !to.isEmpty() && moved(list, to.get(0), object);
        Set<Node> order = new LinkedHashSet<>(moved ? to : from);
        order.addAll(moved ? from : to);
        return new ArrayList<>(order);
    }

    private FillSources list(Node child) {
        FillSources own = child == null ? null : given.get(child.member.id());
        return own != null || child != null && child.member.role() != Role.CACHE
                ? own
                : given.get(FillSourcesUpdate.LOCATION);
    }

    private List<Node> ranked(List<FillSource> sources, String object) {
        Map<Node, Double> weights = new LinkedHashMap<>();
        sources.stream()
                .filter(s -> nodes.containsKey(s.member()) && nodes.get(s.member()).listed)
                .forEach(s -> weights.put(nodes.get(s.member()), s.weight()));
        return ranked(weights.keySet(), object, weights);
    }

    /** Whether an object has moved to its new home; it does once, at its own place in the rising share. */
    private boolean moved(FillSources list, Node home, String object) {
        FillSource s = list.current().stream()
                .filter(n -> n.member() == home.member.id())
                .findFirst()
                .orElseThrow();
        double place = (Hashes.mix(~Hashes.fnv(object)) >>> 11) * 0x1.0p-53;
        double span = s.rampEnd() - s.rampStart();
        double passed = span <= 0 ? 1 : (now - s.rampStart()) / span;
        return (list.reverting() ? 1 - place : place) < s.share() + (1 - s.share()) * Math.max(0, passed);
    }

    /** What a source is to fill from on its way to the origin; at first, for a moved object, its old home. */
    private List<Node> way(Job job, Node source, Node child) {
        List<Node> way = new ArrayList<>();
        Predicate<Node> usable = n -> up(n) && !job.failed.contains(n.member.id()) && coldRoom(n, job);
        FillSources moving = source.member.role() == Role.PARENT ? list(child) : null;
        List<Node> old = moving == null ? List.of() : ranked(moving.earlier(), job.request.object());
        for (Node at = source; at != null && given.containsKey(at.member.id()) && way.size() < LONGEST_WAY; ) {
            Node home = at != source || old.isEmpty() ? null : old.get(0);
            boolean seeded = home != null
                    && usable.test(home)
                    && given.get(at.member.id()).seeds().contains(home.member.id());
            at = seeded
                    ? home
                    : parents(at, job.request.object()).stream()
                            .filter(usable)
                            .findFirst()
                            .orElse(null);
            if (at != null && at.member.role() != Role.ORIGIN) {
                way.add(at);
            }
        }
        return way;
    }

    /** Whether a fill may wait for this one's: where sources are given, only in the object's order. */
    private boolean mayWait(Job job, Node edge, Holder h) {
        List<Node> order = given.isEmpty() || h.since >= 0 ? List.of() : ranked(caches, job.key, Map.of());
        return order.indexOf(h.node) <= order.indexOf(edge);
    }

    /** Whether a member has as much of ours as it can serve in time. The more work a request is for its
     * worth, the sooner it finds a member full: a few large ones fill a link that would serve many small
     * ones. */
    private boolean full(Node n, double share, Job job) {
        double small = job.priority / (job.priority + meanPriority);
        boolean full = !allowed(n, job) || crewLoad(n) + share > n.limit * (1 - LARGE_LESS * (1 - small));
        n.pressedAt = full ? now : n.pressedAt;
        return full;
    }

    /** Whether the fleet's limits leave this router an attempt that may reach a member. */
    private boolean allowed(Node n, Job job) {
        return quotas.room(now, n.member.id(), warm(n), n.asked, job.number, away(n));
    }

    private boolean away(Node n) {
        return n.member.zone() != settings.location();
    }

    /** Without room a request waits while it can be on time, most worth for its size first. */
    private void hold(Job job) {
        if (now < job.startBy) {
            waiting.add(job);
        } else {
            giveUp(job);
        }
    }

    private void send(Job job, Node target, Node source, Action action) {
        Attempt a = new Attempt();
        a.number = job.attempts;
        a.target = target;
        a.source = source;
        a.sent = now;
        a.look = source == target && target.member.role() == Role.CACHE;
        a.lookAtParent = action instanceof Fetch f && f.onlyIfCached();
        a.expectHit = a.look || holds(entry(job), job, target);
        a.lateFrom = now + (a.expectHit ? job.type.latencyTarget() : tightestAim) + (long) (job.type.latencyTargetStretch() * job.work);
        a.due = now + PATIENCE + (long) (PATIENCE_WORK * (job.work + (a.expectHit ? 0 : fillWait)));
        a.charges.put(target, 1.0);
        if (source != target) {
            a.charges.put(source, a.expectHit ? 0.0 : 1.0);
            if (source.member.role() == Role.PARENT && !a.lookAtParent && origin != null) {
                a.charges.put(origin, a.expectHit ? 0 : job.parentMissed ? 1 : ORIGIN_PART);
            }
            if (action instanceof Fetch f) {
                f.fillPath().forEach(n -> a.charges.putIfAbsent(nodes.get(n), a.expectHit ? 0 : ORIGIN_PART));
            }
        }
        if (!a.charges.keySet().stream().allMatch(n -> allowed(n, job))) {
            hold(job); // all that it may reach count in full, also where a hit is expected
            return;
        }
        retryTokens -= job.retry ? 1 : 0;
        job.retry = false;
        job.attempts++;
        job.mayHaveRun = true;
        job.open.put(a.number, a);
        target.open++;
        a.charges.forEach((n, share) -> charge(job, n, share));
        a.away = a.charges.keySet().stream().anyMatch(this::away);
        quotas.begin(a.away);
        out.accept(action);
    }

    /** What the routers of this location have at a member, as far as ours shows it: at once where it is
     * alone, else over a while, since one request of ours doesn't mean that each of the others has one
     * too. */
    private double crewLoad(Node n) {
        n.meanLoad +=
                (n.load - n.meanLoad) * (crew == 1 ? 1 : 1 - Math.exp((n.loadAt - now) / (CREW_SPAN * (crew - 1))));
        n.loadAt = now;
        return crew * n.meanLoad;
    }

    private void charge(Job job, Node n, double share) {
        crewLoad(n);
        n.load += share;
        n.asked++;
        n.credit -= countedWork(n, job);
        quotas.spend(n.member.id());
    }

    /** What a member has served is what it can bear, however much it is sent. */
    private void flowed(Node n, Job job) {
        n.flow = n.flow * Math.exp((n.flowAt - now) / FLOW_SPAN) + countedWork(n, job) / FLOW_SPAN;
        n.flowAt = now;
    }

    private void ended(AttemptEnded e) {
        Job job = jobs.get(e.id());
        Attempt a = job == null ? null : job.open.remove(e.attempt());
        if (a == null) {
            return;
        }
        a.target.open--;
        a.charges.forEach((n, share) -> {
            crewLoad(n);
            n.asked--;
            n.load = Math.max(0, n.load - share);
        });
        quotas.end(a.away, away(a.target) || e.filled(!a.expectHit) ? e.kb() : 0);
        job.mayHaveRun = !e.outcome().provesNotRun || !job.open.isEmpty();
        judge(job, a, e);
        if (e.closed()) {
            close(job);
        } else if (!job.closed) {
            route(job);
        } else if (job.open.isEmpty()) {
            jobs.remove(e.id());
        }
        waiting.stream().limit(WAITERS).toList().forEach(this::route);
    }

    /** Learns from an outcome: who holds what, who is slow, who has failed. */
    private void judge(Job job, Attempt a, AttemptEnded e) {
        job.retry = true;
        if (e.outcome() == Outcome.OK) {
            served(job, a, e);
        } else if (e.outcome() == Outcome.MISS && (a.look || a.lookAtParent)) {
            good(a.target);
            job.retry = false;
            job.missed = true;
            job.parentMissed = a.lookAtParent;
            if (a.look) {
                forget(entry(job), a.target);
            }
        } else if (e.outcome() == Outcome.MISS) {
            good(a.target);
            job.failed.add(a.source.member.id());
            forget(entry(job), a.source);
        } else if (e.fillResult().ordinal() >= FillResult.SOURCE_REFUSED.ordinal()) {
            good(a.target);
            forget(entry(job), a.source);
            failed(job, a, a.source, e.latency());
            if (e.fillResult() != FillResult.NO_PLACE) {
                tooMuch(a, e.fillResult() == FillResult.ORIGIN_FAILED ? null : a.source);
            }
        } else if (e.outcome() == Outcome.FULL) {
            a.target.lastAnswer = now;
            paced(a.target, a, true);
            job.failed.add(a.target.member.id());
        } else if (e.outcome() == Outcome.ERROR) {
            a.target.lastAnswer = now;
            failed(job, a, a.target, e.latency());
        } else if (e.outcome() == Outcome.CONNECT_FAILED || e.outcome() == Outcome.RESET) {
            job.failed.add(a.target.member.id());
            forget(entry(job), a.target);
            if (a.sent >= a.target.struckAt) { // what was out when one broke tells of the same trouble
                a.target.struckAt = now;
                strike(a.target, e.outcome() == Outcome.CONNECT_FAILED); // who resets is there, warm
            }
        } else if (e.outcome() == Outcome.TIMEOUT // a client that left early tells nothing of the member
                || e.outcome() == Outcome.CANCELLED && (!job.closed || now >= a.lateFrom)) {
            tooMuch(a, null);
            Node guilty = a.target.lastAnswer < a.sent ? a.target : a.source;
            job.failed.add(guilty.member.id());
            forget(entry(job), guilty);
        }
    }

    private void served(Job job, Attempt a, AttemptEnded e) {
        boolean hit =
                e.fillResult() == FillResult.HIT || e.fillResult() == FillResult.STALE || e.fillResult() == FillResult.NONE && a.expectHit;
        boolean late = now > a.lateFrom;
        good(a.target);
        flowed(a.target, job);
        if (hit) {
            int type = job.request.requestClass();
            if (job.request.sizeKb() <= 0 && a.target.lateShare < LATE_BORNE) {
                double slow = weighted ? Math.max(1, crewLoad(a.target) / a.target.member.weight()) : 1;
                double gain = meanWork[type] == 0 ? 1 : MEAN_GAIN;
                meanWork[type] += gain * (e.latency() / slow - meanWork[type]);
            }
            paced(a.target, a, late);
        } else if (a.source != a.target) {
            good(a.source);
            flowed(a.source, job);
            lastFill = now;
            fillWait += MEAN_GAIN * (Math.max(0, e.latency() - job.work) - fillWait);
            boolean byOrigin = e.fillResult() == FillResult.FILLED_BY_ORIGIN;
            paced(byOrigin && origin != null ? origin : a.source, a, late);
            if (!late && unnamedBehind(a)) {
                paced(origin, a, false);
            }
        } else if (a.target == origin) { // may be all that shows its state, where notes are few
            paced(origin, a, late);
        }
        if (!job.type.uncacheable() && a.target.member.role() == Role.CACHE) {
            remember(entry(job), a.target, now, now + HOLDING_LIFE);
            tellPeers(job, a.target);
        }
    }

    /** Counts an attempt late: for whom a note names, else once for the likely cache, source or origin. */
    private void tooMuch(Attempt a, Node known) {
        boolean behindParent = settings.fills().fillReporting() == FillReporting.ALL
                && origin != null
                && a.source.member.role() == Role.PARENT
                && origin.lateShare >= a.source.lateShare;
        if (known == a.source || a.blamed == null) {
            paced(known != null ? known : a.expectHit ? a.target : behindParent ? origin : a.source, a, true);
            if (known == null
                    && !a.expectHit
                    && unnamedBehind(a)
                    && parents.stream().noneMatch(p -> up(p) && p.lateShare <= LATE_BORNE)) {
                paced(origin, a, true); // what comes late from all parents has one cause behind them
            }
        }
    }

    /** Whether a parent's fill may have come from the origin with no note to tell. */
    private boolean unnamedBehind(Attempt a) {
        return settings.fills().fillReporting() != FillReporting.ALL && origin != null && a.source.member.role() == Role.PARENT;
    }

    /** The limit of what a member has of ours, against any jam: it falls when an attempt sent after the last
     * fall comes late or not at all, and rises slowly while it is used and all is on time. */
    private void paced(Node n, Attempt a, boolean late) {
        if (late && a.blamed == n) {
            return;
        }
        a.blamed = late ? n : a.blamed;
        n.lateShare += Math.min(CREW_GAIN, LATE_GAIN * Math.sqrt(crew)) * ((late ? 1 : 0) - n.lateShare);
        if (!late) {
            // nobody tells the origin's size: its limit doubles in a round trip until it falls first
            double rise = n == origin && n.cutAt == 0 ? crew : crew / n.limit;
            n.limit += now - n.pressedAt < SECOND ? rise : 0;
        } else if (a.sent > n.cutAt && n.lateShare > LATE_BORNE) {
            n.limit = Math.max(LIMIT_LEAST, n.limit * LIMIT_CUT);
            n.cutAt = now;
        }
    }

    /** Silence, whatever its cause: nothing has come from the target (else from the source) since the attempt
     * went out, though it should have, while others were heard. The request moves on; two such in a row take
     * the member out. While all sources are silent, none is blamed: then what lies behind them is. */
    private void overdue(Job job, Attempt a) {
        boolean targetSilent = a.target.lastAnswer < a.sent;
        Node guilty = targetSilent && (a.expectHit || a.source.lastAnswer >= a.sent)
                ? a.target
                : !targetSilent && !a.expectHit && a.source.lastAnswer < a.sent && lastFill >= a.sent ? a.source : null;
        if (guilty != null) {
            strike(guilty, true);
            cancel(job, a);
        }
    }

    /** A failure that came quickly has cost little: the same member, which has the object, is tried again,
     * and only one that fails most of what it gets is left. A failure that took its time is a strike. */
    private void failed(Job job, Attempt a, Node n, long latency) {
        n.failShare += job.quickFailures > 0 ? 0 : FAIL_GAIN * (1 - n.failShare); // each request tells once
        if (n.failShare > FAIL_SHARE) {
            down(n, false);
        }
        if (latency > QUICK_AIM * tightestAim) {
            strike(n, false);
        }
        if (latency > QUICK_AIM * tightestAim || ++job.quickFailures > QUICK_FAILURES) {
            job.failed.add(n.member.id());
        }
    }

    private void strike(Node n, boolean lost) {
        if (++n.strikes >= STRIKES) {
            down(n, lost);
        }
    }

    private void down(Node n, boolean lost) {
        if (now < n.downUntil) {
            return;
        }
        n.downFor = Math.min(DOWN_LONGEST, n.downFor == 0 ? DOWN_FIRST : 2 * n.downFor);
        n.downUntil = now + n.downFor;
        n.failShare = FAIL_SHARE / 2;
        if (lost) {
            n.coldFrom = Math.max(n.coldFrom, n.downUntil);
        }
        judged(n, true, lost, " is out for " + n.downFor / MILLI + " ms");
    }

    private void good(Node n) {
        n.lastAnswer = now;
        n.strikes = 0;
        n.failShare -= FAIL_GAIN * n.failShare;
        if (n.downFor > 0 && now >= n.downUntil) {
            n.downFor = 0;
            judged(n, false, false, " is back");
        }
    }

    private void judged(Node n, boolean failing, boolean silent, String what) {
        out.accept(new Log("member " + n.member.id() + what));
        if (verdicts != null) {
            out.accept(new MemberHealthReport(n.member.id(), failing, silent, n.strikes, n.failShare, n.downUntil));
        }
    }

    /** Answers at once: refused where harmless, else failed; before that a copy within grace will do. */
    private void giveUp(Job job) {
        Node edge = job.stale
                        || job.type.staleGrace() == 0
                        || job.mayHaveRun && job.type.idempotency() != Idempotency.SAFE
                        || job.attempts >= settings.limits().maxAttempts()
                        || now >= job.deadline
                        || job.closed
                ? null
                : edge(job);
        if (edge != null) {
            job.stale = true;
            Node parent = source(job, edge);
            send(job, edge, parent == null ? edge : parent, get(job, edge, parent == null ? edge : parent, true));
            return;
        }
        boolean harmless = !job.mayHaveRun
                || job.type.idempotency() == Idempotency.SAFE
                || job.type.idempotency() == Idempotency.KEYED && job.type.deduplicationScope() == DeduplicationScope.ALL;
        if (!job.closed) {
            long after = (long) Math.min(settings.limits().maxRetryAfter(), RETRY_AFTER_AIM * job.type.latencyTarget());
            out.accept(
                    !harmless
                            ? new Fail(job.request.id())
                            : new Refuse(job.request.id(), settings.limits().retryAfter() ? after : 0));
        }
        close(job);
    }

    private void close(Job job) {
        job.closed = true;
        waiting.remove(job);
        job.open.values().forEach(a -> cancel(job, a));
        if (job.open.isEmpty()) {
            jobs.remove(job.request.id());
        }
    }

    private void cancel(Job job, Attempt a) {
        if (settings.limits().cancel() && !a.cancelled && !job.streaming) {
            a.cancelled = true;
            out.accept(new Cancel(job.request.id(), a.number));
        }
    }

    private Entry entry(Job job) {
        return table.computeIfAbsent(job.key, k -> new Entry());
    }

    private void remember(Entry entry, Node node, long since, long until) {
        forget(entry, node);
        entry.holders.add(0, new Holder(node, node.member.started(), since, until));
        if (entry.holders.size() > HOLDERS) {
            entry.holders.remove(HOLDERS);
        }
    }

    private static void forget(Entry entry, Node node) {
        entry.holders.removeIf(h -> h.node == node);
    }

    /** Whether a reference says that this cache holds a good copy. */
    private boolean holds(Entry entry, Job job, Node node) {
        return entry.holders.stream().anyMatch(h -> h.node == node && h.since >= 0 && alive(h, job));
    }

    private boolean alive(Holder h, Job job) {
        return h.until > now
                && h.started == h.node.member.started()
                && (h.since < 0
                        || h.since > purgedAt(job) && (job.type.freshFor() == 0 || now - h.since < job.type.freshFor()));
    }

    private void tellPeers(Job job, Node node) {
        byte[] key = job.key.getBytes(StandardCharsets.UTF_8);
        Entry entry = entry(job);
        if (!settings.limits().peerMessages() || key.length + Long.BYTES > NOTE_BYTES) {
            return;
        }
        if (now - entry.noteMinute >= 60 * SECOND) {
            entry.noteMinute = now;
            entry.notes = 0;
        }
        if (entry.notes++ < NOTES_A_MINUTE) {
            ByteBuffer text = ByteBuffer.allocate(Long.BYTES + key.length)
                    .putLong(node.member.id())
                    .put(key);
            // only a location's routers, found by what they tell, use a note; one to a tier is paid by all
            Stream<Integer> to = nearPeers.size() < crew - 1 ? Stream.of(-1) : nearPeers.stream();
            to.forEach(peer -> out.accept(new SendToPeer(peer, text.array())));
        }
    }

    private void peerNote(PeerMessage e) {
        if (settings.limits().peerMessages() && e.payload().length > Long.BYTES) {
            ByteBuffer text = ByteBuffer.wrap(e.payload());
            Node node = nodes.get(text.getLong());
            String key = StandardCharsets.UTF_8.decode(text).toString();
            if (caches.contains(node)) {
                nearPeers.add(e.from());
                remember(table.computeIfAbsent(key, k -> new Entry()), node, now, now + HOLDING_LIFE);
            }
        }
    }

    private long purgedAt(Job job) {
        return Math.max(
                purgedObjects.getOrDefault(job.request.object(), Long.MIN_VALUE),
                purgedGroups.getOrDefault(job.request.group(), Long.MIN_VALUE));
    }

    /** The oldest copy that will do: never one from before a purge told of, nor, while no news comes, from
     * before one that counts as told though it was not heard; 0 would mean any age. */
    private long oldest(Job job) {
        long at = purgedAt(job);
        boolean unheard = now - heardAt > TOLD_BY - SECOND; // signs of life are a second apart
        long since = Math.min(
                at == Long.MIN_VALUE ? Long.MAX_VALUE : Math.max(1, now - at), unheard ? TOLD_BY : Long.MAX_VALUE);
        long fresh = job.type.freshFor() + (job.stale ? job.type.staleGrace() : 0);
        return fresh > 0 ? Math.min(fresh, since) : since == Long.MAX_VALUE ? 0 : since;
    }

    /** Who has a case of its own tries the member by itself; all others go by the fleet's word. */
    private boolean up(Node n) {
        return n.listed
                && now >= n.downUntil
                && (n.downFor != 0
                        ? n.open == 0
                        : verdicts == null || verdicts.stream().noneMatch(v -> v.covers(n.member, now)));
    }

    /** These members in the key's rendezvous order. */
    private List<Node> ranked(Collection<Node> members, String key, Map<Node, Double> weights) {
        long hash = Hashes.fnv(key);
        TreeMap<Double, Node> ranked = new TreeMap<>(Comparator.reverseOrder());
        for (Node n : members) {
            double draw = ((Hashes.mix(hash ^ Hashes.mix(n.member.id())) >>> 11) + 1) * 0x1.0p-53;
            ranked.put(
                    Math.log(draw)
                            / (weighted && n.member.weight() > 0 ? n.member.weight() : 1)
                            / weights.getOrDefault(n, 1.0),
                    n);
        }
        return new ArrayList<>(ranked.values());
    }

    /** Whether a member that has just started can take this request too. Each router earns its share of what
     * the member is sure to bear as time passes, and spends it by the work sent. A share far under a request
     * is saved up until it allows one, from a random start, so that routers don't all send at once. */
    private boolean coldRoom(Node n, Job job) {
        if (warm(n)) {
            return true;
        }
        boolean parent = n.member.role() == Role.PARENT;
        SlowStart cold = parent ? settings.rules().parentSlowStart() : settings.rules().cacheSlowStart();
        int routers = parent ? Math.max(1, settings.routers()) : crew;
        double width = weighted
                ? n.member.weight() / routers
                : Math.max(COLD_WIDTH / routers, COLD_SMALLER * usualFlow(parent ? parents : caches));
        double span = settings.rules().overloadWindow();
        double work = countedWork(n, job);
        if (n.creditAt < n.coldFrom) {
            n.creditAt = now;
            n.credit = -random.nextDouble() * work;
        }
        double share = cold.initialShare() + (1 - cold.initialShare()) * (n.creditAt - n.coldFrom) / cold.rampDuration();
        double rate = COLD_SAFETY * cold.overloadFactor() * share * width;
        n.credit = Math.min(n.credit + rate * (now - n.creditAt), rate * span * COLD_BURST);
        n.creditAt = now;
        return n.credit > 0 && work <= rate * routers * span;
    }

    /** How the rule counts a request: at a cache by the mean of its class, at a parent by its own work. */
    private double countedWork(Node n, Job job) {
        double mean = meanWork[job.request.requestClass()];
        return n.member.role() == Role.CACHE && mean > 0 ? mean : job.work;
    }

    private boolean warm(Node n) {
        Rules rules = settings.rules();
        return n.member.role() == Role.ORIGIN
                || n.coldFrom == 0
                || now - n.coldFrom >= (n.member.role() == Role.PARENT ? rules.parentSlowStart() : rules.cacheSlowStart()).rampDuration();
    }

    /** What a warm member of this kind serves this router, in transfers, lately. */
    private double usualFlow(List<Node> members) {
        return members.stream()
                .filter(n -> n.flow > 0 && warm(n))
                .mapToDouble(n -> n.flow * Math.exp((n.flowAt - now) / FLOW_SPAN))
                .average()
                .orElse(0);
    }
}
