package pumicemoor.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.DecoderException;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import pumicemoor.node.Bytes;
import pumicemoor.node.Counters;
import pumicemoor.node.Counters.Name;
import pumicemoor.node.Effect;
import pumicemoor.node.Effect.Code;
import pumicemoor.node.Input;
import pumicemoor.node.ResourceLimits;

/**
 * One client's connection: turns whole frames into inputs and writes answers, each frame in one piece. It
 * owns which streams are open and which were used on it, and must never hold an answer back or decide what
 * one says. Whoever sends nothing that can be used, or half a frame and no more, is let go soon; whoever asked
 * properly once may stay for a while, as long as there is room. A connection goes through its stages in their order
 * alone, and only in this file; docs/architecture.md has what each event does in each.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {

    /**
     * OPENING: no byte can come yet. OPEN: all is taken. DRAINING: told to bring nothing new, what comes is taken still.
     * ENDING: nothing is taken any more, what is open gets its answer. RELEASING: nothing is written any more, what
     * comes is read and dropped, so that no answer is lost by a reset, until the client closes or for a short while.
     */
    enum Stage {
        OPENING,
        OPEN,
        DRAINING,
        ENDING,
        RELEASING,
        CLOSED
    }

    private static final int LOOKS = 16; // reads in a row, of those that are not the selector's

    private final long number;
    private final ResourceLimits limits;
    private final BufferBudget budget;
    private final Counters counters;
    private final Loop loop;
    private final Set<Integer> open = new HashSet<>();
    private final TreeSet<Integer> used = new TreeSet<>(Integer::compareUnsigned); // those above usedUpTo
    private ChannelHandlerContext context;
    private int usedUpTo; // every stream up to here is used, or too old to be new
    private final Map<Integer, Input.Request> arrived = new LinkedHashMap<>(); // in the read that goes on
    private int misuses; // requests that could not be used, so far
    private boolean asked; // something that can be used
    private boolean reading;
    private Stage stage = Stage.OPENING;
    private long dropped; // bytes that came after the end
    private long openedAt, activeAt, midwaySince = -1;
    private long backlogSeen;

    ClientConnection(long number, ResourceLimits limits, BufferBudget budget, Counters counters, Loop loop) {
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
        stage = Stage.OPEN;
        counters.add(Name.CONNECTIONS);
        openedAt = loop.clock();
        activeAt = openedAt;
        loop.opened(number, this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        gone();
    }

    private void gone() {
        if (stage != Stage.CLOSED) {
            stage = Stage.CLOSED;
            dropArrived();
            loop.closed(number);
            loop.submit(new Input.ClientClosed(number));
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        reading = true;
        try {
            if (stage == Stage.OPEN || stage == Stage.DRAINING) { // what stands behind the end is not looked at
                frame((ByteBuf) message);
            } else {
                dropped += ((ByteBuf) message).readableBytes();
                if (dropped > limits.frameBytes()) {
                    ctx.close();
                }
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    /** Hands on what has come: a request that was withdrawn in the same read was never worked on. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        reading = false;
        while (!arrived.isEmpty()) { // one by one: the first may show that the next was withdrawn meanwhile
            loop.submit(arrived.remove(arrived.keySet().iterator().next()));
        }
        ctx.fireChannelReadComplete();
    }

    private void dropArrived() {
        arrived.values().forEach(r -> r.body().release());
        arrived.clear();
    }

    /**
     * Takes in what has come by now, also the end of the connection. The one who calls this was held up, or is about to
     * end what was idle by what it knew.
     */
    void look() {
        if (reading
                || !context.channel().isActive()
                || !(context.channel().unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe)) {
            return;
        }
        FrameDecoder decoder = context.pipeline().get(FrameDecoder.class);
        int before = -1;
        for (int i = 0;
                i < LOOKS && before != decoder.reads() && context.channel().isActive();
                i++) {
            before = decoder.reads();
            unsafe.read();
        }
        if (!context.channel().isActive()) {
            gone(); // its channelInactive comes only after what is worked on now
        }
    }

    Stage stage() {
        return stage;
    }

    private void frame(ByteBuf frame) {
        counters.add(Name.BYTES_IN, frame.readableBytes());
        activeAt = loop.clock();
        midwaySince = -1;
        if (!context.channel().isWritable() && backlog() > 2L * limits.clientBacklogBytes()) {
            cut("its answers are not read");
            return;
        }
        if (frame.readableBytes() < 5) {
            throw new CorruptedFrameException("a frame of " + frame.readableBytes() + " bytes");
        }
        int type = frame.readUnsignedByte();
        int stream = frame.readInt();
        switch (type) {
            case ClientFrame.REQUEST -> request(stream, frame);
            case ClientFrame.WITHDRAWN -> {
                Input.Request early = arrived.remove(stream);
                if (early != null) {
                    open.remove(stream);
                    early.body().release();
                    counters.add(Name.WITHDRAWN);
                } else if (open.remove(stream)) {
                    loop.submit(new Input.RequestCancelled(number, stream));
                }
            }
            case ClientFrame.READY_ASKED -> answerReady(stream, frame);
            default -> throw new CorruptedFrameException("a frame of the unknown type " + type);
        }
    }

    private void answerReady(int stream, ByteBuf frame) {
        asked = true;
        if (!context.channel().isWritable()) {
            return; // it does not read what it asked for so far
        }
        Map<String, String> fields = new LinkedHashMap<>();
        Map<String, String> wanted = ClientFrame.wanted(frame);
        if (wanted.containsKey("drain")) {
            command(stream, wanted);
            return;
        }
        if ("1".equals(wanted.get("counters"))) {
            fields.putAll(counters.all());
            fields.putAll(loop.state());
        }
        if (wanted.containsKey("rows")) {
            loop.rows(wanted.get("rows")).ifPresent(rows -> ClientFrame.cut(rows)
                    .forEach(part -> fields.put("rows-" + fields.size(), part)));
        }
        context.writeAndFlush(ClientFrame.ready(context.alloc(), stream, loop.ready(), fields), context.voidPromise());
    }

    /** Operators' commands are taken from this machine alone: clients from elsewhere have no say in what is taken out. */
    private void command(int stream, Map<String, String> fields) {
        if (context.channel().remoteAddress() instanceof InetSocketAddress peer
                && !peer.getAddress().isLoopbackAddress()) {
            counters.add(Name.BAD_INPUT);
            told(new Effect.CommandReply(number, stream, "refused: commands are taken from the router's own machine alone"));
        } else {
            loop.submit(new Input.Command(number, stream, fields));
        }
    }

    /** Says what became of a command. */
    void told(Effect.CommandReply told) {
        context.writeAndFlush(
                ClientFrame.ready(context.alloc(), told.stream(), loop.ready(), Map.of("said", told.text())),
                context.voidPromise());
    }

    private void request(int stream, ByteBuf frame) {
        if (!use(stream)) {
            throw new CorruptedFrameException(
                    "a request on stream " + Integer.toUnsignedString(stream) + ", which is not new");
        }
        open.add(stream);
        Input.Request request;
        try {
            request = ClientFrame.request(number, stream, frame, limits);
        } catch (CorruptedFrameException e) {
            counters.add(Name.BAD_INPUT);
            loop.complain("a request was failed: " + e.getMessage());
            answer(new Effect.Answer(number, stream, Code.FAILED, false, 0, Bytes.NONE));
            misused();
            return;
        }
        boolean tooMany = open.size() > limits.openPerClient();
        // a client that does not read its answers gets no more of them to read, but its end is seen all the same
        if (tooMany
                || !context.channel().isWritable()
                || !budget.room(request.body().size())) {
            counters.add(Name.TURNED_AWAY);
            request.body().release();
            answer(new Effect.Answer(number, stream, Code.REFUSED, false, limits.pushback(), Bytes.NONE));
            if (tooMany) {
                misused();
            }
            return;
        }
        asked = true;
        arrived.put(stream, request);
    }

    /**
     * Marks a stream as used; false if it was. A client counts its streams up, so only the newest need be
     * known one by one, whatever the connection's age.
     */
    private boolean use(int stream) {
        if (Integer.compareUnsigned(stream, usedUpTo) <= 0 || !used.add(stream)) {
            return false;
        }
        while (!used.isEmpty() && (used.first() == usedUpTo + 1 || used.size() > limits.streamsKnown())) {
            usedUpTo = used.pollFirst();
        }
        return true;
    }

    /** What cannot be used gets its answer, time and again; who goes on with it loses the connection. */
    void misused() {
        if (++misuses >= limits.misuses()) {
            turnAway("too much that cannot be used");
        }
    }

    /** Says on the connection that it ends here for a reason, and ends it once what is open has its answer. */
    void turnAway(String reason) {
        if (stage.compareTo(Stage.ENDING) >= 0) {
            return;
        }
        counters.add(Name.TURNED_OUT);
        loop.complain("a client's connection was closed: " + reason);
        context.write(ClientFrame.answerHead(context.alloc(), 0, Code.FAILED, false, 0, 0), context.voidPromise());
        context.flush();
        end();
    }

    /** An idle client in good standing gives its place to another: told to bring nothing new here, then let go. */
    boolean makeWay() {
        look(); // it may have asked meanwhile
        if (!open.isEmpty() || stage.compareTo(Stage.ENDING) >= 0) {
            return false;
        }
        counters.add(Name.TURNED_OUT);
        drain();
        end();
        return true;
    }

    /** Takes nothing more; answers what is open, then lets go. */
    private void end() {
        stage = Stage.ENDING;
        if (open.isEmpty()) {
            release();
        }
    }

    /**
     * Lets go in order: what was written leaves, then the client is told that no more comes, and what it still sends
     * is read and dropped. A close over unread bytes would reset the connection and take the last answers along.
     */
    ChannelFuture release() {
        if (stage.compareTo(Stage.RELEASING) < 0) {
            stage = Stage.RELEASING;
            loop.closed(number);
            dropArrived();
            context.writeAndFlush(context.alloc().buffer(0)).addListener(done -> {
                if (done.isSuccess() && context.channel() instanceof DuplexChannel duplex) {
                    duplex.shutdownOutput();
                    context.executor().schedule(() -> context.close(), limits.clientRelease(), TimeUnit.MICROSECONDS);
                } else {
                    context.close();
                }
            });
        }
        return context.channel().closeFuture();
    }

    /** Whether it has asked for nothing that can be used so far. */
    boolean silent() {
        return !asked;
    }

    /** Since when nothing is open on it; Long.MAX_VALUE while something is. */
    long idleSince() {
        return open.isEmpty() ? activeAt : Long.MAX_VALUE;
    }

    void answer(Effect.Answer answer) {
        if (!open.remove(answer.stream()) || stage.compareTo(Stage.RELEASING) >= 0) {
            answer.body().release();
            return;
        }
        ByteBuf head = ClientFrame.answerHead(
                context.alloc(),
                answer.stream(),
                answer.code(),
                answer.unchanged(),
                answer.retryAfterMillis(),
                answer.body().size());
        counters.add(Name.BYTES_OUT, head.readableBytes() + answer.body().size());
        ByteBuf body = NettyBytes.buffer(answer.body());
        context.write(head, context.voidPromise());
        if (body != null) {
            context.write(body, context.voidPromise());
        }
        context.flush();
        if (stage == Stage.ENDING && open.isEmpty()) {
            release();
        }
    }

    void drain() {
        stage = stage == Stage.OPEN ? Stage.DRAINING : stage;
        context.writeAndFlush(ClientFrame.drain(context.alloc()), context.voidPromise());
    }

    /** What was written and has not left yet. */
    private long backlog() {
        ChannelOutboundBuffer backlog = context.channel().unsafe().outboundBuffer();
        return backlog == null || backlog.totalPendingWriteBytes() == 0
                ? 0
                : backlog.totalPendingWriteBytes() - backlog.currentProgress();
    }

    /** Closes at once, where nothing can be told any more. */
    void cut(String reason) {
        counters.add(Name.TURNED_OUT);
        loop.complain("a client's connection was closed: " + reason);
        context.close();
    }

    /** Lets go of a client that keeps a connection and has no use of it, or no proper one. */
    void sweep(long now) {
        if (stage == Stage.RELEASING || stage == Stage.CLOSED) {
            return;
        }
        long seen = backlog();
        if (seen == 0 || seen != backlogSeen) {
            backlogSeen = seen;
            activeAt = seen == 0 ? activeAt : now;
        }
        FrameDecoder decoder = context.pipeline().get(FrameDecoder.class);
        midwaySince = decoder == null || !decoder.midway() ? -1 : midwaySince < 0 ? now : midwaySince;
        if (seen > 0 && now - activeAt > limits.clientStall()) {
            cut("its answers are not read");
        } else if (midwaySince >= 0 && now - midwaySince > limits.clientFirst()) {
            turnAway("half a frame and no more");
        } else if (!asked && open.isEmpty() && now - openedAt > limits.clientFirst()) {
            turnAway("nothing that can be used was asked");
        } else if (seen == 0 && open.isEmpty() && now - activeAt > limits.clientIdle()) {
            leave(now);
        }
    }

    /** An idle client is told to bring nothing new, so that no request need cross the close that follows. */
    private void leave(long now) {
        if (stage == Stage.OPEN) {
            drain();
        } else if (now - activeAt > limits.clientIdle() + limits.clientLeave()) {
            look();
            if (open.isEmpty() && context.channel().isActive()) {
                end();
            }
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof DecoderException) {
            if (stage.compareTo(Stage.ENDING) < 0) {
                counters.add(Name.BAD_INPUT);
                turnAway(cause.getMessage());
            }
        } else {
            ctx.close();
        }
    }
}
