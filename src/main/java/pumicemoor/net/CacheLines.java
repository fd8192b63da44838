package pumicemoor.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.DecoderException;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import pumicemoor.node.Counters;
import pumicemoor.node.Counters.Name;
import pumicemoor.node.Effect;
import pumicemoor.node.Input;
import pumicemoor.node.Input.AnswerStatus;
import pumicemoor.node.ResourceLimits;

/**
 * The connections to cache servers, parents and the origin, pooled by instance. It owns which attempt is
 * where: queued, being written or out. An attempt leaves the queue only when the connection takes it, so
 * that it can be taken back until then, and no id stands twice on one connection. A connection that cannot be
 * read, or that shows no sign of life while it owes answers, ends with all that is on it. It must never send
 * an attempt a second time or to anyone but the member it was meant for.
 */
final class CacheLines {

    private final Bootstrap bootstrap;
    private final ResourceLimits limits;
    private final BufferBudget budget;
    private final Counters counters;
    private final Loop loop;
    private final Map<String, List<Line>> lines = new HashMap<>();
    private final Map<Long, Line> lineOfAttempt = new HashMap<>();

    CacheLines(Bootstrap bootstrap, ResourceLimits limits, BufferBudget budget, Counters counters, Loop loop) {
        this.limits = limits;
        this.budget = budget;
        this.counters = counters;
        this.loop = loop;
        this.bootstrap = bootstrap
                .clone()
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) (limits.connectTimeout() / 1_000))
                .option(ChannelOption.TCP_NODELAY, true)
                .option(
                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(limits.lineBacklogBytes() / 2, limits.lineBacklogBytes()));
    }

    void ask(Effect.SendAttempt ask) {
        List<Line> pool = lines.computeIfAbsent(ask.instance(), i -> new ArrayList<>());
        Line line = pool.stream().filter(l -> l.takes(ask)).findFirst().orElse(null);
        if (line == null && pool.size() >= limits.linesPerMember()) {
            // an answered id may be asked again where there is no other way; one given up may not
            line = pool.stream().filter(l -> l.takesAgain(ask)).findFirst().orElse(null);
            if (line == null) {
                ask.body().release();
                loop.submit(new Input.NoConnectionAvailable(ask.attempt()));
                return;
            }
        }
        boolean fresh = line == null;
        if (fresh && !roomForAnother()) {
            lines.remove(ask.instance(), List.of());
            ask.body().release();
            loop.submit(new Input.NoConnectionAvailable(ask.attempt()));
            return;
        }
        if (fresh) {
            line = new Line(ask.instance(), ask.address());
            lines.computeIfAbsent(ask.instance(), i -> new ArrayList<>()).add(line);
        }
        lineOfAttempt.put(ask.attempt(), line);
        line.queue.add(new Queued(ask, loop.clock()));
        if (fresh) {
            line.open(); // may fail at once, and then ends what is queued
        } else {
            line.pump();
        }
    }

    /** At the bound on all connections, the one unused for longest goes; none can, where all are in use. */
    private boolean roomForAnother() {
        List<Line> all = lines.values().stream().flatMap(List::stream).toList();
        if (all.size() < limits.lines()) {
            return true;
        }
        Optional<Line> unused = all.stream().filter(Line::empty).min(Comparator.comparingLong(l -> l.usedAt));
        unused.ifPresent(Line::close);
        return unused.isPresent();
    }

    void quit(Effect.AbandonAttempt quit) {
        Line line = lineOfAttempt.remove(quit.attempt());
        if (line != null) {
            line.quit(quit.attempt(), quit.notifyCache());
        }
    }

    void closeIdle(String instance) {
        List.copyOf(lines.getOrDefault(instance, List.of())).stream()
                .filter(Line::empty)
                .forEach(Line::close);
    }

    void retire(String instance) {
        lines.getOrDefault(instance, List.of()).forEach(l -> l.retired = true);
        closeIdle(instance);
    }

    void drop(String instance, long openedBefore) {
        List.copyOf(lines.getOrDefault(instance, List.of())).stream()
                .filter(l -> l.openedAt < openedBefore)
                .forEach(Line::close);
    }

    /** Closes what has carried nothing for a while, before the other side does, and what shows no life. */
    void sweep(long now) {
        lines.values().stream().flatMap(List::stream).toList().forEach(l -> l.checkLife(now));
        for (List<Line> pool : List.copyOf(lines.values())) {
            List.copyOf(pool).stream()
                    .filter(l -> l.empty() && l.retired
                            || now - l.usedAt > (l.empty() ? limits.lineIdle() : limits.lineAbandoned()))
                    .forEach(Line::close);
        }
    }

    void closeAll() {
        lines.values().stream().flatMap(p -> List.copyOf(p).stream()).toList().forEach(Line::close);
    }

    /** An attempt that waits for its connection, since when. */
    private record Queued(Effect.SendAttempt ask, long since) {
        long attempt() {
            return ask.attempt();
        }
    }

    /** An attempt that is out, and when its last byte was written: Long.MAX_VALUE for not yet. */
    private record Sent(Effect.SendAttempt ask, long writtenAt) {
        long attempt() {
            return ask.attempt();
        }
    }

    /** When an id ended on a connection, and whether it was given up there, so that its answer may come yet. */
    private record Past(long at, boolean givenUp) {
        private static final Past ANSWERED = new Past(0, false);
    }

    /** One connection. */
    private final class Line extends SimpleChannelInboundHandler<AnswerDecoder.Answer> {
        private final String instance;
        private final String address;
        private final long openedAt = loop.clock();
        private final Deque<Queued> queue = new ArrayDeque<>();
        private final Map<String, Sent> out = new LinkedHashMap<>();
        private final Map<String, Past> past = new LinkedHashMap<>(); // ended here; an answer may still come
        private final AnswerDecoder decoder = new AnswerDecoder(limits.lineBytes(), limits.answerBytes(), budget);
        private Effect.SendAttempt writing;
        private Channel channel;
        private boolean connected, pumping, retired, ended;
        private long usedAt = openedAt, heardAt = openedAt, askedLifeAt = -1;

        Line(String instance, String address) {
            this.instance = instance;
            this.address = address;
        }

        void open() {
            counters.add(Name.LINES_OPENED);
            int colon = address.lastIndexOf(':');
            Bootstrap opening = bootstrap.clone().handler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel ch) {
                    ch.pipeline().addLast(decoder, Line.this);
                }
            });
            ChannelFuture connecting = opening.connect(
                    new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))));
            channel = connecting.channel();
            // where no socket can be had, the listener is called on a thread that is not the loop's
            connecting.addListener(done -> bootstrap.config().group().next().execute(() -> connected(done)));
        }

        private void connected(Future<?> done) {
            connected = done.isSuccess();
            if (connected) {
                pump();
            } else {
                ended();
            }
        }

        boolean empty() {
            return out.isEmpty() && queue.isEmpty() && writing == null;
        }

        boolean takes(Effect.SendAttempt ask) {
            return takesAgain(ask) && !past.containsKey(ask.id());
        }

        boolean takesAgain(Effect.SendAttempt ask) {
            return !retired
                    && !ended
                    && out.size() + queue.size() < limits.attemptsPerLine()
                    && !out.containsKey(ask.id())
                    && !past.getOrDefault(ask.id(), Past.ANSWERED).givenUp()
                    && queue.stream().noneMatch(q -> q.ask().id().equals(ask.id()));
        }

        /**
         * Writes one request after the other, each only when the one before has left whole. One that has waited for too
         * long is not written, though its time-out may come after the connection where the loop was held up.
         */
        void pump() {
            if (pumping) {
                return;
            }
            pumping = true;
            while (connected && !ended && writing == null && !queue.isEmpty()) {
                Queued next = queue.poll();
                Effect.SendAttempt ask = next.ask();
                if (loop.clock() - next.since() > limits.unwritten()) { // decided on news that is too old by now
                    ask.body().release();
                    lineOfAttempt.remove(ask.attempt());
                    loop.submit(new Input.NeverSent(ask.attempt()));
                    continue;
                }
                writing = ask;
                out.put(ask.id(), new Sent(ask, Long.MAX_VALUE));
                ByteBuf body = NettyBytes.buffer(ask.body());
                channel.write(CacheLine.ask(channel.alloc(), ask), channel.voidPromise());
                if (body != null) {
                    channel.write(body, channel.voidPromise());
                }
                channel.writeAndFlush(CacheLine.end(channel.alloc())).addListener(done -> {
                    if (done.isSuccess()) {
                        writing = null;
                        usedAt = loop.clock();
                        out.replace(ask.id(), new Sent(ask, usedAt));
                        loop.submit(new Input.Written(ask.attempt()));
                        pump();
                    }
                });
            }
            pumping = false;
        }

        void quit(long attempt, boolean tellCache) {
            if (queue.removeIf(q -> {
                boolean found = q.attempt() == attempt;
                if (found) {
                    q.ask().body().release();
                }
                return found;
            })) {
                return;
            }
            if (writing != null && writing.attempt() == attempt) {
                close(); // half a request is on it
                return;
            }
            String id = out.entrySet().stream()
                    .filter(e -> e.getValue().attempt() == attempt)
                    .map(Map.Entry::getKey)
                    .findFirst()
                    .orElse(null);
            if (id != null) {
                // silent since that request was written: what comes next tries whether a new one comes up
                retired |= heardAt <= out.get(id).writtenAt()
                        && loop.clock() - out.get(id).writtenAt() > limits.connectTimeout();
            }
            if (id != null && tellCache) {
                out.remove(id);
                past(id, true);
                if (channel.isActive()) {
                    channel.writeAndFlush(CacheLine.quit(channel.alloc(), id), channel.voidPromise());
                }
                if (!channel.isWritable()) {
                    close(); // it takes nothing in any more
                }
            }
            if (retired && empty()) {
                close();
            }
        }

        /** An id that has ended here; its answer, or a copy of it, may come for as long as anybody asks for it. */
        private void past(String id, boolean givenUp) {
            long now = loop.clock();
            Iterator<Past> oldest = past.values().iterator();
            while (oldest.hasNext() && now - oldest.next().at() > limits.idKept()) {
                oldest.remove();
            }
            past.put(id, new Past(now, givenUp));
        }

        /**
         * A machine that has vanished, a process that hangs and an answer that stops short all look alike: no
         * byte comes though answers are owed. While no answer is on its way in, a sign of life is asked for.
         */
        void checkLife(long now) {
            long owedSince =
                    out.values().stream().mapToLong(Sent::writtenAt).min().orElse(Long.MAX_VALUE);
            if (!connected || ended || owedSince == Long.MAX_VALUE || decoder.waiting()) {
                askedLifeAt = -1;
                return;
            }
            long quiet = now - Math.max(heardAt, owedSince);
            if (decoder.midway()
                    ? quiet > limits.lineQuiet() + limits.lineDead()
                    : askedLifeAt >= 0 && now - askedLifeAt > limits.lineDead()) {
                counters.add(Name.LINES_DEAD);
                loop.complain("a connection to member " + instance + " was closed: it shows no sign of life");
                close();
            } else if (askedLifeAt < 0 && !decoder.midway() && writing == null && quiet > limits.lineQuiet()) {
                askedLifeAt = now;
                channel.writeAndFlush(CacheLine.noop(channel.alloc()), channel.voidPromise());
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            heardAt = loop.clock();
            askedLifeAt = -1;
            ctx.fireChannelReadComplete();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, AnswerDecoder.Answer answer) {
            Sent sent = ended ? null : out.get(answer.id());
            AnswerStatus word = CacheLine.word(answer.word());
            String unusable = CacheLine.unusable(answer, sent == null ? null : sent.ask());
            if (ended || sent == null || unusable != null) {
                answer.body().release();
                if (!ended && unusable != null) {
                    throw new CorruptedFrameException(unusable);
                }
                if (!ended && word != null && past.remove(answer.id()) == null) {
                    counters.add(Name.UNASKED); // whole and harmless: nobody is given it
                }
                return;
            }
            usedAt = loop.clock();
            out.remove(answer.id());
            past(answer.id(), false);
            lineOfAttempt.remove(sent.attempt());
            counters.add(Name.BYTES_IN, answer.body().readableBytes());
            loop.submit(new Input.Answered(
                    sent.attempt(),
                    word,
                    answer.fields().get("tell"),
                    CacheLine.load(answer.fields().get("meter")),
                    NettyBytes.of(answer.body())));
            if (retired && empty()) {
                close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            ended();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof DecoderException) {
                counters.add(Name.BAD_INPUT);
                loop.complain("a connection to member " + instance + " was closed: " + cause.getMessage());
            }
            close();
        }

        void close() {
            channel.close();
            ended();
        }

        /** Everything on it ends here: what was not written whole never ran, of the rest nothing is known. */
        private void ended() {
            if (ended) {
                return;
            }
            ended = true;
            List<Line> pool = lines.get(instance);
            pool.remove(this);
            if (pool.isEmpty()) {
                lines.remove(instance);
            }
            List<Input> ends = new ArrayList<>();
            out.values()
                    .forEach(s -> ends.add(
                            s.writtenAt() == Long.MAX_VALUE
                                    ? new Input.NeverSent(s.attempt())
                                    : new Input.ConnectionLost(s.attempt())));
            queue.forEach(q -> {
                q.ask().body().release();
                ends.add(new Input.NeverSent(q.attempt()));
            });
            out.keySet().clear();
            queue.clear();
            writing = null;
            for (Input end : ends) {
                lineOfAttempt.remove(end instanceof Input.ConnectionLost b ? b.attempt() : ((Input.NeverSent) end).attempt());
                loop.submit(end);
            }
        }
    }
}
