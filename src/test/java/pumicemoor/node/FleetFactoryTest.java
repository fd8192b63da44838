package pumicemoor.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import pumicemoor.fleet.Fleet;
import pumicemoor.fleet.FleetParticipant;
import pumicemoor.fleet.FleetSetup;
import pumicemoor.fleet.cells.CellFleet;
import pumicemoor.fleet.cells.CellSetup;
import pumicemoor.fleet.drains.DrainTimes;
import pumicemoor.fleet.drains.Drains;
import pumicemoor.fleet.limits.LeaseTimes;
import pumicemoor.fleet.membership.Membership;

/** Tests which kind of fleet a setup creates: one with cells or a flat one. */
class FleetFactoryTest {

    private static final long START_MICROS = 1_790_000_000_000_000L;
    private static final Drains.Usage NO_USAGE = new Drains.Usage() {
        @Override
        public int underWay(long member) {
            return 0;
        }

        @Override
        public double hits(long member) {
            return 0;
        }
    };

    private static FleetParticipant create(Optional<DrainTimes> drains, Optional<CellSetup> cells) {
        return FleetFactory.create(
                new FleetSetup(
                        "c",
                        new Membership.Setup("r", "127.0.0.1:7000", List.of(), 200_000, 3, 2, 600_000_000, 2_000),
                        8,
                        new LeaseTimes(5_000_000, 500_000),
                        List.of(),
                        Optional.empty(),
                        drains,
                        cells),
                START_MICROS,
                7,
                NO_USAGE);
    }

    @Test
    void aSetupWithCellsCreatesAFleetOfCells() {
        FleetParticipant cells = create(Optional.empty(), Optional.of(new CellSetup("zone-a", 96, 2)));
        assertInstanceOf(CellFleet.class, cells);
        assertEquals("zone-a", cells.fields().get("fleet-cell"));
    }

    @Test
    void aSetupWithoutCellsCreatesAFlatFleetThatCoordinatesDrains() {
        assertInstanceOf(Fleet.class, create(Optional.empty(), Optional.empty()));
        assertFalse(create(Optional.empty(), Optional.empty()).fields().containsKey("fleet-cell"));
        assertTrue(create(Optional.of(new DrainTimes(1, 2, 3, 4, 5, 6)), Optional.empty())
                .coordinatesDrains());
    }
}
