package pumicemoor.fleet.limits;

import java.util.HashMap;
import java.util.Map;

/**
 * The holder's side of a lease: what one router may spend of one limit. It owns the lease, the pending requests, and
 * the fallback after a lease has expired: for the shrink time the lower of the leased and the even share,
 * so that the grantor can first reduce the others' shares, then the even share. A lease lasts from when its request was
 * sent, and a grant for an older request than that of the lease in force changes nothing, so late, duplicated and
 * reordered grants never add up.
 */
public final class HeldLease {

    private static final int MAX_PENDING_REQUESTS = 16;

    private final FleetLimit limit;
    private final LeaseTimes times;
    private final long startedAt;
    private final Map<Long, Long> requestSentAt = new HashMap<>(); // by request number
    private String grantor = "";
    private long grantorInstance;
    private long grantNumber; // of the lease last granted, 0 before the first
    private double amount;
    private long expiresAt = Long.MIN_VALUE / 2;

    public HeldLease(FleetLimit limit, LeaseTimes times, long startedAt) {
        this.limit = limit;
        this.times = times;
        this.startedAt = startedAt;
    }

    public FleetLimit limit() {
        return limit;
    }

    /** Returns what may be spent at this time in a fleet of this many routers. */
    public double currentShare(long now, int routers) {
        double evenShare = limit.evenShare(routers);
        if (now < expiresAt) {
            return amount;
        }
        if (now < Math.max(expiresAt, startedAt) + times.shrinkMicros()) {
            return grantNumber == 0 ? limit.minShare(routers) : Math.min(amount, evenShare);
        }
        return evenShare;
    }

    /** Returns what may be spent once the lease has expired if no further grant is received. */
    public double shareAfterExpiry(int routers) {
        return grantNumber == 0 ? limit.minShare(routers) : Math.min(amount, limit.evenShare(routers));
    }

    /** Returns when the share next changes without a grant, or Long.MAX_VALUE if it doesn't. */
    public long nextChangeAt(long now) {
        long evenShareAt = Math.max(expiresAt, startedAt) + times.shrinkMicros();
        return now < expiresAt ? expiresAt : now < evenShareAt ? evenShareAt : Long.MAX_VALUE;
    }

    public boolean leased(long now) {
        return now < expiresAt;
    }

    public long expiresAt() {
        return expiresAt;
    }

    public String grantor() {
        return grantor;
    }

    /**
     * Records a request to a grantor and returns the number of the grant in force to send with it (0 if there is none
     * from this grantor), or -1 if this grantor may not be asked yet: a grantor other than the last is asked only when
     * the last one no longer counts on the lease.
     */
    public long recordRequest(long now, String name, long instance, long number) {
        boolean sameGrantor = grantor.equals(name) && grantorInstance == instance;
        if (!sameGrantor && grantNumber != 0 && now < expiresAt + times.shrinkMicros()) {
            return -1;
        }
        if (requestSentAt.size() >= MAX_PENDING_REQUESTS) {
            requestSentAt.remove(
                    requestSentAt.keySet().stream().min(Long::compare).orElseThrow());
        }
        requestSentAt.put(number, now);
        return sameGrantor && now < expiresAt ? grantNumber : 0;
    }

    /**
     * Applies a grant; returns false if it is too late, a duplicate, older than the one in force or above the limit.
     */
    public boolean applyGrant(long now, String name, long instance, long number, double share) {
        Long sentAt = requestSentAt.remove(number);
        boolean sameGrantor = grantor.equals(name) && grantorInstance == instance;
        if (sentAt == null
                || now - sentAt > times.guardMicros()
                || sameGrantor && number <= grantNumber
                || !sameGrantor && grantNumber != 0 && now < expiresAt + times.shrinkMicros()
                || share > limit.amount()) {
            return false;
        }
        grantor = name;
        grantorInstance = instance;
        grantNumber = number;
        amount = share;
        expiresAt = sentAt + times.leaseMicros();
        return true;
    }
}
