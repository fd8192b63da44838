package pumicemoor.operator;

import java.util.Optional;
import pumicemoor.hierarchy.Hierarchy.UpdateSource;
import pumicemoor.hierarchy.MigrationTiming;
import pumicemoor.hierarchy.Topology;

/**
 * The section 'hierarchy' of an operator's file: where topology updates come from, the timing of migrations, the
 * topology, and the previous topology while some router may still use it. The depot is the unit that stands for the
 * caches of the router's location; an empty one means the unit with the location's own name. The first update of a
 * topology has number 1; the topology in the file includes all updates up to the number given by the last component.
 */
public record HierarchySection(
        UpdateSource updateSource,
        String depot,
        MigrationTiming timing,
        Topology topology,
        Optional<Topology> previousTopology,
        long lastUpdateNumber) {}
