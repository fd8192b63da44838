package pumicemoor.fleet.limits;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A cell's share of one limit, as its grantor holds it: a lease of the level above, for as many routers as its book held
 * when it asked. Routers that came into the book since bring their even parts along, those that fell out take theirs
 * away. It owns the lease and for how many it was asked; it must never lend out by itself.
 */
public final class CellShare {

    private static final int ASKS = 16; // that are remembered

    private final HeldLease lease;
    private final LeaseTimes upper;
    private final long routersLease;
    private final Map<Long, Integer> asked = new LinkedHashMap<>(); // for how many routers each ask was
    private int askedFor; // routers, in the ask whose grant is lived by
    private double amount;

    /** Times are those of the level above; routersLease is how long a router's lease of this cell lasts (microseconds). */
    public CellShare(FleetLimit limit, LeaseTimes upper, long routersLease, long startedAt) {
        this.lease = new HeldLease(limit, upper, startedAt);
        this.upper = upper;
        this.routersLease = routersLease;
    }

    public FleetLimit limit() {
        return lease.limit();
    }

    public boolean leased(long now) {
        return lease.leased(now);
    }

    /** Until when the lease lasts, Unix microseconds; long ago where there never was one. */
    public long until() {
        return lease.until();
    }

    /** Whether the level above may still count on this share in whatever way. */
    public boolean over(long now) {
        return now >= lease.until() + upper.shrink();
    }

    /** The name of the one that the lease is from; empty for none. */
    public String grantor() {
        return lease.grantor();
    }

    /** The number of the grant that is lived by, to be told in an ask for so many routers, or -1 where none may be sent yet. */
    public long asks(long now, String name, long instance, long number, int routers) {
        long holds = lease.asks(now, name, instance, number);
        if (holds >= 0) {
            asked.put(number, routers);
            if (asked.size() > ASKS) {
                asked.remove(asked.keySet().iterator().next());
            }
        }
        return holds;
    }

    /** Takes a grant; false where it comes too late, twice or behind a newer one. */
    public boolean granted(long now, String name, long instance, long number, double part) {
        Integer routers = asked.get(number);
        if (routers == null || !lease.granted(now, name, instance, number, part)) {
            return false;
        }
        askedFor = routers;
        amount = part;
        asked.keySet().removeIf(n -> n <= number);
        return true;
    }

    /**
     * What the cell's routers may spend together in all the time that a lease lasts which is given now, where the book
     * holds so many of them, in a fleet of so many.
     */
    public double pool(long now, int held, int routers) {
        double even = limit().evenPart(routers);
        double base = now + routersLease <= lease.until()
                ? amount
                : now < lease.until() + upper.shrink() ? Math.min(amount, askedFor * even) : askedFor * even;
        return base + (held - askedFor) * even;
    }
}
