package pumicemoor.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.StringJoiner;
import java.util.regex.Pattern;
import pumicemoor.node.Effect;
import pumicemoor.node.Input.AnswerStatus;

/**
 * Encodes requests to cache servers and validates their answers, in the text protocol between router and caches. It has
 * no state, and must never write a value from a client whose syntax has not been checked.
 */
final class CacheProtocol {

    private static final Map<String, AnswerStatus> STATUS_BY_NAME = statusByName();
    private static final String PROBE_ID = "life"; // the id of a liveness probe; no client id has this form
    private static final Pattern ENTITY_TAG = Pattern.compile("[0-9A-Za-z._~-]{1,64}");
    private static final Pattern ISSUED_TIME = Pattern.compile("[0-9]{1,18}");

    private CacheProtocol() {}

    private static Map<String, AnswerStatus> statusByName() {
        Map<String, AnswerStatus> byName = new LinkedHashMap<>();
        for (AnswerStatus status : AnswerStatus.values()) {
            byName.put(status.name().toLowerCase(Locale.ROOT), status);
        }
        return byName;
    }

    /** The request line, which the body follows. */
    static ByteBuf request(ByteBufAllocator allocator, Effect.SendAttempt request) {
        StringBuilder line = new StringBuilder(192);
        line.append("ASK ")
                .append(request.id())
                .append(" cls=")
                .append(request.requestClass())
                .append(",item=")
                .append(request.object())
                .append(",chunk=")
                .append(request.part())
                .append(",limit=")
                .append(request.timeoutMillis());
        if (request.source() != null) {
            line.append(",miss=").append(request.source());
        }
        if (request.keepRank() > 0) {
            line.append(",prio=").append(request.keepRank());
        }
        if (request.maxAgeMillis() > 0) {
            line.append(",within=").append(request.maxAgeMillis());
        }
        StringJoiner flags = new StringJoiner("+", ",f=", "").setEmptyValue("");
        if (request.join()) {
            flags.add("collapse");
        }
        if (request.onlyIfCached()) {
            flags.add("only-if-cached");
        }
        if (request.bypassParent()) {
            flags.add("no-store-up");
        }
        if (request.renew()) {
            flags.add("refresh");
        }
        line.append(flags);
        if (request.clientCopyVersion() != null) {
            line.append(",mine=").append(request.clientCopyVersion());
        }
        if (!request.fillPath().isEmpty()) {
            line.append(",way=").append(String.join("+", request.fillPath()));
        }
        line.append(' ').append(request.body().size()).append("\r\n");
        return text(allocator, line);
    }

    /** The line end that follows a body. */
    static ByteBuf end(ByteBufAllocator allocator) {
        return text(allocator, "\r\n");
    }

    static ByteBuf quit(ByteBufAllocator allocator, String id) {
        return text(allocator, "QUIT " + id + "\r\n");
    }

    /** A liveness probe for the connection; it requests nothing else of the member. */
    static ByteBuf noop(ByteBufAllocator allocator) {
        return text(allocator, "NOOP " + PROBE_ID + "\r\n");
    }

    private static ByteBuf text(ByteBufAllocator allocator, CharSequence text) {
        ByteBuf buffer = allocator.ioBuffer(text.length());
        buffer.writeCharSequence(text, StandardCharsets.US_ASCII);
        return buffer;
    }

    /**
     * Why an answer is invalid, or null for a valid one. After an invalid answer, nothing else on its connection can be
     * trusted, whichever side caused the fault. An answer to no known request (request null) is checked for a known
     * status only.
     */
    static String findDefect(AnswerDecoder.Answer answer, Effect.SendAttempt request) {
        AnswerStatus status = status(answer.status());
        if (status == null) {
            return answer.status().equals("well") && answer.id().equals(PROBE_ID)
                    ? null
                    : "unknown answer status '" + answer.status() + "'";
        }
        if (request == null || status != AnswerStatus.DATA && status != AnswerStatus.UNCHANGED) {
            return null;
        }
        if (request.cacheable()
                && !ENTITY_TAG
                        .matcher(answer.fields().getOrDefault("entity", ""))
                        .matches()) {
            return "field 'entity' of an answer is missing or invalid";
        }
        if (request.cacheable()
                && !ISSUED_TIME
                        .matcher(answer.fields().getOrDefault("issued", ""))
                        .matches()) {
            return "field 'issued' of an answer is missing or invalid";
        }
        return status == AnswerStatus.UNCHANGED && (answer.body().isReadable() || request.clientCopyVersion() == null)
                ? "answer 'unchanged' has a body, or its request had no tag"
                : null;
    }

    /** The status with this name on the wire; null for an unknown one. */
    static AnswerStatus status(String text) {
        return STATUS_BY_NAME.get(text);
    }

    /** Parses a load report such as 'inflight:7;util:0.61'; entries that are not a name and a number are skipped. */
    static Map<String, Double> load(String text) {
        Map<String, Double> load = new LinkedHashMap<>();
        for (String pair : text == null ? new String[0] : text.split(";")) {
            int colon = pair.indexOf(':');
            try {
                if (colon > 0) {
                    load.put(pair.substring(0, colon), Double.valueOf(pair.substring(colon + 1)));
                }
            } catch (NumberFormatException e) {
                // not a number: the entry is skipped
            }
        }
        return load;
    }
}
