package pumicemoor.node;

import pumicemoor.fleet.Fleet;
import pumicemoor.fleet.FleetParticipant;
import pumicemoor.fleet.FleetSetup;
import pumicemoor.fleet.cells.CellFleet;
import pumicemoor.fleet.drains.Drains;

/** Creates the fleet participant that the operator's setup asks for; it must never change the setup. */
final class FleetFactory {

    private FleetFactory() {}

    /**
     * Creates a participant that starts at this time (Unix microseconds): of a fleet of cells if configured, else of a
     * flat one.
     */
    static FleetParticipant create(FleetSetup setup, long time, long seed, Drains.Usage usage) {
        return setup.cells().isPresent() ? new CellFleet(setup, time, seed) : new Fleet(setup, time, seed, usage);
    }
}
