package pumicemoor.operator;

import java.util.List;
import java.util.Optional;
import pumicemoor.calls.CallRules;
import pumicemoor.calls.FairAdmission;

/**
 * The section 'processor' of an operator's file: the address that proxies call, the rules that map their calls to
 * request classes, and the limits on calls. Times are microseconds, sizes bytes. The message timeout is the one that
 * the callers apply: an answer must be sent before it expires. The retry wait is how long an attempt stays available
 * for a caller that retries by itself (0: callers do not).
 */
public record ProcessorSection(
        String listen,
        Optional<Tls> tls,
        long messageTimeoutMicros,
        long retryWaitMicros,
        int headerBytes,
        int callsPerConnection,
        FairAdmission.Limits limits,
        CallRules.NoRule noRule,
        List<RuleSpec> rules) {

    /** PEM files: this router's certificate and key, and the authorities that sign the callers' certificates. */
    public record Tls(String certificate, String key, String callers) {}

    /** A rule as written in the file; its pattern is not compiled, so that reading a file twice gives equal rules. */
    public record RuleSpec(
            String method,
            String path,
            java.util.Map<String, String> headers,
            String requestClass,
            String groupHeader) {}

    /** Returns the rules with their patterns compiled. */
    public CallRules callRules() {
        return new CallRules(
                rules.stream()
                        .map(rule -> new CallRules.Rule(
                                rule.method(),
                                CallRules.Rule.pattern(rule.path()),
                                rule.headers(),
                                rule.requestClass(),
                                rule.groupHeader()))
                        .toList(),
                noRule);
    }

    /**
     * Returns whether a running router can switch from the other section to this one: the address, TLS, and the bounds
     * that are fixed when the server is built (header bytes, calls per connection) must be the same.
     */
    public boolean canReplaceWhileRunning(ProcessorSection other) {
        return listen.equals(other.listen)
                && tls.equals(other.tls)
                && headerBytes == other.headerBytes
                && callsPerConnection == other.callsPerConnection;
    }
}
