package pumicemoor.extproc;

import com.google.protobuf.ByteString;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import pumicemoor.extproc.proto.HeaderMap;
import pumicemoor.extproc.proto.HeaderMutation;
import pumicemoor.extproc.proto.HeaderValue;
import pumicemoor.extproc.proto.HeaderValueOption;
import pumicemoor.node.Effect;
import pumicemoor.node.Input.AnswerStatus;

/** The headers that callers send and are told, by name; it only words them. */
final class Headers {

    static final String END = "x-pumicemoor-end";
    private static final String NOTE = "x-pumicemoor-note";
    private static final int MOST = 200;

    private Headers() {}

    /** By lower-case name, the first of each; empty where they are too many or not text. */
    static Optional<Map<String, String>> read(HeaderMap headers) {
        if (headers.getHeadersCount() > MOST) {
            return Optional.empty();
        }
        Map<String, String> read = new LinkedHashMap<>();
        for (HeaderValue h : headers.getHeadersList()) {
            String value = h.getValue();
            if (value.isEmpty() && !h.getRawValue().isEmpty()) {
                try {
                    value = StandardCharsets.UTF_8
                            .newDecoder()
                            .decode(h.getRawValue().asReadOnlyByteBuffer())
                            .toString();
                } catch (CharacterCodingException e) {
                    if (h.getKey().startsWith(":") || h.getKey().startsWith("x-")) {
                        return Optional.empty(); // one that decides
                    }
                    continue; // a header that is no matter here may hold any bytes
                }
            }
            read.putIfAbsent(h.getKey().toLowerCase(Locale.ROOT), value);
        }
        return Optional.of(read);
    }

    /** What an attempt is to be, each header replaced where the request had one. */
    static HeaderMutation name(Effect.AnnounceAttempt name) {
        HeaderMutation.Builder all = HeaderMutation.newBuilder();
        set(all, "x-pumicemoor-cache", name.instance());
        set(all, "x-pumicemoor-address", name.address());
        set(all, "x-pumicemoor-source", name.source() == null ? "" : name.source());
        set(all, "x-pumicemoor-way", String.join("+", name.fillPath()));
        set(all, "x-pumicemoor-keep-rank", Integer.toString(name.keepRank()));
        set(all, "x-pumicemoor-oldest-ms", Long.toString(name.maxAgeMillis()));
        set(all, "x-pumicemoor-flags", flags(name));
        set(all, "x-pumicemoor-attempt", Integer.toString(name.attempt()));
        set(all, "x-pumicemoor-timeout-ms", Long.toString(name.timeoutMillis()));
        return all.build();
    }

    private static String flags(Effect.AnnounceAttempt name) {
        java.util.StringJoiner flags = new java.util.StringJoiner("+");
        if (name.join()) {
            flags.add("collapse");
        }
        if (name.onlyIfCached()) {
            flags.add("only-if-cached");
        }
        if (name.renew()) {
            flags.add("refresh");
        }
        return flags.toString();
    }

    static HeaderMutation refusal(String end, long stayAwayMillis) {
        HeaderMutation.Builder all = HeaderMutation.newBuilder();
        set(all, END, end);
        if (stayAwayMillis > 0) {
            set(all, "retry-after", Long.toString((stayAwayMillis + 999) / 1_000)); // seconds, RFC 9110 10.2.3
            set(all, "x-pumicemoor-stay-away-ms", Long.toString(stayAwayMillis));
        }
        return all.build();
    }

    private static void set(HeaderMutation.Builder all, String key, String value) {
        all.addSetHeaders(HeaderValueOption.newBuilder()
                .setAppendAction(HeaderValueOption.HeaderAppendAction.OVERWRITE_IF_EXISTS_OR_ADD)
                .setHeader(HeaderValue.newBuilder().setKey(key).setRawValue(ByteString.copyFromUtf8(value))));
    }

    /**
     * How an attempt ended by its response: by the word that a cache of ours gives, else by the status. 429 proves
     * that nothing ran; any 5xx may have run; everything else is an answer to the client.
     */
    static AnswerStatus end(Map<String, String> headers) {
        String told = headers.get(END);
        if (told != null) {
            for (AnswerStatus w : AnswerStatus.values()) {
                if (w.name().toLowerCase(Locale.ROOT).equals(told)) {
                    return w;
                }
            }
        }
        String status = headers.getOrDefault(":status", "");
        return status.equals("429")
                ? AnswerStatus.FULL
                : status.equals("304")
                        ? AnswerStatus.UNCHANGED
                        : status.startsWith("5") || status.isEmpty() ? AnswerStatus.FAILED : AnswerStatus.DATA;
    }

    static String note(Map<String, String> headers) {
        return headers.get(NOTE);
    }
}
