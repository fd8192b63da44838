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
import java.util.ArrayList;
import java.util.Comparator;
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
import pumicemoor.node.BoundedLog;
import pumicemoor.node.CallFront;
import pumicemoor.node.CallLoop;
import pumicemoor.node.Counters;
import pumicemoor.node.Counters.Name;
import pumicemoor.node.Effect;
import pumicemoor.node.Input;
import pumicemoor.node.NodeConfig;
import pumicemoor.node.Reducer;
import pumicemoor.node.ResourceLimits;
import pumicemoor.operator.OperatorConfig;

/**
 * The router on sockets: one event loop that hands every input to the reducer, one after the other, and
 * carries out its effects. It owns the listening socket, the clock and the loop's one timer, and must never
 * decide anything about a request.
 */
public final class NodeServer implements Loop, CallLoop {

    private static final Logger LOG = LoggerFactory.getLogger(NodeServer.class);

    private static final long WAKE_GRAIN = 1_000;

    private final RouterClock time = new RouterClock();
    private final NodeConfig config;
    private final OperatorConfig operator;
    private final ResourceLimits limits;
    private final Counters counters = new Counters();
    private final Reducer reducer;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BufferBudget budget;
    private final CacheLines lines;
    private final CoordinatorStream coordinator;
    private final Map<Long, ClientConnection> clients = new LinkedHashMap<>(); // the longest open first
    private final Set<ClientConnection> connections = new LinkedHashSet<>(); // those too that are being let go
    private final BoundedLog complaints;
    private final Inbox inbox = new Inbox();
    private final List<Effect> effects = new ArrayList<>();
    private final CountDownLatch synced = new CountDownLatch(1);
    private final CountDownLatch ended = new CountDownLatch(1);
    private final FleetSocket fleet = new FleetSocket(this);
    private Optional<CallFront> front = Optional.empty();
    private Channel listener;
    private long lastClient;
    private boolean working;
    private boolean draining;
    private long wakeAt = Long.MAX_VALUE;
    private long turnedAt, unreadFor, unreadUntil;
    private long heldFrom, heldUntil; // requests, after a pause in which the coordinator was lost

