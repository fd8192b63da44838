package pumicemoor.fleet.verdicts;

/**
 * What one router's decision module holds against a member: the process meant, by its start, and the evidence. Of a cell
 * it is the worst of its routers' and how many of them accuse.
 */
public record FailureReport(long member, long started, Cause cause, int strikes, double failShare, int accusers) {

    /** One router's. */
    public FailureReport(long member, long started, Cause cause, int strikes, double failShare) {
        this(member, started, cause, strikes, failShare, 1);
    }

    /** What was seen: no answers, or answers that were failures. */
    public enum Cause {
        SILENT,
        FAILING
    }
}
