package pumicemoor.node;

import pumicemoor.fleet.Fleet;
import pumicemoor.fleet.FleetParticipant;
import pumicemoor.fleet.FleetSetup;
import pumicemoor.fleet.cells.CellFleet;
import pumicemoor.fleet.drains.Drains;

/** Creates the fleet participant that the operator has configured; it must never change the setup. */
final class FleetFactory {

    private FleetFactory() {}

    /**
     * Creates a participant that starts at the given time (Unix microseconds): of a fleet divided into cells if the
     * setup has cells, else of a flat fleet.
     */
    static FleetParticipant create(FleetSetup setup, long time, long seed, Drains.Usage usage) {
        return setup.cells().isPresent() ? new CellFleet(setup, time, seed) : new Fleet(setup, time, seed, usage);
    }
}
