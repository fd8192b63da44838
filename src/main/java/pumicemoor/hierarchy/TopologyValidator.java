package pumicemoor.hierarchy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import pumicemoor.hierarchy.Topology.Kind;
import pumicemoor.hierarchy.Topology.Unit;

/**
 * Validates a complete topology before any of it is applied. It only reads; it must not repair a topology.
 */
public final class TopologyValidator {

    /** The largest weight that a parent may have. */
    public static final double MAX_WEIGHT = 1_000_000;
    /** The largest number of units in a topology. */
    public static final int MAX_UNITS = 100_000;

    private static final int MAX_VIOLATIONS = 20;

    /**
     * The kinds of violations. {@link #NOT_APPLICABLE} covers a unit from which no path leads to the origin as well as
     * a topology that the router may not apply because of its source or its version.
     */
    public enum ViolationKind {
        NO_ORIGIN,
        TOO_LARGE,
        UNKNOWN_UNIT,
        UNKNOWN_MEMBER,
        ORPHAN,
        DOWNWARD,
        LEVEL_SKIPPED,
        WEIGHT,
        LOOP,
        NOT_APPLICABLE
    }

    /** A violation at one unit, or in the whole topology if the unit is empty, with its message. */
    public record Violation(ViolationKind kind, String unit, String text) {
        @Override
        public String toString() {
            return text;
        }
    }

    private TopologyValidator() {}

    /**
     * Returns the violations, at most the first 20. If {@code members} is empty, the members are not known yet and
     * the units are not compared with them.
     */
    public static List<Violation> findViolations(Topology topology, Set<String> members) {
        List<Violation> violations = new ArrayList<>();
        Map<String, Unit> units = topology.units();
        if (units.size() > MAX_UNITS) {
            return List.of(new Violation(ViolationKind.TOO_LARGE, "", "more than " + MAX_UNITS + " units"));
        }
        if (units.values().stream().filter(unit -> unit.kind() == Kind.ORIGIN).count() != 1) {
            violations.add(new Violation(ViolationKind.NO_ORIGIN, "", "a topology must have exactly one origin"));
        }
        boolean hasHubs = units.values().stream().anyMatch(unit -> unit.kind() == Kind.HUB);
        for (Unit unit : units.values()) {
            validateUnit(topology, unit, members, hasHubs, violations);
        }
        if (violations.isEmpty()) {
            findLoop(units)
                    .ifPresent(path -> violations.add(
                            new Violation(ViolationKind.LOOP, path.get(0), "a loop: " + String.join(" <- ", path))));
            Set<String> reached = unitsReachingOrigin(units);
            units.keySet().stream()
                    .filter(unit -> !reached.contains(unit))
                    .forEach(unit -> violations.add(new Violation(
                            ViolationKind.NOT_APPLICABLE, unit, "'" + unit + "' has no fill path to the origin")));
        }
        return violations.size() > MAX_VIOLATIONS
                ? List.copyOf(violations.subList(0, MAX_VIOLATIONS))
                : List.copyOf(violations);
    }

    private static void validateUnit(
            Topology topology, Unit unit, Set<String> members, boolean hasHubs, List<Violation> violations) {
        String name = "'" + unit.name() + "'";
        if (unit.kind() != Kind.DEPOT && !members.isEmpty() && !members.contains(unit.name())) {
            violations.add(
                    new Violation(ViolationKind.UNKNOWN_MEMBER, unit.name(), name + " is not in the list of members"));
        }
        if (unit.kind() != Kind.ORIGIN && unit.parents().isEmpty()) {
            violations.add(
                    new Violation(ViolationKind.ORPHAN, unit.name(), name + " has no parents: it fills from nobody"));
        }
        unit.parents().forEach((parentName, weight) -> {
            Unit parent = topology.units().get(parentName);
            if (!(weight > 0 && weight <= MAX_WEIGHT)) {
                violations.add(new Violation(
                        ViolationKind.WEIGHT,
                        unit.name(),
                        name + " gives '" + parentName + "' the weight " + weight
                                + ": a weight must be greater than 0 and at most " + (long) MAX_WEIGHT));
            }
            if (parent == null) {
                violations.add(new Violation(
                        ViolationKind.UNKNOWN_UNIT,
                        unit.name(),
                        name + " fills from '" + parentName + "', which is not a unit of the topology"));
            } else if (parent.kind() == Kind.DEPOT
                    || parent.kind().level < unit.kind().level
                    || unit.kind() == Kind.ORIGIN
                    || unit.kind() == Kind.DEPOT && parent.kind() == Kind.CACHE) {
                violations.add(new Violation(
                        ViolationKind.DOWNWARD,
                        unit.name(),
                        name + " may not fill from '" + parentName + "': a "
                                + parent.kind().name().toLowerCase(java.util.Locale.ROOT) + " is not above it"));
            } else if (hasHubs && !topology.skipsAllowed() && parent.kind().level > unit.kind().level + 1) {
                violations.add(new Violation(
                        ViolationKind.LEVEL_SKIPPED,
                        unit.name(),
                        name + " fills from '" + parentName + "' past the hubs; allow-skips permits that"));
            }
        });
    }

    /** Finds a loop and returns its units in order, with the first one repeated at the end. */
    static java.util.Optional<List<String>> findLoop(Map<String, Unit> units) {
        Map<String, Integer> visitState = new HashMap<>(); // 1: on the current path, 2: done
        for (String start : units.keySet()) {
            Deque<String> path = new ArrayDeque<>();
            Deque<java.util.Iterator<String>> open = new ArrayDeque<>();
            if (visitState.containsKey(start)) {
                continue;
            }
            path.addLast(start);
            visitState.put(start, 1);
            open.addLast(sorted(units, start));
            while (!open.isEmpty()) {
                if (!open.peekLast().hasNext()) {
                    open.removeLast();
                    visitState.put(path.removeLast(), 2);
                    continue;
                }
                String next = open.peekLast().next();
                if (Integer.valueOf(1).equals(visitState.get(next))) {
                    List<String> loop = new ArrayList<>(path);
                    loop = new ArrayList<>(loop.subList(loop.indexOf(next), loop.size()));
                    loop.add(next);
                    return java.util.Optional.of(loop);
                }
                if (units.containsKey(next) && !visitState.containsKey(next)) {
                    visitState.put(next, 1);
                    path.addLast(next);
                    open.addLast(sorted(units, next));
                }
            }
        }
        return java.util.Optional.empty();
    }

    private static java.util.Iterator<String> sorted(Map<String, Unit> units, String unit) {
        return units.get(unit).parents().keySet().stream().sorted().iterator();
    }

    private static Set<String> unitsReachingOrigin(Map<String, Unit> units) {
        Map<String, List<String>> children = new HashMap<>();
        units.values().forEach(unit -> unit.parents().keySet().forEach(p -> children.computeIfAbsent(
                        p, k -> new ArrayList<>())
                .add(unit.name())));
        Set<String> reached = new HashSet<>();
        Deque<String> open = new ArrayDeque<>();
        units.values().stream().filter(unit -> unit.kind() == Kind.ORIGIN).forEach(unit -> open.add(unit.name()));
        while (!open.isEmpty()) {
            String current = open.poll();
            if (reached.add(current)) {
                open.addAll(children.getOrDefault(current, List.of()));
            }
        }
        return reached;
    }
}
