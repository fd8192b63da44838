package pumicemoor.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.DecoderException;
import io.netty.util.ReferenceCountUtil;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import pumicemoor.node.Bytes;
import pumicemoor.node.Counters.Name;
import pumicemoor.node.Counters;
import pumicemoor.node.Effect.Code;
import pumicemoor.node.Effect;
import pumicemoor.node.Input;
import pumicemoor.node.ResourceLimits;

/**
 * One client's connection: turns whole frames into inputs and writes answers, each frame in one piece. It
 * owns which streams are open on it and must never hold an answer back or decide what one says.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {

    private static final Logger LOG = LoggerFactory.getLogger(ClientConnection.class);

    private final long number;
    private final ResourceLimits limits;
    private final BufferBudget budget;
    private final Counters counters;
    private final Loop loop;
    private final Set<Integer> open = new HashSet<>();
    private ChannelHandlerContext context;
    private long activeAt;
    private long backlogSeen;

    ClientConnection(long number, ResourceLimits limits, BufferBudget budget, Counters counters,
            Loop loop) {
        this.number = number;
        this.limits = limits;
        this.budget = budget;
        this.counters = counters;
        this.loop = loop;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        counters.add(Name.CONNECTIONS);
        activeAt = loop.clock();
        loop.opened(number, this);
    }

    /** A client that does not read gets no more to read: while its backlog is large, it is not read either. */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        ctx.channel().config().setAutoRead(ctx.channel().isWritable());
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        loop.closed(number);
        loop.submit(new Input.ClientClosed(number));
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            frame((ByteBuf) message);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void frame(ByteBuf frame) {
        counters.add(Name.BYTES_IN, frame.readableBytes());
        activeAt = loop.clock();
        if (frame.readableBytes() < 5) {
            throw new CorruptedFrameException("a frame of " + frame.readableBytes() + " bytes");
        }
        int type = frame.readUnsignedByte();
        int stream = frame.readInt();
        switch (type) {
            case ClientFrame.REQUEST -> request(stream, frame);
            case ClientFrame.WITHDRAWN -> {
                if (open.remove(stream)) {
                    loop.submit(new Input.Withdrawn(number, stream));
                }
            }
            case ClientFrame.READY_ASKED -> context.writeAndFlush(
                    ClientFrame.ready(context.alloc(), stream, loop.ready(),
                            ClientFrame.asksForCounters(frame) ? counters.all() : Map.of()), context.voidPromise());
            default -> throw new CorruptedFrameException("a frame of the unknown type " + type);
        }
    }

    private void request(int stream, ByteBuf frame) {
        if (stream == 0 || !open.add(stream)) {
            throw new CorruptedFrameException("a request on stream " + Integer.toUnsignedString(stream)
                    + ", which is not new");
        }
        Input.Request request;
        try {
            request = ClientFrame.request(number, stream, frame, limits.requestBytes());
        } catch (CorruptedFrameException e) {
            counters.add(Name.BAD_INPUT);
            LOG.warn("a request was failed: {}", e.getMessage());
            answer(new Effect.Answer(number, stream, Code.FAILED, false, 0, Bytes.NONE));
            return;
        }
        if (open.size() > limits.openPerClient() || !budget.room(request.body().size())) {
            counters.add(Name.TURNED_AWAY);
            request.body().release();
            answer(new Effect.Answer(number, stream, Code.REFUSED, false, 0, Bytes.NONE));
            return;
        }
        loop.submit(request);
    }

    void answer(Effect.Answer answer) {
        if (!open.remove(answer.stream())) {
            answer.body().release();
            return;
        }
        ByteBuf head = ClientFrame.answerHead(context.alloc(), answer.stream(), answer.code(), answer.unchanged(),
                answer.pushbackMillis(), answer.body().size());
        counters.add(Name.BYTES_OUT, head.readableBytes() + answer.body().size());
        ByteBuf body = NettyBytes.buffer(answer.body());
        context.write(head, context.voidPromise());
        if (body != null) {
            context.write(body, context.voidPromise());
        }
        context.flush();
    }

    void drain() {
        context.writeAndFlush(ClientFrame.drain(context.alloc()), context.voidPromise());
    }

    /** Closes the connection where nothing has happened for long: no request open, or none of it read. */
    void sweep(long now) {
        ChannelOutboundBuffer backlog = context.channel().unsafe().outboundBuffer();
        long seen = backlog == null || backlog.totalPendingWriteBytes() == 0 ? 0
                : backlog.totalPendingWriteBytes() - backlog.currentProgress();
        if (seen == 0 || seen != backlogSeen) {
            backlogSeen = seen;
            activeAt = seen == 0 ? activeAt : now;
        }
        if (now - activeAt > (seen > 0 ? limits.clientStall() : limits.clientIdle())
                && (seen > 0 || open.isEmpty())) {
            LOG.info("a client's connection was closed: {}", seen > 0 ? "its answers are not read" : "idle");
            context.close();
        }
    }

    /** Closes the connection once what was written has left; tells when it is closed. */
    ChannelFuture close() {
        context.writeAndFlush(context.alloc().buffer(0)).addListener(done -> context.close());
        return context.channel().closeFuture();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof DecoderException) {
            counters.add(Name.BAD_INPUT);
            LOG.warn("a client's connection was closed: {}", cause.getMessage());
            context.write(ClientFrame.answerHead(ctx.alloc(), 0, Code.FAILED, false, 0, 0), ctx.voidPromise());
            context.flush();
        }
        ctx.close();
    }
}
