package pumicemoor;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * All decisions of one router. The interface, with its settings, events and actions, is in RouterApi.java.
 *
 * <p>The ordinary path, after Coral: a request goes to its object's hashed edge cache of the location. In
 * case that misses, it names as fill source a sibling cache seen holding or filling the object, else the
 * object's hashed parent, else the origin. Everything else here is a departure that acts when something is
 * wrong.
 */
public final class Logic implements RouterApi {

    // ---- tuned values ---------------------------------------------------------------------------------
    private static final long MILLI = 1_000;  // microseconds
    private static final long SECOND = 1_000_000;  // microseconds
    private static final long TICK = 20 * MILLI;  // sweep for overdue work; far below any aim
    private static final int HOLDERS = 4;  // caches remembered an object; the design's start
    private static final long FILLING_LIFE = 20 * SECOND;  // a reference to a fill; the design's start
    private static final long HOLDING_LIFE = 30 * SECOND;  // a reference to a copy; the design's start
    private static final int OBJECTS = 20_000;  // objects remembered; bounds memory
    private static final int NOTES_A_MINUTE = 12;  // peer notes an object; the design's figure
    private static final int NOTE_BYTES = 256;  // longest peer note that is sent
    private static final double RETRY_SHARE = 0.2;  // further attempts earned by a request
    private static final double RETRY_BURST = 40;  // attempts that may be saved up: one cache's work
    private static final int ATTEMPTS = 5;  // attempts for a request at most
    private static final int STRIKES = 2;  // failures in a row that take a member out
    private static final double FAIL_SHARE = 0.75;  // share of failures that takes a member out
    private static final double FAIL_GAIN = 0.15;  // weight of the newest outcome in that share
    private static final long DOWN_FIRST = SECOND;  // first time out; doubled each time
    private static final long DOWN_LONGEST = 8 * SECOND;  // longest time out
    private static final long PATIENCE = 250 * MILLI;  // least time before silence counts
    private static final double PATIENCE_WORK = 4;  // times the expected time, before silence counts
    private static final double MEAN_GAIN = 0.05;  // weight of the newest in slow averages
    private static final double PACE_GAIN = 0.2;  // weight of the newest in fast averages
    private static final double WIDTH_START = 6;  // transfers a cache takes at full pace, first guess
    private static final double WIDTH_LEAST = 2;  // never thought narrower than this
    private static final double CROWDED = 1.3;  // slower than this times its own time: crowded
    private static final double SPILL = 2;  // transfers over width at which others step in
    private static final double COLD_SAFETY = 0.5;  // share of a cold member's budget that is used
    private static final double RETRY_AFTER_AIM = 0.5;  // advice to come back after this share of the aim
    private static final long HOLD_LEAST = 100 * MILLI;  // with less time left nothing is held back
    private static final int PURGE_LIVES = 3;  // purges are kept this many times purgeDone

