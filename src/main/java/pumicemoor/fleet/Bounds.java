package pumicemoor.fleet;

/** The stated bounds of docs/fleet-design.md as formulas, for tests and for who watches a fleet. */
public final class Bounds {

    private Bounds() {
    }

    private static int log(int routers) {
        return Math.max(1, 32 - Integer.numberOfLeadingZeros(routers));
    }

    /** Gossip periods until news is at every router of a fleet of so many, with up to 30 % of packets lost. */
    public static int spread(int routers) {
        return 5 + 3 * log(routers);
    }

    /**
     * Requests that so many routers send at most to a member within a time (microseconds): the limit for that time and
     * for a bucket's depth more, and one request for each router, since a bucket holds one at least.
     */
    public static double requests(double perSecond, long time, long bucket, int routers) {
        return perSecond * (time + bucket) / 1e6 + routers;
    }
}
