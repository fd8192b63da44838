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
 * Reads what a cache server writes: a line of words, the bytes that its last word announces, an end of line.
 * It owns the answer that is coming in, whose bytes it collects in one buffer of their own, and must never
 * pass on an answer that is not whole.
 */
final class AnswerDecoder extends ByteToMessageDecoder {

    /** One whole answer; the body, perhaps empty, goes to whoever takes it. */
    record Answer(String id, String word, Map<String, String> fields, ByteBuf body) {}

    private final int longestLine;
    private final int longestBody;
    private final BufferBudget budget;
    private String[] words;
    private Map<String, String> fields;
    private ByteBuf body;
    private int left;
    private boolean waiting;
    private boolean broken;

    AnswerDecoder(int longestLine, int longestBody, BufferBudget budget) {
        this.longestLine = longestLine;
        this.longestBody = longestBody;
        this.budget = budget;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        if (broken) {
            in.skipBytes(in.readableBytes());
            return;
        }
        broken = true; // unless this ends well, nothing behind it can be read either
        read(ctx, in, out);
        broken = false;
    }

    private void read(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        if (words == null) {
            int end = in.indexOf(
                    in.readerIndex(), in.readerIndex() + Math.min(in.readableBytes(), longestLine), (byte) '\n');
            if (end < 0) {
                if (in.readableBytes() >= longestLine) {
                    throw new TooLongFrameException("a line of more than " + longestLine + " bytes");
                }
                return;
            }
            head(in.readString(end - in.readerIndex(), StandardCharsets.UTF_8).stripTrailing());
            in.skipBytes(1);
        }
        if (body == null && !hasRoom(ctx)) {
            return;
        }
        int more = Math.min(left, in.readableBytes());
        body.writeBytes(in, more);
        left -= more;
        if (left == 0 && in.readableBytes() >= 2) {
            if (in.readByte() != '\r' || in.readByte() != '\n') {
                throw new CorruptedFrameException("no end of line behind a body");
            }
            out.add(new Answer(words[0], words[1], fields, body));
            words = null;
            body = null;
        }
    }

    /** Takes the buffer for the body; while there is no room for it, nothing more is read here. */
    private boolean hasRoom(ChannelHandlerContext ctx) {
        if (waiting || !budget.admit(left, () -> goOn(ctx))) {
            waiting = true;
            ctx.channel().config().setAutoRead(false);
            return false;
        }
        body = left == 0 ? ctx.alloc().buffer(0) : ctx.alloc().ioBuffer(left, left);
        return true;
    }

    /** Whether part of an answer has come and the rest has not. */
    boolean midway() {
        return words != null || actualReadableBytes() > 0;
    }

    /** Whether what comes is left unread for want of room, so that silence tells nothing. */
    boolean waiting() {
        return waiting;
    }

    private void goOn(ChannelHandlerContext ctx) {
        waiting = false;
        if (!ctx.isRemoved()) {
            ctx.channel().config().setAutoRead(true);
            ctx.pipeline().fireChannelRead(Unpooled.EMPTY_BUFFER); // takes up what has been read before
        }
    }

    private void head(String line) {
        String[] read = line.split(" ");
        if (read.length != 4) {
            throw new CorruptedFrameException("a line of " + read.length + " words, not 4");
        }
        try {
            left = Integer.parseInt(read[3]);
        } catch (NumberFormatException e) {
            left = -1;
        }
        if (left < 0 || left > longestBody) {
            throw new CorruptedFrameException("a body of '" + read[3] + "' bytes");
        }
        fields = fields(read[2]);
        words = read;
    }

    /** The pairs of FIELDS; what is no pair cannot be read, and so nothing behind it can be trusted. */
    static Map<String, String> fields(String text) {
        Map<String, String> fields = new LinkedHashMap<>();
        if (!text.equals("-")) {
            for (String pair : text.split(",")) {
                int at = pair.indexOf('=');
                if (at <= 0 || fields.put(pair.substring(0, at), pair.substring(at + 1)) != null) {
                    throw new CorruptedFrameException("fields that cannot be read");
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
