package pumicemoor.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.TooLongFrameException;
import pumicemoor.net.ReadPauses.Reason;

/**
 * Splits a client's input into frames and strips their length field. It owns the frame being received, which it copies
 * into a buffer that grows with the bytes received; all such buffers together are limited by PartialFrames. A frame
 * that is dropped for that limit is skipped as its bytes arrive, and reported at its end. It must never let a length
 * field determine how much is buffered: a length over the limit ends the decoding. It decodes for as long as its turn
 * among all connections lasts; what is left of a read waits for the next turn, and nothing more is read until then.
 */
final class FrameDecoder extends ChannelInboundHandlerAdapter {

    /**
     * The end of a frame that was dropped, since the frames received in part needed too much memory. Of its payload the
     * beginning is kept, in which the fields of a usual request are.
     */
    record DroppedFrame(int type, int stream, ByteBuf payloadStart) {}

    private static final int HEADER_BYTES = ClientFrame.LENGTH_BYTES + 1 + 4; // length, type, stream
    private static final int MIN_BUFFER_BYTES = 256;
    private static final int KEPT_PAYLOAD_BYTES = 1_024; // of a dropped frame

    private final int maxFrameBytes;
    private final PartialFrames partialFrames;
    private final ReadTurns turns;
    private final ReadPauses readPauses = new ReadPauses(this::awaitTurn);
    private ChannelHandlerContext context;
    private ByteBuf unread; // the part of the last read that is not decoded yet; null if there is none
    private boolean awaitsTurn;
    private ByteBuf partial; // the frame being received, with its length field; null if none is, or if it was dropped
    private DroppedFrame dropped; // the frame being skipped; null if none is
    private int bytesToSkip; // of the frame being skipped
    private boolean discarding; // nothing more is decoded
    private long discardedBytes;
    private int reads;

    FrameDecoder(int maxFrameBytes, PartialFrames partialFrames, ReadTurns turns) {
        this.maxFrameBytes = maxFrameBytes;
        this.partialFrames = partialFrames;
        this.turns = turns;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
        readPauses.attach(ctx.channel());
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        reads++;
        ByteBuf in = (ByteBuf) message;
        if (unread != null) {
            unread = Unpooled.wrappedBuffer(unread, in);
        } else if (turns.mayBegin()) {
            decode(in, turns.connectionTurnEnd());
        } else {
            keepUnread(in);
        }
    }

    /** Passes the end of a read on once all of it is decoded. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (unread == null) {
            ctx.fireChannelReadComplete();
        }
    }

    /** Continues with what is not decoded yet, now that it is the turn of this connection. */
    void continueDecoding() {
        awaitsTurn = false;
        decodeUnread(turns.connectionTurnEnd());
    }

    /** Decodes all that is not decoded yet. */
    void decodeAll() {
        awaitsTurn = false;
        decodeUnread(Long.MAX_VALUE);
    }

    private void decodeUnread(long turnEnd) {
        if (unread == null || readPauses.contains(Reason.REPLIES_WAIT) && !discarding) {
            return; // the connection has ended, or decoding goes on once its replies have been read
        }
        ByteBuf in = unread;
        unread = null;
        decode(in, turnEnd);
        if (unread == null) {
            readPauses.resume(Reason.TURN_OVER);
            context.fireChannelReadComplete();
        }
    }

    /** Keeps what has been read, and reads no more until it is decoded. */
    private void keepUnread(ByteBuf in) {
        unread = in;
        readPauses.pause(Reason.TURN_OVER);
        awaitTurn();
    }

    private void awaitTurn() {
        if (unread != null && !awaitsTurn && !readPauses.contains(Reason.REPLIES_WAIT)) {
            awaitsTurn = true;
            turns.await(this);
        }
    }

    /**
     * Decodes a buffer, which it owns, frame by frame: until its end, until the turn of this connection is over, or
     * until too many replies wait.
     */
    private void decode(ByteBuf in, long turnEnd) {
        boolean begun = false;
        while (in.isReadable() && !discarding && !context.isRemoved()) {
            if (readPauses.contains(Reason.REPLIES_WAIT) || begun && turns.isOver(turnEnd)) {
                keepUnread(in);
                return;
            }
            begun = true;
            try {
                decodeNext(in);
            } catch (DecoderException e) {
                discardInput(); // after an error, nothing that follows can be decoded
                context.fireExceptionCaught(e);
            } catch (RuntimeException | Error e) {
                in.release();
                throw e;
            }
        }
        discardedBytes += in.readableBytes();
        in.release();
    }

    private void decodeNext(ByteBuf in) {
        if (dropped != null) {
            skip(context, in);
        } else if (partial != null) {
            continuePartial(context, in);
        } else if (isWhole(in)) {
            int frameBytes = checkedLength(in);
            context.fireChannelRead(in.skipBytes(ClientFrame.LENGTH_BYTES).readRetainedSlice(frameBytes));
        } else {
            beginPartial(context, in);
        }
    }

    private boolean isWhole(ByteBuf in) {
        return in.readableBytes() >= ClientFrame.LENGTH_BYTES
                && in.readableBytes() - ClientFrame.LENGTH_BYTES >= checkedLength(in);
    }

