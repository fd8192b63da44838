package pumicemoor.node;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import pumicemoor.RefusalPolicy;
import pumicemoor.RefusalPolicy.EarlierAttempts;
import pumicemoor.RefusalPolicy.Rejection;
import pumicemoor.RouterApi;
import pumicemoor.RouterApi.Action;
import pumicemoor.RouterApi.AttemptEnded;
import pumicemoor.RouterApi.Cancel;
import pumicemoor.RouterApi.CloseIdle;
import pumicemoor.RouterApi.DiscoveryHeartbeat;
import pumicemoor.RouterApi.Event;
import pumicemoor.RouterApi.Fail;
import pumicemoor.RouterApi.Fetch;
import pumicemoor.RouterApi.FillResult;
import pumicemoor.RouterApi.Idempotency;
import pumicemoor.RouterApi.LimitDemand;
import pumicemoor.RouterApi.Log;
import pumicemoor.RouterApi.Lookup;
import pumicemoor.RouterApi.Member;
import pumicemoor.RouterApi.MemberHealthReport;
import pumicemoor.RouterApi.MemberListKind;
import pumicemoor.RouterApi.MemberListUpdate;
import pumicemoor.RouterApi.Outcome;
import pumicemoor.RouterApi.Purged;
import pumicemoor.RouterApi.Refuse;
import pumicemoor.RouterApi.RequestAbandoned;
import pumicemoor.RouterApi.RequestArrived;
import pumicemoor.RouterApi.RequestClass;
import pumicemoor.RouterApi.SetTimer;
import pumicemoor.RouterApi.Settings;
import pumicemoor.RouterApi.State;
import pumicemoor.RouterApi.TimerDue;
import pumicemoor.fleet.Fleet;
import pumicemoor.fleet.FleetParticipant;
import pumicemoor.fleet.drains.Drains;
import pumicemoor.hierarchy.Hierarchy;
import pumicemoor.hierarchy.TopologyValidator.Violation;
import pumicemoor.idempotency.RequestHistory;
import pumicemoor.node.Counters.Name;
import pumicemoor.node.Effect.Code;
import pumicemoor.node.Input.AnswerStatus;
import pumicemoor.node.TimerQueue.Timer;
import pumicemoor.operator.HierarchySection;
import pumicemoor.operator.OperatorConfig;
import pumicemoor.wire.InvalidInputException;
import pumicemoor.wire.JsonObject;
import pumicemoor.wire.JsonRows;
import pumicemoor.wire.SettingsReader;
import pumicemoor.wire.TopologyMessage;

/**
 * Holds the mutable state of a router and is the only class that changes it. It owns the open requests, their
 * attempts, the addresses of the members and all timers. Each call takes one input and the current time, passes
 * the resulting events to the decision module, and emits effects. It guarantees what the decision module relies
 * on: each request gets exactly one final answer by its deadline, each attempt ends exactly once, and no attempt
 * is sent for a closed request. It must never route a request itself, and never use a connection, a clock or a
 * thread, so that tests can simulate whole days.
 */
public final class Reducer {

    private static final Logger LOG = LoggerFactory.getLogger(Reducer.class);
    private static final long MICROS_PER_MILLI = 1_000;

    /**
     * The greatest difference between router time and wall clock at which a reported start time is used uncorrected:
     * clocks of different machines always differ a little.
     */
    private static final long CLOCK_TOLERANCE_MICROS = 1_000_000;

