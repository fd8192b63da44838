package pumicemoor.lab.scale;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.lang.management.ThreadMXBean;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import pumicemoor.lab.scale.CoordinatorEvents.Layout;
import pumicemoor.node.Effect;
import pumicemoor.node.Input;
import pumicemoor.operator.OperatorConfig;
import pumicemoor.operator.OperatorException;
import pumicemoor.operator.OperatorFile;

/**
 * Measures what grows with the list of members and with purges: a router as reader of the coordinator's stream, as
 * decider on requests, at its cold start, and the sender of that stream. Counts and bytes follow from the seed alone;
 * processor time is this thread's (the collector's is not in it), heap is what is left after a collection. It must never
 * decide anything: the reducer and the decisions that run here are those of the real program.
 */
public final class ReaderRoles implements RoleMeasurement {

    private static final long MILLI = 1_000;
    private static final long SECOND = 1_000_000;
    private static final double PURGE_SECONDS = 4.9; // within which the target wants a purge everywhere
    private static final int PURGE_LIVES = 3; // for so many of those a router keeps a purge
    private static final double CHANGES = 36_000 / 86_400.0; // of configuration a second
    private static final double MACHINES = 7_620 / 86_400.0; // that come or go a second
    private static final int MACHINE_LINES = 2; // one that goes, one that comes back
    private static final double PURGES = 210; // a second
    private static final int CONTROL = 39; // machines for control
    private static final int REQUESTS = 1_056; // a second at a router
    private static final int OBJECTS = 3_000; // asked for, each many times
    private static final int CHANGES_A_ROUND = 50;
    private static final int HOLDING = 6; // virtual seconds until all is lent
    private static final int HELD = 5; // virtual seconds that are counted: five reports
    private static final int READ = 8_192; // bytes of the stream that are handed on at once, at most
    private static final int WARM_UP = 8; // times the rounds, before anything counts
    private static final int SMALL = 200; // members then
    private static final int WARMING = 4; // rounds of requests that do not count

    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final MemoryMXBean MEMORY = ManagementFactory.getMemoryMXBean();

    private final Plan plan;
    private final PrintStream progress;
    private final List<Sample> samples = new ArrayList<>();

    /**
     * What is measured: sizes of the list, purges a second, routers before the sender, seconds that a router was cut off,
     * rounds of each measurement of processor time (the median counts), the seed.
     */
    public record Plan(
            List<Integer> members,
            List<Integer> purgeRates,
            List<Integer> routers,
            List<Integer> cutSeconds,
            int rounds,
            long seed) {

        /** That of the target. */
        public static Plan target() {
            return new Plan(
                    List.of(100, 300, 1_000, 3_000, 8_700),
                    List.of(10, 50, 100, 150, 210),
                    List.of(30, 300, 2_000, 6_000, 18_000),
                    List.of(5, 15, 60, 120, 180),
                    9,
                    1);
        }
    }

    /** One that takes its plan from a file. */
    public ReaderRoles() {
        this(Plan.target(), new PrintStream(OutputStream.nullOutputStream()));
    }

    private ReaderRoles(Plan plan, PrintStream progress) {
        this.plan = plan;
        this.progress = progress;
    }

    @Override
    public List<Sample> measure(ScaleConfig config, PrintStream lines) {
        Plan target = Plan.target();
        return measure(
                new Plan(
                        config.members(),
                        config.purges().stream().map(p -> (int) Math.round(p)).toList(),
                        config.routers(),
                        target.cutSeconds(),
                        target.rounds(),
                        config.seed()),
                lines);
    }

    /** All samples of the plan, in order; a line of progress for each. */
    public static List<Sample> measure(Plan plan, PrintStream progress) {
        ReaderRoles roles = new ReaderRoles(plan, progress);
        roles.warmUp();
        for (int members : plan.members()) {
            roles.lists(members);
            roles.changes(members);
            roles.coldStart(members);
            roles.decisions("decider, sites of 5.8", Layout.SITES, members);
            roles.decisions("decider, one site", Layout.ONE_SITE, members);
            roles.holders(members);
        }
        for (int rate : plan.purgeRates()) {
            roles.purges(rate);
        }
        for (int seconds : plan.cutSeconds()) {
            roles.backlog(seconds);
        }
        for (int routers : plan.routers()) {
            roles.sender(routers);
        }
        return List.copyOf(roles.samples);
    }

