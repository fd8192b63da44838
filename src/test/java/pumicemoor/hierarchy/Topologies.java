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

/** Builds topologies from short texts for tests, and detects loops independently of the code under test. */
final class Topologies {

    private Topologies() {}

    /** Builds a topology from lines like "d0:h1,h2": d is a depot, c a cache, h a hub, o the origin. */
    static Topology topology(long version, long announced, String... lines) {
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
        Map<String, Set<String>> parentsOf = new HashMap<>();
        links.forEach(
                l -> parentsOf.computeIfAbsent(l.unit(), k -> new HashSet<>()).add(l.parent()));
        // removes the units without a remaining parent until none are left or only loops are
        while (!parentsOf.isEmpty()) {
            List<String> resolved = parentsOf.entrySet().stream()
                    .filter(e -> e.getValue().stream().noneMatch(parentsOf::containsKey))
                    .map(Map.Entry::getKey)
                    .toList();
            if (resolved.isEmpty()) {
                return true;
            }
            resolved.forEach(parentsOf::remove);
        }
        return false;
    }

    static boolean reaches(Collection<Link> links, String from, String to) {
        Set<String> seen = new HashSet<>(Set.of(from));
        for (int previousSize = 0; previousSize < seen.size(); ) {
            previousSize = seen.size();
            links.stream()
                    .filter(l -> seen.contains(l.unit()))
                    .map(Link::parent)
                    .toList()
                    .forEach(seen::add);
        }
        return seen.contains(to);
    }
}
