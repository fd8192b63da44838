package pumicemoor.operator;

import java.util.List;
import java.util.Optional;
import pumicemoor.calls.CallRules;
import pumicemoor.calls.FairAdmission;

/**
 * The section 'processor': where proxies call, what they may ask for and how much of it. Times are microseconds,
 * sizes bytes. The message time-out is the callers' own, before which an answer must have left; the retry wait is how
 * long an attempt is held ready for a caller that tries again by itself (0: callers do not).
 */
public record ProcessorSection(
        String listen,
        Optional<Tls> tls,
        long messageTimeout,
        long retryWait,
        int headerBytes,
        int callsPerConnection,
        FairAdmission.Limits limits,
        CallRules.NoRule noRule,
        List<RuleText> rules) {

    /** Files in PEM: this router's certificate and key, and who signs the callers' certificates. */
    public record Tls(String certificate, String key, String callers) {}

    /** A rule as it stands in the file, so that two readings of one file are equal. */
    public record RuleText(
            String method,
            String path,
            java.util.Map<String, String> headers,
            String requestClass,
            String groupHeader) {}

    /** The rules, their patterns compiled. */
    public CallRules callRules() {
        return new CallRules(
                rules.stream()
                        .map(r -> new CallRules.Rule(
                                r.method(),
                                CallRules.Rule.pattern(r.path()),
                                r.headers(),
                                r.requestClass(),
                                r.groupHeader()))
                        .toList(),
                noRule);
    }

    /** Whether a running router can go over to this from another: what it listens on and by stays the same. */
    public boolean follows(ProcessorSection other) {
        return listen.equals(other.listen)
                && tls.equals(other.tls)
                && headerBytes == other.headerBytes
                && callsPerConnection == other.callsPerConnection;
    }
}
