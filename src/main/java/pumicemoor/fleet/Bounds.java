package pumicemoor.fleet;

import pumicemoor.fleet.cells.CellFleet;

/** The bounds stated in docs/fleet-design.md as formulas, for tests and for monitoring a fleet. */
public final class Bounds {

    private Bounds() {}

    private static int bitLength(int routers) {
        return Math.max(1, 32 - Integer.numberOfLeadingZeros(routers));
    }

    /**
     * Gossip periods until an update has reached every router of a fleet of this size, with up to 30 % of packets lost.
     */
    public static int spreadPeriods(int routers) {
        return 5 + 3 * bitLength(routers);
    }

    /**
     * Microseconds until an ejection by the leader has reached every router of a fleet of cells: gossip among this many
     * delegates, then within a cell of this many routers with this gossip period (microseconds).
     */
    public static long spreadInCellsMicros(int delegates, int routersInCell, long periodMicros) {
        return spreadPeriods(delegates) * periodMicros * CellFleet.UPPER_PERIOD_FACTOR
                + spreadPeriods(routersInCell) * periodMicros;
    }

    /**
     * The most that all routers together may use of a limit at one moment (in the limit's unit), where
     * {@code restarts} processes were restarted within the last two shrink times of their leases.
     */
    public static double maxTotalShares(double limit, int routers, long restarts) {
        return limit + restarts * limit / routers;
    }

    /**
     * The most requests that this many routers send to a member within a time (microseconds): what the limit allows in
     * that time plus the depth of a token bucket (microseconds), and one request for each router, since a bucket always
     * holds at least one.
     */
    public static double maxRequests(double perSecond, long micros, long bucketMicros, int routers) {
        return perSecond * (micros + bucketMicros) / 1e6 + routers;
    }
}
