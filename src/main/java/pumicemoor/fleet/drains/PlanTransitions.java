package pumicemoor.fleet.drains;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import pumicemoor.Hashes;

/**
 * Computes the plan that follows from a plan, the known conditions and operators' commands. Defines the order in which
 * members are drained and how many may be out. It must not keep any state between calls.
 */
final class PlanTransitions {

    /** A member's transition from one phase to another, and its cause. */
    record Step(long member, MemberKind tier, Phase from, Phase to, String cause) {}

    /** The next plan and the steps that lead to it; without steps, the plan is the unchanged one. */
    record Outcome(Plan plan, List<Step> steps) {}

    private final DrainConditions conditions;
    private final long stamp;
    private final long now;
    private final int majority; // number of routers that must keep running
    private final Map<Long, DrainOrder> orders = new LinkedHashMap<>();
    private final List<Step> steps = new ArrayList<>();
    private final Map<MemberKind, Integer> serving = new EnumMap<>(MemberKind.class);
    private final Plan plan;

    private PlanTransitions(Plan plan, long stamp, long now, int majority, DrainConditions conditions) {
        this.plan = plan;
        this.stamp = stamp;
        this.now = now;
        this.majority = majority;
        this.conditions = conditions;
        plan.orders().forEach(o -> orders.put(o.member(), o));
        for (MemberKind tier : MemberKind.values()) {
            serving.put(
                    tier,
                    conditions.servingCount(tier)
                            - (int) plan.orders().stream()
                                    .filter(o -> o.tier() == tier
                                            && o.phase().countsAsOut()
                                            && conditions.isServing(o.member()))
                                    .count());
        }
    }

    static Outcome next(Plan plan, long stamp, long now, int majority, DrainConditions conditions) {
        PlanTransitions transitions = new PlanTransitions(plan, stamp, now, majority, conditions);
        transitions.run();
        if (transitions.steps.isEmpty()) {
            return new Outcome(plan, List.of());
        }
        return new Outcome(
                new Plan(stamp, plan.requests(), List.copyOf(transitions.orders.values()), plan.closed())
                        .withoutEndedRequests(),
                transitions.steps);
    }

    private void run() {
        for (DrainOrder order : plan.orders()) {
            if (order.phase() == Phase.RETURNING && conditions.isWarm(order)) {
                transition(order, Phase.FINISHED, "the member is back and warm");
            } else if (order.phase() == Phase.DRAINING && conditions.routerStillUsing(order) == null) {
                transition(order, Phase.OUT, "no router uses the member any more");
            } else if (order.phase().isWaiting() && !conditions.isKnown(order.member())) {
                transition(order, Phase.FINISHED, "the member is no longer listed");
            }
        }
        // a member that finishes in this step still counts as out here, and as serving from the next plan on
        int out = plan.out();
        for (DrainOrder order : List.copyOf(orders.values())) {
            if (order.phase() == Phase.NAMED
                    && orders.get(order.member()) == order
                    && blockingReason(order, out) == null) {
                transition(
                        order,
                        Phase.DRAINING,
                        conditions.isFailing(order.member())
                                ? "it is the member's turn, as it is already failing"
                                : "it is the member's turn");
                out++;
                serving.merge(order.tier(), conditions.isServing(order.member()) ? -1 : 0, Integer::sum);
            }
        }
        for (MemberKind tier : MemberKind.values()) {
            long freeSlots = plan.maxOut()
                    - orders.values().stream()
                            .filter(o -> o.tier() == tier && o.phase() == Phase.NAMED)
                            .count();
            Optional<DrainOrder> next = nextQueued(tier);
            for (; freeSlots > 0 && next.isPresent(); freeSlots--) {
                transition(next.get(), Phase.NAMED, "the member is next in the queue");
                next = nextQueued(tier);
            }
        }
    }

    /**
     * Returns the next queued member to be named: failing members first, since they are out of use already; then by
     * request, the oldest first, so that no request starves; within a request, the member with the fewest hits first;
     * ties are broken by a hash.
     */
    private Optional<DrainOrder> nextQueued(MemberKind tier) {
        return orders.values().stream()
                .filter(o -> o.tier() == tier && o.phase() == Phase.QUEUED)
                .min(Comparator.comparing((DrainOrder o) -> !conditions.isFailing(o.member()))
                        .thenComparingInt(o -> requestRank(o))
                        .thenComparingDouble(o -> conditions.recentHits(o.member()))
                        .thenComparing(o -> Hashes.mix(o.member()), Long::compareUnsigned));
    }

