package pumicemoor.operator;

import java.util.Optional;
import pumicemoor.hierarchy.Hierarchy.UpdateSource;
import pumicemoor.hierarchy.Topology;
import pumicemoor.hierarchy.MigrationTiming;

/**
 * The section 'hierarchy': where its news comes from, the times of a change, the shape, and the shape before it
 * while some router may still follow that. The depot is the unit that stands for the caches of the router's
 * location; empty for the location's own name. A shape's first piece has number 1; those in the file end at the
 * one told.
 */
public record HierarchySection(
        UpdateSource news, String depot, MigrationTiming timing, Topology shape, Optional<Topology> before, long lastPiece) {}
