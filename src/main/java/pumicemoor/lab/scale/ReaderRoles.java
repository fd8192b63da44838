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
 * Measures the costs that grow with the member list and with purges: a router as a reader of the coordinator stream,
 * as the decider on requests and during its cold start, and the sender of that stream. Counts and bytes follow from
 * the seed alone. CPU time is that of this thread, without the garbage collector's; heap is what remains after a
 * collection. This class must not contain decision logic: the reducer and the decision code that it runs are those of
 * the production program.
 */
public final class ReaderRoles implements RoleMeasurement {

    private static final long MICROS_PER_MILLI = 1_000;
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final long NANOS_PER_MICRO = 1_000;
    private static final double PURGE_TARGET_SECONDS = 4.9; // within which a purge must take effect everywhere
    private static final int PURGE_RETENTION_FACTOR = 3; // a router keeps a purge for this many times the purge time
    private static final double CONFIG_CHANGES_PER_SECOND = 36_000 / 86_400.0;
    private static final double MACHINE_CHANGES_PER_SECOND = 7_620 / 86_400.0; // machines that come or go
    private static final int EVENTS_PER_MACHINE_CHANGE = 2; // one entry leaves the list, one comes back
    private static final double PURGES_PER_SECOND = 210;
    private static final int CONTROL_MACHINES = 39; // that run the coordinator in the target installation
    private static final int REQUESTS_PER_SECOND = 1_056; // to one router
    private static final int OBJECT_COUNT = 3_000; // each is requested many times
    private static final int CHANGES_PER_ROUND = 50;
    private static final int LEASE_SETTLE_SECONDS = 6; // virtual time until all limits are leased
    private static final int HOLDER_WINDOW_SECONDS = 5; // virtual time that is measured: five demand reports
    private static final int MAX_READ_BYTES = 8_192; // maximum that one read of the stream delivers
    private static final double SIMULTANEOUS_STARTS = 1_800.0; // 10 % of the target's 18,000 routers
    private static final int BUDGET_BYTES_PER_SECOND = 26_000; // of a router, in and out together
    private static final int TARGET_MEMBERS = 8_700;
    private static final int WARM_UP_ROUNDS_FACTOR = 8; // rounds of the warm-up relative to those measured
    private static final int WARM_UP_MEMBERS = 200; // of the warm-up
    private static final int WARM_UP_REQUEST_ROUNDS = 4; // unmeasured rounds before those measured

    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final MemoryMXBean MEMORY = ManagementFactory.getMemoryMXBean();

    private final Plan plan;
    private final PrintStream progress;
    private final List<Sample> samples = new ArrayList<>();

