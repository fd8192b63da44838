package pumicemoor.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.Promise;
import io.netty.util.concurrent.PromiseCombiner;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import pumicemoor.Logic;
import pumicemoor.RefusalPolicy;
import pumicemoor.RefusalPolicy.Rejection;
import pumicemoor.node.CallFront;
import pumicemoor.node.CallLoop;
import pumicemoor.node.Counters;
import pumicemoor.node.Counters.Name;
import pumicemoor.node.Effect;
import pumicemoor.node.Input;
import pumicemoor.node.NodeConfig;
import pumicemoor.node.RateLimitedLog;
import pumicemoor.node.Reducer;
import pumicemoor.node.RequestIdentity;
import pumicemoor.node.ResourceLimits;
import pumicemoor.operator.OperatorConfig;

/**
 * The network server of the router: one event loop passes each input to the reducer, one at a time, and executes the
 * effects that it returns. It owns the listening socket, the clock and the loop's only timer, and must never decide
 * anything about a request.
 */
public final class NodeServer implements Loop, CallLoop {

    private static final Logger LOG = LoggerFactory.getLogger(NodeServer.class);

    private static final long TIMER_GRANULARITY_MICROS = 1_000;

    private final RouterClock routerClock = new RouterClock();
    private final NodeConfig config;
    private final OperatorConfig operatorConfig;
    private final ResourceLimits limits;
    private final Counters counters = new Counters();
    private final Reducer reducer;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BufferBudget budget;
    private final PartialFrames partialFrames;
    // a task scheduled without a delay runs after the selector has been asked again
    private final ReadTurns readTurns =
            new ReadTurns(task -> loop.schedule(task, 0, TimeUnit.MICROSECONDS), System::nanoTime);
    private final CacheConnections cacheConnections;
    private final CoordinatorStream coordinator;
    private final Map<Long, ClientConnection> clients = new LinkedHashMap<>(); // by connection id, the oldest first
    private final Set<ClientConnection> allClients = new LinkedHashSet<>(); // also those in stage RELEASING
    private final RateLimitedLog errorLog;
    private final Inbox inbox = new Inbox();
    private final List<Effect> effects = new ArrayList<>();
    private final CountDownLatch synced = new CountDownLatch(1);
    private final CountDownLatch terminated = new CountDownLatch(1);
    private final FleetSocket fleetSocket = new FleetSocket(this);
    private Optional<CallFront> callFront = Optional.empty();
    private Channel listener;
    private long lastConnectionId;
    private boolean processing;
    private boolean draining;
    private long timerDueAt = Long.MAX_VALUE;
    private long lastTurnAt; // when the loop last took an input
    private long longestStallMicros;
    private long longestRecoveryMicros; // of the reads after a stall
    private long unreadDelayMicros; // the length of the last stall
    private long unreadDelayUntil; // requests received before this time may have waited unread during the last stall
    // the time during which requests are held back, after a stall in which contact with the coordinator was lost
    private long requestsHeldSince;
    private long requestsHeldUntil;

