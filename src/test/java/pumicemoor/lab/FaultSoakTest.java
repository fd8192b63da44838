package pumicemoor.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against violations that only combinations of faults cause; {@link SoakChecker} lists the rules. Three router
 * processes serve load while faults are injected by a random schedule that follows from a seed. The seeds are 1 to 3,
 * or those of -Dsoak.seeds=FIRST-LAST.
 */
class FaultSoakTest {

    private static final int ROUTERS = 3;
    private static final int CACHES = 5;
    private static final double REQUESTS_PER_SECOND = 60;
    private static final double DURATION_SECONDS = 16;
    private static final long DRAIN_GRACE_MILLIS = 1_000; // stop-sending-within-us in LabConfig
    private static final long DEADLINE_MILLIS = 1_500; // of the scenario in FleetRig
    private static final long MAX_STREAM_DELAY_MILLIS = 150; // of an overloaded coordinator

    private enum Fault {
        KILL,
        PAUSE,
        RELOAD,
        RESET_STREAMS,
        DELAY_STREAMS,
        DRAIN,
        RESTART_CACHE
    }

    @TempDir
    Path folder;

    private final List<String> schedule = new ArrayList<>();
    private final Set<String> draining = new LinkedHashSet<>();
    private final SoakChecker checker = new SoakChecker(DRAIN_GRACE_MILLIS, DEADLINE_MILLIS);
    private FleetRig rig;
    private Random random;
    private int restartingRouter = -1; // index of the killed router that is not ready yet, or -1
    private int pausedRouter = -1; // index of the stopped router, or -1
    private long readyCheckMillis;
    private long resumeMillis;
    private long drainEndMillis;

    static LongStream seeds() {
        String[] range = System.getProperty("soak.seeds", "1-3").split("-");
        return LongStream.rangeClosed(Long.parseLong(range[0]), Long.parseLong(range[1]));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void noRuleIsBrokenUnderARandomScheduleOfFaults(long seed) throws Exception {
        random = new Random(seed);
        try (FleetRig opened = new FleetRig(folder, ROUTERS, CACHES, REQUESTS_PER_SECOND, "")) {
            rig = opened;
            rig.runLoad(2);
            long endMillis = rig.requestLog.nowMillis() + (long) (DURATION_SECONDS * 1_000);
            long nextFaultMillis = rig.requestLog.nowMillis();
            while (rig.requestLog.nowMillis() < endMillis) {
                if (rig.requestLog.nowMillis() >= nextFaultMillis) {
                    inject(Fault.values()[random.nextInt(Fault.values().length)]);
                    nextFaultMillis = rig.requestLog.nowMillis() + 300 + random.nextInt(1_200);
                }
                repair(false);
                rig.runLoad(0.05);
            }
            repair(true);
            rig.runLoad(1);
            Thread.sleep(2 * DEADLINE_MILLIS);
            assertEquals(
                    List.of(),
                    checker.violations(rig.requestLog.requests(), rig.clients.completed()),
                    () -> "seed " + seed + ", faults: " + schedule);
        }
    }

    private void inject(Fault fault) throws Exception {
        long nowMillis = rig.requestLog.nowMillis();
        int router = random.nextInt(ROUTERS);
        int cache = random.nextInt(CACHES);
        long randomMillis = random.nextInt(1_500);
        boolean noRouterDown = restartingRouter < 0 && pausedRouter < 0;
        switch (fault) {
            case KILL -> {
                if (noRouterDown) {
                    logFault(fault, "router-" + router);
                    checker.routerKilled(nowMillis);
                    rig.routers.get(router).kill();
                    rig.start(router);
                    restartingRouter = router;
                    readyCheckMillis = nowMillis + 6_000;
                }
            }
            case PAUSE -> {
                if (noRouterDown) {
                    logFault(fault, "router-" + router + " for " + (300 + randomMillis));
                    rig.routers.get(router).signal("STOP");
                    pausedRouter = router;
                    resumeMillis = nowMillis + 300 + randomMillis;
                }
            }
            case RELOAD -> {
                if (router != restartingRouter) {
                    logFault(fault, "router-" + router);
                    rig.routers.get(router).reload();
                }
            }
            case RESET_STREAMS -> {
                logFault(fault, "all");
                rig.coordinator.resetOpen();
            }
            case DELAY_STREAMS -> {
                logFault(fault, "streams start after " + randomMillis % MAX_STREAM_DELAY_MILLIS);
                rig.coordinator.delayStreams(randomMillis % MAX_STREAM_DELAY_MILLIS);
                rig.coordinator.resetOpen();
            }
            case DRAIN -> {
                if (draining.isEmpty()) {
                    logFault(fault, "box-" + cache);
                    draining.add("box-" + cache);
                    checker.drainStarted("box-" + cache, rig.requestLog.nowMillis());
                    rig.drain("box-" + cache);
                    drainEndMillis = nowMillis + 2_500 + randomMillis;
                }
            }
            case RESTART_CACHE -> {
                if (!draining.contains("box-" + cache)) {
                    logFault(fault, "box-" + cache);
                    rig.restart("box-" + cache);
                }
            }
        }
    }

    /** Ends the faults whose time is over, or every fault if {@code all} is set. */
    private void repair(boolean all) throws Exception {
        long nowMillis = rig.requestLog.nowMillis();
        if (pausedRouter >= 0 && (all || nowMillis >= resumeMillis)) {
            rig.routers.get(pausedRouter).signal("CONT");
            pausedRouter = -1;
        }
        if (restartingRouter >= 0 && (all || nowMillis >= readyCheckMillis)) {
            rig.routers.get(restartingRouter).awaitReady();
            restartingRouter = -1;
        }
        if (!draining.isEmpty() && (all || nowMillis >= drainEndMillis)) {
            for (String member : draining) {
                checker.drainEnded(member, rig.requestLog.nowMillis());
                rig.undrain(member);
            }
            draining.clear();
        }
    }

    private void logFault(Fault fault, String description) {
        schedule.add(rig.requestLog.nowMillis() + " " + fault + " " + description);
    }
}