    /** Compiles what will be measured: the same work on a small list, thrown away. */
    private void warmUp() {
        PrintStream nowhere = new PrintStream(OutputStream.nullOutputStream());
        ReaderRoles small = new ReaderRoles(
                new Plan(List.of(), List.of(), List.of(), List.of(), WARM_UP * plan.rounds(), plan.seed()), nowhere);
        small.lists(SMALL);
        small.changes(SMALL);
        small.coldStart(SMALL);
        small.purges((int) PURGES);
        ReaderRoles few = new ReaderRoles(plan, nowhere);
        few.decisions("", Layout.SITES, SMALL);
        few.decisions("", Layout.ONE_SITE, SMALL);
        few.holders(SMALL);
    }

    private void add(String role, int size, Map<String, Double> figures) {
        samples.add(new Sample(role, size, figures));
        progress.printf("%s, %d: %s%n", role, size, figures);
    }

    /** What is done once, in microseconds of this thread. */
    private static double micros(Runnable work) {
        long before = THREADS.getCurrentThreadCpuTime();
        work.run();
        return (THREADS.getCurrentThreadCpuTime() - before) / 1e3;
    }

    /** The median of the rounds, with the least and the most of them. */
    private static void cpu(Map<String, Double> figures, String unit, double[] rounds) {
        Arrays.sort(rounds);
        figures.put("cpu " + unit, rounds[rounds.length / 2]);
        figures.put("cpu " + unit + " least", rounds[0]);
        figures.put("cpu " + unit + " most", rounds[rounds.length - 1]);
    }

    /** What each of these routers keeps on the heap: what is free once they are let go. */
    private static double heap(List<HollowReader> readers) {
        int count = readers.size();
        long held = used();
        readers.clear();
        return (double) (held - used()) / count;
    }

    private static long used() {
        MEMORY.gc();
        MEMORY.gc();
        return MEMORY.getHeapMemoryUsage().getUsed();
    }

    // ---- lists ----------------------------------------------------------------------------------------

    /** A router that started with an empty list. */
    private HollowReader empty(CoordinatorEvents events) {
        return new HollowReader(events.config(CoordinatorEvents.FIRST));
    }

    /** Whole lists, one after the other at a running router, each behind an event that was lost. */
    private void lists(int members) {
        CoordinatorEvents events = new CoordinatorEvents(Layout.SITES, members, plan.seed());
        Map<String, Double> figures = new TreeMap<>();
        int routers = Math.max(2, Math.min(40, 20_000 / members));
        List<HollowReader> readers = new ArrayList<>();
        for (int i = 0; i < routers; i++) {
            HollowReader reader = empty(events);
            reader.take(new Input.CoordinatorUpdate(events.whole(CoordinatorEvents.FIRST + 1)));
            readers.add(reader);
        }
        HollowReader reader = readers.remove(0);
        figures.put("heap bytes", heap(readers));
        long index = CoordinatorEvents.FIRST + 1;
        double[] rounds = new double[plan.rounds()];
        for (int i = 0; i < rounds.length; i++) {
            reader.pass(SECOND);
            long lost = ++index; // the one behind it shows the gap, the answer is the whole list
            reader.take(new Input.CoordinatorUpdate(
                    CoordinatorEvents.purge(lost + 1, CoordinatorEvents.object(i), CoordinatorEvents.BEGIN)));
            String whole = events.whole(lost);
            rounds[i] = micros(() -> reader.take(new Input.CoordinatorUpdate(whole))) / MILLI;
        }
        figures.put(
                "bytes a list", (double) CoordinatorEvents.bytes(CoordinatorEvents.onWire(index, events.whole(index))));
        figures.put("asked again", (double) reader.followed());
        cpu(figures, "ms a list", rounds);
        add("reader, whole list", members, figures);
    }

