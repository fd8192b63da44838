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
 * The words of the lines between this router and cache servers. It owns no state, and must never put on a
 * line what a client sent without its form having been checked.
 */
final class CacheLine {

    private static final Map<String, AnswerStatus> WORDS = words();
    private static final String LIFE = "life"; // no id of a client's
    private static final Pattern ENTITY = Pattern.compile("[0-9A-Za-z._~-]{1,64}");
    private static final Pattern ISSUED = Pattern.compile("[0-9]{1,18}");

    private CacheLine() {}

    private static Map<String, AnswerStatus> words() {
        Map<String, AnswerStatus> words = new LinkedHashMap<>();
        for (AnswerStatus word : AnswerStatus.values()) {
            words.put(word.name().toLowerCase(Locale.ROOT), word);
        }
        return words;
    }

    /** The line of a request, up to its body. */
    static ByteBuf ask(ByteBufAllocator allocator, Effect.SendAttempt ask) {
        StringBuilder line = new StringBuilder(192);
        line.append("ASK ")
                .append(ask.id())
                .append(" cls=")
                .append(ask.requestClass())
                .append(",item=")
                .append(ask.object())
                .append(",chunk=")
                .append(ask.part())
                .append(",limit=")
                .append(ask.timeoutMillis());
        if (ask.source() != null) {
            line.append(",miss=").append(ask.source());
        }
        if (ask.keepRank() > 0) {
            line.append(",prio=").append(ask.keepRank());
        }
        if (ask.maxAgeMillis() > 0) {
            line.append(",within=").append(ask.maxAgeMillis());
        }
        StringJoiner how = new StringJoiner("+", ",f=", "").setEmptyValue("");
        if (ask.join()) {
            how.add("collapse");
        }
        if (ask.onlyIfCached()) {
            how.add("only-if-cached");
        }
        if (ask.bypassParent()) {
            how.add("no-store-up");
        }
        if (ask.renew()) {
            how.add("refresh");
        }
        line.append(how);
        if (ask.tag() != null) {
            line.append(",mine=").append(ask.tag());
        }
        if (!ask.fillPath().isEmpty()) {
            line.append(",way=").append(String.join("+", ask.fillPath()));
        }
        line.append(' ').append(ask.body().size()).append("\r\n");
        return text(allocator, line);
    }

    /** What stands behind a body. */
    static ByteBuf end(ByteBufAllocator allocator) {
        return text(allocator, "\r\n");
    }

    static ByteBuf quit(ByteBufAllocator allocator, String id) {
        return text(allocator, "QUIT " + id + "\r\n");
    }

    /** Asks whether the connection works; nothing more is asked of the member. */
    static ByteBuf noop(ByteBufAllocator allocator) {
        return text(allocator, "NOOP " + LIFE + "\r\n");
    }

    private static ByteBuf text(ByteBufAllocator allocator, CharSequence text) {
        ByteBuf buffer = allocator.ioBuffer(text.length());
        buffer.writeCharSequence(text, StandardCharsets.US_ASCII);
        return buffer;
    }

    /**
     * Why an answer cannot be one, whoever spoilt it, so that nothing else on its connection can be trusted
     * either; null for a good one. Where nobody asked (ask null), a whole answer is left at that.
     */
    static String unusable(AnswerDecoder.Answer answer, Effect.SendAttempt ask) {
        AnswerStatus word = word(answer.word());
        if (word == null) {
            return answer.word().equals("well") && answer.id().equals(LIFE)
                    ? null
                    : "the unknown word '" + answer.word() + "'";
        }
        if (ask == null || word != AnswerStatus.DATA && word != AnswerStatus.UNCHANGED) {
            return null;
        }
        if (ask.cacheable()
                && !ENTITY.matcher(answer.fields().getOrDefault("entity", "")).matches()) {
            return "an answer without a tag that can be read";
        }
        if (ask.cacheable()
                && !ISSUED.matcher(answer.fields().getOrDefault("issued", "")).matches()) {
            return "an answer without a time that can be read";
        }
        return word == AnswerStatus.UNCHANGED && (answer.body().isReadable() || ask.tag() == null)
                ? "a copy said to be unchanged that cannot be"
                : null;
    }

    /** The word that ends an attempt; null for one that is not known. */
    static AnswerStatus word(String text) {
        return WORDS.get(text);
    }

    /** A load report such as 'inflight:7;util:0.61'; what is no pair of name and number is skipped. */
    static Map<String, Double> load(String text) {
        Map<String, Double> load = new LinkedHashMap<>();
        for (String pair : text == null ? new String[0] : text.split(";")) {
            int at = pair.indexOf(':');
            try {
                if (at > 0) {
                    load.put(pair.substring(0, at), Double.valueOf(pair.substring(at + 1)));
                }
            } catch (NumberFormatException e) {
                // skipped
            }
        }
        return load;
    }
}
