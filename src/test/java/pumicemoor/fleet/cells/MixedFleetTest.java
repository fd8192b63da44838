package pumicemoor.fleet.cells;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pumicemoor.fleet.cells.VirtualCells.CACHES;
import static pumicemoor.fleet.cells.VirtualCells.SECOND;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import pumicemoor.RouterApi.LimitMeasure;
import pumicemoor.fleet.cells.VirtualCells.Router;

/** Routers of a flat fleet and routers in cells, of one cluster name on one network, as on the day of the change. */
class MixedFleetTest {

    private static final double LIMIT = 1_000;
    private static final int SIZE = 24;

    private static VirtualCells fleet(long seed) {
        VirtualCells fleet = new VirtualCells(SIZE, 6, 2, LimitMeasure.PER_SECOND, LIMIT, seed);
        fleet.add("flat", 0, 8).forEach(r -> r.flat = true);
        fleet.add("a", 0, 9);
        fleet.add("b", 1, 7);
        return fleet;
    }

    private static Set<String> names(List<Router> routers) {
        return routers.stream().map(r -> r.name).collect(Collectors.toCollection(TreeSet::new));
    }

    private static void assertBothAgree(VirtualCells fleet) {
        List<Router> flat = fleet.running().stream().filter(r -> r.flat).toList();
        flat.forEach(r -> assertEquals(names(flat), r.cellMates(), r.name));
        assertEquals(List.of(), fleet.disagreements());
    }

    @Test
    void bothKindsOfOneClusterNameKeepTheLimitTogetherAndLeaveEachOtherAlone() {
        VirtualCells fleet = fleet(23);
        fleet.routers.forEach(r -> fleet.want(r, r.flat || r.root.equals("b") ? LIMIT : 0));
        fleet.startAll();
        fleet.run(60 * SECOND);
        assertBothAgree(fleet);
        double flat = fleet.spent(fleet.of("flat"));
        assertTrue(flat <= LIMIT * 8 / SIZE * (1 + 1e-9) && flat > 0.85 * LIMIT * 8 / SIZE, () -> "flat " + flat);
        double cells = fleet.spent() - flat;
        assertTrue(
                cells <= LIMIT * 16 / SIZE * (1 + 1e-9) && cells > 0.85 * LIMIT * 16 / SIZE, () -> "in cells " + cells);
        for (int i = 0; i < 20; i++) {
            fleet.of("flat").forEach(r -> fleet.judge(r, CACHES + 1, true));
            fleet.of("a").forEach(r -> fleet.judge(r, CACHES + 2, true));
            fleet.run(SECOND);
        }
        assertTrue(fleet.of("flat").stream().allMatch(r -> r.heardOut.isEmpty()), "eight of 24 are no majority");
        assertTrue(fleet.of("b").stream().allMatch(r -> r.heardOut.keySet().equals(Set.of(CACHES + 2))));
        long foreign = fleet.of("flat").stream()
                .map(r -> r.part.fields().get("fleet-dropped-foreign"))
                .filter(n -> n != null)
                .count();
        assertTrue(foreign > 0, "some were heard and dropped");
    }

    /** Routers go over to cells one after another, each as a process started anew. */
    @Test
    void routersGoOverToCellsOneAfterAnother() {
        VirtualCells fleet = fleet(29);
        fleet.startAll();
        fleet.run(40 * SECOND);
        for (Router r : fleet.of("flat")) {
            fleet.kill(r);
            fleet.run(2 * SECOND);
            r.flat = false;
            fleet.start(r);
            fleet.run(6 * SECOND);
        }
        fleet.routers.forEach(r -> fleet.want(r, r.root.equals("flat") ? LIMIT : 0));
        fleet.run(80 * SECOND);
        CellSchedulesTest.assertSettled(fleet);
        assertTrue(fleet.spent(fleet.of("flat")) > 0.7 * LIMIT, () -> "they have " + fleet.spent(fleet.of("flat")));
    }
}
