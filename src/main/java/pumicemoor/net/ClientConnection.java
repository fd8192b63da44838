package pumicemoor.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.DecoderException;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import pumicemoor.RefusalPolicy;
import pumicemoor.RefusalPolicy.Rejection;
import pumicemoor.net.ReadPauses.Reason;
import pumicemoor.node.Counters;
import pumicemoor.node.Counters.Name;
import pumicemoor.node.Effect;
import pumicemoor.node.Effect.Code;
import pumicemoor.node.Input;
import pumicemoor.node.RequestIdentity;
import pumicemoor.node.ResourceLimits;

/**
 * The channel handler of one client connection: converts complete frames to inputs and writes answers, each as one
 * frame. It owns the sets of open and of used streams, and must never delay an answer or decide its content. A client
 * that sends no valid request, or only part of a frame, is disconnected after a short time; a client that has sent a
 * valid request may stay idle for longer, as long as there is capacity. A connection only moves forward through its
 * stages, and the stage is changed only in this file; docs/architecture.md lists what each event does in each stage.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {

    /**
     * OPENING: not active yet. OPEN: frames are accepted. DRAINING: the client has been asked to send no new requests;
     * those that still arrive are accepted. ENDING: no frame is accepted, open requests are answered. RELEASING:
     * nothing more is written; input is read and discarded, so that no answer is lost by a reset, until the client
     * closes or a short time has passed.
     */
    enum Stage {
        OPENING,
        OPEN,
        DRAINING,
        ENDING,
        RELEASING,
        CLOSED
    }

    /** The result of a read outside of the selector's reads; NOT_READ if the connection must not be read now. */
    private enum ReadResult {
        BYTES,
        NOTHING,
        NOT_READ
    }

    private static final long MICROS_PER_MILLI = 1_000;
    private static final long RECHECK_MILLIS = 5; // while more input of a client may be waiting
    private static final int MAX_DIRECT_READS = 16; // in a row, outside of the selector's reads
    // for which a client that sends what is discarded is not read; short enough to notice its end
    private static final long DISCARD_PAUSE_MILLIS = 50;

    private final long connectionId;
    private final ResourceLimits limits;
    private final BufferBudget budget;
    private final Counters counters;
    private final Loop loop;
    private final Set<Integer> openStreams = new HashSet<>();
    private final TreeSet<Integer> usedStreams = new TreeSet<>(Integer::compareUnsigned); // those above usedStreamsUpTo
    private ChannelHandlerContext context;
    private ClientOutput output;
    private final FrameDecoder decoder;
    private int usedStreamsUpTo; // every stream up to this number is used, or too old to be new
    private final ReceivedRequests received;
    private Future<?> recheck; // of the received requests; null while none is scheduled
    private int unreadFrames; // since all input that was available had been read
    private int invalidRequests;
    private boolean sentValidRequest;
    private boolean reading;
    private boolean probing; // while a read looks for more input before requests are submitted
    private long discardedBytesAllowed; // until the client is read more slowly, or its connection is closed
    private Stage stage = Stage.OPENING;
    private long openedAt;
    private long activeAt;
    private long partialFrameSince = -1; // -1 while no frame is partly received
    private long partialFrameReadAt; // when a check last found that more of it had been read
    private int readsAtLastCheck;

    /** Handles the frames of a decoder, which must precede this handler in the pipeline. */
    ClientConnection(
            long connectionId,
            FrameDecoder decoder,
            ResourceLimits limits,
            BufferBudget budget,
            Counters counters,
            Loop loop) {
        this.connectionId = connectionId;
        this.decoder = decoder;
        this.limits = limits;
        this.budget = budget;
        this.counters = counters;
        this.loop = loop;
        this.received = new ReceivedRequests(loop);
        this.discardedBytesAllowed = limits.maxFrameBytes();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
        output = new ClientOutput(ctx, limits.maxWaitingReplyBytes(), decoder.readPauses());
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        stage = Stage.OPEN;
        counters.add(Name.CONNECTIONS);
        openedAt = loop.clock();
        activeAt = openedAt;
        loop.clientOpened(connectionId, this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        onClosed();
    }

    private void onClosed() {
        if (stage != Stage.CLOSED) {
            stage = Stage.CLOSED;
            releaseReceived();
            loop.clientClosed(connectionId);
            loop.submit(new Input.ClientClosed(connectionId));
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        reading = true;
        try {
            if (stage != Stage.OPEN && stage != Stage.DRAINING) {
                return; // the last frame of a read whose earlier frames have ended this stage
            }
            if (message instanceof FrameDecoder.DroppedFrame dropped) {
                handleDroppedFrame(dropped);
            } else {
                handleFrame((ByteBuf) message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        reading = false;
        if (decoder.discardedBytes() > discardedBytesAllowed) {
            limitDiscardedInput();
        }
        if (probing) {
            return; // the read that looks for more input has ended
        }
        settleReceived();
        ctx.fireChannelReadComplete();
    }

    /**
     * Submits the received requests once all available input has been read: the client may have cancelled them, or have
     * left, in what it sent after them. While it goes on sending they wait for a limited time and are then turned away,
     * so that none is sent long after its client has left; at once if it sends more than its open requests and their
     * cancellations without a pause.
     */
    private void settleReceived() {
        if (isAllInputRead()) {
            unreadFrames = 0;
            submitReceived();
        } else if (unreadFrames > limits.maxUnreadFrames() || received.heldMicros() > limits.maxReceivedHold()) {
            turnReceivedAway();
        } else if (!received.isEmpty() && recheck == null) {
            recheck = context.executor().schedule(this::recheckReceived, RECHECK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Looks for more input again: after a read that has brought some, nothing else shows that there is no more. */
    private void recheckReceived() {
        recheck = null;
        if (!received.isEmpty()) {
            settleReceived();
        }
    }

    /**
     * Whether no more input of the client is available. If requests wait to be submitted, this reads once more: the
     * client may have cancelled them or left just now. A read that filled its buffer does not tell, since the buffer
     * may be as long as the rest of a frame.
     */
    private boolean isAllInputRead() {
        if (received.isEmpty()) {
            RecvByteBufAllocator.Handle lastRead = context.channel().unsafe().recvBufAllocHandle();
            return lastRead.lastBytesRead() <= 0 || lastRead.lastBytesRead() < lastRead.attemptedBytesRead();
        }
        probing = true;
        try {
            return read() == ReadResult.NOTHING;
        } finally {
            probing = false;
        }
    }

    /** Submits the received requests if all available input has been read, else turns them away; for the exit. */
    void settleReceivedAtOnce() {
        if (received.isEmpty() || isAllInputRead()) {
            submitReceived();
        } else {
            turnReceivedAway();
        }
    }

    private void submitReceived() {
        cancelRecheck();
        received.submit();
    }

    private void turnReceivedAway() {
        cancelRecheck();
        received.removeAll().forEach(this::turnAway);
        closeOnceAnswered();
    }

    private void releaseReceived() {
        cancelRecheck();
        received.removeAll();
    }

    private void cancelRecheck() {
        if (recheck != null) {
            recheck.cancel(false);
            recheck = null;
        }
    }

    /**
     * Closes the connection of a client that goes on sending what is discarded; while an answer is owed to it, the
     * connection is read more slowly instead.
     */
    private void limitDiscardedInput() {
        if (openStreams.isEmpty() && output.waitingBytes() == 0) {
            context.close();
            return;
        }
        discardedBytesAllowed = decoder.discardedBytes() + limits.maxFrameBytes();
        decoder.readPauses().pause(Reason.INPUT_DISCARDED);
        context.executor()
                .schedule(
                        () -> decoder.readPauses().resume(Reason.INPUT_DISCARDED),
                        DISCARD_PAUSE_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    /**
     * Reads the input that is available now, including the close of the connection, as far as a limited number of reads
     * goes. Called before an apparently idle connection is closed.
     */
    void readAvailable() {
        for (int i = 0; i < MAX_DIRECT_READS && readOnce(); i++) {
            // each read is one of the limited number
        }
    }

    /**
     * Reads once outside of the selector's reads, and notices the close of the connection; returns whether the read has
     * delivered bytes, so that more may be available.
     */
    boolean readOnce() {
        return read() == ReadResult.BYTES;
    }

    private ReadResult read() {
        if (!(context.channel().unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe)) {
            return ReadResult.NOTHING; // not a socket
        }
        if (reading
                || !context.channel().isActive()
                || !context.channel().config().isAutoRead()) {
            return ReadResult.NOT_READ;
        }
        int readsBefore = decoder.reads();
        unsafe.read();
        if (!context.channel().isActive()) {
            onClosed(); // channelInactive is called only after the current task
            return ReadResult.NOTHING;
        }
        return decoder.reads() == readsBefore ? ReadResult.NOTHING : ReadResult.BYTES;
    }

    /** Whether the connection is being released and no answer to a request waits on it for the socket. */
    boolean isReleasedAndSent() {
        boolean neverRequested = usedStreamsUpTo == 0 && usedStreams.isEmpty();
        return stage == Stage.RELEASING && (neverRequested || output.waitingBytes() == 0);
    }

    private void handleFrame(ByteBuf frame) {
        counters.add(Name.BYTES_IN, frame.readableBytes());
        activeAt = loop.clock();
        partialFrameSince = -1;
        unreadFrames++;
        if (frame.readableBytes() < 5) {
            throw new CorruptedFrameException(
                    "frame of " + frame.readableBytes() + " bytes is shorter than its header");
        }
        int type = frame.readUnsignedByte();
        int stream = frame.readInt();
        switch (type) {
            case ClientFrame.REQUEST -> handleRequest(stream, frame);
            case ClientFrame.CANCEL -> {
                if (received.cancel(stream)) {
                    openStreams.remove(stream);
                    counters.add(Name.WITHDRAWN);
                } else if (openStreams.remove(stream)) {
                    loop.submit(new Input.RequestCancelled(connectionId, stream));
                }
            }
            case ClientFrame.READINESS_REQUEST -> handleReadinessRequest(stream, frame);
            default -> throw new CorruptedFrameException("unknown frame type " + type);
        }
    }

    /** Turns away a request that was dropped while it was received, for lack of memory. */
    private void handleDroppedFrame(FrameDecoder.DroppedFrame dropped) {
        activeAt = loop.clock();
        partialFrameSince = -1;
        if (dropped.type() != ClientFrame.REQUEST) {
            throw new CorruptedFrameException("long frame of type " + dropped.type());
        }
        acceptStream(dropped.stream());
        turnAway(dropped.stream(), ClientFrame.identity(dropped.payloadStart()));
    }

    private void handleReadinessRequest(int stream, ByteBuf frame) {
        sentValidRequest = true;
        if (output.isFull()) {
            return; // the client does not read its earlier answers
        }
        Map<String, String> fields = new LinkedHashMap<>();
        Map<String, String> requested = ClientFrame.requestedFields(frame);
        if (requested.containsKey("drain")) {
            handleCommand(stream, requested);
            return;
        }
        if ("1".equals(requested.get("counters"))) {
            fields.putAll(counters.all());
            fields.putAll(loop.state());
        }
        if (requested.containsKey("rows")) {
            loop.rows(requested.get("rows")).ifPresent(rows -> ClientFrame.split(rows)
                    .forEach(part -> fields.put("rows-" + fields.size(), part)));
        }
        output.writeReply(ClientFrame.readiness(context.alloc(), stream, loop.ready(), fields), loop.clock());
    }

    /** Accepts operator commands from the router's own machine only: remote clients must not drain members. */
    private void handleCommand(int stream, Map<String, String> fields) {
        if (context.channel().remoteAddress() instanceof InetSocketAddress peer
                && !peer.getAddress().isLoopbackAddress()) {
            counters.add(Name.BAD_INPUT);
            writeReply(new Effect.CommandReply(
                    connectionId, stream, "refused: commands are taken from the router's own machine alone"));
        } else {
            loop.submit(new Input.Command(connectionId, stream, fields));
        }
    }

    /** Writes the reply to a command. */
    void writeReply(Effect.CommandReply reply) {
        output.writeReply(
                ClientFrame.readiness(context.alloc(), reply.stream(), loop.ready(), Map.of("said", reply.text())),
                loop.clock());
    }

    private void handleRequest(int stream, ByteBuf frame) {
        acceptStream(stream);
        if (unreadFrames > limits.maxUnreadFrames()) {
            turnAway(stream, ClientFrame.identity(frame));
            return;
        }
        Input.Request request;
        try {
            request = ClientFrame.request(connectionId, stream, frame, limits);
        } catch (CorruptedFrameException e) {
            counters.add(Name.BAD_INPUT);
            loop.reportError("invalid request answered with FAILED: " + e.getMessage());
            replyWithoutRequest(stream, Code.FAILED, 0);
            onInvalidRequest();
            return;
        }
        boolean tooMany = openStreams.size() > limits.maxOpenRequestsPerClient();
        // a client that does not read its answers is refused, but its connection is still read, so that its close is
        // seen
        if (tooMany || output.isFull() || !budget.hasCapacity(request.body().size())) {
            request.body().release();
            turnAway(stream, RequestIdentity.of(request));
            if (tooMany) {
                onInvalidRequest();
            }
            return;
        }
        sentValidRequest = true;
        received.add(request);
    }

    /** Opens a stream for a request. */
    private void acceptStream(int stream) {
        if (!markUsed(stream)) {
            throw new CorruptedFrameException(
                    "request on stream " + Integer.toUnsignedString(stream) + ", which is already used or too low");
        }
        openStreams.add(stream);
    }

    /** Turns a request away for lack of capacity, before the reducer has seen it. */
    private void turnAway(int stream, RequestIdentity identity) {
        counters.add(Name.TURNED_AWAY);
        Rejection rejection = received.containsId(identity.clientRequestId())
                ? RefusalPolicy.FAILED // its first copy is going to be submitted
                : loop.rejectionOf(identity);
        replyWithoutRequest(stream, Code.of(rejection), rejection.retryAfterMicros() / MICROS_PER_MILLI);
    }

    /** Answers a request that was not admitted. */
    private void replyWithoutRequest(int stream, Code code, long retryAfterMillis) {
        openStreams.remove(stream);
        ByteBuf reply = ClientFrame.answerHead(context.alloc(), stream, code, false, retryAfterMillis, 0);
        counters.add(Name.BYTES_OUT, reply.readableBytes());
        output.writeReply(reply, loop.clock());
    }

    /**
     * Marks a stream as used; returns false if it already was. Clients number their streams upwards, so only the newest
     * are kept one by one, whatever the age of the connection.
     */
    private boolean markUsed(int stream) {
        if (Integer.compareUnsigned(stream, usedStreamsUpTo) <= 0 || !usedStreams.add(stream)) {
            return false;
        }
        while (!usedStreams.isEmpty()
                && (usedStreams.first() == usedStreamsUpTo + 1 || usedStreams.size() > limits.maxTrackedStreams())) {
            usedStreamsUpTo = usedStreams.pollFirst();
        }
        return true;
    }

    /** Counts an invalid request, which has already been answered; after too many the connection is closed. */
    void onInvalidRequest() {
        if (++invalidRequests >= limits.maxProtocolErrors()) {
            closeWithError("too many invalid requests");
        }
    }

    /** Reports a connection error to the client on stream 0, and closes once all open requests are answered. */
    void closeWithError(String reason) {
        if (stage.compareTo(Stage.ENDING) >= 0) {
            return;
        }
        counters.add(Name.TURNED_OUT);
        loop.reportError("a client's connection is closed: " + reason);
        output.writeReply(ClientFrame.answerHead(context.alloc(), 0, Code.FAILED, false, 0, 0), loop.clock());
        closeAfterAnswers();
    }

    /**
     * Asks an idle client to send no new requests and closes its connection gracefully, to free the slot for another
     * client; returns false if the connection is not idle.
     */
    boolean closeIfIdle() {
        readAvailable(); // a request may have arrived meanwhile
        if (!isIdle() || stage.compareTo(Stage.ENDING) >= 0) {
            return false;
        }
        counters.add(Name.TURNED_OUT);
        drain();
        closeAfterAnswers();
        return true;
    }

    /** Accepts no more frames; closes once all open requests are answered. */
    private void closeAfterAnswers() {
        stage = Stage.ENDING;
        discardInput();
        closeOnceAnswered();
    }

    /** Decodes no more input; it is still read, so that the end of the client is seen. */
    private void discardInput() {
        decoder.discardInput();
        decoder.readPauses().resume(Reason.REPLIES_WAIT);
    }

    /**
     * Closes gracefully: flushes all writes, shuts down the output, then reads and discards input until the client
     * closes. Closing a socket with unread bytes would reset the connection and lose the last answers.
     */
    ChannelFuture closeGracefully() {
        if (stage.compareTo(Stage.RELEASING) < 0) {
            stage = Stage.RELEASING;
            discardInput();
            loop.clientClosed(connectionId);
            releaseReceived();
            context.writeAndFlush(context.alloc().buffer(0)).addListener(done -> {
                if (done.isSuccess() && context.channel() instanceof DuplexChannel duplex) {
                    duplex.shutdownOutput();
                    context.executor()
                            .schedule(() -> context.close(), limits.clientCloseDelay(), TimeUnit.MICROSECONDS);
                } else {
                    context.close();
                }
            });
        }
        return context.channel().closeFuture();
    }

    /** Whether the client has sent no valid request so far. */
    boolean hasSentNoRequest() {
        return !sentValidRequest;
    }

    /** Whether a frame has been received in part. */
    boolean isReceivingFrame() {
        return decoder.hasPartialFrame();
    }

    /** Closes the connection with an error, to free its slot, unless a valid request has arrived meanwhile. */
    boolean closeIfSilent() {
        readAvailable();
        if (sentValidRequest || decoder.hasUnread() || stage.compareTo(Stage.ENDING) >= 0) {
            return false;
        }
        closeWithError("it sent no valid request, and its slot is needed");
        return true;
    }

    /** Whether no request is open, nor may be in what is read but not decoded yet. */
    private boolean isIdle() {
        return openStreams.isEmpty() && !decoder.hasUnread();
    }

    /** The time (microseconds) since which no request is open; Long.MAX_VALUE while one is. */
    long idleSince() {
        return isIdle() ? activeAt : Long.MAX_VALUE;
    }

    void answer(Effect.Answer answer) {
        if (!openStreams.remove(answer.stream()) || stage.compareTo(Stage.RELEASING) >= 0) {
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
        output.writeAnswer(head, NettyBytes.buffer(answer.body()), loop.clock());
        closeOnceAnswered();
    }

    /** Closes a connection on which no frame is accepted any more once no answer is owed. */
    private void closeOnceAnswered() {
        if (stage == Stage.ENDING && openStreams.isEmpty()) {
            closeGracefully();
        }
    }

    void drain() {
        stage = stage == Stage.OPEN ? Stage.DRAINING : stage;
        context.writeAndFlush(ClientFrame.drain(context.alloc()), context.voidPromise());
    }

    /** Closes at once, without a message to the client; answers that are owed or not sent yet are lost. */
    void closeNow(String reason) {
        counters.add(Name.TURNED_OUT);
        loop.reportError("a client's connection is closed: " + reason + " (" + output.waitingBytes()
                + " bytes not sent, " + openStreams.size() + " requests open)");
        context.close();
    }

    /** Disconnects a client that leaves its connection unused, stalls, or sends no valid request. */
    void sweep(long now) {
        if (stage == Stage.CLOSED) {
            return;
        }
        long stalledFor = output.stalledFor(now);
        boolean answersWait = output.waitingBytes() > 0;
        activeAt = answersWait ? now : activeAt;
        boolean partialFrameStopped = checkPartialFrame(now);
        if (stalledFor > limits.clientStallTimeout()) {
            closeNow("its answers are not read for " + stalledFor / 1_000 + " ms");
        } else if (stage == Stage.RELEASING) {
            return; // closed once all is sent
        } else if (partialFrameStopped && openStreams.isEmpty()) {
            closeWithError("a frame was sent only in part");
        } else if (partialFrameStopped && decoder.canDrop()) {
            counters.add(Name.FRAMES_DROPPED);
            decoder.drop(); // refused at its end: the connection has to stay until its open requests are answered
        } else if (!sentValidRequest && isIdle() && now - openedAt > limits.clientRequestTimeout()) {
            closeWithError("no valid request was sent");
        } else if (!answersWait && isIdle() && now - activeAt > limits.clientIdleTimeout()) {
            closeIdle(now);
        }
    }

    /**
     * Whether a frame has been received in part, and no more of it has come for a while or its client no longer waits.
     */
    private boolean checkPartialFrame(long now) {
        if (!decoder.hasPartialFrame() || decoder.hasUnread()) {
            partialFrameSince = -1;
        } else if (partialFrameSince < 0) {
            partialFrameSince = now;
            partialFrameReadAt = now;
        } else if (decoder.reads() != readsAtLastCheck) {
            partialFrameReadAt = now;
        }
        readsAtLastCheck = decoder.reads();
        return partialFrameSince >= 0
                && (now - partialFrameReadAt > limits.clientRequestTimeout()
                        || now - partialFrameSince > limits.maxFrameTime());
    }

    /** Asks an idle client to send no new requests before it closes, so that no request is lost in the close. */
    private void closeIdle(long now) {
        if (stage == Stage.OPEN) {
            drain();
        } else if (now - activeAt > limits.clientIdleTimeout() + limits.clientDrainTime()) {
            readAvailable();
            if (isIdle() && context.channel().isActive()) {
                closeAfterAnswers();
            }
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof DecoderException) {
            if (stage.compareTo(Stage.ENDING) < 0) {
                counters.add(Name.BAD_INPUT);
                closeWithError(cause.getMessage());
            }
        } else {
            if (!(cause instanceof IOException)) { // a reset by the client is an IOException
                closeNow(cause.toString());
            }
            ctx.close();
        }
    }
}
