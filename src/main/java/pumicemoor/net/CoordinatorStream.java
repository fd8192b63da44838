package pumicemoor.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutException;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import pumicemoor.node.Counters;
import pumicemoor.node.Counters.Name;
import pumicemoor.node.Input;
import pumicemoor.node.ResourceLimits;

/**
 * The stream of events from the coordinator, kept open while the router runs. It owns the connection that is read and
 * the connection attempts that are to replace it. While the coordinator does not answer, further connections are
 * opened beside those that wait, and the first one that answers is read; until then, the stream from the previous
 * coordinator is still read. An attempt ends by its own time limit only, never in favor of a younger one. It must never
 * parse an event: each is passed on as the text received.
 */
final class CoordinatorStream {

    private static final Logger LOG = LoggerFactory.getLogger(CoordinatorStream.class);
    private static final String PATH = "/v2/stream";
    private static final int MAX_PENDING_ATTEMPTS = 8; // connections that wait for an answer at the same time

    private final Bootstrap bootstrap;
    private final ResourceLimits limits;
    private final LongSupplier lastEvent;
    private final Counters counters;
    private final Loop loop;
    private final List<Channel> pendingAttempts = new ArrayList<>(); // not answered yet; the oldest first
    private String address = "";
    private Channel stream; // the connection that is read; null while there is none
    private String streamAddress = "";
    private Future<?> scheduledConnect;
    private int consecutiveFailures; // connections that failed since the last stream
    private long lastHeartbeatAt = Long.MIN_VALUE; // when the coordinator last confirmed that it had sent all events
    private boolean decoding; // while received bytes are being decoded

