package pumicemoor.fleet.drains;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The drain plan: which members are to be drained, which are out, and within which limits. An immutable value; every
 * change creates another plan. Of two plans the one with the higher stamp is newer, whichever router holds it.
 *
 * @param stamp the term of the leader that wrote the plan in the upper bits, then a count within the term
 * @param requests the open requests
 * @param closed the ids of the requests that ended last, oldest first
 */
public record Plan(long stamp, List<DrainRequest> requests, List<DrainOrder> orders, List<Long> closed) {

    /** The empty plan, before the first request. */
    public static final Plan NONE = new Plan(0, List.of(), List.of(), List.of());

    /** Terms must be below this limit, so that they fit in a stamp. */
    public static final long TERM_LIMIT = 1L << 38;

    static final int MAX_OPEN_REQUESTS = 31; // one bit each in DrainOrder.requests
    static final int MAX_ORDERS = 256;
    static final int MAX_CLOSED_REQUESTS = 32;
    private static final int TERM_SHIFT_BITS = 24;

    /** Returns the first stamp of a term. */
    static long firstStamp(long term) {
        return term << TERM_SHIFT_BITS | 1;
    }

    static long termOf(long stamp) {
        return stamp >> TERM_SHIFT_BITS;
    }

    /** Returns a copy with another stamp. */
    Plan withStamp(long newStamp) {
        return new Plan(newStamp, requests, orders, closed);
    }

    /** Returns the order for a member, if there is one. */
    public Optional<DrainOrder> orderFor(long member) {
        return orders.stream().filter(o -> o.member() == member).findFirst();
    }

    /** Returns whether the request is open or ended recently, so that a repeat of it has no effect. */
    public boolean containsRequest(long request) {
        return closed.contains(request) || requests.stream().anyMatch(r -> r.id() == request);
    }

    /** Returns the lowest limit that any open request sets on the members that are out at the same time. */
    public int maxOut() {
        return requests.stream()
                .filter(this::isOpen)
                .mapToInt(DrainRequest::maxOut)
                .min()
                .orElse(0);
    }

    /** Returns the highest number of serving members that any open request requires in this tier. */
    public int minServing(MemberKind tier) {
        return requests.stream()
                .filter(r ->
                        orders.stream().anyMatch(o -> o.tier() == tier && o.isFor(r) && o.phase() != Phase.FINISHED))
                .mapToInt(DrainRequest::minServing)
                .max()
                .orElse(0);
    }

    /** Returns how many members are out now. */
    public int out() {
        return (int) orders.stream().filter(o -> o.phase().countsAsOut()).count();
    }

    private boolean isOpen(DrainRequest request) {
        return orders.stream().anyMatch(o -> o.isFor(request) && o.phase() != Phase.FINISHED);
    }

    /**
     * Returns the plan with one more request. A member that is in the plan already belongs to both requests. Returns
     * this plan if it contains the request already or has no capacity for it.
     */
    Plan withRequest(DrainCommand command, Map<Long, MemberKind> tiers, long newStamp, long now) {
        int slot = 0;
        while (slot < MAX_OPEN_REQUESTS && slotTaken(slot)) {
            slot++;
        }
        Map<Long, DrainOrder> added = new TreeMap<>();
        command.members().stream().filter(tiers::containsKey).forEach(m -> added.put(m, null));
        long newMembers =
                added.keySet().stream().filter(m -> orderFor(m).isEmpty()).count();
        if (containsRequest(command.id())
                || slot == MAX_OPEN_REQUESTS
                || added.isEmpty()
                || orders.size() + newMembers > MAX_ORDERS) {
            return this;
        }
        List<DrainOrder> merged = new ArrayList<>();
        for (DrainOrder order : orders) {
            boolean requested = added.containsKey(order.member());
            added.remove(order.member());
            merged.add(
                    !requested
                            ? order
                            : order.phase() == Phase.FINISHED
                                    ? new DrainOrder(
                                            order.member(), order.tier(), 1 << slot, Phase.QUEUED, newStamp, now)
                                    : new DrainOrder(
                                            order.member(),
                                            order.tier(),
                                            order.requests() | 1 << slot,
                                            order.phase(),
                                            order.fence(),
                                            order.since()));
        }
        for (long member : added.keySet()) {
            merged.add(new DrainOrder(member, tiers.get(member), 1 << slot, Phase.QUEUED, newStamp, now));
        }
        List<DrainRequest> allRequests = new ArrayList<>(requests);
        allRequests.add(new DrainRequest(command.id(), slot, command.maxOut(), command.minServing()));
        return new Plan(newStamp, List.copyOf(allRequests), List.copyOf(merged), closed);
    }

    private boolean slotTaken(int slot) {
        return requests.stream().anyMatch(r -> r.slot() == slot);
    }

    /** Returns the plan without the requests that have ended, and without members that only those included. */
    Plan withoutEndedRequests() {
        List<DrainRequest> ended = requests.stream().filter(r -> !isOpen(r)).toList();
        if (ended.isEmpty()) {
            return this;
        }
        int endedSlots = ended.stream().mapToInt(r -> 1 << r.slot()).sum();
        List<DrainOrder> kept = orders.stream()
                .map(o -> new DrainOrder(
                        o.member(), o.tier(), o.requests() & ~endedSlots, o.phase(), o.fence(), o.since()))
                .filter(o -> o.requests() != 0)
                .toList();
        List<Long> closedIds = new ArrayList<>(closed);
        ended.forEach(r -> closedIds.add(r.id()));
        return new Plan(
                stamp,
                requests.stream().filter(r -> !ended.contains(r)).toList(),
                kept,
                List.copyOf(closedIds.subList(Math.max(0, closedIds.size() - MAX_CLOSED_REQUESTS), closedIds.size())));
    }
}