    /** Creates a router from the platform's configuration and the operator's configuration. */
    public NodeServer(NodeConfig config, OperatorConfig operatorConfig) {
        this.config = config;
        this.operatorConfig = operatorConfig;
        this.limits = ResourceLimits.of(config.settingsReader().settings(), config.resources());
        this.reducer = new Reducer(
                new Logic(config.settingsReader().settings(), config.seed()),
                config.settingsReader(),
                limits,
                counters);
        this.errorLog = new RateLimitedLog(LOG, limits.warningsPerSecond());
        Bootstrap bootstrap = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.ALLOCATOR, PooledByteBufAllocator.DEFAULT);
        this.budget = new BufferBudget(PooledByteBufAllocator.DEFAULT::pinnedDirectMemory, limits.maxBufferedBytes());
        this.partialFrames = new PartialFrames(limits.maxPartialFrameBytes(), counters);
        this.cacheConnections = new CacheConnections(bootstrap, limits, budget, counters, this);
        this.coordinator = new CoordinatorStream(bootstrap, limits, reducer::lastEventIndex, counters, this);
    }

    /** Adds a front that proxies call; must be called before the start. */
    public void attachCallFront(CallFront front) {
        callFront = Optional.of(front);
    }

    /**
     * Starts the router and returns once it listens for clients: after it has caught up with the coordinator, or the
     * wait for that has timed out.
     */
    public void start() throws InterruptedException, IOException {
        start(true);
    }

    /** Starts the router; it listens for clients only if {@code clientsWanted} is true. */
    public void start(boolean clientsWanted) throws InterruptedException, IOException {
        followCoordinator();
        openListener(clientsWanted);
    }

    /**
     * Applies the configured members and follows the coordinator from the last event they include; reloads are possible
     * from then on.
     */
    public void followCoordinator() throws InterruptedException, IOException {
        if (operatorConfig.fleet().isPresent()) {
            fleetSocket.listen(group, operatorConfig.fleet().get().listen());
        }
        loop.submit(() -> {
                    reducer.applyOperatorConfig(
                            clock(), operatorConfig, config.location(), config.name(), config.seed());
                    reducer.applyInitialUpdates(clock(), config, effects::add);
                    processInbox();
                    loop.scheduleAtFixedRate(
                            this::sweep, limits.sweepInterval(), limits.sweepInterval(), TimeUnit.MICROSECONDS);
                    coordinator.follow(config.coordinator());
                })
                .sync();
        LOG.info("{}: the coordinator is being followed from event {} on", config.name(), config.initialIndex());
    }

    /** Warms up, waits until the router has caught up with the coordinator or the wait has timed out, then listens. */
    public void openListener(boolean clientsWanted) throws InterruptedException, IOException {
        warmUp();
        synced.await();
        if (callFront.isPresent()) {
            callFront.get().start(this);
        }
        if (!clientsWanted) {
            return;
        }
        int colon = config.listen().lastIndexOf(':');
        listener = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .handler(new AcceptFailures(counters, this))
                .option(ChannelOption.SO_BACKLOG, 1024)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.ALLOCATOR, PooledByteBufAllocator.DEFAULT)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        if (!reserveClientSlot()) {
                            counters.add(Name.TURNED_OUT);
                            ch.close();
                            return;
                        }
                        ch.config()
                                .setWriteBufferWaterMark(new WriteBufferWaterMark(
                                        limits.clientBacklogBytes() / 2, limits.clientBacklogBytes()));
                        FrameDecoder decoder = new FrameDecoder(limits.maxFrameBytes(), partialFrames, readTurns);
                        ch.config().setRecvByteBufAllocator(new ClientReadSizes(decoder));
                        ClientConnection client = new ClientConnection(
                                ++lastConnectionId, decoder, limits, budget, counters, NodeServer.this);
                        allClients.add(client);
                        ch.closeFuture().addListener(done -> allClients.remove(client));
                        ch.pipeline().addLast(decoder, client);
                    }
                })
                .bind(new InetSocketAddress(
                        config.listen().substring(0, colon),
                        Integer.parseInt(config.listen().substring(colon + 1))))
                .sync()
                .channel();
        LOG.info("{} listens on {}", config.name(), config.listen());
    }

    private void warmUp() throws InterruptedException {
        long startNanos = System.nanoTime();
        long answered = new WarmUp(config, limits, clock())
                .run(limits.warmUpRequests(), limits.maxWarmUpTime(), () -> loop.submit(() -> {})
                        .sync());
        LOG.info(
                "{} warmed up with {} requests in {} ms",
                config.name(),
                answered,
                TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos));
    }

    /**
     * Whether one more client can be accepted. At the limit, this closes the oldest connection that has sent no valid
     * request, else the one that has been idle for longest, so that unused connections do not keep new clients out.
     */
    private boolean reserveClientSlot() {
        // at most an eighth more, which are closing
        if (allClients.size() >= limits.maxClients() + limits.maxClients() / 8) {
            Optional<ClientConnection> released = allClients.stream()
                    .filter(ClientConnection::isReleasedAndSent)
                    .findFirst();
            if (released.isEmpty()) {
                return false; // answers still wait for each of them
            }
            released.get().closeNow("it is already being closed, and its slot is needed");
        }
        if (clients.size() < limits.maxClients()) {
            return true;
        }
        return closeSilentClient()
                || clients.values().stream()
                        .filter(c -> c.idleSince() < Long.MAX_VALUE)
                        .sorted(Comparator.comparingLong(ClientConnection::idleSince))
                        .toList()
                        .stream()
                        .anyMatch(ClientConnection::closeIfIdle);
    }

    /**
     * Closes the oldest connection that has sent no valid request, one that is sending its first frame only if there is
     * no other; returns false if there is none.
     */
    private boolean closeSilentClient() {
        List<ClientConnection> silent = clients.values().stream()
                .filter(ClientConnection::hasSentNoRequest)
                .sorted(Comparator.comparing(ClientConnection::isReceivingFrame))
                .toList();
        return silent.stream().anyMatch(ClientConnection::closeIfSilent);
    }

    private void sweep() {
        long now = clock();
        cacheConnections.sweep(now);
        List.copyOf(allClients).forEach(c -> c.sweep(now));
    }

    /** Shuts the router down gracefully: accepts no new requests, answers all open ones, then exits. */
    public void terminate() {
        if (!group.isShuttingDown()) {
            loop.execute(() -> submit(new Input.Terminate()));
        }
    }

    /**
     * Applies a reloaded configuration as far as possible. If the files could not be read, {@code problem} says why and
     * at least one configuration is null.
     */
    public void reload(NodeConfig next, OperatorConfig nextOperator, String problem) {
        if (!group.isShuttingDown()) {
            loop.execute(() -> submit(new Input.Reload(next, nextOperator, problem)));
        }
    }

    /** Waits for the end of the router; returns false if the time passes before. */
    public boolean awaitEnd(long millis) throws InterruptedException {
        return terminated.await(millis, TimeUnit.MILLISECONDS);
    }

    /** The local address of the listener. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    public Counters counters() {
        return counters;
    }

    /**
     * Status values of the components enabled by the operator, by name; called on the loop's thread only, or after its
     * end.
     */
    @Override
    public Map<String, String> state() {
        Map<String, String> state = new LinkedHashMap<>(reducer.statusFields());
        state.put("longest-stall-ms", Long.toString(longestStallMicros / 1_000));
        state.put("longest-recovery-ms", Long.toString(longestRecoveryMicros / 1_000));
        callFront.ifPresent(f -> state.putAll(f.statusFields()));
        return state;
    }

    @Override
    public Optional<String> rows(String subject) {
        return reducer.fleetTable(subject);
    }

    @Override
    public boolean execute(Runnable task) {
        try {
            loop.execute(task);
            return true;
        } catch (RejectedExecutionException e) {
            return false;
        }
    }

    @Override
    public Runnable schedule(long micros, Runnable task) {
        Future<?> scheduled = loop.schedule(task, micros, TimeUnit.MICROSECONDS);
        return () -> scheduled.cancel(false);
    }

    @Override
    public long clock() {
        return routerClock.now();
    }

    @Override
    public boolean ready() {
        return reducer.ready();
    }

    @Override
    public void reportError(String text) {
        errorLog.warn(clock(), text);
    }

    @Override
    public Rejection rejectionOf(RequestIdentity identity) {
        return inbox.containsRequest(identity.clientRequestId())
                ? RefusalPolicy.FAILED // it is going to be sent
                : reducer.rejectionOf(clock(), identity);
    }

    @Override
    public void clientOpened(long connectionId, ClientConnection client) {
        clients.put(connectionId, client);
        if (draining) {
            client.drain();
        }
    }

    @Override
    public void clientClosed(long connectionId) {
        clients.remove(connectionId);
    }

    /** Queues an input and processes the queue, unless it is already being processed; on the loop's thread only. */
    @Override
    public void submit(Input input) {
        if (input instanceof Input.ClientClosed closed) {
            removeRequests(closed, r -> r.connection() == closed.connection());
        } else if (input instanceof Input.RequestCancelled cancelled) {
            removeRequests(
                    cancelled, r -> r.connection() == cancelled.connection() && r.stream() == cancelled.stream());
        } else {
            inbox.add(
                    input instanceof Input.Request r && clock() < unreadDelayUntil
                            ? r.withUnreadDelay(unreadDelayMicros)
                            : input);
        }
        processInbox();
    }

    /** Removes the queued requests of a client that no longer waits for them. */
    private void removeRequests(Input cancellation, Predicate<Input.Request> selected) {
        counters.add(Name.WITHDRAWN, inbox.cancel(cancellation, selected));
    }

    /**
     * The next input: coordinator updates first, then cancellations, then all inputs whose processing may depend on
     * them. The decision module sets its timers at such short intervals that only a stalled loop exceeds the limit
     * between two calls of this method. A loop that was stalled, for whatever reason, first reads the input that has
     * arrived since, for a limited time.
     */
    private Input next() {
        long now = clock();
        if (now - lastTurnAt > limits.loopStallThreshold()) {
            recoverFromStall(now);
        }
        lastTurnAt = now;
        Input urgent = inbox.nextUrgent();
        if (urgent != null) {
            return urgent;
        }
        if (inbox.holdsRequests() && (now >= requestsHeldUntil || coordinator.heartbeatSince(requestsHeldSince))) {
            inbox.releaseRequests(now - requestsHeldSince);
        }
        return inbox.nextOther();
    }

    private void recoverFromStall(long now) {
        long stallMicros = lastTurnAt == 0 ? 0 : now - lastTurnAt;
        if (stallMicros > 0) {
            reportStall(stallMicros);
        }
        boolean inContactBefore = coordinator.heartbeatSince(lastTurnAt - limits.coordinatorSilenceTimeout());
        unreadDelayUntil = 0;
        coordinator.readAvailable();
        readClients(now + limits.maxRecoveryTime());
        lastTurnAt = clock(); // the recovery itself is no stall
        reportRecovery(lastTurnAt - now);
        inbox.addUnreadDelay(stallMicros);
        unreadDelayMicros = stallMicros;
        unreadDelayUntil = lastTurnAt + limits.loopStallThreshold() / 3; // for what is accepted or read only now
        if (inContactBefore && !coordinator.heartbeatSince(now - limits.coordinatorSilenceTimeout())) {
            holdRequests(now);
        }
    }

    /**
     * Reads the clients in rounds, one read of each at a time, until no more input is available or this time
     * (microseconds) has come: clients that send without a pause must not keep the loop from everything else.
     */
    private void readClients(long until) {
        Deque<ClientConnection> unread = new ArrayDeque<>(clients.values());
        while (!unread.isEmpty() && clock() < until) {
            ClientConnection client = unread.poll();
            if (client.readOnce()) {
                unread.add(client);
            }
        }
    }

    private void reportStall(long stallMicros) {
        counters.add(Name.LOOP_STALLS);
        longestStallMicros = Math.max(longestStallMicros, stallMicros);
        PooledByteBufAllocator allocator = PooledByteBufAllocator.DEFAULT;
        reportError("the event loop was stalled for " + stallMicros / 1_000 + " ms; direct buffers: "
                + allocator.metric().usedDirectMemory() + " bytes allocated, " + allocator.pinnedDirectMemory()
                + " in use; client connections: " + clients.size() + ", "
                + partialFrames.connections() + " with a frame received in part (" + partialFrames.bytes() + " bytes)");
    }

    /** Logs a recovery that itself took as long as a stall. */
    private void reportRecovery(long micros) {
        longestRecoveryMicros = Math.max(longestRecoveryMicros, micros);
        if (micros > limits.loopStallThreshold()) {
            counters.add(Name.LONG_RECOVERIES);
            reportError("reading all connections after a stall took " + micros / 1_000 + " ms; client connections: "
                    + clients.size());
        }
    }

    /** Updates sent during the stall may be missing: requests wait until contact is restored, for a limited time. */
    private void holdRequests(long now) {
        counters.add(Name.HOLDS);
        LOG.warn(
                "contact with the coordinator was lost while this process was stalled; requests are held back until it is restored");
        requestsHeldSince = now;
        requestsHeldUntil = now + limits.maxRequestHold();
        inbox.holdRequests();
        loop.schedule(this::processInbox, limits.maxRequestHold(), TimeUnit.MICROSECONDS);
    }

    private void processInbox() {
        if (processing) {
            return;
        }
        processing = true;
        try {
            executeEffects();
            for (Input input = next(); input != null; input = next()) {
                reducer.accept(routerClock.now(), routerClock.wall(), input, effects::add);
                executeEffects();
            }
        } finally {
            processing = false;
        }
        if (reducer.synced()) {
            synced.countDown();
        }
        budget.resume();
        long due = reducer.nextDue();
        if (due < timerDueAt) {
            timerDueAt = due;
            // the selector waits in whole milliseconds and would spin through a shorter wait
            long wait = Math.max(1, (due - clock() + TIMER_GRANULARITY_MICROS - 1) / TIMER_GRANULARITY_MICROS);
            loop.schedule(this::onTimer, wait * TIMER_GRANULARITY_MICROS, TimeUnit.MICROSECONDS);
        }
    }

    private void onTimer() {
        timerDueAt = Long.MAX_VALUE;
        submit(new Input.TimerFired());
    }

    private void executeEffects() {
        for (int i = 0; i < effects.size(); i++) {
            executeEffect(effects.get(i));
        }
        effects.clear();
    }

    private void executeEffect(Effect effect) {
        if (effect instanceof Effect.SendAttempt send) {
            cacheConnections.send(send);
        } else if (effect instanceof Effect.AbandonAttempt abandon) {
            cacheConnections.abandon(abandon);
        } else if (effect instanceof Effect.AnnounceAttempt announcement) {
            callFront.ifPresent(f -> f.attemptAnnounced(announcement));
        } else if (effect instanceof Effect.Answer answer && answer.connection() < 0) {
            answer.body().release();
            callFront.ifPresent(f -> f.answered(answer.connection(), answer.code(), answer.retryAfterMillis()));
        } else if (effect instanceof Effect.ApplyOperatorConfig apply) {
            callFront.ifPresent(f -> f.applyOperatorConfig(apply.operator()));
        } else if (effect instanceof Effect.Answer answer) {
            ClientConnection client = clients.get(answer.connection());
            if (client == null) {
                answer.body().release();
            } else {
                client.answer(answer);
            }
        } else if (effect instanceof Effect.ReportProtocolError error) {
            if (clients.containsKey(error.connection())) {
                clients.get(error.connection()).onInvalidRequest();
            }
        } else if (effect instanceof Effect.CloseIdleConnections close) {
            cacheConnections.closeIdle(close.instance());
        } else if (effect instanceof Effect.DropConnections drop) {
            cacheConnections.closeOpenedBefore(drop.instance(), drop.openedBefore());
        } else if (effect instanceof Effect.RetireConnections retire) {
            cacheConnections.retire(retire.instance());
        } else if (effect instanceof Effect.DrainClients) {
            draining = true;
            clients.values().forEach(ClientConnection::drain);
            callFront.ifPresent(CallFront::drain);
        } else if (effect instanceof Effect.FollowCoordinator follow) {
            coordinator.follow(follow.coordinator());
        } else if (effect instanceof Effect.SendFleetPacket packet) {
            fleetSocket.send(packet.address(), packet.bytes());
        } else if (effect instanceof Effect.CommandReply reply) {
            if (clients.containsKey(reply.connection())) {
                clients.get(reply.connection()).writeReply(reply);
            }
        } else if (effect instanceof Effect.CompleteClientReads) {
            completeClientReads();
        } else if (effect instanceof Effect.Exit) {
            shutDown();
        }
    }

    /** Accepts all pending connections and reads all input that is available now. */
    private void completeClientReads() {
        for (long previousId = -1; listener != null && previousId != lastConnectionId; ) {
            previousId = lastConnectionId;
            ((AbstractNioChannel.NioUnsafe) listener.unsafe()).read();
        }
        List.copyOf(clients.values()).forEach(ClientConnection::readAvailable);
        readTurns.finish();
        List.copyOf(clients.values()).forEach(ClientConnection::settleReceivedAtOnce);
        submit(new Input.ClientReadsCompleted());
    }

    private void shutDown() {
        if (listener != null) {
            listener.close();
        }
        callFront.ifPresent(CallFront::close);
        coordinator.close();
        fleetSocket.close();
        cacheConnections.closeAll();
        // clients that read slowly get the time to receive their last answers
        PromiseCombiner flushed = new PromiseCombiner(loop);
        List.copyOf(allClients).forEach(c -> flushed.add(c.closeGracefully()));
        Promise<Void> allFlushed = loop.newPromise();
        flushed.finish(allFlushed);
        allFlushed.addListener(done ->
                group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).addListener(end -> terminated.countDown()));
    }
}
