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
import pumicemoor.idempotency.RequestHistory;
import pumicemoor.node.Effect;
import pumicemoor.node.Input.AnswerStatus;

/** Decodes the HTTP headers that callers send, and encodes those sent to them; it makes no decision. */
final class Headers {

    static final String END = "x-pumicemoor-end";
    private static final String NOTE = "x-pumicemoor-note";
    private static final String ATTEMPT_COUNT = "x-envoy-attempt-count";
    private static final int MAX_HEADERS = 200;

    private Headers() {}

    /** The headers by lower-case name, the first value of each; empty if there are too many or one is not text. */
    static Optional<Map<String, String>> read(HeaderMap headers) {
        if (headers.getHeadersCount() > MAX_HEADERS) {
            return Optional.empty();
        }
        Map<String, String> read = new LinkedHashMap<>();
        for (HeaderValue header : headers.getHeadersList()) {
            String value = header.getValue();
            if (value.isEmpty() && !header.getRawValue().isEmpty()) {
                try {
                    value = StandardCharsets.UTF_8
                            .newDecoder()
                            .decode(header.getRawValue().asReadOnlyByteBuffer())
                            .toString();
                } catch (CharacterCodingException e) {
                    if (header.getKey().startsWith(":") || header.getKey().startsWith("x-")) {
                        return Optional.empty(); // the decision may depend on it
                    }
                    continue; // a header that no decision depends on may contain any bytes
                }
            }
            read.putIfAbsent(header.getKey().toLowerCase(Locale.ROOT), value);
        }
        return Optional.of(read);
    }

    /** The headers that describe an attempt; each replaces a header of the same name in the request. */
    static HeaderMutation attemptHeaders(Effect.AnnounceAttempt attempt) {
        HeaderMutation.Builder mutation = HeaderMutation.newBuilder();
        set(mutation, "x-pumicemoor-cache", attempt.instance());
        set(mutation, "x-pumicemoor-address", attempt.address());
        set(mutation, "x-pumicemoor-source", attempt.source() == null ? "" : attempt.source());
        set(mutation, "x-pumicemoor-way", String.join("+", attempt.fillPath()));
        set(mutation, "x-pumicemoor-keep-rank", Integer.toString(attempt.keepRank()));
        set(mutation, "x-pumicemoor-oldest-ms", Long.toString(attempt.maxAgeMillis()));
        set(mutation, "x-pumicemoor-flags", flags(attempt));
        set(mutation, "x-pumicemoor-attempt", Integer.toString(attempt.attempt()));
        set(mutation, "x-pumicemoor-timeout-ms", Long.toString(attempt.timeoutMillis()));
        return mutation.build();
    }

    private static String flags(Effect.AnnounceAttempt attempt) {
        java.util.StringJoiner flags = new java.util.StringJoiner("+");
        if (attempt.join()) {
            flags.add("collapse");
        }
        if (attempt.onlyIfCached()) {
            flags.add("only-if-cached");
        }
        if (attempt.renew()) {
            flags.add("refresh");
        }
        return flags.toString();
    }

    static HeaderMutation refusal(String end, long retryAfterMillis) {
        HeaderMutation.Builder mutation = HeaderMutation.newBuilder();
        set(mutation, END, end);
        if (retryAfterMillis > 0) {
            set(mutation, "retry-after", Long.toString((retryAfterMillis + 999) / 1_000)); // seconds, RFC 9110 10.2.3
            set(mutation, "x-pumicemoor-stay-away-ms", Long.toString(retryAfterMillis));
        }
        return mutation.build();
    }

    private static void set(HeaderMutation.Builder mutation, String key, String value) {
        mutation.addSetHeaders(HeaderValueOption.newBuilder()
                .setAppendAction(HeaderValueOption.HeaderAppendAction.OVERWRITE_IF_EXISTS_OR_ADD)
                .setHeader(HeaderValue.newBuilder().setKey(key).setRawValue(ByteString.copyFromUtf8(value))));
    }

    /**
     * How an attempt ended, according to its response: by the header that this system's caches set, else by the HTTP
     * status. 429 proves that the request did not run; after any 5xx it may have run; any other status is an answer to
     * the client.
     */
    static AnswerStatus endStatus(Map<String, String> headers) {
        String reported = headers.get(END);
        if (reported != null) {
            for (AnswerStatus status : AnswerStatus.values()) {
                if (status.name().toLowerCase(Locale.ROOT).equals(reported)) {
                    return status;
                }
            }
        }
        String httpStatus = headers.getOrDefault(":status", "");
        return httpStatus.equals("429")
                ? AnswerStatus.FULL
                : httpStatus.equals("304")
                        ? AnswerStatus.UNCHANGED
                        : httpStatus.startsWith("5") || httpStatus.isEmpty() ? AnswerStatus.FAILED : AnswerStatus.DATA;
    }

    /**
     * How often the caller has sent this request before, as Envoy counts it.
     */
    static int earlierTries(Map<String, String> headers) {
        String attemptCount = headers.getOrDefault(ATTEMPT_COUNT, "1");
        return attemptCount.matches("\\d{1,9}")
                ? Math.max(0, Integer.parseInt(attemptCount) - 1)
                : RequestHistory.UNKNOWN_TRIES;
    }

    static String note(Map<String, String> headers) {
        return headers.get(NOTE);
    }
}
