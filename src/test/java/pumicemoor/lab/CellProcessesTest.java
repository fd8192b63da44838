package pumicemoor.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pumicemoor.fleet.Bounds;

/**
 * Guards against limits that are exceeded in a fleet of three cells, for instance by a grantor of a cell that grants
 * the whole limit instead of the cell's share. Processes of the program run with the fault network between them: a
 * delegate is killed, a cell is split, and all routers of a cell are restarted. Checked by the logs of the stand-in
 * members.
 */
class CellProcessesTest {

    private static final int ROUTERS_PER_CELL = 8;
    private static final int ROUTERS = 27;
    // the others join the third cell later, which then exceeds its maximum size
    private static final int INITIAL_ROUTERS = 24;
    private static final int MAX_CELL_SIZE = 9;
    private static final int CACHES = 3;
    private static final double CACHE_LIMIT = 100;
    private static final double ORIGIN_LIMIT = 60;
    private static final long BUCKET_MICROS = 100_000; // size of the token bucket of a limit, as in the decision code
    private static final long LEASE_MILLIS = 1_000;
    private static final long GUARD_MILLIS = 100;
    // docs/fleet-design.md, "Cells"
    private static final long SHRINK_MILLIS = GUARD_MILLIS + 4 * GUARD_MILLIS + 2 * 2 * LEASE_MILLIS + LEASE_MILLIS;
    private static final long RESTARTED_MILLIS = 2 * SHRINK_MILLIS; // how long a process counts as restarted
    private static final long SLACK_MILLIS = 500; // because stand-ins may log a request late
    private static final List<String> ROOTS = List.of("west", "east", "south");
    private static final String FLEET =
            """
              period-ms: 100
              lease-ms: 1000
              guard-ms: 100
              limits:
                - {name: boxes, members: each-cache, per-second: 100}
                - {name: origin, members: origin, per-second: 60}
              verdicts: {most-out: 0.34, witnesses: 2, hold-ms: 1500, guard-ms: 750}
              cells: {root: ROOT, most: 9, delegates: 2}
            """;

    @TempDir
    Path folder;

    private final List<Long> restartMillis = new ArrayList<>(); // times of process restarts

    private static String root(int router) {
        return ROOTS.get(Math.min(router / ROUTERS_PER_CELL, ROOTS.size() - 1));
    }

    private static List<Integer> routersOf(String root) {
        return IntStream.range(0, ROUTERS)
                .filter(router -> root(router).equals(root))
                .boxed()
                .toList();
    }

    private void restart(FleetRig rig, int router) throws Exception {
        restartMillis.add(rig.requestLog.nowMillis());
        rig.start(router);
    }

    /**
     * Checks the bound for every time window: the limit, a bucket for each process, and limit / size for each restarted
     * process for as long as other routers may still count the lease of its predecessor.
     */
    private void assertKept(FleetRig rig, String member, double limit) {
        long[] receivedMillis = rig.receivedAtMillis(member);
        for (long windowMillis : new long[] {3_000, 10_000, 200_000}) {
            double maxExcess = Double.NEGATIVE_INFINITY; // requests over the bound, of all windows of this length
            String description = "";
            for (int from = 0, to = 0; to < receivedMillis.length; to++) {
                while (receivedMillis[to] - receivedMillis[from] > windowMillis) {
                    from++;
                }
                long spanMillis = Math.min(windowMillis, receivedMillis[to] - receivedMillis[0]);
                long beginMillis = receivedMillis[to] - spanMillis;
                long endMillis = receivedMillis[to];
                long restarted = restartMillis.stream()
                        .filter(restart -> restart <= endMillis && restart + RESTARTED_MILLIS >= beginMillis)
                        .count();
                double restartAllowance = restartMillis.stream()
                                .mapToLong(restart -> Math.max(
                                        0,
                                        Math.min(endMillis, restart + RESTARTED_MILLIS)
                                                - Math.max(beginMillis, restart)))
                                .sum()
                        / 1e3
                        * (Bounds.maxTotalShares(limit, ROUTERS, 1) - limit);
                double bound = Bounds.maxRequests(
                                limit, (spanMillis + SLACK_MILLIS) * 1_000, BUCKET_MICROS, (int) (ROUTERS + restarted))
                        + restartAllowance;
                if (to - from + 1 - bound > maxExcess) {
                    maxExcess = to - from + 1 - bound;
                    description = member + ": " + (to - from + 1) + " requests in " + spanMillis + " ms until "
                            + endMillis + ", bound " + bound;
                }
            }
            assertTrue(maxExcess <= 0, description);
        }
    }