    /** Single changes, as most news of the list come. */
    private void changes(int members) {
        CoordinatorEvents events = new CoordinatorEvents(Layout.SITES, members, plan.seed());
        HollowReader reader = empty(events);
        reader.take(new Input.CoordinatorUpdate(events.whole(CoordinatorEvents.FIRST + 1)));
        long index = CoordinatorEvents.FIRST + 1;
        long bytes = 0;
        double[] rounds = new double[plan.rounds()];
        for (int i = 0; i < rounds.length; i++) {
            List<String> told = new ArrayList<>();
            for (int k = 0; k < CHANGES_A_ROUND; k++) {
                told.add(events.change(++index, reader.now() / MILLI));
                bytes += CoordinatorEvents.bytes(CoordinatorEvents.onWire(index, told.get(k)));
            }
            rounds[i] = micros(() -> told.forEach(t -> reader.take(new Input.CoordinatorUpdate(t)))) / CHANGES_A_ROUND;
            reader.pass(SECOND);
        }
        Map<String, Double> figures = new TreeMap<>();
        figures.put("bytes a change", (double) bytes / rounds.length / CHANGES_A_ROUND);
        cpu(figures, "us a change", rounds);
        add("reader, single changes", members, figures);
    }

    /** A reader that has heard that nothing was told behind its configuration. */
    private static HollowReader caughtUp(String config) {
        HollowReader reader = new HollowReader(config);
        reader.take(new Input.CoordinatorHeartbeat());
        return reader;
    }

    /** From the text of the configuration to ready, of the reducer alone; 10 % of 18,000 routers at once at the sender. */
    private void coldStart(int members) {
        CoordinatorEvents events = new CoordinatorEvents(Layout.SITES, members, plan.seed());
        String config = events.config(CoordinatorEvents.FIRST + 1, events.whole(CoordinatorEvents.FIRST + 1));
        double[] rounds = new double[plan.rounds()];
        boolean ready = true;
        for (int i = 0; i < rounds.length; i++) {
            long before = THREADS.getCurrentThreadCpuTime();
            ready &= caughtUp(config).ready();
            rounds[i] = (THREADS.getCurrentThreadCpuTime() - before) / 1e6;
        }
        int routers = Math.max(2, Math.min(40, 20_000 / members));
        List<HollowReader> readers = new ArrayList<>();
        for (int i = 0; i < routers; i++) {
            readers.add(caughtUp(config));
            ready &= readers.get(i).ready();
        }
        Map<String, Double> figures = new TreeMap<>();
        figures.put("heap bytes", heap(readers));
        figures.put("bytes of configuration", (double) CoordinatorEvents.bytes(config));
        figures.put("ready", ready ? 1.0 : 0.0);
        figures.put(
                "worked out: bytes a control machine, 10 % at once",
                1_800.0 * CoordinatorEvents.bytes(config) / CONTROL);
        cpu(figures, "ms a start", rounds);
        add("cold start", members, figures);
    }

    // ---- requests -------------------------------------------------------------------------------------

    /** Processor time of all that a request asks of the reducer and the decisions, at the target's rate. */
    private void decisions(String role, Layout layout, int members) {
        CoordinatorEvents events = new CoordinatorEvents(layout, members, plan.seed());
        HollowReader reader = empty(events);
        reader.take(new Input.CoordinatorUpdate(events.whole(CoordinatorEvents.FIRST + 1)));
        reader.take(new Input.CoordinatorHeartbeat());
        Random random = new Random(plan.seed());
        int requests = Math.max(200, Math.min(2_000, 1_000_000 / members));
        double[] rounds = new double[plan.rounds()];
        for (int i = -WARMING; i < rounds.length; i++) { // the first ones fill the caches, and are compiled
            List<String> objects = random.ints(requests, 0, OBJECTS)
                    .mapToObj(CoordinatorEvents::object)
                    .toList();
            reader.take(new Input.CoordinatorHeartbeat());
            double spent = micros(() -> objects.forEach(object -> {
                        reader.request(object);
                        reader.pass(SECOND / REQUESTS);
                    }))
                    / requests;
            if (i >= 0) {
                rounds[i] = spent;
            }
        }
        reader.pass(SECOND);
        Map<String, Double> figures = new TreeMap<>();
        figures.put("requests", (double) requests * (rounds.length + WARMING));
        figures.put("served", (double) reader.served());
        cpu(figures, "us a request", rounds);
        figures.put(
                "worked out: cpu ms/s at 1,056 requests a second", figures.get("cpu us a request") * REQUESTS / MILLI);
        add(role, members, figures);
    }