    // ---- state ----------------------------------------------------------------------------------------
    private final Settings settings;
    private final long salt;
    private final Map<Long, Node> nodes = new TreeMap<>();
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final Map<String, Entry> table = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Entry> eldest) {
            return size() > OBJECTS;
        }
    };
    private final Map<String, Long> purgedObjects = new LinkedHashMap<>();
    private final Map<Integer, Long> purgedGroups = new LinkedHashMap<>();
    private final double[] meanWork;
    private double fillWait = PATIENCE;
    private double retryTokens = RETRY_BURST;
    private boolean ticking;
    private long watchAgainAt = Long.MAX_VALUE;
    private long now;
    private Consumer<Action> out;

    /** A member of the list and what its outcomes have shown. */
    private static final class Node {
        Member member;
        boolean listed;
        int open;
        int strikes;
        double failShare;
        double width;
        double pace = 1;
        long lastAnswer;
        long downUntil;
        long downFor;
        long coldFrom;
        final ArrayDeque<double[]> coldWork = new ArrayDeque<>();
    }

    /** A request that is owed an answer, or whose attempts are still out. */
    private static final class Job {
        RequestArrived request;
        RequestClass type;
        String key;
        long arrived;
        long deadline;
        double work;
        int attempts;
        long mayHaveRunAt = -1;
        Node ranAt;
        boolean closed;
        boolean streaming;
        boolean held;
        final Map<Integer, Attempt> open = new TreeMap<>();
        final Set<Long> failed = new HashSet<>();
    }

    /** An attempt that is out. */
    private static final class Attempt {
        int number;
        Node target;
        Node source;
        long sent;
        long due;
        boolean overdue;
        boolean cancelled;
        boolean expectHit;
        int openThen;
    }

    /**
     * What is remembered of an object (or part): who holds it, how often it was asked for, who is filling.
     */
    private static final class Entry {
        final List<Holder> holders = new ArrayList<>();
        int seen;
        long noteMinute;
        int notes;
        Job filler;
        Node fillerAt;
        final List<Job> waiting = new ArrayList<>();
    }

    private record Holder(Node node, long started, long since, long until) {
    }

    public Logic(Settings settings, long salt) {
        this.settings = settings;
        this.salt = salt;
        this.meanWork = new double[settings.classes().size()];
    }

    // ---- events ---------------------------------------------------------------------------------------

    @Override
    public void handle(long time, Event event, Consumer<Action> sink) {
        now = time;
        out = sink;
        if (!ticking) {
            ticking = true;
            out.accept(new SetTimer(TICK, 0));
            if (settings.watchList()) {
                out.accept(new WatchList(true));
            }
        }
        if (event instanceof RequestArrived e) {
            arrived(e);
        } else if (event instanceof AttemptEnded e) {
            ended(e);
        } else if (event instanceof RequestGone e) {
            gone(e);
        } else if (event instanceof TimerDue) {
            tick();
        } else if (event instanceof MembersListed e) {
            listed(e);
        } else if (event instanceof Purged e) {
            purged(e);
        } else if (event instanceof AnswerStarted e) {
            Job job = jobs.get(e.id());
            if (job != null) {
                job.streaming = true;
            }
        } else if (event instanceof PeerNote e) {
            peerNote(e);
        }
    }

    private void listed(MembersListed e) {
        if (e.kind() == ListKind.FAILED) {
            watchAgainAt = now + SECOND;
            return;
        }
        if (e.kind() != ListKind.CHANGES) {
            nodes.values().forEach(n -> n.listed = false);
        }
        for (Member m : e.members()) {
            Node n = nodes.computeIfAbsent(m.id(), id -> new Node());
            boolean restarted = n.member != null && n.member.started() != m.started();
            n.member = m;
            n.listed = m.state() == State.READY;
            if (n.width == 0) {
                n.width = weighted() ? m.weight() : WIDTH_START;
            }
            if (restarted) {
                n.strikes = 0;
                n.failShare = 0;
                n.downUntil = 0;
                n.downFor = 0;
                n.pace = 1;
            }
            if (m.started() > n.coldFrom) {
                n.coldFrom = m.started();
            }
        }
    }

    private void purged(Purged e) {
        long at = now - e.age();
        if (e.object() == null) {
            purgedGroups.merge(e.group(), at, Math::max);
        } else {
            purgedObjects.remove(e.object());
            purgedObjects.put(e.object(), at);
        }
    }

    private void arrived(RequestArrived r) {
        Job job = new Job();
        job.request = r;
        job.type = settings.classes().get(r.requestClass());
        job.key = r.object() + '#' + r.part();
        job.arrived = now;
        job.deadline = now + r.timeLeft();
        double pace = settings.fills().transferKbPerSecond();
        boolean sized = r.sizeKb() > 0 && pace > 0;
        double mean = meanWork[r.requestClass()];
        job.work = sized ? r.sizeKb() / pace * SECOND : mean > 0 ? mean : job.type.aim() / 2.0;
        if (sized) {
            meanWork[r.requestClass()] = mean == 0 ? job.work : mean + MEAN_GAIN * (job.work - mean);
        }
        jobs.put(r.id(), job);
        retryTokens = Math.min(RETRY_BURST, retryTokens + RETRY_SHARE);
        if (!job.type.uncacheable()) {
            table.computeIfAbsent(job.key, k -> new Entry()).seen++;
        }
        route(job);
    }

    private void gone(RequestGone e) {
        Job job = jobs.get(e.id());
        if (job != null) {
            close(job);
        }
    }

    private void tick() {
        out.accept(new SetTimer(TICK, 0));
        if (now >= watchAgainAt) {
            watchAgainAt = Long.MAX_VALUE;
            out.accept(new WatchList(true));
        }
        for (Job job : new ArrayList<>(jobs.values())) {
            if (job.held && now + 2 * TICK >= job.deadline) {
                giveUp(job);
            }
            for (Attempt a : job.open.values()) {
                if (!a.overdue && now >= a.due) {
                    a.overdue = true;
                    overdue(job, a);
                }
            }
        }
        long forget = now - PURGE_LIVES * settings.rules().purgeDone();
        purgedObjects.values().removeIf(at -> at < forget);
        purgedGroups.values().removeIf(at -> at < forget);
    }

    // ---- the path of a request ------------------------------------------------------------------------

    /** Sends the next attempt, holds the request, or gives it up. */
    private void route(Job job) {
        job.held = false;
        if (job.closed || job.streaming || !job.open.isEmpty()) {
            return;
        }
        boolean again = job.attempts > 0;
        if (job.attempts >= Math.min(ATTEMPTS, settings.limits().attempts()) || again && retryTokens < 1
                || now >= job.deadline || !mayRepeat(job)) {
            giveUp(job);
            return;
        }
        if (job.type.uncacheable()) {
            passThrough(job);
        } else {
            Node edge = edge(job);
            if (edge == null) {
                passBy(job);
            } else {
                fetch(job, edge);
            }
        }
    }

    /** Uncacheable classes run at the origin: straight there where that is allowed, else through a cache. */
    private void passThrough(Job job) {
        Node origin = ranked(Role.ORIGIN, -1, job.key).stream().findFirst().orElse(null);
        if (origin == null) {
            giveUp(job);
        } else if (settings.fills().direct()) {
            send(job, origin, origin, new Lookup(job.request.id(), origin.member.id(), 0));
        } else {
            Node edge = edge(job);
            if (edge == null) {
                giveUp(job);
            } else {
                send(job, edge, origin, new Fetch(job.request.id(), edge.member.id(), origin.member.id(), 0,
                        0,
                        false, false, false, false, 0));
            }
        }
    }

    /** Without a cache to ask, a request goes to a parent or the origin where that is allowed. */
    private void passBy(Job job) {
        Node source = settings.fills().direct() ? source(job, null) : null;
        if (source == null) {
            giveUp(job);
        } else if (source.member.role() == Role.ORIGIN) {
            send(job, source, source, new Lookup(job.request.id(), source.member.id(), 0));
        } else {
            Node origin = ranked(Role.ORIGIN, -1, job.key).stream().findFirst().orElse(source);
            send(job, source, origin, new Fetch(job.request.id(), source.member.id(), origin.member.id(), 0,
                    oldest(job), settings.fills().joins(), false, false, false, 0));
        }
    }

    private void fetch(Job job, Node edge) {
        Entry entry = table.computeIfAbsent(job.key, k -> new Entry());
        Holder held = holder(entry, job, edge);
        if (held == null && !settings.fills().joins() && entry.filler != null && entry.fillerAt == edge
                && job.attempts == 0 && job.deadline - now > HOLD_LEAST) {
            entry.waiting.add(job);
            job.held = true;
            return;
        }
        Node source = source(job, edge);
        if (held == null && entry.filler == null) {
            entry.filler = job;
            entry.fillerAt = edge;
            remember(entry, edge, now + FILLING_LIFE, false);
        }
        send(job, edge, source == null ? edge : source, new Fetch(job.request.id(), edge.member.id(),
                source == null ? edge.member.id() : source.member.id(), entry.seen > 1 ? 2 : 1, oldest(job),
                settings.fills().joins(), false, false, job.type.fresh() > 0, 0));
    }

    /** The hashed edge cache of the location; the next in its order while that is out, cold or crowded. */
    private Node edge(Job job) {
        List<Node> order = ranked(Role.CACHE, settings.location(), job.key);
        order.removeIf(n -> !up(n) || !coldRoom(n, job));
        List<Node> fresh = order.stream().filter(n -> !job.failed.contains(n.member.id())).toList();
        List<Node> choice = fresh.isEmpty() ? order : fresh;
        for (Node n : choice) {
            if (n.open < SPILL * n.width) {
                return n;
            }
        }
        return choice.isEmpty() ? null : choice.get(0);
    }

    /** The fill source: a remembered sibling, else the object's hashed parent, else the origin. */
    private Node source(Job job, Node edge) {
        if (edge != null && settings.fills().siblings() != SiblingSources.NONE) {
            for (Holder h : table.get(job.key).holders) {
                if (h.node != edge && alive(h, job) && up(h.node) && !job.failed.contains(h.node.member.id())
                        && coldRoom(h.node, job)) {
                    return h.node;
                }
            }
        }
        for (Node n : ranked(Role.PARENT, -1, job.request.object())) {
            if (up(n) && !job.failed.contains(n.member.id()) && coldRoom(n, job)) {
                return n;
            }
        }
        return ranked(Role.ORIGIN, -1, job.key).stream().findFirst().orElse(null);
    }

    private void send(Job job, Node target, Node source, Action action) {
        Attempt a = new Attempt();
        a.number = job.attempts++;
        a.target = target;
        a.source = source;
        a.sent = now;
        a.openThen = target.open++;
        Entry entry = table.get(job.key);
        a.expectHit = entry != null && holder(entry, job, target) != null;
        double wait = a.expectHit ? 0 : fillWait;
        a.due = now + PATIENCE + (long) (PATIENCE_WORK * (job.work * Math.max(1, target.pace) + wait));
        if (a.number > 0) {
            retryTokens--;
        }
        if (job.mayHaveRunAt < 0) {
            job.mayHaveRunAt = now;
            job.ranAt = target;
        }
        job.open.put(a.number, a);
        note(target, job);
        if (source != target && !a.expectHit) {
            note(source, job);
        }
        out.accept(action);
    }

    // ---- outcomes -------------------------------------------------------------------------------------

    private void ended(AttemptEnded e) {
        Job job = jobs.get(e.id());
        Attempt a = job == null ? null : job.open.remove(e.attempt());
        if (a == null) {
            return;
        }
        a.target.open--;
        judge(job, a, e);
        if (job.open.isEmpty() && e.outcome().provesNotRun && job.mayHaveRunAt == a.sent
                && job.ranAt == a.target) {
            job.mayHaveRunAt = -1;
            job.ranAt = null;
        }
        Entry entry = table.get(job.key);
        if (entry != null && entry.filler == job) {
            release(entry);
        }
        if (e.closed()) {
            close(job);
        }
        if (job.closed) {
            if (job.open.isEmpty()) {
                jobs.remove(e.id());
            }
        } else {
            if (e.outcome() == Outcome.TIMEOUT && now >= job.deadline) {
                giveUp(job);
            } else {
                route(job);
            }
        }
    }

    /** Learns from an outcome: who holds what, who is slow, who has failed. */
    private void judge(Job job, Attempt a, AttemptEnded e) {
        Entry entry = table.get(job.key);
        boolean sourceFailed = e.note().ordinal() >= FillNote.SOURCE_REFUSED.ordinal();
        switch (e.outcome()) {
            case OK -> {
                good(a.target);
                boolean hit = e.note() == FillNote.HIT || e.note() == FillNote.NONE && a.expectHit;
                if (!hit && a.source != a.target) {
                    good(a.source);
                    double wait = e.waited() > 0 ? e.waited() : Math.max(0, e.latency() - job.work);
                    fillWait += MEAN_GAIN * (wait - fillWait);
                }
                if (hit) {
                    pace(a, job, e.latency());
                }
                if (entry != null && !job.type.uncacheable() && a.target.member.role() == Role.CACHE) {
                    remember(entry, a.target, now + HOLDING_LIFE, true);
                    tellPeers(job, entry, a.target);
                }
            }
            case MISS -> {
                good(a.target);
                job.failed.add(a.source.member.id());
                forget(entry, a.source);
            }
            case FULL -> {
                if (sourceFailed) {
                    good(a.target);
                    job.failed.add(a.source.member.id());
                    forget(entry, a.source);
                    if (e.note() == FillNote.SOURCE_FAILED) {
                        strike(a.source, false);
                    }
                } else {
                    a.target.lastAnswer = now;
                    a.target.width = Math.max(WIDTH_LEAST, a.target.width * 0.95);
                    job.failed.add(a.target.member.id());
                }
            }
            case ERROR -> {
                if (sourceFailed) {
                    good(a.target);
                    job.failed.add(a.source.member.id());
                    forget(entry, a.source);
                } else {
                    a.target.lastAnswer = now;
                    a.target.failShare += FAIL_GAIN * (1 - a.target.failShare);
                    if (a.target.failShare > FAIL_SHARE) {
                        down(a.target, false);
                    }
                    if (a.number >= 2) {
                        job.failed.add(a.target.member.id());
                    }
                }
            }
            case CONNECT_FAILED, RESET -> {
                job.failed.add(a.target.member.id());
                forget(entry, a.target);
                strike(a.target, true);
            }
            case TIMEOUT -> {
                if (!a.overdue) {
                    overdue(job, a);
                }
                blame(job, a);
            }
            default -> {
                if (e.outcome() == Outcome.CANCELLED) {
                    blame(job, a);
                }
            }
        }
    }

    /** Marks for this request the member that has kept it waiting. */
    private void blame(Job job, Attempt a) {
        Node guilty = a.target.lastAnswer < a.sent || a.source == a.target ? a.target : a.source;
        job.failed.add(guilty.member.id());
        forget(table.get(job.key), guilty);
    }

    /**
     * Silence, whatever its cause: nothing has come from the target (else from the source) since the attempt
     * went out, though it should have long ago. The request moves on; two such in a row take the member out.
     */
    private void overdue(Job job, Attempt a) {
        Node guilty = a.target.lastAnswer < a.sent ? a.target
                : a.source != a.target && a.source.lastAnswer < a.sent && !a.expectHit ? a.source : null;
        if (guilty != null) {
            strike(guilty, true);
            cancel(job, a);
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
        out.accept(new Log("member " + n.member.id() + " is out for " + n.downFor / MILLI + " ms"));
        for (Job job : new ArrayList<>(jobs.values())) {
            for (Attempt a : job.open.values()) {
                if (a.target == n && lost || a.source == n && !a.expectHit
                        && now - a.sent > PATIENCE + job.work) {
                    cancel(job, a);
                }
            }
        }
    }

    private void good(Node n) {
        n.lastAnswer = now;
        n.strikes = 0;
        n.failShare -= FAIL_GAIN * n.failShare;
        if (n.downFor > 0 && now >= n.downUntil) {
            n.downFor = 0;
            out.accept(new Log("member " + n.member.id() + " is back"));
        }
    }

    /** Learns how many transfers of ours a cache takes at full pace, where sizes are told. */
    private void pace(Attempt a, Job job, long latency) {
        int type = job.request.requestClass();
        if (job.request.sizeKb() <= 0 || settings.fills().transferKbPerSecond() <= 0) {
            meanWork[type] += (meanWork[type] == 0 ? 1 : MEAN_GAIN) * (latency - meanWork[type]);
            return;
        }
        double slow = latency / job.work;
        a.target.pace += PACE_GAIN * (Math.min(slow, 20) - a.target.pace);
        double transfers = (a.openThen + a.target.open) / 2.0 + 1;
        if (!weighted()) {
            double width = slow > CROWDED ? Math.min(a.target.width, transfers / slow)
                    : Math.max(a.target.width, transfers);
            a.target.width = Math.max(WIDTH_LEAST, a.target.width + PACE_GAIN * (width - a.target.width));
        }
    }

    // ---- final answers --------------------------------------------------------------------------------

    private boolean mayRepeat(Job job) {
        return job.type.effect() == Effect.SAFE || job.mayHaveRunAt < 0;
    }

    /** Gives the final answer at once: refused where trying again is harmless, else failed. */
    private void giveUp(Job job) {
        boolean harmless = job.type.effect() == Effect.SAFE || job.mayHaveRunAt < 0
                || job.type.effect() == Effect.KEYED && job.type.group() == RepeatGroup.ALL;
        if (!job.closed) {
            long after = Math.min(settings.limits().longestRetryAfter(),
                    (long) (RETRY_AFTER_AIM * job.type.aim()));
            out.accept(harmless ? new Refuse(job.request.id(), settings.limits().retryAfter() ? after : 0)
                    : new Fail(job.request.id()));
        }
        close(job);
    }

    private void close(Job job) {
        job.closed = true;
        job.held = false;
        for (Attempt a : job.open.values()) {
            cancel(job, a);
        }
        if (job.open.isEmpty()) {
            jobs.remove(job.request.id());
        }
        Entry entry = table.get(job.key);
        if (entry != null) {
            entry.waiting.remove(job);
            if (entry.filler == job && job.open.isEmpty()) {
                release(entry);
            }
        }
    }

    private void cancel(Job job, Attempt a) {
        if (settings.limits().cancel() && !a.cancelled && !job.streaming) {
            a.cancelled = true;
            out.accept(new Cancel(job.request.id(), a.number));
        }
    }

    private void release(Entry entry) {
        entry.filler = null;
        List<Job> waiting = new ArrayList<>(entry.waiting);
        entry.waiting.clear();
        waiting.forEach(this::route);
    }

    // ---- the sibling table ----------------------------------------------------------------------------

    private void remember(Entry entry, Node node, long until, boolean holds) {
        Holder old = entry.holders.stream().filter(h -> h.node == node).findFirst().orElse(null);
        entry.holders.remove(old);
        entry.holders.add(0, new Holder(node, node.member.started(), holds ? now : -1, until));
        if (entry.holders.size() > HOLDERS) {
            entry.holders.remove(HOLDERS);
        }
    }

    private void forget(Entry entry, Node node) {
        if (entry != null) {
            entry.holders.removeIf(h -> h.node == node);
        }
    }

    /** The reference that says that this cache holds a good copy, or null. */
    private Holder holder(Entry entry, Job job, Node node) {
        for (Holder h : entry.holders) {
            if (h.node == node && h.since >= 0 && alive(h, job)) {
                return h;
            }
        }
        return null;
    }

    private boolean alive(Holder h, Job job) {
        return h.until > now && h.started == h.node.member.started()
                && (h.since < 0 || h.since > purgedAt(job))
                && (job.type.fresh() == 0 || h.since < 0 || now - h.since < job.type.fresh());
    }

    private void tellPeers(Job job, Entry entry, Node node) {
        byte[] key = job.key.getBytes(StandardCharsets.UTF_8);
        if (!settings.limits().peerNotes() || key.length + Long.BYTES > NOTE_BYTES) {
            return;
        }
        if (now - entry.noteMinute >= 60 * SECOND) {
            entry.noteMinute = now;
            entry.notes = 0;
        }
        if (entry.notes++ < NOTES_A_MINUTE) {
            byte[] text = ByteBuffer.allocate(Long.BYTES +
                    key.length).putLong(node.member.id()).put(key).array();
            out.accept(new TellPeer(-1, text));
        }
    }

    private void peerNote(PeerNote e) {
        if (settings.limits().peerNotes() && e.text().length > Long.BYTES) {
            ByteBuffer text = ByteBuffer.wrap(e.text());
            Node node = nodes.get(text.getLong());
            String key = StandardCharsets.UTF_8.decode(text).toString();
            if (node != null && node.member.role() == Role.CACHE
                    && node.member.zone() == settings.location()) {
                remember(table.computeIfAbsent(key, k -> new Entry()), node, now + HOLDING_LIFE, true);
            }
        }
    }

    // ---- purges ---------------------------------------------------------------------------------------

    private long purgedAt(Job job) {
        return Math.max(purgedObjects.getOrDefault(job.request.object(), Long.MIN_VALUE),
                purgedGroups.getOrDefault(job.request.group(), Long.MIN_VALUE));
    }

    /** The oldest copy that will do: never one from before a purge told of; 0 would mean any age. */
    private long oldest(Job job) {
        long at = purgedAt(job);
        long fresh = job.type.fresh();
        if (at == Long.MIN_VALUE) {
            return fresh;
        }
        long since = Math.max(1, now - at);
        return fresh > 0 ? Math.min(fresh, since) : since;
    }

    // ---- members --------------------------------------------------------------------------------------

    private boolean weighted() {
        return settings.weights() == Weights.NOMINAL || settings.weights() == Weights.ROUGH;
    }

    private boolean up(Node n) {
        return n.listed && now >= n.downUntil && (n.downFor == 0 || n.open == 0);
    }

    /** Listed members of a role, in the key's rendezvous order. */
    private List<Node> ranked(Role role, int zone, String key) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < key.length(); i++) {
            hash = (hash ^ key.charAt(i)) * 0x100000001b3L;
        }
        TreeMap<Double, Node> ranked = new TreeMap<>();
        for (Node n : nodes.values()) {
            if (n.listed && n.member.role() == role && (zone < 0 || n.member.zone() == zone)) {
                double draw = ((mix(hash ^ mix(n.member.id())) >>> 11) + 1) * 0x1.0p-53;
                ranked.put(Math.log(draw) / (weighted() && n.member.weight() > 0 ? n.member.weight() : 1), n);
            }
        }
        return new ArrayList<>(ranked.descendingMap().values());
    }

    private static long mix(long z) {
        z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }

    private ColdStart coldStart(Node n) {
        return n.member.role() == Role.PARENT ? settings.rules().parent() : settings.rules().cache();
    }

    /**
     * Whether a member that has just started can take this request too: within any span of the rule, what
     * this router sends stays under its share of what the member is sure to bear.
     */
    private boolean coldRoom(Node n, Job job) {
        ColdStart cold = coldStart(n);
        if (n.member.role() == Role.ORIGIN || n.coldFrom == 0 || now - n.coldFrom >= cold.warmAfter()) {
            return true;
        }
        double share = cold.share() + (1 - cold.share()) * Math.max(0, now - n.coldFrom) / cold.warmAfter();
        int routers = Math.max(1, n.member.role() == Role.PARENT || settings.routersByLocation().isEmpty()
                ? settings.routers() : settings.routersByLocation().get(settings.location()));
        double width = weighted() ? n.member.weight() : WIDTH_START / 2;
        double budget = COLD_SAFETY * cold.multiple() * share * width * settings.rules().overloadSpan() /
                routers;
        double spent = countedWork(job);
        for (double[] sent : n.coldWork) {
            spent += sent[0] > now - settings.rules().overloadSpan() ? sent[1] : 0;
        }
        return spent <= budget;
    }

    private double countedWork(Job job) {
        return Math.max(job.work, meanWork[job.request.requestClass()]);
    }

    private void note(Node n, Job job) {
        if (n.member.role() == Role.ORIGIN) {
            return;
        }
        n.coldWork.add(new double[] {now, countedWork(job)});
        while (n.coldWork.peekFirst()[0] <= now - settings.rules().overloadSpan()) {
            n.coldWork.removeFirst();
        }
    }
}
