package pumicemoor.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;

/**
 * The output of one client connection. It owns the counts of what waits for the socket, and notices whether the client
 * reads. The router's own replies (refusals, errors, readiness), of which a client can cause any number, are limited by
 * not reading the connection while too many wait; what waits then shows the end of the client as a failed write. It
 * must never discard or close anything.
 */
final class ClientOutput {

    private final ChannelHandlerContext context;
    private final int maxWaitingReplyBytes;
    private final ReadPauses readPauses;
    private long writtenBytes; // since the start, as the outbound buffer counts them
    private long sentBytes; // those of them that the socket has taken, at the last check
    private long progressAt; // when the socket last took bytes while some waited
    private int waitingReplyBytes;

    ClientOutput(ChannelHandlerContext context, int maxWaitingReplyBytes, ReadPauses readPauses) {
        this.context = context;
        this.maxWaitingReplyBytes = maxWaitingReplyBytes;
        this.readPauses = readPauses;
    }

    /** Writes the answer to an admitted request: its head, and its body unless that is null. */
    void writeAnswer(ByteBuf head, ByteBuf body, long now) {
        long waitingBefore = beforeWrite(now);
        context.write(head, context.voidPromise());
        if (body != null) {
            context.write(body, context.voidPromise());
        }
        writtenBytes += waitingBytes() - waitingBefore;
        context.flush();
    }

    /** Writes a message of the router's own; while too many of these wait, the connection is not read. */
    void writeReply(ByteBuf reply, long now) {
        int size = reply.readableBytes();
        waitingReplyBytes += size;
        long waitingBefore = beforeWrite(now);
        context.write(reply).addListener(done -> replySent(size));
        writtenBytes += waitingBytes() - waitingBefore;
        context.flush();
        if (waitingReplyBytes > maxWaitingReplyBytes) {
            readPauses.pause(ReadPauses.Reason.REPLIES_WAIT);
        }
    }

    private void replySent(int size) {
        waitingReplyBytes -= size;
        if (waitingReplyBytes <= maxWaitingReplyBytes / 2) {
            readPauses.resume(ReadPauses.Reason.REPLIES_WAIT);
        }
    }

    private long beforeWrite(long now) {
        long waiting = waitingBytes();
        if (waiting == 0) {
            progressAt = now;
        }
        return waiting;
    }

    /** The bytes that are written but not yet passed to the socket, with what the queue of messages costs. */
    long waitingBytes() {
        ChannelOutboundBuffer queue = context.channel().unsafe().outboundBuffer();
        return queue == null || queue.totalPendingWriteBytes() == 0
                ? 0
                : queue.totalPendingWriteBytes() - queue.currentProgress();
    }

    /** Whether so much waits that no further request is to be admitted. */
    boolean isFull() {
        return !context.channel().isWritable();
    }

    /** Returns for how long (microseconds) the socket has taken nothing although bytes wait; to be called regularly. */
    long stalledFor(long now) {
        long waiting = waitingBytes();
        long sent = writtenBytes - waiting;
        if (waiting == 0 || sent != sentBytes) {
            sentBytes = sent;
            progressAt = now;
        }
        return now - progressAt;
    }
}
