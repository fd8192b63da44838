package pumicemoor.lab.scale;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Predicate;
import pumicemoor.lab.scale.SimulatedFleet.FleetParameters;
import pumicemoor.lab.scale.SimulatedFleet.Kind;

/**
 * Measures what a router costs as a member of its fleet, by size of the fleet. It owns the sequence of events in each
 * simulated fleet (start, calm period, faults) and the measured windows. Counts are the same for each run of the same
 * configuration; CPU time and heap are those of this machine. A size that exceeds its time limit is aborted: the
 * samples taken so far are kept and a progress line reports the abort.
 */
final class FleetRoles implements RoleMeasurement {

    private static final int START_SECONDS = 10; // measured after all routers start at once
    private static final int RESTART_SECONDS = 10; // measured after a share of the routers restarts
    private static final int HOLDER_FLEET_ROUTERS = 30; // in the fleet that measures the role 'holder'
    private static final int FAILURE_REPORT_SECONDS = 10; // for which every router reports one member as failing
    /** In smaller fleets the rest of the heap varies by more than the routers use. */
    private static final int MIN_ROUTERS_FOR_HEAP = 100;

    private static final int WARM_UP_ROUTERS = 60; // in the fleet that only warms up the JIT compiler
    private static final long PROGRESS_INTERVAL_NANOS = 10_000_000_000L; // between two progress lines

    private final Consumer<List<Sample>> onSamples;
    private ScaleConfig config;
    private PrintStream progress;
    private final List<Sample> samples = new ArrayList<>();
    private long runStartedNanos;
    private long lastProgressNanos;
    private boolean aborted;

    /**
     * @param onSamples receives all samples so far after each fleet size of the roles 'fleet' and 'keeper', since the
     *     next size may take long
     */
    FleetRoles(Consumer<List<Sample>> onSamples) {
        this.onSamples = onSamples;
    }

    @Override
    public List<Sample> measure(ScaleConfig config, PrintStream progress) {
        this.config = config;
        this.progress = progress;
        samples.clear();
        warmUp();
        if (config.roles().contains(ScaleConfig.Role.FLEET) || config.roles().contains(ScaleConfig.Role.KEEPER)) {
            config.routers().forEach(size -> {
                measureFleet(size);
                onSamples.accept(List.copyOf(samples));
            });
        }
        if (config.roles().contains(ScaleConfig.Role.HOLDER)) {
            config.limits().forEach(this::measureHolders);
        }
        if (config.roles().contains(ScaleConfig.Role.DRAINS)) {
            config.drains().forEach(this::measureDrains);
        }
        return List.copyOf(samples);
    }

    /**
     * Runs a fleet without measuring it, since the first figures would otherwise be those of code that is not
     * compiled yet. Configurations with small fleets alone skip this; their figures include that cost.
     */
    private void warmUp() {
        if (config.routers().stream().allMatch(n -> n < WARM_UP_ROUTERS)) {
            return;
        }
        beginRun("warming up");
        SimulatedFleet fleet = new SimulatedFleet(config, new FleetParameters(WARM_UP_ROUTERS, 1, false));
        fleet.startAll();
        simulate(fleet, 20, "warming up");
    }

    private void measureFleet(int size) {
        beginRun("routers " + size);
        if (config.cells() == null && size > SimulatedFleet.MAX_TABLE_ROUTERS) {
            progress.println("routers " + size + ": the table is set to hold them all; a real router's holds "
                    + SimulatedFleet.MAX_TABLE_ROUTERS);
        }
        long heapBefore = usedHeap();
        SimulatedFleet fleet = new SimulatedFleet(config, new FleetParameters(size, 1, false));
        int seconds = (int) Math.ceil(config.seconds());
        boolean measured = config.roles().contains(ScaleConfig.Role.FLEET);
        fleet.startAll();
        if (!measureWindow(fleet, START_SECONDS, measured ? "start" : null)
                || !simulate(fleet, Math.max(0, config.settle() - START_SECONDS), "settling")) {
            return;
        }
        fleet.churn();
        if (!measureWindow(fleet, seconds, measured ? "calm" : null)) {
            return;
        }
        if (measured) {
            fleet.beginWindow(0);
            addHeap(fleet, heapBefore, size);
            injectFaults(fleet, size, seconds);
        }
        if (!aborted && config.verdicts() && config.roles().contains(ScaleConfig.Role.KEEPER)) {
            fleet.reportFailing(fleet.now + FAILURE_REPORT_SECONDS * SimulatedFleet.MICROS_PER_SECOND);
            measureWindow(fleet, FAILURE_REPORT_SECONDS, "one member accused by all");
        }
    }

