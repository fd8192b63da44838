package pumicemoor.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.TooLongFrameException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Decodes the answers of a cache server: a head line of four words, a body of the length that its last word gives, and
 * a line end. It owns the answer being received, whose body it collects in a buffer of its own, and must never pass on
 * an incomplete answer.
 */
final class AnswerDecoder extends ByteToMessageDecoder {

    /** A complete answer; its receiver owns the body, which may be empty. */
    record Answer(String id, String status, Map<String, String> fields, ByteBuf body) {}

    private final int maxLineBytes;
    private final int maxBodyBytes;
    private final BufferBudget budget;
    private String[] head;
    private Map<String, String> fields;
    private ByteBuf body;
    private int bodyBytesLeft;
    private boolean readPaused;
    private boolean corrupted;

    AnswerDecoder(int maxLineBytes, int maxBodyBytes, BufferBudget budget) {
        this.maxLineBytes = maxLineBytes;
        this.maxBodyBytes = maxBodyBytes;
        this.budget = budget;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        if (corrupted) {
            in.skipBytes(in.readableBytes());
            return;
        }
        corrupted = true; // after an exception, nothing that follows can be decoded
        read(ctx, in, out);
        corrupted = false;
    }

    private void read(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        if (head == null) {
            int end = in.indexOf(
                    in.readerIndex(), in.readerIndex() + Math.min(in.readableBytes(), maxLineBytes), (byte) '\n');
            if (end < 0) {
                if (in.readableBytes() >= maxLineBytes) {
                    throw new TooLongFrameException("head line of an answer exceeds " + maxLineBytes + " bytes");
                }
                return;
            }
            parseHead(in.readString(end - in.readerIndex(), StandardCharsets.UTF_8)
                    .stripTrailing());
            in.skipBytes(1);
        }
        if (body == null && !allocateBody(ctx)) {
            return;
        }
        int available = Math.min(bodyBytesLeft, in.readableBytes());
        body.writeBytes(in, available);
        bodyBytesLeft -= available;
        if (bodyBytesLeft == 0 && in.readableBytes() >= 2) {
            if (in.readByte() != '\r' || in.readByte() != '\n') {
                throw new CorruptedFrameException("body of an answer is not followed by a line end");
            }
            out.add(new Answer(head[0], head[1], fields, body));
            head = null;
            body = null;
        }
    }

    /** Allocates the buffer for the body; while the budget has no capacity, reading from the connection is paused. */
    private boolean allocateBody(ChannelHandlerContext ctx) {
        if (readPaused || !budget.admit(bodyBytesLeft, () -> resume(ctx))) {
            readPaused = true;
            ctx.channel().config().setAutoRead(false);
            return false;
        }
        body = bodyBytesLeft == 0 ? ctx.alloc().buffer(0) : ctx.alloc().ioBuffer(bodyBytesLeft, bodyBytesLeft);
        return true;
    }

    /** Whether an answer has been received in part. */
    boolean hasPartialAnswer() {
        return head != null || actualReadableBytes() > 0;
    }

    /** Whether reading is paused for lack of buffer capacity, so that silence is no sign of a dead connection. */
    boolean readPaused() {
        return readPaused;
    }

    private void resume(ChannelHandlerContext ctx) {
        readPaused = false;
        if (!ctx.isRemoved()) {
            ctx.channel().config().setAutoRead(true);
            ctx.pipeline().fireChannelRead(Unpooled.EMPTY_BUFFER); // decodes the bytes that are already buffered
        }
    }

    private void parseHead(String line) {
        String[] words = line.split(" ");
        if (words.length != 4) {
            throw new CorruptedFrameException("head line of an answer has " + words.length + " words, not 4");
        }
        try {
            bodyBytesLeft = Integer.parseInt(words[3]);
        } catch (NumberFormatException e) {
            bodyBytesLeft = -1;
        }
        if (bodyBytesLeft < 0 || bodyBytesLeft > maxBodyBytes) {
            throw new CorruptedFrameException(
                    "body length '" + words[3] + "' of an answer is not a number or out of range");
        }
        fields = fields(words[2]);
        head = words;
    }

    /** Parses name=value pairs; a malformed or repeated one is an error, after which no input can be trusted. */
    static Map<String, String> fields(String text) {
        Map<String, String> fields = new LinkedHashMap<>();
        if (!text.equals("-")) {
            for (String pair : text.split(",")) {
                int equals = pair.indexOf('=');
                if (equals <= 0 || fields.put(pair.substring(0, equals), pair.substring(equals + 1)) != null) {
                    throw new CorruptedFrameException("fields of an answer are malformed or repeated");
                }
            }
        }
        return fields;
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext ctx) {
        if (body != null) {
            body.release();
            body = null;
        }
    }
}
