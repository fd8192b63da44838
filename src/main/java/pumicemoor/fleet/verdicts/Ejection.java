package pumicemoor.fleet.verdicts;

import pumicemoor.fleet.verdicts.FailureReport.Cause;

/**
 * The fleet's decision on one process of a member: the member is ejected (failing is true), or an earlier ejection is
 * withdrawn (failing is false). Versions order decisions, whichever leader made them and whenever they arrive: the
 * leader's term in the high bits, then a count within the term. An ejection lasts for the time that is left
 * (microseconds) unless a newer decision replaces it. The evidence is that of the failure report with the most
 * consecutive failures; reporters is the number of routers that reported the member.
 */
public record Ejection(
        long member,
        long memberStartedAt,
        long version,
        boolean failing,
        long timeLeftMicros,
        int reporters,
        Cause cause,
        int consecutiveFailures,
        double failureRate,
        String leader) {

    private static final int TERM_SHIFT_BITS = 24;
    private static final long TERM_LIMIT = 1L << 38;

    /** Returns the lowest version that is above the given one and not of an earlier term than this one. */
    static long nextVersion(long version, long term) {
        return Math.max(version + 1, (term << TERM_SHIFT_BITS) + 1);
    }

    /** Whether a version is positive and its term is below the limit. */
    static boolean isValidVersion(long version) {
        return version > 0 && version >> TERM_SHIFT_BITS < TERM_LIMIT;
    }

    /** Returns the same decision with this much time left, in microseconds. */
    public Ejection withTimeLeft(long micros) {
        return new Ejection(
                member,
                memberStartedAt,
                version,
                failing,
                micros,
                reporters,
                cause,
                consecutiveFailures,
                failureRate,
                leader);
    }
}
