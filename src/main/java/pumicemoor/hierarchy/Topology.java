package pumicemoor.hierarchy;

import java.util.Map;
import java.util.TreeMap;

/**
 * A complete hierarchy: which unit may fill from which others, with weights. An immutable value that knows neither
 * members' addresses nor which topology is in force. The time of the announcement is in Unix microseconds. If skips are
 * allowed, a unit may fill from a level more than one above its own although there are hubs.
 */
public record Topology(long version, long announcedMicros, boolean skipsAllowed, Map<String, Unit> units) {

    /** The kinds of units, from the clients up. A depot stands for all its caches that are not units themselves. */
    public enum Kind {
        DEPOT(0),
        CACHE(0),
        HUB(1),
        ORIGIN(2);

        /** A unit may fill from units of its own level or of a higher one, never of a lower one. */
        public final int level;

        Kind(int level) {
            this.level = level;
        }
    }

    /** A unit and its parents by name, each with the weight that determines its share of the objects. */
    public record Unit(String name, Kind kind, Map<String, Double> parents) {
        public Unit {
            parents = Map.copyOf(parents);
        }
    }

    /** A directed link: {@code unit} fills from {@code parent}. */
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

    /** Returns the number of links. */
    public int links() {
        return units.values().stream().mapToInt(u -> u.parents().size()).sum();
    }
}
