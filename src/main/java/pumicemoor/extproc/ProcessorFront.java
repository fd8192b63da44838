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
import pumicemoor.RouterApi;
import pumicemoor.calls.CallRegistry;
import pumicemoor.calls.CallRules;
import pumicemoor.calls.CallRules.About;
import pumicemoor.calls.CallState;
import pumicemoor.calls.CallState.Act;
import pumicemoor.calls.CallState.Phase;
import pumicemoor.calls.CallState.Style;
import pumicemoor.calls.FairAdmission;
import pumicemoor.node.Bytes;
import pumicemoor.node.CallFront;
import pumicemoor.node.CallLoop;
import pumicemoor.node.Effect;
import pumicemoor.node.Input;
import pumicemoor.node.Input.AnswerStatus;
import pumicemoor.operator.OperatorConfig;
import pumicemoor.operator.ProcessorSection;
import pumicemoor.wire.SettingsReader;
import pumicemoor.wire.WireException;

/**
 * The gRPC server, and what connects its streams with the router's loop. It owns the streams by number, the attempts
 * held ready for a caller that tries again, and the counts; all of that lives on the loop's thread. It must never
 * decide: CallState says what a stream may say, the decisions what a request gets.
 */
public final class ProcessorFront implements CallFront {

    private static final Logger LOG = LoggerFactory.getLogger(ProcessorFront.class);
    /** The transport would log a stack trace for each message that is too long; the caller is told, which is enough. */
    private static final java.util.logging.Logger TRANSPORT_LOG =
            java.util.logging.Logger.getLogger("io.grpc.netty.shaded.io.grpc.netty");

    private static final Context.Key<String> CALLER = Context.key("caller");
    private static final Metadata.Key<String> CALLER_NAME =
            Metadata.Key.of("x-pumicemoor-caller", Metadata.ASCII_STRING_MARSHALLER);
    private static final int LONGEST_NAME = 128;
    private static final int BOOK = 100_000; // ids of requests with an effect
    private static final long BOOK_KEPT = 600_000_000L; // microseconds
    private static final long MARGIN = 15_000; // microseconds before a caller's time-out in which an answer leaves
    private static final long STREAM_GRACE = 2_000_000; // microseconds a stream may outlast its request's time
    private static final long MILLI = 1_000;

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

    private final SettingsReader words;
    private ProcessorSection section;
    private CallRules rules;
    private final FairAdmission admission;
    private final CallRegistry book = new CallRegistry(BOOK, BOOK_KEPT);
    private final TlsFiles tls;
    private final Map<Long, Stream> streams = new HashMap<>();
    private final Map<String, Held> held = new HashMap<>();
    private final Map<Count, Long> counts = new EnumMap<>(Count.class);
    private final EventLoopGroup boss = new NioEventLoopGroup(1);
    private final EventLoopGroup workers = new NioEventLoopGroup(1);
    private CallLoop loop;
    private Server server;
    private long lastNumber;
    private boolean draining;

    /** An attempt that the decisions hold ready until the caller tries again by itself. */
    private record Held(long number, Effect.AnnounceAttempt name, String bookId, boolean mayHaveRun) {}

    /** One stream of a caller, whichever service it came by. */
    abstract static class Stream {
        final String caller;
        final CallState state;
        long number; // of the request in the reducer, under 0
        String id = "";
        String bookId; // where its request must not run twice
        Effect.AnnounceAttempt name; // the attempt named last
        AnswerStatus end; // how that ended, as it was heard
        String note;
        boolean admitted;
        boolean ended;
        boolean unreached; // the attempt that ends never reached its member
        Object heard; // the phase that GoOn answers
        final List<Runnable> timers = new ArrayList<>(2); // to be taken back at its end

        private final ServerCallStreamObserver<?> out;

        Stream(String caller, Style style, ServerCallStreamObserver<?> out) {
            this.caller = caller;
            this.state = new CallState(style);
            this.out = out;
        }

        abstract void tellName(Effect.AnnounceAttempt attempt);

        abstract void tellFinal(CallState.Code code, long stayAwayMillis);

        abstract void goOn();

        /** Whether anyone is there to be told. */
        boolean heardBy() {
            return !out.isCancelled();
        }

        void complete() {
            if (heardBy()) {
                out.onCompleted();
            }
        }

        void abort(Status status) {
            if (heardBy()) {
                out.onError(status.asRuntimeException());
            }
        }

        /** Asks for the next message, once this one is done with. */
        void more() {
            if (!ended) {
                out.request(1);
            }
        }
    }