    private void injectFaults(SimulatedFleet fleet, int size, int seconds) {
        ScaleConfig.Faults faults = config.faults();
        Random random = new Random(config.seed());
        if (faults.restartShare() > 0) {
            fleet.beginWindow(RESTART_SECONDS);
            int restarted =
                    fleet.restart(r -> random.nextDouble() < faults.restartShare(), SimulatedFleet.MICROS_PER_SECOND);
            if (!finishWindow(fleet, RESTART_SECONDS, percent(faults.restartShare()) + " restarted")
                    || !simulate(fleet, seconds, "settling")) {
                return;
            }
            report("routers " + size + ": " + restarted + " were started anew at once");
        }
        if (faults.zoneSeconds() > 0) {
            int zone = fleet.geography.largest(Geography.Location::zone, -1);
            int lostSeconds = (int) Math.ceil(faults.zoneSeconds());
            fleet.beginWindow(lostSeconds);
            int restarted =
                    fleet.restart(r -> r.location.zone() == zone, lostSeconds * SimulatedFleet.MICROS_PER_SECOND);
            if (!finishWindow(fleet, lostSeconds, "zone lost") || !measureWindow(fleet, seconds, "zone back")) {
                return;
            }
            report("routers " + size + ": a zone with " + restarted + " of them was lost and came back");
        }
        if (faults.cutSeconds() > 0) {
            int firstRegion = fleet.geography.largest(Geography.Location::region, -1);
            int secondRegion = fleet.geography.largest(Geography.Location::region, firstRegion);
            int cutSeconds = (int) Math.ceil(faults.cutSeconds());
            fleet.setPartition((a, b) -> a.region() == firstRegion && b.region() == secondRegion
                    || a.region() == secondRegion && b.region() == firstRegion);
            if (firstRegion == secondRegion || !measureWindow(fleet, cutSeconds, "regions cut")) {
                return;
            }
            fleet.setPartition((a, b) -> false);
            measureWindow(fleet, seconds, "regions joined");
        }
    }

    /**
     * Measures a small fleet with the given number of limits: the cost of its members, which hold shares of the
     * limits, and of its grantor.
     */
    private void measureHolders(int limits) {
        beginRun("limits " + limits);
        SimulatedFleet fleet = new SimulatedFleet(config, new FleetParameters(HOLDER_FLEET_ROUTERS, limits, false));
        fleet.startAll();
        if (!simulate(fleet, config.settle(), "settling")) {
            return;
        }
        fleet.beginWindow((int) Math.ceil(config.seconds()));
        if (!simulate(fleet, Math.ceil(config.seconds()), "calm")) {
            return;
        }
        fleet.samples("calm", false)
                .forEach(s -> samples.add(new Sample(
                        (s.role().startsWith("member") ? "holder" : s.role().replace(", calm", "")) + " at "
                                + HOLDER_FLEET_ROUTERS + " routers, by limits",
                        limits,
                        s.figures())));
    }

    private void measureDrains(int size) {
        beginRun("drains, routers " + size);
        SimulatedFleet fleet = new SimulatedFleet(config, new FleetParameters(size, 1, true));
        fleet.startAll();
        if (simulate(fleet, config.settle(), "settling")) {
            measureWindow(fleet, (int) Math.ceil(config.seconds()), "calm, with drains");
        }
    }

