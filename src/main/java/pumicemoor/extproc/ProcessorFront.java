package pumicemoor.extproc;

import io.grpc.Context;
import io.grpc.Contexts;
import io.grpc.Grpc;
import io.grpc.Metadata;
import io.grpc.Server;
import io.grpc.ServerCall;
import io.grpc.ServerCallHandler;
import io.grpc.ServerInterceptor;
import io.grpc.Status;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;
import io.grpc.netty.shaded.io.netty.channel.EventLoopGroup;
import io.grpc.netty.shaded.io.netty.channel.nio.NioEventLoopGroup;
import io.grpc.netty.shaded.io.netty.channel.socket.nio.NioServerSocketChannel;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import javax.net.ssl.SSLPeerUnverifiedException;
import javax.net.ssl.SSLSession;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import pumicemoor.RefusalPolicy;
import pumicemoor.RefusalPolicy.EarlierAttempts;
import pumicemoor.RefusalPolicy.Rejection;
import pumicemoor.RouterApi;
import pumicemoor.calls.CallRules;
import pumicemoor.calls.CallRules.RequestAttributes;
import pumicemoor.calls.CallState;
import pumicemoor.calls.CallState.Phase;
import pumicemoor.calls.CallState.StreamAction;
import pumicemoor.calls.CallState.Style;
import pumicemoor.calls.FairAdmission;
import pumicemoor.idempotency.RequestHistory;
import pumicemoor.node.Bytes;
import pumicemoor.node.CallFront;
import pumicemoor.node.CallLoop;
import pumicemoor.node.Effect;
import pumicemoor.node.Input;
import pumicemoor.node.Input.AnswerStatus;
import pumicemoor.operator.OperatorConfig;
import pumicemoor.operator.ProcessorSection;
import pumicemoor.wire.InvalidInputException;
import pumicemoor.wire.SettingsReader;

/**
 * The gRPC server for other proxies, and the adapter between its streams and the router's event loop. It owns the
 * streams by request number, the attempts kept ready for a caller's retry, and the counters; all of these are used on
 * the loop's thread only. It must never decide: CallState determines which messages a stream may carry, and the
 * decision module what happens to a request.
 */
public final class ProcessorFront implements CallFront {

    private static final Logger LOG = LoggerFactory.getLogger(ProcessorFront.class);
    /** The transport logs a stack trace for each oversized message; an error status to the caller is enough. */
    private static final java.util.logging.Logger TRANSPORT_LOG =
            java.util.logging.Logger.getLogger("io.grpc.netty.shaded.io.grpc.netty");

    private static final Context.Key<String> CALLER = Context.key("caller");
    private static final Metadata.Key<String> CALLER_NAME =
            Metadata.Key.of("x-pumicemoor-caller", Metadata.ASCII_STRING_MARSHALLER);
    private static final int MAX_NAME_LENGTH = 128;
    // ids of ended requests that must not run twice
    private static final int MAX_IDS_THAT_MAY_HAVE_RUN = 100_000;
    private static final int MAX_IDS_THAT_HAVE_NOT_RUN = 10_000;
    private static final long ID_RETENTION_MICROS = 600_000_000L;
    // an answer is sent this long before the caller's message timeout
    private static final long ANSWER_MARGIN_MICROS = 15_000;
    // a stream may exceed its request's deadline by this much
    private static final long STREAM_GRACE_MICROS = 2_000_000;
    private static final long MICROS_PER_MILLI = 1_000;

    enum Count {
        CALLS,
        PASSED,
        REFUSED_BY_BOUND,
        REFUSED_BY_RULE,
        REFUSED_LATE,
        REPEATS_FAILED,
        NAMED,
        ENDS,
        FINALS,
        WITHDRAWN,
        ABORTED,
        TRIED_AGAIN,
        STREAMS_EXPIRED
    }

    private final SettingsReader settingsReader;
    private ProcessorSection section;
    private CallRules rules;
    private final FairAdmission admission;
    private final RequestHistory history =
            new RequestHistory(MAX_IDS_THAT_MAY_HAVE_RUN, MAX_IDS_THAT_HAVE_NOT_RUN, ID_RETENTION_MICROS);
    private final TlsFiles tls;
    private final Map<Long, Stream> streams = new HashMap<>();
    private final Map<String, ReadyAttempt> readyAttempts = new HashMap<>();
    private final Map<Count, Long> counts = new EnumMap<>(Count.class);
    private final EventLoopGroup boss = new NioEventLoopGroup(1);
    private final EventLoopGroup workers = new NioEventLoopGroup(1);
    private CallLoop loop;
    private Server server;
    private long lastRequestNumber;
    private boolean draining;