    /**
     * The sizes to measure.
     *
     * @param members sizes of the member list
     * @param purgeRates purges a second
     * @param routers numbers of routers that the sender serves
     * @param cutSeconds how long a router was disconnected from the stream, in seconds
     * @param rounds rounds of each CPU time measurement, of which the median, minimum and maximum are reported
     * @param seed seed of the generated events and requests
     */
    public record Plan(
            List<Integer> members,
            List<Integer> purgeRates,
            List<Integer> routers,
            List<Integer> cutSeconds,
            int rounds,
            long seed) {

        /** The plan for the target installation. */
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

    /** A measurement that takes its plan from the configuration in {@link #measure(ScaleConfig, PrintStream)}. */
    public ReaderRoles() {
        this(Plan.target(), new PrintStream(OutputStream.nullOutputStream()));
    }

    private ReaderRoles(Plan plan, PrintStream progress) {
        this.plan = plan;
        this.progress = progress;
    }

    @Override
    public List<Sample> measure(ScaleConfig config, PrintStream progressOutput) {
        Plan target = Plan.target();
        return measure(
                new Plan(
                        config.members(),
                        config.purges().stream().map(p -> (int) Math.round(p)).toList(),
                        config.routers(),
                        target.cutSeconds(),
                        target.rounds(),
                        config.seed()),
                progressOutput);
    }

    /** Measures all sizes of a plan and returns the samples in order; prints a progress line for each sample. */
    public static List<Sample> measure(Plan plan, PrintStream progress) {
        ReaderRoles roles = new ReaderRoles(plan, progress);
        roles.warmUp();
        for (int members : plan.members()) {
            roles.measureMemberLists(members);
            roles.measureMemberChanges(members);
            roles.measureColdStart(members);
            roles.measureDecisions("decider, sites of 5.8", Layout.SITES, members);
            roles.measureDecisions("decider, one site", Layout.ONE_SITE, members);
            roles.measureLimitHolders(members);
        }
        for (int rate : plan.purgeRates()) {
            roles.measurePurges(rate);
        }
        for (int seconds : plan.cutSeconds()) {
            roles.measureBacklog(seconds);
        }
        for (int routers : plan.routers()) {
            roles.measureSender(routers);
        }
        return List.copyOf(roles.samples);
    }

    /** Runs the same work on a small list and discards the results, so that the measured code is compiled. */
    private void warmUp() {
        PrintStream discard = new PrintStream(OutputStream.nullOutputStream());
        ReaderRoles smallList = new ReaderRoles(
                new Plan(
                        List.of(), List.of(), List.of(), List.of(), WARM_UP_ROUNDS_FACTOR * plan.rounds(), plan.seed()),
                discard);
        smallList.measureMemberLists(WARM_UP_MEMBERS);
        smallList.measureMemberChanges(WARM_UP_MEMBERS);
        smallList.measureColdStart(WARM_UP_MEMBERS);
        smallList.measurePurges((int) PURGES_PER_SECOND);
        ReaderRoles plannedRounds = new ReaderRoles(plan, discard);
        plannedRounds.measureDecisions("", Layout.SITES, WARM_UP_MEMBERS);
        plannedRounds.measureDecisions("", Layout.ONE_SITE, WARM_UP_MEMBERS);
        plannedRounds.measureLimitHolders(WARM_UP_MEMBERS);
    }

    private void addSample(String role, int size, Map<String, Double> figures) {
        samples.add(new Sample(role, size, figures));
        progress.printf("%s, %d: %s%n", role, size, figures);
    }

    /** The CPU time of this thread for one run of the work, in microseconds. */
    private static double cpuMicros(Runnable work) {
        long before = THREADS.getCurrentThreadCpuTime();
        work.run();
        return (THREADS.getCurrentThreadCpuTime() - before) / 1e3;
    }

    /** Adds the median, the minimum and the maximum of the rounds to the figures. */
    private static void addRounds(Map<String, Double> figures, String unit, double[] rounds) {
        Arrays.sort(rounds);
        figures.put("cpu " + unit, rounds[rounds.length / 2]);
        figures.put("cpu " + unit + " least", rounds[0]);
        figures.put("cpu " + unit + " most", rounds[rounds.length - 1]);
    }

    /** The heap that each of these routers uses: what becomes free when they are released. Empties the list. */
    private static double heapPerRouter(List<SimulatedRouter> readers) {
        int count = readers.size();
        long usedBefore = usedHeap();
        readers.clear();
        return (double) (usedBefore - usedHeap()) / count;
    }

    private static long usedHeap() {
        MEMORY.gc();
        MEMORY.gc();
        return MEMORY.getHeapMemoryUsage().getUsed();
    }

    // ---- lists ----------------------------------------------------------------------------------------

    /** A router that starts with an empty member list. */
    private SimulatedRouter emptyRouter(CoordinatorEvents events) {
        return new SimulatedRouter(events.config(CoordinatorEvents.INITIAL_INDEX));
    }

    /** Measures whole member lists that a running router receives one after the other, each after a lost event. */
    private void measureMemberLists(int members) {
        CoordinatorEvents events = new CoordinatorEvents(Layout.SITES, members, plan.seed());
        Map<String, Double> figures = new TreeMap<>();
        int routers = Math.max(2, Math.min(40, 20_000 / members));
        List<SimulatedRouter> readers = new ArrayList<>();
        for (int i = 0; i < routers; i++) {
            SimulatedRouter reader = emptyRouter(events);
            reader.accept(new Input.CoordinatorUpdate(events.memberList(CoordinatorEvents.INITIAL_INDEX + 1)));
            readers.add(reader);
        }
        SimulatedRouter reader = readers.remove(0);
        figures.put("heap bytes", heapPerRouter(readers));
        long index = CoordinatorEvents.INITIAL_INDEX + 1;
        double[] rounds = new double[plan.rounds()];
        for (int i = 0; i < rounds.length; i++) {
            reader.advance(MICROS_PER_SECOND);
            long lostIndex = ++index; // the next event reveals the gap, and the whole list is the response
            reader.accept(new Input.CoordinatorUpdate(CoordinatorEvents.purge(
                    lostIndex + 1, CoordinatorEvents.objectName(i), CoordinatorEvents.START_UNIX_MILLIS)));
            String memberList = events.memberList(lostIndex);
            rounds[i] = cpuMicros(() -> reader.accept(new Input.CoordinatorUpdate(memberList))) / MICROS_PER_MILLI;
        }
        figures.put("bytes a list", (double)
                CoordinatorEvents.utf8Length(CoordinatorEvents.streamText(index, events.memberList(index))));
        figures.put("asked again", (double) reader.streamRequests());
        addRounds(figures, "ms a list", rounds);
        addSample("reader, whole list", members, figures);
    }

    /** Measures changes of single members, the form of most updates to the list. */
    private void measureMemberChanges(int members) {
        CoordinatorEvents events = new CoordinatorEvents(Layout.SITES, members, plan.seed());
        SimulatedRouter reader = emptyRouter(events);
        reader.accept(new Input.CoordinatorUpdate(events.memberList(CoordinatorEvents.INITIAL_INDEX + 1)));
        long index = CoordinatorEvents.INITIAL_INDEX + 1;
        long bytes = 0;
        double[] rounds = new double[plan.rounds()];
        for (int i = 0; i < rounds.length; i++) {
            List<String> updates = new ArrayList<>();
            for (int k = 0; k < CHANGES_PER_ROUND; k++) {
                updates.add(events.memberChange(++index, reader.now() / MICROS_PER_MILLI));
                bytes += CoordinatorEvents.utf8Length(CoordinatorEvents.streamText(index, updates.get(k)));
            }
            rounds[i] = cpuMicros(() -> updates.forEach(t -> reader.accept(new Input.CoordinatorUpdate(t))))
                    / CHANGES_PER_ROUND;
            reader.advance(MICROS_PER_SECOND);
        }
        Map<String, Double> figures = new TreeMap<>();
        figures.put("bytes a change", (double) bytes / rounds.length / CHANGES_PER_ROUND);
        addRounds(figures, "us a change", rounds);
        addSample("reader, single changes", members, figures);
    }

    /** A router that has received a heartbeat, and so knows that no event follows those in its configuration. */
    private static SimulatedRouter caughtUp(String config) {
        SimulatedRouter reader = new SimulatedRouter(config);
        reader.accept(new Input.CoordinatorHeartbeat());
        return reader;
    }

    /**
     * Measures the start of a router from the text of its configuration until it is ready, in the reducer alone, and
     * calculates the bytes that each control machine sends when 10 % of 18,000 routers start at once.
     */
    private void measureColdStart(int members) {
        CoordinatorEvents events = new CoordinatorEvents(Layout.SITES, members, plan.seed());
        String config = events.config(
                CoordinatorEvents.INITIAL_INDEX + 1, events.memberList(CoordinatorEvents.INITIAL_INDEX + 1));
        double[] rounds = new double[plan.rounds()];
        boolean ready = true;
        for (int i = 0; i < rounds.length; i++) {
            long before = THREADS.getCurrentThreadCpuTime();
            ready &= caughtUp(config).ready();
            rounds[i] = (THREADS.getCurrentThreadCpuTime() - before) / 1e6;
        }
        int routers = Math.max(2, Math.min(40, 20_000 / members));
        List<SimulatedRouter> readers = new ArrayList<>();
        for (int i = 0; i < routers; i++) {
            readers.add(caughtUp(config));
            ready &= readers.get(i).ready();
        }
        Map<String, Double> figures = new TreeMap<>();
        figures.put("heap bytes", heapPerRouter(readers));
        figures.put("bytes of configuration", (double) CoordinatorEvents.utf8Length(config));
        figures.put("ready", ready ? 1.0 : 0.0);
        figures.put(
                "worked out: bytes a control machine, 10 % at once",
                SIMULTANEOUS_STARTS * CoordinatorEvents.utf8Length(config) / CONTROL_MACHINES);
        addRounds(figures, "ms a start", rounds);
        addSample("cold start", members, figures);
    }

    // ---- requests -------------------------------------------------------------------------------------

    /** Measures the CPU time of requests in the reducer and the decision code, at the target's request rate. */
    private void measureDecisions(String role, Layout layout, int members) {
        CoordinatorEvents events = new CoordinatorEvents(layout, members, plan.seed());
        SimulatedRouter reader = emptyRouter(events);
        reader.accept(new Input.CoordinatorUpdate(events.memberList(CoordinatorEvents.INITIAL_INDEX + 1)));
        reader.accept(new Input.CoordinatorHeartbeat());
        Random random = new Random(plan.seed());
        int requests = Math.max(200, Math.min(2_000, 1_000_000 / members));
        double[] rounds = new double[plan.rounds()];
        // the first rounds fill the caches and warm up the JIT compiler
        for (int i = -WARM_UP_REQUEST_ROUNDS; i < rounds.length; i++) {
            List<String> objects = random.ints(requests, 0, OBJECT_COUNT)
                    .mapToObj(CoordinatorEvents::objectName)
                    .toList();
            reader.accept(new Input.CoordinatorHeartbeat());
            double micros = cpuMicros(() -> objects.forEach(object -> {
                        reader.request(object);
                        reader.advance(MICROS_PER_SECOND / REQUESTS_PER_SECOND);
                    }))
                    / requests;
            if (i >= 0) {
                rounds[i] = micros;
            }
        }
        reader.advance(MICROS_PER_SECOND);
        Map<String, Double> figures = new TreeMap<>();
        figures.put("requests", (double) requests * (rounds.length + WARM_UP_REQUEST_ROUNDS));
        figures.put("served", (double) reader.served());
        addRounds(figures, "us a request", rounds);
        figures.put(
                "worked out: cpu ms/s at 1,056 requests a second",
                figures.get("cpu us a request") * REQUESTS_PER_SECOND / MICROS_PER_MILLI);
        addSample(role, members, figures);
    }

    // ---- limits ---------------------------------------------------------------------------------------

    private static final String FLEET_SETTINGS =
            """
            fleet:
              cluster: scale
              listen: 10.0.0.%d:7946
              seeds: [10.0.0.1:7946, 10.0.0.2:7946]
              size: 2
              limits: [{name: boxes, members: each-cache, per-second: 1000}]
            """;

    /** Measures a fleet of two routers with a limit at each cache: both hold shares, and one of them is the grantor. */
    private void measureLimitHolders(int members) {
        CoordinatorEvents events = new CoordinatorEvents(Layout.SITES, members, plan.seed());
        List<CountedRouter> pair = new ArrayList<>();
        for (int i = 1; i <= 2; i++) {
            pair.add(new CountedRouter(
                    "10.0.0." + i + ":7946",
                    new SimulatedRouter(
                            events.config(
                                    "r-" + i,
                                    CoordinatorEvents.INITIAL_INDEX + 1,
                                    events.memberList(CoordinatorEvents.INITIAL_INDEX + 1)),
                            parseOperatorConfig(FLEET_SETTINGS.formatted(i)))));
        }
        simulate(pair, LEASE_SETTLE_SECONDS);
        pair.forEach(CountedRouter::resetCounts);
        simulate(pair, HOLDER_WINDOW_SECONDS);
        boolean firstIsHolder = pair.get(0).bytes > pair.get(1).bytes; // demand reports are longer than grants
        List<SimulatedRouter> simulatedRouters =
                new ArrayList<>(pair.stream().map(h -> h.simulatedRouter).toList());
        pair.forEach(h -> h.simulatedRouter = null);
        double heapBytes = heapPerRouter(simulatedRouters);
        for (CountedRouter router : pair) {
            boolean holder = firstIsHolder == (router == pair.get(0));
            Map<String, Double> figures = new TreeMap<>();
            figures.put("heap bytes", heapBytes); // the mean of both
            figures.put("bytes out/s", (double) router.bytes / HOLDER_WINDOW_SECONDS);
            figures.put("packets out/s", (double) router.packets / HOLDER_WINDOW_SECONDS);
            CountedRouter other = pair.get(router == pair.get(0) ? 1 : 0); // no packet between the two is lost
            figures.put("bytes in/s", (double) other.bytes / HOLDER_WINDOW_SECONDS);
            figures.put("packets in/s", (double) other.packets / HOLDER_WINDOW_SECONDS);
            figures.put("cpu ms/s", router.nanos / 1e6 / HOLDER_WINDOW_SECONDS);
            addSample(
                    (holder ? "holder" : "grantor of one other holder") + ", a limit at each cache", members, figures);
        }
    }

    private static OperatorConfig parseOperatorConfig(String text) {
        try {
            Path file = Files.writeString(Files.createTempFile("scale-", ".yaml"), text);
            OperatorConfig operator = OperatorFile.read(file);
            Files.delete(file);
            return operator;
        } catch (IOException | OperatorException e) {
            throw new IllegalStateException("the operator file of the measurement can't be used", e);
        }
    }

    /** One of the two routers and its cost since the last reset of the counts. */
    private static final class CountedRouter {
        final String address;
        SimulatedRouter simulatedRouter;
        long bytes;
        long packets;
        long nanos;

        CountedRouter(String address, SimulatedRouter simulatedRouter) {
            this.address = address;
            this.simulatedRouter = simulatedRouter;
        }

        void resetCounts() {
            bytes = 0;
            packets = 0;
            nanos = 0;
        }
    }

    /** Runs both routers for a number of virtual seconds in steps of a millisecond; a packet takes one step. */
    private static void simulate(List<CountedRouter> pair, int seconds) {
        for (int step = 0; step < seconds * MILLIS_PER_SECOND; step++) {
            for (CountedRouter router : pair) {
                router.nanos +=
                        (long) (NANOS_PER_MICRO * cpuMicros(() -> router.simulatedRouter.advance(MICROS_PER_MILLI)));
            }
            for (CountedRouter from : pair) {
                for (Effect.SendFleetPacket packet : from.simulatedRouter.takePackets()) {
                    from.bytes += packet.bytes().length;
                    from.packets++;
                    pair.stream()
                            .filter(to -> to.address.equals(packet.address()))
                            .forEach(to -> to.nanos += (long) (NANOS_PER_MICRO
                                    * cpuMicros(() ->
                                            to.simulatedRouter.accept(new Input.FleetPacketReceived(packet.bytes())))));
                }
            }
        }
    }

    // ---- purges ---------------------------------------------------------------------------------------

    /**
     * Measures purges at an even rate. The measured seconds begin when the first purges are older than a router keeps
     * them, so that the number of kept purges no longer grows.
     */
    private void measurePurges(int rate) {
        CoordinatorEvents events = new CoordinatorEvents(Layout.SITES, 100, plan.seed());
        int routers = 8;
        long gapMicros = rate == 0 ? 0 : MICROS_PER_SECOND / rate;
        int fillSeconds = (int) Math.ceil(PURGE_RETENTION_FACTOR * PURGE_TARGET_SECONDS) + 1;
        List<SimulatedRouter> readers = new ArrayList<>();
        for (int i = 0; i < routers; i++) {
            readers.add(emptyRouter(events));
            readers.get(i).accept(new Input.CoordinatorUpdate(events.memberList(CoordinatorEvents.INITIAL_INDEX + 1)));
        }
        long bytes = 0;
        double[] microsPerPurge = new double[plan.rounds()];
        double[] millisPerSecond = new double[plan.rounds()];
        int purgeCount = 0;
        SimulatedRouter measured = readers.get(0);
        for (int second = 0; second < fillSeconds + plan.rounds(); second++) {
            List<String> updates = new ArrayList<>();
            for (int k = 0; k < rate; k++) {
                long unixMillis =
                        CoordinatorEvents.START_UNIX_MILLIS + second * MILLIS_PER_SECOND + k * MILLIS_PER_SECOND / rate;
                long index = CoordinatorEvents.INITIAL_INDEX + 2 + purgeCount;
                updates.add(CoordinatorEvents.purge(index, CoordinatorEvents.objectName(purgeCount++), unixMillis));
                bytes += second < fillSeconds
                        ? 0
                        : CoordinatorEvents.utf8Length(CoordinatorEvents.streamText(index, updates.get(k)));
            }
            bytes += second < fillSeconds ? 0 : CoordinatorEvents.utf8Length(CoordinatorEvents.HEARTBEAT);
            for (SimulatedRouter reader : readers) {
                double millis = cpuMicros(() -> {
                            updates.forEach(update -> {
                                reader.accept(new Input.CoordinatorUpdate(update));
                                reader.accept(new Input.CoordinatorHeartbeat());
                                reader.advance(gapMicros);
                            });
                            reader.advance(MICROS_PER_SECOND - rate * gapMicros);
                        })
                        / MICROS_PER_MILLI;
                if (second >= fillSeconds && reader == measured) {
                    millisPerSecond[second - fillSeconds] = millis;
                }
            }
        }
        Map<String, Double> figures = new TreeMap<>();
        figures.put("bytes in/s", (double) bytes / plan.rounds());
        SimulatedRouter reader = readers.remove(0);
        figures.put("heap bytes", heapPerRouter(readers));
        for (int i = 0; i < microsPerPurge.length; i++) { // accepting the events alone, without advancing the time
            List<String> updates = new ArrayList<>();
            for (int k = 0; k < rate; k++) {
                updates.add(CoordinatorEvents.purge(
                        CoordinatorEvents.INITIAL_INDEX + 2 + purgeCount,
                        CoordinatorEvents.objectName(purgeCount++),
                        reader.now() / MICROS_PER_MILLI));
            }
            microsPerPurge[i] = cpuMicros(() -> updates.forEach(update -> {
                        reader.accept(new Input.CoordinatorUpdate(update));
                        reader.accept(new Input.CoordinatorHeartbeat());
                    }))
                    / Math.max(1, rate);
            reader.advance(MICROS_PER_SECOND);
        }
        // a purge that is still kept shows in the maximum age that an attempt accepts
        for (int i = 0; i < purgeCount; i++) {
            reader.request(CoordinatorEvents.objectName(i));
        }
        figures.put("entries", (double) reader.attemptsWithMaxAge());
        addRounds(figures, "us a purge", microsPerPurge);
        addRounds(figures, "ms/s", millisPerSecond);
        addSample("reader, purges a second", rate, figures);
    }

    /**
     * Measures the backlog that a router receives at once when it reconnects to the stream after the given time, at the
     * target's rates.
     */
    private void measureBacklog(int seconds) {
        CoordinatorEvents events = new CoordinatorEvents(Layout.SITES, 1_000, plan.seed());
        Map<String, Double> figures = new TreeMap<>();
        double[] rounds = new double[plan.rounds()];
        for (int i = 0; i < rounds.length; i++) {
            SimulatedRouter reader = emptyRouter(events);
            reader.accept(new Input.CoordinatorUpdate(events.memberList(CoordinatorEvents.INITIAL_INDEX + 1)));
            reader.advance(seconds * MICROS_PER_SECOND);
            List<String> updates = new ArrayList<>();
            long index = CoordinatorEvents.INITIAL_INDEX + 1;
            long bytes = 0;
            for (int second = 0; second < seconds; second++) {
                for (int k = 0; k < PURGES_PER_SECOND; k++) {
                    updates.add(CoordinatorEvents.purge(
                            ++index,
                            CoordinatorEvents.objectName(index),
                            CoordinatorEvents.START_UNIX_MILLIS
                                    + second * MILLIS_PER_SECOND
                                    + (long) (k * MILLIS_PER_SECOND / PURGES_PER_SECOND)));
                }
                if ((int) ((second + 1) * CONFIG_CHANGES_PER_SECOND) > (int) (second * CONFIG_CHANGES_PER_SECOND)) {
                    updates.add(events.memberChange(
                            ++index, CoordinatorEvents.START_UNIX_MILLIS + second * MILLIS_PER_SECOND));
                }
            }
            for (int k = 0; k < updates.size(); k++) {
                bytes += CoordinatorEvents.utf8Length(
                        CoordinatorEvents.streamText(CoordinatorEvents.INITIAL_INDEX + 2 + k, updates.get(k)));
            }
            reader.request(CoordinatorEvents.objectName(index));
            figures.put("bounded while cut off", (double) reader.attemptsWithMaxAge());
            rounds[i] = cpuMicros(() -> updates.forEach(t -> reader.accept(new Input.CoordinatorUpdate(t))))
                    / MICROS_PER_MILLI;
            figures.put("events", (double) updates.size());
            figures.put("bytes", (double) bytes);
        }
        figures.put("unbounded while behind", (double) countUnboundedAttempts(events, seconds));
        addRounds(figures, "ms", rounds);
        figures.put(
                "worked out: seconds at 26 KB a second beside 210 purges a second",
                figures.get("bytes") / Math.max(1, BUDGET_BYTES_PER_SECOND - PURGES_PER_SECOND * purgeBytes()));
        addSample("reader, seconds cut off", seconds, figures);
    }

    /**
     * Counts attempts that accept a copy of any age although an old purge of their object is still in the backlog.
     * One attempt is made after each portion of the backlog that a single read delivers. No such portion is evidence
     * that the router has received all events (see CoordinatorStream).
     */
    private int countUnboundedAttempts(CoordinatorEvents events, int seconds) {
        SimulatedRouter reader = emptyRouter(events);
        reader.accept(new Input.CoordinatorUpdate(events.memberList(CoordinatorEvents.INITIAL_INDEX + 1)));
        reader.advance(seconds * MICROS_PER_SECOND);
        int purges = (int) (seconds * PURGES_PER_SECOND);
        int purgesPerRead = (int) (MAX_READ_BYTES / purgeBytes());
        int attempts = 0;
        for (int k = 0; k < purges; k++) {
            long index = CoordinatorEvents.INITIAL_INDEX + 2 + k;
            reader.accept(new Input.CoordinatorUpdate(CoordinatorEvents.purge(
                    index,
                    CoordinatorEvents.objectName(index),
                    CoordinatorEvents.START_UNIX_MILLIS + (long) (k * MILLIS_PER_SECOND / PURGES_PER_SECOND))));
            if (k % purgesPerRead == purgesPerRead - 1 && k < purges - 1) {
                reader.request(
                        // the last object in the backlog
                        CoordinatorEvents.objectName(CoordinatorEvents.INITIAL_INDEX + 1 + purges));
                attempts++;
            }
        }
        return attempts - (int) reader.attemptsWithMaxAge();
    }

    // ---- the sender -----------------------------------------------------------------------------------

    private static double purgeBytes() {
        return CoordinatorEvents.utf8Length(CoordinatorEvents.streamText(
                CoordinatorEvents.INITIAL_INDEX,
                CoordinatorEvents.purge(
                        CoordinatorEvents.INITIAL_INDEX,
                        CoordinatorEvents.objectName(1),
                        CoordinatorEvents.START_UNIX_MILLIS)));
    }

    /** Measures the sizes of the encoded events and calculates the traffic at the target's rates from them. */
    private void measureSender(int routers) {
        CoordinatorEvents events = new CoordinatorEvents(Layout.SITES, TARGET_MEMBERS, plan.seed());
        double changeBytes = CoordinatorEvents.utf8Length(CoordinatorEvents.streamText(
                CoordinatorEvents.INITIAL_INDEX,
                events.memberChange(CoordinatorEvents.INITIAL_INDEX, CoordinatorEvents.START_UNIX_MILLIS)));
        double listBytes = CoordinatorEvents.utf8Length(CoordinatorEvents.streamText(
                CoordinatorEvents.INITIAL_INDEX, events.memberList(CoordinatorEvents.INITIAL_INDEX)));
        double eventsPerSecond =
                PURGES_PER_SECOND + CONFIG_CHANGES_PER_SECOND + EVENTS_PER_MACHINE_CHANGE * MACHINE_CHANGES_PER_SECOND;
        double routerBytesPerSecond = PURGES_PER_SECOND * purgeBytes()
                + (CONFIG_CHANGES_PER_SECOND + EVENTS_PER_MACHINE_CHANGE * MACHINE_CHANGES_PER_SECOND) * changeBytes
                + CoordinatorEvents.utf8Length(CoordinatorEvents.HEARTBEAT);
        Map<String, Double> figures = new TreeMap<>();
        figures.put("bytes a purge", purgeBytes());
        figures.put("bytes a change", changeBytes);
        figures.put("bytes a whole list of 8,700", listBytes);
        figures.put("worked out: bytes/s a router", routerBytesPerSecond);
        figures.put("worked out: bytes/s in all", routerBytesPerSecond * routers);
        figures.put("worked out: bytes/s a control machine", routerBytesPerSecond * routers / CONTROL_MACHINES);
        figures.put("worked out: events/s a control machine", eventsPerSecond * routers / CONTROL_MACHINES);
        figures.put("worked out: connections a control machine", Math.ceil((double) routers / CONTROL_MACHINES));
        figures.put(
                "worked out: bytes/s a router, whole lists in place of changes",
                routerBytesPerSecond
                        + (CONFIG_CHANGES_PER_SECOND + EVENTS_PER_MACHINE_CHANGE * MACHINE_CHANGES_PER_SECOND)
                                * (listBytes - changeBytes));
        addSample("sender", routers, figures);
    }
}
