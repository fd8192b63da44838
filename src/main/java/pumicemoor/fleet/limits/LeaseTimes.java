package pumicemoor.fleet.limits;

/**
 * The durations that govern leases, in microseconds: how long a lease lasts (lease), how long after a request its grant
 * is still accepted (guard), and how long after its lease has ended a holder keeps to the lower of the leased and the
 * even share, while the shares of others are reduced (shrink). The grantor counts a lease from when it receives the
 * request, so it may count it longer than the holder does by up to the guard: the time that the request was in flight.
 */
public record LeaseTimes(long leaseMicros, long guardMicros, long shrinkMicros) {

    // a router's lease ends before that of its cell
    private static final int UPPER_LEASE_FACTOR = 2;
    // packets between delegates cross regions
    private static final int UPPER_GUARD_FACTOR = 4;

    /**
     * Creates the times of a fleet with a single level. After a lease has ended, the grantor's table drops it one guard
     * later, and the leases that were granted to others before end within one lease.
     */
    public LeaseTimes(long leaseMicros, long guardMicros) {
        this(leaseMicros, guardMicros, leaseMicros + guardMicros);
    }

    /**
     * Returns the times of a cell's share of a limit; these are the times of the leases of its routers. After a
     * cell's lease has ended, the upper grantor's table drops it one upper guard later, the other cells' shares end
     * within one upper lease, and the leases of their routers within one router lease.
     */
    public LeaseTimes forUpperLevel() {
        long upper = UPPER_LEASE_FACTOR * leaseMicros;
        return new LeaseTimes(
                upper, UPPER_GUARD_FACTOR * guardMicros, UPPER_GUARD_FACTOR * guardMicros + upper + leaseMicros);
    }

    /**
     * Returns the times of a router in a cell. The table of its cell's grantor drops its lease one guard after the
     * lease has ended, the upper level knows of it at most one upper lease and one upper guard later, and then the
     * other cells' shares and the leases of their routers end.
     */
    public LeaseTimes forCellRouters() {
        LeaseTimes upper = forUpperLevel();
        return new LeaseTimes(leaseMicros, guardMicros, guardMicros + upper.leaseMicros() + upper.shrinkMicros());
    }
}
