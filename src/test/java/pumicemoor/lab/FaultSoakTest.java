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

/** Three router processes under load, and a schedule of faults from a seed; -Dsoak.seeds=FIRST-LAST for other seeds. */
class FaultSoakTest {

    private static final int ROUTERS = 3;
    private static final int CACHES = 5;
    private static final double RATE = 60; // requests a second
    private static final double SECONDS = 16;
    private static final long DRAIN_GRACE = 1_000; // milliseconds, of the settings in LabConfig
    private static final long DEADLINE = 1_500; // milliseconds, of the scenario in FleetRig
    private static final long SLOWEST_ANSWER = 150; // milliseconds of a crowded coordinator

    private enum Fault {
        KILL,
        PAUSE,
        HANG_UP,
        RESET_STREAMS,
        CROWD,
        DRAIN,
        RESTART_CACHE
    }

    @TempDir
    Path folder;

    private final List<String> schedule = new ArrayList<>();
    private final Set<String> draining = new LinkedHashSet<>();
    private final SoakChecker checker = new SoakChecker(DRAIN_GRACE, DEADLINE);
    private FleetRig rig;
    private Random random;
    private int down = -1; // the router that is not back yet
    private int paused = -1;
    private long backAt;
    private long resumeAt;
    private long activeAt;

    static LongStream seeds() {
        String[] range = System.getProperty("soak.seeds", "1-3").split("-");
        return LongStream.rangeClosed(Long.parseLong(range[0]), Long.parseLong(range[1]));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void allRulesHoldThroughAScheduleOfFaults(long seed) throws Exception {
        random = new Random(seed);
        try (FleetRig opened = new FleetRig(folder, ROUTERS, CACHES, RATE, "")) {
            rig = opened;
            rig.play(2);
            long end = rig.record.now() + (long) (SECONDS * 1_000);
            long nextFault = rig.record.now();
            while (rig.record.now() < end) {
                if (rig.record.now() >= nextFault) {
                    inject(Fault.values()[random.nextInt(Fault.values().length)]);
                    nextFault = rig.record.now() + 300 + random.nextInt(1_200);
                }
                repair(false);
                rig.play(0.05);
            }
            repair(true);
            rig.play(1);
            Thread.sleep(2 * DEADLINE);
            assertEquals(
                    List.of(),
                    checker.breaks(rig.record.asked(), rig.clients.done()),
                    () -> "seed " + seed + ", faults: " + schedule);
        }
    }

    private void inject(Fault fault) throws Exception {
        long now = rig.record.now();
        int router = random.nextInt(ROUTERS);
        int cache = random.nextInt(CACHES);
        long wait = random.nextInt(1_500);
        boolean free = down < 0 && paused < 0;
        switch (fault) {
            case KILL -> {
                if (free) {
                    note(fault, "router-" + router);
                    checker.killed(now);
                    rig.routers.get(router).kill();
                    rig.start(router);
                    down = router;
                    backAt = now + 6_000;
                }
            }
            case PAUSE -> {
                if (free) {
                    note(fault, "router-" + router + " for " + (300 + wait));
                    rig.routers.get(router).signal("STOP");
                    paused = router;
                    resumeAt = now + 300 + wait;
                }
            }
            case HANG_UP -> {
                if (router != down) {
                    note(fault, "router-" + router);
                    rig.routers.get(router).hangUp();
                }
            }
            case RESET_STREAMS -> {
                note(fault, "all");
                rig.coordinator.resetOpen();
            }
            case CROWD -> {
                note(fault, "answers after " + wait % SLOWEST_ANSWER);
                rig.coordinator.answerLate(wait % SLOWEST_ANSWER);
                rig.coordinator.resetOpen();
            }
            case DRAIN -> {
                if (draining.isEmpty()) {
                    note(fault, "box-" + cache);
                    draining.add("box-" + cache);
                    checker.drained("box-" + cache, rig.record.now());
                    rig.drain("box-" + cache);
                    activeAt = now + 2_500 + wait;
                }
            }
            case RESTART_CACHE -> {
                if (!draining.contains("box-" + cache)) {
                    note(fault, "box-" + cache);
                    rig.restart("box-" + cache);
                }
            }
        }
    }

    /** Ends what has lasted for as long as it was to last, or all. */
    private void repair(boolean all) throws Exception {
        long now = rig.record.now();
        if (paused >= 0 && (all || now >= resumeAt)) {
            rig.routers.get(paused).signal("CONT");
            paused = -1;
        }
        if (down >= 0 && (all || now >= backAt)) {
            rig.routers.get(down).awaitReady();
            down = -1;
        }
        if (!draining.isEmpty() && (all || now >= activeAt)) {
            for (String member : draining) {
                checker.active(member, rig.record.now());
                rig.undrain(member);
            }
            draining.clear();
        }
    }

    private void note(Fault fault, String what) {
        schedule.add(rig.record.now() + " " + fault + " " + what);
    }
}
