package pumicemoor.hierarchy;

import java.util.Map;
import pumicemoor.hierarchy.Topology.Kind;
import pumicemoor.hierarchy.Topology.Unit;

/**
 * A change of one unit: as of this update the unit has these parents, or is removed.
 *
 * @param number the sequence number; updates are numbered from 1 without gaps, and of several updates for one unit
 *     the one with the highest number applies
 * @param announced when the update was announced, in Unix microseconds
 * @param pieces the number of updates of the whole topology that this one belongs to, which are applied together or
 *     not at all; 0 if the update is independent
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
