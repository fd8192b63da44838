package pumicemoor.node;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import pumicemoor.RouterApi;
import pumicemoor.RouterApi.Action;
import pumicemoor.RouterApi.AttemptEnded;
import pumicemoor.RouterApi.Cancel;
import pumicemoor.RouterApi.CloseIdle;
import pumicemoor.RouterApi.Event;
import pumicemoor.RouterApi.Fail;
import pumicemoor.RouterApi.Fetch;
import pumicemoor.RouterApi.FillResult;
import pumicemoor.RouterApi.MemberHealthReport;
import pumicemoor.RouterApi.MemberListKind;
import pumicemoor.RouterApi.Log;
import pumicemoor.RouterApi.Lookup;
import pumicemoor.RouterApi.Member;
import pumicemoor.RouterApi.MemberListUpdate;
import pumicemoor.RouterApi.DiscoveryHeartbeat;
import pumicemoor.RouterApi.Outcome;
import pumicemoor.RouterApi.Purged;
import pumicemoor.RouterApi.Refuse;
import pumicemoor.RouterApi.RequestArrived;
import pumicemoor.RouterApi.RequestAbandoned;
import pumicemoor.RouterApi.SetTimer;
import pumicemoor.RouterApi.Settings;
import pumicemoor.RouterApi.State;
import pumicemoor.RouterApi.TimerDue;
import pumicemoor.RouterApi.LimitDemand;
import pumicemoor.fleet.Fleet;
import pumicemoor.fleet.FleetParticipant;
import pumicemoor.fleet.drains.Drains;
import pumicemoor.hierarchy.Hierarchy;
import pumicemoor.hierarchy.TopologyValidator.Violation;
import pumicemoor.node.Counters.Name;
import pumicemoor.node.Effect.Code;
import pumicemoor.node.Input.AnswerStatus;
import pumicemoor.operator.HierarchySection;
import pumicemoor.operator.OperatorConfig;
import pumicemoor.wire.Message;
import pumicemoor.wire.Rows;
import pumicemoor.wire.TopologyMessage;
import pumicemoor.wire.SettingsReader;
import pumicemoor.wire.WireException;

/**
 * The one place where the state of a router changes. It owns the open requests, their attempts, the
 * addresses of the members and all timers; it takes one input and the time, drives the decision module and
 * hands out effects. It sees to what a module may take for granted: each request gets one final answer by
 * its deadline, each attempt one end, and none is sent for a request that is over. It must never steer a
 * request itself, and never touch a connection, a clock or a thread, so that tests can play whole days.
 */
public final class Reducer {

    private static final Logger LOG = LoggerFactory.getLogger(Reducer.class);
    private static final long MILLI = 1_000;
    private static final long CLOCKS_AGREE = 1_000_000; // microseconds; machines' clocks are never closer than some
    private static final Map<String, FillResult> NOTES = Map.ofEntries(
            Map.entry("mem", FillResult.HIT),
            Map.entry("parent", FillResult.FILLED),
            Map.entry("origin", FillResult.FILLED_BY_ORIGIN),
            Map.entry("shared", FillResult.JOINED),
            Map.entry("old", FillResult.STALE),
            Map.entry("denied", FillResult.SOURCE_REFUSED),
            Map.entry("unreached", FillResult.SOURCE_FAILED),
            Map.entry("absent", FillResult.SOURCE_LACKS),
            Map.entry("crowded", FillResult.NO_PLACE),
            Map.entry("behind", FillResult.ORIGIN_FAILED));
    private static final Map<AnswerStatus, Outcome> OUTCOMES = Map.of(
            AnswerStatus.DATA,
            Outcome.OK,
            AnswerStatus.UNCHANGED,
            Outcome.OK,
            AnswerStatus.ABSENT,
            Outcome.MISS,
            AnswerStatus.FULL,
            Outcome.FULL,
            AnswerStatus.FAILED,
            Outcome.ERROR,
            AnswerStatus.MOOT,
            Outcome.MOOT);
    private static final Map<String, State> STATES =
            Map.of("active", State.READY, "leaving", State.DRAINING, "left", State.GONE);

