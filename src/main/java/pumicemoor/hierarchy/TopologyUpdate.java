package pumicemoor.hierarchy;

import java.util.Map;
import pumicemoor.hierarchy.Topology.Kind;
import pumicemoor.hierarchy.Topology.Unit;

/**
 * One piece of news: from its number on, a unit has these parents, or is no more. Numbers count from 1 without
 * a gap; of several pieces for one unit the highest number holds. The count of a whole shape is that of its
 * pieces when they are to be taken together or not at all, else 0. Announced is Unix microseconds.
 */
public record TopologyUpdate(
        long number,
        long announced,
        long version,
        int pieces,
        String unit,
        Kind kind,
        Map<String, Double> parents,
        boolean removed) {

    public TopologyUpdate {
        parents = Map.copyOf(parents);
    }

    Unit toUnit() {
        return new Unit(unit, kind, parents);
    }
}
