package pumicemoor.fleet.cells;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pumicemoor.fleet.cells.CellSchedulesTest.assertSettled;
import static pumicemoor.fleet.cells.VirtualCells.FIRST_CACHE;
import static pumicemoor.fleet.cells.VirtualCells.MAX_EJECTED;
import static pumicemoor.fleet.cells.VirtualCells.MILLI;
import static pumicemoor.fleet.cells.VirtualCells.PERIOD;
import static pumicemoor.fleet.cells.VirtualCells.SECOND;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pumicemoor.RouterApi.LimitMeasure;
import pumicemoor.fleet.Bounds;
import pumicemoor.fleet.cells.VirtualCells.Router;

/**
 * Checks ejections across both levels: failure reports are summed up by cell, one leader on the upper level decides,
 * and its ejections reach all routers within the documented bound. VirtualCells checks at every instant that no more
 * than the allowed share of a tier is ejected at any router.
 */
class CellEjectionsTest {

    private static final int SIZE = 24;
    private static final int MIN_REPORTERS = 2;

    private static VirtualCells newFleet(long seed) {
        VirtualCells fleet = new VirtualCells(SIZE, 6, 2, LimitMeasure.PER_SECOND, 1_000, seed);
        fleet.add("a", 0, 10);
        fleet.add("b", 0, 5);
        fleet.add("c", 1, 9);
        fleet.startAll();
        fleet.run(60 * SECOND);
        assertEquals(1, fleet.leaders().size(), "leaders");
        return fleet;
    }

    private static void reportFailing(VirtualCells fleet, List<Router> reporters, long member) {
        reporters.stream().filter(fleet::isActive).forEach(r -> fleet.reportHealth(r, member, true));
    }

    /** Returns the microseconds from when the first router received an ejection until all running routers had. */
    private static long spreadMicros(VirtualCells fleet, long member) {
        long first = fleet.running().stream()
                .mapToLong(r -> r.firstEjectedAt.getOrDefault(member, Long.MAX_VALUE))
                .min()
                .orElseThrow();
        long last = fleet.running().stream()
                .mapToLong(r -> r.firstEjectedAt.getOrDefault(member, Long.MAX_VALUE))
                .max()
                .orElseThrow();
        assertTrue(
                last < Long.MAX_VALUE,
                () -> "these routers never received the ejection: "
                        + fleet.running().stream()
                                .filter(r -> !r.firstEjectedAt.containsKey(member))
                                .toList());
        return last - first;
    }

    private static long spreadBoundMicros(VirtualCells fleet) {
        int delegates =
                (int) fleet.running().stream().filter(Router::isDelegate).count();
        return Bounds.spreadInCellsMicros(delegates, fleet.largestCell(), PERIOD);
    }

    @Property(tries = 4, seed = "5501", shrinking = ShrinkingMode.OFF)
    void ejectionReachesAllWithinTheBoundWithoutAndWithThirtyPercentLoss(@ForAll long seed) {
        Random random = new Random(seed);
        VirtualCells fleet = newFleet(seed);
        long boundMicros = spreadBoundMicros(fleet);
        for (double lossRate : new double[] {0, 0.3}) {
            long member = FIRST_CACHE + (lossRate == 0 ? 3 : 4);
            fleet.lossRate = lossRate;
            fleet.run(3 * SECOND);
            List<Router> reporters = List.of(
                    fleet.inRoot("a").get(random.nextInt(10)), fleet.inRoot("c").get(random.nextInt(9)));
            for (int i = 0; i < 30; i++) {
                reportFailing(fleet, reporters, member);
                fleet.run(SECOND);
            }
            long tookMicros = spreadMicros(fleet, member);
            assertTrue(
                    tookMicros <= boundMicros,
                    () -> tookMicros / MILLI + " ms of " + boundMicros / MILLI + " with " + lossRate + " lost");
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"a a", "a c", "b b", "b a"})
    void twoReportersSufficeInOneCellOrTwoAndOneDoesNot(String roots) {
        VirtualCells fleet = newFleet(17);
        Router router = fleet.inRoot(roots.substring(0, 1)).get(2);
        Router other = fleet.inRoot(roots.substring(2)).get(3);
        for (int i = 0; i < 10; i++) {
            reportFailing(fleet, List.of(router), FIRST_CACHE + 3);
            fleet.run(SECOND, () -> assertEquals(Set.of(), fleet.ejectedAnywhere(), "one reporter is not enough"));
        }
        for (int i = 0; i < 15; i++) {
            reportFailing(fleet, List.of(router, other), FIRST_CACHE + 3);
            fleet.run(SECOND);
        }
        assertEquals(Set.of(FIRST_CACHE + 3), fleet.ejectedAnywhere());
        assertTrue(
                fleet.running().stream().allMatch(r -> r.ejected.stream().anyMatch(e -> e.member() == FIRST_CACHE + 3)),
                "every running router must eject it");
        fleet.reportHealth(router, FIRST_CACHE + 3, false);
        fleet.run(spreadBoundMicros(fleet) + 6 * SECOND);
        assertEquals(
                Set.of(),
                fleet.ejectedAnywhere(),
                "one reporter withdrew: a single one is not enough to renew the ejection");
    }

