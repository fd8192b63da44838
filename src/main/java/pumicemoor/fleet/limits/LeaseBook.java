package pumicemoor.fleet.limits;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What a grantor has given of one limit, and so what is left. Every router of the fleet that holds no lease of this
 * grantor counts with its even part, which is what it may spend by itself, wherever it is; one that holds leases counts
 * with the largest that it may still live by. So the sum stays within the limit whatever the grantor can't see. A holder
 * may stand for several routers, a cell: it counts with as many even parts, and at least with what its own book counts.
 */
public final class LeaseBook {

    private static final double AHEAD = 1.25; // of what is wanted, so that a rising demand shows

    private record Given(long number, int routers, double amount, long until) {}

    /** Who asks: a process, the number of its ask, the ask whose grant it lives by, and for how many routers. */
    public record Asker(String name, long instance, long number, long holds, int routers) {}

    /** What the holders of a book may be spending together, by how many routers they stand for. */
    public interface Pool {

        double of(int held);
    }

    private static final class Holder {
        long instance;
        long lastAsk;
        long shown; // the grant that it last showed to live by, 0 for none
        double wanted;
        double inUse;
        int routers = 1; // that it stands for
        final List<Given> given = new ArrayList<>();

        /**
         * The most that it may be spending. A grant need not have reached it: unless one that it showed still lasts, it
         * may be on its even part. Where it stands for more routers now than in the ask of a grant, it may live by that
         * one and by what they brought along.
         */
        double counts(double even) {
            boolean leased = false;
            double most = inUse;
            for (Given g : given) {
                leased |= g.number() == shown;
                most = Math.max(most, g.amount() + Math.max(0, routers - g.routers()) * even);
            }
            return leased ? most : Math.max(most, even * routers);
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

    /** How many routers the holders stand for. */
    public int held() {
        int held = 0;
        for (Holder h : holders.values()) {
            held += h.routers;
        }
        return held;
    }

    /** The most that the holders may be spending together, of what they count with. */
    public double countedOfHolders(int routers) {
        return countedWithout(null, routers);
    }

    private double countedWithout(Holder one, int routers) {
        double even = limit.evenPart(routers);
        return holders.values().stream()
                .filter(h -> h != one)
                .mapToDouble(h -> h.counts(even))
                .sum();
    }

    /** What the holders want together. */
    public double wanted() {
        return holders.values().stream().mapToDouble(h -> h.wanted).sum();
    }

    /** The sum of all that may be spent, as far as this grantor must count. */
    public double counted(int routers) {
        return countedOfHolders(routers) + Math.max(0, routers - held()) * limit.evenPart(routers);
    }

    /**
     * Answers an ask with a part of the limit, or with -1 where a newer ask of that router was answered before. Holds is
     * the ask whose grant it lives by, 0 for none; then it counts with the even part until it shows that it has a lease.
     */
    public double ask(
            long now, String router, long instance, long number, long holds, double wanted, double inUse, int routers) {
        return ask(
                now,
                new Asker(router, instance, number, holds, 1),
                wanted,
                limit.measure().wholeNumbers ? inUse : 0,
                routers,
                held -> held * limit.evenPart(routers));
    }

    /** The same for one who may stand for several routers; in use is the least that it counts with. */
    public double ask(long now, Asker asker, double wanted, double inUse, int routers, Pool pool) {
        expire(now);
        Holder h = holders.computeIfAbsent(asker.name(), r -> new Holder());
        if (h.instance != asker.instance()) {
            if (asker.instance() < h.instance) {
                return -1;
            }
            h.instance = asker.instance(); // what its process before held is counted until it ends
            h.lastAsk = 0;
        }
        if (asker.number() <= h.lastAsk) {
            return -1;
        }
        h.lastAsk = asker.number();
        h.wanted = Math.min(limit.amount(), wanted);
        h.inUse = inUse;
        h.routers = asker.routers();
        // a lease shown that is not in the book has ended here: who shows it may be on its even part by now
        h.shown = h.given.stream().anyMatch(g -> g.number() == asker.holds()) ? asker.holds() : 0;
        h.given.removeIf(g -> g.number() < h.shown);
        double part = part(h, routers, Math.min(limit.amount(), pool.of(held())));
        h.given.add(new Given(asker.number(), asker.routers(), part, now + times.lease()));
        return part;
    }

    private double part(Holder asker, int routers, double pool) {
        double left = pool - countedWithout(asker, routers);
        double part = Math.max(limit.leastPart(routers) * asker.routers, Math.min(fair(asker, pool), left));
        return limit.measure().wholeNumbers ? Math.max(asker.routers, Math.floor(part + 1e-9)) : part;
    }

    /**
     * The even share of the pool, for each router stood for, among those that want more than it, each other's whole wish,
     * and of what is left.
     */
    private double fair(Holder asker, double pool) {
        List<Holder> modest = new ArrayList<>(holders.values());
        modest.sort(Comparator.comparingDouble(h -> wish(h) / h.routers));
        double left = Math.max(0, pool);
        int all = held();
        int routers = all;
        double level = 0;
        for (Holder h : modest) {
            level = left / routers;
            if (wish(h) > level * h.routers) {
                break;
            }
            left -= wish(h);
            routers -= h.routers;
            level = Double.MAX_VALUE;
        }
        return level == Double.MAX_VALUE
                ? wish(asker) + left * asker.routers / all
                : Math.min(level * asker.routers, wish(asker));
    }

    private double wish(Holder h) {
        return h.wanted * AHEAD;
    }

    /** Forgets what has ended. */
    public void expire(long now) {
        holders.values().removeIf(h -> {
            h.given.removeIf(g -> now >= g.until());
            return h.given.isEmpty();
        });
    }
}
