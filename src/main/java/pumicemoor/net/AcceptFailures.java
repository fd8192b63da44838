package pumicemoor.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import pumicemoor.node.Counters;
import pumicemoor.node.Counters.Name;

/**
 * What follows a failed accept (no descriptor left, no memory for it): the listener rests for a moment, so that a
 * failure that lasts does not keep the loop busy, and goes on. The connection waits in the system's queue meanwhile.
 */
final class AcceptFailures extends ChannelInboundHandlerAdapter {

    private static final long REST = 10; // milliseconds

    private final Counters counters;
    private final Loop loop;

    AcceptFailures(Counters counters, Loop loop) {
        this.counters = counters;
        this.loop = loop;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        counters.add(Name.ACCEPT_FAILED);
        loop.complain("a connection could not be accepted: " + cause.getMessage());
        Channel listener = ctx.channel();
        listener.config().setAutoRead(false);
        listener.eventLoop().schedule(() -> listener.config().setAutoRead(true), REST, TimeUnit.MILLISECONDS);
    }
}
