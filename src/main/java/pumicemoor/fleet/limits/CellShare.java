package pumicemoor.fleet.limits;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A cell's share of one limit, held by the cell's grantor: a lease from the upper level, for the number of routers in
 * the grantor's lease table at the time of the request. Routers that entered the table since add their even shares,
 * those that left it take theirs away. It owns the lease and the number of routers it was requested for; it must never
 * grant leases itself.
 */
public final class CellShare {

    private static final int MAX_PENDING_REQUESTS = 16;

    private final HeldLease lease;
    private final LeaseTimes upperTimes;
    private final long routerLeaseMicros;
    private final Map<Long, Integer> requestedRouters = new LinkedHashMap<>(); // routers by request number
    private int grantedRouters; // routers in the request of the grant in force
    private double amount;

    /** Creates the share with the times of the upper level and the duration of this cell's leases to routers. */
    public CellShare(FleetLimit limit, LeaseTimes upperTimes, long routerLeaseMicros, long startedAt) {
        this.lease = new HeldLease(limit, upperTimes, startedAt);
        this.upperTimes = upperTimes;
        this.routerLeaseMicros = routerLeaseMicros;
    }

    public FleetLimit limit() {
        return lease.limit();
    }

    public boolean leased(long now) {
        return lease.leased(now);
    }

    /** Returns when the lease expires (Unix microseconds); a time long past if there never was one. */
    public long expiresAt() {
        return lease.expiresAt();
    }

    /**
     * Returns whether this share has ended: its lease and the shrink time after it are over, so that the cell's routers
     * spend at most their even shares.
     */
    public boolean hasEnded(long now) {
        return now >= lease.expiresAt() + upperTimes.shrinkMicros();
    }

    /** Returns the name of the grantor of the lease, or an empty string if there was none. */
    public String grantor() {
        return lease.grantor();
    }

    /**
     * Records a request for this many routers and returns the number of the grant in force to send with it (0 if there
     * is none from this grantor), or -1 if no request may be sent yet.
     */
    public long recordRequest(long now, String name, long instance, long number, int routers) {
        long grantNumber = lease.recordRequest(now, name, instance, number);
        if (grantNumber >= 0) {
            requestedRouters.put(number, routers);
            if (requestedRouters.size() > MAX_PENDING_REQUESTS) {
                requestedRouters.remove(requestedRouters.keySet().iterator().next());
            }
        }
        return grantNumber;
    }

    /**
     * Applies a grant; returns false if it is too late, a duplicate, older than the one in force or above the limit.
     */
    public boolean applyGrant(long now, String name, long instance, long number, double share) {
        Integer routers = requestedRouters.get(number);
        if (routers == null || !lease.applyGrant(now, name, instance, number, share)) {
            return false;
        }
        grantedRouters = routers;
        amount = share;
        requestedRouters.keySet().removeIf(n -> n <= number);
        return true;
    }

    /**
     * Returns what the cell's routers may spend together throughout a lease that is granted now.
     *
     * @param representedRouters the number of routers in the lease table of the cell's grantor
     * @param routers the number of routers in the fleet
     */
    public double grantableAmount(long now, int representedRouters, int routers) {
        double evenShare = limit().evenShare(routers);
        double base = now + routerLeaseMicros <= lease.expiresAt()
                ? amount
                : now < lease.expiresAt() + upperTimes.shrinkMicros()
                        ? Math.min(amount, grantedRouters * evenShare)
                        : grantedRouters * evenShare;
        return base + (representedRouters - grantedRouters) * evenShare;
    }
}