    /** An attempt that is kept ready until the caller itself retries the request. */
    private record ReadyAttempt(
            long requestNumber, Effect.AnnounceAttempt attempt, String historyId, boolean mayHaveRun) {}

    /** One stream of a caller, of either service. */
    abstract static class Stream {
        final String caller;
        final CallState state;
        long requestNumber; // in the reducer; negative
        String id = "";
        String historyId; // null if the request may run twice
        Effect.AnnounceAttempt attempt; // the last attempt sent to the caller
        AnswerStatus endStatus; // of that attempt, as reported; null if only its connection is known to be lost
        String note;
        RouterApi.RequestClass requestClass; // null before it is known
        boolean admitted;
        boolean ended;
        boolean unreached; // the attempt that ended never reached its member
        Object answeredPhase; // the message that the next "continue" answers
        final List<Runnable> timers = new ArrayList<>(2); // cancellations of its timers

        private final ServerCallStreamObserver<?> out;

        Stream(String caller, Style style, ServerCallStreamObserver<?> out) {
            this.caller = caller;
            this.state = new CallState(style);
            this.out = out;
        }

        abstract void sendAttempt(Effect.AnnounceAttempt attempt);

        abstract void sendFinal(CallState.Code code, long retryAfterMillis);

        abstract void sendContinue();

        /** Whether the caller can still receive messages. */
        boolean callerConnected() {
            return !out.isCancelled();
        }

        void complete() {
            if (callerConnected()) {
                out.onCompleted();
            }
        }

        void abort(Status status) {
            if (callerConnected()) {
                out.onError(status.asRuntimeException());
            }
        }

        /** Requests the next message from the transport, once this one is processed. */
        void requestNextMessage() {
            if (!ended) {
                out.request(1);
            }
        }
    }

    public ProcessorFront(ProcessorSection section, SettingsReader settingsReader) throws IOException {
        TRANSPORT_LOG.setLevel(Level.SEVERE);
        this.section = section;
        this.settingsReader = settingsReader;
        this.rules = section.callRules();
        this.admission = new FairAdmission(section.limits());
        this.tls = section.tls().isPresent() ? new TlsFiles(section.tls().get()) : null;
        for (Count counter : Count.values()) {
            counts.put(counter, 0L);
        }
    }

    /** Checks that the request classes in the rules exist; the exception names the first class that does not. */
    public static void check(ProcessorSection section, SettingsReader settingsReader) throws InvalidInputException {
        for (ProcessorSection.RuleSpec rule : section.rules()) {
            settingsReader.requestClass(rule.requestClass());
        }
    }

