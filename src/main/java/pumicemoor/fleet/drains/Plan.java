package pumicemoor.fleet.drains;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Who is to be taken out, who is out, and under which budgets; the whole of it under one stamp: the term of the keeper who
 * wrote it, then its count. Of two plans the one with the higher stamp is the newer, whoever holds it. It must never change;
 * what follows from it is another plan.
 */
public record Plan(long stamp, List<DrainRequest> requests, List<DrainOrder> orders, List<Long> closed) {

    /** Before anyone has asked for anything. */
    public static final Plan NONE = new Plan(0, List.of(), List.of(), List.of());

    /** Terms are below this, so that a stamp has room for one. */
    public static final long MOST_TERM = 1L << 38;

    static final int MOST_REQUESTS = 31; // open at once
    static final int MOST_ORDERS = 256;
    static final int MOST_CLOSED = 32;
    private static final int TERM_SHIFT = 24;

    /** The first stamp of a term. */
    static long first(long term) {
        return term << TERM_SHIFT | 1;
    }

    static long term(long stamp) {
        return stamp >> TERM_SHIFT;
    }

    /** The same under another stamp. */
    Plan under(long other) {
        return new Plan(other, requests, orders, closed);
    }

    /** The order for a member, where there is one. */
    public Optional<DrainOrder> of(long member) {
        return orders.stream().filter(o -> o.member() == member).findFirst();
    }

    /** Whether this request was taken, and perhaps ended, before. */
    public boolean knows(long request) {
        return closed.contains(request) || requests.stream().anyMatch(r -> r.id() == request);
    }

    /** The least that any open request allows to be out at once. */
    public int mostOut() {
        return requests.stream()
                .filter(this::open)
                .mapToInt(DrainRequest::mostOut)
                .min()
                .orElse(0);
    }

    /** The most that any open request wants to serve in this tier. */
    public int leastServing(MemberKind tier) {
        return requests.stream()
                .filter(r ->
                        orders.stream().anyMatch(o -> o.tier() == tier && o.isFor(r) && o.phase() != Phase.FINISHED))
                .mapToInt(DrainRequest::leastServing)
                .max()
                .orElse(0);
    }

    /** How many are out now. */
    public int out() {
        return (int) orders.stream().filter(o -> o.phase().takesAPlace()).count();
    }

    private boolean open(DrainRequest r) {
        return orders.stream().anyMatch(o -> o.isFor(r) && o.phase() != Phase.FINISHED);
    }

    /**
     * With one more request; a member that is in the plan already is there for both. The same plan where the request was
     * taken before or there is no room for it.
     */
    Plan with(DrainCommand c, Map<Long, MemberKind> tiers, long next, long now) {
        int slot = 0;
        while (slot < MOST_REQUESTS && taken(slot)) {
            slot++;
        }
        Map<Long, DrainOrder> all = new TreeMap<>();
        c.members().stream().filter(tiers::containsKey).forEach(m -> all.put(m, null));
        long fresh = all.keySet().stream().filter(m -> of(m).isEmpty()).count();
        if (knows(c.id()) || slot == MOST_REQUESTS || all.isEmpty() || orders.size() + fresh > MOST_ORDERS) {
            return this;
        }
        List<DrainOrder> merged = new ArrayList<>();
        for (DrainOrder o : orders) {
            boolean meant = all.containsKey(o.member());
            all.remove(o.member());
            merged.add(
                    !meant
                            ? o
                            : o.phase() == Phase.FINISHED
                                    ? new DrainOrder(o.member(), o.tier(), 1 << slot, Phase.QUEUED, next, now)
                                    : new DrainOrder(
                                            o.member(),
                                            o.tier(),
                                            o.requests() | 1 << slot,
                                            o.phase(),
                                            o.fence(),
                                            o.since()));
        }
        for (long m : all.keySet()) {
            merged.add(new DrainOrder(m, tiers.get(m), 1 << slot, Phase.QUEUED, next, now));
        }
        List<DrainRequest> more = new ArrayList<>(requests);
        more.add(new DrainRequest(c.id(), slot, c.mostOut(), c.leastServing()));
        return new Plan(next, List.copyOf(more), List.copyOf(merged), closed);
    }

    private boolean taken(int slot) {
        return requests.stream().anyMatch(r -> r.slot() == slot);
    }

    /** Without the requests that have come to their end, whose members go with them. */
    Plan closedUp() {
        List<DrainRequest> ended = requests.stream().filter(r -> !open(r)).toList();
        if (ended.isEmpty()) {
            return this;
        }
        int gone = ended.stream().mapToInt(r -> 1 << r.slot()).sum();
        List<DrainOrder> kept = orders.stream()
                .map(o -> new DrainOrder(o.member(), o.tier(), o.requests() & ~gone, o.phase(), o.fence(), o.since()))
                .filter(o -> o.requests() != 0)
                .toList();
        List<Long> ids = new ArrayList<>(closed);
        ended.forEach(r -> ids.add(r.id()));
        return new Plan(
                stamp,
                requests.stream().filter(r -> !ended.contains(r)).toList(),
                kept,
                List.copyOf(ids.subList(Math.max(0, ids.size() - MOST_CLOSED), ids.size())));
    }
}