    /** A router with the platform's configuration, and what the operator has set beyond it. */
    public NodeServer(NodeConfig config, OperatorConfig operator) {
        this.config = config;
        this.operator = operator;
        this.limits = ResourceLimits.of(config.words().settings(), config.figures());
        this.reducer =
                new Reducer(new Logic(config.words().settings(), config.seed()), config.words(), limits, counters);
        this.complaints = new BoundedLog(LOG, limits.complaints());
        Bootstrap connections = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.ALLOCATOR, PooledByteBufAllocator.DEFAULT);
        this.budget = new BufferBudget(PooledByteBufAllocator.DEFAULT::pinnedDirectMemory, limits.bufferedBytes());
        this.lines = new CacheLines(connections, limits, budget, counters, this);
        this.coordinator = new CoordinatorStream(connections, limits, reducer::lastUpdate, counters, this);
    }

    /** Has proxies call through this front too; before the start. */
    public void attach(CallFront calls) {
        front = Optional.of(calls);
    }

    /** Follows the coordinator and, once what it has told is known, listens; returns then. */
    public void start() throws InterruptedException, IOException {
        start(true);
    }

    /** The same, without clients where none are wanted. */
    public void start(boolean clientsWanted) throws InterruptedException, IOException {
        follow();
        open(clientsWanted);
    }

    /** Takes what is known and follows the coordinator from there; from then on a reload can be taken. */
    public void follow() throws InterruptedException, IOException {
        if (operator.fleet().isPresent()) {
            fleet.listen(group, operator.fleet().get().listen());
        }
        loop.submit(() -> {
                    reducer.applyOperatorConfig(clock(), operator, config.location(), config.name(), config.seed());
                    reducer.known(clock(), config, effects::add);
                    work();
                    loop.scheduleAtFixedRate(this::sweep, limits.sweep(), limits.sweep(), TimeUnit.MICROSECONDS);
                    coordinator.follow(config.coordinator());
                })
                .sync();
        LOG.info("{}: the coordinator is being followed from event {} on", config.name(), config.knownIndex());
    }

    /** Listens once the router has caught up with the coordinator, or has given up waiting for that. */
    public void open(boolean clientsWanted) throws InterruptedException, IOException {
        rehearse();
        synced.await();
        if (front.isPresent()) {
            front.get().start(this);
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
                        if (!makeRoom()) {
                            counters.add(Name.TURNED_OUT);
                            ch.close();
                            return;
                        }
                        ch.config()
                                .setWriteBufferWaterMark(new WriteBufferWaterMark(
                                        limits.clientBacklogBytes() / 2, limits.clientBacklogBytes()));
                        ClientConnection client =
                                new ClientConnection(++lastClient, limits, budget, counters, NodeServer.this);
                        connections.add(client);
                        ch.closeFuture().addListener(done -> connections.remove(client));
                        ch.pipeline().addLast(new FrameDecoder(limits.frameBytes()), client);
                    }
                })
                .bind(new InetSocketAddress(
                        config.listen().substring(0, colon),
                        Integer.parseInt(config.listen().substring(colon + 1))))
                .sync()
                .channel();
        LOG.info("{} listens on {}", config.name(), config.listen());
    }

    private void rehearse() throws InterruptedException {
        long began = System.nanoTime();
        long answered = new Rehearsal(config, limits, clock())
                .run(limits.rehearsals(), limits.rehearsalTime(), () -> loop.submit(() -> {})
                        .sync());
        LOG.info(
                "{} rehearsed {} requests in {} ms",
                config.name(),
                answered,
                TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began));
    }

    /**
     * Room for one client more: at the bound the one that says nothing for longest goes, else the one idle for
     * longest, so that whoever holds connections without use keeps nobody out.
     */
    private boolean makeRoom() {
        if (connections.size() >= limits.clients() + limits.clients() / 8) { // few may be on their way out at once
            connections.stream()
                    .filter(c -> c.stage() == ClientConnection.Stage.RELEASING)
                    .findFirst()
                    .ifPresent(c -> c.cut("it was told to go, and its place is needed"));
        }
        if (clients.size() < limits.clients()) {
            return true;
        }
        Optional<ClientConnection> silent =
                clients.values().stream().filter(ClientConnection::silent).findFirst();
        silent.ifPresent(c -> c.turnAway("it said nothing, and its place is needed"));
        return silent.isPresent()
                || clients.values().stream()
                        .filter(c -> c.idleSince() < Long.MAX_VALUE)
                        .sorted(Comparator.comparingLong(ClientConnection::idleSince))
                        .toList()
                        .stream()
                        .anyMatch(ClientConnection::makeWay);
    }

    private void sweep() {
        long now = clock();
        lines.sweep(now);
        clients.values().stream().toList().forEach(c -> c.sweep(now));
    }

    /** Ends the router in good order: no new requests, all that are open answered, then out. */
    public void terminate() {
        if (!group.isShuttingDown()) {
            loop.execute(() -> submit(new Input.Terminate()));
        }
    }

    /** Takes over what it can of a configuration read anew; null with the problem where it can't be used. */
    public void reload(NodeConfig next, OperatorConfig nextOperator, String problem) {
        if (!group.isShuttingDown()) {
            loop.execute(() -> submit(new Input.Reload(next, nextOperator, problem)));
        }
    }

    /** Waits for the end; true once it has come within that time. */
    public boolean awaitEnd(long millis) throws InterruptedException {
        return ended.await(millis, TimeUnit.MILLISECONDS);
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    public Counters counters() {
        return counters;
    }

    /** What can be seen of the parts that the operator has switched on, by name; only on the loop's thread or after its end. */
    @Override
    public Map<String, String> state() {
        Map<String, String> state = new LinkedHashMap<>(reducer.state());
        front.ifPresent(f -> state.putAll(f.state()));
        return state;
    }

    @Override
    public Optional<String> rows(String subject) {
        return reducer.rows(subject);
    }

    @Override
    public boolean execute(Runnable what) {
        try {
            loop.execute(what);
            return true;
        } catch (RejectedExecutionException e) {
            return false;
        }
    }

    @Override
    public Runnable schedule(long micros, Runnable what) {
        Future<?> due = loop.schedule(what, micros, TimeUnit.MICROSECONDS);
        return () -> due.cancel(false);
    }

    @Override
    public long clock() {
        return time.now();
    }

    @Override
    public boolean ready() {
        return reducer.ready();
    }

    @Override
    public void complain(String text) {
        complaints.warn(clock(), text);
    }

    @Override
    public void opened(long number, ClientConnection client) {
        clients.put(number, client);
        if (draining) {
            client.drain();
        }
    }

    @Override
    public void closed(long number) {
        clients.remove(number);
    }

    /** Takes an input on the loop's thread; one that comes while another is worked on waits its turn. */
    @Override
    public void submit(Input input) {
        if (input instanceof Input.ClientClosed c) {
            leave(c, r -> r.connection() == c.connection());
        } else if (input instanceof Input.RequestCancelled w) {
            leave(w, r -> r.connection() == w.connection() && r.stream() == w.stream());
        } else {
            inbox.add(input instanceof Input.Request r && clock() < unreadUntil ? r.withUnreadDelay(unreadFor) : input);
        }
        work();
    }

    /** A client waits no more: what of it was not worked on yet never will be. */
    private void leave(Input how, Predicate<Input.Request> whose) {
        counters.add(Name.WITHDRAWN, inbox.leave(how, whose));
    }

    /**
     * The next input: first what the coordinator has told by now, then who has left, then all that may be decided by
     * either. The decisions ask to be called far more often than a loop that turns freely could miss; one that was held
     * up, whatever by, first takes in all that came meanwhile.
     */
    private Input next() {
        long now = clock();
        if (now - turnedAt > limits.heldUp()) {
            afterHoldUp(now);
        }
        turnedAt = now;
        Input urgent = inbox.nextUrgent();
        if (urgent != null) {
            return urgent;
        }
        if (inbox.holdsRequests() && (now >= heldUntil || coordinator.heardSince(heldFrom))) {
            inbox.releaseRequests(now - heldFrom);
        }
        return inbox.nextOther();
    }

    private void afterHoldUp(long now) {
        long gap = turnedAt == 0 ? 0 : now - turnedAt;
        boolean heardBefore = coordinator.heardSince(turnedAt - limits.feedSilence());
        turnedAt = now;
        unreadUntil = 0;
        coordinator.look();
        List.copyOf(clients.values()).forEach(ClientConnection::look);
        inbox.requestsUnreadFor(gap);
        unreadFor = gap;
        unreadUntil = now + limits.heldUp() / 3; // who is only accepted now
        if (heardBefore && !coordinator.heardSince(now - limits.feedSilence())) {
            holdRequests(now);
        }
    }

    /** What was told during the pause is not known: requests wait until it is, for a bounded time. */
    private void holdRequests(long now) {
        counters.add(Name.HOLDS);
        LOG.warn("the coordinator was lost while this process was held up: requests wait for it");
        heldFrom = now;
        heldUntil = now + limits.requestHold();
        inbox.holdRequests();
        loop.schedule(this::work, limits.requestHold(), TimeUnit.MICROSECONDS);
    }

    private void work() {
        if (working) {
            return;
        }
        working = true;
        try {
            carryOut();
            for (Input input = next(); input != null; input = next()) {
                reducer.accept(time.now(), time.wall(), input, effects::add);
                carryOut();
            }
        } finally {
            working = false;
        }
        if (reducer.synced()) {
            synced.countDown();
        }
        budget.resume();
        long due = reducer.nextDue();
        if (due < wakeAt) {
            wakeAt = due;
            // the selector waits in milliseconds only and would turn idly through what is less than one
            long wait = Math.max(1, (due - clock() + WAKE_GRAIN - 1) / WAKE_GRAIN);
            loop.schedule(this::wake, wait * WAKE_GRAIN, TimeUnit.MICROSECONDS);
        }
    }

    private void wake() {
        wakeAt = Long.MAX_VALUE;
        submit(new Input.TimerFired());
    }

    private void carryOut() {
        for (int i = 0; i < effects.size(); i++) {
            carryOut(effects.get(i));
        }
        effects.clear();
    }

    private void carryOut(Effect effect) {
        if (effect instanceof Effect.SendAttempt ask) {
            lines.ask(ask);
        } else if (effect instanceof Effect.AbandonAttempt quit) {
            lines.quit(quit);
        } else if (effect instanceof Effect.AnnounceAttempt name) {
            front.ifPresent(f -> f.attemptAnnounced(name));
        } else if (effect instanceof Effect.Answer answer && answer.connection() < 0) {
            answer.body().release();
            front.ifPresent(f -> f.answered(answer.connection(), answer.code(), answer.retryAfterMillis()));
        } else if (effect instanceof Effect.ApplyOperatorConfig operate) {
            front.ifPresent(f -> f.applyOperatorConfig(operate.operator()));
        } else if (effect instanceof Effect.Answer answer) {
            ClientConnection client = clients.get(answer.connection());
            if (client == null) {
                answer.body().release();
            } else {
                client.answer(answer);
            }
        } else if (effect instanceof Effect.ReportProtocolError misused) {
            if (clients.containsKey(misused.connection())) {
                clients.get(misused.connection()).misused();
            }
        } else if (effect instanceof Effect.CloseIdleConnections close) {
            lines.closeIdle(close.instance());
        } else if (effect instanceof Effect.DropConnections drop) {
            lines.drop(drop.instance(), drop.openedBefore());
        } else if (effect instanceof Effect.RetireConnections retire) {
            lines.retire(retire.instance());
        } else if (effect instanceof Effect.DrainClients) {
            draining = true;
            clients.values().forEach(ClientConnection::drain);
            front.ifPresent(CallFront::drain);
        } else if (effect instanceof Effect.FollowCoordinator follow) {
            coordinator.follow(follow.coordinator());
        } else if (effect instanceof Effect.SendFleetPacket packet) {
            fleet.send(packet.address(), packet.bytes());
        } else if (effect instanceof Effect.CommandReply told) {
            if (clients.containsKey(told.connection())) {
                clients.get(told.connection()).told(told);
            }
        } else if (effect instanceof Effect.CompleteClientReads) {
            readAll();
        } else if (effect instanceof Effect.Exit) {
            end();
        }
    }

    /** Takes in who has connected and what has been asked by now, to the last. */
    private void readAll() {
        for (long before = -1; listener != null && before != lastClient; ) {
            before = lastClient;
            ((AbstractNioChannel.NioUnsafe) listener.unsafe()).read();
        }
        List.copyOf(clients.values()).forEach(ClientConnection::look);
        submit(new Input.ClientReadsCompleted());
    }

    private void end() {
        if (listener != null) {
            listener.close();
        }
        front.ifPresent(CallFront::close);
        coordinator.close();
        fleet.close();
        lines.closeAll();
        // answers still on their way to a slow client are given the time that they take
        PromiseCombiner flushed = new PromiseCombiner(loop);
        List.copyOf(connections).forEach(c -> flushed.add(c.release()));
        Promise<Void> all = loop.newPromise();
        flushed.finish(all);
        all.addListener(
                done -> group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).addListener(end -> ended.countDown()));
    }
}
