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
 * Pools the connections to cache servers, parents and the origin, by member instance. It owns the state of each
 * attempt: queued, being written or in flight. An attempt leaves the queue only when its connection starts to write
 * it, so that it can be cancelled until then, and no request id is in use twice on one connection. A connection whose
 * input cannot be decoded, or that shows no sign of life while answers are outstanding, is closed and all attempts on
 * it end. It must never send an attempt a second time, or to any member but the one that it is addressed to.
 */
final class CacheConnections {

    private final Bootstrap bootstrap;
    private final ResourceLimits limits;
    private final BufferBudget budget;
    private final Counters counters;
    private final Loop loop;
    private final Map<String, List<Connection>> connectionsByInstance = new HashMap<>();
    private final Map<Long, Connection> connectionByAttempt = new HashMap<>();

    CacheConnections(Bootstrap bootstrap, ResourceLimits limits, BufferBudget budget, Counters counters, Loop loop) {
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
                        new WriteBufferWaterMark(limits.memberBacklogBytes() / 2, limits.memberBacklogBytes()));
    }

    void send(Effect.SendAttempt request) {
        List<Connection> pool = connectionsByInstance.computeIfAbsent(request.instance(), i -> new ArrayList<>());
        Connection connection =
                pool.stream().filter(c -> c.accepts(request)).findFirst().orElse(null);
        if (connection == null && pool.size() >= limits.maxConnectionsPerMember()) {
            // at the limit of connections to the member, an answered id may be reused on one of them; an abandoned id
            // may not, as its answer may still arrive
            connection = pool.stream()
                    .filter(c -> c.acceptsReusedId(request))
                    .findFirst()
                    .orElse(null);
            if (connection == null) {
                request.body().release();
                loop.submit(new Input.NoConnectionAvailable(request.attempt()));
                return;
            }
        }
        boolean isNew = connection == null;
        if (isNew && !ensureCapacityForAnother()) {
            connectionsByInstance.remove(request.instance(), List.of());
            request.body().release();
            loop.submit(new Input.NoConnectionAvailable(request.attempt()));
            return;
        }
        if (isNew) {
            connection = new Connection(request.instance(), request.address());
            connectionsByInstance
                    .computeIfAbsent(request.instance(), i -> new ArrayList<>())
                    .add(connection);
        }
        connectionByAttempt.put(request.attempt(), connection);
        connection.queue.add(new QueuedAttempt(request, loop.clock()));
        if (isNew) {
            connection.open(); // may fail at once, which ends the queued attempts
        } else {
            connection.writeQueue();
        }
    }

    /**
     * Whether another connection may be opened. At the limit on all connections, this closes the least recently used
     * idle one; it returns false where all are in use.
     */
    private boolean ensureCapacityForAnother() {
        List<Connection> all =
                connectionsByInstance.values().stream().flatMap(List::stream).toList();
        if (all.size() < limits.maxMemberConnections()) {
            return true;
        }
        Optional<Connection> leastRecentlyUsed =
                all.stream().filter(Connection::isIdle).min(Comparator.comparingLong(c -> c.lastUsedAt));
        leastRecentlyUsed.ifPresent(Connection::close);
        return leastRecentlyUsed.isPresent();
    }

    void abandon(Effect.AbandonAttempt abandoned) {
        Connection connection = connectionByAttempt.remove(abandoned.attempt());
        if (connection != null) {
            connection.abandon(abandoned.attempt(), abandoned.notifyCache());
        }
    }

    void closeIdle(String instance) {
        List.copyOf(connectionsByInstance.getOrDefault(instance, List.of())).stream()
                .filter(Connection::isIdle)
                .forEach(Connection::close);
    }

    /**
     * Lets the connections to a member that is gone, or has moved, end with their last attempts. One that is not
     * established yet is closed: whoever accepts it may be another process at the same address.
     */
    void retire(String instance) {
        List.copyOf(connectionsByInstance.getOrDefault(instance, List.of())).stream()
                .filter(c -> !c.connected)
                .forEach(Connection::close);
        connectionsByInstance.getOrDefault(instance, List.of()).forEach(c -> c.retired = true);
        closeIdle(instance);
    }

    void closeOpenedBefore(String instance, long openedBeforeMicros) {
        List.copyOf(connectionsByInstance.getOrDefault(instance, List.of())).stream()
                .filter(c -> c.openedAt < openedBeforeMicros)
                .forEach(Connection::close);
    }

    /**
     * Closes connections that show no sign of life, idle connections that are retired or have been unused for a while
     * (before the peer closes them), and connections whose outstanding answers have not arrived for a long time.
     */
    void sweep(long now) {
        connectionsByInstance.values().stream().flatMap(List::stream).toList().forEach(c -> c.checkLiveness(now));
        for (List<Connection> pool : List.copyOf(connectionsByInstance.values())) {
            List.copyOf(pool).stream()
                    .filter(c -> c.isIdle() && c.retired
                            || now - c.lastUsedAt
                                    > (c.isIdle()
                                            ? limits.connectionIdleTimeout()
                                            : limits.abandonedConnectionTimeout()))
                    .forEach(Connection::close);
        }
    }

    void closeAll() {
        connectionsByInstance.values().stream()
                .flatMap(p -> List.copyOf(p).stream())
                .toList()
                .forEach(Connection::close);
    }

    /** An attempt that waits for its connection, and the time at which it was queued (microseconds). */
    private record QueuedAttempt(Effect.SendAttempt request, long queuedAt) {
        long attempt() {
            return request.attempt();
        }
    }

    /**
     * An attempt in flight, and the time at which its last byte was written (microseconds); Long.MAX_VALUE while it is
     * not wholly written.
     */
    private record AttemptInFlight(Effect.SendAttempt request, long writtenAt) {
        long attempt() {
            return request.attempt();
        }
    }

    /**
     * The time (microseconds) at which the attempt with an id ended on a connection, and whether it was abandoned, so
     * that its answer may still arrive.
     */
    private record EndedId(long endedAt, boolean abandoned) {
        private static final EndedId ANSWERED = new EndedId(0, false);
    }

    /** One connection to a member, with its queue and its attempts in flight. */
    private final class Connection extends SimpleChannelInboundHandler<AnswerDecoder.Answer> {
        private final String instance;
        private final String address;
        private final long openedAt = loop.clock();
        private final Deque<QueuedAttempt> queue = new ArrayDeque<>();
        private final Map<String, AttemptInFlight> inFlight = new LinkedHashMap<>();
        private final Map<String, EndedId> endedIds = new LinkedHashMap<>(); // by id; an answer may still arrive
        private final AnswerDecoder decoder =
                new AnswerDecoder(limits.maxAnswerHeaderBytes(), limits.maxAnswerBytes(), budget);
        private Effect.SendAttempt beingWritten;
        private Channel channel;
        private boolean connected;
        private boolean writingQueue;
        private boolean retired;
        private boolean closed;
        private long lastUsedAt = openedAt;
        private long lastReadAt = openedAt;
        private long probeSentAt = -1; // -1 while no probe is outstanding

        Connection(String instance, String address) {
            this.instance = instance;
            this.address = address;
        }

        void open() {
            counters.add(Name.LINES_OPENED);
            int colon = address.lastIndexOf(':');
            Bootstrap opening = bootstrap.clone().handler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel ch) {
                    ch.pipeline().addLast(decoder, Connection.this);
                }
            });
            ChannelFuture connecting = opening.connect(
                    new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))));
            channel = connecting.channel();
            // where no socket can be opened, Netty calls the listener on a thread other than the event loop's
            connecting.addListener(done -> bootstrap.config().group().next().execute(() -> connectCompleted(done)));
        }

        private void connectCompleted(Future<?> done) {
            connected = done.isSuccess();
            if (connected) {
                writeQueue();
            } else {
                onClosed();
            }
        }

        boolean isIdle() {
            return inFlight.isEmpty() && queue.isEmpty() && beingWritten == null;
        }

        boolean accepts(Effect.SendAttempt request) {
            return acceptsReusedId(request) && !endedIds.containsKey(request.id());
        }

        boolean acceptsReusedId(Effect.SendAttempt request) {
            return !retired
                    && !closed
                    && inFlight.size() + queue.size() < limits.maxAttemptsPerConnection()
                    && !inFlight.containsKey(request.id())
                    && !endedIds.getOrDefault(request.id(), EndedId.ANSWERED).abandoned()
                    && queue.stream().noneMatch(q -> q.request().id().equals(request.id()));
        }

        /**
         * Writes the queued requests one by one, each only after the previous one has been written completely. A
         * request that has waited for too long is dropped: after a stall of the loop, the connection may be
         * established before the request's own timeout is processed.
         */
        void writeQueue() {
            if (writingQueue) {
                return;
            }
            writingQueue = true;
            while (connected && !closed && beingWritten == null && !queue.isEmpty()) {
                QueuedAttempt next = queue.poll();
                Effect.SendAttempt request = next.request();
                if (loop.clock() - next.queuedAt() > limits.writeTimeout()) {
                    // its decision is based on outdated updates
                    request.body().release();
                    connectionByAttempt.remove(request.attempt());
                    loop.submit(new Input.AttemptNeverSent(request.attempt()));
                    continue;
                }
                beingWritten = request;
                inFlight.put(request.id(), new AttemptInFlight(request, Long.MAX_VALUE));
                ByteBuf body = NettyBytes.buffer(request.body());
                channel.write(CacheProtocol.request(channel.alloc(), request), channel.voidPromise());
                if (body != null) {
                    channel.write(body, channel.voidPromise());
                }
                channel.writeAndFlush(CacheProtocol.end(channel.alloc())).addListener(done -> {
                    if (done.isSuccess()) {
                        beingWritten = null;
                        lastUsedAt = loop.clock();
                        inFlight.replace(request.id(), new AttemptInFlight(request, lastUsedAt));
                        loop.submit(new Input.AttemptWritten(request.attempt()));
                        writeQueue();
                    }
                });
            }
            writingQueue = false;
        }

        void abandon(long attempt, boolean notifyCache) {
            if (queue.removeIf(queued -> {
                boolean found = queued.attempt() == attempt;
                if (found) {
                    queued.request().body().release();
                }
                return found;
            })) {
                return;
            }
            if (beingWritten != null && beingWritten.attempt() == attempt) {
                close(); // the request is only partly written
                return;
            }
            String id = inFlight.entrySet().stream()
                    .filter(e -> e.getValue().attempt() == attempt)
                    .map(Map.Entry::getKey)
                    .findFirst()
                    .orElse(null);
            if (id != null) {
                // nothing has been received since that request was written, longer ago than the connect timeout: the
                // connection takes no new requests, so that the next one opens another connection, which shows whether
                // the member can still be reached
                retired |= lastReadAt <= inFlight.get(id).writtenAt()
                        && loop.clock() - inFlight.get(id).writtenAt() > limits.connectTimeout();
            }
            if (id != null && notifyCache) {
                inFlight.remove(id);
                rememberEndedId(id, true);
                if (channel.isActive()) {
                    channel.writeAndFlush(CacheProtocol.quit(channel.alloc(), id), channel.voidPromise());
                }
                if (!channel.isWritable()) {
                    close(); // the peer has stopped reading
                }
            }
            if (retired && isIdle()) {
                close();
            }
        }

        /**
         * Remembers an id that has ended on this connection: its answer, or a duplicate of it, may arrive for as long
         * as the id may be requested again.
         */
        private void rememberEndedId(String id, boolean abandoned) {
            long now = loop.clock();
            Iterator<EndedId> oldest = endedIds.values().iterator();
            while (oldest.hasNext() && now - oldest.next().endedAt() > limits.endedIdRetention()) {
                oldest.remove();
            }
            endedIds.put(id, new EndedId(now, abandoned));
        }

        /**
         * Closes the connection if it is dead. A lost machine, a hanging process and an answer that stops halfway look
         * alike: no byte arrives though answers are outstanding. Unless an answer is partly received, a probe (NOOP) is
         * sent first.
         */
        void checkLiveness(long now) {
            long oldestWrittenAt = inFlight.values().stream()
                    .mapToLong(AttemptInFlight::writtenAt)
                    .min()
                    .orElse(Long.MAX_VALUE);
            if (!connected || closed || oldestWrittenAt == Long.MAX_VALUE || decoder.readPaused()) {
                probeSentAt = -1;
                return;
            }
            long silence = now - Math.max(lastReadAt, oldestWrittenAt);
            if (decoder.hasPartialAnswer()
                    ? silence > limits.livenessProbeDelay() + limits.livenessProbeTimeout()
                    : probeSentAt >= 0 && now - probeSentAt > limits.livenessProbeTimeout()) {
                counters.add(Name.LINES_DEAD);
                loop.reportError("a connection to member " + instance + " was closed: it shows no sign of life");
                close();
            } else if (probeSentAt < 0
                    && !decoder.hasPartialAnswer()
                    && beingWritten == null
                    && silence > limits.livenessProbeDelay()) {
                probeSentAt = now;
                channel.writeAndFlush(CacheProtocol.noop(channel.alloc()), channel.voidPromise());
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            lastReadAt = loop.clock();
            probeSentAt = -1;
            ctx.fireChannelReadComplete();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, AnswerDecoder.Answer answer) {
            AttemptInFlight sent = closed ? null : inFlight.get(answer.id());
            AnswerStatus status = CacheProtocol.status(answer.status());
            String defect = CacheProtocol.findDefect(answer, sent == null ? null : sent.request());
            if (closed || sent == null || defect != null) {
                answer.body().release();
                if (!closed && defect != null) {
                    throw new CorruptedFrameException(defect);
                }
                if (!closed && status != null && endedIds.remove(answer.id()) == null) {
                    counters.add(Name.UNASKED); // well-formed, but for no known request: dropped
                }
                return;
            }
            lastUsedAt = loop.clock();
            inFlight.remove(answer.id());
            rememberEndedId(answer.id(), false);
            connectionByAttempt.remove(sent.attempt());
            counters.add(Name.BYTES_IN, answer.body().readableBytes());
            loop.submit(new Input.AttemptAnswered(
                    sent.attempt(),
                    status,
                    answer.fields().get("tell"),
                    CacheProtocol.load(answer.fields().get("meter")),
                    NettyBytes.of(answer.body())));
            if (retired && isIdle()) {
                close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            onClosed();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof DecoderException) {
                counters.add(Name.BAD_INPUT);
                loop.reportError("a connection to member " + instance + " was closed: " + cause.getMessage());
            }
            close();
        }

        void close() {
            channel.close();
            onClosed();
        }

        /**
         * Ends all attempts on this connection: those that were not completely written never ran; the outcome of the
         * others is unknown.
         */
        private void onClosed() {
            if (closed) {
                return;
            }
            closed = true;
            List<Connection> pool = connectionsByInstance.get(instance);
            pool.remove(this);
            if (pool.isEmpty()) {
                connectionsByInstance.remove(instance);
            }
            List<Input> endInputs = new ArrayList<>();
            inFlight.values()
                    .forEach(s -> endInputs.add(
                            s.writtenAt() == Long.MAX_VALUE
                                    ? new Input.AttemptNeverSent(s.attempt())
                                    : new Input.ConnectionLost(s.attempt())));
            queue.forEach(queued -> {
                queued.request().body().release();
                endInputs.add(new Input.AttemptNeverSent(queued.attempt()));
            });
            inFlight.keySet().clear();
            queue.clear();
            beingWritten = null;
            for (Input endInput : endInputs) {
                connectionByAttempt.remove(
                        endInput instanceof Input.ConnectionLost lost
                                ? lost.attempt()
                                : ((Input.AttemptNeverSent) endInput).attempt());
                loop.submit(endInput);
            }
        }
    }
}
