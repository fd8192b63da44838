package pumicemoor.fleet.limits;

/**
 * The times of leases, microseconds: how long one lasts, and how late the answer to an ask may come to be used. The
 * guard is what a grantor may count a lease too long: the way of one ask.
 */
public record LeaseTimes(long lease, long guard) {

    /** How long after its lease a router keeps to the lower of it and the even part, while others are brought down. */
    public long shrink() {
        return lease + guard;
    }
}