    // ---- limits ---------------------------------------------------------------------------------------

    private static final String FLEET =
            """
            fleet:
              cluster: scale
              listen: 10.0.0.%d:7946
              seeds: [10.0.0.1:7946, 10.0.0.2:7946]
              size: 2
              limits: [{name: boxes, members: each-cache, per-second: 1000}]
            """;

    /** Two routers of one fleet with a limit at each cache: one of them holds, the other lends and holds. */
    private void holders(int members) {
        CoordinatorEvents events = new CoordinatorEvents(Layout.SITES, members, plan.seed());
        List<Holder> pair = new ArrayList<>();
        for (int i = 1; i <= 2; i++) {
            pair.add(new Holder(
                    "10.0.0." + i + ":7946",
                    new HollowReader(
                            events.config(
                                    "r-" + i, CoordinatorEvents.FIRST + 1, events.whole(CoordinatorEvents.FIRST + 1)),
                            operator(FLEET.formatted(i)))));
        }
        run(pair, HOLDING);
        pair.forEach(Holder::count);
        run(pair, HELD);
        boolean firstHolds = pair.get(0).bytes > pair.get(1).bytes; // asks are longer than their answers
        List<HollowReader> readers =
                new ArrayList<>(pair.stream().map(h -> h.reader).toList());
        pair.forEach(h -> h.reader = null);
        double heap = heap(readers);
        for (Holder h : pair) {
            boolean holder = firstHolds == (h == pair.get(0));
            Map<String, Double> figures = new TreeMap<>();
            figures.put("heap bytes", heap); // the mean of both
            figures.put("bytes out/s", (double) h.bytes / HELD);
            figures.put("packets out/s", (double) h.packets / HELD);
            Holder other = pair.get(h == pair.get(0) ? 1 : 0); // nothing is lost between the two
            figures.put("bytes in/s", (double) other.bytes / HELD);
            figures.put("packets in/s", (double) other.packets / HELD);
            figures.put("cpu ms/s", h.nanos / 1e6 / HELD);
            add((holder ? "holder" : "grantor of one other holder") + ", a limit at each cache", members, figures);
        }
    }

    private static OperatorConfig operator(String text) {
        try {
            Path file = Files.writeString(Files.createTempFile("scale-", ".yaml"), text);
            OperatorConfig operator = OperatorFile.read(file);
            Files.delete(file);
            return operator;
        } catch (IOException | OperatorException e) {
            throw new IllegalStateException("the measurement's own file can't be used", e);
        }
    }

    /** One of the two, with what it has cost since it was counted anew. */
    private static final class Holder {
        final String address;
        HollowReader reader;
        long bytes;
        long packets;
        long nanos;

        Holder(String address, HollowReader reader) {
            this.address = address;
            this.reader = reader;
        }

        void count() {
            bytes = 0;
            packets = 0;
            nanos = 0;
        }
    }

    /** Both live on for so many seconds; a packet takes a step of a millisecond to the other. */
    private static void run(List<Holder> pair, int seconds) {
        for (int step = 0; step < seconds * MILLI; step++) {
            for (Holder h : pair) {
                h.nanos += (long) (MILLI * micros(() -> h.reader.pass(MILLI)));
            }
            for (Holder from : pair) {
                for (Effect.SendFleetPacket packet : from.reader.takePackets()) {
                    from.bytes += packet.bytes().length;
                    from.packets++;
                    pair.stream()
                            .filter(to -> to.address.equals(packet.address()))
                            .forEach(to -> to.nanos +=
                                    (long) (MILLI * micros(() -> to.reader.take(new Input.FleetPacketReceived(packet.bytes())))));
                }
            }
        }
    }

    // ---- purges ---------------------------------------------------------------------------------------

