package pumicemoor.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pumicemoor.fleet.DrainRun.SECOND;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pumicemoor.fleet.VirtualFleet.Router;

/** Faults in the middle of a maintenance, case by case. */
class DrainFaultsTest {

    private static final long NEVER = 3_600 * SECOND;

    private static Router keeper(DrainRun run) {
        return run.fleet.routers.stream()
                .filter(r -> r.running && r.fleet.fields().get("fleet-keeper").equals("yes"))
                .findFirst()
                .orElseThrow();
    }

    private static DrainRun begun(long gone) {
        DrainRun run = new DrainRun(5, 8, 2, 5, gone, 5);
        run.run(8 * SECOND);
        run.request(run.fleet.routers.get(2), 1, 0, 8);
        return run;
    }

    /** The keeper dies for good at some moment: another goes on, every member is done once. */
    @ParameterizedTest
    @ValueSource(longs = {50, 300, 900, 2_000, 2_500, 3_000, 4_000})
    void theKeepersDeathEndsNothing(long millis) {
        DrainRun run = begun(20 * SECOND);
        run.run(millis * VirtualFleet.MILLI);
        run.fleet.kill(keeper(run));
        run.run(30 * SECOND);
        run.request(
                run.fleet.routers.stream().filter(r -> r.running).findFirst().orElseThrow(), 1, 0, 8);
        run.runToEnd(300 * SECOND);
        assertEquals(8, run.everOut.size());
        assertEquals(8, run.fencesSeen.size(), "each went out once");
    }

    @Test
    void aSideWithoutAMajorityLetsNobodyOut() {
        DrainRun run = new DrainRun(5, 8, 2, 5, NEVER, 6);
        run.run(8 * SECOND);
        List<Router> small = run.fleet.routers.subList(0, 2);
        run.fleet.cut = (a, b) -> small.contains(a) != small.contains(b);
        run.run(10 * SECOND);
        assertTrue(run.request(small.get(0), 1, 0, 8).startsWith("waits"));
        run.run(40 * SECOND);
        assertTrue(run.everOut.isEmpty());
        assertEquals(
                "not-taken",
                small.get(0).fleet.rows("drain-requests").orElseThrow().get(0).get("state"));
        run.fleet.cut = (a, b) -> false;
        run.runToEnd(200 * SECOND);
        assertEquals(8, run.everOut.size(), "it was kept and asked for again");
    }

    /** While a router that may live can't be told, only those go out that it knows to be named. */
    @Test
    void theLargeSideGoesNoFurtherThanTheSmallOneKnowsUntilThatCountsAsGone() {
        DrainRun run = begun(60 * SECOND);
        run.run(500 * VirtualFleet.MILLI);
        Router lost = run.fleet.routers.stream()
                .filter(r -> r != keeper(run))
                .findFirst()
                .orElseThrow();
        run.fleet.cut = (a, b) -> a == lost != (b == lost);
        run.run(40 * SECOND);
        assertTrue(run.everOut.size() <= 4, () -> "two out and two named: " + run.everOut);
        String why = keeper(run).fleet.rows("drains").orElseThrow().toString();
        assertTrue(why.contains("router " + lost.name + " has not been told"), why);
        run.fleet.kill(lost); // nothing is promised of one that counts as gone and lives
        run.run(60 * SECOND);
        assertTrue(run.everOut.size() > 4, "it counts as gone, and the rest follows");
    }

    @Test
    void whoDoesNotComeBackStopsTheQueueAndIsSpokenOf() {
        DrainRun run = begun(NEVER);
        run.operatorThere = true;
        run.work = NEVER;
        run.run(90 * SECOND);
        assertEquals(2, run.down.size());
        assertEquals(2, run.everOut.size(), "the queue stops at the budget");
        List<Map<String, Object>> rows = keeper(run).fleet.rows("drains").orElseThrow();
        assertEquals(2, rows.stream().filter(r -> (Boolean) r.get("overdue")).count());
        assertTrue(
                rows.stream().filter(r -> r.get("phase").equals("out")).allMatch(r -> r.get("held-up")
                        .equals("the work: drain done")),
                rows::toString);
        run.work = SECOND;
        run.runToEnd(200 * SECOND);
    }

    @Test
    void everyStepHasItsLineWithACause() {
        DrainRun run = begun(NEVER);
        run.runToEnd(200 * SECOND);
        List<LogEvent> lines = run.fleet.routers.stream()
                .flatMap(r -> r.notices.stream())
                .filter(n -> n.text().startsWith("drain of"))
                .toList();
        for (String phase : List.of("named", "draining", "out", "returning")) {
            assertEquals(
                    8,
                    lines.stream()
                            .filter(n -> n.fields().get("phase").equals(phase))
                            .count(),
                    phase);
        }
        assertTrue(
                lines.stream()
                        .noneMatch(n -> n.fields().get("cause").toString().contains("earlier keeper")),
                lines::toString);
    }

    /** Routers are taken out too: each is started anew while it is out, and a majority stays. */
    @Test
    void routersAreMaintainedOneByOne() {
        DrainRun run = new DrainRun(3, 4, 1, 1, NEVER, 9);
        run.run(8 * SECOND);
        assertTrue(run.fleet
                .routers
                .get(1)
                .fleet
                .handleCommand(
                        run.fleet.now,
                        Map.of(
                                "drain",
                                "request",
                                "id",
                                "5",
                                "members",
                                "router/router-0,router/router-1,router/router-2",
                                "max-at-once",
                                "1",
                                "min-serving",
                                "2"))
                .startsWith("waits"));
        int[] restarted = {0};
        for (int i = 0; i < 120 && restarted[0] < 3; i++) {
            run.operatorThere = false;
            run.run(SECOND);
            for (Router r : run.fleet.routers) {
                for (Map<String, Object> row : r.fleet.rows("drains").orElseThrow()) {
                    if (row.get("phase").equals("out") && run.fencesSeen.add((Long) row.get("fence"))) {
                        String name = row.get("member").toString().substring("router/".length());
                        Router out = run.fleet.routers.stream()
                                .filter(x -> x.name.equals(name))
                                .findFirst()
                                .orElseThrow();
                        run.fleet.kill(out);
                        run.run(2 * SECOND);
                        run.fleet.start(out);
                        run.run(8 * SECOND);
                        out.fleet.handleCommand(
                                run.fleet.now, Map.of("drain", "done", "id", "6", "members", "router/" + name));
                        restarted[0]++;
                    }
                }
            }
        }
        assertEquals(3, restarted[0], () -> run.fleet.routers.stream()
                .map(r -> r.fleet.rows("drains") + " " + r.fleet.rows("drain-requests") + r.fleet.fields())
                .toList()
                .toString());
        run.run(20 * SECOND);
        run.fleet.routers.forEach(r -> assertTrue(
                r.fleet.plan().orElseThrow().requests().isEmpty(),
                () -> r.fleet.rows("drains").toString()));
    }
}
