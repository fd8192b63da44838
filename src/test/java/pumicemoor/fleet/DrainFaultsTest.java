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

/** Faults in the middle of a rolling maintenance, case by case. */
class DrainFaultsTest {

    private static final long NEVER = 3_600 * SECOND;

    private static Router leader(DrainRun run) {
        return run.fleet.routers.stream()
                .filter(r -> r.running && r.fleet.fields().get("fleet-keeper").equals("yes"))
                .findFirst()
                .orElseThrow();
    }

    private static DrainRun startedMaintenance(long goneMicros) {
        DrainRun run = new DrainRun(5, 8, 2, 5, goneMicros, 5);
        run.run(8 * SECOND);
        run.request(run.fleet.routers.get(2), 1, 0, 8);
        return run;
    }

    /** The leader dies for good at some moment: another router continues, and every member goes out exactly once. */
    @ParameterizedTest
    @ValueSource(longs = {50, 300, 900, 2_000, 2_500, 3_000, 4_000})
    void maintenanceCompletesThoughTheLeaderDies(long millis) {
        DrainRun run = startedMaintenance(20 * SECOND);
        run.run(millis * VirtualFleet.MILLI);
        run.fleet.kill(leader(run));
        run.run(30 * SECOND);
        run.request(
                run.fleet.routers.stream().filter(r -> r.running).findFirst().orElseThrow(), 1, 0, 8);
        run.runToEnd(300 * SECOND);
        assertEquals(8, run.everOut.size());
        assertEquals(8, run.fencesSeen.size(), "each member went out once");
    }

    @Test
    void aPartitionWithoutAMajorityTakesNoMemberOut() {
        DrainRun run = new DrainRun(5, 8, 2, 5, NEVER, 6);
        run.run(8 * SECOND);
        List<Router> minority = run.fleet.routers.subList(0, 2);
        run.fleet.cut = (a, b) -> minority.contains(a) != minority.contains(b);
        run.run(10 * SECOND);
        assertTrue(run.request(minority.get(0), 1, 0, 8).startsWith("waits"));
        run.run(40 * SECOND);
        assertTrue(run.everOut.isEmpty());
        assertEquals(
                "not-taken",
                minority.get(0)
                        .fleet
                        .rows("drain-requests")
                        .orElseThrow()
                        .get(0)
                        .get("state"));
        run.fleet.cut = (a, b) -> false;
        run.runToEnd(200 * SECOND);
        assertEquals(8, run.everOut.size(), "the command was kept and reported again");
    }

    /** While a router that may be alive cannot be reached, only members that it knows to be named go out. */
    @Test
    void aMajorityWaitsForAnUnreachableRouterUntilItCountsAsGone() {
        DrainRun run = startedMaintenance(60 * SECOND);
        run.run(500 * VirtualFleet.MILLI);
        Router unreachable = run.fleet.routers.stream()
                .filter(r -> r != leader(run))
                .findFirst()
                .orElseThrow();
        run.fleet.cut = (a, b) -> a == unreachable != (b == unreachable);
        run.run(40 * SECOND);
        assertTrue(run.everOut.size() <= 4, () -> "at most two out and two named: " + run.everOut);
        String rows = leader(run).fleet.rows("drains").orElseThrow().toString();
        assertTrue(rows.contains("router " + unreachable.name + " has not been told"), rows);
        run.fleet.kill(unreachable); // nothing is guaranteed for a router that counts as gone but is alive
        run.run(60 * SECOND);
        assertTrue(run.everOut.size() > 4, "once the router counts as gone, the other members follow");
    }

    @Test
    void membersThatDoNotComeBackStopTheQueueAndAreShownAsOverdue() {
        DrainRun run = startedMaintenance(NEVER);
        run.operatorPresent = true;
        run.workMicros = NEVER;
        run.run(90 * SECOND);
        assertEquals(2, run.down.size());
        assertEquals(2, run.everOut.size(), "the queue stops at the limit of members out at once");
        List<Map<String, Object>> rows = leader(run).fleet.rows("drains").orElseThrow();
        assertEquals(2, rows.stream().filter(r -> (Boolean) r.get("overdue")).count());
        assertTrue(
                rows.stream().filter(row -> row.get("phase").equals("out")).allMatch(row -> row.get("held-up")
                        .equals("the work: drain done")),
                rows::toString);
        run.workMicros = SECOND;
        run.runToEnd(200 * SECOND);
    }

    @Test
    void everyPhaseChangeIsLoggedWithItsCause() {
        DrainRun run = startedMaintenance(NEVER);
        run.runToEnd(200 * SECOND);
        List<LogEvent> drainEvents = run.fleet.routers.stream()
                .flatMap(r -> r.logEvents.stream())
                .filter(e -> e.text().startsWith("drain of"))
                .toList();
        for (String phase : List.of("named", "draining", "out", "returning")) {
            assertEquals(
                    8,
                    drainEvents.stream()
                            .filter(e -> e.fields().get("phase").equals(phase))
                            .count(),
                    phase);
        }
        assertTrue(
                drainEvents.stream()
                        .noneMatch(e -> e.fields().get("cause").toString().contains("earlier leader")),
                drainEvents::toString);
    }

    /** Routers are drained too: each is restarted while it is out, and a majority stays in service. */
    @Test
    void routersAreDrainedOneByOne() {
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
            run.operatorPresent = false;
            run.run(SECOND);
            for (Router router : run.fleet.routers) {
                for (Map<String, Object> row : router.fleet.rows("drains").orElseThrow()) {
                    if (row.get("phase").equals("out") && run.fencesSeen.add((Long) row.get("fence"))) {
                        String name = row.get("member").toString().substring("router/".length());
                        Router drained = run.fleet.routers.stream()
                                .filter(x -> x.name.equals(name))
                                .findFirst()
                                .orElseThrow();
                        run.fleet.kill(drained);
                        run.run(2 * SECOND);
                        run.fleet.start(drained);
                        run.run(8 * SECOND);
                        drained.fleet.handleCommand(
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
        run.fleet.routers.forEach(router -> assertTrue(
                router.fleet.plan().orElseThrow().requests().isEmpty(),
                () -> router.fleet.rows("drains").toString()));
    }
}
