package pumicemoor.fleet.limits;

import pumicemoor.RouterApi.LimitMeasure;

/**
 * A limit that the fleet holds together: so much of this measure at one member by all routers. Whole parts are those
 * of things that can't be divided.
 */
public record FleetLimit(String name, long member, LimitMeasure measure, double amount) {

    private static final double LEAST = 0.1; // of the even part

    /** What each router of so many may spend by itself; a whole part is one at least. */
    public double evenPart(int routers) {
        double part = amount / Math.max(1, routers);
        return measure.wholeNumbers ? Math.max(1, Math.floor(part)) : part;
    }

    /** The least that a lease is for: enough to show what is wanted. */
    double leastPart(int routers) {
        return measure.wholeNumbers ? 1 : evenPart(routers) * LEAST;
    }
}
