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
import pumicemoor.RefusalPolicy.EarlierAttempts;
import pumicemoor.RefusalPolicy.Rejection;

/**
 * Makes all decisions of one router. The interface, with its settings, events and actions, is {@link RouterApi}.
 * The ordinary path, after Coral: a request goes to its object's hashed edge cache of the location. On a
 * miss there it names as fill source a sibling known to hold or to be filling the object, else the object's
 * hashed parent, else the origin. Everything else here departs from that path only while something is wrong.
 */
public final class Logic implements RouterApi {
    private static final long MICROS_PER_MILLI = 1_000;
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long TICK_MICROS = 20 * MICROS_PER_MILLI; // between sweeps; far below any latency target
    private static final int MAX_HOLDERS_PER_OBJECT = 4;
    private static final long FILLING_TTL_MICROS = 20 * MICROS_PER_SECOND; // of a reference to a fill in progress
    private static final long HOLDING_TTL_MICROS = 30 * MICROS_PER_SECOND; // of a reference to a copy
    private static final int MAX_TRACKED_OBJECTS = 20_000; // bounds memory
    private static final int MAX_PEER_MESSAGES_PER_MINUTE = 12; // for one object
    private static final int MAX_PEER_MESSAGE_BYTES = 256;
    private static final double RETRY_TOKENS_PER_REQUEST = 0.2; // one token pays for one further attempt
    /** Retry tokens that all routers of a location together may save up; corresponds to the work of one cache. */
    private static final double RETRY_BURST_TOKENS = 40;

    private static final int MAX_ATTEMPTS = 7; // per request, cache-only lookups included
    /** A failure within this fraction of the tightest latency target is a quick one. */
    private static final double QUICK_FAILURE_FRACTION = 0.2;

    private static final int MAX_QUICK_FAILURES = 2; // of a request before it tries another member
    private static final int EJECTION_CONSECUTIVE_FAILURES = 2;
    private static final double EJECTION_FAILURE_RATE = 0.75;
    private static final double FAILURE_RATE_GAIN = 0.15; // weight of the newest outcome in the failure rate
    private static final long BASE_EJECTION_MICROS = MICROS_PER_SECOND; // doubled with each further ejection
    private static final long MAX_EJECTION_MICROS = 8 * MICROS_PER_SECOND;
    private static final long MIN_SILENCE_MICROS = 250 * MICROS_PER_MILLI; // shortest silence that counts as a failure
    private static final double SILENCE_MULTIPLE = 4; // times the expected time, added to that minimum
    private static final double MEAN_GAIN = 0.05; // weight of the newest value in moving averages
    /**
     * Each other router of the location adds this to the time over which this router's load is averaged, to stand
     * for the load of all of them.
     */
    private static final double LOAD_MICROS_PER_ROUTER = 700 * MICROS_PER_MILLI;
    /** Upper bound of the late share's gain, so that one late attempt alone never cuts a limit. */
    private static final double MAX_LATE_SHARE_GAIN = 0.2;
    /** Attempts that a location may have open at a member of unknown capacity. */
    private static final double INITIAL_LIMIT = 48;

    private static final double INITIAL_LIMIT_PER_WEIGHT = 2; // per unit of weight, where weights are known
    /** Initial limit of a parent over all locations together, as a multiple of the limit by its weight. */
    private static final double PARENT_LIMIT_MULTIPLE = 2;

    private static final double MIN_LIMIT = 2; // some attempts are always allowed, so that a recovery is noticed
    private static final double LIMIT_CUT_FACTOR = 0.8; // applied to the limit when attempts come late
    private static final double LATE_SHARE_GAIN = 0.1; // weight of the newest attempt in the late share
    private static final double TOLERATED_LATE_SHARE = 0.2; // above this the limit is cut
    private static final double LARGE_REQUEST_RESERVE = 0.6; // share of a limit that the largest requests can't use
    /** Load that a fill adds to the origin and to each member of the fill path when its source may hold a copy. */
    private static final double UPSTREAM_LOAD = 0.5;

    private static final int MAX_WAITERS_ROUTED = 8; // waiting requests that are routed again when an attempt ends
    private static final double SLOW_START_SAFETY = 0.65; // share of the slow-start budget that is used
    private static final double SLOW_START_BURST = 0.25; // share of a window's budget that may be saved up
    private static final double THROUGHPUT_WINDOW_MICROS = 5 * MICROS_PER_SECOND;
    /** Assumed capacity, in transfers at a time, of a member in slow start whose capacity is not known. */
    private static final double SLOW_START_TRANSFERS = 3;
    /** Its assumed capacity as a fraction of the mean throughput of the warm members; the larger value is used. */
    private static final double SLOW_START_THROUGHPUT_FRACTION = 0.5;

    private static final double RETRY_AFTER_FRACTION = 0.5; // of the latency target, advised as retry-after
    private static final int MAX_FILL_PATH_MEMBERS = 8;
    /** A purge older than this counts as delivered to every router, whether it was received here or not. */
    private static final long PURGE_DELIVERY_MICROS = 7 * MICROS_PER_SECOND;

    private static final int PURGE_RETENTION_MULTIPLE = 3; // purges are kept for this many purge settle times
    private static final double QUOTA_BURST_MICROS = 100 * MICROS_PER_MILLI; // of a limit share that may be saved up

