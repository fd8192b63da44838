package pumicemoor.hierarchy;

import java.util.Map;
import java.util.TreeMap;

/**
 * A whole hierarchy: which unit may fill from which others, with weights. A plain value; it must never know
 * members' addresses or what is in force. Announced is Unix microseconds.
 */
public record Topology(long version, long announced, boolean skipsAllowed, Map<String, Unit> units) {

    /** The levels, from the clients up. A depot stands for all its caches that are no units of their own. */
    public enum Kind {
        DEPOT(0),
        CACHE(0),
        HUB(1),
        ORIGIN(2);

        /** A unit may fill from its own level or one above, never from below. */
        public final int level;

        Kind(int level) {
            this.level = level;
        }
    }

    /** One unit and its parents by name, each with the weight of its share of the objects. */
    public record Unit(String name, Kind kind, Map<String, Double> parents) {
        public Unit {
            parents = Map.copyOf(parents);
        }
    }

    /** A unit that fills from another. */
    public record Link(String unit, String parent) implements Comparable<Link> {
        @Override
        public int compareTo(Link other) {
            int byUnit = unit.compareTo(other.unit);
            return byUnit != 0 ? byUnit : parent.compareTo(other.parent);
        }

        @Override
        public String toString() {
            return unit + " <- " + parent;
        }
    }

    public Topology {
        units = java.util.Collections.unmodifiableMap(new TreeMap<>(units));
    }

    /** How many links there are. */
    public int links() {
        return units.values().stream().mapToInt(u -> u.parents().size()).sum();
    }
}
