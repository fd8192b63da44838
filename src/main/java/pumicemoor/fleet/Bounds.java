package pumicemoor.fleet;

import pumicemoor.fleet.cells.CellFleet;

/** The stated bounds of docs/fleet-design.md as formulas, for tests and for who watches a fleet. */
public final class Bounds {

    private Bounds() {}

    private static int log(int routers) {
        return Math.max(1, 32 - Integer.numberOfLeadingZeros(routers));
    }

    /** Gossip periods until news is at every router of a fleet of so many, with up to 30 % of packets lost. */
    public static int spread(int routers) {
        return 5 + 3 * log(routers);
    }

    /**
     * Microseconds until a verdict of the keeper is at every router of a fleet of cells: gossip among so many delegates,
     * then in a cell of so many routers, whose period is given (microseconds).
     */
    public static long spreadInCells(int delegates, int cell, long period) {
        return spread(delegates) * period * CellFleet.UPPER_PERIOD + spread(cell) * period;
    }

    /**
     * The most that all routers may spend of a limit at one moment (its own unit), where so many processes were started
     * anew within the last two shrink times of their leases.
     */
    public static double spent(double limit, int size, long startedAnew) {
        return limit + startedAnew * limit / size;
    }

    /**
     * Requests that so many routers send at most to a member within a time (microseconds): the limit for that time and
     * for a bucket's depth more, and one request for each router, since a bucket holds one at least.
     */
    public static double requests(double perSecond, long time, long bucket, int routers) {
        return perSecond * (time + bucket) / 1e6 + routers;
    }
}