    private int requestRank(DrainOrder order) {
        for (int i = 0; i < plan.requests().size(); i++) {
            if (order.isFor(plan.requests().get(i))) {
                return i;
            }
        }
        return plan.requests().size();
    }

    /** Returns why a named member may not start draining while this many are out, or null if it may. */
    private String blockingReason(DrainOrder order, int out) {
        int minServing = Math.max(plan.minServing(order.tier()), order.tier() == MemberKind.ROUTER ? majority : 0);
        int servingAfter = serving.get(order.tier()) - (conditions.isServing(order.member()) ? 1 : 0);
        if (out >= plan.maxOut()) {
            return "the limit of members out at once is reached: " + out;
        }
        if (servingAfter < minServing && conditions.isServing(order.member())) {
            return servingAfter + " of its tier would serve, " + minServing + " must";
        }
        String unawareRouter = conditions.routerUnawareOf(order);
        return unawareRouter == null ? null : "router " + unawareRouter + " has not been told";
    }

    /** Returns what a member waits for, in words for operators; empty if nothing blocks it. */
    static String waitReason(Plan plan, DrainOrder order, long now, int majority, DrainConditions conditions) {
        PlanTransitions transitions = new PlanTransitions(plan, plan.stamp(), now, majority, conditions);
        return switch (order.phase()) {
            case QUEUED -> "others come first";
            case NAMED ->
                Optional.ofNullable(transitions.blockingReason(order, plan.out()))
                        .orElse("");
            case DRAINING ->
                Optional.ofNullable(conditions.routerStillUsing(order))
                        .map(r -> "router " + r + " may still use it")
                        .orElse("");
            case OUT -> "the work: drain done";
            case RETURNING -> conditions.isWarm(order) ? "" : "it is not back or not warm";
            case FINISHED -> "";
        };
    }

    private void transition(DrainOrder order, Phase phase, String cause) {
        orders.put(order.member(), order.withPhase(phase, stamp, now));
        steps.add(new Step(order.member(), order.tier(), order.phase(), phase, cause));
    }

    /** Returns the plan after an operator's command, or the same plan if the command changes nothing. */
    static Outcome afterCommand(Plan plan, DrainCommand command, Map<Long, MemberKind> tiers, long stamp, long now) {
        if (command.kind() == DrainCommand.Kind.REQUEST) {
            Plan next = plan.withRequest(command, tiers, stamp, now);
            return new Outcome(
                    next,
                    next == plan
                            ? List.of()
                            : next.orders().stream()
                                    .filter(o -> o.phase() == Phase.QUEUED && o.fence() == stamp)
                                    .map(o -> new Step(
                                            o.member(),
                                            o.tier(),
                                            Phase.FINISHED,
                                            Phase.QUEUED,
                                            "an operator requested it"))
                                    .toList());
        }
        List<Step> steps = new ArrayList<>();
        List<DrainOrder> orders = new ArrayList<>();
        for (DrainOrder order : plan.orders()) {
            Phase to = !command.members().contains(order.member())
                    ? null
                    : command.kind() == DrainCommand.Kind.DONE
                                    && order.phase() == Phase.OUT
                                    && order.fence() == command.fence()
                            ? Phase.RETURNING
                            : command.kind() == DrainCommand.Kind.CANCEL
                                            && (order.phase().isWaiting() || order.phase() == Phase.DRAINING)
                                    ? Phase.FINISHED
                                    : null;
            orders.add(to == null ? order : order.withPhase(to, stamp, now));
            if (to != null) {
                steps.add(new Step(
                        order.member(),
                        order.tier(),
                        order.phase(),
                        to,
                        to == Phase.RETURNING ? "the work is done" : "an operator cancelled it"));
            }
        }
        return steps.isEmpty()
                ? new Outcome(plan, List.of())
                : new Outcome(
                        new Plan(stamp, plan.requests(), List.copyOf(orders), plan.closed()).withoutEndedRequests(),
                        steps);
    }
}
