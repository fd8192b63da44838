package pumicemoor.fleet.verdicts;

import pumicemoor.fleet.verdicts.FailureReport.Cause;

/**
 * What the fleet holds of a member. Versions order verdicts, whoever gave them and whenever they come: the keeper's
 * term, then its count. It stands for the time that is left (microseconds), unless a newer one comes. The evidence
 * is that of the accuser with the most strikes; accusers tells how many there were.
 */
public record Ejection(
        long member,
        long started,
        long version,
        boolean failing,
        long left,
        int accusers,
        Cause cause,
        int strikes,
        double failShare,
        String keeper) {

    private static final int TERM_SHIFT = 24;
    private static final long MOST_TERM = 1L << 38;

    /** The version that follows another, within a term. */
    static long next(long version, long term) {
        return Math.max(version + 1, (term << TERM_SHIFT) + 1);
    }

    static boolean possible(long version) {
        return version > 0 && version >> TERM_SHIFT < MOST_TERM;
    }

    /** The same with this much time left. */
    public Ejection withLeft(long time) {
        return new Ejection(member, started, version, failing, time, accusers, cause, strikes, failShare, keeper);
    }
}
