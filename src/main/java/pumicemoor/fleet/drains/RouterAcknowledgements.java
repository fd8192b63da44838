package pumicemoor.fleet.drains;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import pumicemoor.fleet.Packet.Use;
import pumicemoor.fleet.drains.FleetSnapshot.Peer;
import pumicemoor.fleet.drains.FleetSnapshot.Target;
import pumicemoor.fleet.limits.LeaseTimes;
import pumicemoor.fleet.membership.RouterStatus;

/**
 * Which routers know of a phase, and which may still use a member: the keeper's evidence. A router that does not answer
 * any more has left alone, a lease after its last answer, whatever it knows to be named. It owns when each was last
 * answered and what each has under way; it must never send.
 */
final class RouterAcknowledgements implements DrainConditions {

    private final DrainTimes times;
    private final LeaseTimes leases;
    private final String self;
    private final PlanLeader keeper;
    private final Map<String, Long> answeredAt = new HashMap<>();
    private final Map<String, Map<Long, Integer>> underWay = new HashMap<>(); // by router
    private final Map<String, Map<Long, Double>> heat = new HashMap<>();
    private final Map<String, Map<Long, Long>> stoppedAt = new HashMap<>(); // by router, then by fence and member
    private long ownApplied;
    private FleetSnapshot world;

    RouterAcknowledgements(DrainTimes times, LeaseTimes leases, String self, PlanLeader keeper) {
        this.times = times;
        this.leases = leases;
        this.self = self;
        this.keeper = keeper;
    }

    /** What is known now; of routers that are no more nothing is kept. */
    void see(FleetSnapshot now, long applied, Plan plan) {
        world = now;
        ownApplied = applied;
        Set<String> names = new HashSet<>();
        now.peers().forEach(p -> names.add(p.name()));
        List.of(answeredAt, underWay, heat, stoppedAt).forEach(m -> m.keySet().retainAll(names));
        keeper.retain(names);
        Set<Long> members = new HashSet<>();
        Set<Long> fences = new HashSet<>();
        plan.orders().forEach(o -> {
            members.add(o.member());
            fences.add(key(o));
        });
        heat.values().forEach(h -> h.keySet().retainAll(members));
        stoppedAt.values().forEach(s -> s.keySet().retainAll(fences));
    }

    private static long key(DrainOrder o) {
        return o.fence() * 31 + o.member();
    }

    /** A router told what it has under way at members that drain, and how much those that wait answer from what they hold. */
    void uses(String router, List<Use> uses) {
        Map<Long, Integer> open = new HashMap<>();
        Map<Long, Double> hits = heat.computeIfAbsent(router, r -> new HashMap<>());
        uses.forEach(u -> {
            open.put(u.member(), u.underWay());
            hits.put(u.member(), u.hits());
        });
        underWay.put(router, open);
    }

    /** This router's answer to that one left; it goes by it for a lease at most. */
    void answered(String router, long now) {
        answeredAt.put(router, now);
    }

    private boolean gone(Peer p) {
        long dead = world.now() - p.since();
        return p.standing() == RouterStatus.LEFT && dead > times.drain()
                || p.standing() == RouterStatus.DEAD && dead > times.gone();
    }

    /** When a router that was not answered since has left alone what was named to it, whoever was keeper then. */
    private long aloneFrom(Peer p) {
        return Math.max(answeredAt.getOrDefault(p.name(), 0L), world.officeSince()) + leases.lease() + leases.guard();
    }

    /** The stamp that the router goes by, as it told; -1 where its present process has told nothing. */
    private long applied(Peer p) {
        if (p.name().equals(self)) {
            return ownApplied;
        }
        PlanLeader.Report r = keeper.report(p.name());
        return r == null || r.instance() != p.instance() ? -1 : r.applied();
    }

    @Override
    public String notTold(DrainOrder order) {
        return world.peers().stream()
                .filter(p -> !gone(p) && applied(p) < order.fence())
                .map(Peer::name)
                .findFirst()
                .orElse(null);
    }

    @Override
    public String stillUsed(DrainOrder order) {
        if (world.now() < order.since() + times.least()) {
            return "any router";
        }
        if (order.tier() == MemberKind.ROUTER) {
            return null; // no router uses another
        }
        return world.peers().stream()
                .filter(p -> !gone(p) && uses(p, order))
                .map(Peer::name)
                .findFirst()
                .orElse(null);
    }

    private boolean uses(Peer p, DrainOrder order) {
        if (applied(p) < order.fence()) {
            return world.now() < aloneFrom(p) + times.drain();
        }
        long stopped =
                stoppedAt.computeIfAbsent(p.name(), n -> new HashMap<>()).computeIfAbsent(key(order), k -> world.now());
        return underWay.getOrDefault(p.name(), Map.of()).getOrDefault(order.member(), 0) > 0
                && world.now() < stopped + times.drain();
    }

    @Override
    public int serving(MemberKind tier) {
        return (int)
                (tier == MemberKind.ROUTER
                        ? world.peers().stream().filter(p -> serves(p.id())).count()
                        : world.targets().entrySet().stream()
                                .filter(t -> t.getValue().tier() == tier && serves(t.getKey()))
                                .count());
    }

    @Override
    public boolean serves(long member) {
        Target t = world.targets().get(member);
        return t != null
                ? t.ready() && !failing(member)
                : world.peers().stream().anyMatch(p -> p.id() == member && p.lives());
    }

    @Override
    public boolean known(long member) {
        return world.targets().containsKey(member) || world.peers().stream().anyMatch(p -> p.id() == member);
    }

    @Override
    public boolean failing(long member) {
        return world.failing().contains(member);
    }

    @Override
    public double heat(long member) {
        return heat.values().stream()
                .mapToDouble(h -> h.getOrDefault(member, 0.0))
                .sum();
    }

    @Override
    public boolean warm(DrainOrder order) {
        if (order.tier() == MemberKind.ROUTER) { // it has come back once its process goes by the plan
            return world.peers().stream()
                    .anyMatch(p -> p.id() == order.member() && p.lives() && applied(p) >= order.fence());
        }
        Target t = world.targets().get(order.member());
        return t != null && t.ready() && world.now() >= Math.max(order.since(), t.started()) + times.warm(order.tier());
    }
}
