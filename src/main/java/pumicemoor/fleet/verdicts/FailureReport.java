package pumicemoor.fleet.verdicts;

/**
 * The evidence of one router's decision module that a member fails: the member's process, identified by its start time,
 * and what was observed. The report of a cell carries the worst evidence of its routers and the number of routers that
 * report the member.
 */
public record FailureReport(
        long member, long memberStartedAt, Cause cause, int consecutiveFailures, double failureRate, int reporters) {

    /** Creates the report of a single router. */
    public FailureReport(long member, long memberStartedAt, Cause cause, int consecutiveFailures, double failureRate) {
        this(member, memberStartedAt, cause, consecutiveFailures, failureRate, 1);
    }

    /** The kind of failure observed: no answers, or answers that were failures. */
    public enum Cause {
        SILENT,
        FAILING
    }
}
