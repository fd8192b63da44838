package pumicemoor.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.DecoderException;
import io.netty.util.ReferenceCountUtil;
import java.util.HashSet;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import pumicemoor.node.Bytes;
import pumicemoor.node.Counters;
import pumicemoor.node.Counters.Name;
import pumicemoor.node.Effect;
import pumicemoor.node.Effect.Code;
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
    private final Counters counters;
    private final NodeServer server;
    private final Set<Integer> open = new HashSet<>();
    private ChannelHandlerContext context;

    ClientConnection(long number, ResourceLimits limits, Counters counters, NodeServer server) {
        this.number = number;
        this.limits = limits;
        this.counters = counters;
        this.server = server;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        counters.add(Name.CONNECTIONS);
        server.opened(number, this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        server.closed(number);
        server.submit(new Input.ClientClosed(number));
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
        if (frame.readableBytes() < 5) {
            throw new CorruptedFrameException("a frame of " + frame.readableBytes() + " bytes");
        }
        int type = frame.readUnsignedByte();
        int stream = frame.readInt();
        switch (type) {
            case ClientFrame.REQUEST -> request(stream, frame);
            case ClientFrame.WITHDRAWN -> {
                if (open.remove(stream)) {
                    server.submit(new Input.Withdrawn(number, stream));
                }
            }
            case ClientFrame.READY_ASKED -> context.writeAndFlush(
                    ClientFrame.ready(context.alloc(), stream, server.ready()), context.voidPromise());
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
        if (open.size() > limits.openPerClient()) {
            counters.add(Name.TURNED_AWAY);
            request.body().release();
            answer(new Effect.Answer(number, stream, Code.REFUSED, false, 0, Bytes.NONE));
            return;
        }
        server.submit(request);
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

    /** Closes the connection once what was written has left. */
    void close() {
        context.writeAndFlush(context.alloc().buffer(0)).addListener(done -> context.close());
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