    public ProcessorFront(ProcessorSection section, SettingsReader words) throws IOException {
        TRANSPORT_LOG.setLevel(Level.SEVERE);
        this.section = section;
        this.words = words;
        this.rules = section.callRules();
        this.admission = new FairAdmission(section.limits());
        this.tls = section.tls().isPresent() ? new TlsFiles(section.tls().get()) : null;
        for (Count c : Count.values()) {
            counts.put(c, 0L);
        }
    }

    /** The classes that rules name must be known; the exception names the first that is not. */
    public static void check(ProcessorSection section, SettingsReader words) throws WireException {
        for (ProcessorSection.RuleText rule : section.rules()) {
            words.requestClass(rule.requestClass());
        }
    }

    /** Makes calls to itself first, so that its first callers find it quick; before the start. */
    public void rehearse() throws IOException, InterruptedException {
        long began = System.nanoTime();
        int calls = FrontRehearsal.run(section, words);
        LOG.info(
                "{} calls of other proxies were rehearsed in {} ms",
                calls,
                TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began));
    }

    @Override
    public void start(CallLoop on) throws IOException {
        open(on);
        LOG.info(
                "calls of other proxies are taken on {}{}; no call is known from before",
                section.listen(),
                tls == null ? " in plain text" : "");
    }

    /** Listens; what is heard goes to this loop. */
    void open(CallLoop on) throws IOException {
        loop = on;
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
                .intercept(new NameCaller())
                .build()
                .start();
    }

    /** Where it listens. */
    public int port() {
        return server.getPort();
    }

    /** Who calls: the subject of its certificate, else the name it gives, else its connection. */
    private static final class NameCaller implements ServerInterceptor {
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
                    // it showed none, and none is asked for
                }
            }
            String caller = name == null ? String.valueOf(address) : name;
            return Contexts.interceptCall(
                    Context.current().withValue(CALLER, caller.substring(0, Math.min(LONGEST_NAME, caller.length()))),
                    call,
                    headers,
                    next);
        }
    }

    static String caller() {
        return CALLER.get();
    }

    // ---- what is heard, on the transport's thread -----------------------------------------------------

    /** Takes each message to the loop, one at a time: the next is asked for when this is done with. */
    <Q> StreamObserver<Q> listen(Stream stream, ServerCallStreamObserver<?> out, java.util.function.Consumer<Q> heard) {
        out.disableAutoRequest();
        out.setOnCancelHandler(() -> loop.execute(() -> act(stream, stream.state.gone())));
        out.request(1);
        return new StreamObserver<>() {
            @Override
            public void onNext(Q message) {
                loop.execute(() -> {
                    if (!stream.ended) {
                        heard.accept(message);
                        stream.more();
                    }
                });
            }

            @Override
            public void onError(Throwable t) {
                loop.execute(() -> act(stream, stream.state.gone()));
            }

            @Override
            public void onCompleted() {
                loop.execute(() -> act(stream, stream.state.halfClosed()));
            }
        };
    }

    // ---- on the loop's thread -------------------------------------------------------------------------

    /** A request as headers tell it, fitted by the rules. */
    void request(Stream stream, Map<String, String> headers) {
        String method = headers.getOrDefault(":method", "");
        String path = headers.get(":path");
        if (path == null || headers.get("x-request-id") == null) {
            act(
                    stream,
                    stream.state.phase() == Phase.NEW
                            ? malformed(stream, "no path or no x-request-id")
                            : stream.state.request());
            return;
        }
        Optional<About> about = rules.fit(method, path, headers);
        if (about.isEmpty()) {
            boolean pass = rules.noRule() == CallRules.NoRule.PASS;
            count(pass ? Count.PASSED : Count.REFUSED_BY_RULE);
            act(stream, pass ? stream.state.passed() : stream.state.answered(CallState.Code.REFUSED, 0));
            return;
        }
        long ttl = number(headers.get("x-envoy-expected-rq-timeout-ms"));
        long attempt = number(headers.get("x-envoy-attempt-count"));
        request(stream, headers.get("x-request-id"), about.get(), ttl, attempt > 1);
    }

    /** A request that is to be decided; repeat says that its caller has asked for it before. */
    void request(Stream stream, String id, About about, long ttlMillis, boolean repeat) {
        count(Count.CALLS);
        int requestClass;
        try {
            requestClass = words.requestClass(about.requestClass());
        } catch (WireException e) {
            act(stream, malformed(stream, "an unknown class"));
            return;
        }
        if (id.isEmpty() || id.length() > LONGEST_NAME || stream.state.phase() != Phase.NEW) {
            act(
                    stream,
                    stream.state.phase() == Phase.NEW
                            ? malformed(stream, "an id that is empty or too long")
                            : stream.state.request());
            return;
        }
        stream.id = stream.caller + '/' + id;
        Held ready = held.remove(stream.id);
        FairAdmission.Verdict verdict = draining ? null : admission.admit(loop.clock(), stream.caller);
        if (verdict == null || !verdict.admitted()) {
            count(Count.REFUSED_BY_BOUND);
            if (ready != null) {
                held.put(stream.id, ready);
            }
            act(
                    stream,
                    stream.state.answered(CallState.Code.REFUSED, verdict == null ? 1_000_000 : verdict.stayAway()));
            return;
        }
        stream.admitted = true;
        RouterApi.RequestClass type = words.settings().classes().get(requestClass);
        if (ready != null) {
            count(Count.TRIED_AGAIN);
            stream.number = ready.number();
            stream.bookId = ready.bookId();
            stream.name = ready.name();
            streams.put(stream.number, stream);
            stream.timers.add(loop.schedule(type.deadline() + STREAM_GRACE, () -> expire(stream)));
            act(stream, stream.state.adopt(ready.name().attempt()));
            return;
        }
        if (type.idempotency() != RouterApi.Idempotency.SAFE) {
            if (!book.mayBegin(loop.clock(), stream.id, repeat)) {
                count(Count.REPEATS_FAILED); // it may have run, so nothing is named for it again
                act(stream, stream.state.answered(CallState.Code.FAILED, 0));
                return;
            }
            stream.bookId = stream.id;
        }
        stream.number = --lastNumber;
        streams.put(stream.number, stream);
        long ttl = ttlMillis > 0 ? Math.min(ttlMillis, type.deadline() / MILLI) : type.deadline() / MILLI;
        List<Act> acts = stream.state.request();
        stream.timers.add(loop.schedule(
                Math.max(1, Math.min(section.messageTimeout(), ttl * MILLI) - MARGIN), () -> messageTimeUp(stream)));
        stream.timers.add(loop.schedule(ttl * MILLI + STREAM_GRACE, () -> expire(stream)));
        for (Act act : acts) {
            if (act instanceof Act.Ask) {
                loop.submit(new Input.Call(
                        stream.number,
                        stream.id,
                        about.requestClass(),
                        about.object(),
                        about.part(),
                        about.group(),
                        ttl,
                        repeat));
            }
        }
    }

    private void messageTimeUp(Stream stream) {
        if (!stream.ended && stream.state.phase() == Phase.DECIDING) {
            List<Act> acts = stream.state.messageTimeUp(section.messageTimeout());
            if (!acts.isEmpty()) {
                count(Count.REFUSED_LATE);
            }
            act(stream, acts);
        }
    }

    /** A caller that keeps a stream long after its request's time. */
    private void expire(Stream stream) {
        if (!stream.ended) {
            count(Count.STREAMS_EXPIRED);
            act(stream, stream.state.gone());
            stream.abort(Status.DEADLINE_EXCEEDED.withDescription("the request's time is long over"));
        }
    }

    /** How an attempt ended; number -1 for the one named last. */
    void response(Stream stream, int number, AnswerStatus word, String note) {
        stream.end = word;
        stream.note = note;
        act(stream, stream.state.response(number, word == AnswerStatus.ABSENT || word == AnswerStatus.FULL || word == AnswerStatus.MOOT));
    }

    /** The attempt named last never reached its member. */
    void unreached(Stream stream) {
        stream.unreached = true;
        act(stream, stream.state.response(stream.name.attempt(), true));
    }

    void other(Stream stream) {
        act(stream, stream.state.other());
    }

    List<Act> malformed(Stream stream, String why) {
        List<Act> acts = new ArrayList<>(stream.state.gone());
        acts.add(new Act.Abort(why));
        return acts;
    }

    /** Does what the state says; what the decisions answer meanwhile comes behind it. */
    void act(Stream stream, List<Act> acts) {
        for (Act act : acts) {
            if (act instanceof Act.TellName) {
                count(Count.NAMED);
                stream.tellName(stream.name);
            } else if (act instanceof Act.TellFinal f) {
                count(Count.FINALS);
                stream.tellFinal(f.code(), (f.stayAway() + MILLI - 1) / MILLI);
            } else if (act instanceof Act.GoOn) {
                stream.goOn();
            } else if (act instanceof Act.End) {
                count(Count.ENDS);
                Effect.AnnounceAttempt ended = stream.name;
                AnswerStatus word = stream.end;
                boolean unreached = stream.unreached;
                stream.unreached = false;
                loop.submit(
                        unreached
                                ? new Input.NeverSent(ended.key())
                                : word == null
                                        ? new Input.ConnectionLost(ended.key())
                                        : new Input.Answered(ended.key(), word, stream.note, Map.of(), Bytes.NONE));
            } else if (act instanceof Act.Withdraw) {
                count(Count.WITHDRAWN);
                streams.remove(stream.number);
                loop.submit(new Input.RequestCancelled(stream.number, 0));
            } else if (act instanceof Act.Complete) {
                finish(stream);
                stream.complete();
            } else if (act instanceof Act.Abort a) {
                count(Count.ABORTED);
                loop.complain("a call of another proxy was ended: " + a.why());
                finish(stream);
                stream.abort(Status.INVALID_ARGUMENT.withDescription(a.why()));
            }
        }
        if (stream.state.phase() == Phase.OVER) {
            finish(stream);
        }
    }

    /** The stream is over: nothing of it stays but what must not run twice. */
    private void finish(Stream stream) {
        if (stream.ended) {
            return;
        }
        stream.ended = true;
        stream.timers.forEach(Runnable::run);
        streams.remove(stream.number, stream);
        if (stream.admitted) {
            admission.ended(stream.caller);
        }
        if (stream.bookId != null) {
            book.ended(loop.clock(), stream.bookId, stream.state.mayHaveRun());
        }
    }

    // ---- what the decisions say -----------------------------------------------------------------------

    @Override
    public void attemptAnnounced(Effect.AnnounceAttempt name) {
        Stream stream = streams.get(name.call());
        if (stream == null) {
            return; // withdrawn meanwhile
        }
        if (stream.state.phase() == Phase.RESPONDED && section.retryWait() > 0) {
            holdReady(stream, name);
            return;
        }
        if (stream.state.phase() == Phase.DECIDING || stream.state.phase() == Phase.NAMED) {
            stream.name = name;
        }
        act(stream, stream.state.named(name.attempt()));
    }

    private void holdReady(Stream stream, Effect.AnnounceAttempt name) {
        stream.state.detach();
        streams.remove(name.call());
        Held ready = new Held(name.call(), name, stream.bookId, stream.state.mayHaveRun());
        stream.bookId = null;
        held.put(stream.id, ready);
        loop.schedule(section.retryWait(), () -> {
            if (held.remove(stream.id, ready)) {
                letGo(ready);
                loop.submit(new Input.RequestCancelled(ready.number(), 0));
            }
        });
    }

    @Override
    public void answered(long call, Effect.Code code, long pushbackMillis) {
        Stream stream = streams.remove(call);
        if (stream != null) {
            act(stream, stream.state.decided(CallState.Code.valueOf(code.name()), pushbackMillis * MILLI));
            return;
        }
        held.values().stream().filter(h -> h.number() == call).findFirst().ifPresent(h -> {
            held.values().remove(h);
            letGo(h);
        });
    }

    /** An attempt held ready that nobody came for: what is known of its request is kept. */
    private void letGo(Held ready) {
        if (ready.bookId() != null) {
            book.ended(loop.clock(), ready.bookId(), ready.mayHaveRun());
        }
    }

    @Override
    public void applyOperatorConfig(OperatorConfig operator) {
        operator.processor().ifPresent(next -> {
            try {
                check(next, words);
            } catch (WireException e) {
                LOG.error("the rules of the processor stay as they were: {}", e.getMessage());
                return;
            }
            section = next;
            rules = next.callRules();
            admission.limits(next.limits());
            if (tls != null) {
                tls.read();
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

    private void count(Count c) {
        counts.merge(c, 1L, Long::sum);
    }

    @Override
    public Map<String, String> state() {
        Map<String, String> state = new LinkedHashMap<>();
        counts.forEach((c, n) ->
                state.put("processor-" + c.name().toLowerCase(Locale.ROOT).replace('_', '-'), Long.toString(n)));
        state.put("processor-open", Integer.toString(admission.open()));
        state.put("processor-held-ready", Integer.toString(held.size()));
        state.put("processor-ids-kept", Integer.toString(book.size()));
        state.put("processor-ids-forgotten-early", Long.toString(book.forgottenEarly()));
        return state;
    }

    private static long number(String text) {
        return text != null && text.matches("\\d{1,9}") ? Long.parseLong(text) : 0;
    }
}
