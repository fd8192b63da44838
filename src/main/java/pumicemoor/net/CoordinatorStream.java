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
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import pumicemoor.node.Input;
import pumicemoor.node.ResourceLimits;

/**
 * The coordinator's stream of events, held open for as long as the router runs. It owns the one connection
 * to the coordinator and must never read what an event says: each goes on as the text that came.
 */
final class CoordinatorStream {

    private static final Logger LOG = LoggerFactory.getLogger(CoordinatorStream.class);
    private static final String PATH = "/v2/stream";

    private final Bootstrap bootstrap;
    private final String address;
    private final ResourceLimits limits;
    private final LongSupplier lastEvent;
    private final Loop loop;
    private Channel channel;
    private boolean stopped;

    CoordinatorStream(Bootstrap bootstrap, String address, ResourceLimits limits, LongSupplier lastEvent,
            Loop loop) {
        this.address = address;
        this.limits = limits;
        this.lastEvent = lastEvent;
        this.loop = loop;
        this.bootstrap = bootstrap.clone()
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) (limits.feedSilence() / 1_000))
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

    void open() {
        if (stopped) {
            return;
        }
        int colon = address.lastIndexOf(':');
        ChannelFuture connecting = bootstrap.connect(new InetSocketAddress(address.substring(0, colon),
                Integer.parseInt(address.substring(colon + 1))));
        channel = connecting.channel();
        connecting.addListener(done -> {
            if (!done.isSuccess()) {
                reopen(limits.feedRetry());
            }
        });
    }

    private void reopen(long delay) {
        if (!stopped) {
            bootstrap.config().group().schedule(this::open, delay, TimeUnit.MICROSECONDS);
        }
    }

    void close() {
        stopped = true;
        if (channel != null) {
            channel.close();
        }
    }

    /** Cuts the stream into events. */
    private final class Reader extends SimpleChannelInboundHandler<HttpObject> {
        private final ServerSentEvents events = new ServerSentEvents(
                data -> loop.submit(new Input.Update(data)));
        private boolean answered;

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
                if (!answered) {
                    LOG.warn("the coordinator answered {}", response.status());
                    ctx.close();
                }
            }
            if (answered && message instanceof HttpContent content) {
                ByteBuf bytes = content.content();
                events.take(bytes);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            reopen(answered ? 0 : limits.feedRetry());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            LOG.warn("the coordinator's stream is opened anew: {}", cause.toString());
            ctx.close();
        }
    }
}
