package pumicemoor.fleet.limits;

import pumicemoor.RouterApi.LimitMeasure;

/**
 * A limit on what all routers of the fleet together may spend at one member, in units of the measure. Some measures
 * count things that can't be divided (requests in flight, for instance); their shares are whole numbers.
 */
public record FleetLimit(String name, long member, LimitMeasure measure, double amount) {

    private static final double MIN_SHARE_FACTOR = 0.1; // of the even share

    /** Returns what each of this many routers may spend without a lease; a share in whole numbers is at least one. */
    public double evenShare(int routers) {
        double share = amount / Math.max(1, routers);
        return measure.wholeNumbers ? Math.max(1, Math.floor(share)) : share;
    }

    /** Returns the smallest share that a lease grants: enough for a router's demand to show. */
    double minShare(int routers) {
        return measure.wholeNumbers ? 1 : evenShare(routers) * MIN_SHARE_FACTOR;
    }
}
