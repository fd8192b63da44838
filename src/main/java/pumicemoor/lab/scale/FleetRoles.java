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
import pumicemoor.lab.scale.HollowFleet.Kind;
import pumicemoor.lab.scale.HollowFleet.Shape;

/**
 * What a router costs as a part of its fleet, by size: it owns the order of what happens to each hollow fleet and
 * the windows that are measured. Counts are the same each time for the same configuration; processor time and heap are
 * those of this machine. A size that takes longer than it may is broken off: what it had measured stays, and a line says so.
 */
final class FleetRoles implements RoleMeasurement {

    private static final int START = 10; // seconds measured after a common start
    private static final int RESTART = 10; // seconds measured after a share was started anew
    private static final int HOLDERS = 30; // routers of the fleet in which limits are counted
    private static final int ACCUSED = 10; // seconds for which every router accuses one member
    private static final int HEAP_FROM = 100; // routers; below, what else is in the heap moves by more than they hold
    private static final int WARM = 60; // routers of the fleet that is not measured
    private static final long TALK = 10_000_000_000L; // nanoseconds between two lines of progress

    private final Consumer<List<Sample>> soFar;
    private ScaleConfig config;
    private PrintStream progress;
    private final List<Sample> samples = new ArrayList<>();
    private long sizeBegan;
    private long talked;
    private boolean brokenOff;

    /** Hands all samples so far over after each size, since the next may take long. */
    FleetRoles(Consumer<List<Sample>> soFar) {
        this.soFar = soFar;
    }

    @Override
    public List<Sample> measure(ScaleConfig config, PrintStream progress) {
        this.config = config;
        this.progress = progress;
        samples.clear();
        warm();
        if (config.roles().contains(ScaleConfig.Role.FLEET) || config.roles().contains(ScaleConfig.Role.KEEPER)) {
            config.routers().forEach(size -> {
                fleet(size);
                soFar.accept(List.copyOf(samples));
            });
        }
        if (config.roles().contains(ScaleConfig.Role.HOLDER)) {
            config.limits().forEach(this::holder);
        }
        if (config.roles().contains(ScaleConfig.Role.DRAINS)) {
            config.drains().forEach(this::drains);
        }
        return List.copyOf(samples);
    }

    /** The first figures would else be those of code that is not compiled yet; of small fleets they are that anyhow. */
    private void warm() {
        if (config.routers().stream().allMatch(n -> n < WARM)) {
            return;
        }
        begin("warming up");
        HollowFleet fleet = new HollowFleet(config, new Shape(WARM, 1, false));
        fleet.startAll();
        live(fleet, 20, "warming up");
    }

    private void fleet(int size) {
        begin("routers " + size);
        if (config.cells() == null && size > HollowFleet.TABLE) {
            progress.println("routers " + size + ": the table is set to hold them all; a real router's holds "
                    + HollowFleet.TABLE);
        }
        long base = base();
        HollowFleet fleet = new HollowFleet(config, new Shape(size, 1, false));
        int seconds = (int) Math.ceil(config.seconds());
        boolean all = config.roles().contains(ScaleConfig.Role.FLEET);
        fleet.startAll();
        if (!window(fleet, START, all ? "start" : null)
                || !live(fleet, Math.max(0, config.settle() - START), "settling")) {
            return;
        }
        fleet.churn();
        if (!window(fleet, seconds, all ? "calm" : null)) {
            return;
        }
        if (all) {
            fleet.window(0);
            heap(fleet, base, size);
            faults(fleet, size, seconds);
        }
        if (!brokenOff && config.verdicts() && config.roles().contains(ScaleConfig.Role.KEEPER)) {
            fleet.accuse(fleet.now + ACCUSED * HollowFleet.SECOND);
            window(fleet, ACCUSED, "one member accused by all");
        }
    }

    private void faults(HollowFleet fleet, int size, int seconds) {
        ScaleConfig.Faults f = config.faults();
        Random draw = new Random(config.seed());
        if (f.restartShare() > 0) {
            fleet.window(RESTART);
            int count = fleet.restart(r -> draw.nextDouble() < f.restartShare(), HollowFleet.SECOND);
            if (!finish(fleet, RESTART, percent(f.restartShare()) + " restarted")
                    || !live(fleet, seconds, "settling")) {
                return;
            }
            say("routers " + size + ": " + count + " were started anew at once");
        }
        if (f.zoneSeconds() > 0) {
            int zone = fleet.geography.largest(Geography.Place::zone, -1);
            int lost = (int) Math.ceil(f.zoneSeconds());
            fleet.window(lost);
            int count = fleet.restart(r -> r.place.zone() == zone, lost * HollowFleet.SECOND);
            if (!finish(fleet, lost, "zone lost") || !window(fleet, seconds, "zone back")) {
                return;
            }
            say("routers " + size + ": a zone with " + count + " of them was lost and came back");
        }
        if (f.cutSeconds() > 0) {
            int one = fleet.geography.largest(Geography.Place::region, -1);
            int other = fleet.geography.largest(Geography.Place::region, one);
            int apart = (int) Math.ceil(f.cutSeconds());
            fleet.cut((a, b) -> a.region() == one && b.region() == other || a.region() == other && b.region() == one);
            if (one == other || !window(fleet, apart, "regions cut")) {
                return;
            }
            fleet.cut((a, b) -> false);
            window(fleet, seconds, "regions joined");
        }
    }

