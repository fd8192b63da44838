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
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import pumicemoor.node.Counters.Name;
import pumicemoor.node.Counters;
import pumicemoor.node.Input;
import pumicemoor.node.ResourceLimits;

/**
 * The coordinator's stream of events, held open for as long as the router runs. It owns the one connection
 * to the coordinator that is followed now, opened anew whenever it ends or falls silent, and must never read what an event says: each goes on as the text that came.
 */
final class CoordinatorStream {

    private static final Logger LOG = LoggerFactory.getLogger(CoordinatorStream.class);
    private static final String PATH = "/v2/stream";

    private final Bootstrap bootstrap;
    private final ResourceLimits limits;
    private final LongSupplier lastEvent;
    private final Counters counters;
    private final Loop loop;
    private String address = "";
    private int failedInARow;  // connections that did not come up since the last stream
    private Channel channel;
    private Future<?> reopening;
    private boolean taking;  // in the middle of what was read

    CoordinatorStream(Bootstrap bootstrap, ResourceLimits limits, LongSupplier lastEvent, Counters counters, Loop loop) {
        this.limits = limits;
        this.counters = counters;
        this.lastEvent = lastEvent;
        this.loop = loop;
        this.bootstrap = bootstrap.clone()
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) (limits.feedConnect() / 1_000))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline().addLast(handlers());
                    }
                });
    }

    /** What one connection needs; the stream's comments keep the first from ending it. */
    ChannelHandler[] handlers() {
        return new ChannelHandler[] {new ReadTimeoutHandler(limits.feedSilence(), TimeUnit.MICROSECONDS),
            new HttpClientCodec(), new Reader()};
    }

    /** Follows the coordinator at this address at once, in place of any other; an empty one is nobody. */
    void follow(String newAddress) {
        close();
        address = newAddress;
        open();
    }

    private void open() {
        reopening = null;
        if (address.isEmpty()) {
            return;
        }
        int colon = address.lastIndexOf(':');
        ChannelFuture connecting = bootstrap.connect(new InetSocketAddress(address.substring(0, colon),
                Integer.parseInt(address.substring(colon + 1))));
        channel = connecting.channel();
        // where no socket can be had, the listener is called on a thread that is not the loop's
        connecting.addListener(done -> bootstrap.config().group().next().execute(() -> {
            if (!done.isSuccess()) {
                connectFailed(done.cause());
                reopen(connecting.channel());
            }
        }));
    }

    /** The first failure in a row is logged with its cause; the line of the next stream tells how many there were. */
    private void connectFailed(Throwable cause) {
        counters.add(Name.COORDINATOR_CONNECT_FAILED);
        if (failedInARow++ == 0) {
            LOG.warn("the coordinator at {} can't be reached: {}", address, cause.toString());
        }
    }

    /** Takes in what has come by now: a loop that was held up must not go on before the news that came meanwhile. */
    void look() {
        if (!taking && channel != null && channel.isActive()) {
            ((AbstractNioChannel.NioUnsafe) channel.unsafe()).read();
        }
    }

    /** After the end of the connection that is followed; one left behind by a new address opens none. */
    private void reopen(Channel ended) {
        if (ended == channel && reopening == null && !address.isEmpty()) {
            // at chance within half of the time to either side: many routers that lost it together come back spread out
            long wait = limits.feedRetry() / 2 + ThreadLocalRandom.current().nextLong(limits.feedRetry() + 1);
            reopening = bootstrap.config().group().next().schedule(this::open, wait, TimeUnit.MICROSECONDS);
        }
    }

    void close() {
        address = "";
        if (reopening != null) {
            reopening.cancel(false);
            reopening = null;
        }
        if (channel != null) {
            Channel last = channel;
            channel = null;
            last.close();
        }
    }

    /** Cuts the stream into events. */
    private final class Reader extends SimpleChannelInboundHandler<HttpObject> {
        private final ServerSentEvents events = new ServerSentEvents(this::take);
        private ChannelHandlerContext stream;
        private boolean answered;

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            stream = ctx;
        }

        private void take(String event) {
            if (stream.channel().isOpen()) {  // what stands behind the end of this stream is asked for again
                loop.submit(new Input.Update(event));
            }
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            DefaultFullHttpRequest request =
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, PATH);
            request.headers().set(HttpHeaderNames.HOST, address)
                    .set(HttpHeaderNames.ACCEPT, HttpHeaderValues.TEXT_EVENT_STREAM)
                    .set("Last-Event-ID", lastEvent.getAsLong());
            ctx.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (message instanceof HttpResponse response) {
                answered = response.status().equals(HttpResponseStatus.OK);
                if (answered) {
                    counters.add(Name.COORDINATOR_STREAMS);
                    LOG.info("the coordinator's stream is open from event {} on, after {} failed connections",
                            lastEvent.getAsLong(), failedInARow);
                    failedInARow = 0;
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
                if (events.heard() && stream.channel().isOpen()) {
                    loop.submit(new Input.FeedHeard());
                }
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (answered && ctx.channel() == channel) {
                counters.add(Name.COORDINATOR_STREAMS_LOST);
                LOG.info("the coordinator's stream ended at event {}", lastEvent.getAsLong());
            }
            reopen(ctx.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            LOG.warn("the coordinator's stream is opened anew: {}", cause.toString());
            ctx.close();
        }
    }
}
