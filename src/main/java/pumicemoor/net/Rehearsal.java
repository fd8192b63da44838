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
import pumicemoor.RouterApi.RequestClass;
import pumicemoor.node.Counters;
import pumicemoor.node.Effect;
import pumicemoor.node.Input;
import pumicemoor.node.NodeConfig;
import pumicemoor.node.Reducer;
import pumicemoor.node.ResourceLimits;

/**
 * Takes made-up requests the whole way from a client's frame to the answer before the router is ready, so
 * that its first clients don't wait for classes and the compiler. It owns a reducer, decisions and a clock of
 * its own, and must never touch a socket or anything of the router that serves.
 */
final class Rehearsal implements Loop {

    private static final long STEP = 1_000; // microseconds between requests on the clock of the rehearsal
    private static final int OBJECTS = 512;
    private static final int BODY = 1_024;
    private static final int MISS_EVERY = 16;
    private static final int PAUSE_EVERY = 8;

    private final ByteBufAllocator allocator = PooledByteBufAllocator.DEFAULT;
    private final List<RequestClass> classes;
    private final Counters counters = new Counters();
    private final Reducer reducer;
    private final ClientConnection client;
    private final EmbeddedChannel fromClient;
    private final EmbeddedChannel fromCache;
    private final Queue<Input> inbox = new ArrayDeque<>();
    private final List<Effect> effects = new ArrayList<>();
    private final Queue<Effect.SendAttempt> asked = new ArrayDeque<>();
    private long clock;

    Rehearsal(NodeConfig config, ResourceLimits limits, long now) {
        BufferBudget budget = new BufferBudget(() -> 0, limits.bufferedBytes());
        classes = config.words().settings().classes();
        clock = now;
        reducer = new Reducer(new Logic(config.words().settings(), config.seed()), config.words(), limits, counters);
        client = new ClientConnection(1, limits, budget, counters, this);
        fromClient = new EmbeddedChannel(new FrameDecoder(limits.frameBytes()), client);
        fromCache = new EmbeddedChannel(new AnswerDecoder(limits.lineBytes(), limits.answerBytes(), budget));
        reducer.known(clock, config, effects::add);
        work();
    }

    /** What the caller does between requests, so that it is not held up for the whole of the rehearsal. */
    interface Pause {
        void run() throws InterruptedException;
    }

    /** Goes on until so many requests are done or this time has passed; tells how many were answered. */
    long run(int requests, long longestMicros, Pause pause) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MICROSECONDS.toNanos(longestMicros);
        for (int i = 1; i <= requests && !classes.isEmpty() && System.nanoTime() < end && fromClient.isOpen(); i++) {
            clock += STEP;
            if (reducer.nextDue() <= clock) {
                submit(new Input.TimerFired());
            }
            if (!fromClient.isOpen()) {
                break;
            }
            fromClient.writeInbound(request(i));
            for (Effect.SendAttempt ask = asked.poll(); ask != null; ask = asked.poll()) {
                answer(ask, i);
            }
            release(fromClient);
            if (i % PAUSE_EVERY == 0) {
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
            id(number % OBJECTS),
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

    private void answer(Effect.SendAttempt ask, int number) {
        CacheLine.ask(allocator, ask).release();
        submit(new Input.Written(ask.attempt()));
        boolean miss = number % MISS_EVERY == 0;
        ByteBuf bytes = allocator.ioBuffer(BODY + 128);
        bytes.writeCharSequence(
                ask.id() + (miss ? " absent - 0" : " data entity=0,issued=1,tell=mem,meter=a:1;b:0.5 " + BODY) + "\r\n",
                StandardCharsets.US_ASCII);
        bytes.writeZero(miss ? 0 : BODY).writeCharSequence("\r\n", StandardCharsets.US_ASCII);
        fromCache.writeInbound(bytes);
        for (AnswerDecoder.Answer a = fromCache.readInbound(); a != null; a = fromCache.readInbound()) {
            submit(new Input.Answered(
                    ask.attempt(),
                    CacheLine.word(a.word()),
                    a.fields().get("tell"),
                    CacheLine.load(a.fields().get("meter")),
                    NettyBytes.of(a.body())));
        }
    }

    private static void release(EmbeddedChannel channel) {
        for (ByteBuf out = channel.readOutbound(); out != null; out = channel.readOutbound()) {
            out.release();
        }
    }

    private void work() {
        for (int i = 0; i < effects.size(); i++) {
            Effect effect = effects.get(i);
            if (effect instanceof Effect.SendAttempt ask) {
                ask.body().release();
                asked.add(ask);
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
            work();
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
    public void complain(String text) {
        // nothing here is anybody's fault
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
    public void opened(long number, ClientConnection connection) {
        // the one client is held above
    }

    @Override
    public void closed(long number) {
        // the one client is held above
    }
}