    /** Purges at an even rate for longer than they are kept, then a second at a time. */
    private void purges(int rate) {
        CoordinatorEvents events = new CoordinatorEvents(Layout.SITES, 100, plan.seed());
        int routers = 8;
        long gap = rate == 0 ? 0 : SECOND / rate;
        int filling = (int) Math.ceil(PURGE_LIVES * PURGE_SECONDS) + 1;
        List<HollowReader> readers = new ArrayList<>();
        for (int i = 0; i < routers; i++) {
            readers.add(empty(events));
            readers.get(i).take(new Input.CoordinatorUpdate(events.whole(CoordinatorEvents.FIRST + 1)));
        }
        long bytes = 0;
        double[] perPurge = new double[plan.rounds()];
        double[] perSecond = new double[plan.rounds()];
        int count = 0;
        HollowReader first = readers.get(0);
        for (int second = 0; second < filling + plan.rounds(); second++) {
            List<String> told = new ArrayList<>();
            for (int k = 0; k < rate; k++) {
                long at = CoordinatorEvents.BEGIN + second * MILLI + k * MILLI / rate;
                long index = CoordinatorEvents.FIRST + 2 + count;
                told.add(CoordinatorEvents.purge(index, CoordinatorEvents.object(count++), at));
                bytes += second < filling ? 0 : CoordinatorEvents.bytes(CoordinatorEvents.onWire(index, told.get(k)));
            }
            bytes += second < filling ? 0 : CoordinatorEvents.bytes(CoordinatorEvents.COMMENT);
            for (HollowReader reader : readers) {
                double all = micros(() -> {
                            told.forEach(t -> {
                                reader.take(new Input.CoordinatorUpdate(t));
                                reader.take(new Input.CoordinatorHeartbeat());
                                reader.pass(gap);
                            });
                            reader.pass(SECOND - rate * gap);
                        })
                        / MILLI;
                if (second >= filling && reader == first) {
                    perSecond[second - filling] = all;
                }
            }
        }
        Map<String, Double> figures = new TreeMap<>();
        figures.put("bytes in/s", (double) bytes / plan.rounds());
        HollowReader reader = readers.remove(0);
        figures.put("heap bytes", heap(readers));
        for (int i = 0; i < perPurge.length; i++) { // the taking in alone, without the passing of time
            List<String> told = new ArrayList<>();
            for (int k = 0; k < rate; k++) {
                told.add(CoordinatorEvents.purge(
                        CoordinatorEvents.FIRST + 2 + count, CoordinatorEvents.object(count++), reader.now() / MILLI));
            }
            perPurge[i] = micros(() -> told.forEach(t -> {
                        reader.take(new Input.CoordinatorUpdate(t));
                        reader.take(new Input.CoordinatorHeartbeat());
                    }))
                    / Math.max(1, rate);
            reader.pass(SECOND);
        }
        for (int i = 0; i < count; i++) { // who is kept shows in the oldest copy that an attempt accepts
            reader.request(CoordinatorEvents.object(i));
        }
        figures.put("entries", (double) reader.bounded());
        cpu(figures, "us a purge", perPurge);
        cpu(figures, "ms/s", perSecond);
        add("reader, purges a second", rate, figures);
    }

    /** What a router that was cut off for so long has to take in at once when it is back, at the target's rates. */
    private void backlog(int seconds) {
        CoordinatorEvents events = new CoordinatorEvents(Layout.SITES, 1_000, plan.seed());
        Map<String, Double> figures = new TreeMap<>();
        double[] rounds = new double[plan.rounds()];
        for (int i = 0; i < rounds.length; i++) {
            HollowReader reader = empty(events);
            reader.take(new Input.CoordinatorUpdate(events.whole(CoordinatorEvents.FIRST + 1)));
            reader.pass(seconds * SECOND);
            List<String> told = new ArrayList<>();
            long index = CoordinatorEvents.FIRST + 1;
            long bytes = 0;
            for (int second = 0; second < seconds; second++) {
                for (int k = 0; k < PURGES; k++) {
                    told.add(CoordinatorEvents.purge(
                            ++index,
                            CoordinatorEvents.object(index),
                            CoordinatorEvents.BEGIN + second * MILLI + (long) (k * MILLI / PURGES)));
                }
                if ((int) ((second + 1) * CHANGES) > (int) (second * CHANGES)) {
                    told.add(events.change(++index, CoordinatorEvents.BEGIN + second * MILLI));
                }
            }
            for (int k = 0; k < told.size(); k++) {
                bytes +=
                        CoordinatorEvents.bytes(CoordinatorEvents.onWire(CoordinatorEvents.FIRST + 2 + k, told.get(k)));
            }
            reader.request(CoordinatorEvents.object(index));
            figures.put("bounded while cut off", (double) reader.bounded());
            rounds[i] = micros(() -> told.forEach(t -> reader.take(new Input.CoordinatorUpdate(t)))) / MILLI;
            figures.put("events", (double) told.size());
            figures.put("bytes", (double) bytes);
        }
        figures.put("unbounded while behind", (double) unbounded(events, seconds));
        cpu(figures, "ms", rounds);
        figures.put(
                "worked out: seconds at 26 KB a second beside 210 purges a second",
                figures.get("bytes") / Math.max(1, 26_000 - PURGES * purgeBytes()));
        add("reader, seconds cut off", seconds, figures);
    }