    CoordinatorStream(
            Bootstrap bootstrap, ResourceLimits limits, LongSupplier lastEvent, Counters counters, Loop loop) {
        this.limits = limits;
        this.counters = counters;
        this.lastEvent = lastEvent;
        this.loop = loop;
        this.bootstrap = bootstrap
                .clone()
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) (limits.coordinatorConnectTimeout() / 1_000))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline().addLast(handlers());
                    }
                });
    }

    /** The channel handlers of one connection. */
    ChannelHandler[] handlers() {
        return new ChannelHandler[] {new HttpClientCodec(), new Reader()};
    }

    /**
     * Follows the coordinator at this address; with an empty address, none. If the address is unchanged, the stream is
     * requested again from the last applied event on, and the old connection is closed.
     */
    void follow(String newAddress) {
        if (newAddress.equals(address)) {
            cancelScheduledConnect(); // attempts that wait have asked for all events that are missing now
        } else {
            closeAttempts();
        }
        if (newAddress.isEmpty() || newAddress.equals(address)) {
            closeStream();
        }
        address = newAddress;
        connect();
    }

    private void connect() {
        scheduledConnect = null;
        if (address.isEmpty()) {
            return;
        }
        if (pendingAttempts.size() >= MAX_PENDING_ATTEMPTS) {
            connectAfter(limits.coordinatorSilenceTimeout());
            return;
        }
        int colon = address.lastIndexOf(':');
        ChannelFuture connecting = bootstrap.connect(
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))));
        Channel connection = connecting.channel();
        pendingAttempts.add(connection);
        connectAfter(limits.coordinatorSilenceTimeout());
        // where no socket can be opened, Netty calls the listener on a thread other than the event loop's
        connecting.addListener(done -> bootstrap.config().group().next().execute(() -> {
            if (!done.isSuccess()) {
                connectFailed(done.cause());
                onClosed(connection);
            }
        }));
    }

    private void connectAfter(long micros) {
        cancelScheduledConnect();
        scheduledConnect = bootstrap.config().group().next().schedule(this::connect, micros, TimeUnit.MICROSECONDS);
    }

    private void cancelScheduledConnect() {
        if (scheduledConnect != null) {
            scheduledConnect.cancel(false);
            scheduledConnect = null;
        }
    }

    /** Logs the first of consecutive failures with its cause; the log line of the next stream gives their number. */
    private void connectFailed(Throwable cause) {
        counters.add(Name.COORDINATOR_CONNECT_FAILED);
        if (consecutiveFailures++ == 0) {
            LOG.warn("the coordinator at {} can't be reached: {}", address, cause.toString());
        }
    }

    /** Reads the first connection that answers, in place of any other. */
    private void onAnswer(Channel connection) {
        pendingAttempts.remove(connection);
        closeAttempts();
        closeStream();
        stream = connection;
        streamAddress = address;
        counters.add(Name.COORDINATOR_STREAMS);
        LOG.info(
                "the coordinator's stream is open from event {} on, after {} failed connections",
                lastEvent.getAsLong(),
                consecutiveFailures);
        consecutiveFailures = 0;
    }

    /** Handles the close of a connection; one that was abandoned in favour of another is not reopened. */
    private void onClosed(Channel connection) {
        boolean wasStream = connection == stream;
        if (!pendingAttempts.remove(connection) && !wasStream) {
            return;
        }
        if (wasStream) {
            stream = null;
            counters.add(Name.COORDINATOR_STREAMS_LOST);
            LOG.info("the coordinator's stream ended at event {}", lastEvent.getAsLong());
        }
        if (pendingAttempts.isEmpty()) {
            // a random delay of 0.5 to 1.5 times the retry interval spreads the reconnects of many routers
            connectAfter(limits.coordinatorRetryDelay() / 2
                    + ThreadLocalRandom.current().nextLong(limits.coordinatorRetryDelay() + 1));
        }
    }

    /** Reads all input that is available now: after a stall, the loop must apply the missed updates first. */
    void readAvailable() {
        if (decoding) {
            return;
        }
        List<Channel> channels = new ArrayList<>(pendingAttempts);
        if (stream != null) {
            channels.add(0, stream);
        }
        channels.stream().filter(Channel::isActive).forEach(c -> ((AbstractNioChannel.NioUnsafe) c.unsafe()).read());
    }

    /** Whether a heartbeat was received at this time (microseconds) or later. */
    boolean heartbeatSince(long time) {
        return lastHeartbeatAt >= time;
    }

    void close() {
        address = "";
        closeAttempts();
        closeStream();
    }

    private void closeAttempts() {
        cancelScheduledConnect();
        List<Channel> abandoned = List.copyOf(pendingAttempts);
        pendingAttempts.clear();
        abandoned.forEach(Channel::close);
    }

    private void closeStream() {
        Channel previous = stream;
        stream = null;
        if (previous != null) {
            previous.close();
        }
    }

    /** Requests the stream on one connection and decodes its events. */
    private final class Reader extends SimpleChannelInboundHandler<HttpObject> {
        private final ServerSentEvents events = new ServerSentEvents(this::submitEvent);
        private ChannelHandlerContext context;
        private boolean answered;

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            context = ctx;
        }

        private ReadTimeoutHandler silenceLimit(long micros) {
            return new ReadTimeoutHandler(micros, TimeUnit.MICROSECONDS);
        }

        private void submitEvent(String event) {
            if (context.channel().isOpen()) { // events after the close are requested again
                loop.submit(new Input.CoordinatorUpdate(event));
            }
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            ctx.pipeline().addFirst(silenceLimit(limits.coordinatorAnswerTimeout()));
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, PATH);
            request.headers()
                    .set(HttpHeaderNames.HOST, address)
                    .set(HttpHeaderNames.ACCEPT, HttpHeaderValues.TEXT_EVENT_STREAM)
                    .set("Last-Event-ID", lastEvent.getAsLong());
            ctx.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (message instanceof HttpResponse response) {
                answered = response.status().equals(HttpResponseStatus.OK);
                if (answered) {
                    ctx.pipeline().remove(ReadTimeoutHandler.class);
                    ctx.pipeline().addFirst(silenceLimit(limits.coordinatorSilenceTimeout()));
                    onAnswer(ctx.channel());
                } else {
                    LOG.warn("the coordinator answered the stream request with status {}", response.status());
                    ctx.close();
                }
            }
            if (answered && message instanceof HttpContent content) {
                ByteBuf bytes = content.content();
                decoding = true;
                try {
                    events.decode(bytes);
                } finally {
                    decoding = false;
                }
                // the previous coordinator may keep running without receiving updates: its comments are not heartbeats
                if (events.pollHeartbeat() && context.channel().isOpen() && streamAddress.equals(address)) {
                    lastHeartbeatAt = loop.clock();
                    loop.submit(new Input.CoordinatorHeartbeat());
                }
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            onClosed(ctx.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!answered && cause instanceof ReadTimeoutException) {
                counters.add(Name.COORDINATOR_ATTEMPTS_ABANDONED);
                LOG.warn("the coordinator at {} has not answered the stream request in time", address);
            } else {
                LOG.warn("the coordinator's stream failed and is reopened: {}", cause.toString());
            }
            ctx.close();
        }
    }
}