    private final Settings settings;
    private final boolean weighted;
    private final long tightestLatencyTarget;
    private final int localRouters; // at this location; they behave alike, so this router's load stands for each
    private final Random random;
    private final Map<Long, MemberState> members = new TreeMap<>();
    private List<MemberState> caches = List.of(); // ready caches of this location
    private List<MemberState> parents = List.of();
    private MemberState origin;
    private Map<Long, FillSources> fillSources = Map.of(); // by member; empty: the listed parents and the origin
    private final Quotas quotas = new Quotas(QUOTA_BURST_MICROS);
    private List<EjectedMember> ejections; // agreed by the fleet; null: there is no fleet that wants health reports
    private final Map<String, RequestState> requests = new LinkedHashMap<>();
    private final Map<String, ObjectHistory> objects = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, ObjectHistory> eldest) {
            return size() > MAX_TRACKED_OBJECTS;
        }
    };
    private final TreeSet<RequestState> waiting = new TreeSet<>(
            Comparator.comparingDouble((RequestState r) -> -r.priority).thenComparingLong(r -> r.sequence));
    private final Map<String, Long> purgedObjects = new LinkedHashMap<>();
    private final Map<Integer, Long> purgedGroups = new LinkedHashMap<>();
    private final Set<Integer> localPeers = new TreeSet<>(); // routers that have announced caches of this location
    private final double[] meanWorkMicros; // by request class
    private double meanFillMicros = MIN_SILENCE_MICROS; // time that a fill adds to a transfer
    private double meanPriority;
    private double retryTokens;
    private boolean timerStarted;
    private long arrivals;
    private long lastFillAt;
    private long now;
    private long rewatchAt = Long.MAX_VALUE;
    private long lastHeartbeatAt = Long.MAX_VALUE;
    private Consumer<Action> actions;

    /** A listed member, its load from this router and what the outcomes of its attempts have shown. */
    private static final class MemberState {
        Member listing;
        boolean ready; // by the member list
        double load; // sum of the loads that this router's open attempts add
        double limit; // on the load of all routers of the location together
        double lateShare; // moving average of the share of late attempts
        double meanLoad; // moving average of load, as of loadUpdatedAt
        double failureRate; // moving average
        long loadUpdatedAt;
        long limitCutAt;
        long limitReachedAt = Long.MIN_VALUE / 2; // when a request last found this member full
        int openAttempts; // attempts with this member as their target
        int reachingAttempts; // attempts that may reach this member, also as source, on the fill path or as origin
        int consecutiveFailures;
        long lastAnswerAt;
        long connectionFailedAt;
        long ejectedUntil;
        long ejectionMicros;
        long slowStartFrom;
        double throughput; // transfers served at a time, averaged, as of throughputUpdatedAt
        double slowStartCredit; // budget left, in microseconds of work, as of creditUpdatedAt
        long throughputUpdatedAt;
        long creditUpdatedAt;
    }

    /** A request that still needs its final answer, or whose attempts are still open. */
    private static final class RequestState {
        RequestArrived arrival;
        RequestClass requestClass;
        String key; // object and part
        double workMicros; // time to send the answer at full rate
        double priority; // value per microsecond of work
        long sequence;
        long latestStart; // an attempt that starts later can't be on time
        long deadline;
        int attempts;
        int quickFailures;
        boolean mayHaveRun;
        boolean closed;
        boolean streaming;
        boolean cacheMissed; // a cache-only lookup has found no copy
        boolean parentMissed; // a lookup at the parent has found no copy either
        boolean acceptStale; // a copy that is stale, but within the class's grace, is acceptable
        boolean retry; // the next attempt is a retry and takes a retry token
        final Map<Integer, Attempt> open = new TreeMap<>();
        final Set<Long> failedMembers = new HashSet<>();
        List<MemberState> cacheOrder = List.of(); // by the object's hash, of the caches below
        List<MemberState> orderedCaches;
    }

    /** An open attempt, with the load that it adds to each member that it may reach. */
    private static final class Attempt {
        int number;
        MemberState target;
        MemberState source;
        MemberState blamed; // the member to which its lateness was last attributed
        long sentAt;
        long lateAfter;
        long silentAfter; // from then on, a member that has sent nothing counts as silent
        boolean overdue;
        boolean cancelled;
        boolean expectHit;
        boolean cacheLookup; // a cache-only lookup
        boolean parentLookup; // a lookup that the parent must not forward
        boolean mayCrossZones;
        final Map<MemberState, Double> loadByMember = new LinkedHashMap<>();
    }

    /** The known holders and the request count of an object, or of a part of one. */
    private static final class ObjectHistory {
        final List<Holder> holders = new ArrayList<>();
        int requestCount;
        int messagesSent; // in the minute that began at minuteStart
        long minuteStart;
    }

    /** A cache that holds a copy since heldSince, or, where that is negative, is filling one. */
    private record Holder(MemberState cache, long cacheStartedAt, long heldSince, long expiresAt) {}

    public Logic(Settings settings, long salt) {
        this.settings = settings;
        this.random = new Random(salt);
        this.localRouters = settings.routersByLocation().isEmpty()
                ? settings.routers()
                : Math.max(1, settings.routersByLocation().get(settings.location()));
        this.retryTokens = Math.max(1, RETRY_BURST_TOKENS / localRouters);
        this.weighted = settings.weights() == WeightMeaning.NOMINAL || settings.weights() == WeightMeaning.ROUGH;
        this.tightestLatencyTarget = settings.classes().stream()
                .mapToLong(RequestClass::latencyTarget)
                .min()
                .orElse(0);
        this.meanWorkMicros = new double[settings.classes().size()];
    }

    @Override
    public void handle(long time, Event event, Consumer<Action> sink) {
        now = time;
        actions = sink;
        if (!timerStarted) {
            timerStarted = true;
            actions.accept(new SetTimer(TICK_MICROS, 0));
            if (settings.watchMembers()) {
                actions.accept(new WatchMembers(true));
            }
        }
        if (event instanceof RequestArrived e) {
            handleArrival(e);
        } else if (event instanceof AttemptEnded e) {
            handleAttemptEnd(e);
        } else if (event instanceof RequestAbandoned e && requests.containsKey(e.id())) {
            close(requests.get(e.id()));
        } else if (event instanceof TimerDue) {
            handleTick();
        } else if (event instanceof MemberListUpdate e) {
            handleMemberList(e);
        } else if (event instanceof Purged e && e.object() == null) {
            purgedGroups.merge(e.group(), now - e.age(), Math::max);
        } else if (event instanceof Purged e) {
            purgedObjects.merge(e.object(), now - e.age(), Math::max);
        } else if (event instanceof DiscoveryHeartbeat) {
            lastHeartbeatAt = now;
        } else if (event instanceof AnswerStarted e && requests.containsKey(e.id())) {
            requests.get(e.id()).streaming = true;
        } else if (event instanceof PeerMessage e) {
            handlePeerMessage(e);
        } else if (event instanceof FillSourcesUpdate e) {
            fillSources = e.sourcesByMember();
        } else if (event instanceof LimitSharesUpdate e) {
            quotas.update(e.shares(), now);
        } else if (event instanceof EjectionsUpdate e) {
            ejections = e.ejected();
        }
    }

    private void handleMemberList(MemberListUpdate update) {
        if (update.kind() == MemberListKind.FAILED) {
            rewatchAt = now + MICROS_PER_SECOND;
        } else if (update.kind() != MemberListKind.DELTA) {
            members.values().forEach(m -> m.ready = false);
        }
        for (Member listing : update.members()) {
            MemberState member = members.get(listing.id());
            if (member == null || member.listing.startedAt() != listing.startedAt()) {
                if (member != null) {
                    member.ready = false; // state observed before the restart does not apply to the new process
                }
                member = new MemberState();
                member.limit = weighted ? INITIAL_LIMIT_PER_WEIGHT * listing.weight() : INITIAL_LIMIT;
                if (weighted && listing.role() == Role.PARENT) { // shared by all locations
                    member.limit *= PARENT_LIMIT_MULTIPLE * localRouters / Math.max(1, settings.routers());
                }
                member.limit = Math.max(MIN_LIMIT, member.limit);
                members.put(listing.id(), member);
            }
            member.listing = listing;
            member.ready = listing.state() == State.READY;
            member.slowStartFrom = Math.max(member.slowStartFrom, listing.startedAt());
        }
        members.values().removeIf(m -> !m.ready && m.listing.state() != State.DRAINING);
        caches = readyMembers(Role.CACHE)
                .filter(m -> m.listing.zone() == settings.location())
                .toList();
        parents = readyMembers(Role.PARENT).toList();
        origin = readyMembers(Role.ORIGIN).findFirst().orElse(null);
    }

    private Stream<MemberState> readyMembers(Role role) {
        return members.values().stream().filter(m -> m.ready && m.listing.role() == role);
    }

    private void handleArrival(RequestArrived arrival) {
        RequestState request = new RequestState();
        request.arrival = arrival;
        request.requestClass = settings.classes().get(arrival.requestClass());
        request.key = arrival.object() + '#' + arrival.part();
        request.sequence = arrivals++;
        double mean = meanWorkMicros[arrival.requestClass()];
        // an estimate that is too small would make every answer seem late
        request.workMicros = mean > 0 ? mean : request.requestClass.latencyTarget();
        if (arrival.sizeKb() > 0 && settings.fills().transferKbPerSecond() > 0) {
            request.workMicros = arrival.sizeKb() / settings.fills().transferKbPerSecond() * MICROS_PER_SECOND;
            meanWorkMicros[arrival.requestClass()] =
                    mean == 0 ? request.workMicros : mean + MEAN_GAIN * (request.workMicros - mean);
        }
        request.priority = request.requestClass.value() / request.workMicros;
        meanPriority += (meanPriority == 0 ? 1 : MEAN_GAIN) * (request.priority - meanPriority);
        request.deadline = now + arrival.timeLeft();
        request.latestStart = Math.min(
                request.deadline - 2 * TICK_MICROS,
                now
                        + (long) (request.requestClass.latencyTarget()
                                + (request.requestClass.latencyTargetStretch() - 1) * request.workMicros
                                - meanFillMicros));
        requests.put(arrival.id(), request);
        retryTokens = Math.min(Math.max(1, RETRY_BURST_TOKENS / localRouters), retryTokens + RETRY_TOKENS_PER_REQUEST);
        history(request).requestCount++;
        route(request);
    }

    private void handleTick() {
        actions.accept(new SetTimer(TICK_MICROS, 0));
        if (now >= rewatchAt) {
            rewatchAt = Long.MAX_VALUE;
            actions.accept(new WatchMembers(true));
        }
        quotas.reportDemand(now, id -> members.containsKey(id) ? members.get(id).reachingAttempts : 0, actions::accept);
        List.copyOf(waiting).forEach(this::route);
        for (RequestState request : new ArrayList<>(requests.values())) {
            for (Attempt attempt : request.open.values()) {
                if (attempt.blamed == null && now >= attempt.lateAfter) {
                    recordLate(attempt, null);
                }
                if (!attempt.overdue && now >= attempt.silentAfter) {
                    attempt.overdue = true;
                    handleSilence(request, attempt);
                }
            }
        }
        Predicate<Long> settled =
                at -> at < now - PURGE_RETENTION_MULTIPLE * settings.rules().purgeSettleTime();
        purgedObjects.values().removeIf(settled);
        purgedGroups.values().removeIf(settled);
    }

    /**
     * Sends the next attempt of a request, queues the request, or ends it with a final answer. Uncacheable classes are
     * served by the origin.
     */
    private void route(RequestState request) {
        waiting.remove(request);
        if (request.closed || request.streaming || !request.open.isEmpty()) {
            return;
        }
        boolean direct = settings.fills().bypassCaches();
        MemberState edge = edgeCache(request);
        if (request.attempts >= Math.min(MAX_ATTEMPTS, settings.limits().maxAttempts())
                || request.retry && retryTokens < 1
                || request.quickFailures > MAX_QUICK_FAILURES + 1 // it fails wherever it is sent
                || now >= request.deadline
                || request.mayHaveRun && request.requestClass.idempotency() != Idempotency.SAFE) {
            refuseOrFail(request);
        } else if (request.requestClass.uncacheable() && origin != null && (direct || edge != null)) {
            send(
                    request,
                    direct ? origin : edge,
                    origin,
                    direct
                            ? new Lookup(request.arrival.id(), origin.listing.id(), 0)
                            : newFetch(request, edge, origin, false));
        } else if (request.requestClass.uncacheable()
                || edge == null && !direct && caches.stream().noneMatch(this::isUsable)) {
            refuseOrFail(request);
        } else if (edge != null) {
            routeToCache(request, edge);
        } else {
            routePastCaches(request);
        }
    }

    /**
     * Sends a request that no cache has capacity for straight to a parent or the origin, where that is allowed and
     * has capacity.
     */
    private void routePastCaches(RequestState request) {
        MemberState source = settings.fills().bypassCaches() ? fillSource(request, null) : null;
        if (source == null || isFull(source, 1, request)) {
            waitOrRefuse(request);
        } else if (source.listing.role() == Role.ORIGIN) {
            send(request, source, source, new Lookup(request.arrival.id(), source.listing.id(), 0));
        } else {
            List<MemberState> path = fillPath(request, source, null);
            MemberState upstream = !path.isEmpty() ? path.get(0) : origin == null ? source : origin;
            send(request, source, upstream, newFetch(request, source, upstream, false));
        }
    }

    /**
     * Sends a request along the ordinary path. While the source is full, a cache-only lookup first checks whether the
     * cache, then the parent, holds a copy; only then does the request wait for its turn to fill.
     */
    private void routeToCache(RequestState request, MemberState edge) {
        MemberState found = fillSource(request, edge);
        MemberState source = found == null ? edge : found;
        boolean full = source != edge && isFull(source, 1, request);
        boolean originFull = source.listing.role() == Role.PARENT
                && origin != null
                && isFull(origin, request.parentMissed ? 1 : UPSTREAM_LOAD, request);
        if ((full || originFull) && !request.cacheMissed) {
            send(request, edge, edge, newFetch(request, edge, edge, false));
        } else if (full || originFull && request.parentMissed) {
            waitOrRefuse(request);
        } else {
            if (!holds(history(request), request, edge)) {
                remember(history(request), edge, -1, now + FILLING_TTL_MICROS);
            }
            send(request, edge, source, newFetch(request, edge, source, originFull));
        }
    }

    /**
     * Creates a fetch, which fills from the source unless that is the target itself. The copy is kept at a lower rank
     * if the object was requested only once or is a part.
     */
    private Fetch newFetch(RequestState request, MemberState target, MemberState source, boolean onlyIfCached) {
        boolean kept = target.listing.role() == Role.CACHE && !request.requestClass.uncacheable();
        return new Fetch(
                request.arrival.id(),
                target.listing.id(),
                source.listing.id(),
                !kept ? 0 : request.requestClass.parts() ? 1 : Math.min(2, history(request).requestCount),
                maxAge(request),
                settings.fills().joins(),
                onlyIfCached,
                false,
                request.requestClass.freshFor() > 0 && source != target && !onlyIfCached,
                0,
                source == target || onlyIfCached
                        ? List.of()
                        : fillPath(request, source, target).stream()
                                .map(m -> m.listing.id())
                                .toList());
    }

    /**
     * Picks the hashed edge cache. If that is not usable, full or without slow-start budget, picks a holder with
     * capacity, else a cache that is at most half full.
     */
    private MemberState edgeCache(RequestState request) {
        List<MemberState> order = new ArrayList<>(cacheOrder(request));
        order.removeIf(m -> !isUsable(m) || !slowStartAllows(m, request));
        if (order.stream().anyMatch(m -> !request.failedMembers.contains(m.listing.id()))) {
            order.removeIf(m -> request.failedMembers.contains(m.listing.id()));
        }
        List<MemberState> withCapacity = new ArrayList<>();
        for (MemberState cache : order) {
            if (!isFull(cache, 1, request)) {
                if (cache == order.get(0) || holds(history(request), request, cache)) {
                    return cache;
                }
                withCapacity.add(cache);
            }
        }
        // half of any limit is more than one attempt, so none of the others is half empty
        return withCapacity.stream()
                .filter(m -> !isFull(m, m.limit / 2, request))
                .findFirst()
                .orElse(null);
    }

    /**
     * Picks the fill source: a sibling that is known as a holder, else the object's hashed parent, else the origin.
     * If the parent is both late and full, it may be the only slow one, so the request goes to another parent that is
     * neither, if there is one.
     */
    private MemberState fillSource(RequestState request, MemberState edge) {
        Predicate<MemberState> usable =
                m -> isUsable(m) && !request.failedMembers.contains(m.listing.id()) && slowStartAllows(m, request);
        if (edge != null && settings.fills().siblings() != SiblingScope.NONE) {
            for (Holder holder : history(request).holders) {
                if (holder.cache != edge
                        && isValid(holder, request)
                        && usable.test(holder.cache)
                        && mayWaitForFill(request, edge, holder)) {
                    return holder.cache;
                }
            }
        }
        List<MemberState> order = rankedSources(edge, request.arrival.object()).stream()
                .filter(usable)
                .toList();
        MemberState home = order.isEmpty() ? origin : order.get(0);
        return order.isEmpty() || home.lateShare <= TOLERATED_LATE_SHARE || !isFull(home, 1, request)
                ? home
                : order.stream()
                        .filter(m -> m.lateShare <= TOLERATED_LATE_SHARE / 2 && !isFull(m, 1, request))
                        .findFirst()
                        .orElse(home);
    }

    /**
     * Returns the members that a child may fill an object from, in the object's order of preference: the listed
     * parents, or the configured fill sources. Of these the current ones come first for an object that has migrated,
     * the previous ones for any other.
     */
    private List<MemberState> rankedSources(MemberState child, String object) {
        FillSources sources = fillSourcesOf(child);
        if (sources == null) {
            return rendezvousOrder(parents, object, Map.of());
        }
        List<MemberState> current = rendezvousOrder(sources.current(), object);
        List<MemberState> previous = rendezvousOrder(sources.previous(), object);
        boolean migrated = previous.isEmpty() || !current.isEmpty() && hasMigrated(sources, current.get(0), object);
        Set<MemberState> order = new LinkedHashSet<>(migrated ? current : previous);
        order.addAll(migrated ? previous : current);
        return new ArrayList<>(order);
    }

    private FillSources fillSourcesOf(MemberState child) {
        FillSources own = child == null ? null : fillSources.get(child.listing.id());
        return own != null || child != null && child.listing.role() != Role.CACHE
                ? own
                : fillSources.get(FillSourcesUpdate.LOCATION);
    }

    private List<MemberState> rendezvousOrder(List<FillSource> sources, String object) {
        Map<MemberState, Double> weights = new LinkedHashMap<>();
        sources.stream()
                .filter(s -> members.containsKey(s.member()) && members.get(s.member()).ready)
                .forEach(s -> weights.put(members.get(s.member()), s.weight()));
        return rendezvousOrder(weights.keySet(), object, weights);
    }

    /**
     * Whether an object has migrated to its new home. The share of migrated objects rises, and each object migrates
     * once, when the share passes the object's own hashed position.
     */
    private boolean hasMigrated(FillSources sources, MemberState home, String object) {
        FillSource source = sources.current().stream()
                .filter(s -> s.member() == home.listing.id())
                .findFirst()
                .orElseThrow();
        double position = (Hashes.mix(~Hashes.fnv(object)) >>> 11) * 0x1.0p-53;
        double rampMicros = source.rampEnd() - source.rampStart();
        double progress = rampMicros <= 0 ? 1 : (now - source.rampStart()) / rampMicros;
        return (sources.reverting() ? 1 - position : position)
                < source.initialShare() + (1 - source.initialShare()) * Math.max(0, progress);
    }

    /**
     * Returns the members through which a source fills, in order and without the origin. The first step is the
     * object's home before the last change of the fill sources, if that is usable and one of the source's seeds.
     */
    private List<MemberState> fillPath(RequestState request, MemberState source, MemberState child) {
        List<MemberState> path = new ArrayList<>();
        Predicate<MemberState> usable =
                m -> isUsable(m) && !request.failedMembers.contains(m.listing.id()) && slowStartAllows(m, request);
        FillSources migrating = source.listing.role() == Role.PARENT ? fillSourcesOf(child) : null;
        List<MemberState> oldHomes =
                migrating == null ? List.of() : rendezvousOrder(migrating.earlier(), request.arrival.object());
        for (MemberState current = source;
                current != null
                        && fillSources.containsKey(current.listing.id())
                        && path.size() < MAX_FILL_PATH_MEMBERS; ) {
            MemberState oldHome = current != source || oldHomes.isEmpty() ? null : oldHomes.get(0);
            boolean seeded = oldHome != null
                    && usable.test(oldHome)
                    && fillSources.get(current.listing.id()).seeds().contains(oldHome.listing.id());
            current = seeded
                    ? oldHome
                    : rankedSources(current, request.arrival.object()).stream()
                            .filter(usable)
                            .findFirst()
                            .orElse(null);
            if (current != null && current.listing.role() != Role.ORIGIN) {
                path.add(current);
            }
        }
        return path;
    }

    /**
     * Whether an edge cache may fill from this holder, which may still be filling itself. Where fill sources are
     * configured, a cache may wait only for the fill of a cache that precedes it in the object's order, so that two
     * caches never wait for each other.
     */
    private boolean mayWaitForFill(RequestState request, MemberState edge, Holder holder) {
        List<MemberState> order = fillSources.isEmpty() || holder.heldSince >= 0 ? List.of() : cacheOrder(request);
        return order.indexOf(holder.cache) <= order.indexOf(edge);
    }

    /**
     * Whether a member already has as much load from this location as it can serve in time, or this router's quota
     * for it is used up. The lower the value of a request for its work, the sooner it finds a member full: a few large
     * requests fill a link that would serve many small ones.
     */
    private boolean isFull(MemberState member, double addedLoad, RequestState request) {
        double relativePriority = request.priority / (request.priority + meanPriority);
        boolean full = !quotaAllows(member, request)
                || locationLoad(member) + addedLoad
                        > member.limit * (1 - LARGE_REQUEST_RESERVE * (1 - relativePriority));
        member.limitReachedAt = full ? now : member.limitReachedAt;
        return full;
    }

    /** Whether this router's shares of the fleet's limits allow one more attempt that may reach a member. */
    private boolean quotaAllows(MemberState member, RequestState request) {
        return quotas.allows(
                now,
                member.listing.id(),
                isWarm(member),
                member.reachingAttempts,
                request.sequence,
                inOtherZone(member));
    }

    private boolean inOtherZone(MemberState member) {
        return member.listing.zone() != settings.location();
    }

    /** Queues a request that no member has capacity for, highest value per work first, while it can be on time. */
    private void waitOrRefuse(RequestState request) {
        if (now < request.latestStart) {
            waiting.add(request);
        } else {
            refuseOrFail(request);
        }
    }

    private void send(RequestState request, MemberState target, MemberState source, Action action) {
        Attempt attempt = new Attempt();
        attempt.number = request.attempts;
        attempt.target = target;
        attempt.source = source;
        attempt.sentAt = now;
        attempt.cacheLookup = source == target && target.listing.role() == Role.CACHE;
        attempt.parentLookup = action instanceof Fetch f && f.onlyIfCached();
        attempt.expectHit = attempt.cacheLookup || holds(history(request), request, target);
        attempt.lateAfter = now
                + (attempt.expectHit ? request.requestClass.latencyTarget() : tightestLatencyTarget)
                + (long) (request.requestClass.latencyTargetStretch() * request.workMicros);
        attempt.silentAfter = now
                + MIN_SILENCE_MICROS
                + (long) (SILENCE_MULTIPLE * (request.workMicros + (attempt.expectHit ? 0 : meanFillMicros)));
        attempt.loadByMember.put(target, 1.0);
        if (source != target) {
            attempt.loadByMember.put(source, attempt.expectHit ? 0.0 : 1.0);
            if (source.listing.role() == Role.PARENT && !attempt.parentLookup && origin != null) {
                attempt.loadByMember.put(origin, attempt.expectHit ? 0 : request.parentMissed ? 1 : UPSTREAM_LOAD);
            }
            if (action instanceof Fetch f) {
                f.fillPath()
                        .forEach(id -> attempt.loadByMember.putIfAbsent(
                                members.get(id), attempt.expectHit ? 0 : UPSTREAM_LOAD));
            }
        }
        if (!attempt.loadByMember.keySet().stream().allMatch(m -> quotaAllows(m, request))) {
            // quotas count the attempt in full at each member that it may reach, even if a hit is expected
            waitOrRefuse(request);
            return;
        }
        retryTokens -= request.retry ? 1 : 0;
        request.retry = false;
        request.attempts++;
        request.mayHaveRun = true;
        request.open.put(attempt.number, attempt);
        target.openAttempts++;
        attempt.loadByMember.forEach((member, load) -> addLoad(request, member, load));
        attempt.mayCrossZones = attempt.loadByMember.keySet().stream().anyMatch(this::inOtherZone);
        quotas.beginAttempt(attempt.mayCrossZones);
        actions.accept(action);
    }

    /**
     * Estimates the load that all routers of this location have at a member from this router's own: at once where it
     * is the only one, else averaged over time, since one request here doesn't mean that each of the others has one
     * too.
     */
    private double locationLoad(MemberState member) {
        member.meanLoad += (member.load - member.meanLoad)
                * (localRouters == 1
                        ? 1
                        : 1 - Math.exp((member.loadUpdatedAt - now) / (LOAD_MICROS_PER_ROUTER * (localRouters - 1))));
        member.loadUpdatedAt = now;
        return localRouters * member.meanLoad;
    }

    private void addLoad(RequestState request, MemberState member, double load) {
        locationLoad(member);
        member.load += load;
        member.reachingAttempts++;
        member.slowStartCredit -= countedWork(member, request);
        quotas.spend(member.listing.id());
    }

    /** Updates a member's throughput: the work that it serves shows what it can bear, however much it is sent. */
    private void recordThroughput(MemberState member, RequestState request) {
        member.throughput = member.throughput * Math.exp((member.throughputUpdatedAt - now) / THROUGHPUT_WINDOW_MICROS)
                + countedWork(member, request) / THROUGHPUT_WINDOW_MICROS;
        member.throughputUpdatedAt = now;
    }

    private void handleAttemptEnd(AttemptEnded event) {
        RequestState request = requests.get(event.id());
        Attempt attempt = request == null ? null : request.open.remove(event.attempt());
        if (attempt == null) {
            return;
        }
        attempt.target.openAttempts--;
        attempt.loadByMember.forEach((member, load) -> {
            locationLoad(member);
            member.reachingAttempts--;
            member.load = Math.max(0, member.load - load);
        });
        quotas.endAttempt(
                attempt.mayCrossZones,
                inOtherZone(attempt.target) || event.filled(!attempt.expectHit) ? event.bodyKb() : 0);
        request.mayHaveRun = !event.outcome().provesNotRun || !request.open.isEmpty();
        recordOutcome(request, attempt, event);
        if (event.closed()) {
            close(request);
        } else if (!request.closed) {
            route(request);
        } else if (request.open.isEmpty()) {
            requests.remove(event.id());
        }
        waiting.stream().limit(MAX_WAITERS_ROUTED).toList().forEach(this::route);
    }

    /** Records what an outcome shows: which members hold the object, are late or have failed. */
    private void recordOutcome(RequestState request, Attempt attempt, AttemptEnded event) {
        request.retry = true;
        if (event.outcome() == Outcome.OK) {
            recordSuccess(request, attempt, event);
        } else if (event.outcome() == Outcome.MISS && (attempt.cacheLookup || attempt.parentLookup)) {
            recordAnswer(attempt.target);
            request.retry = false;
            request.cacheMissed = true;
            request.parentMissed = attempt.parentLookup;
            if (attempt.cacheLookup) {
                forget(history(request), attempt.target);
            }
        } else if (event.outcome() == Outcome.MISS) {
            recordAnswer(attempt.target);
            request.failedMembers.add(attempt.source.listing.id());
            forget(history(request), attempt.source);
        } else if (event.fillResult().ordinal() >= FillResult.SOURCE_REFUSED.ordinal()) {
            recordAnswer(attempt.target);
            forget(history(request), attempt.source);
            recordFailure(request, attempt, attempt.source, event.latency());
            if (event.fillResult() != FillResult.NO_CAPACITY) {
                recordLate(attempt, event.fillResult() == FillResult.ORIGIN_FAILED ? null : attempt.source);
            }
        } else if (event.outcome() == Outcome.FULL) {
            attempt.target.lastAnswerAt = now;
            updateLimit(attempt.target, attempt, true);
            request.failedMembers.add(attempt.target.listing.id());
        } else if (event.outcome() == Outcome.ERROR) {
            attempt.target.lastAnswerAt = now;
            recordFailure(request, attempt, attempt.target, event.latency());
        } else if (event.outcome() == Outcome.CONNECT_FAILED || event.outcome() == Outcome.RESET) {
            request.failedMembers.add(attempt.target.listing.id());
            forget(history(request), attempt.target);
            // attempts already open when the last connection failed have the same cause and are not counted again
            if (attempt.sentAt >= attempt.target.connectionFailedAt) {
                attempt.target.connectionFailedAt = now;
                // a member that resets connections is still running and therefore warm
                countFailure(attempt.target, event.outcome() == Outcome.CONNECT_FAILED);
            }
        } else if (event.outcome() == Outcome.TIMEOUT
                // a request that its client cancelled early says nothing about the member
                || event.outcome() == Outcome.CANCELLED && (!request.closed || now >= attempt.lateAfter)) {
            recordLate(attempt, null);
            MemberState silent = attempt.target.lastAnswerAt < attempt.sentAt ? attempt.target : attempt.source;
            request.failedMembers.add(silent.listing.id());
            forget(history(request), silent);
        }
    }

    private void recordSuccess(RequestState request, Attempt attempt, AttemptEnded event) {
        boolean hit = event.fillResult() == FillResult.HIT
                || event.fillResult() == FillResult.STALE
                || event.fillResult() == FillResult.NONE && attempt.expectHit;
        boolean late = now > attempt.lateAfter;
        recordAnswer(attempt.target);
        recordThroughput(attempt.target, request);
        if (hit) {
            int classIndex = request.arrival.requestClass();
            if (request.arrival.sizeKb() <= 0 && attempt.target.lateShare < TOLERATED_LATE_SHARE) {
                double slowdown =
                        weighted ? Math.max(1, locationLoad(attempt.target) / attempt.target.listing.weight()) : 1;
                double gain = meanWorkMicros[classIndex] == 0 ? 1 : MEAN_GAIN;
                meanWorkMicros[classIndex] += gain * (event.latency() / slowdown - meanWorkMicros[classIndex]);
            }
            updateLimit(attempt.target, attempt, late);
        } else if (attempt.source != attempt.target) {
            recordAnswer(attempt.source);
            recordThroughput(attempt.source, request);
            lastFillAt = now;
            meanFillMicros += MEAN_GAIN * (Math.max(0, event.latency() - request.workMicros) - meanFillMicros);
            boolean byOrigin = event.fillResult() == FillResult.FILLED_BY_ORIGIN;
            updateLimit(byOrigin && origin != null ? origin : attempt.source, attempt, late);
            if (!late && mayHideOrigin(attempt)) {
                updateLimit(origin, attempt, false);
            }
        } else if (attempt.target == origin) { // the only sign of its state where few fill results are reported
            updateLimit(origin, attempt, late);
        }
        if (!request.requestClass.uncacheable() && attempt.target.listing.role() == Role.CACHE) {
            remember(history(request), attempt.target, now, now + HOLDING_TTL_MICROS);
            announceHolder(request, attempt.target);
        }
    }

    /**
     * Counts an attempt as late against the given member, which its fill result names. Without one, counts it against
     * the likely cause, which is the target, the source or the origin, unless a member was blamed before.
     */
    private void recordLate(Attempt attempt, MemberState named) {
        boolean originSuspected = settings.fills().fillReporting() == FillReporting.ALL
                && origin != null
                && attempt.source.listing.role() == Role.PARENT
                && origin.lateShare >= attempt.source.lateShare;
        if (named == attempt.source || attempt.blamed == null) {
            updateLimit(
                    named != null
                            ? named
                            : attempt.expectHit ? attempt.target : originSuspected ? origin : attempt.source,
                    attempt,
                    true);
            if (named == null
                    && !attempt.expectHit
                    && mayHideOrigin(attempt)
                    && parents.stream().noneMatch(m -> isUsable(m) && m.lateShare <= TOLERATED_LATE_SHARE)) {
                updateLimit(origin, attempt, true); // when all parents are late, the cause is upstream of them
            }
        }
    }

    /** Whether a parent's fill may have come from the origin without a fill result that says so. */
    private boolean mayHideOrigin(Attempt attempt) {
        return settings.fills().fillReporting() != FillReporting.ALL
                && origin != null
                && attempt.source.listing.role() == Role.PARENT;
    }

    /**
     * Adapts the limit on the load of a member, which guards against overload of any kind. An attempt on time raises
     * the limit slowly if the limit was reached within the last second. An attempt that is late, or never answered,
     * cuts it if it was sent after the last cut and too large a share of the attempts is late.
     */
    private void updateLimit(MemberState member, Attempt attempt, boolean late) {
        if (late && attempt.blamed == member) {
            return;
        }
        attempt.blamed = late ? member : attempt.blamed;
        member.lateShare += Math.min(MAX_LATE_SHARE_GAIN, LATE_SHARE_GAIN * Math.sqrt(localRouters))
                * ((late ? 1 : 0) - member.lateShare);
        if (!late) {
            // the origin's capacity is not known: until its first cut the limit doubles in a round trip
            double increase = member == origin && member.limitCutAt == 0 ? localRouters : localRouters / member.limit;
            member.limit += now - member.limitReachedAt < MICROS_PER_SECOND ? increase : 0;
        } else if (attempt.sentAt > member.limitCutAt && member.lateShare > TOLERATED_LATE_SHARE) {
            member.limit = Math.max(MIN_LIMIT, member.limit * LIMIT_CUT_FACTOR);
            member.limitCutAt = now;
        }
    }

    /**
     * Handles an attempt that has been open for too long, whatever the cause. The target is blamed if it has sent
     * nothing since the attempt went out, although a hit was expected or the source has answered since; the source is
     * blamed if it has sent nothing, but the target has, and other fills have succeeded. The attempt is cancelled, so
     * that the request moves on to another member, and two such failures in a row eject the silent one. While all
     * sources are silent none of them is blamed, since the cause then lies upstream of them.
     */
    private void handleSilence(RequestState request, Attempt attempt) {
        boolean targetSilent = attempt.target.lastAnswerAt < attempt.sentAt;
        MemberState silent = targetSilent && (attempt.expectHit || attempt.source.lastAnswerAt >= attempt.sentAt)
                ? attempt.target
                : !targetSilent
                                && !attempt.expectHit
                                && attempt.source.lastAnswerAt < attempt.sentAt
                                && lastFillAt >= attempt.sentAt
                        ? attempt.source
                        : null;
        if (silent != null) {
            countFailure(silent, true);
            cancel(request, attempt);
        }
    }

    /**
     * Records a failed attempt. A quick failure costs little, so the request may try the same member, which has the
     * object, again a few times; only a member that fails most of its requests is ejected. A slow failure counts as a
     * consecutive failure, which leads to an ejection sooner.
     */
    private void recordFailure(RequestState request, Attempt attempt, MemberState member, long latency) {
        // each request counts once
        member.failureRate += request.quickFailures > 0 ? 0 : FAILURE_RATE_GAIN * (1 - member.failureRate);
        if (member.failureRate > EJECTION_FAILURE_RATE) {
            eject(member, false);
        }
        if (latency > QUICK_FAILURE_FRACTION * tightestLatencyTarget) {
            countFailure(member, false);
        }
        if (latency > QUICK_FAILURE_FRACTION * tightestLatencyTarget || ++request.quickFailures > MAX_QUICK_FAILURES) {
            request.failedMembers.add(member.listing.id());
        }
    }

    private void countFailure(MemberState member, boolean unresponsive) {
        if (++member.consecutiveFailures >= EJECTION_CONSECUTIVE_FAILURES) {
            eject(member, unresponsive);
        }
    }

    /** Ejects a member, for longer each time; one that was unresponsive is in slow start afterwards. */
    private void eject(MemberState member, boolean unresponsive) {
        if (now < member.ejectedUntil) {
            return;
        }
        member.ejectionMicros = Math.min(
                MAX_EJECTION_MICROS, member.ejectionMicros == 0 ? BASE_EJECTION_MICROS : 2 * member.ejectionMicros);
        member.ejectedUntil = now + member.ejectionMicros;
        member.failureRate = EJECTION_FAILURE_RATE / 2;
        if (unresponsive) {
            member.slowStartFrom = Math.max(member.slowStartFrom, member.ejectedUntil);
        }
        reportHealth(member, true, unresponsive, " is out for " + member.ejectionMicros / MICROS_PER_MILLI + " ms");
    }

    private void recordAnswer(MemberState member) {
        member.lastAnswerAt = now;
        member.consecutiveFailures = 0;
        member.failureRate -= FAILURE_RATE_GAIN * member.failureRate;
        if (member.ejectionMicros > 0 && now >= member.ejectedUntil) {
            member.ejectionMicros = 0;
            reportHealth(member, false, false, " is back");
        }
    }

    private void reportHealth(MemberState member, boolean failing, boolean unresponsive, String change) {
        actions.accept(new Log("member " + member.listing.id() + change));
        if (ejections != null) {
            actions.accept(new MemberHealthReport(
                    member.listing.id(),
                    failing,
                    unresponsive,
                    member.consecutiveFailures,
                    member.failureRate,
                    member.ejectedUntil));
        }
    }

    /**
     * Ends a request that can't be served in the ordinary way. First tries to serve a stale copy within the class's
     * grace; else sends the final answer: a refusal if the client can repeat the request without harm, else a failure.
     */
    private void refuseOrFail(RequestState request) {
        MemberState edge = request.acceptStale
                        || request.requestClass.staleGrace() == 0
                        || request.mayHaveRun && request.requestClass.idempotency() != Idempotency.SAFE
                        || request.attempts >= settings.limits().maxAttempts()
                        || now >= request.deadline
                        || request.closed
                ? null
                : edgeCache(request);
        if (edge != null) {
            request.acceptStale = true;
            MemberState source = fillSource(request, edge);
            send(
                    request,
                    edge,
                    source == null ? edge : source,
                    newFetch(request, edge, source == null ? edge : source, true));
            return;
        }
        if (!request.closed) {
            long retryAfter = (long) Math.min(
                    settings.limits().maxRetryAfter(), RETRY_AFTER_FRACTION * request.requestClass.latencyTarget());
            Rejection rejection = RefusalPolicy.reject(
                    request.requestClass,
                    EarlierAttempts.of(request.mayHaveRun),
                    settings.limits().retryAfter() ? retryAfter : 0);
            actions.accept(
                    rejection.refused()
                            ? new Refuse(request.arrival.id(), rejection.retryAfterMicros())
                            : new Fail(request.arrival.id()));
        }
        close(request);
    }

    private void close(RequestState request) {
        request.closed = true;
        waiting.remove(request);
        request.open.values().forEach(a -> cancel(request, a));
        if (request.open.isEmpty()) {
            requests.remove(request.arrival.id());
        }
    }

    private void cancel(RequestState request, Attempt attempt) {
        if (settings.limits().cancel() && !attempt.cancelled && !request.streaming) {
            attempt.cancelled = true;
            actions.accept(new Cancel(request.arrival.id(), attempt.number));
        }
    }

    private ObjectHistory history(RequestState request) {
        return objects.computeIfAbsent(request.key, k -> new ObjectHistory());
    }

    private void remember(ObjectHistory history, MemberState cache, long heldSince, long expiresAt) {
        forget(history, cache);
        history.holders.add(0, new Holder(cache, cache.listing.startedAt(), heldSince, expiresAt));
        if (history.holders.size() > MAX_HOLDERS_PER_OBJECT) {
            history.holders.remove(MAX_HOLDERS_PER_OBJECT);
        }
    }

    private static void forget(ObjectHistory history, MemberState cache) {
        history.holders.removeIf(h -> h.cache == cache);
    }

    /** Whether this cache is known to hold a valid copy. */
    private boolean holds(ObjectHistory history, RequestState request, MemberState cache) {
        return history.holders.stream().anyMatch(h -> h.cache == cache && h.heldSince >= 0 && isValid(h, request));
    }

    private boolean isValid(Holder holder, RequestState request) {
        return holder.expiresAt > now
                && holder.cacheStartedAt == holder.cache.listing.startedAt()
                && (holder.heldSince < 0
                        || holder.heldSince > purgedAt(request)
                                && (request.requestClass.freshFor() == 0
                                        || now - holder.heldSince < request.requestClass.freshFor()));
    }

    /** Sends other routers a peer message that this cache holds the object. */
    private void announceHolder(RequestState request, MemberState cache) {
        byte[] key = request.key.getBytes(StandardCharsets.UTF_8);
        ObjectHistory history = history(request);
        if (!settings.limits().peerMessages() || key.length + Long.BYTES > MAX_PEER_MESSAGE_BYTES) {
            return;
        }
        if (now - history.minuteStart >= 60 * MICROS_PER_SECOND) {
            history.minuteStart = now;
            history.messagesSent = 0;
        }
        if (history.messagesSent++ < MAX_PEER_MESSAGES_PER_MINUTE) {
            ByteBuffer payload = ByteBuffer.allocate(Long.BYTES + key.length)
                    .putLong(cache.listing.id())
                    .put(key);
            // A message to all routers costs each of them, but only the routers of this location use it. They are
            // known by the messages that they have sent; until all of them are, the message goes to all routers.
            Stream<Integer> recipients = localPeers.size() < localRouters - 1 ? Stream.of(-1) : localPeers.stream();
            recipients.forEach(peer -> actions.accept(new SendToPeer(peer, payload.array())));
        }
    }

    private void handlePeerMessage(PeerMessage message) {
        if (settings.limits().peerMessages() && message.payload().length > Long.BYTES) {
            ByteBuffer payload = ByteBuffer.wrap(message.payload());
            MemberState cache = members.get(payload.getLong());
            String key = StandardCharsets.UTF_8.decode(payload).toString();
            if (caches.contains(cache)) {
                localPeers.add(message.from());
                remember(objects.computeIfAbsent(key, k -> new ObjectHistory()), cache, now, now + HOLDING_TTL_MICROS);
            }
        }
    }

    private long purgedAt(RequestState request) {
        return Math.max(
                purgedObjects.getOrDefault(request.arrival.object(), Long.MIN_VALUE),
                purgedGroups.getOrDefault(request.arrival.group(), Long.MIN_VALUE));
    }

    /**
     * Returns the maximum age of a copy that may be served; 0 for any age. A copy from before a received purge is never
     * served. While heartbeats are missing, neither is a copy older than PURGE_DELIVERY_MICROS: a purge that old counts
     * as delivered to every router, though this one may not have received it.
     */
    private long maxAge(RequestState request) {
        long lastPurgedAt = purgedAt(request);
        // heartbeats are a second apart
        boolean updatesMissing = now - lastHeartbeatAt > PURGE_DELIVERY_MICROS - MICROS_PER_SECOND;
        long sincePurge = Math.min(
                lastPurgedAt == Long.MIN_VALUE ? Long.MAX_VALUE : Math.max(1, now - lastPurgedAt),
                updatesMissing ? PURGE_DELIVERY_MICROS : Long.MAX_VALUE);
        long freshFor = request.requestClass.freshFor() + (request.acceptStale ? request.requestClass.staleGrace() : 0);
        return freshFor > 0 ? Math.min(freshFor, sincePurge) : sincePurge == Long.MAX_VALUE ? 0 : sincePurge;
    }

    /**
     * Whether a member may be sent attempts. A router that has ejected it itself tries it again after the ejection,
     * one attempt at a time, until it answers; all other routers follow the fleet's ejections.
     */
    private boolean isUsable(MemberState member) {
        return member.ready
                && now >= member.ejectedUntil
                && (member.ejectionMicros != 0
                        ? member.openAttempts == 0
                        : ejections == null || ejections.stream().noneMatch(e -> e.covers(member.listing, now)));
    }

    /** Returns the caches in the order of the request's object; it is kept until the next member list update. */
    private List<MemberState> cacheOrder(RequestState request) {
        if (request.orderedCaches != caches) {
            request.orderedCaches = caches;
            request.cacheOrder = rendezvousOrder(caches, request.key, Map.of());
        }
        return request.cacheOrder;
    }

    /** Returns the candidates in the order that weighted rendezvous hashing gives them for a key. */
    private List<MemberState> rendezvousOrder(
            Collection<MemberState> candidates, String key, Map<MemberState, Double> weights) {
        long hash = Hashes.fnv(key);
        TreeMap<Double, MemberState> ranked = new TreeMap<>(Comparator.reverseOrder());
        for (MemberState member : candidates) {
            double draw = ((Hashes.mix(hash ^ Hashes.mix(member.listing.id())) >>> 11) + 1) * 0x1.0p-53;
            ranked.put(
                    Math.log(draw)
                            / (weighted && member.listing.weight() > 0 ? member.listing.weight() : 1)
                            / weights.getOrDefault(member, 1.0),
                    member);
        }
        return new ArrayList<>(ranked.values());
    }

    /**
     * Whether a member is warm or its slow-start budget allows this request. As time passes, each router earns its
     * share of the load that the member can safely bear, and it spends this credit on the work that it sends. A share
     * far below one request is saved up until it allows one, from a random start, so that the routers don't all send
     * at once.
     */
    private boolean slowStartAllows(MemberState member, RequestState request) {
        if (isWarm(member)) {
            return true;
        }
        boolean parent = member.listing.role() == Role.PARENT;
        SlowStart slowStart =
                parent ? settings.rules().parentSlowStart() : settings.rules().cacheSlowStart();
        int routers = parent ? Math.max(1, settings.routers()) : localRouters;
        double capacity = weighted
                ? member.listing.weight() / routers
                : Math.max(
                        SLOW_START_TRANSFERS / routers,
                        SLOW_START_THROUGHPUT_FRACTION * meanWarmThroughput(parent ? parents : caches));
        double window = settings.rules().overloadWindow();
        double work = countedWork(member, request);
        if (member.creditUpdatedAt < member.slowStartFrom) {
            member.creditUpdatedAt = now;
            member.slowStartCredit = -random.nextDouble() * work;
        }
        double share = slowStart.initialShare()
                + (1 - slowStart.initialShare())
                        * (member.creditUpdatedAt - member.slowStartFrom)
                        / slowStart.rampDuration();
        double rate = SLOW_START_SAFETY * slowStart.overloadFactor() * share * capacity;
        member.slowStartCredit = Math.min(
                member.slowStartCredit + rate * (now - member.creditUpdatedAt), rate * window * SLOW_START_BURST);
        member.creditUpdatedAt = now;
        return member.slowStartCredit > 0 && work <= rate * routers * window;
    }

    /** A request's work as the overload rule counts it: the mean of its class at a cache, its own work at a parent. */
    private double countedWork(MemberState member, RequestState request) {
        double mean = meanWorkMicros[request.arrival.requestClass()];
        return member.listing.role() == Role.CACHE && mean > 0 ? mean : request.workMicros;
    }

    private boolean isWarm(MemberState member) {
        Rules rules = settings.rules();
        return member.listing.role() == Role.ORIGIN
                || member.slowStartFrom == 0
                || now - member.slowStartFrom
                        >= (member.listing.role() == Role.PARENT ? rules.parentSlowStart() : rules.cacheSlowStart())
                                .rampDuration();
    }

    /** Returns the mean throughput of the warm candidates, in transfers that each serves this router at a time. */
    private double meanWarmThroughput(List<MemberState> candidates) {
        return candidates.stream()
                .filter(m -> m.throughput > 0 && isWarm(m))
                .mapToDouble(m -> m.throughput * Math.exp((m.throughputUpdatedAt - now) / THROUGHPUT_WINDOW_MICROS))
                .average()
                .orElse(0);
    }
}
