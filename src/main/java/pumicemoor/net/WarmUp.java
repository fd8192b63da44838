package pumicemoor.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import pumicemoor.Logic;
import pumicemoor.RefusalPolicy.Rejection;
import pumicemoor.RouterApi.RequestClass;
import pumicemoor.node.Counters;
import pumicemoor.node.Effect;
import pumicemoor.node.Input;
import pumicemoor.node.NodeConfig;
import pumicemoor.node.Reducer;
import pumicemoor.node.RequestIdentity;
import pumicemoor.node.ResourceLimits;

/**
 * Warms up the JVM before the router is ready (the "rehearsal" of the documentation): runs synthetic requests through
 * all stages from a client's frame to the answer, so that the first clients do not wait for class loading and JIT
 * compilation. It owns a reducer, decision module and clock of its own, and must never use a socket or any object of
 * the serving router.
 */
final class WarmUp implements Loop {

    private static final long STEP_MICROS = 1_000; // between requests, on the simulated clock
    private static final int OBJECT_COUNT = 512;
    private static final int BODY_BYTES = 1_024;
    private static final int MISS_INTERVAL_REQUESTS = 16;
    private static final int PAUSE_INTERVAL_REQUESTS = 8;

    private final ByteBufAllocator allocator = PooledByteBufAllocator.DEFAULT;
    private final List<RequestClass> classes;
    private final Counters counters = new Counters();
    private final Reducer reducer;
    private final ClientConnection client;
    private final EmbeddedChannel fromClient;
    private final EmbeddedChannel fromCache;
    private final Queue<Input> inbox = new ArrayDeque<>();
    private final List<Effect> effects = new ArrayList<>();
    private final Queue<Effect.SendAttempt> sentAttempts = new ArrayDeque<>();
    private long clock;

    WarmUp(NodeConfig config, ResourceLimits limits, long now) {
        BufferBudget budget = new BufferBudget(() -> 0, limits.maxBufferedBytes());
        classes = config.settingsReader().settings().classes();
        clock = now;
        reducer = new Reducer(
                new Logic(config.settingsReader().settings(), config.seed()),
                config.settingsReader(),
                limits,
                counters);
        FrameDecoder decoder = new FrameDecoder(
                limits.maxFrameBytes(),
                new PartialFrames(limits.maxPartialFrameBytes(), counters),
                new ReadTurns(Runnable::run, () -> 0));
        client = new ClientConnection(1, decoder, limits, budget, counters, this);
        fromClient = new EmbeddedChannel(decoder, client);
        fromCache =
                new EmbeddedChannel(new AnswerDecoder(limits.maxAnswerHeaderBytes(), limits.maxAnswerBytes(), budget));
        reducer.applyInitialUpdates(clock, config, effects::add);
        executeEffects();
    }

    /** Called between requests, so that the caller's event loop is not blocked for the whole warm-up. */
    interface Pause {
        void run() throws InterruptedException;
    }

    /** Runs this number of requests, or fewer if the time is over first; returns the number of answered requests. */
    long run(int requests, long maxMicros, Pause pause) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MICROSECONDS.toNanos(maxMicros);
        for (int i = 1;
                i <= requests && !classes.isEmpty() && System.nanoTime() < endNanos && fromClient.isOpen();
                i++) {
            clock += STEP_MICROS;
            if (reducer.nextDue() <= clock) {
                submit(new Input.TimerFired());
            }
            if (!fromClient.isOpen()) {
                break;
            }
            fromClient.writeInbound(request(i));
            for (Effect.SendAttempt attempt = sentAttempts.poll(); attempt != null; attempt = sentAttempts.poll()) {
                answer(attempt, i);
            }
            releaseOutbound(fromClient);
            if (i % PAUSE_INTERVAL_REQUESTS == 0) {
                pause.run();
            }
        }
        fromClient.finishAndReleaseAll();
        fromCache.finishAndReleaseAll();
        return counters.get(Counters.Name.SERVED)
                + counters.get(Counters.Name.REFUSED)
                + counters.get(Counters.Name.FAILED);
    }

    private ByteBuf request(int number) {
        ByteBuf frame = allocator
                .ioBuffer(256)
                .writeInt(0)
                .writeByte(ClientFrame.REQUEST)
                .writeInt(number);
        String[] fields = {
            "op",
            classes.get(number % classes.size()).name(),
            "call",
            id(number),
            "ttl",
            "1000",
            "row",
            id(number % OBJECT_COUNT),
            "piece",
            "0",
            "lot",
            "1"
        };
        frame.writeByte(fields.length / 2);
        for (int i = 0; i < fields.length; i += 2) {
            ClientFrame.field(frame, fields[i], fields[i + 1]);
        }
        return frame.setInt(0, frame.readableBytes() - ClientFrame.LENGTH_BYTES);
    }

    private static String id(int number) {
        return String.format("%016x", number);
    }

    private void answer(Effect.SendAttempt attempt, int number) {
        CacheProtocol.request(allocator, attempt).release();
        submit(new Input.AttemptWritten(attempt.attempt()));
        boolean miss = number % MISS_INTERVAL_REQUESTS == 0;
        ByteBuf bytes = allocator.ioBuffer(BODY_BYTES + 128);
        bytes.writeCharSequence(
                attempt.id() + (miss ? " absent - 0" : " data entity=0,issued=1,tell=mem,meter=a:1;b:0.5 " + BODY_BYTES)
                        + "\r\n",
                StandardCharsets.US_ASCII);
        bytes.writeZero(miss ? 0 : BODY_BYTES).writeCharSequence("\r\n", StandardCharsets.US_ASCII);
        fromCache.writeInbound(bytes);
        for (AnswerDecoder.Answer decoded = fromCache.readInbound();
                decoded != null;
                decoded = fromCache.readInbound()) {
            submit(new Input.AttemptAnswered(
                    attempt.attempt(),
                    CacheProtocol.status(decoded.status()),
                    decoded.fields().get("tell"),
                    CacheProtocol.load(decoded.fields().get("meter")),
                    NettyBytes.of(decoded.body())));
        }
    }

    private static void releaseOutbound(EmbeddedChannel channel) {
        for (ByteBuf frame = channel.readOutbound(); frame != null; frame = channel.readOutbound()) {
            frame.release();
        }
    }

    private void executeEffects() {
        for (int i = 0; i < effects.size(); i++) {
            Effect effect = effects.get(i);
            if (effect instanceof Effect.SendAttempt attempt) {
                attempt.body().release();
                sentAttempts.add(attempt);
            } else if (effect instanceof Effect.Answer answer) {
                client.answer(answer);
            }
        }
        effects.clear();
    }

    @Override
    public void submit(Input input) {
        inbox.add(input);
        for (Input next = inbox.poll(); next != null; next = inbox.poll()) {
            reducer.accept(clock, next, effects::add);
            executeEffects();
        }
    }

    @Override
    public long clock() {
        return clock;
    }

    @Override
    public boolean ready() {
        return false;
    }

    @Override
    public void reportError(String text) {
        // no peer takes part in the warm-up
    }

    @Override
    public Rejection rejectionOf(RequestIdentity identity) {
        return reducer.rejectionOf(clock, identity);
    }

    @Override
    public Optional<String> rows(String subject) {
        return Optional.empty();
    }

    @Override
    public Map<String, String> state() {
        return Map.of();
    }

    @Override
    public void clientOpened(long connectionId, ClientConnection connection) {
        // the only client is a field
    }

    @Override
    public void clientClosed(long connectionId) {
        // the only client is a field
    }
}
