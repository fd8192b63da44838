package pumicemoor.fleet.drains;

/**
 * A member that is to be taken out of service.
 *
 * @param tier the tier of the member
 * @param requests a bit mask of the slots of the drain requests that include the member
 * @param fence the stamp of the plan that brought the member into its phase: a fencing token that every command about
 *     the phase names, so that the command is void once the phase has changed
 * @param since when the member entered its phase, by the leader's clock, in Unix microseconds
 */
public record DrainOrder(long member, MemberKind tier, int requests, Phase phase, long fence, long since) {

    DrainOrder withPhase(Phase nextPhase, long stamp, long now) {
        return new DrainOrder(member, tier, requests, nextPhase, stamp, now);
    }

    boolean isFor(DrainRequest request) {
        return (requests & 1 << request.slot()) != 0;
    }
}