    private final RouterApi router;
    private final Settings settings;
    private final SettingsReader words;
    private final ResourceLimits limits;
    private final Counters counters;
    private final Map<String, Request> requests = new HashMap<>();
    private final Map<Stream, Request> unanswered = new LinkedHashMap<>();
    private final Map<String, Request> calls = new HashMap<>(); // the unanswered, by the client's own id
    private final BoundedLog complaints;
    private final Map<Long, Attempt> attempts = new HashMap<>();
    private final Map<Long, Endpoint> endpoints = new HashMap<>();
    private final Map<Long, Fleet.Listed> fleetMembers = new TreeMap<>(); // those listed, as the fleet knows them
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private final Queue<Event> events = new ArrayDeque<>();
    private Consumer<Effect> out;
    private long now;
    private long wall; // by the machine's clock, which may be stepped
    private long numbers; // of requests, attempts and timers, each its own
    private long lastUpdate;
    private boolean synced; // caught up with the coordinator since the start, or given up waiting for that
    private long gapAt = -1; // the last event taken when an event was found missing behind it
    private NodeConfig config;
    private OperatorConfig operator = OperatorConfig.NONE;
    private Optional<Hierarchy> hierarchy = Optional.empty();
    private long hierarchyDue = Long.MAX_VALUE;
    private Optional<FleetParticipant> fleet = Optional.empty();
    private long fleetDue = Long.MAX_VALUE;
    private Optional<DrainedMembers> drained = Optional.empty();
    private final HitCount hits = new HitCount();
    private final BoundedLog fleetLog;
    private final BoundedLog changeLog;
    private long terminatedAt = -1;
    private Exit exit = Exit.NOT_YET;

    /** What a client's connection and a stream on it name together. */
    private record Stream(long connection, int stream) {}

    /** Where a member listens, the start of the process that does, and its state by the list. */
    private record Endpoint(String instance, String address, long toldStart, long started, State state) {}

    /** How far the end has come: what has arrived by then is read once more before the last step. */
    private enum Exit {
        NOT_YET,
        READING,
        DONE
    }

    private enum Kind {
        MODULE,
        ATTEMPT,
        UNWRITTEN,
        OVERDUE,
        HIERARCHY,
        FLEET,
        SYNC,
        EXIT_IF_QUIET,
        EXIT
    }

