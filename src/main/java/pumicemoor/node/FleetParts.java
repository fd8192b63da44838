package pumicemoor.node;

import pumicemoor.fleet.Fleet;
import pumicemoor.fleet.FleetParticipant;
import pumicemoor.fleet.FleetSetup;
import pumicemoor.fleet.cells.CellFleet;
import pumicemoor.fleet.drains.Drains;

/** The one place that knows which kind of fleet a setup asks for; it must never change what was set. */
final class FleetParts {

    private FleetParts() {}

    /** A router's part that starts at this time (Unix microseconds): in a fleet of cells where the setup has them, else in a flat one. */
    static FleetParticipant of(FleetSetup setup, long time, long seed, Drains.Usage usage) {
        return setup.cells().isPresent() ? new CellFleet(setup, time, seed) : new Fleet(setup, time, seed, usage);
    }
}
