package pumicemoor.fleet.drains;

/**
 * A member that is to be taken out, for the requests whose slots are set in the mask. The fence is the stamp of the plan
 * that brought it into its phase: who acts on a phase names it, and is too late once it has changed. Since is that
 * moment by the keeper's clock, Unix microseconds.
 */
public record DrainOrder(long member, MemberKind tier, int requests, Phase phase, long fence, long since) {

    DrainOrder in(Phase next, long stamp, long now) {
        return new DrainOrder(member, tier, requests, next, stamp, now);
    }

    boolean isFor(DrainRequest request) {
        return (requests & 1 << request.slot()) != 0;
    }
}