    /** During a split the router's report could be in the sums of two cells and count twice. */
    @Property(tries = 3, seed = "5502", shrinking = ShrinkingMode.OFF)
    void reporterCountsOnceWhileItsCellIsSplitAndItsGrantorsDie(@ForAll long seed) {
        Random random = new Random(seed);
        VirtualCells fleet = new VirtualCells(SIZE, 6, 2, LimitMeasure.PER_SECOND, 1_000, seed);
        fleet.add("a", 0, 5);
        fleet.add("b", 0, 6);
        fleet.add("c", 1, 9);
        fleet.startAll();
        fleet.run(60 * SECOND);
        Router router = fleet.inRoot("a").get(random.nextInt(5));
        fleet.add("a", 0, 4).forEach(fleet::start);
        for (int i = 0; i < 60; i++) {
            reportFailing(fleet, List.of(router), FIRST_CACHE + 3);
            if (i % 15 == 14 && fleet.grantorOf(router) != router) {
                fleet.kill(fleet.grantorOf(router));
            }
            fleet.run(SECOND, () -> assertEquals(Set.of(), fleet.ejectedAnywhere(), "one reporter, " + router));
        }
        assertTrue(router.cell().length() > 1, "its cell must have been split");
        reportFailing(fleet, List.of(fleet.inRoot("b").get(0)), FIRST_CACHE + 3);
        reportFailing(fleet, List.of(router), FIRST_CACHE + 3);
        fleet.run(10 * SECOND);
        assertEquals(
                Set.of(FIRST_CACHE + 3),
                fleet.running().stream()
                        .flatMap(r -> r.firstEjectedAt.keySet().stream())
                        .collect(Collectors.toCollection(TreeSet::new)),
                "a second reporter must eject it");
    }

    /**
     * Six of ten caches are reported by all, two may be ejected: leaders and delegates die or fall silent, regions are
     * cut off.
     */
    @Property(tries = 4, seed = "5503", shrinking = ShrinkingMode.OFF)
    void ejectedShareStaysBoundedWhileLeadersAndDelegatesChange(@ForAll long seed) {
        Random random = new Random(seed);
        VirtualCells fleet = newFleet(seed);
        boolean restarts = random.nextBoolean();
        for (int i = 0; i < 60; i++) {
            int round = i;
            fleet.running().stream()
                    .filter(fleet::isActive)
                    .filter(r -> random.nextInt(3) > 0)
                    .forEach(r -> fleet.reportHealth(
                            r, FIRST_CACHE + (round / 4 + random.nextInt(6)) % 10, random.nextInt(5) > 0));
            if (i % 6 == 5) {
                Router leader = fleet.leaders().isEmpty()
                        ? fleet.upperGrantor()
                        : fleet.leaders().get(0);
                switch (random.nextInt(6)) {
                    case 0 -> fleet.kill(leader);
                    case 1 -> fleet.pause(leader, (long) (random.nextDouble() * 15 * SECOND));
                    case 2 -> fleet.cut = (a, b) -> a == leader || b == leader;
                    case 3 -> fleet.cut = (a, b) -> a.region != b.region;
                    case 4 -> fleet.cut = (a, b) -> false;
                    default ->
                        fleet.kill(fleet.grantorOf(fleet.running().stream()
                                .filter(fleet::isActive)
                                .findFirst()
                                .orElseThrow()));
                }
            }
            if (restarts && random.nextInt(8) == 0) {
                fleet.routers.stream().filter(r -> !r.running).findFirst().ifPresent(fleet::start);
            }
            fleet.run((long) (random.nextDouble() * 1_500 * MILLI));
        }
        fleet.cut = (a, b) -> false;
        fleet.endPauses();
        for (int i = 0; i < 90; i++) {
            for (int cache = 0; cache < 6; cache++) {
                reportFailing(fleet, fleet.running().subList(0, MIN_REPORTERS), FIRST_CACHE + cache);
            }
            fleet.run(SECOND);
        }
        assertSettled(fleet);
        assertEquals(MAX_EJECTED, fleet.ejectedAnywhere().size(), "two of ten may be ejected, and six are reported");
    }

    @Test
    void onlyThePartitionWithAMajorityOfRoutersEjects() {
        VirtualCells fleet = newFleet(19);
        fleet.cut = (a, b) -> a.region != b.region; // 15 and 9 routers
        fleet.run(30 * SECOND);
        for (int i = 0; i < 30; i++) {
            reportFailing(fleet, fleet.inRoot("c"), FIRST_CACHE + 7);
            fleet.run(
                    SECOND, () -> assertEquals(Set.of(), fleet.ejectedAnywhere(), "nine of 24 routers must not eject"));
        }
        for (int i = 0; i < 20; i++) {
            reportFailing(fleet, fleet.inRoot("a").subList(0, 2), FIRST_CACHE + 3);
            fleet.run(SECOND);
        }
        List<Router> near = fleet.running().stream().filter(r -> r.region == 0).toList();
        assertTrue(
                near.stream().allMatch(r -> r.firstEjectedAt.containsKey(FIRST_CACHE + 3)),
                "fifteen of 24 routers must eject");
        assertTrue(fleet.inRoot("c").stream().allMatch(r -> r.firstEjectedAt.isEmpty()));
        fleet.cut = (a, b) -> false;
        for (int i = 0; i < 40; i++) {
            reportFailing(fleet, fleet.inRoot("a").subList(0, 2), FIRST_CACHE + 3);
            fleet.run(SECOND);
        }
        assertTrue(
                fleet.inRoot("c").stream().allMatch(r -> r.firstEjectedAt.containsKey(FIRST_CACHE + 3)),
                "the ejection must arrive after the partition ends");
    }
}
