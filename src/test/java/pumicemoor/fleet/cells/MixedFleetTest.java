package pumicemoor.fleet.cells;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pumicemoor.fleet.cells.VirtualCells.FIRST_CACHE;
import static pumicemoor.fleet.cells.VirtualCells.SECOND;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import pumicemoor.RouterApi.LimitMeasure;
import pumicemoor.fleet.cells.VirtualCells.Router;

/** Checks routers of a flat fleet and routers in cells with the same cluster name, as during the migration to cells. */
class MixedFleetTest {

    private static final double LIMIT = 1_000;
    private static final int SIZE = 24;

    private static VirtualCells newFleet(long seed) {
        VirtualCells fleet = new VirtualCells(SIZE, 6, 2, LimitMeasure.PER_SECOND, LIMIT, seed);
        fleet.add("flat", 0, 8).forEach(r -> r.flat = true);
        fleet.add("a", 0, 9);
        fleet.add("b", 1, 7);
        return fleet;
    }

    private static Set<String> names(List<Router> routers) {
        return routers.stream().map(r -> r.name).collect(Collectors.toCollection(TreeSet::new));
    }

    private static void assertBothKindsAgree(VirtualCells fleet) {
        List<Router> flat = fleet.running().stream().filter(r -> r.flat).toList();
        flat.forEach(r -> assertEquals(names(flat), r.cellPeers(), r.name));
        assertEquals(List.of(), fleet.disagreements());
    }

    @Test
    void flatAndCellRoutersOfOneClusterStayWithinTheLimitAndIgnoreEachOther() {
        VirtualCells fleet = newFleet(23);
        fleet.routers.forEach(r -> fleet.setDemand(r, r.flat || r.root.equals("b") ? LIMIT : 0));
        fleet.startAll();
        fleet.run(60 * SECOND);
        assertBothKindsAgree(fleet);
        double flat = fleet.spendable(fleet.inRoot("flat"));
        assertTrue(flat <= LIMIT * 8 / SIZE * (1 + 1e-9) && flat > 0.85 * LIMIT * 8 / SIZE, () -> "flat " + flat);
        double cells = fleet.spendable() - flat;
        assertTrue(
                cells <= LIMIT * 16 / SIZE * (1 + 1e-9) && cells > 0.85 * LIMIT * 16 / SIZE, () -> "in cells " + cells);
        for (int i = 0; i < 20; i++) {
            fleet.inRoot("flat").forEach(r -> fleet.reportHealth(r, FIRST_CACHE + 1, true));
            fleet.inRoot("a").forEach(r -> fleet.reportHealth(r, FIRST_CACHE + 2, true));
            fleet.run(SECOND);
        }
        assertTrue(
                fleet.inRoot("flat").stream().allMatch(r -> r.firstEjectedAt.isEmpty()),
                "eight of 24 routers are no majority");
        assertTrue(fleet.inRoot("b").stream()
                .allMatch(r -> r.firstEjectedAt.keySet().equals(Set.of(FIRST_CACHE + 2))));
        long foreign = fleet.inRoot("flat").stream()
                .map(r -> r.participant.fields().get("fleet-dropped-foreign"))
                .filter(n -> n != null)
                .count();
        assertTrue(foreign > 0, "flat routers must have received and dropped packets of routers in cells");
    }

    /** Routers are restarted one after another, each with cells configured. */
    @Test
    void routersMigrateToCellsOneAfterAnother() {
        VirtualCells fleet = newFleet(29);
        fleet.startAll();
        fleet.run(40 * SECOND);
        for (Router router : fleet.inRoot("flat")) {
            fleet.kill(router);
            fleet.run(2 * SECOND);
            router.flat = false;
            fleet.start(router);
            fleet.run(6 * SECOND);
        }
        fleet.routers.forEach(r -> fleet.setDemand(r, r.root.equals("flat") ? LIMIT : 0));
        fleet.run(80 * SECOND);
        CellSchedulesTest.assertSettled(fleet);
        assertTrue(
                fleet.spendable(fleet.inRoot("flat")) > 0.7 * LIMIT,
                () -> "migrated routers may spend " + fleet.spendable(fleet.inRoot("flat")));
    }
}