    /** The length field at the reader index: the number of bytes that follow it. */
    private int checkedLength(ByteBuf in) {
        long length = in.getUnsignedInt(in.readerIndex());
        if (length > maxFrameBytes) {
            throw new TooLongFrameException("frame of " + length + " bytes exceeds " + maxFrameBytes);
        }
        if (length == 0) {
            throw new CorruptedFrameException("frame of 0 bytes is shorter than its header");
        }
        return (int) length;
    }

    private void beginPartial(ChannelHandlerContext ctx, ByteBuf in) {
        partial = ctx.alloc().ioBuffer(Math.max(MIN_BUFFER_BYTES, in.readableBytes()));
        partial.writeBytes(in);
        partialFrames.add(this, partial.capacity());
    }

    private void continuePartial(ChannelHandlerContext ctx, ByteBuf in) {
        int wanted = partial.readableBytes() < ClientFrame.LENGTH_BYTES
                ? ClientFrame.LENGTH_BYTES
                : ClientFrame.LENGTH_BYTES + checkedLength(partial);
        int added = Math.min(wanted - partial.readableBytes(), in.readableBytes());
        int heldBefore = partial.capacity();
        reserve(added, wanted);
        partial.writeBytes(in, added);
        partialFrames.add(this, partial.capacity() - heldBefore);
        if (partial != null
                && partial.readableBytes() >= ClientFrame.LENGTH_BYTES
                && partial.readableBytes() == ClientFrame.LENGTH_BYTES + checkedLength(partial)) {
            ByteBuf frame = partial;
            partial = null;
            partialFrames.remove(this, frame.capacity());
            ctx.fireChannelRead(frame.skipBytes(ClientFrame.LENGTH_BYTES));
        }
    }

    /** Makes room for more bytes: doubles the buffer, but never beyond the frame. */
    private void reserve(int added, int frameBytes) {
        int needed = partial.readableBytes() + added;
        if (needed > partial.capacity()) {
            partial.capacity(Math.max(needed, Math.min(frameBytes, 2 * partial.capacity())));
        }
    }

    private void skip(ChannelHandlerContext ctx, ByteBuf in) {
        int skipped = Math.min(bytesToSkip, in.readableBytes());
        int kept = Math.min(skipped, dropped.payloadStart().writableBytes());
        dropped.payloadStart().writeBytes(in, kept);
        in.skipBytes(skipped - kept);
        bytesToSkip -= skipped;
        if (bytesToSkip == 0) {
            DroppedFrame end = dropped;
            dropped = null;
            ctx.fireChannelRead(end);
        }
    }

    /** Whether the frame being received can be dropped: its length, type and stream are known. */
    boolean canDrop() {
        return partial != null && partial.readableBytes() >= HEADER_BYTES;
    }

    /** Drops the part of a frame that is held, and skips the rest as it arrives; only if {@link #canDrop}. */
    void drop() {
        int start = partial.readerIndex();
        int payloadBytes = ClientFrame.LENGTH_BYTES + checkedLength(partial) - HEADER_BYTES;
        ByteBuf payloadStart = Unpooled.wrappedBuffer(new byte[Math.min(payloadBytes, KEPT_PAYLOAD_BYTES)])
                .clear();
        payloadStart.writeBytes(
                partial,
                start + HEADER_BYTES,
                Math.min(partial.readableBytes() - HEADER_BYTES, payloadStart.writableBytes()));
        dropped = new DroppedFrame(
                partial.getUnsignedByte(start + ClientFrame.LENGTH_BYTES),
                partial.getInt(start + ClientFrame.LENGTH_BYTES + 1),
                payloadStart);
        bytesToSkip = ClientFrame.LENGTH_BYTES + checkedLength(partial) - partial.readableBytes();
        releasePartial();
    }

    private void releasePartial() {
        if (partial != null) {
            ByteBuf released = partial;
            partial = null;
            partialFrames.remove(this, released.capacity());
            released.release();
        }
    }

    /** Decodes nothing more: all later input is read and discarded. */
    void discardInput() {
        discarding = true;
        dropped = null;
        releasePartial();
        if (unread != null) {
            discardedBytes += unread.readableBytes();
            releaseUnread();
            readPauses.resume(Reason.TURN_OVER);
        }
    }

    private void releaseUnread() {
        if (unread != null) {
            unread.release();
            unread = null;
        }
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) {
        releasePartial();
        releaseUnread();
    }

    /** The reasons for which this connection is not read. */
    ReadPauses readPauses() {
        return readPauses;
    }

    /** Whether some of what was read is not decoded yet. */
    boolean hasUnread() {
        return unread != null;
    }

    /** The memory in bytes that the frame received in part uses. */
    int heldBytes() {
        return partial == null ? 0 : partial.capacity();
    }

    /** The number of bytes that the frame being received still lacks, as far as its length is known; else 0. */
    int missingBytes() {
        if (dropped != null) {
            return bytesToSkip;
        }
        return partial == null || partial.readableBytes() < ClientFrame.LENGTH_BYTES
                ? 0
                : ClientFrame.LENGTH_BYTES + checkedLength(partial) - partial.readableBytes();
    }

    /** The number of reads that have delivered bytes so far. */
    int reads() {
        return reads;
    }

    /** The number of bytes that were read and discarded after the last decoded frame. */
    long discardedBytes() {
        return discardedBytes;
    }

    /** Whether a frame has been received in part. */
    boolean hasPartialFrame() {
        return partial != null || dropped != null;
    }
}
