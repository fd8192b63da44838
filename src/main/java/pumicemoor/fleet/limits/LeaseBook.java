package pumicemoor.fleet.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What a grantor has given of one limit, and so what is left. Every router of the fleet that holds no lease of this
 * grantor counts with its even part, which is what it may spend by itself, wherever it is; one that holds leases counts
 * with the largest that it may still live by. So the sum stays within the limit whatever the grantor can't see.
 */
public final class LeaseBook {

    private static final double AHEAD = 1.25;  // of what is wanted, so that a rising demand shows

    private record Given(long number, double amount, long until) {
    }

    private static final class Holder {
        long instance;
        long lastAsk;
        long shown;  // the grant that it last showed to live by, 0 for none
        double wanted;
        double inUse;
        final List<Given> given = new ArrayList<>();

        /**
         * The most that it may be spending. A grant need not have reached it: unless one that it showed still lasts, it
         * may be on its even part.
         */
        double counts(double even) {
            boolean leased = given.stream().anyMatch(g -> g.number() == shown);
            return Math.max(leased ? inUse : Math.max(inUse, even),
                    given.stream().mapToDouble(Given::amount).max().orElse(0));
        }
    }

    private final FleetLimit limit;
    private final LeaseTimes times;
    private final Map<String, Holder> holders = new HashMap<>();

    public LeaseBook(FleetLimit limit, LeaseTimes times) {
        this.limit = limit;
        this.times = times;
    }

    /** How many hold a lease of this grantor. */
    public int holders() {
        return holders.size();
    }

    /** The sum of all that may be spent, as far as this grantor must count. */
    public double counted(int routers) {
        double even = limit.evenPart(routers);
        return holders.values().stream().mapToDouble(h -> h.counts(even)).sum()
                + Math.max(0, routers - holders.size()) * even;
    }

    /**
     * Answers an ask with a part of the limit, or with -1 where a newer ask of that router was answered before. Holds is
     * the ask whose grant it lives by, 0 for none; then it counts with the even part until it shows that it has a lease.
     */
    public double ask(long now, String router, long instance, long number, long holds, double wanted, double inUse,
            int routers) {
        expire(now);
        Holder h = holders.computeIfAbsent(router, r -> new Holder());
        if (h.instance != instance) {
            if (instance < h.instance) {
                return -1;
            }
            h.instance = instance;  // what its process before held is counted until it ends
            h.lastAsk = 0;
        }
        if (number <= h.lastAsk) {
            return -1;
        }
        h.lastAsk = number;
        h.wanted = Math.min(limit.amount(), wanted);
        h.inUse = limit.measure().whole ? inUse : 0;
        // a lease shown that is not in the book has ended here: who shows it may be on its even part by now
        h.shown = h.given.stream().anyMatch(g -> g.number() == holds) ? holds : 0;
        h.given.removeIf(g -> g.number() < h.shown);
        double part = part(h, routers);
        h.given.add(new Given(number, part, now + times.lease()));
        return part;
    }

    private double part(Holder asker, int routers) {
        double even = limit.evenPart(routers);
        double pool = Math.min(limit.amount(), holders.size() * even);
        double others = holders.values().stream().filter(h -> h != asker).mapToDouble(h -> h.counts(even)).sum();
        double part = Math.max(limit.leastPart(routers), Math.min(fair(asker, pool), pool - others));
        return limit.measure().whole ? Math.max(1, Math.floor(part + 1e-9)) : part;
    }

    /** The even share of the pool among those that want more than it, each other's whole wish, and of what is left. */
    private double fair(Holder asker, double pool) {
        double[] wishes = holders.values().stream().mapToDouble(this::wish).sorted().toArray();
        double left = Math.max(0, pool);
        double level = 0;
        for (int i = 0; i < wishes.length; i++) {
            level = left / (wishes.length - i);
            if (wishes[i] > level) {
                break;
            }
            left -= wishes[i];
            level = Double.MAX_VALUE;
        }
        return level == Double.MAX_VALUE ? wish(asker) + left / wishes.length : Math.min(level, wish(asker));
    }

    private double wish(Holder h) {
        return h.wanted * AHEAD;
    }

    /** Forgets what has ended. */
    public void expire(long now) {
        holders.values().forEach(h -> h.given.removeIf(g -> now >= g.until()));
        holders.values().removeIf(h -> h.given.isEmpty());
    }
}