    private record Timer(long at, long order, Kind kind, long about) implements Comparable<Timer> {
        @Override
        public int compareTo(Timer other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    /** A request that is owed an answer, or whose attempts are still out. */
    private static final class Request {
        Input.Request asked;
        String id;
        Stream stream;
        long deadline;
        boolean over;
        boolean named; // its attempts are named to another proxy, which sends them
        int sent, requestClass;
        final Map<Integer, Attempt> out = new LinkedHashMap<>();
    }

    private static final class Attempt {
        Request request;
        long key, member, source, sentAt;
        List<Long> way;
        int number;
        boolean written;
    }

    public Reducer(RouterApi router, SettingsReader words, ResourceLimits limits, Counters counters) {
        this.router = router;
        this.settings = words.settings();
        this.words = words;
        this.limits = limits;
        this.counters = counters;
        this.complaints = new BoundedLog(LOG, limits.complaints());
        this.fleetLog = new BoundedLog(LOG, limits.fleetLines());
        this.changeLog = new BoundedLog(LOG, limits.fleetLines());
    }

    /** When the next Due input is wanted; Long.MAX_VALUE for never. */
    public long nextDue() {
        while (!timers.isEmpty() && stale(timers.peek())) {
            timers.poll();
        }
        return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().at();
    }

    /** The number of the last event of the coordinator that was taken. */
    public long lastUpdate() {
        return lastUpdate;
    }

    public int openRequests() {
        return unanswered.size();
    }

    /** Takes one input at a time at which the machine's clock was never stepped. */
    public void accept(long time, Input input, Consumer<Effect> effects) {
        accept(time, time, input, effects);
    }

    /**
     * Takes one input; the effects, in their order, go to the sink. Both times are microseconds: the first counts on in
     * real time from the Unix time of the start, the second is Unix time by the machine's clock at this moment.
     */
    public void accept(long time, long wallTime, Input input, Consumer<Effect> effects) {
        now = Math.max(now, time);
        wall = wallTime;
        out = effects;
        if (fleetDue <= now) { // a process that was paused must not go by what has run out meanwhile
            followFleet();
        }
        if (input instanceof Input.Request r) {
            arrived(r, false);
        } else if (input instanceof Input.Call c) {
            arrived(
                    new Input.Request(
                            c.number(),
                            0,
                            c.id(),
                            c.requestClass(),
                            c.object(),
                            c.part(),
                            c.group(),
                            null,
                            c.ttlMillis(),
                            c.repeat(),
                            Bytes.NONE),
                    true);
        } else if (input instanceof Input.Answered a) {
            answered(a);
        } else if (input instanceof Input.Written w) {
            if (attempts.get(w.attempt()) != null) {
                attempts.get(w.attempt()).written = true;
            }
        } else if (input instanceof Input.TimerFired) {
            due();
        } else if (input instanceof Input.RequestCancelled w) {
            withdrawn(unanswered.get(new Stream(w.connection(), w.stream())));
        } else if (input instanceof Input.ClientClosed c) {
            unanswered.values().stream()
                    .filter(r -> r.stream.connection() == c.connection())
                    .toList()
                    .forEach(this::withdrawn);
        } else if (input instanceof Input.NeverSent u) {
            end(attempts.get(u.attempt()), Outcome.CONNECT_FAILED);
        } else if (input instanceof Input.NoConnectionAvailable c) {
            end(attempts.get(c.attempt()), Outcome.FULL);
        } else if (input instanceof Input.ConnectionLost b) {
            end(attempts.get(b.attempt()), Outcome.RESET);
        } else if (input instanceof Input.CoordinatorUpdate u) {
            updated(u.json());
        } else if (input instanceof Input.CoordinatorHeartbeat) {
            events.add(new DiscoveryHeartbeat());
            caughtUp();
        } else if (input instanceof Input.FleetPacketReceived f) {
            fleet.ifPresent(x -> x.receive(now, f.bytes()));
        } else if (input instanceof Input.Command c) {
            String said = fleet.map(f -> f.handleCommand(now, c.fields()))
                    .orElse("refused: this router has no section 'fleet' in its operator's file");
            out.accept(new Effect.CommandReply(c.connection(), c.stream(), said));
        } else if (input instanceof Input.Reload r) {
            reload(r);
        } else if (input instanceof Input.Terminate) {
            terminate();
        }
        drive();
        followHierarchy();
        followFleet();
        if (terminatedAt >= 0
                && exit == Exit.NOT_YET
                && unanswered.isEmpty()
                && now >= terminatedAt + limits.quietAfterTerm()) {
            exit = Exit.READING;
            out.accept(new Effect.CompleteClientReads());
        } else if (exit == Exit.READING && input instanceof Input.ClientReadsCompleted) {
            exit = unanswered.isEmpty() ? Exit.DONE : Exit.NOT_YET;
            if (exit == Exit.DONE) {
                out.accept(new Effect.Exit());
            }
        }
    }

    /** Tells the module what has happened, until nothing more follows from it. */
    private void drive() {
        for (Event event = events.poll(); event != null; event = events.poll()) {
            try {
                router.handle(now, event, this::act);
            } catch (RuntimeException e) {
                counters.add(Name.FAULTS);
                LOG.error("the decisions failed at {}", event, e);
            }
        }
    }

    // ---- requests -------------------------------------------------------------------------------------

    private void arrived(Input.Request asked, boolean named) {
        counters.add(Name.REQUESTS);
        Stream stream = new Stream(asked.connection(), asked.stream());
        Request request = new Request();
        request.asked = asked;
        request.stream = stream;
        request.named = named;
        request.id = Long.toString(++numbers);
        request.deadline = now + Math.max(0, asked.ttlMillis()) * MILLI;
        unanswered.put(stream, request);
        RequestTrace.arrived(asked, asked.ttlMillis());
        int requestClass = requestClass(asked);
        Request same = calls.putIfAbsent(asked.call(), request);
        if (requestClass < 0 || same != null && !same.asked.object().equals(asked.object())) {
            counters.add(Name.BAD_INPUT);
            complaints.warn(
                    now,
                    requestClass < 0
                            ? "a request was failed: unknown class '" + asked.requestClass() + "'"
                            : "a request was failed: its id is that of an open request for another object");
            answer(request, Code.FAILED, false, 0, Bytes.NONE);
            if (!named) {
                out.accept(new Effect.ReportProtocolError(asked.connection()));
            }
        } else if (unanswered.size() > limits.openRequests()
                || exit == Exit.DONE
                || terminatedAt >= 0 && now >= terminatedAt + limits.lastAfterTerm()) {
            counters.add(Name.TURNED_AWAY);
            answer(request, Code.REFUSED, false, limits.pushback(), Bytes.NONE);
        } else {
            request.requestClass = requestClass;
            requests.put(request.id, request);
            timer(request.deadline + limits.answerGuard(), Kind.OVERDUE, Long.parseLong(request.id));
            events.add(new RequestArrived(
                    request.id,
                    requestClass,
                    asked.object(),
                    asked.part(),
                    asked.group(),
                    0,
                    request.deadline - now,
                    asked.repeat()));
        }
    }

    private int requestClass(Input.Request asked) {
        try {
            return words.requestClass(asked.requestClass());
        } catch (WireException e) {
            return -1;
        }
    }

    /** The client has left: no answer is owed any more. */
    private void withdrawn(Request request) {
        if (request != null) {
            counters.add(Name.WITHDRAWN);
            RequestTrace.withdrawn(request.asked.call(), request.out.size());
            close(request);
            events.add(new RequestAbandoned(request.id));
        }
    }

    /** The one final answer; there is none once the request is over. */
    private boolean answer(Request request, Code code, boolean unchanged, long pushbackMillis, Bytes body) {
        if (request == null || request.over) {
            body.release();
            return false;
        }
        counters.add(
                code == Code.SERVED
                        ? unchanged ? Name.UNCHANGED : Name.SERVED
                        : code == Code.REFUSED ? Name.REFUSED : Name.FAILED);
        RequestTrace.answered(
                request.asked.call(), code, pushbackMillis, request.sent, (request.deadline - now) / MILLI);
        close(request);
        out.accept(new Effect.Answer(
                request.stream.connection(), request.stream.stream(), code, unchanged, pushbackMillis, body));
        return true;
    }

    private void close(Request request) {
        request.over = true;
        request.asked.body().release();
        unanswered.remove(request.stream);
        calls.remove(request.asked.call(), request);
        forgetIfDone(request);
    }

    private void forgetIfDone(Request request) {
        if (request.over && request.out.isEmpty()) {
            requests.remove(request.id);
        }
    }

    // ---- what the module asks for ---------------------------------------------------------------------

    private void act(Action action) {
        if (action instanceof Fetch f) {
            send(requests.get(f.id()), f);
        } else if (action instanceof Lookup l) { // no fill: what the member holds
            send(
                    requests.get(l.id()),
                    new Fetch(l.id(), l.member(), l.member(), 0, 0, false, false, false, false, l.timeout()));
        } else if (action instanceof Cancel c) {
            Request request = requests.get(c.id());
            Attempt attempt = request == null ? null : request.out.get(c.attempt());
            if (attempt != null) {
                quit(attempt);
                end(attempt, Outcome.CANCELLED);
            }
        } else if (action instanceof Refuse r) {
            answer(requests.get(r.id()), Code.REFUSED, false, (r.retryAfter() + MILLI - 1) / MILLI, Bytes.NONE);
        } else if (action instanceof Fail f) {
            answer(requests.get(f.id()), Code.FAILED, false, 0, Bytes.NONE);
        } else if (action instanceof SetTimer t) {
            timer(now + Math.max(1, t.delay()), Kind.MODULE, t.token());
        } else if (action instanceof CloseIdle c && endpoints.containsKey(c.member())) {
            out.accept(new Effect.CloseIdleConnections(endpoints.get(c.member()).instance()));
        } else if (action instanceof LimitDemand w) {
            fleet.ifPresent(f -> f.reportDemand(w));
        } else if (action instanceof MemberHealthReport j) {
            fleet.ifPresent(f -> f.reportHealth(now, j));
        } else if (action instanceof Log l) {
            LOG.info("{}", l.text());
        }
    }

    private void send(Request request, Fetch f) {
        if (request == null) {
            throw new IllegalStateException("an attempt for the request " + f.id() + ", which is not open");
        }
        Endpoint target = endpoints.get(f.member());
        Endpoint source = endpoints.get(f.source());
        if (target == null || source == null) {
            throw new IllegalStateException("an attempt at a member that was never listed");
        }
        Attempt attempt = new Attempt();
        attempt.request = request;
        attempt.key = ++numbers;
        attempt.number = request.sent++;
        attempt.member = f.member();
        attempt.source = f.source();
        attempt.way = f.fillPath();
        attempt.sentAt = now;
        attempts.put(attempt.key, attempt);
        request.out.put(attempt.number, attempt);
        long until = f.timeout() > 0 ? Math.min(request.deadline, now + f.timeout()) : request.deadline;
        if (request.over
                || f.timeout() < 0
                || until <= now
                || request.sent > settings.limits().maxAttempts()) {
            end(attempt, Outcome.MOOT);
            return;
        }
        counters.add(Name.ATTEMPTS);
        timer(until, Kind.ATTEMPT, attempt.key);
        Input.Request asked = request.asked;
        List<String> way = f.fillPath().stream()
                .map(endpoints::get)
                .filter(Objects::nonNull)
                .map(Endpoint::instance)
                .toList();
        String sourceName = f.source() == f.member() ? null : source.instance();
        RequestTrace.attempt(
                asked.call(), attempt.number, target.instance(), sourceName, lastUpdate, (until - now) / MILLI);
        long within = f.maxAge() > 0 ? Math.max(1, f.maxAge() / MILLI) : 0;
        if (request.named) {
            attempt.written = true; // once it is named, it may run
            out.accept(new Effect.AnnounceAttempt(
                    request.stream.connection(),
                    attempt.key,
                    attempt.number,
                    target.instance(),
                    target.address(),
                    Math.max(1, (until - now) / MILLI),
                    sourceName,
                    way,
                    f.keepRank(),
                    within,
                    f.join(),
                    f.onlyIfCached(),
                    f.renew()));
            return;
        }
        timer(now + limits.unwritten(), Kind.UNWRITTEN, attempt.key);
        out.accept(new Effect.SendAttempt(
                attempt.key,
                target.instance(),
                target.address(),
                asked.call(),
                asked.requestClass(),
                asked.object(),
                asked.part(),
                Math.max(1, (until - now) / MILLI),
                sourceName,
                f.keepRank(),
                within,
                f.join(),
                f.onlyIfCached(),
                f.bypassParent(),
                f.renew(),
                asked.tag(),
                !settings.classes().get(request.requestClass).uncacheable(),
                way,
                asked.body().retain()));
    }

    private void quit(Attempt attempt) {
        counters.add(Name.QUITS);
        if (attempt.request.named) {
            return; // whoever sends it is told of the next attempt, or of the end
        }
        out.accept(new Effect.AbandonAttempt(attempt.key, settings.limits().cancel()));
    }

    // ---- outcomes -------------------------------------------------------------------------------------

    private void answered(Input.Answered a) {
        Attempt attempt = attempts.get(a.attempt());
        if (attempt == null) {
            counters.add(Name.LATE_ANSWERS);
            a.body().release();
            return;
        }
        Outcome outcome = OUTCOMES.get(a.status());
        double kb = a.body().size() / 1_024.0;
        if (outcome == Outcome.OK) {
            answer(attempt.request, Code.SERVED, a.status() == AnswerStatus.UNCHANGED, 0, a.body());
        } else {
            a.body().release();
        }
        end(
                attempt,
                outcome,
                a.note() == null ? FillResult.NONE : NOTES.getOrDefault(a.note(), FillResult.NONE),
                a.load(),
                kb);
    }

    private void end(Attempt attempt, Outcome outcome) {
        end(attempt, outcome, FillResult.NONE, Map.of(), 0);
    }

    private void end(Attempt attempt, Outcome outcome, FillResult note, Map<String, Double> load, double kb) {
        if (attempt == null) {
            return;
        }
        Request request = attempt.request;
        attempts.remove(attempt.key);
        request.out.remove(attempt.number);
        counters.add(Name.valueOf(outcome.name()));
        RequestTrace.attemptEnded(
                request.asked.call(), attempt.number, outcome, note, attempt.written, now - attempt.sentAt);
        if (drained.isPresent() && note == FillResult.HIT) {
            hits.add(now, attempt.member);
        }
        events.add(new AttemptEnded(
                request.id,
                attempt.number,
                attempt.member,
                outcome,
                now - attempt.sentAt,
                request.over,
                note,
                0,
                load,
                kb));
        forgetIfDone(request);
    }

    // ---- timers ---------------------------------------------------------------------------------------

    private void timer(long at, Kind kind, long about) {
        timers.add(new Timer(at, ++numbers, kind, about));
    }

    /** Whether what a timer is about has ended meanwhile, so that nobody need wake for it. */
    private boolean stale(Timer timer) {
        return switch (timer.kind()) {
            case ATTEMPT -> !attempts.containsKey(timer.about());
            case UNWRITTEN -> !attempts.containsKey(timer.about()) || attempts.get(timer.about()).written;
            case OVERDUE -> !requests.containsKey(Long.toString(timer.about()));
            case HIERARCHY -> timer.at() != hierarchyDue;
            case FLEET -> timer.at() != fleetDue;
            case SYNC -> synced;
            default -> false;
        };
    }

    private void due() {
        while (!timers.isEmpty() && timers.peek().at() <= now) {
            Timer timer = timers.poll();
            Attempt attempt = attempts.get(timer.about());
            switch (timer.kind()) {
                case MODULE -> events.add(new TimerDue(timer.about()));
                case ATTEMPT -> {
                    if (attempt != null) {
                        quit(attempt);
                        end(attempt, Outcome.TIMEOUT);
                    }
                }
                case UNWRITTEN -> {
                    if (attempt != null && !attempt.written) {
                        quit(attempt);
                        end(attempt, Outcome.CONNECT_FAILED);
                    }
                }
                case OVERDUE -> overdue(requests.get(Long.toString(timer.about())));
                case SYNC -> giveUpSync();
                case EXIT -> List.copyOf(unanswered.values()).forEach(this::overdue);
                case HIERARCHY, FLEET, EXIT_IF_QUIET -> {
                    // what follows each input does it
                }
            }
            drive();
        }
    }

    /** The module owes an answer and has given none: the request fails here. */
    private void overdue(Request request) {
        if (request != null && answer(request, Code.FAILED, false, 0, Bytes.NONE)) {
            counters.add(Name.OVERDUE);
            events.add(new RequestAbandoned(request.id));
        }
    }

    private void terminate() {
        if (terminatedAt < 0) {
            terminatedAt = now;
            timer(now + limits.quietAfterTerm(), Kind.EXIT_IF_QUIET, 0);
            timer(now + limits.lastAfterTerm(), Kind.EXIT, 0);
            out.accept(new Effect.DrainClients());
            fleet.ifPresent(f -> f.leave(now));
        }
    }

    /** Whether new requests are wanted: the members are known as of now and the process is not about to end. */
    public boolean ready() {
        return terminatedAt < 0
                && synced
                && !endpoints.isEmpty()
                && fleet.map(FleetParticipant::membersUsable).orElse(true);
    }

    // ---- what the coordinator tells -------------------------------------------------------------------

    private void updated(String json) {
        try {
            updated(Message.parse(json));
        } catch (WireException e) {
            counters.add(Name.BAD_INPUT);
            complaints.warn(now, "an event of the coordinator was skipped: " + e.getMessage());
        }
    }

    /**
     * Whether all that was told up to the start of the coordinator's stream has been applied, or waiting for that was
     * given up. Before, decisions would rest on the list of the configuration, which may be older than a grace period.
     */
    public boolean synced() {
        return synced;
    }

    private void caughtUp() {
        if (!synced) {
            synced = true;
            LOG.info("caught up with the coordinator at event {}", lastUpdate);
        }
    }

    private void giveUpSync() {
        if (!synced) {
            synced = true;
            counters.add(Name.STARTED_UNSYNCED);
            LOG.warn(
                    "the coordinator did not tell what is new within {} ms: serving on event {}",
                    limits.syncTime() / MILLI,
                    lastUpdate);
        }
    }

    /** Takes the events that were known at the start. */
    public void known(long time, NodeConfig config, Consumer<Effect> effects) {
        now = time;
        wall = time;
        out = effects;
        for (Message update : config.known()) {
            try {
                updated(update);
            } catch (WireException e) {
                counters.add(Name.BAD_INPUT);
                LOG.error("a known event was skipped: {}", e.getMessage());
            }
            drive();
        }
        lastUpdate = Math.max(lastUpdate, config.knownIndex());
        events.add(new DiscoveryHeartbeat());
        drive();
        this.config = config;
        synced = config.coordinator().isEmpty();
        timer(now + limits.syncTime(), Kind.SYNC, 0);
        followHierarchy();
        followFleet();
    }

    // ---- the hierarchy --------------------------------------------------------------------------------

    /** Takes what the operator has set, once, before anything that is known; without it all is as before. */
    public void applyOperatorConfig(long time, OperatorConfig set, String location, String name, long seed) {
        operator = set;
        set.fleet().ifPresent(f -> {
            fleet = Optional.of(FleetParts.of(f.setup(name, settings.rules()), time, seed, new Drains.Usage() {
                @Override
                public int underWay(long member) {
                    return (int) attempts.values().stream()
                            .filter(a -> a.member == member || a.source == member || a.way.contains(member))
                            .count();
                }

                @Override
                public double hits(long member) {
                    return hits.of(now, member);
                }
            }));
            drained = fleet.filter(FleetParticipant::coordinatesDrains).map(x -> new DrainedMembers());
        });
        set.hierarchy().ifPresent(h -> {
            long coldTime = settings.rules().parentSlowStart().rampDuration();
            Hierarchy.Setup setup =
                    new Hierarchy.Setup(h.depot().isEmpty() ? location : h.depot(), h.news(), h.timing(), coldTime);
            hierarchy = Optional.of(Hierarchy.start(
                    h.shape(),
                    h.before(),
                    h.lastPiece(),
                    time,
                    setup,
                    notice -> complaints.warn(now, notice.text(), notice.fields())));
        });
    }

    /** Lets the hierarchy live up to now, and tells the decisions what may be filled from where that is new. */
    private void followHierarchy() {
        if (hierarchy.isEmpty()) {
            return;
        }
        Hierarchy h = hierarchy.get();
        h.advance(now);
        if (h.changed()) {
            events.add(h.sources(Reducer::memberId));
            drive();
        }
        long due = h.nextDue();
        if (due != hierarchyDue && due < Long.MAX_VALUE) {
            timer(due, Kind.HIERARCHY, 0);
        }
        hierarchyDue = due;
    }

    // ---- the fleet ------------------------------------------------------------------------------------

    /** Lets this router's part in the fleet live up to now: its packets out, its news to the decisions, its lines. */
    private void followFleet() {
        if (fleet.isEmpty()) {
            return;
        }
        FleetParticipant f = fleet.get();
        // whom to leave alone comes before anything that could send: what a router reports it has to go by
        f.takeDrainView().flatMap(view -> drained.get().follow(view)).ifPresent(events::add);
        drive();
        f.advance(now);
        f.takeDrainView().flatMap(view -> drained.get().follow(view)).ifPresent(events::add);
        events.addAll(f.takeEvents());
        drive();
        f.takePackets().forEach(d -> out.accept(new Effect.SendFleetPacket(d.address(), d.bytes())));
        f.takeLogEvents().forEach(n -> fleetLog.info(now, n.text(), n.fields()));
        long due = f.nextDue();
        if (due != fleetDue) {
            timer(due, Kind.FLEET, 0);
        }
        fleetDue = due;
    }

    /** Rows about one subject of the fleet as a JSON text; empty where there is no fleet or no such subject. */
    public Optional<String> rows(String subject) {
        return fleet.flatMap(f -> f.rows(subject)).map(Rows::json);
    }

    private void shapeTold(TopologyMessage news) {
        if (hierarchy.isEmpty()) {
            return; // this installation has none
        }
        if (news instanceof TopologyMessage.Told t) {
            hierarchy.get().take(now, t.piece());
        } else if (news instanceof TopologyMessage.Certain c) {
            hierarchy.get().certain(now, c.asOf(), c.lastNumber());
        }
    }

    /** What can be seen of the parts that the operator has switched on, by name. */
    public Map<String, String> state() {
        Map<String, String> state = new LinkedHashMap<>();
        hierarchy.ifPresent(h -> state.putAll(h.snapshot().fields()));
        fleet.ifPresent(f -> state.putAll(f.fields()));
        return state;
    }

    /** Takes over a new shape; anything else that is new in the operator's file can't be followed while running. */
    private String operateAnew(OperatorConfig next) {
        if (next.equals(operator)) {
            if (next.processor().isPresent()) {
                out.accept(new Effect.ApplyOperatorConfig(next)); // the certificates that it names may be new all the same
            }
            return null;
        }
        if (next.processor().isPresent() != operator.processor().isPresent()
                || next.processor().isPresent()
                        && !next.processor().get().follows(operator.processor().get())) {
            return "the section 'processor' can't come or go, and its listen and tls can't change, while running";
        }
        if (!next.fleet().equals(operator.fleet())) {
            return "the section 'fleet' can't be changed while running";
        }
        if (next.hierarchy().isEmpty() && operator.hierarchy().isEmpty()) {
            operator = next;
            out.accept(new Effect.ApplyOperatorConfig(next));
            return null;
        }
        if (next.hierarchy().isEmpty() || operator.hierarchy().isEmpty()) {
            return "the section 'hierarchy' can't come or go while running";
        }
        HierarchySection old = operator.hierarchy().get();
        HierarchySection fresh = next.hierarchy().get();
        if (old.news() != fresh.news()
                || !old.timing().equals(fresh.timing())
                || !old.depot().equals(fresh.depot())) {
            return "news, depot and times of the hierarchy can't be changed while running";
        }
        if (!old.shape().equals(fresh.shape())) {
            List<Violation> problems = hierarchy
                    .get()
                    .take(
                            now,
                            fresh.shape(),
                            endpoints.values().stream().map(Endpoint::instance).collect(Collectors.toSet()));
            if (!problems.isEmpty()) {
                return "the shape of version " + fresh.shape().version() + ": "
                        + problems.get(0).text();
            }
        }
        operator = next;
        out.accept(new Effect.ApplyOperatorConfig(next));
        return null;
    }

    /**
     * A new configuration, whoever asked for it and however often: a file that cannot be used, or that changes
     * what a running router cannot follow, changes nothing at all. Nothing that is open is disturbed.
     */
    private void reload(Input.Reload r) {
        String problem = r.config() == null
                ? r.problem()
                : config.unfollowable(r.config())
                        .map(f -> "field '" + f + "' can't be changed while running")
                        .orElse(null);
        problem = problem == null ? operateAnew(r.operator()) : problem;
        counters.add(problem == null ? Name.RELOADS : Name.RELOADS_REFUSED);
        if (problem != null) {
            LOG.error("the new configuration is not used: {}", problem);
        } else if (r.config().coordinator().equals(config.coordinator())) {
            LOG.info("the configuration was read again, the coordinator is the same");
        } else {
            config = r.config();
            LOG.info("the configuration was read again, the coordinator is at {}", config.coordinator());
            out.accept(new Effect.FollowCoordinator(config.coordinator()));
        }
    }

    /** Takes an event once and in order; behind a gap the stream is asked for again, once for each gap. */
    private void updated(Message update) throws WireException {
        long index = update.integer("index", lastUpdate + 1);
        if (index <= lastUpdate) {
            return; // told before
        }
        if (index > lastUpdate + 1 && gapAt != lastUpdate && config != null) {
            gapAt = lastUpdate;
            counters.add(Name.GAPS);
            complaints.warn(
                    now, "event " + index + " came behind event " + lastUpdate + ": the coordinator is asked again");
            out.accept(new Effect.FollowCoordinator(config.coordinator()));
            return;
        }
        lastUpdate = index;
        counters.add(Name.UPDATES);
        part(index, "evict", update, this::purged); // each by itself: one that can't be read costs no other
        part(index, "endpoints", update, this::listed);
        part(index, "shape", update, shape -> shapeTold(TopologyMessage.read(shape)));
    }

    /** One part of an event; it is read as a whole before anything follows from it. */
    private interface Part {
        void take(Message part) throws WireException;
    }

    private void part(long index, String name, Message update, Part reader) {
        if (update.has(name)) {
            try {
                reader.take(update.object(name));
            } catch (WireException e) {
                counters.add(Name.BAD_INPUT);
                complaints.warn(now, "'" + name + "' of event " + index + " was skipped: " + e.getMessage());
            }
        }
    }

    private void purged(Message purge) throws WireException {
        counters.add(Name.PURGES);
        events.add(new Purged(
                purge.text("ref", null), (int) purge.integer("shard", -1), age(purge.integer("unix_ms") * MILLI)));
    }

    /**
     * How long ago something happened that is told in Unix time. Where the machine's clock was stepped since the start,
     * nobody knows which of the two is right: the smaller age makes purges bind more copies and members stay cold longer.
     */
    private long age(long unixMicros) {
        return Math.max(0, Math.min(now, wall) - unixMicros);
    }

    /** When a member started, by the time of this router; 0 for long ago. The same for as long as it is told the same. */
    private long started(long member, long toldStart) {
        Endpoint before = endpoints.get(member);
        if (before != null && before.toldStart() == toldStart) {
            return before.started();
        }
        boolean agree = Math.abs(now - wall) <= CLOCKS_AGREE;
        return toldStart == 0 || agree ? toldStart : now - age(toldStart);
    }

    /** A line of a list that could be read. */
    private record Line(Member member, Endpoint endpoint) {}

    private Line line(Message line) throws WireException {
        String instance = line.text("instanceId");
        State state = STATES.get(line.text("lifecycle"));
        if (state == null) {
            throw new WireException("unknown lifecycle '" + line.text("lifecycle") + "'");
        }
        long toldStart = line.integer("startedAtMs", 0) * MILLI;
        Member member = new Member(
                memberId(instance),
                words.role(line.text("machineType", null)),
                words.zone(line.text("zone")),
                (int) line.integer("cell", 0),
                line.number("weight", 1),
                started(memberId(instance), toldStart),
                state);
        return new Line(
                member,
                new Endpoint(instance, NodeConfig.address(line, "hostPort"), toldStart, member.started(), state));
    }

    /** A list: all of it is read before any of it is applied, and a line that can't be read costs that member's news alone. */
    private void listed(Message list) throws WireException {
        boolean whole = list.flag("reset");
        long version = list.integer("generation", 0);
        List<Line> lines = new ArrayList<>();
        Set<Long> unread = new HashSet<>();
        for (Message each : list.objects("instances")) {
            counters.add(Name.LIST_LINES);
            try {
                lines.add(line(each));
            } catch (WireException e) {
                counters.add(Name.BAD_INPUT);
                complaints.warn(now, "a line of a list was skipped: " + e.getMessage());
                unread.add(memberId(String.valueOf(each.value("instanceId"))));
            }
        }
        if (lines.isEmpty() && !unread.isEmpty()) {
            return; // nothing of it can be used
        }
        List<Member> members = new ArrayList<>();
        for (Line line : lines) {
            Member member = line.member();
            State state = member.state();
            String instance = line.endpoint().instance();
            members.add(member);
            if (state == State.GONE) {
                fleetMembers.remove(member.id());
            } else {
                fleetMembers.put(
                        member.id(), new Fleet.Listed(instance, member.role(), member.started(), state == State.READY));
            }
            Endpoint before = endpoints.put(member.id(), line.endpoint());
            logChange(before, line.endpoint());
            if (state == State.GONE) {
                gone(member.id());
            } else if (before != null && before.started() != member.started()) {
                out.accept(new Effect.DropConnections(instance, member.started()));
            }
        }
        if (whole) { // who is not in a whole list has been removed
            Set<Long> listed = members.stream().map(Member::id).collect(Collectors.toSet());
            listed.addAll(unread);
            endpoints.keySet().stream()
                    .filter(id -> !listed.contains(id))
                    .toList()
                    .forEach(this::gone);
            fleetMembers.keySet().retainAll(listed);
        }
        fleet.ifPresent(f -> f.updateMembers(now, fleetMembers));
        hierarchy.ifPresent(h -> h.members(endpoints.values().stream()
                .collect(Collectors.toMap(Endpoint::instance, Endpoint::started, Math::max))));
        MemberListUpdate news = new MemberListUpdate(whole ? MemberListKind.SNAPSHOT : MemberListKind.DELTA, version, members);
        if (drained.isEmpty()) {
            events.add(news);
        } else {
            drained.get().listed(news).ifPresent(events::add);
        }
    }

    /** One log line for each endpoint whose state or process is new; the list known at the start is not logged. */
    private void logChange(Endpoint before, Endpoint after) {
        if (config != null
                && (before == null || before.state() != after.state() || before.started() != after.started())) {
            changeLog.info(
                    now,
                    "event " + lastUpdate + ": endpoint " + after.instance() + " is " + after.state() + ", was "
                            + (before == null ? "not listed" : before.state()),
                    Map.of());
        }
    }

    private void gone(long member) {
        out.accept(new Effect.RetireConnections(endpoints.remove(member).instance()));
    }

    /** A number for a member that is the same at every router and every start: FNV-1a over its name. */
    static long memberId(String instance) {
        long hash = 0xcbf29ce484222325L;
        for (byte b : instance.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (b & 0xff)) * 0x100000001b3L;
        }
        return hash;
    }
}
