package pumicemoor.fleet.limits;

import java.util.HashMap;
import java.util.Map;

/**
 * What one router may spend of one limit, as it holds it. It owns the lease, the asks that are out, and what follows a
 * lease that ran out: for a lease's time the lower of it and the even part, so that the grantor can first bring the
 * others down, then the even part. A grant counts from when its ask left, and one for an older ask than that held
 * changes nothing, so late, doubled and reordered grants never add up.
 */
public final class HeldLease {

    private static final int ASKS = 16; // that are remembered

    private final FleetLimit limit;
    private final LeaseTimes times;
    private final long startedAt;
    private final Map<Long, Long> asked = new HashMap<>(); // when each ask left
    private String grantor = "";
    private long grantorInstance;
    private long holds;
    private double amount;
    private long until = Long.MIN_VALUE / 2;

    public HeldLease(FleetLimit limit, LeaseTimes times, long startedAt) {
        this.limit = limit;
        this.times = times;
        this.startedAt = startedAt;
    }

    public FleetLimit limit() {
        return limit;
    }

    /** What may be spent at this time in a fleet of so many. */
    public double part(long now, int routers) {
        double even = limit.evenPart(routers);
        if (now < until) {
            return amount;
        }
        if (now < Math.max(until, startedAt) + times.shrink()) {
            return holds == 0 ? limit.leastPart(routers) : Math.min(amount, even);
        }
        return even;
    }

    /** What may be spent from the end of the lease on, for one who hears nothing more. */
    public double after(int routers) {
        return holds == 0 ? limit.leastPart(routers) : Math.min(amount, limit.evenPart(routers));
    }

    /** When the part changes by itself; Long.MAX_VALUE for not any more. */
    public long changesAt(long now) {
        long even = Math.max(until, startedAt) + times.shrink();
        return now < until ? until : now < even ? even : Long.MAX_VALUE;
    }

    public boolean leased(long now) {
        return now < until;
    }

    public long until() {
        return until;
    }

    public String grantor() {
        return grantor;
    }

    /**
     * The number of the grant that is lived by, to be told to this router, or -1 where it may not be asked yet: one
     * other than the last grantor is asked only when that one can't count on the lease any more.
     */
    public long asks(long now, String name, long instance, long number) {
        boolean same = grantor.equals(name) && grantorInstance == instance;
        if (!same && holds != 0 && now < until + times.shrink()) {
            return -1;
        }
        if (asked.size() >= ASKS) {
            asked.remove(asked.keySet().stream().min(Long::compare).orElseThrow());
        }
        asked.put(number, now);
        return same && now < until ? holds : 0;
    }

    /** Takes a grant; false where it comes too late, twice or behind a newer one. */
    public boolean granted(long now, String name, long instance, long number, double part) {
        Long left = asked.remove(number);
        boolean same = grantor.equals(name) && grantorInstance == instance;
        if (left == null
                || now - left > times.guard()
                || same && number <= holds
                || !same && holds != 0 && now < until + times.shrink()
                || part > limit.amount()) {
            return false;
        }
        grantor = name;
        grantorInstance = instance;
        holds = number;
        amount = part;
        until = left + times.lease();
        return true;
    }
}