    /**
     * Warms up the JVM with calls to a separate front, so that the first callers get quick answers; must be called
     * before the start.
     */
    public void warmUp() throws IOException, InterruptedException {
        long startNanos = System.nanoTime();
        int calls = FrontWarmUp.run(section, settingsReader);
        LOG.info(
                "warmed up with {} calls from proxies in {} ms",
                calls,
                TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos));
    }

    @Override
    public void start(CallLoop callLoop) throws IOException {
        open(callLoop);
        LOG.info(
                "calls from proxies are accepted on {}{}; nothing is known of calls before this start",
                section.listen(),
                tls == null ? " in plain text" : "");
    }

    /** Starts the gRPC server, whose calls are all processed on this event loop. */
    void open(CallLoop callLoop) throws IOException {
        loop = callLoop;
        int colon = section.listen().lastIndexOf(':');
        InetSocketAddress address = new InetSocketAddress(
                section.listen().substring(0, colon),
                Integer.parseInt(section.listen().substring(colon + 1)));
        NettyServerBuilder builder = tls == null
                ? NettyServerBuilder.forAddress(address)
                : NettyServerBuilder.forAddress(address, tls.credentials());
        server = builder.bossEventLoopGroup(boss)
                .workerEventLoopGroup(workers)
                .channelType(NioServerSocketChannel.class)
                .directExecutor()
                .maxInboundMessageSize(section.headerBytes())
                .maxInboundMetadataSize(section.headerBytes())
                .maxConcurrentCallsPerConnection(section.callsPerConnection())
                .addService(new ExtProcService(this))
                .addService(new DecisionsService(this))
                .intercept(new CallerNameInterceptor())
                .build()
                .start();
    }

    /** The port of the listener. */
    public int port() {
        return server.getPort();
    }

    /** Determines the caller's name: its certificate subject, else the name header, else the remote address. */
    private static final class CallerNameInterceptor implements ServerInterceptor {
        @Override
        public <Q, A> ServerCall.Listener<Q> interceptCall(
                ServerCall<Q, A> call, Metadata headers, ServerCallHandler<Q, A> next) {
            SSLSession session = call.getAttributes().get(Grpc.TRANSPORT_ATTR_SSL_SESSION);
            SocketAddress address = call.getAttributes().get(Grpc.TRANSPORT_ATTR_REMOTE_ADDR);
            String name = headers.get(CALLER_NAME);
            if (session != null) {
                try {
                    name = session.getPeerPrincipal().getName();
                } catch (SSLPeerUnverifiedException e) {
                    // the peer has sent no certificate, and none is required
                }
            }
            String caller = name == null ? String.valueOf(address) : name;
            return Contexts.interceptCall(
                    Context.current()
                            .withValue(CALLER, caller.substring(0, Math.min(MAX_NAME_LENGTH, caller.length()))),
                    call,
                    headers,
                    next);
        }
    }

    static String caller() {
        return CALLER.get();
    }

    // ---- messages from callers, on the transport's thread ---------------------------------------------

    /** Passes messages to the event loop one at a time: the next is requested when one has been processed. */
    <Q> StreamObserver<Q> receive(
            Stream stream, ServerCallStreamObserver<?> out, java.util.function.Consumer<Q> handler) {
        out.disableAutoRequest();
        out.setOnCancelHandler(() -> loop.execute(() -> execute(stream, stream.state.callerGone())));
        out.request(1);
        return new StreamObserver<>() {
            @Override
            public void onNext(Q message) {
                loop.execute(() -> {
                    if (!stream.ended) {
                        handler.accept(message);
                        stream.requestNextMessage();
                    }
                });
            }

            @Override
            public void onError(Throwable cause) {
                loop.execute(() -> execute(stream, stream.state.callerGone()));
            }

            @Override
            public void onCompleted() {
                loop.execute(() -> execute(stream, stream.state.halfClosed()));
            }
        };
    }

    // ---- on the loop's thread -------------------------------------------------------------------------

    /** Handles a request given by its HTTP headers, which are matched against the rules. */
    void request(Stream stream, Map<String, String> headers) {
        String method = headers.getOrDefault(":method", "");
        String path = headers.get(":path");
        String id = headers.get("x-request-id");
        if (stream.state.phase() != Phase.NEW) {
            execute(stream, stream.state.request());
            return;
        }
        if (path == null || id == null) {
            execute(stream, malformed(stream, "no path or no x-request-id"));
            return;
        }
        int earlierTries = Headers.earlierTries(headers);
        Optional<RequestAttributes> attributes = rules.match(method, path, headers);
        if (attributes.isPresent()) {
            long ttlMillis = parseNumber(headers.get("x-envoy-expected-rq-timeout-ms"));
            request(stream, id, attributes.get(), ttlMillis, earlierTries);
        } else if (rules.noRule() == CallRules.NoRule.PASS) {
            count(Count.PASSED);
            execute(stream, stream.state.passThrough());
        } else {
            rejectWithoutRule(stream, id, earlierTries);
        }
    }

    /** Rejects a request that no rule matches, so that its class is not known. */
    private void rejectWithoutRule(Stream stream, String id, int earlierTries) {
        stream.id = stream.caller + '/' + id;
        EarlierAttempts earlier = history.earlierAttempts(loop.clock(), stream.id, earlierTries);
        Rejection rejection = RefusalPolicy.rejectUnclassified(earlier, 0);
        if (rejection.refused()) {
            count(Count.REFUSED_BY_RULE);
            if (id.length() <= MAX_NAME_LENGTH) {
                history.turnedAway(loop.clock(), stream.id);
            }
            execute(stream, stream.state.reject(rejection));
        } else {
            failRepeat(stream);
        }
    }

    /** Handles a request to be decided, which its caller has sent this many times before. */
    void request(Stream stream, String id, RequestAttributes attributes, long ttlMillis, int earlierTries) {
        count(Count.CALLS);
        int requestClass;
        try {
            requestClass = settingsReader.requestClass(attributes.requestClass());
        } catch (InvalidInputException e) {
            execute(stream, malformed(stream, "an unknown class"));
            return;
        }
        if (id.isEmpty() || id.length() > MAX_NAME_LENGTH || stream.state.phase() != Phase.NEW) {
            execute(
                    stream,
                    stream.state.phase() == Phase.NEW
                            ? malformed(stream, "an id that is empty or too long")
                            : stream.state.request());
            return;
        }
        stream.id = stream.caller + '/' + id;
        stream.requestClass = settingsReader.settings().classes().get(requestClass);
        ReadyAttempt ready = readyAttempts.get(stream.id);
        EarlierAttempts earlier = ready != null
                ? EarlierAttempts.of(ready.mayHaveRun())
                : history.earlierAttempts(loop.clock(), stream.id, earlierTries);
        if (isUnsafe(stream) && earlier == EarlierAttempts.MAY_HAVE_RUN) {
            failRepeat(stream);
            return;
        }
        FairAdmission.Decision decision =
                draining ? FairAdmission.Decision.DRAINING : admission.admit(loop.clock(), stream.caller);
        if (!decision.admitted()) {
            count(Count.REFUSED_BY_BOUND);
            if (isUnsafe(stream)) {
                history.turnedAway(loop.clock(), stream.id);
            }
            execute(
                    stream,
                    stream.state.reject(
                            RefusalPolicy.reject(stream.requestClass, earlier, decision.retryAfterMicros())));
            return;
        }
        stream.admitted = true;
        if (ready != null) {
            adopt(stream, ready);
            return;
        }
        if (isUnsafe(stream)) {
            history.begin(stream.id);
            stream.historyId = stream.id;
        }
        stream.requestNumber = --lastRequestNumber;
        streams.put(stream.requestNumber, stream);
        long timeoutMillis = ttlMillis > 0
                ? Math.min(ttlMillis, stream.requestClass.deadline() / MICROS_PER_MILLI)
                : stream.requestClass.deadline() / MICROS_PER_MILLI;
        List<StreamAction> actions = stream.state.request();
        stream.timers.add(loop.schedule(
                Math.max(
                        1,
                        Math.min(section.messageTimeoutMicros(), timeoutMillis * MICROS_PER_MILLI)
                                - ANSWER_MARGIN_MICROS),
                () -> onMessageTimeout(stream)));
        stream.timers.add(loop.schedule(timeoutMillis * MICROS_PER_MILLI + STREAM_GRACE_MICROS, () -> expire(stream)));
        for (StreamAction action : actions) {
            if (action instanceof StreamAction.RequestDecision) {
                loop.submit(new Input.Call(
                        stream.requestNumber,
                        stream.id,
                        attributes.requestClass(),
                        attributes.object(),
                        attributes.part(),
                        attributes.group(),
                        timeoutMillis,
                        earlierTries > 0));
            }
        }
    }

    private static boolean isUnsafe(Stream stream) {
        return stream.requestClass.idempotency() != RouterApi.Idempotency.SAFE;
    }

    /** Fails a call of which an earlier attempt may have run, so that it must get neither an attempt nor a refusal. */
    private void failRepeat(Stream stream) {
        count(Count.REPEATS_FAILED);
        loop.reportError("a repeated call fails, since an earlier attempt may have run: " + printable(stream.id));
        execute(stream, stream.state.reject(RefusalPolicy.FAILED));
    }

    /** Gives the attempt that was kept ready to the next try of the same request. */
    private void adopt(Stream stream, ReadyAttempt ready) {
        count(Count.TRIED_AGAIN);
        readyAttempts.remove(stream.id);
        stream.requestNumber = ready.requestNumber();
        stream.historyId = ready.historyId();
        if (stream.historyId != null) {
            history.begin(stream.historyId);
        }
        stream.attempt = ready.attempt();
        streams.put(stream.requestNumber, stream);
        stream.timers.add(loop.schedule(stream.requestClass.deadline() + STREAM_GRACE_MICROS, () -> expire(stream)));
        execute(stream, stream.state.adopt(ready.attempt().attempt()));
    }

    private void onMessageTimeout(Stream stream) {
        if (!stream.ended && stream.state.phase() == Phase.DECIDING) {
            Rejection rejection = RefusalPolicy.reject(
                    stream.requestClass, EarlierAttempts.of(stream.state.mayHaveRun()), section.messageTimeoutMicros());
            List<StreamAction> actions = stream.state.messageTimeUp(rejection);
            if (!actions.isEmpty()) {
                count(Count.REFUSED_LATE);
            }
            execute(stream, actions);
        }
    }

    /** Ends a stream that is still open after its request's deadline and the grace period. */
    private void expire(Stream stream) {
        if (!stream.ended) {
            count(Count.STREAMS_EXPIRED);
            execute(stream, stream.state.callerGone());
            stream.abort(Status.DEADLINE_EXCEEDED.withDescription("the request's time is long over"));
        }
    }

    /** Reports how an attempt ended; attempt number -1 means the last one sent to the caller. */
    void response(Stream stream, int attemptNumber, AnswerStatus status, String note) {
        stream.endStatus = status;
        stream.note = note;
        execute(
                stream,
                stream.state.response(
                        attemptNumber,
                        status == AnswerStatus.ABSENT || status == AnswerStatus.FULL || status == AnswerStatus.MOOT));
    }

    /** Reports that the last attempt sent to the caller never reached its member. */
    void unreached(Stream stream) {
        stream.unreached = true;
        execute(stream, stream.state.response(stream.attempt.attempt(), true));
    }

    /** Handles a message on which no decision depends: a body or trailers. */
    void bodyOrTrailers(Stream stream) {
        execute(stream, stream.state.bodyOrTrailers());
    }

    List<StreamAction> malformed(Stream stream, String reason) {
        List<StreamAction> actions = new ArrayList<>(stream.state.callerGone());
        actions.add(new StreamAction.Abort(reason));
        return actions;
    }

    /**
     * Executes the actions that the call state has returned. Submitting an input may deliver a result of the decision
     * logic to this front before the remaining actions are executed.
     */
    void execute(Stream stream, List<StreamAction> actions) {
        for (StreamAction action : actions) {
            if (action instanceof StreamAction.AnnounceAttempt) {
                count(Count.NAMED);
                stream.sendAttempt(stream.attempt);
            } else if (action instanceof StreamAction.SendFinalAnswer answer) {
                count(Count.FINALS);
                stream.sendFinal(answer.code(), (answer.retryAfterMicros() + MICROS_PER_MILLI - 1) / MICROS_PER_MILLI);
            } else if (action instanceof StreamAction.PassThrough) {
                stream.sendContinue();
            } else if (action instanceof StreamAction.ReportAttemptEnd) {
                count(Count.ENDS);
                Effect.AnnounceAttempt ended = stream.attempt;
                AnswerStatus status = stream.endStatus;
                boolean unreached = stream.unreached;
                stream.unreached = false;
                loop.submit(
                        unreached
                                ? new Input.AttemptNeverSent(ended.key())
                                : status == null
                                        ? new Input.ConnectionLost(ended.key())
                                        : new Input.AttemptAnswered(
                                                ended.key(), status, stream.note, Map.of(), Bytes.NONE));
            } else if (action instanceof StreamAction.Withdraw) {
                count(Count.WITHDRAWN);
                streams.remove(stream.requestNumber);
                loop.submit(new Input.RequestCancelled(stream.requestNumber, 0));
            } else if (action instanceof StreamAction.Complete) {
                finish(stream);
                stream.complete();
            } else if (action instanceof StreamAction.Abort abort) {
                count(Count.ABORTED);
                loop.reportError("a call from a proxy was aborted: " + abort.reason());
                finish(stream);
                stream.abort(Status.INVALID_ARGUMENT.withDescription(abort.reason()));
            }
        }
        if (stream.state.phase() == Phase.ENDED) {
            finish(stream);
        }
    }

    /** Releases the resources of an ended stream; only the id of a request that must not run twice is kept. */
    private void finish(Stream stream) {
        if (stream.ended) {
            return;
        }
        stream.ended = true;
        stream.timers.forEach(Runnable::run);
        streams.remove(stream.requestNumber, stream);
        if (stream.admitted) {
            admission.ended(stream.caller);
        }
        if (stream.historyId != null) {
            history.ended(loop.clock(), stream.historyId, stream.state.mayHaveRun());
        }
    }

    // ---- results of the decision module ----------------------------------------------------------------

    @Override
    public void attemptAnnounced(Effect.AnnounceAttempt attempt) {
        Stream stream = streams.get(attempt.call());
        if (stream == null) {
            return; // the call was cancelled meanwhile
        }
        if (stream.state.phase() == Phase.RESPONDED && section.retryWaitMicros() > 0) {
            keepReady(stream, attempt);
            return;
        }
        if (stream.state.phase() == Phase.DECIDING || stream.state.phase() == Phase.ANNOUNCED) {
            stream.attempt = attempt;
        }
        execute(stream, stream.state.attemptAnnounced(attempt.attempt()));
    }

    private void keepReady(Stream stream, Effect.AnnounceAttempt attempt) {
        stream.state.detach();
        streams.remove(attempt.call());
        ReadyAttempt ready = new ReadyAttempt(attempt.call(), attempt, stream.historyId, stream.state.mayHaveRun());
        stream.historyId = null;
        readyAttempts.put(stream.id, ready);
        loop.schedule(section.retryWaitMicros(), () -> {
            if (readyAttempts.remove(stream.id, ready)) {
                discard(ready);
                loop.submit(new Input.RequestCancelled(ready.requestNumber(), 0));
            }
        });
    }

    @Override
    public void answered(long call, Effect.Code code, long retryAfterMillis) {
        Stream stream = streams.remove(call);
        if (stream != null) {
            execute(
                    stream,
                    stream.state.finalAnswer(CallState.Code.valueOf(code.name()), retryAfterMillis * MICROS_PER_MILLI));
            return;
        }
        readyAttempts.values().stream()
                .filter(ready -> ready.requestNumber() == call)
                .findFirst()
                .ifPresent(ready -> {
                    readyAttempts.values().remove(ready);
                    discard(ready);
                });
    }

    /** Discards a ready attempt that was not used; whether its request may have run is still recorded. */
    private void discard(ReadyAttempt ready) {
        if (ready.historyId() != null) {
            history.ended(loop.clock(), ready.historyId(), ready.mayHaveRun());
        }
    }

    @Override
    public void applyOperatorConfig(OperatorConfig operator) {
        operator.processor().ifPresent(next -> {
            try {
                check(next, settingsReader);
            } catch (InvalidInputException e) {
                LOG.error("reloading the processor section failed, the rules in force are kept: {}", e.getMessage());
                return;
            }
            section = next;
            rules = next.callRules();
            admission.limits(next.limits());
            if (tls != null) {
                tls.reload();
            }
        });
    }

    @Override
    public void drain() {
        draining = true;
        server.shutdown();
    }

    @Override
    public void close() {
        server.shutdownNow();
        boss.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
        workers.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private void count(Count counter) {
        counts.merge(counter, 1L, Long::sum);
    }

    @Override
    public Map<String, String> statusFields() {
        Map<String, String> state = new LinkedHashMap<>();
        counts.forEach((counter, value) -> state.put(
                "processor-" + counter.name().toLowerCase(Locale.ROOT).replace('_', '-'), Long.toString(value)));
        state.put("processor-open", Integer.toString(admission.openCalls()));
        state.put("processor-held-ready", Integer.toString(readyAttempts.size()));
        state.put("processor-ids-kept", Integer.toString(history.size()));
        state.put("processor-ids-forgotten-early", Long.toString(history.forgottenEarly()));
        return state;
    }

    /** A text of a peer in a form that fits a line of the log. */
    private static String printable(String text) {
        return text.substring(0, Math.min(2 * MAX_NAME_LENGTH, text.length())).replaceAll("\\p{Cntrl}", "?");
    }

    private static long parseNumber(String text) {
        return text != null && text.matches("\\d{1,9}") ? Long.parseLong(text) : 0;
    }
}