    /**
     * Attempts that accept a copy of any age although a purge of their object, told long ago, is still to come: one is made
     * behind each part of the backlog that a read brings. None of these is a sign that all was told (CoordinatorStream).
     */
    private int unbounded(CoordinatorEvents events, int seconds) {
        HollowReader reader = empty(events);
        reader.take(new Input.CoordinatorUpdate(events.whole(CoordinatorEvents.FIRST + 1)));
        reader.pass(seconds * SECOND);
        int purges = (int) (seconds * PURGES);
        int aRead = (int) (READ / purgeBytes());
        int asked = 0;
        for (int k = 0; k < purges; k++) {
            long index = CoordinatorEvents.FIRST + 2 + k;
            reader.take(new Input.CoordinatorUpdate(CoordinatorEvents.purge(
                    index, CoordinatorEvents.object(index), CoordinatorEvents.BEGIN + (long) (k * MILLI / PURGES))));
            if (k % aRead == aRead - 1 && k < purges - 1) {
                reader.request(
                        CoordinatorEvents.object(CoordinatorEvents.FIRST + 1 + purges)); // the last that is purged
                asked++;
            }
        }
        return asked - (int) reader.bounded();
    }

    // ---- the sender -----------------------------------------------------------------------------------

    private static double purgeBytes() {
        return CoordinatorEvents.bytes(CoordinatorEvents.onWire(
                CoordinatorEvents.FIRST,
                CoordinatorEvents.purge(
                        CoordinatorEvents.FIRST, CoordinatorEvents.object(1), CoordinatorEvents.BEGIN)));
    }

    /** The sizes of the encoded events are measured; what they come to at the target's rates is worked out. */
    private void sender(int routers) {
        CoordinatorEvents events = new CoordinatorEvents(Layout.SITES, 8_700, plan.seed());
        double change = CoordinatorEvents.bytes(CoordinatorEvents.onWire(
                CoordinatorEvents.FIRST, events.change(CoordinatorEvents.FIRST, CoordinatorEvents.BEGIN)));
        double whole = CoordinatorEvents.bytes(
                CoordinatorEvents.onWire(CoordinatorEvents.FIRST, events.whole(CoordinatorEvents.FIRST)));
        double eventsASecond = PURGES + CHANGES + MACHINE_LINES * MACHINES;
        double router = PURGES * purgeBytes()
                + (CHANGES + MACHINE_LINES * MACHINES) * change
                + CoordinatorEvents.bytes(CoordinatorEvents.COMMENT);
        Map<String, Double> figures = new TreeMap<>();
        figures.put("bytes a purge", purgeBytes());
        figures.put("bytes a change", change);
        figures.put("bytes a whole list of 8,700", whole);
        figures.put("worked out: bytes/s a router", router);
        figures.put("worked out: bytes/s in all", router * routers);
        figures.put("worked out: bytes/s a control machine", router * routers / CONTROL);
        figures.put("worked out: events/s a control machine", eventsASecond * routers / CONTROL);
        figures.put("worked out: connections a control machine", Math.ceil((double) routers / CONTROL));
        figures.put(
                "worked out: bytes/s a router, whole lists in place of changes",
                router + (CHANGES + MACHINE_LINES * MACHINES) * (whole - change));
        add("sender", routers, figures);
    }
}
