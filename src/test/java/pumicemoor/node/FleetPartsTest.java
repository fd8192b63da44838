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

/** Which kind of fleet a router takes part in. */
class FleetPartsTest {

    private static final long START = 1_790_000_000_000_000L;
    private static final Drains.Usage NOTHING = new Drains.Usage() {
        @Override
        public int underWay(long member) {
            return 0;
        }

        @Override
        public double hits(long member) {
            return 0;
        }
    };

    private static FleetParticipant part(Optional<DrainTimes> drains, Optional<CellSetup> cells) {
        return FleetParts.of(
                new FleetSetup(
                        "c",
                        new Membership.Setup("r", "127.0.0.1:7000", List.of(), 200_000, 3, 2, 600_000_000, 2_000),
                        8,
                        new LeaseTimes(5_000_000, 500_000),
                        List.of(),
                        Optional.empty(),
                        drains,
                        cells),
                START,
                7,
                NOTHING);
    }

    @Test
    void cellsAloneMakeAFleetOfCells() {
        FleetParticipant cells = part(Optional.empty(), Optional.of(new CellSetup("zone-a", 96, 2)));
        assertInstanceOf(CellFleet.class, cells);
        assertEquals("zone-a", cells.fields().get("fleet-cell"));
    }

    @Test
    void withoutCellsTheFleetIsFlatAndKeepsItsDrains() {
        assertInstanceOf(Fleet.class, part(Optional.empty(), Optional.empty()));
        assertFalse(part(Optional.empty(), Optional.empty()).fields().containsKey("fleet-cell"));
        assertTrue(part(Optional.of(new DrainTimes(1, 2, 3, 4, 5, 6)), Optional.empty())
                .coordinatesDrains());
    }
}