    private static final Map<String, FillResult> FILL_RESULT_BY_NOTE = Map.ofEntries(
            Map.entry("mem", FillResult.HIT),
            Map.entry("parent", FillResult.FILLED),
            Map.entry("origin", FillResult.FILLED_BY_ORIGIN),
            Map.entry("shared", FillResult.JOINED),
            Map.entry("old", FillResult.STALE),
            Map.entry("denied", FillResult.SOURCE_REFUSED),
            Map.entry("unreached", FillResult.SOURCE_FAILED),
            Map.entry("absent", FillResult.SOURCE_MISS),
            Map.entry("crowded", FillResult.NO_CAPACITY),
            Map.entry("behind", FillResult.ORIGIN_FAILED));
    private static final Map<AnswerStatus, Outcome> OUTCOME_BY_STATUS = Map.of(
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
    private static final Map<String, State> STATE_BY_LIFECYCLE =
            Map.of("active", State.READY, "leaving", State.DRAINING, "left", State.GONE);

    private final RouterApi router;
    private final Settings settings;
    private final SettingsReader settingsReader;
    private final ResourceLimits limits;
    private final Counters counters;
    private final Map<String, Request> requestsById = new HashMap<>(); // closed ones until their last attempt ends
    private final Map<StreamKey, Request> unanswered = new LinkedHashMap<>();
    private final Map<String, Request> unansweredBySentId = new HashMap<>();
    private final RequestHistory history; // of clients' requests that must not run twice and may have run
    private final RateLimitedLog warningLog;
    private final Map<Long, Attempt> attemptsByKey = new HashMap<>();
    private final Map<Long, Endpoint> endpointsByMember = new HashMap<>();
    // listed members, as passed to the fleet
    private final Map<Long, Fleet.ListedMember> fleetMembers = new TreeMap<>();
    private final TimerQueue timers = new TimerQueue();
    private final Queue<Event> pendingEvents = new ArrayDeque<>();
    private Consumer<Effect> effectSink;
    private long now;
    private long wallNow; // the machine's wall clock, which may be stepped
    private long lastNumber; // the last number given to a request, an attempt or a timer
    private long lastEventIndex;
    private Timer syncTimer;
    private boolean synced; // has caught up with the coordinator since the start, or has stopped waiting for that
    private long gapDetectedAfter = -1; // index of the last event before the most recent gap; -1 for none
    private NodeConfig config;
    private OperatorConfig operatorConfig = OperatorConfig.NONE;
    private Optional<Hierarchy> hierarchy = Optional.empty();
    private long hierarchyDue = Long.MAX_VALUE;
    private Timer hierarchyTimer;
    private Optional<FleetParticipant> fleet = Optional.empty();
    private long fleetDue = Long.MAX_VALUE;
    private Timer fleetTimer;
    private Optional<DrainedMembers> drainedMembers = Optional.empty();
    private final HitCount hitCount = new HitCount();
    private final RateLimitedLog fleetLog;
    private final RateLimitedLog endpointLog;
    private long terminatedAt = -1;
    private ExitStage exitStage = ExitStage.RUNNING;

    /** Identifies a request by its client connection and its stream on that connection. */
    private record StreamKey(long connection, int stream) {}

    /**
     * A listed member: its address, its state, and the start of its process both as the coordinator reported it and by
     * this router's clock. Times are Unix microseconds, 0 for long ago.
     */
    private record Endpoint(String instance, String address, long reportedStart, long started, State state) {}

    /** Progress of the shutdown. Before the exit, all input that has already arrived is read once more. */
    private enum ExitStage {
        RUNNING,
        FINAL_READ,
        DONE
    }

    /** A request that is not yet answered or still has open attempts. */
    private static final class Request {
        Input.Request input;
        String id;
        String sentId; // the id that the client or the proxy chose, in the form in which ids are compared
        StreamKey stream;
        long deadline;
        boolean closed;
        boolean sentByProxy; // attempts are announced to the calling proxy, which sends them itself
        boolean mustNotRepeat; // its class is not safe to repeat
        boolean mayHaveRun; // an attempt has ended without proof that it never ran
        int attemptsStarted;
        int requestClass;
        Timer overdueTimer; // null before the decision module has the request
        final Map<Integer, Attempt> openAttempts = new LinkedHashMap<>();
    }

    private static final class Attempt {
        Request request;
        long key;
        long member;
        long source;
        long startedAt;
        List<Long> fillPath;
        int number;
        boolean written;
        Timer timeoutTimer; // null for an attempt that is not sent
        Timer writeTimer; // null for an attempt that is not sent, or that a proxy sends
    }

    public Reducer(RouterApi router, SettingsReader settingsReader, ResourceLimits limits, Counters counters) {
        this.router = router;
        this.settings = settingsReader.settings();
        this.settingsReader = settingsReader;
        this.limits = limits;
        this.counters = counters;
        this.history = new RequestHistory(limits.maxExecutedIds(), 0, limits.executedIdRetention());
        this.warningLog = new RateLimitedLog(LOG, limits.warningsPerSecond());
        this.fleetLog = new RateLimitedLog(LOG, limits.fleetLogLinesPerSecond());
        this.endpointLog = new RateLimitedLog(LOG, limits.fleetLogLinesPerSecond());
    }

    /** Returns the time at which the next {@link Input.TimerFired} is due; Long.MAX_VALUE for never. */
    public long nextDue() {
        return timers.nextDue();
    }

    int pendingTimers() {
        return timers.size();
    }

    /** Returns the index of the last coordinator event that was applied. */
    public long lastEventIndex() {
        return lastEventIndex;
    }

    public int openRequests() {
        return unanswered.size();
    }

    /** Processes one input on a machine whose wall clock was never stepped: both times are the same. */
    public void accept(long time, Input input, Consumer<Effect> effects) {
        accept(time, time, input, effects);
    }

    /**
     * Processes one input and passes the effects, in order, to the sink. Both times are Unix microseconds: the first
     * advances monotonically from the Unix time of the start, the second is the machine's wall clock, which may be
     * stepped.
     */
    public void accept(long time, long wallTime, Input input, Consumer<Effect> effects) {
        now = Math.max(now, time);
        wallNow = wallTime;
        effectSink = effects;
        if (fleetDue <= now) { // if the process was paused, leases that expired meanwhile must not be used
            advanceFleet();
        }
        if (input instanceof Input.Request request) {
            arrived(request, false);
        } else if (input instanceof Input.Call call) {
            arrived(
                    new Input.Request(
                            call.number(),
                            0,
                            call.id(),
                            call.requestClass(),
                            call.object(),
                            call.part(),
                            call.group(),
                            null,
                            call.ttlMillis(),
                            call.clientRetry(),
                            Bytes.NONE),
                    true);
        } else if (input instanceof Input.AttemptAnswered answer) {
            answered(answer);
        } else if (input instanceof Input.AttemptWritten written) {
            if (attemptsByKey.get(written.attempt()) != null) {
                attemptsByKey.get(written.attempt()).written = true;
                timers.cancel(attemptsByKey.get(written.attempt()).writeTimer);
            }
        } else if (input instanceof Input.TimerFired) {
            fireTimers();
        } else if (input instanceof Input.RequestCancelled cancelled) {
            clientLeft(unanswered.get(new StreamKey(cancelled.connection(), cancelled.stream())));
        } else if (input instanceof Input.ClientClosed closed) {
            unanswered.values().stream()
                    .filter(r -> r.stream.connection() == closed.connection())
                    .toList()
                    .forEach(this::clientLeft);
        } else if (input instanceof Input.AttemptNeverSent unsent) {
            endAttempt(attemptsByKey.get(unsent.attempt()), Outcome.CONNECT_FAILED);
        } else if (input instanceof Input.NoConnectionAvailable unavailable) {
            endAttempt(attemptsByKey.get(unavailable.attempt()), Outcome.FULL);
        } else if (input instanceof Input.ConnectionLost lost) {
            endAttempt(attemptsByKey.get(lost.attempt()), Outcome.RESET);
        } else if (input instanceof Input.CoordinatorUpdate update) {
            applyUpdate(update.json());
        } else if (input instanceof Input.CoordinatorHeartbeat) {
            pendingEvents.add(new DiscoveryHeartbeat());
            markSynced();
        } else if (input instanceof Input.FleetPacketReceived packet) {
            fleet.ifPresent(f -> f.receive(now, packet.bytes()));
        } else if (input instanceof Input.Command command) {
            String reply = fleet.map(f -> f.handleCommand(now, command.fields()))
                    .orElse("refused: this router has no section 'fleet' in its operator's file");
            effectSink.accept(new Effect.CommandReply(command.connection(), command.stream(), reply));
        } else if (input instanceof Input.Reload reload) {
            reload(reload);
        } else if (input instanceof Input.Terminate) {
            terminate();
        }
        dispatchEvents();
        advanceHierarchy();
        advanceFleet();
        if (terminatedAt >= 0
                && exitStage == ExitStage.RUNNING
                && unanswered.isEmpty()
                && now >= terminatedAt + limits.minTimeBeforeExit()) {
            exitStage = ExitStage.FINAL_READ;
            effectSink.accept(new Effect.CompleteClientReads());
        } else if (exitStage == ExitStage.FINAL_READ && input instanceof Input.ClientReadsCompleted) {
            exitStage = unanswered.isEmpty() ? ExitStage.DONE : ExitStage.RUNNING;
            if (exitStage == ExitStage.DONE) {
                effectSink.accept(new Effect.Exit());
            }
        }
    }

    /** Passes pending events to the decision module until none is left. */
    private void dispatchEvents() {
        for (Event event = pendingEvents.poll(); event != null; event = pendingEvents.poll()) {
            try {
                router.handle(now, event, this::perform);
            } catch (RuntimeException e) {
                counters.add(Name.FAULTS);
                LOG.error("the decision module failed on event {}", event, e);
            }
        }
    }

    // ---- requests -------------------------------------------------------------------------------------

    private void arrived(Input.Request input, boolean sentByProxy) {
        counters.add(Name.REQUESTS);
        StreamKey stream = new StreamKey(input.connection(), input.stream());
        Request request = new Request();
        request.input = input;
        request.stream = stream;
        request.sentByProxy = sentByProxy;
        request.id = Long.toString(++lastNumber);
        request.sentId = sentByProxy ? input.clientRequestId() : comparable(input.clientRequestId());
        request.deadline = now + Math.max(0, input.ttlMillis()) * MICROS_PER_MILLI;
        unanswered.put(stream, request);
        RequestTrace.arrived(input, input.ttlMillis());
        int requestClass = requestClass(input.requestClass());
        request.mustNotRepeat = requestClass >= 0
                && !sentByProxy // calls of proxies have their own registry of ids
                && requestClassOf(requestClass).idempotency() != Idempotency.SAFE;
        String problem = findProblem(request, requestClass);
        unansweredBySentId.putIfAbsent(request.sentId, request);
        if (problem != null) {
            counters.add(Name.BAD_INPUT);
            warningLog.warn(now, "a request fails: " + problem);
            answer(request, Code.FAILED, false, 0, Bytes.NONE);
            if (!sentByProxy) {
                effectSink.accept(new Effect.ReportProtocolError(input.connection()));
            }
        } else if (unanswered.size() > limits.maxOpenRequests()
                || exitStage == ExitStage.DONE
                || terminatedAt >= 0 && now >= terminatedAt + limits.exitDeadline()) {
            counters.add(Name.TURNED_AWAY);
            reject(request, RefusalPolicy.reject(requestClassOf(requestClass), attemptsBefore(request), retryAfter()));
        } else {
            request.requestClass = requestClass;
            requestsById.put(request.id, request);
            request.overdueTimer = timers.add(
                    request.deadline + limits.overdueAnswerMargin(),
                    TimerQueue.Kind.ANSWER_OVERDUE,
                    Long.parseLong(request.id));
            pendingEvents.add(new RequestArrived(
                    request.id,
                    requestClass,
                    input.object(),
                    input.part(),
                    input.group(),
                    0,
                    request.deadline - now,
                    input.clientRetry()));
        }
    }

    /** Why a request fails before it reaches the decision module, or null if it does not. */
    private String findProblem(Request request, int requestClass) {
        Input.Request input = request.input;
        if (requestClass < 0) {
            return "unknown class '" + input.requestClass() + "'";
        }
        Request openRequest = unansweredBySentId.get(request.sentId);
        if (openRequest != null && !openRequest.input.object().equals(input.object())) {
            return "its id belongs to an open request for another object";
        }
        if (request.mustNotRepeat && earlierAttempts(now, request.sentId, 0) == EarlierAttempts.MAY_HAVE_RUN) {
            counters.add(Name.REPEATED_IDS);
            return "its id belongs to a request that is open or may have run, and must not run twice";
        }
        return null;
    }

    private int requestClass(String name) {
        try {
            return settingsReader.requestClass(name);
        } catch (InvalidInputException e) {
            return -1;
        }
    }

    /** Closes a request whose client no longer waits for the answer. */
    private void clientLeft(Request request) {
        if (request != null) {
            counters.add(Name.WITHDRAWN);
            RequestTrace.cancelled(request.input.clientRequestId(), request.openAttempts.size());
            close(request);
            pendingEvents.add(new RequestAbandoned(request.id));
        }
    }

    /**
     * Returns the answer to a client's request that is turned away unseen, at this time (microseconds): a refusal, or a
     * failure if an earlier attempt of it may have run.
     */
    public Rejection rejectionOf(long time, RequestIdentity identity) {
        int requestClass = identity.requestClass() == null ? -1 : requestClass(identity.requestClass());
        EarlierAttempts earlier = identity.clientRequestId() == null
                ? EarlierAttempts.MAY_HAVE_RUN
                : earlierAttempts(time, comparable(identity.clientRequestId()), triesElsewhere(identity.clientRetry()));
        Rejection rejection = requestClass < 0
                ? RefusalPolicy.rejectUnclassified(earlier, retryAfter())
                : RefusalPolicy.reject(requestClassOf(requestClass), earlier, retryAfter());
        counters.add(Name.REPEATED_IDS, rejection.refused() ? 0 : 1);
        return rejection;
    }

    private RequestClass requestClassOf(int requestClass) {
        return settings.classes().get(requestClass);
    }

    /** The delay in microseconds that a refusal for lack of capacity advises. */
    private long retryAfter() {
        return limits.retryAfterMillis() * MICROS_PER_MILLI;
    }

    /**
     * What is known of the earlier attempts of a request over a limit. A proxy's call is checked before it becomes a
     * request, and a client's request that repeats an open one has failed already.
     */
    private EarlierAttempts attemptsBefore(Request request) {
        return request.sentByProxy
                ? EarlierAttempts.NONE_RAN
                : history.earlierAttempts(now, request.sentId, triesElsewhere(request.input.clientRetry()));
    }

    /** What is known of the earlier attempts of a client's request that comes at this time and is not open itself. */
    private EarlierAttempts earlierAttempts(long time, String sentId, int earlierTries) {
        return unansweredBySentId.containsKey(sentId)
                ? EarlierAttempts.MAY_HAVE_RUN
                : history.earlierAttempts(time, sentId, earlierTries);
    }

    /** A client's id, which is a hexadecimal number, in the form in which ids are compared. */
    private static String comparable(String clientRequestId) {
        return clientRequestId.toLowerCase(Locale.ROOT);
    }

    /**
     * The number of tries that a client's mark tells of. A client's retry has a new id, so this router can't know how
     * the tries before it have ended.
     */
    private static int triesElsewhere(boolean clientRetry) {
        return clientRetry ? RequestHistory.UNKNOWN_TRIES : 0;
    }

    private void reject(Request request, Rejection rejection) {
        long retryAfterMillis = (rejection.retryAfterMicros() + MICROS_PER_MILLI - 1) / MICROS_PER_MILLI;
        answer(request, Code.of(rejection), false, retryAfterMillis, Bytes.NONE);
    }

    /** Sends the one final answer; returns false if there is no such request or it is already closed. */
    private boolean answer(Request request, Code code, boolean unchanged, long retryAfterMillis, Bytes body) {
        if (request == null || request.closed) {
            body.release();
            return false;
        }
        counters.add(
                code == Code.SERVED
                        ? unchanged ? Name.UNCHANGED : Name.SERVED
                        : code == Code.REFUSED ? Name.REFUSED : Name.FAILED);
        RequestTrace.answered(
                request.input.clientRequestId(),
                code,
                retryAfterMillis,
                request.attemptsStarted,
                (request.deadline - now) / MICROS_PER_MILLI);
        close(request);
        effectSink.accept(new Effect.Answer(
                request.stream.connection(), request.stream.stream(), code, unchanged, retryAfterMillis, body));
        return true;
    }

    private void close(Request request) {
        request.closed = true;
        timers.cancel(request.overdueTimer);
        request.input.body().release();
        unanswered.remove(request.stream);
        unansweredBySentId.remove(request.sentId, request);
        rememberIfExecuted(request);
        removeIfDone(request);
    }

    /** Remembers the id of a closed request that must not run twice and of which an attempt may have run. */
    private void rememberIfExecuted(Request request) {
        if (request.closed && request.mustNotRepeat && (request.mayHaveRun || !request.openAttempts.isEmpty())) {
            counters.add(Name.IDS_FORGOTTEN, history.ended(now, request.sentId, true));
        }
    }

    private void removeIfDone(Request request) {
        if (request.closed && request.openAttempts.isEmpty()) {
            requestsById.remove(request.id);
        }
    }

    // ---- actions of the decision module ---------------------------------------------------------------

    private void perform(Action action) {
        if (action instanceof Fetch fetch) {
            send(requestsById.get(fetch.id()), fetch);
        } else if (action instanceof Lookup lookup) { // with the member as its own source nothing is filled
            send(
                    requestsById.get(lookup.id()),
                    new Fetch(
                            lookup.id(),
                            lookup.member(),
                            lookup.member(),
                            0,
                            0,
                            false,
                            false,
                            false,
                            false,
                            lookup.timeout()));
        } else if (action instanceof Cancel cancel) {
            Request request = requestsById.get(cancel.id());
            Attempt attempt = request == null ? null : request.openAttempts.get(cancel.attempt());
            if (attempt != null) {
                abandon(attempt);
                endAttempt(attempt, Outcome.CANCELLED);
            }
        } else if (action instanceof Refuse refuse) {
            refuse(requestsById.get(refuse.id()), refuse.retryAfter());
        } else if (action instanceof Fail fail) {
            answer(requestsById.get(fail.id()), Code.FAILED, false, 0, Bytes.NONE);
        } else if (action instanceof SetTimer timer) {
            timers.add(now + Math.max(1, timer.delay()), TimerQueue.Kind.DECISION_MODULE, timer.token());
        } else if (action instanceof CloseIdle closeIdle && endpointsByMember.containsKey(closeIdle.member())) {
            effectSink.accept(new Effect.CloseIdleConnections(
                    endpointsByMember.get(closeIdle.member()).instance()));
        } else if (action instanceof LimitDemand demand) {
            fleet.ifPresent(f -> f.reportDemand(demand));
        } else if (action instanceof MemberHealthReport report) {
            fleet.ifPresent(f -> f.reportHealth(now, report));
        } else if (action instanceof Log log) {
            LOG.info("{}", log.text());
        }
    }

    /** Refuses a request as the decision module wants, unless one of its attempts may have run. */
    private void refuse(Request request, long retryAfterMicros) {
        if (request != null) {
            EarlierAttempts attempts = EarlierAttempts.of(request.mayHaveRun || !request.openAttempts.isEmpty());
            reject(request, RefusalPolicy.reject(requestClassOf(request.requestClass), attempts, retryAfterMicros));
        }
    }

    private void send(Request request, Fetch fetch) {
        if (request == null) {
            throw new IllegalStateException("an attempt for request " + fetch.id() + ", which is not open");
        }
        Endpoint target = endpointsByMember.get(fetch.member());
        Endpoint source = endpointsByMember.get(fetch.source());
        if (target == null || source == null) {
            throw new IllegalStateException("the member or the source of an attempt is not listed");
        }
        Attempt attempt = new Attempt();
        attempt.request = request;
        attempt.key = ++lastNumber;
        attempt.number = request.attemptsStarted++;
        attempt.member = fetch.member();
        attempt.source = fetch.source();
        attempt.fillPath = fetch.fillPath();
        attempt.startedAt = now;
        attemptsByKey.put(attempt.key, attempt);
        request.openAttempts.put(attempt.number, attempt);
        long timeoutAt = fetch.timeout() > 0 ? Math.min(request.deadline, now + fetch.timeout()) : request.deadline;
        if (request.closed
                || fetch.timeout() < 0
                || timeoutAt <= now
                || request.attemptsStarted > settings.limits().maxAttempts()) {
            endAttempt(attempt, Outcome.MOOT);
            return;
        }
        counters.add(Name.ATTEMPTS);
        attempt.timeoutTimer = timers.add(timeoutAt, TimerQueue.Kind.ATTEMPT_TIMEOUT, attempt.key);
        Input.Request input = request.input;
        List<String> fillPath = fetch.fillPath().stream()
                .map(endpointsByMember::get)
                .filter(Objects::nonNull)
                .map(Endpoint::instance)
                .toList();
        String sourceName = fetch.source() == fetch.member() ? null : source.instance();
        RequestTrace.attemptStarted(
                input.clientRequestId(),
                attempt.number,
                target.instance(),
                sourceName,
                lastEventIndex,
                (timeoutAt - now) / MICROS_PER_MILLI);
        long maxAgeMillis = fetch.maxAge() > 0 ? Math.max(1, fetch.maxAge() / MICROS_PER_MILLI) : 0;
        if (request.sentByProxy) {
            attempt.written = true; // the proxy may send it at any time from now on
            effectSink.accept(new Effect.AnnounceAttempt(
                    request.stream.connection(),
                    attempt.key,
                    attempt.number,
                    target.instance(),
                    target.address(),
                    Math.max(1, (timeoutAt - now) / MICROS_PER_MILLI),
                    sourceName,
                    fillPath,
                    fetch.keepRank(),
                    maxAgeMillis,
                    fetch.join(),
                    fetch.onlyIfCached(),
                    fetch.renew()));
            return;
        }
        attempt.writeTimer = timers.add(now + limits.writeTimeout(), TimerQueue.Kind.WRITE_TIMEOUT, attempt.key);
        effectSink.accept(new Effect.SendAttempt(
                attempt.key,
                target.instance(),
                target.address(),
                input.clientRequestId(),
                input.requestClass(),
                input.object(),
                input.part(),
                Math.max(1, (timeoutAt - now) / MICROS_PER_MILLI),
                sourceName,
                fetch.keepRank(),
                maxAgeMillis,
                fetch.join(),
                fetch.onlyIfCached(),
                fetch.bypassParent(),
                fetch.renew(),
                input.clientCopyVersion(),
                !settings.classes().get(request.requestClass).uncacheable(),
                fillPath,
                input.body().retain()));
    }

    private void abandon(Attempt attempt) {
        counters.add(Name.QUITS);
        if (attempt.request.sentByProxy) {
            return; // the proxy that sends the attempt receives the next one or the final answer instead
        }
        effectSink.accept(
                new Effect.AbandonAttempt(attempt.key, settings.limits().cancel()));
    }

    // ---- outcomes -------------------------------------------------------------------------------------

    private void answered(Input.AttemptAnswered answer) {
        Attempt attempt = attemptsByKey.get(answer.attempt());
        if (attempt == null) {
            counters.add(Name.LATE_ANSWERS);
            answer.body().release();
            return;
        }
        Outcome outcome = OUTCOME_BY_STATUS.get(answer.status());
        double bodyKb = answer.body().size() / 1_024.0;
        if (outcome == Outcome.OK) {
            answer(attempt.request, Code.SERVED, answer.status() == AnswerStatus.UNCHANGED, 0, answer.body());
        } else {
            answer.body().release();
        }
        endAttempt(
                attempt,
                outcome,
                answer.fillNote() == null
                        ? FillResult.NONE
                        : FILL_RESULT_BY_NOTE.getOrDefault(answer.fillNote(), FillResult.NONE),
                answer.load(),
                bodyKb);
    }

    private void endAttempt(Attempt attempt, Outcome outcome) {
        endAttempt(attempt, outcome, FillResult.NONE, Map.of(), 0);
    }

    private void endAttempt(
            Attempt attempt, Outcome outcome, FillResult fillResult, Map<String, Double> load, double bodyKb) {
        if (attempt == null) {
            return;
        }
        Request request = attempt.request;
        attemptsByKey.remove(attempt.key);
        timers.cancel(attempt.timeoutTimer);
        timers.cancel(attempt.writeTimer);
        request.openAttempts.remove(attempt.number);
        request.mayHaveRun |= !outcome.provesNotRun;
        counters.add(Name.valueOf(outcome.name()));
        RequestTrace.attemptEnded(
                request.input.clientRequestId(),
                attempt.number,
                outcome,
                fillResult,
                attempt.written,
                now - attempt.startedAt);
        if (drainedMembers.isPresent() && fillResult == FillResult.HIT) {
            hitCount.add(now, attempt.member);
        }
        pendingEvents.add(new AttemptEnded(
                request.id,
                attempt.number,
                attempt.member,
                outcome,
                now - attempt.startedAt,
                request.closed,
                fillResult,
                0,
                load,
                bodyKb));
        rememberIfExecuted(request);
        removeIfDone(request);
    }

    // ---- timers ---------------------------------------------------------------------------------------

    private void fireTimers() {
        for (Timer timer = timers.pollDue(now); timer != null; timer = timers.pollDue(now)) {
            Attempt attempt = attemptsByKey.get(timer.subject());
            switch (timer.kind()) {
                case DECISION_MODULE -> pendingEvents.add(new TimerDue(timer.subject()));
                case ATTEMPT_TIMEOUT -> {
                    if (attempt != null) {
                        abandon(attempt);
                        endAttempt(attempt, Outcome.TIMEOUT);
                    }
                }
                case WRITE_TIMEOUT -> {
                    if (attempt != null && !attempt.written) {
                        abandon(attempt);
                        endAttempt(attempt, Outcome.CONNECT_FAILED);
                    }
                }
                case ANSWER_OVERDUE -> failOverdue(requestsById.get(Long.toString(timer.subject())));
                case SYNC_TIMEOUT -> giveUpSync();
                case EXIT_DEADLINE -> List.copyOf(unanswered.values()).forEach(this::failOverdue);
                case HIERARCHY, FLEET, EXIT_IF_QUIET -> {
                    // accept() handles these after every input
                }
            }
            dispatchEvents();
        }
    }

    /** Fails a request that the decision module has not answered in time. */
    private void failOverdue(Request request) {
        if (request != null && answer(request, Code.FAILED, false, 0, Bytes.NONE)) {
            counters.add(Name.OVERDUE);
            pendingEvents.add(new RequestAbandoned(request.id));
        }
    }

    private void terminate() {
        if (terminatedAt < 0) {
            terminatedAt = now;
            timers.add(now + limits.minTimeBeforeExit(), TimerQueue.Kind.EXIT_IF_QUIET, 0);
            timers.add(now + limits.exitDeadline(), TimerQueue.Kind.EXIT_DEADLINE, 0);
            effectSink.accept(new Effect.DrainClients());
            fleet.ifPresent(f -> f.leave(now));
        }
    }

    /** Whether the router accepts new requests: its member list is up to date and the process is not terminating. */
    public boolean ready() {
        return terminatedAt < 0
                && synced
                && !endpointsByMember.isEmpty()
                && fleet.map(FleetParticipant::membersUsable).orElse(true);
    }

    // ---- updates of the coordinator -------------------------------------------------------------------

    private void applyUpdate(String json) {
        try {
            applyUpdate(JsonObject.parse(json));
        } catch (InvalidInputException e) {
            counters.add(Name.BAD_INPUT);
            warningLog.warn(now, "an event of the coordinator is skipped: " + e.getMessage());
        }
    }

    /**
     * Whether all events up to the start of the coordinator's stream have been applied, or the wait for them has timed
     * out. Before that, decisions would be based on the member list in the configuration, which may be older than a
     * grace period.
     */
    public boolean synced() {
        return synced;
    }

    private void markSynced() {
        if (!synced) {
            synced = true;
            timers.cancel(syncTimer);
            LOG.info("caught up with the coordinator at event {}", lastEventIndex);
        }
    }

    private void giveUpSync() {
        if (!synced) {
            synced = true;
            counters.add(Name.STARTED_UNSYNCED);
            LOG.warn(
                    "the coordinator did not send all events within {} ms: serving with the state of event {}",
                    limits.syncTimeout() / MICROS_PER_MILLI,
                    lastEventIndex);
        }
    }

    /** Starts the router: applies the events in its configuration and sets the first timers. */
    public void applyInitialUpdates(long time, NodeConfig config, Consumer<Effect> effects) {
        now = time;
        wallNow = time;
        effectSink = effects;
        for (JsonObject update : config.initialUpdates()) {
            try {
                applyUpdate(update);
            } catch (InvalidInputException e) {
                counters.add(Name.BAD_INPUT);
                LOG.error("an event of the configuration is skipped: {}", e.getMessage());
            }
            dispatchEvents();
        }
        lastEventIndex = Math.max(lastEventIndex, config.initialIndex());
        pendingEvents.add(new DiscoveryHeartbeat());
        dispatchEvents();
        this.config = config;
        synced = config.coordinator().isEmpty();
        syncTimer = timers.add(now + limits.syncTimeout(), TimerQueue.Kind.SYNC_TIMEOUT, 0);
        advanceHierarchy();
        advanceFleet();
    }

    // ---- the hierarchy --------------------------------------------------------------------------------

    /**
     * Applies the operator's file and creates the fleet participant and the hierarchy that it configures. Called at
     * most once, before the events of the configuration are applied; without a call there is neither.
     */
    public void applyOperatorConfig(long time, OperatorConfig initial, String location, String name, long seed) {
        operatorConfig = initial;
        initial.fleet().ifPresent(section -> {
            fleet = Optional.of(
                    FleetFactory.create(section.setup(name, settings.rules()), time, seed, new Drains.Usage() {
                        @Override
                        public int underWay(long member) {
                            return (int) attemptsByKey.values().stream()
                                    .filter(a ->
                                            a.member == member || a.source == member || a.fillPath.contains(member))
                                    .count();
                        }

                        @Override
                        public double hits(long member) {
                            return hitCount.recentHits(now, member);
                        }
                    }));
            drainedMembers = fleet.filter(FleetParticipant::coordinatesDrains).map(f -> new DrainedMembers());
        });
        initial.hierarchy().ifPresent(section -> {
            long slowStartMicros = settings.rules().parentSlowStart().rampDuration();
            Hierarchy.Setup setup = new Hierarchy.Setup(
                    section.depot().isEmpty() ? location : section.depot(),
                    section.updateSource(),
                    section.timing(),
                    slowStartMicros);
            hierarchy = Optional.of(Hierarchy.start(
                    section.topology(),
                    section.previousTopology(),
                    section.lastUpdateNumber(),
                    time,
                    setup,
                    notice -> warningLog.warn(now, notice.text(), notice.fields())));
        });
    }

    /** Advances the hierarchy to the current time and passes changed fill sources to the decision module. */
    private void advanceHierarchy() {
        if (hierarchy.isEmpty()) {
            return;
        }
        Hierarchy current = hierarchy.get();
        current.advance(now);
        if (current.changed()) {
            pendingEvents.add(current.sources(Reducer::memberId));
            dispatchEvents();
        }
        long due = current.nextDue();
        if (due != hierarchyDue && due < Long.MAX_VALUE) {
            timers.cancel(hierarchyTimer);
            hierarchyTimer = timers.add(due, TimerQueue.Kind.HIERARCHY, 0);
        }
        hierarchyDue = due;
    }

    // ---- the fleet ------------------------------------------------------------------------------------

    /**
     * Advances this router's fleet participant to the current time: sends its packets, passes its events to the
     * decision module and writes its log events.
     */
    private void advanceFleet() {
        if (fleet.isEmpty()) {
            return;
        }
        FleetParticipant participant = fleet.get();
        // apply drains before the decision module can send anything: the router has to act on the drains it reports
        participant
                .takeDrainView()
                .flatMap(view -> drainedMembers.get().applyView(view))
                .ifPresent(pendingEvents::add);
        dispatchEvents();
        participant.advance(now);
        participant
                .takeDrainView()
                .flatMap(view -> drainedMembers.get().applyView(view))
                .ifPresent(pendingEvents::add);
        pendingEvents.addAll(participant.takeEvents());
        dispatchEvents();
        participant.takePackets().forEach(p -> effectSink.accept(new Effect.SendFleetPacket(p.address(), p.bytes())));
        participant.takeLogEvents().forEach(e -> fleetLog.info(now, e.text(), e.fields()));
        long due = participant.nextDue();
        if (due != fleetDue) {
            timers.cancel(fleetTimer);
            fleetTimer = timers.add(due, TimerQueue.Kind.FLEET, 0);
        }
        fleetDue = due;
    }

    /** Returns the fleet's table on one subject as JSON text; empty if there is no fleet or no such subject. */
    public Optional<String> fleetTable(String subject) {
        return fleet.flatMap(f -> f.rows(subject)).map(JsonRows::encode);
    }

    private void applyTopologyMessage(TopologyMessage message) {
        if (hierarchy.isEmpty()) {
            return; // the operator's file configures no hierarchy
        }
        if (message instanceof TopologyMessage.Update update) {
            hierarchy.get().accept(now, update.update());
        } else if (message instanceof TopologyMessage.Watermark watermark) {
            hierarchy.get().confirmUpdates(now, watermark.asOfMicros(), watermark.lastUpdateNumber());
        }
    }

    /** Returns the status fields, by name, of the hierarchy and the fleet if the operator has configured them. */
    public Map<String, String> statusFields() {
        Map<String, String> state = new LinkedHashMap<>();
        hierarchy.ifPresent(h -> state.putAll(h.snapshot().fields()));
        fleet.ifPresent(f -> state.putAll(f.fields()));
        return state;
    }

    /**
     * Applies a new operator's file and returns null, or returns the reason why it can't be applied. A running router
     * applies a new topology, and a changed section 'processor' if its 'listen' and 'tls' are the same. It rejects a
     * changed section 'fleet' and any other change of the section 'hierarchy'.
     */
    private String applyNewOperatorConfig(OperatorConfig next) {
        if (next.equals(operatorConfig)) {
            if (next.processor().isPresent()) {
                // the certificate files that the section names may have changed
                effectSink.accept(new Effect.ApplyOperatorConfig(next));
            }
            return null;
        }
        if (next.processor().isPresent() != operatorConfig.processor().isPresent()
                || next.processor().isPresent()
                        && !next.processor()
                                .get()
                                .canReplaceWhileRunning(
                                        operatorConfig.processor().get())) {
            return "the section 'processor' can't be added, removed or given another 'listen' or 'tls' while running";
        }
        if (!next.fleet().equals(operatorConfig.fleet())) {
            return "the section 'fleet' can't be changed while running";
        }
        if (next.hierarchy().isEmpty() && operatorConfig.hierarchy().isEmpty()) {
            operatorConfig = next;
            effectSink.accept(new Effect.ApplyOperatorConfig(next));
            return null;
        }
        if (next.hierarchy().isEmpty() || operatorConfig.hierarchy().isEmpty()) {
            return "the section 'hierarchy' can't be added or removed while running";
        }
        HierarchySection current = operatorConfig.hierarchy().get();
        HierarchySection proposed = next.hierarchy().get();
        if (current.updateSource() != proposed.updateSource()
                || !current.timing().equals(proposed.timing())
                || !current.depot().equals(proposed.depot())) {
            return "'news', 'depot' and the times of the section 'hierarchy' can't be changed while running";
        }
        if (!current.topology().equals(proposed.topology())) {
            List<Violation> problems = hierarchy
                    .get()
                    .accept(
                            now,
                            proposed.topology(),
                            endpointsByMember.values().stream()
                                    .map(Endpoint::instance)
                                    .collect(Collectors.toSet()));
            if (!problems.isEmpty()) {
                return "the topology of version " + proposed.topology().version() + ": "
                        + problems.get(0).text();
            }
        }
        operatorConfig = next;
        effectSink.accept(new Effect.ApplyOperatorConfig(next));
        return null;
    }

    /**
     * Applies a reloaded configuration and operator's file. If one of them is unusable, or changes a field that can't
     * be changed while running, neither is applied. Open requests are not affected.
     */
    private void reload(Input.Reload reload) {
        String problem = reload.config() == null
                ? reload.problem()
                : config.unfollowable(reload.config())
                        .map(field -> "field '" + field + "' can't be changed while running")
                        .orElse(null);
        problem = problem == null ? applyNewOperatorConfig(reload.operator()) : problem;
        counters.add(problem == null ? Name.RELOADS : Name.RELOADS_REFUSED);
        if (problem != null) {
            LOG.error("the new configuration is not used: {}", problem);
        } else if (reload.config().coordinator().equals(config.coordinator())) {
            LOG.info("the configuration was reloaded; the coordinator is unchanged");
        } else {
            config = reload.config();
            LOG.info("the configuration was reloaded; the coordinator is now at {}", config.coordinator());
            effectSink.accept(new Effect.FollowCoordinator(config.coordinator()));
        }
    }

    /**
     * Applies an event once and in order. On a gap, reopens the coordinator's stream from the last applied event, once
     * per gap; if the missing event is not sent then either, applies the later one.
     */
    private void applyUpdate(JsonObject update) throws InvalidInputException {
        long index = update.integer("index", lastEventIndex + 1);
        if (index <= lastEventIndex) {
            return; // already applied
        }
        if (index > lastEventIndex + 1 && gapDetectedAfter != lastEventIndex && config != null) {
            gapDetectedAfter = lastEventIndex;
            counters.add(Name.GAPS);
            warningLog.warn(
                    now,
                    "event " + index + " arrived after event " + lastEventIndex
                            + " with a gap: reopening the coordinator's stream");
            effectSink.accept(new Effect.FollowCoordinator(config.coordinator()));
            return;
        }
        lastEventIndex = index;
        counters.add(Name.UPDATES);
        // the parts are read independently: an unreadable one does not affect the others
        applyPart(index, "evict", update, this::applyPurge);
        applyPart(index, "endpoints", update, this::applyMemberList);
        applyPart(index, "shape", update, shape -> applyTopologyMessage(TopologyMessage.read(shape)));
    }

    /** Reads and applies one part of an event; it must read the whole part before it applies anything. */
    private interface PartReader {
        void apply(JsonObject part) throws InvalidInputException;
    }

    private void applyPart(long index, String name, JsonObject update, PartReader reader) {
        if (update.has(name)) {
            try {
                reader.apply(update.object(name));
            } catch (InvalidInputException e) {
                counters.add(Name.BAD_INPUT);
                warningLog.warn(now, "'" + name + "' of event " + index + " is skipped: " + e.getMessage());
            }
        }
    }

    private void applyPurge(JsonObject purge) throws InvalidInputException {
        counters.add(Name.PURGES);
        pendingEvents.add(new Purged(
                purge.text("ref", null),
                (int) purge.integer("shard", -1),
                ageOf(purge.integer("unix_ms") * MICROS_PER_MILLI)));
    }

    /**
     * Returns the time elapsed since a Unix time. If the wall clock was stepped since the start, either clock may be
     * wrong. The smaller result is the safe one: purges then cover more copies, and members stay in slow start longer.
     */
    private long ageOf(long unixMicros) {
        return Math.max(0, Math.min(now, wallNow) - unixMicros);
    }

    /**
     * Returns the start time of a member by this router's clock; 0 for long ago. The result does not change while the
     * coordinator reports the same start.
     */
    private long startTime(long member, long reportedStart) {
        Endpoint before = endpointsByMember.get(member);
        if (before != null && before.reportedStart() == reportedStart) {
            return before.started();
        }
        boolean clocksAgree = Math.abs(now - wallNow) <= CLOCK_TOLERANCE_MICROS;
        return reportedStart == 0 || clocksAgree ? reportedStart : now - ageOf(reportedStart);
    }

    /** A valid entry of a member list. */
    private record ListEntry(Member member, Endpoint endpoint) {}

    private ListEntry parseListEntry(JsonObject entry) throws InvalidInputException {
        String instance = entry.text("instanceId");
        State state = STATE_BY_LIFECYCLE.get(entry.text("lifecycle"));
        if (state == null) {
            throw new InvalidInputException("unknown lifecycle '" + entry.text("lifecycle") + "'");
        }
        long reportedStart = entry.integer("startedAtMs", 0) * MICROS_PER_MILLI;
        Member member = new Member(
                memberId(instance),
                settingsReader.role(entry.text("machineType", null)),
                settingsReader.zone(entry.text("zone")),
                (int) entry.integer("cell", 0),
                entry.number("weight", 1),
                startTime(memberId(instance), reportedStart),
                state);
        return new ListEntry(
                member,
                new Endpoint(
                        instance, NodeConfig.address(entry, "hostPort"), reportedStart, member.startedAt(), state));
    }

    /**
     * Applies a member list. The whole list is read before any entry is applied; an unreadable entry affects only its
     * own member, which stays as it was.
     */
    private void applyMemberList(JsonObject list) throws InvalidInputException {
        boolean snapshot = list.flag("reset");
        long version = list.integer("generation", 0);
        List<ListEntry> entries = new ArrayList<>();
        Set<Long> unreadable = new HashSet<>();
        for (JsonObject each : list.objects("instances")) {
            counters.add(Name.LIST_LINES);
            try {
                entries.add(parseListEntry(each));
            } catch (InvalidInputException e) {
                counters.add(Name.BAD_INPUT);
                warningLog.warn(now, "an entry of a member list is skipped: " + e.getMessage());
                unreadable.add(memberId(String.valueOf(each.value("instanceId"))));
            }
        }
        if (entries.isEmpty() && !unreadable.isEmpty()) {
            return; // no entry is readable
        }
        List<Member> members = new ArrayList<>();
        for (ListEntry entry : entries) {
            Member member = entry.member();
            State state = member.state();
            String instance = entry.endpoint().instance();
            members.add(member);
            if (state == State.GONE) {
                fleetMembers.remove(member.id());
            } else {
                fleetMembers.put(
                        member.id(),
                        new Fleet.ListedMember(instance, member.role(), member.startedAt(), state == State.READY));
            }
            Endpoint before = endpointsByMember.put(member.id(), entry.endpoint());
            logEndpointChange(before, entry.endpoint());
            if (state == State.GONE) {
                removeMember(member.id());
            } else if (before != null && before.started() != member.startedAt()) {
                effectSink.accept(new Effect.DropConnections(instance, member.startedAt()));
            } else if (before != null
                    && !before.address().equals(entry.endpoint().address())) {
                effectSink.accept(new Effect.RetireConnections(instance));
            }
        }
        members.addAll(removeReplacedMembers(entries));
        if (snapshot) { // members that a full list lacks have been removed
            Set<Long> listed = members.stream().map(Member::id).collect(Collectors.toSet());
            listed.addAll(unreadable);
            endpointsByMember.keySet().stream()
                    .filter(id -> !listed.contains(id))
                    .toList()
                    .forEach(this::removeMember);
            fleetMembers.keySet().retainAll(listed);
        }
        fleet.ifPresent(f -> f.updateMembers(now, fleetMembers));
        hierarchy.ifPresent(h -> h.updateStartTimes(endpointsByMember.values().stream()
                .collect(Collectors.toMap(Endpoint::instance, Endpoint::started, Math::max))));
        MemberListUpdate memberList =
                new MemberListUpdate(snapshot ? MemberListKind.SNAPSHOT : MemberListKind.DELTA, version, members);
        if (drainedMembers.isEmpty()) {
            pendingEvents.add(memberList);
        } else {
            drainedMembers.get().applyListUpdate(memberList).ifPresent(pendingEvents::add);
        }
    }

    /**
     * Removes the members at whose address an entry lists another member that started later: one process listens at an
     * address, so the earlier one is gone, though the coordinator has not said so yet. Returns them as gone.
     */
    private List<Member> removeReplacedMembers(List<ListEntry> entries) {
        Set<Long> listed = entries.stream().map(e -> e.member().id()).collect(Collectors.toSet());
        Map<String, Endpoint> currentByAddress = new HashMap<>();
        entries.stream()
                .filter(e -> e.member().state() != State.GONE)
                .forEach(e -> currentByAddress.put(e.endpoint().address(), e.endpoint()));
        List<Member> replaced = new ArrayList<>();
        List.copyOf(endpointsByMember.entrySet()).forEach(each -> {
            Endpoint endpoint = each.getValue();
            Endpoint current = currentByAddress.get(endpoint.address());
            if (current != null && !listed.contains(each.getKey()) && endpoint.started() < current.started()) {
                counters.add(Name.MEMBERS_REPLACED);
                endpointLog.info(
                        now,
                        "event " + lastEventIndex + ": endpoint " + endpoint.instance() + " is gone: "
                                + current.instance() + " has its address",
                        Map.of());
                Fleet.ListedMember member = fleetMembers.remove(each.getKey());
                replaced.add(new Member(each.getKey(), member.role(), 0, 0, 1, endpoint.started(), State.GONE));
                removeMember(each.getKey());
            }
        });
        return replaced;
    }

    /** Logs an endpoint whose state or process start changed; the list in the configuration is not logged. */
    private void logEndpointChange(Endpoint before, Endpoint after) {
        if (config != null
                && (before == null || before.state() != after.state() || before.started() != after.started())) {
            endpointLog.info(
                    now,
                    "event " + lastEventIndex + ": endpoint " + after.instance() + " is " + after.state() + ", was "
                            + (before == null ? "not listed" : before.state()),
                    Map.of());
        }
    }

    private void removeMember(long member) {
        effectSink.accept(
                new Effect.RetireConnections(endpointsByMember.remove(member).instance()));
    }

    /** Returns the id of a member: the FNV-1a hash of its name, the same at every router and after every restart. */
    static long memberId(String instance) {
        long hash = 0xcbf29ce484222325L;
        for (byte b : instance.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (b & 0xff)) * 0x100000001b3L;
        }
        return hash;
    }
}
