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
 * What is wrong with a whole shape, found before anything of it is taken over. It only reads; it must never
 * repair a shape.
 */
public final class TopologyValidator {

    /** The largest weight of a parent. */
    public static final double MOST_WEIGHT = 1_000_000;
    /** The most units that a shape may have. */
    public static final int MOST_UNITS = 100_000;

    private static final int MOST_PROBLEMS = 20;

    /** The kinds of trouble. */
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
        NO_WAY
    }

    /** One trouble at one unit, in words. */
    public record Violation(ViolationKind trouble, String unit, String text) {
        @Override
        public String toString() {
            return text;
        }
    }

    private TopologyValidator() {}

    /** All problems, the first twenty at most. Members empty: they are not known yet and not looked at. */
    public static List<Violation> problems(Topology shape, Set<String> members) {
        List<Violation> problems = new ArrayList<>();
        Map<String, Unit> units = shape.units();
        if (units.size() > MOST_UNITS) {
            return List.of(new Violation(ViolationKind.TOO_LARGE, "", "more than " + MOST_UNITS + " units"));
        }
        if (units.values().stream().filter(u -> u.kind() == Kind.ORIGIN).count() != 1) {
            problems.add(new Violation(ViolationKind.NO_ORIGIN, "", "a shape has one origin"));
        }
        boolean hubs = units.values().stream().anyMatch(u -> u.kind() == Kind.HUB);
        for (Unit unit : units.values()) {
            unitProblems(shape, unit, members, hubs, problems);
        }
        if (problems.isEmpty()) {
            loop(units)
                    .ifPresent(path -> problems.add(
                            new Violation(ViolationKind.LOOP, path.get(0), "a loop: " + String.join(" <- ", path))));
            Set<String> reached = withWay(units);
            units.keySet().stream()
                    .filter(u -> !reached.contains(u))
                    .forEach(u -> problems.add(new Violation(ViolationKind.NO_WAY, u, "'" + u + "' has no way to the origin")));
        }
        return problems.size() > MOST_PROBLEMS
                ? List.copyOf(problems.subList(0, MOST_PROBLEMS))
                : List.copyOf(problems);
    }

    private static void unitProblems(
            Topology shape, Unit unit, Set<String> members, boolean hubs, List<Violation> problems) {
        String name = "'" + unit.name() + "'";
        if (unit.kind() != Kind.DEPOT && !members.isEmpty() && !members.contains(unit.name())) {
            problems.add(new Violation(ViolationKind.UNKNOWN_MEMBER, unit.name(), name + " is no member that is listed"));
        }
        if (unit.kind() != Kind.ORIGIN && unit.parents().isEmpty()) {
            problems.add(new Violation(ViolationKind.ORPHAN, unit.name(), name + " fills from nobody"));
        }
        unit.parents().forEach((parentName, weight) -> {
            Unit parent = shape.units().get(parentName);
            if (!(weight > 0 && weight <= MOST_WEIGHT)) {
                problems.add(new Violation(
                        ViolationKind.WEIGHT,
                        unit.name(),
                        name + " gives '" + parentName + "' the weight " + weight + ": over 0, at most "
                                + (long) MOST_WEIGHT));
            }
            if (parent == null) {
                problems.add(new Violation(
                        ViolationKind.UNKNOWN_UNIT,
                        unit.name(),
                        name + " fills from '" + parentName + "', which the shape does not have"));
            } else if (parent.kind() == Kind.DEPOT
                    || parent.kind().level < unit.kind().level
                    || unit.kind() == Kind.ORIGIN
                    || unit.kind() == Kind.DEPOT && parent.kind() == Kind.CACHE) {
                problems.add(new Violation(
                        ViolationKind.DOWNWARD,
                        unit.name(),
                        name + " may not fill from '" + parentName + "': a "
                                + parent.kind().name().toLowerCase(java.util.Locale.ROOT) + " is not above it"));
            } else if (hubs && !shape.skipsAllowed() && parent.kind().level > unit.kind().level + 1) {
                problems.add(new Violation(
                        ViolationKind.LEVEL_SKIPPED,
                        unit.name(),
                        name + " fills from '" + parentName + "' past the hubs; allow-skips permits that"));
            }
        });
    }

    /** A loop as its units in order, the first again at the end. */
    static java.util.Optional<List<String>> loop(Map<String, Unit> units) {
        Map<String, Integer> state = new HashMap<>(); // 1 on the way, 2 done
        for (String start : units.keySet()) {
            Deque<String> path = new ArrayDeque<>();
            Deque<java.util.Iterator<String>> open = new ArrayDeque<>();
            if (state.containsKey(start)) {
                continue;
            }
            path.addLast(start);
            state.put(start, 1);
            open.addLast(sorted(units, start));
            while (!open.isEmpty()) {
                if (!open.peekLast().hasNext()) {
                    open.removeLast();
                    state.put(path.removeLast(), 2);
                    continue;
                }
                String next = open.peekLast().next();
                if (Integer.valueOf(1).equals(state.get(next))) {
                    List<String> loop = new ArrayList<>(path);
                    loop = new ArrayList<>(loop.subList(loop.indexOf(next), loop.size()));
                    loop.add(next);
                    return java.util.Optional.of(loop);
                }
                if (units.containsKey(next) && !state.containsKey(next)) {
                    state.put(next, 1);
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

    private static Set<String> withWay(Map<String, Unit> units) {
        Map<String, List<String>> children = new HashMap<>();
        units.values()
                .forEach(u -> u.parents().keySet().forEach(p -> children.computeIfAbsent(p, k -> new ArrayList<>())
                        .add(u.name())));
        Set<String> reached = new HashSet<>();
        Deque<String> open = new ArrayDeque<>();
        units.values().stream().filter(u -> u.kind() == Kind.ORIGIN).forEach(u -> open.add(u.name()));
        while (!open.isEmpty()) {
            String at = open.poll();
            if (reached.add(at)) {
                open.addAll(children.getOrDefault(at, List.of()));
            }
        }
        return reached;
    }
}
