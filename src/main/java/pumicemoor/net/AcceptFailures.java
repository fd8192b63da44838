package pumicemoor.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import pumicemoor.node.Counters;
import pumicemoor.node.Counters.Name;

/**
 * Handles failures to accept a connection (no file descriptor or no memory left): pauses the listener briefly, so that
 * a persistent failure does not keep the event loop busy. Until reading resumes, the connection waits in the accept
 * queue of the kernel.
 */
final class AcceptFailures extends ChannelInboundHandlerAdapter {

    private static final long PAUSE_MILLIS = 10;

    private final Counters counters;
    private final Loop loop;

    AcceptFailures(Counters counters, Loop loop) {
        this.counters = counters;
        this.loop = loop;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        counters.add(Name.ACCEPT_FAILED);
        loop.reportError("accepting a client connection failed: " + cause.getMessage());
        Channel listener = ctx.channel();
        listener.config().setAutoRead(false);
        listener.eventLoop().schedule(() -> listener.config().setAutoRead(true), PAUSE_MILLIS, TimeUnit.MILLISECONDS);
    }
}
