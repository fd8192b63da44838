package pumicemoor.fleet.verdicts;

/** What one router's decision module holds against a member: the process meant, by its start, and the evidence. */
public record Accusation(long member, long started, Cause cause, int strikes, double failShare) {

    /** What was seen: no answers, or answers that were failures. */
    public enum Cause { SILENT, FAILING }
}
