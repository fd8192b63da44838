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
 * Processes of the program in three cells, with the fault network between them: a delegate is killed, a cell is split, a
 * cell's routers are all restarted. Judged by the stand-in members' own records. It sees a cell's grantor that lends out
 * the whole limit whatever its share is.
 */
class CellProcessesTest {

    private static final int EACH = 8;
    private static final int ROUTERS = 27;
    private static final int AT_FIRST = 24; // the others join the third cell, which is too large then
    private static final int MOST = 9;
    private static final int CACHES = 3;
    private static final double TO_CACHE = 100;
    private static final double TO_ORIGIN = 60;
    private static final long BUCKET = 100_000; // microseconds, as the decisions have it
    private static final long LEASE = 1_000; // milliseconds
    private static final long GUARD = 100;
    private static final long SHRINK = GUARD + 4 * GUARD + 2 * 2 * LEASE + LEASE; // docs/fleet-design.md, "Cells"
    private static final long ANEW = 2 * SHRINK; // how long a process counts as started anew
    private static final long SLACK = 500; // milliseconds, for stand-ins that write down late what came in time
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

    private final List<Long> restarts =
            new ArrayList<>(); // when a process took the place of one that ended: milliseconds

    private static String root(int router) {
        return ROOTS.get(Math.min(router / EACH, ROOTS.size() - 1));
    }

    private static List<Integer> of(String root) {
        return IntStream.range(0, ROUTERS)
                .filter(r -> root(r).equals(root))
                .boxed()
                .toList();
    }

    private void restart(FleetRig rig, int router) throws Exception {
        restarts.add(rig.record.now());
        rig.start(router);
    }

    /**
     * The bound for every stretch of time: the limit, a bucket for each process, and limit / size for each process started
     * anew for as long as its predecessor's lease may be counted elsewhere.
     */
    private void assertKept(FleetRig rig, String member, double limit) {
        long[] at = rig.cameTo(member);
        for (long window : new long[] {3_000, 10_000, 200_000}) {
            double worst = Double.NEGATIVE_INFINITY; // requests over the bound, of all stretches of this length
            String where = "";
            for (int from = 0, to = 0; to < at.length; to++) {
                while (at[to] - at[from] > window) {
                    from++;
                }
                long span = Math.min(window, at[to] - at[0]);
                long begin = at[to] - span;
                long end = at[to];
                long anew = restarts.stream()
                        .filter(s -> s <= end && s + ANEW >= begin)
                        .count();
                double allowed = restarts.stream()
                                .mapToLong(s -> Math.max(0, Math.min(end, s + ANEW) - Math.max(begin, s)))
                                .sum()
                        / 1e3
                        * (Bounds.spent(limit, ROUTERS, 1) - limit);
                double bound = Bounds.requests(limit, (span + SLACK) * 1_000, BUCKET, (int) (ROUTERS + anew)) + allowed;
                if (to - from + 1 - bound > worst) {
                    worst = to - from + 1 - bound;
                    where = member + ": " + (to - from + 1) + " requests in " + span + " ms until " + end + ", bound "
                            + bound;
                }
            }
            assertTrue(worst <= 0, where);
        }
    }

    /** The routers by the cell that each says it is of; those that do not answer are in none. */
    private static Map<String, Set<Integer>> cells(FleetRig rig) {
        Map<String, Set<Integer>> cells = new TreeMap<>();
        for (int r = 0; r < ROUTERS; r++) {
            String cell = rig.routers.get(r).status().get("fleet-cell");
            if (cell != null) {
                cells.computeIfAbsent(cell, c -> new TreeSet<>()).add(r);
            }
        }
        return cells;
    }

    /** Whether so many routers are there, each knows just those of its own cell as alive, and lives by leases of all limits. */
    private static boolean together(FleetRig rig, int routers) {
        Map<String, Set<Integer>> cells = cells(rig);
        if (cells.values().stream().mapToInt(Set::size).sum() != routers) {
            return false;
        }
        Map<Integer, Integer> size = new HashMap<>();
        cells.values().forEach(c -> c.forEach(r -> size.put(r, c.size())));
        return size.entrySet().stream().allMatch(e -> {
            List<Map<String, Object>> limits = rig.rows(e.getKey(), "limits");
            return rig.rows(e.getKey(), "members").stream()
                                    .filter(m -> m.get("level").equals("cell")
                                            && m.get("standing").equals("alive"))
                                    .count()
                            == e.getValue()
                    && limits.size() == CACHES + 1
                    && limits.stream().allMatch(l -> l.get("state").equals("leased"));
        });
    }

    /** Plays until all are together; a slow machine takes longer, and no bound is on that. */
    private static void awaitTogether(FleetRig rig, int routers) throws Exception {
        for (int wait = 0; wait < 40 && !together(rig, routers); wait++) {
            rig.play(0.5);
        }
        assertTrue(
                together(rig, routers), () -> cells(rig) + " " + rig.rows(0, "members") + " " + rig.rows(0, "limits"));
    }

    @Test
    void limitsHoldWhileADelegateDiesACellIsSplitAndACellIsRestarted() throws Exception {
        try (FleetRig rig = FleetRig.ofMany(
                        folder,
                        ROUTERS,
                        AT_FIRST,
                        CACHES,
                        600,
                        r -> FLEET.replace("ROOT", root(r)),
                        List.of(0, EACH, 2 * EACH));
                LoadClients west =
                        rig.clientsOf(of("west").stream().map(rig.routers::get).toList())) {
            awaitTogether(rig, AT_FIRST);
            assertEquals(3, cells(rig).size(), () -> "cells are " + cells(rig));

            // all demand at one cell: the others' share comes to it through the level above
            rig.play(6, List.of(west));
            int before = rig.cameTo("box-0").length;
            rig.play(3, List.of(west));
            int used = rig.cameTo("box-0").length - before;
            assertTrue(
                    used > 1.5 * 3 * TO_CACHE * EACH / ROUTERS,
                    () -> "a cell with all the demand had " + used + " in 3 s");

            // all demand everywhere, and the router to which the first cell reports is killed: it is a delegate
            String grantor = rig.routers.get(0).status().get("fleet-grantor");
            int delegate = Integer.parseInt(grantor.substring(grantor.indexOf('-') + 1));
            assertTrue(of("west").contains(delegate), grantor);
            assertEquals("yes", rig.routers.get(delegate).status().get("fleet-delegate"));
            rig.play(2);
            rig.routers.get(delegate).kill();
            rig.play(5);
            restart(rig, delegate);

            // three join the third cell, which has more than it may then
            for (int r = AT_FIRST; r < ROUTERS; r++) {
                rig.start(r);
            }
            rig.play(6);
            awaitTogether(rig, ROUTERS);
            Map<String, Set<Integer>> split = cells(rig);
            assertTrue(
                    split.size() >= 4 && split.values().stream().allMatch(c -> c.size() <= MOST),
                    () -> "cells " + split);

            // the second cell's routers are all started anew
            for (int r : of("east")) {
                rig.routers.get(r).kill();
            }
            for (int r : of("east")) {
                restart(rig, r);
            }
            rig.play(8);
            awaitTogether(rig, ROUTERS);
            for (int i = 0; i < CACHES; i++) {
                assertKept(rig, "box-" + i, TO_CACHE);
            }
            assertKept(rig, "origin", TO_ORIGIN);
            int all = rig.cameTo("box-0").length;
            assertTrue(all > 0, "the limit is there to be used");
        }
    }
}
