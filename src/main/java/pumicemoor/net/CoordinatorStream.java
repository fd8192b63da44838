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
 * The coordinator's stream of events, held open for as long as the router runs. It owns the connection that is read
 * and those that were opened to take its place. A coordinator that is slow to answer is asked on a second and a third
 * connection, and the first one that answers is read; a stream from the coordinator before is read until then. It must
 * never read what an event says: each goes on as the text that came.
 */
final class CoordinatorStream {

    private static final Logger LOG = LoggerFactory.getLogger(CoordinatorStream.class);
    private static final String PATH = "/v2/stream";
    private static final int ATTEMPTS = 3; // connections that wait for their answer at once

    private final Bootstrap bootstrap;
    private final ResourceLimits limits;
    private final LongSupplier lastEvent;
    private final Counters counters;
    private final Loop loop;
    private final List<Channel> attempts = new ArrayList<>(); // not answered yet, the oldest first
    private String address = "";
    private Channel stream; // that is read; null while there is none
    private String streamAddress = "";
    private Future<?> nextAttempt;
    private int failedInARow; // connections that did not come up since the last stream
    private long heardAt = Long.MIN_VALUE; // the last sign that all was told until then
    private boolean taking; // in the middle of what was read

    CoordinatorStream(
            Bootstrap bootstrap, ResourceLimits limits, LongSupplier lastEvent, Counters counters, Loop loop) {
        this.limits = limits;
        this.counters = counters;
        this.lastEvent = lastEvent;
        this.loop = loop;
        this.bootstrap = bootstrap
                .clone()
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) (limits.feedConnect() / 1_000))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline().addLast(handlers());
                    }
                });
    }

    /** What one connection needs. */
    ChannelHandler[] handlers() {
        return new ChannelHandler[] {new HttpClientCodec(), new Reader()};
    }

    /**
     * Follows the coordinator at this address; an empty one is nobody. Where it is the same as before, the stream is
     * asked for again from the last event that was applied, and what the old connection goes on to tell is dropped.
     */
    void follow(String newAddress) {
        closeAttempts();
        if (newAddress.isEmpty() || newAddress.equals(address)) {
            closeStream();
        }
        address = newAddress;
        attempt();
    }

    private void attempt() {
        nextAttempt = null;
        if (address.isEmpty()) {
            return;
        }
        if (attempts.size() >= ATTEMPTS) {
            attempts.remove(0).close();
        }
        int colon = address.lastIndexOf(':');
        ChannelFuture connecting = bootstrap.connect(
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))));
        Channel attempt = connecting.channel();
        attempts.add(attempt);
        attemptAfter(limits.feedSilence());
        // where no socket can be had, the listener is called on a thread that is not the loop's
        connecting.addListener(done -> bootstrap.config().group().next().execute(() -> {
            if (!done.isSuccess()) {
                connectFailed(done.cause());
                ended(attempt);
            }
        }));
    }

    private void attemptAfter(long micros) {
        cancelNextAttempt();
        nextAttempt = bootstrap.config().group().next().schedule(this::attempt, micros, TimeUnit.MICROSECONDS);
    }

    private void cancelNextAttempt() {
        if (nextAttempt != null) {
            nextAttempt.cancel(false);
            nextAttempt = null;
        }
    }

    /** The first failure in a row is logged with its cause; the line of the next stream tells how many there were. */
    private void connectFailed(Throwable cause) {
        counters.add(Name.COORDINATOR_CONNECT_FAILED);
        if (failedInARow++ == 0) {
            LOG.warn("the coordinator at {} can't be reached: {}", address, cause.toString());
        }
    }

    /** The first answer wins: its connection is read from now on, in place of any other. */
    private void answered(Channel attempt) {
        attempts.remove(attempt);
        closeAttempts();
        closeStream();
        stream = attempt;
        streamAddress = address;
        counters.add(Name.COORDINATOR_STREAMS);
        LOG.info(
                "the coordinator's stream is open from event {} on, after {} failed connections",
                lastEvent.getAsLong(),
                failedInARow);
        failedInARow = 0;
    }

    /** After the end of a connection; one that was given up for another opens none. */
    private void ended(Channel connection) {
        boolean wasStream = connection == stream;
        if (!attempts.remove(connection) && !wasStream) {
            return;
        }
        if (wasStream) {
            stream = null;
            counters.add(Name.COORDINATOR_STREAMS_LOST);
            LOG.info("the coordinator's stream ended at event {}", lastEvent.getAsLong());
        }
        if (attempts.isEmpty()) {
            // at chance within half of the time to either side: many routers that lost it together come back spread out
            attemptAfter(limits.feedRetry() / 2 + ThreadLocalRandom.current().nextLong(limits.feedRetry() + 1));
        }
    }

    /** Takes in what has come by now: a loop that was held up must not go on before the news that came meanwhile. */
    void look() {
        if (taking) {
            return;
        }
        List<Channel> open = new ArrayList<>(attempts);
        if (stream != null) {
            open.add(0, stream);
        }
        open.stream().filter(Channel::isActive).forEach(c -> ((AbstractNioChannel.NioUnsafe) c.unsafe()).read());
    }

    /** Whether there was a sign since this time (microseconds) that all was told until then. */
    boolean heardSince(long time) {
        return heardAt >= time;
    }

    void close() {
        address = "";
        closeAttempts();
        closeStream();
    }

    private void closeAttempts() {
        cancelNextAttempt();
        List<Channel> given = List.copyOf(attempts);
        attempts.clear();
        given.forEach(Channel::close);
    }

    private void closeStream() {
        Channel last = stream;
        stream = null;
        if (last != null) {
            last.close();
        }
    }

    /** Cuts the stream into events. */
    private final class Reader extends SimpleChannelInboundHandler<HttpObject> {
        private final ServerSentEvents events = new ServerSentEvents(this::take);
        private ChannelHandlerContext context;
        private boolean answered;

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            context = ctx;
        }

        private void take(String event) {
            if (context.channel().isOpen()) { // what stands behind the end of this stream is asked for again
                loop.submit(new Input.CoordinatorUpdate(event));
            }
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
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
                    ctx.pipeline().addFirst(new ReadTimeoutHandler(limits.feedSilence(), TimeUnit.MICROSECONDS));
                    answered(ctx.channel());
                } else {
                    LOG.warn("the coordinator answered {}", response.status());
                    ctx.close();
                }
            }
            if (answered && message instanceof HttpContent content) {
                ByteBuf bytes = content.content();
                taking = true;
                try {
                    events.take(bytes);
                } finally {
                    taking = false;
                }
                // the coordinator before may live on without being told anything: its comments are no sign
                if (events.heard() && context.channel().isOpen() && streamAddress.equals(address)) {
                    heardAt = loop.clock();
                    loop.submit(new Input.CoordinatorHeartbeat());
                }
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            ended(ctx.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            LOG.warn("the coordinator's stream is opened anew: {}", cause.toString());
            ctx.close();
        }
    }
}
