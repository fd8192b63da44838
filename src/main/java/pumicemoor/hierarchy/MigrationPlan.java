package pumicemoor.hierarchy;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import pumicemoor.hierarchy.Topology.Kind;
import pumicemoor.hierarchy.TopologyValidator.Violation;
import pumicemoor.hierarchy.Timeline.Change;

/**
 * What will happen when one shape follows another, found by playing the same timeline that routers follow. It
 * owns nothing that lasts; it must never be a second way to compute a change.
 */
public record MigrationPlan(List<Step> steps, List<Violation> problems, boolean arrives) {

    /** A step: so long after the announcement (microseconds) these links begin, leave, and end. */
    public record Step(
            long after,
            List<String> begin,
            List<String> leave,
            List<String> end,
            List<String> held,
            List<String> seeds) {}

    /** A plan can be followed when nothing is wrong with the new shape and the change comes to its end. */
    public boolean usable() {
        return problems.isEmpty() && arrives;
    }

    /** Plays the change; the old shape must be one without problems. */
    public static MigrationPlan between(Topology old, Topology next, MigrationTiming timing) {
        List<Violation> problems = new ArrayList<>(TopologyValidator.problems(next, Set.of()));
        next.units().values().stream()
                .filter(u -> old.units().containsKey(u.name())
                        && old.units().get(u.name()).kind() != u.kind()
                        && u.kind() != Kind.ORIGIN)
                .forEach(u -> problems.add(new Violation(
                        TopologyValidator.ViolationKind.DOWNWARD,
                        u.name(),
                        "'" + u.name()
                                + "' is a " + old.units().get(u.name()).kind() + " and can't become a " + u.kind()
                                + " while it runs")));
        if (!problems.isEmpty()) {
            return new MigrationPlan(List.of(), List.copyOf(problems), false);
        }
        List<Change> changes = new ArrayList<>();
        Timeline timeline = new Timeline(old, 0, timing, changes::add);
        for (TopologyUpdate p : Hierarchy.pieces(old.units(), next, 1)) {
            timeline.take(
                    new TopologyUpdate(p.number(), 0, p.version(), p.pieces(), p.unit(), p.kind(), p.parents(), p.removed()));
        }
        for (long at = timeline.nextChange(); at < Long.MAX_VALUE; at = timeline.nextChange()) {
            timeline.advance(at);
        }
        List<Step> steps = new ArrayList<>();
        for (int i = 0; i < changes.size(); ) {
            long at = changes.get(i).at();
            int end = i;
            while (end < changes.size() && changes.get(end).at() == at) {
                end++;
            }
            List<Change> now = changes.subList(i, end);
            Step step = new Step(
                    at,
                    links(now, Change.What.IN_USE),
                    links(now, Change.What.LEAVING),
                    links(now, Change.What.OUT_OF_USE),
                    links(now, Change.What.HELD),
                    links(now, Change.What.SEED));
            if (step.begin().size()
                            + step.leave().size()
                            + step.end().size()
                            + step.held().size()
                    > 0) {
                steps.add(step);
            }
            i = end;
        }
        return new MigrationPlan(List.copyOf(steps), List.of(), timeline.quiet());
    }

    private static List<String> links(List<Change> changes, Change.What what) {
        return changes.stream()
                .filter(c -> c.what() == what)
                .map(c -> c.link().toString())
                .toList();
    }
}
