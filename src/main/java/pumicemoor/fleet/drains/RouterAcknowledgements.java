package pumicemoor.fleet.drains;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import pumicemoor.fleet.Packet.MemberUsage;
import pumicemoor.fleet.drains.FleetSnapshot.Peer;
import pumicemoor.fleet.drains.FleetSnapshot.Target;
import pumicemoor.fleet.limits.LeaseTimes;
import pumicemoor.fleet.membership.RouterStatus;

/**
 * Tracks which routers have applied a plan and which may still use a member, for the leader's decisions. A router that
 * has lost contact with the leader stops using the members that it knows to be named; it does so one lease after it
 * sent the last report that was answered. Owns the time of the last answer to each router and the requests that each
 * reported in flight; it must not send packets.
 */
final class RouterAcknowledgements implements DrainConditions {

    private final DrainTimes times;
    private final LeaseTimes leaseTimes;
    private final String localName;
    private final PlanLeader leader;
    private final Map<String, Long> answeredAt = new HashMap<>();
    private final Map<String, Map<Long, Integer>> inFlightByRouter = new HashMap<>(); // in-flight requests by member
    private final Map<String, Map<Long, Double>> hitsByRouter = new HashMap<>(); // hits by member
    private final Map<String, Map<Long, Long>> phaseAppliedAt = new HashMap<>(); // by router, then by order key
    private long localAppliedStamp;
    private FleetSnapshot snapshot;

    RouterAcknowledgements(DrainTimes times, LeaseTimes leaseTimes, String localName, PlanLeader leader) {
        this.times = times;
        this.leaseTimes = leaseTimes;
        this.localName = localName;
        this.leader = leader;
    }

    /** Sets the current state, and discards what is kept for unknown routers and for members without an order. */
    void update(FleetSnapshot newSnapshot, long appliedStamp, Plan plan) {
        snapshot = newSnapshot;
        localAppliedStamp = appliedStamp;
        Set<String> names = new HashSet<>();
        newSnapshot.peers().forEach(p -> names.add(p.name()));
        List.of(answeredAt, inFlightByRouter, hitsByRouter, phaseAppliedAt)
                .forEach(m -> m.keySet().retainAll(names));
        leader.retainReports(names);
        Set<Long> members = new HashSet<>();
        Set<Long> orderKeys = new HashSet<>();
        plan.orders().forEach(order -> {
            members.add(order.member());
            orderKeys.add(orderKey(order));
        });
        hitsByRouter.values().forEach(h -> h.keySet().retainAll(members));
        phaseAppliedAt.values().forEach(s -> s.keySet().retainAll(orderKeys));
    }

    private static long orderKey(DrainOrder order) {
        return order.fence() * 31 + order.member();
    }

    /** Records a router's report of the requests in flight at draining members and of the hits at queued ones. */
    void recordUsage(String router, List<MemberUsage> uses) {
        Map<Long, Integer> inFlight = new HashMap<>();
        Map<Long, Double> hits = hitsByRouter.computeIfAbsent(router, r -> new HashMap<>());
        uses.forEach(use -> {
            inFlight.put(use.member(), use.inFlight());
            hits.put(use.member(), use.recentHits());
        });
        inFlightByRouter.put(router, inFlight);
    }

    /** Records that an answer was sent to a router, which may rely on it for at most one lease. */
    void recordAnswer(String router, long now) {
        answeredAt.put(router, now);
    }

    private boolean isGone(Peer peer) {
        long statusAge = snapshot.now() - peer.since();
        return peer.status() == RouterStatus.LEFT && statusAge > times.drainMicros()
                || peer.status() == RouterStatus.DEAD && statusAge > times.goneMicros();
    }

    /** Returns when a router begins to avoid the members named to it if it gets no further answer from any leader. */
    private long avoidsNamedMembersFrom(Peer peer) {
        return Math.max(answeredAt.getOrDefault(peer.name(), 0L), snapshot.leaderSince())
                + leaseTimes.leaseMicros()
                + leaseTimes.guardMicros();
    }

    /** Returns the stamp of the plan that the router acts on, or -1 if its current process has not reported. */
    private long appliedStamp(Peer peer) {
        if (peer.name().equals(localName)) {
            return localAppliedStamp;
        }
        PlanLeader.Report report = leader.report(peer.name());
        return report == null || report.instance() != peer.instance() ? -1 : report.appliedStamp();
    }

    @Override
    public String routerUnawareOf(DrainOrder order) {
        return snapshot.peers().stream()
                .filter(p -> !isGone(p) && appliedStamp(p) < order.fence())
                .map(Peer::name)
                .findFirst()
                .orElse(null);
    }

    @Override
    public String routerStillUsing(DrainOrder order) {
        if (snapshot.now() < order.since() + times.minDrainMicros()) {
            return "any router";
        }
        if (order.tier() == MemberKind.ROUTER) {
            return null; // routers do not send requests to other routers
        }
        return snapshot.peers().stream()
                .filter(p -> !isGone(p) && mayUse(p, order))
                .map(Peer::name)
                .findFirst()
                .orElse(null);
    }

    private boolean mayUse(Peer peer, DrainOrder order) {
        if (appliedStamp(peer) < order.fence()) {
            return snapshot.now() < avoidsNamedMembersFrom(peer) + times.drainMicros();
        }
        long appliedAt = phaseAppliedAt
                .computeIfAbsent(peer.name(), n -> new HashMap<>())
                .computeIfAbsent(orderKey(order), k -> snapshot.now());
        return inFlightByRouter.getOrDefault(peer.name(), Map.of()).getOrDefault(order.member(), 0) > 0
                && snapshot.now() < appliedAt + times.drainMicros();
    }

    @Override
    public int servingCount(MemberKind tier) {
        return (int)
                (tier == MemberKind.ROUTER
                        ? snapshot.peers().stream()
                                .filter(p -> isServing(p.id()))
                                .count()
                        : snapshot.targets().entrySet().stream()
                                .filter(t -> t.getValue().tier() == tier && isServing(t.getKey()))
                                .count());
    }

    @Override
    public boolean isServing(long member) {
        Target target = snapshot.targets().get(member);
        return target != null
                ? target.ready() && !isFailing(member)
                : snapshot.peers().stream().anyMatch(p -> p.id() == member && p.isAlive());
    }

    @Override
    public boolean isKnown(long member) {
        return snapshot.targets().containsKey(member)
                || snapshot.peers().stream().anyMatch(p -> p.id() == member);
    }

    @Override
    public boolean isFailing(long member) {
        return snapshot.failing().contains(member);
    }

    @Override
    public double recentHits(long member) {
        return hitsByRouter.values().stream()
                .mapToDouble(h -> h.getOrDefault(member, 0.0))
                .sum();
    }

    @Override
    public boolean isWarm(DrainOrder order) {
        if (order.tier() == MemberKind.ROUTER) { // it has returned once its process acts on the plan
            return snapshot.peers().stream()
                    .anyMatch(p -> p.id() == order.member() && p.isAlive() && appliedStamp(p) >= order.fence());
        }
        Target target = snapshot.targets().get(order.member());
        return target != null
                && target.ready()
                && snapshot.now() >= Math.max(order.since(), target.startedAt()) + times.warmTime(order.tier());
    }
}
