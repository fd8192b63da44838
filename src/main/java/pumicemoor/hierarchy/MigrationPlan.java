package pumicemoor.hierarchy;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import pumicemoor.hierarchy.Timeline.Change;
import pumicemoor.hierarchy.Topology.Kind;
import pumicemoor.hierarchy.TopologyValidator.Violation;

/**
 * The steps by which one topology replaces another, computed by running the same timeline that routers follow. It
 * keeps no state beyond the result, and must not compute a change in any other way than through the timeline.
 */
public record MigrationPlan(List<Step> steps, List<Violation> violations, boolean completes) {

    /**
     * The changes at one moment, in microseconds since the announcement: links that come into use, links whose
     * objects begin to move to other parents, links that are out of use, links that are blocked because they would
     * close a loop, and links over which a new parent may fill from a previous one.
     */
    public record Step(
            long afterMicros,
            List<String> begin,
            List<String> leave,
            List<String> end,
            List<String> blocked,
            List<String> seeds) {}

    /** Returns whether the new topology is valid and the change completes. */
    public boolean usable() {
        return violations.isEmpty() && completes;
    }

    /** Computes the migration from one topology to the next. The old topology must be valid. */
    public static MigrationPlan between(Topology old, Topology next, MigrationTiming timing) {
        List<Violation> violations = new ArrayList<>(TopologyValidator.findViolations(next, Set.of()));
        next.units().values().stream()
                .filter(u -> old.units().containsKey(u.name())
                        && old.units().get(u.name()).kind() != u.kind()
                        && u.kind() != Kind.ORIGIN)
                .forEach(u -> violations.add(new Violation(
                        TopologyValidator.ViolationKind.DOWNWARD,
                        u.name(),
                        "'" + u.name()
                                + "' is a " + old.units().get(u.name()).kind() + " and can't become a " + u.kind()
                                + " while it runs")));
        if (!violations.isEmpty()) {
            return new MigrationPlan(List.of(), List.copyOf(violations), false);
        }
        List<Change> changes = new ArrayList<>();
        Timeline timeline = new Timeline(old, 0, timing, changes::add);
        for (TopologyUpdate update : Hierarchy.updatesBetween(old.units(), next, 1)) {
            timeline.add(new TopologyUpdate(
                    update.number(),
                    0,
                    update.version(),
                    update.updatesInTopology(),
                    update.unit(),
                    update.kind(),
                    update.parents(),
                    update.removed()));
        }
        for (long at = timeline.nextChange(); at < Long.MAX_VALUE; at = timeline.nextChange()) {
            timeline.advance(at);
        }
        List<Step> steps = new ArrayList<>();
        for (int start = 0; start < changes.size(); ) {
            long at = changes.get(start).at();
            int end = start;
            while (end < changes.size() && changes.get(end).at() == at) {
                end++;
            }
            List<Change> simultaneous = changes.subList(start, end);
            Step step = new Step(
                    at,
                    linksOf(simultaneous, Change.Type.IN_USE),
                    linksOf(simultaneous, Change.Type.LEAVING),
                    linksOf(simultaneous, Change.Type.OUT_OF_USE),
                    linksOf(simultaneous, Change.Type.BLOCKED),
                    linksOf(simultaneous, Change.Type.SEED));
            if (step.begin().size()
                            + step.leave().size()
                            + step.end().size()
                            + step.blocked().size()
                    > 0) {
                steps.add(step);
            }
            start = end;
        }
        return new MigrationPlan(List.copyOf(steps), List.of(), timeline.complete());
    }

    private static List<String> linksOf(List<Change> changes, Change.Type type) {
        return changes.stream()
                .filter(c -> c.type() == type)
                .map(c -> c.link().toString())
                .toList();
    }
}
