package pumicemoor.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.CorruptedFrameException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import pumicemoor.node.Bytes;
import pumicemoor.node.Effect.Code;
import pumicemoor.node.Input;
import pumicemoor.node.ResourceLimits;

/**
 * The form of the frames between clients and this router: reads those of clients, writes the router's. It
 * owns no state and must never judge a request beyond whether its form can be read.
 */
final class ClientFrame {

    static final int LENGTH_BYTES = 4;
    static final int READY_ASKED = 1;
    static final int READY = 2;
    static final int DRAIN = 3;
    static final int REQUEST = 7;
    static final int ANSWER = 8;
    static final int WITHDRAWN = 9;

    private static final int HEADER = 1 + 4;
    private static final Pattern WORD = Pattern.compile("[0-9A-Za-z._~-]{1,64}");
    private static final Pattern ID = Pattern.compile("[0-9a-fA-F]{16}");
    private static final Pattern NUMBER = Pattern.compile("[0-9]{1,18}");
    private static final int MOST_GROUP = 255;
    private static final int LONGEST_VALUE = 60_000;
    private static final int LONGEST_TEXT = 4 * LONGEST_VALUE; // a client takes frames of 262,144 bytes

    private ClientFrame() {}

    /** The request that follows type and stream; the body stays a slice of the frame. */
    static Input.Request request(long connection, int stream, ByteBuf frame, ResourceLimits limits) {
        Map<String, String> fields = fields(frame);
        if (frame.readableBytes() > limits.requestBytes()) {
            throw new CorruptedFrameException("a body of " + frame.readableBytes() + " bytes is too long");
        }
        String tag = fields.get("ver");
        return new Input.Request(
                connection,
                stream,
                word(fields, "call", ID),
                word(fields, "op", WORD),
                word(fields, "row", ID),
                (int) number(fields, "piece", 0, Integer.MAX_VALUE),
                (int) number(fields, "lot", -1, MOST_GROUP),
                tag != null && WORD.matcher(tag).matches() ? tag : null,
                number(fields, "ttl", -1, limits.longestTtl() / 1_000),
                repeat(fields),
                frame.isReadable() ? NettyBytes.of(frame.readRetainedSlice(frame.readableBytes())) : Bytes.NONE);
    }

    private static Map<String, String> fields(ByteBuf frame) {
        try {
            Map<String, String> fields = new LinkedHashMap<>();
            for (int left = frame.readUnsignedByte(); left > 0; left--) {
                String name = frame.readString(frame.readUnsignedByte(), StandardCharsets.UTF_8);
                if (fields.put(name, frame.readString(frame.readUnsignedShort(), StandardCharsets.UTF_8)) != null) {
                    throw new CorruptedFrameException("a field stands twice");
                }
            }
            return fields;
        } catch (IndexOutOfBoundsException e) {
            throw new CorruptedFrameException("the fields end early");
        }
    }

    private static String word(Map<String, String> fields, String name, Pattern form) {
        String value = fields.get(name);
        if (value == null || !form.matcher(value).matches()) {
            throw new CorruptedFrameException("field '" + name + "' cannot be used");
        }
        return value;
    }

    private static boolean repeat(Map<String, String> fields) {
        String value = fields.get("rep");
        if (value != null && !value.equals("1") && !value.equals("0")) {
            throw new CorruptedFrameException("field 'rep' cannot be used");
        }
        return "1".equals(value);
    }

    /** A number of digits alone; an absent one is what is given for it, except the time, which must be there. */
    private static long number(Map<String, String> fields, String name, long absent, long most) {
        String value = fields.get(name);
        if (value == null && !name.equals("ttl")) {
            return absent;
        }
        if (value != null && NUMBER.matcher(value).matches() && Long.parseLong(value) <= most) {
            return Long.parseLong(value);
        }
        throw new CorruptedFrameException("field '" + name + "' is not a number that can be used");
    }

    /** All of an answer's frame but the body, which follows it unaltered. */
    static ByteBuf answerHead(
            ByteBufAllocator allocator, int stream, Code code, boolean unchanged, long pushbackMillis, int bodySize) {
        ByteBuf head = allocator.ioBuffer(64);
        head.writeInt(0);
        head.writeByte(ANSWER).writeInt(stream);
        head.writeByte(code == Code.SERVED ? 1 : code == Code.REFUSED ? 0 : 9);
        head.writeByte((unchanged ? 1 : 0) + (pushbackMillis > 0 ? 1 : 0));
        if (unchanged) {
            field(head, "unchanged", "1");
        }
        if (pushbackMillis > 0) {
            field(head, "pushback", Long.toString(pushbackMillis));
        }
        return head.setInt(0, head.readableBytes() - LENGTH_BYTES + bodySize);
    }

    static void field(ByteBuf out, String name, String value) {
        out.writeByte(name.length());
        out.writeCharSequence(name, StandardCharsets.US_ASCII);
        out.writeShort(value.length());
        out.writeCharSequence(value, StandardCharsets.US_ASCII);
    }

    /** What the question for readiness asks for beside it: the counters, or rows about a subject. */
    static Map<String, String> wanted(ByteBuf frame) {
        return frame.isReadable() ? fields(frame) : Map.of();
    }

    /** A long text as values that a field can hold, and no more of it than a frame can. */
    static List<String> cut(String text) {
        List<String> parts = new ArrayList<>();
        for (int from = 0; from < Math.min(text.length(), LONGEST_TEXT); from += LONGEST_VALUE) {
            parts.add(text.substring(from, Math.min(text.length(), from + LONGEST_VALUE)));
        }
        return parts;
    }

    /** The answer to whether the router is ready, with these fields. */
    static ByteBuf ready(ByteBufAllocator allocator, int stream, boolean ready, Map<String, String> fields) {
        ByteBuf out = allocator
                .ioBuffer(16)
                .writeInt(0)
                .writeByte(READY)
                .writeInt(stream)
                .writeByte(ready ? 1 : 0)
                .writeByte(fields.size());
        fields.forEach((name, value) -> field(out, name, value));
        return out.setInt(0, out.readableBytes() - LENGTH_BYTES);
    }

    /** Bring no new request on this connection. */
    static ByteBuf drain(ByteBufAllocator allocator) {
        return allocator.ioBuffer(16).writeInt(HEADER).writeByte(DRAIN).writeInt(0);
    }
}
