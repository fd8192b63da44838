package pumicemoor.fleet.limits;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The grantor's table of leases on one limit, from which follows what is left to grant. Every router of the fleet that
 * holds no lease of this grantor counts with its even share, which is what it may spend without a lease, wherever it
 * is; a holder of leases counts with the largest that may still be in force at it. So the sum stays within the limit
 * whatever the grantor can't observe. A holder may represent several routers, a cell: it counts with as many even
 * shares, and at least with what the table of its own grantor counts.
 */
public final class LeaseTable {

    // Granted above the reported demand, so that a rising demand can show.
    private static final double DEMAND_HEADROOM_FACTOR = 1.25;

    private record Grant(long number, int routers, double amount, long expiresAt) {}

    /**
     * The sender of a request: its name and process instance, the number of the request, the number of the request
     * whose grant is in force at it (0 for none), and how many routers it represents.
     */
    public record Requester(String name, long instance, long number, long grantInForce, int routers) {}

    /** Gives what the holders in a table may spend together, by the number of routers that they represent. */
    public interface PoolSize {

        double forRouters(int routers);
    }

    private static final class Holder {
        long instance;
        long lastRequest;
        long confirmedGrant; // the grant in force by its last request, 0 for none
        double demand;
        double inUse;
        int routers = 1; // that it represents
        final List<Grant> grants = new ArrayList<>();

        /**
         * Returns the most that this holder may be spending. A grant may not have reached it: unless one that it
         * confirmed is still in force, it may be using its even share. Where it represents more routers now than in the
         * request of a grant, it may be using that grant plus the even shares of the added routers.
         */
        double maxSpend(double evenShare) {
            boolean leased = false;
            double max = inUse;
            for (Grant grant : grants) {
                leased |= grant.number() == confirmedGrant;
                max = Math.max(max, grant.amount() + Math.max(0, routers - grant.routers()) * evenShare);
            }
            return leased ? max : Math.max(max, evenShare * routers);
        }
    }

    private final FleetLimit limit;
    private final LeaseTimes times;
    private final Map<String, Holder> holders = new HashMap<>();

    public LeaseTable(FleetLimit limit, LeaseTimes times) {
        this.limit = limit;
        this.times = times;
    }

    /** Returns how many holders have a lease of this grantor. */
    public int holderCount() {
        return holders.size();
    }

    /** Returns how many routers the holders represent. */
    public int representedRouters() {
        int held = 0;
        for (Holder h : holders.values()) {
            held += h.routers;
        }
        return held;
    }

    /** Returns the most that the holders may be spending together. */
    public double maxHolderSpend(int routers) {
        return countedExcept(null, routers);
    }

    private double countedExcept(Holder excluded, int routers) {
        double evenShare = limit.evenShare(routers);
        return holders.values().stream()
                .filter(h -> h != excluded)
                .mapToDouble(h -> h.maxSpend(evenShare))
                .sum();
    }

    /** Returns the total demand of the holders. */
    public double totalDemand() {
        return holders.values().stream().mapToDouble(h -> h.demand).sum();
    }

    /** Returns the most that the whole fleet may be spending, as far as this grantor can know. */
    public double maxFleetSpend(int routers) {
        return maxHolderSpend(routers) + Math.max(0, routers - representedRouters()) * limit.evenShare(routers);
    }

    /**
     * Answers a request with a share of the limit, or with -1 if a newer request of that router was answered before.
     * {@code grantInForce} is the number of the request whose grant is in force at the router. If it is 0, for none,
     * the router counts with its even share until a request confirms a lease.
     */
    public double ask(
            long now,
            String router,
            long instance,
            long number,
            long grantInForce,
            double demand,
            double inUse,
            int routers) {
        return ask(
                now,
                new Requester(router, instance, number, grantInForce, 1),
                demand,
                limit.measure().wholeNumbers ? inUse : 0,
                routers,
                held -> held * limit.evenShare(routers));
    }

    /** Answers a request of a holder that may represent several routers and counts with at least {@code inUse}. */
    public double ask(long now, Requester requester, double demand, double inUse, int routers, PoolSize pool) {
        expire(now);
        Holder holder = holders.computeIfAbsent(requester.name(), name -> new Holder());
        if (holder.instance != requester.instance()) {
            if (requester.instance() < holder.instance) {
                return -1;
            }
            holder.instance = requester.instance(); // leases of its previous process count until they expire
            holder.lastRequest = 0;
        }
        if (requester.number() <= holder.lastRequest) {
            return -1;
        }
        holder.lastRequest = requester.number();
        holder.demand = Math.min(limit.amount(), demand);
        holder.inUse = inUse;
        holder.routers = requester.routers();
        // a confirmed lease that is not in the table has expired here: its holder may be using its even share by now
        holder.confirmedGrant = holder.grants.stream().anyMatch(g -> g.number() == requester.grantInForce())
                ? requester.grantInForce()
                : 0;
        holder.grants.removeIf(g -> g.number() < holder.confirmedGrant);
        double share = shareOf(holder, routers, Math.min(limit.amount(), pool.forRouters(representedRouters())));
        holder.grants.add(new Grant(requester.number(), requester.routers(), share, now + times.leaseMicros()));
        return share;
    }

    private double shareOf(Holder requester, int routers, double pool) {
        double left = pool - countedExcept(requester, routers);
        double share =
                Math.max(limit.minShare(routers) * requester.routers, Math.min(fairShare(requester, pool), left));
        return limit.measure().wholeNumbers ? Math.max(requester.routers, Math.floor(share + 1e-9)) : share;
    }

    /**
     * Returns the holder's max-min fair share of the pool, weighted by the routers that each holder represents: a
     * holder whose demand is below the fair level gets its whole demand, and the others divide the rest evenly by
     * router. If the pool covers every demand, the remainder is divided evenly too.
     */
    private double fairShare(Holder requester, double pool) {
        List<Holder> byDemand = new ArrayList<>(holders.values());
        byDemand.sort(Comparator.comparingDouble(h -> demandWithHeadroom(h) / h.routers));
        double left = Math.max(0, pool);
        int totalRouters = representedRouters();
        int remainingRouters = totalRouters;
        double level = 0;
        for (Holder h : byDemand) {
            level = left / remainingRouters;
            if (demandWithHeadroom(h) > level * h.routers) {
                break;
            }
            left -= demandWithHeadroom(h);
            remainingRouters -= h.routers;
            level = Double.MAX_VALUE;
        }
        return level == Double.MAX_VALUE
                ? demandWithHeadroom(requester) + left * requester.routers / totalRouters
                : Math.min(level * requester.routers, demandWithHeadroom(requester));
    }

    private double demandWithHeadroom(Holder h) {
        return h.demand * DEMAND_HEADROOM_FACTOR;
    }

    /** Removes expired grants, and holders without any. */
    public void expire(long now) {
        holders.values().removeIf(h -> {
            h.grants.removeIf(g -> now >= g.expiresAt());
            return h.grants.isEmpty();
        });
    }
}