    /** A small fleet with so many limits: what its plain routers, its holders, and its grantor cost. */
    private void holder(int limits) {
        begin("limits " + limits);
        HollowFleet fleet = new HollowFleet(config, new Shape(HOLDERS, limits, false));
        fleet.startAll();
        if (!live(fleet, config.settle(), "settling")) {
            return;
        }
        fleet.window((int) Math.ceil(config.seconds()));
        if (!live(fleet, Math.ceil(config.seconds()), "calm")) {
            return;
        }
        fleet.samples("calm", false)
                .forEach(s -> samples.add(new Sample(
                        (s.role().startsWith("member") ? "holder" : s.role().replace(", calm", "")) + " at " + HOLDERS
                                + " routers, by limits",
                        limits,
                        s.figures())));
    }

    private void drains(int size) {
        begin("drains, routers " + size);
        HollowFleet fleet = new HollowFleet(config, new Shape(size, 1, true));
        fleet.startAll();
        if (live(fleet, config.settle(), "settling")) {
            window(fleet, (int) Math.ceil(config.seconds()), "calm, with drains");
        }
    }

    // ---- windows --------------------------------------------------------------------------------------

    private boolean window(HollowFleet fleet, int seconds, String scenario) {
        fleet.window(seconds);
        return finish(fleet, seconds, scenario);
    }

    /** Lives a window that has begun to its end and keeps its samples; null measures nothing. */
    private boolean finish(HollowFleet fleet, int seconds, String scenario) {
        if (!live(fleet, seconds, scenario == null ? "settling" : scenario)) {
            return false;
        }
        if (scenario != null) {
            List<Sample> measured = fleet.samples(scenario, scenario.equals("start"));
            measured.forEach(s -> say(line(s)));
            samples.addAll(measured);
        }
        return true;
    }

    private boolean live(HollowFleet fleet, double seconds, String what) {
        long end = fleet.now + (long) (seconds * HollowFleet.SECOND);
        Predicate<HollowFleet> tick = f -> {
            long took = System.nanoTime() - sizeBegan;
            if (System.nanoTime() - talked > TALK) {
                talked = System.nanoTime();
                say(String.format(
                        Locale.ROOT,
                        "%s: %s, %d virtual seconds to go, %d packets so far, %d s",
                        unit,
                        what,
                        (end - f.now) / HollowFleet.SECOND,
                        f.packets(),
                        took / 1_000_000_000L));
            }
            if (took > config.minutes() * 60e9) {
                brokenOff = true;
                say(unit + ": broken off in '" + what + "' after " + config.minutes() + " minutes (key 'minutes')");
            }
            return !brokenOff;
        };
        return fleet.run((long) (seconds * HollowFleet.SECOND), tick);
    }

    private String unit = "";

    private void begin(String what) {
        unit = what;
        sizeBegan = System.nanoTime();
        talked = sizeBegan;
        brokenOff = false;
        say(what);
    }

    private void say(String line) {
        progress.println(line);
    }

    private static long base() {
        System.gc();
        System.gc();
        return java.lang.management.ManagementFactory.getMemoryMXBean()
                .getHeapMemoryUsage()
                .getUsed();
    }

    /** The heap of all routers by their number, into the calm samples: what each kind holds can't be told apart. */
    private void heap(HollowFleet fleet, long base, int size) {
        if (size < HEAP_FROM) {
            return;
        }
        double heap = (double) (fleet.heap() - base) / size;
        samples.replaceAll(s -> s.size() != size || !s.role().equals(Kind.MEMBER.role + ", calm") ? s : with(s, heap));
    }

    private static Sample with(Sample s, double heap) {
        Map<String, Double> figures = new LinkedHashMap<>(s.figures());
        figures.put("heap bytes", heap);
        return new Sample(s.role(), s.size(), figures);
    }

    private static String percent(double share) {
        return Math.round(share * 100) + " %";
    }

    /** Lines for a quick look: of each kind its bytes a second. */
    static String line(Sample s) {
        return String.format(
                Locale.ROOT,
                "%s, %d: in %.0f, out %.0f bytes/s, %.3f cpu ms/s, all have %.3f of the limit",
                s.role(),
                s.size(),
                s.figures().getOrDefault("bytes in/s", 0.0),
                s.figures().getOrDefault("bytes out/s", 0.0),
                s.figures().getOrDefault("cpu ms/s", 0.0),
                s.figures().getOrDefault(HollowFleet.OF_THE_LIMIT, 0.0));
    }
}
