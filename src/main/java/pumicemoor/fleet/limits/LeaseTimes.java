package pumicemoor.fleet.limits;

/**
 * The times of leases, microseconds: how long one lasts, how late the answer to an ask may come to be used, and how long
 * after its lease a holder keeps to the lower of it and its even part, while others are brought down. The guard is what
 * a grantor may count a lease too long: the way of one ask.
 */
public record LeaseTimes(long lease, long guard, long shrink) {

    private static final int UPPER_LEASE =
            2; // times a cell's, so that what a router is lent ends before the cell's does
    private static final int UPPER_GUARD = 4; // times a cell's: the way between regions

    /** Those of one level: others' leases end, and the book forgets. */
    public LeaseTimes(long lease, long guard) {
        this(lease, guard, lease + guard);
    }

    /**
     * Those of a cell's share of a limit, for these of its routers: once its lease has ended the book above forgets it a
     * guard later, the other cells' shares end within a lease, and their routers' leases within one of theirs.
     */
    public LeaseTimes ofCells() {
        long upper = UPPER_LEASE * lease;
        return new LeaseTimes(upper, UPPER_GUARD * guard, UPPER_GUARD * guard + upper + lease);
    }

    /**
     * Those of a router in a cell: its cell's book forgets it a guard after its lease, the level above knows a lease and
     * a guard later at the latest, and then other cells' shares and their routers' leases end.
     */
    public LeaseTimes inCells() {
        LeaseTimes upper = ofCells();
        return new LeaseTimes(lease, guard, guard + upper.lease() + upper.shrink());
    }
}