    /** Returns the routers by the cell that each reports; those that do not respond are in none. */
    private static Map<String, Set<Integer>> cells(FleetRig rig) {
        Map<String, Set<Integer>> cells = new TreeMap<>();
        for (int router = 0; router < ROUTERS; router++) {
            String cell = rig.routers.get(router).status().get("fleet-cell");
            if (cell != null) {
                cells.computeIfAbsent(cell, c -> new TreeSet<>()).add(router);
            }
        }
        return cells;
    }

    /**
     * Returns whether this number of routers is up, and each knows exactly the routers of its own cell as alive and
     * holds a lease of every limit.
     */
    private static boolean converged(FleetRig rig, int routers) {
        Map<String, Set<Integer>> cells = cells(rig);
        if (cells.values().stream().mapToInt(Set::size).sum() != routers) {
            return false;
        }
        Map<Integer, Integer> cellSizes = new HashMap<>();
        cells.values().forEach(c -> c.forEach(router -> cellSizes.put(router, c.size())));
        return cellSizes.entrySet().stream().allMatch(entry -> {
            List<Map<String, Object>> limits = rig.rows(entry.getKey(), "limits");
            return rig.rows(entry.getKey(), "members").stream()
                                    .filter(member -> member.get("level").equals("cell")
                                            && member.get("standing").equals("alive"))
                                    .count()
                            == entry.getValue()
                    && limits.size() == CACHES + 1
                    && limits.stream().allMatch(limit -> limit.get("state").equals("leased"));
        });
    }

    /** Sends load until the cells have converged; a slow machine takes longer, so the duration itself is not checked. */
    private static void awaitConverged(FleetRig rig, int routers) throws Exception {
        for (int attempt = 0; attempt < 40 && !converged(rig, routers); attempt++) {
            rig.runLoad(0.5);
        }
        assertTrue(
                converged(rig, routers), () -> cells(rig) + " " + rig.rows(0, "members") + " " + rig.rows(0, "limits"));
    }

    @Test
    void limitsHoldWhileADelegateDiesACellIsSplitAndACellIsRestarted() throws Exception {
        try (FleetRig rig = FleetRig.ofSmallProcesses(
                        folder,
                        ROUTERS,
                        INITIAL_ROUTERS,
                        CACHES,
                        600,
                        router -> FLEET.replace("ROOT", root(router)),
                        List.of(0, ROUTERS_PER_CELL, 2 * ROUTERS_PER_CELL));
                LoadClients west = rig.clientsOf(
                        routersOf("west").stream().map(rig.routers::get).toList())) {
            awaitConverged(rig, INITIAL_ROUTERS);
            assertEquals(3, cells(rig).size(), () -> "cells are " + cells(rig));

            // all demand is at one cell: it gets the other cells' shares from the level above
            rig.runLoad(6, List.of(west));
            int countBefore = rig.receivedAtMillis("box-0").length;
            rig.runLoad(3, List.of(west));
            int requests = rig.receivedAtMillis("box-0").length - countBefore;
            assertTrue(
                    requests > 1.5 * 3 * CACHE_LIMIT * ROUTERS_PER_CELL / ROUTERS,
                    () -> "requests to box-0 with all the demand at one cell: " + requests + " in 3 s");

            // demand at all cells; then the grantor of the first cell, which is a delegate, is killed
            String grantor = rig.routers.get(0).status().get("fleet-grantor");
            int delegate = Integer.parseInt(grantor.substring(grantor.indexOf('-') + 1));
            assertTrue(routersOf("west").contains(delegate), grantor);
            assertEquals("yes", rig.routers.get(delegate).status().get("fleet-delegate"));
            rig.runLoad(2);
            rig.routers.get(delegate).kill();
            rig.runLoad(5);
            restart(rig, delegate);

            // three routers join the third cell, which then exceeds its maximum size
            for (int router = INITIAL_ROUTERS; router < ROUTERS; router++) {
                rig.start(router);
            }
            rig.runLoad(6);
            awaitConverged(rig, ROUTERS);
            Map<String, Set<Integer>> cellsAfterSplit = cells(rig);
            assertTrue(
                    cellsAfterSplit.size() >= 4
                            && cellsAfterSplit.values().stream().allMatch(c -> c.size() <= MAX_CELL_SIZE),
                    () -> "cells " + cellsAfterSplit);

            // all routers of the second cell are restarted
            for (int router : routersOf("east")) {
                rig.routers.get(router).kill();
            }
            for (int router : routersOf("east")) {
                restart(rig, router);
            }
            rig.runLoad(8);
            awaitConverged(rig, ROUTERS);
            for (int i = 0; i < CACHES; i++) {
                assertKept(rig, "box-" + i, CACHE_LIMIT);
            }
            assertKept(rig, "origin", ORIGIN_LIMIT);
            int received = rig.receivedAtMillis("box-0").length;
            assertTrue(received > 0, "the cache received no requests");
        }
    }
}
