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
 * What follows next from a plan and what is known of members. It owns the order in which members go out and the budgets;
 * it must never remember anything itself.
 */
final class PlanTransitions {

    /** A member's way from one phase to the next, and why. */
    record Step(long member, MemberKind tier, Phase from, Phase to, String cause) {}

    /** The plan that follows, and the steps that lead there; where there are none it is the plan itself. */
    record Outcome(Plan plan, List<Step> steps) {}

    private final DrainConditions evidence;
    private final long stamp;
    private final long now;
    private final int majority; // of routers, which have to live on
    private final Map<Long, DrainOrder> orders = new LinkedHashMap<>();
    private final List<Step> steps = new ArrayList<>();
    private final Map<MemberKind, Integer> serving = new EnumMap<>(MemberKind.class);
    private final Plan plan;

    private PlanTransitions(Plan plan, long stamp, long now, int majority, DrainConditions evidence) {
        this.plan = plan;
        this.stamp = stamp;
        this.now = now;
        this.majority = majority;
        this.evidence = evidence;
        plan.orders().forEach(o -> orders.put(o.member(), o));
        for (MemberKind tier : MemberKind.values()) {
            serving.put(
                    tier,
                    evidence.serving(tier)
                            - (int) plan.orders().stream()
                                    .filter(o ->
                                            o.tier() == tier && o.phase().takesAPlace() && evidence.serves(o.member()))
                                    .count());
        }
    }

    static Outcome after(Plan plan, long stamp, long now, int majority, DrainConditions evidence) {
        PlanTransitions next = new PlanTransitions(plan, stamp, now, majority, evidence);
        next.go();
        if (next.steps.isEmpty()) {
            return new Outcome(plan, List.of());
        }
        return new Outcome(
                new Plan(stamp, plan.requests(), List.copyOf(next.orders.values()), plan.closed()).closedUp(),
                next.steps);
    }

    private void go() {
        for (DrainOrder o : plan.orders()) {
            if (o.phase() == Phase.RETURNING && evidence.warm(o)) {
                to(o, Phase.FINISHED, "it is back and warm");
            } else if (o.phase() == Phase.DRAINING && evidence.stillUsed(o) == null) {
                to(o, Phase.OUT, "nobody uses it any more");
            } else if (o.phase().waits() && !evidence.known(o.member())) {
                to(o, Phase.FINISHED, "it is not listed any more");
            }
        }
        // who came back a moment ago serves from the next plan on: places are counted as the plan before had them
        int out = plan.out();
        for (DrainOrder o : List.copyOf(orders.values())) {
            if (o.phase() == Phase.NAMED && orders.get(o.member()) == o && held(o, out) == null) {
                to(
                        o,
                        Phase.DRAINING,
                        evidence.failing(o.member()) ? "it is its turn, since it fails as it is" : "it is its turn");
                out++;
                serving.merge(o.tier(), evidence.serves(o.member()) ? -1 : 0, Integer::sum);
            }
        }
        for (MemberKind tier : MemberKind.values()) {
            long ahead = plan.mostOut()
                    - orders.values().stream()
                            .filter(o -> o.tier() == tier && o.phase() == Phase.NAMED)
                            .count();
            Optional<DrainOrder> next = first(tier);
            for (; ahead > 0 && next.isPresent(); ahead--) {
                to(next.get(), Phase.NAMED, "it comes next");
                next = first(tier);
            }
        }
    }

    /**
     * The next to be named: who fails, since it is out as it is; then by request, the older first, so that nobody waits for
     * ever; within one who holds least of what is asked for; a hash settles ties.
     */
    private Optional<DrainOrder> first(MemberKind tier) {
        return orders.values().stream()
                .filter(o -> o.tier() == tier && o.phase() == Phase.QUEUED)
                .min(Comparator.comparing((DrainOrder o) -> !evidence.failing(o.member()))
                        .thenComparingInt(o -> age(o))
                        .thenComparingDouble(o -> evidence.heat(o.member()))
                        .thenComparing(o -> Hashes.mix(o.member()), Long::compareUnsigned));
    }

    private int age(DrainOrder o) {
        for (int i = 0; i < plan.requests().size(); i++) {
            if (o.isFor(plan.requests().get(i))) {
                return i;
            }
        }
        return plan.requests().size();
    }

    /** What keeps a named member from going, with so many out already; null where nothing does. */
    private String held(DrainOrder o, int out) {
        int least = Math.max(plan.leastServing(o.tier()), o.tier() == MemberKind.ROUTER ? majority : 0);
        int left = serving.get(o.tier()) - (evidence.serves(o.member()) ? 1 : 0);
        if (out >= plan.mostOut()) {
            return "as many are out as may be: " + out;
        }
        if (left < least && evidence.serves(o.member())) {
            return left + " of its tier would serve, " + least + " must";
        }
        String untold = evidence.notTold(o);
        return untold == null ? null : "router " + untold + " has not been told";
    }

    /** What holds a member up, in words; empty for one that waits for nothing but its turn or the operator. */
    static String heldUp(Plan plan, DrainOrder o, long now, int majority, DrainConditions evidence) {
        PlanTransitions here = new PlanTransitions(plan, plan.stamp(), now, majority, evidence);
        return switch (o.phase()) {
            case QUEUED -> "others come first";
            case NAMED -> Optional.ofNullable(here.held(o, plan.out())).orElse("");
            case DRAINING ->
                Optional.ofNullable(evidence.stillUsed(o))
                        .map(r -> "router " + r + " may still use it")
                        .orElse("");
            case OUT -> "the work: drain done";
            case RETURNING -> evidence.warm(o) ? "" : "it is not back or not warm";
            case FINISHED -> "";
        };
    }

    private void to(DrainOrder o, Phase phase, String cause) {
        orders.put(o.member(), o.in(phase, stamp, now));
        steps.add(new Step(o.member(), o.tier(), o.phase(), phase, cause));
    }

    /** The plan after an operator's command; the plan itself where it changes nothing. */
    static Outcome told(Plan plan, DrainCommand c, Map<Long, MemberKind> tiers, long stamp, long now) {
        if (c.kind() == DrainCommand.Kind.REQUEST) {
            Plan next = plan.with(c, tiers, stamp, now);
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
                                            "an operator asked for it"))
                                    .toList());
        }
        List<Step> steps = new ArrayList<>();
        List<DrainOrder> orders = new ArrayList<>();
        for (DrainOrder o : plan.orders()) {
            Phase to = !c.members().contains(o.member())
                    ? null
                    : c.kind() == DrainCommand.Kind.DONE && o.phase() == Phase.OUT && o.fence() == c.fence()
                            ? Phase.RETURNING
                            : c.kind() == DrainCommand.Kind.CANCEL && (o.phase().waits() || o.phase() == Phase.DRAINING)
                                    ? Phase.FINISHED
                                    : null;
            orders.add(to == null ? o : o.in(to, stamp, now));
            if (to != null) {
                steps.add(new Step(
                        o.member(),
                        o.tier(),
                        o.phase(),
                        to,
                        to == Phase.RETURNING ? "the work is done" : "an operator called it off"));
            }
        }
        return steps.isEmpty()
                ? new Outcome(plan, List.of())
                : new Outcome(new Plan(stamp, plan.requests(), List.copyOf(orders), plan.closed()).closedUp(), steps);
    }
}
