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
import pumicemoor.node.RequestIdentity;
import pumicemoor.node.ResourceLimits;

/**
 * Decodes the frames of clients and encodes those of the router. It has no state and must never reject a request for
 * anything but its syntax.
 */
final class ClientFrame {

    static final int LENGTH_BYTES = 4;

    // frame types
    static final int READINESS_REQUEST = 1;
    static final int READINESS = 2;
    static final int DRAIN = 3;
    static final int REQUEST = 7;
    static final int ANSWER = 8;
    static final int CANCEL = 9;

    private static final int HEADER_BYTES = 1 + 4;
    private static final Pattern TOKEN = Pattern.compile("[0-9A-Za-z._~-]{1,64}");
    private static final Pattern ID = Pattern.compile("[0-9a-fA-F]{16}");
    private static final Pattern DIGITS = Pattern.compile("[0-9]{1,18}");
    private static final int MAX_GROUP = 255;
    private static final int MAX_VALUE_BYTES = 60_000;
    private static final int MAX_TEXT_BYTES = 4 * MAX_VALUE_BYTES; // clients accept frames of up to 262,144 bytes

    private ClientFrame() {}

    /** Decodes the rest of a request frame, after its type and stream; the body remains a slice of the frame. */
    static Input.Request request(long connection, int stream, ByteBuf frame, ResourceLimits limits) {
        Map<String, String> fields = fields(frame);
        if (frame.readableBytes() > limits.maxRequestBytes()) {
            throw new CorruptedFrameException("request body of " + frame.readableBytes() + " bytes is too long");
        }
        String tag = fields.get("ver");
        return new Input.Request(
                connection,
                stream,
                token(fields, "call", ID),
                token(fields, "op", TOKEN),
                token(fields, "row", ID),
                (int) number(fields, "piece", 0, Integer.MAX_VALUE),
                (int) number(fields, "lot", -1, MAX_GROUP),
                tag != null && TOKEN.matcher(tag).matches() ? tag : null,
                number(fields, "ttl", -1, limits.maxTtl() / 1_000),
                clientRetry(fields),
                frame.isReadable() ? NettyBytes.of(frame.readRetainedSlice(frame.readableBytes())) : Bytes.NONE);
    }

    /** Decodes what identifies a request from the rest of its frame, or of the part of it that was received. */
    static RequestIdentity identity(ByteBuf frame) {
        try {
            Map<String, String> fields = fields(frame);
            return new RequestIdentity(token(fields, "call", ID), token(fields, "op", TOKEN), clientRetry(fields));
        } catch (CorruptedFrameException e) {
            return RequestIdentity.UNKNOWN;
        }
    }

    private static Map<String, String> fields(ByteBuf frame) {
        try {
            Map<String, String> fields = new LinkedHashMap<>();
            for (int remaining = frame.readUnsignedByte(); remaining > 0; remaining--) {
                String name = frame.readString(frame.readUnsignedByte(), StandardCharsets.UTF_8);
                if (fields.put(name, frame.readString(frame.readUnsignedShort(), StandardCharsets.UTF_8)) != null) {
                    throw new CorruptedFrameException("a field occurs twice");
                }
            }
            return fields;
        } catch (IndexOutOfBoundsException e) {
            throw new CorruptedFrameException("the frame ends within its fields");
        }
    }

    private static String token(Map<String, String> fields, String name, Pattern syntax) {
        String value = fields.get(name);
        if (value == null || !syntax.matcher(value).matches()) {
            throw new CorruptedFrameException("field '" + name + "' is missing or invalid");
        }
        return value;
    }

    private static boolean clientRetry(Map<String, String> fields) {
        String value = fields.get("rep");
        if (value != null && !value.equals("1") && !value.equals("0")) {
            throw new CorruptedFrameException("field 'rep' is neither 0 nor 1");
        }
        return "1".equals(value);
    }

    /** Parses an unsigned decimal field; returns a default for an absent one, except for 'ttl', which is required. */
    private static long number(Map<String, String> fields, String name, long defaultValue, long max) {
        String value = fields.get(name);
        if (value == null && !name.equals("ttl")) {
            return defaultValue;
        }
        if (value != null && DIGITS.matcher(value).matches() && Long.parseLong(value) <= max) {
            return Long.parseLong(value);
        }
        throw new CorruptedFrameException("field '" + name + "' is missing, not a number or out of range");
    }

    /** Encodes the frame of an answer up to its body, which follows unaltered. */
    static ByteBuf answerHead(
            ByteBufAllocator allocator, int stream, Code code, boolean unchanged, long retryAfterMillis, int bodySize) {
        ByteBuf head = allocator.ioBuffer(64);
        head.writeInt(0);
        head.writeByte(ANSWER).writeInt(stream);
        head.writeByte(code == Code.SERVED ? 1 : code == Code.REFUSED ? 0 : 9);
        head.writeByte((unchanged ? 1 : 0) + (retryAfterMillis > 0 ? 1 : 0));
        if (unchanged) {
            field(head, "unchanged", "1");
        }
        if (retryAfterMillis > 0) {
            field(head, "pushback", Long.toString(retryAfterMillis));
        }
        return head.setInt(0, head.readableBytes() - LENGTH_BYTES + bodySize);
    }

    static void field(ByteBuf out, String name, String value) {
        out.writeByte(name.length());
        out.writeCharSequence(name, StandardCharsets.US_ASCII);
        out.writeShort(value.length());
        out.writeCharSequence(value, StandardCharsets.US_ASCII);
    }

    /** The optional fields of a readiness request: counters, rows about a subject, or a command. */
    static Map<String, String> requestedFields(ByteBuf frame) {
        return frame.isReadable() ? fields(frame) : Map.of();
    }

    /** Splits a text into values that fit into a field; text beyond the capacity of a frame is cut off. */
    static List<String> split(String text) {
        List<String> parts = new ArrayList<>();
        for (int from = 0; from < Math.min(text.length(), MAX_TEXT_BYTES); from += MAX_VALUE_BYTES) {
            parts.add(text.substring(from, Math.min(text.length(), from + MAX_VALUE_BYTES)));
        }
        return parts;
    }

    /** Encodes the answer to a readiness request, with these fields. */
    static ByteBuf readiness(ByteBufAllocator allocator, int stream, boolean ready, Map<String, String> fields) {
        ByteBuf out = allocator
                .ioBuffer(16)
                .writeInt(0)
                .writeByte(READINESS)
                .writeInt(stream)
                .writeByte(ready ? 1 : 0)
                .writeByte(fields.size());
        fields.forEach((name, value) -> field(out, name, value));
        return out.setInt(0, out.readableBytes() - LENGTH_BYTES);
    }

    /** Encodes the request to the client to send no new requests on this connection. */
    static ByteBuf drain(ByteBufAllocator allocator) {
        return allocator.ioBuffer(16).writeInt(HEADER_BYTES).writeByte(DRAIN).writeInt(0);
    }
}
