package pumicemoor.hierarchy;

import java.util.Map;
import pumicemoor.hierarchy.Topology.Kind;
import pumicemoor.hierarchy.Topology.Unit;

/**
 * A change of one unit: as of this update the unit has these parents, or is removed.
 *
 * <p>Updates are numbered from 1 without gaps; of several updates for one unit the one with the highest number applies.
 * The time of the announcement is in Unix microseconds. An update that belongs to a whole topology carries the number
 * of that topology's updates, which are applied together or not at all; this number is 0 if the update is
 * independent.
 */
public record TopologyUpdate(
        long number,
        long announcedMicros,
        long version,
        int updatesInTopology,
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
