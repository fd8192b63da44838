package pumicemoor.hierarchy;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import pumicemoor.hierarchy.Topology.Kind;
import pumicemoor.hierarchy.Topology.Link;
import pumicemoor.hierarchy.Topology.Unit;

/** Shapes for tests from short texts, and a plain walk for loops that shares nothing with what is tested. */
final class Shapes {

    private Shapes() {}

    /** From lines like "d0:h1,h2"; d is a depot, c a cache, h a hub, o the origin. */
    static Topology shape(long version, long announced, String... lines) {
        Map<String, Unit> units = new TreeMap<>();
        units.put("o", new Unit("o", Kind.ORIGIN, Map.of()));
        for (String line : lines) {
            String name = line.substring(0, line.indexOf(':'));
            units.put(name, new Unit(name, kind(name), parents(line.substring(line.indexOf(':') + 1))));
        }
        return new Topology(version, announced, true, units);
    }

    static Kind kind(String name) {
        return name.startsWith("d")
                ? Kind.DEPOT
                : name.startsWith("c") ? Kind.CACHE : name.startsWith("h") ? Kind.HUB : Kind.ORIGIN;
    }

    static Map<String, Double> parents(String names) {
        Map<String, Double> parents = new HashMap<>();
        for (String name : names.split(",")) {
            if (!name.isEmpty()) {
                parents.put(name, 1.0);
            }
        }
        return parents;
    }

    static boolean hasLoop(Collection<Link> links) {
        Map<String, Set<String>> above = new HashMap<>();
        links.forEach(l -> above.computeIfAbsent(l.unit(), k -> new HashSet<>()).add(l.parent()));
        // takes away who fills from nobody that is left, until all are gone or only loops are
        while (!above.isEmpty()) {
            List<String> free = above.entrySet().stream()
                    .filter(e -> e.getValue().stream().noneMatch(above::containsKey))
                    .map(Map.Entry::getKey)
                    .toList();
            if (free.isEmpty()) {
                return true;
            }
            free.forEach(above::remove);
        }
        return false;
    }

    static boolean reaches(Collection<Link> links, String from, String to) {
        Set<String> seen = new HashSet<>(Set.of(from));
        for (int before = 0; before < seen.size(); ) {
            before = seen.size();
            links.stream()
                    .filter(l -> seen.contains(l.unit()))
                    .map(Link::parent)
                    .toList()
                    .forEach(seen::add);
        }
        return seen.contains(to);
    }
}