    // ---- windows --------------------------------------------------------------------------------------

    private boolean measureWindow(SimulatedFleet fleet, int seconds, String scenario) {
        fleet.beginWindow(seconds);
        return finishWindow(fleet, seconds, scenario);
    }

    /** Runs the simulation to the end of a window that has begun and adds its samples; a null scenario adds none. */
    private boolean finishWindow(SimulatedFleet fleet, int seconds, String scenario) {
        if (!simulate(fleet, seconds, scenario == null ? "settling" : scenario)) {
            return false;
        }
        if (scenario != null) {
            List<Sample> windowSamples = fleet.samples(scenario, scenario.equals("start"));
            windowSamples.forEach(s -> report(progressLine(s)));
            samples.addAll(windowSamples);
        }
        return true;
    }

    private boolean simulate(SimulatedFleet fleet, double seconds, String activity) {
        long end = fleet.now + (long) (seconds * SimulatedFleet.MICROS_PER_SECOND);
        Predicate<SimulatedFleet> eachSecond = running -> {
            long elapsedNanos = System.nanoTime() - runStartedNanos;
            if (System.nanoTime() - lastProgressNanos > PROGRESS_INTERVAL_NANOS) {
                lastProgressNanos = System.nanoTime();
                report(String.format(
                        Locale.ROOT,
                        "%s: %s, %d virtual seconds to go, %d packets so far, %d s",
                        currentRun,
                        activity,
                        (end - running.now) / SimulatedFleet.MICROS_PER_SECOND,
                        running.packets(),
                        elapsedNanos / 1_000_000_000L));
            }
            if (elapsedNanos > config.minutes() * 60e9) {
                aborted = true;
                report(currentRun + ": broken off in '" + activity + "' after " + config.minutes()
                        + " minutes (key 'minutes')");
            }
            return !aborted;
        };
        return fleet.run((long) (seconds * SimulatedFleet.MICROS_PER_SECOND), eachSecond);
    }

    private String currentRun = "";

    private void beginRun(String run) {
        currentRun = run;
        runStartedNanos = System.nanoTime();
        lastProgressNanos = runStartedNanos;
        aborted = false;
        report(run);
    }

    private void report(String line) {
        progress.println(line);
    }

    private static long usedHeap() {
        System.gc();
        System.gc();
        return java.lang.management.ManagementFactory.getMemoryMXBean()
                .getHeapMemoryUsage()
                .getUsed();
    }

    /**
     * Adds the heap of the fleet per router to the members' calm sample. The heap can't be split by kind of router, so
     * this is the mean of all kinds.
     */
    private void addHeap(SimulatedFleet fleet, long heapBefore, int size) {
        if (size < MIN_ROUTERS_FOR_HEAP) {
            return;
        }
        double heapPerRouter = (double) (fleet.heapBytes() - heapBefore) / size;
        samples.replaceAll(s ->
                s.size() != size || !s.role().equals(Kind.MEMBER.role + ", calm") ? s : withHeap(s, heapPerRouter));
    }

    private static Sample withHeap(Sample sample, double heapPerRouter) {
        Map<String, Double> figures = new LinkedHashMap<>(sample.figures());
        figures.put("heap bytes", heapPerRouter);
        return new Sample(sample.role(), sample.size(), figures);
    }

    private static String percent(double share) {
        return Math.round(share * 100) + " %";
    }

    /** A progress line with the main figures of a sample. */
    static String progressLine(Sample sample) {
        return String.format(
                Locale.ROOT,
                "%s, %d: in %.0f, out %.0f bytes/s, %.3f cpu ms/s, all have %.3f of the limit",
                sample.role(),
                sample.size(),
                sample.figures().getOrDefault("bytes in/s", 0.0),
                sample.figures().getOrDefault("bytes out/s", 0.0),
                sample.figures().getOrDefault("cpu ms/s", 0.0),
                sample.figures().getOrDefault(SimulatedFleet.SPENDABLE_SHARE, 0.0));
    }
}
