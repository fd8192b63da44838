package pumicemoor.lab.scale;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.BiPredicate;
import java.util.function.Predicate;
import pumicemoor.RouterApi.Event;
import pumicemoor.RouterApi.LimitDemand;
import pumicemoor.RouterApi.LimitMeasure;
import pumicemoor.RouterApi.LimitShare;
import pumicemoor.RouterApi.LimitSharesUpdate;
import pumicemoor.RouterApi.MemberHealthReport;
import pumicemoor.RouterApi.Role;
import pumicemoor.fleet.Datagram;
import pumicemoor.fleet.Fleet;
import pumicemoor.fleet.FleetParticipant;
import pumicemoor.fleet.FleetSetup;
import pumicemoor.fleet.FleetSetup.LimitRule;
import pumicemoor.fleet.FleetSetup.Scope;
import pumicemoor.fleet.cells.CellFleet;
import pumicemoor.fleet.cells.CellSetup;
import pumicemoor.fleet.drains.DrainTimes;
import pumicemoor.fleet.limits.LeaseTimes;
import pumicemoor.fleet.membership.Membership;
import pumicemoor.fleet.verdicts.EjectionPolicy;

/**
 * A fleet of simulated routers in one process: the production decision code of each router, without sockets, in virtual
 * time. It owns the network between them (delays, losses, partitions), the starts and ends of their processes, and the
 * counted cost of each. Bytes are those of the real packets as they are encoded, without the headers of UDP and IP. It
 * must never change what a router decides, and the counts are the same for the same seed with any number of threads.
 * Virtual times are in microseconds, CPU times in nanoseconds.
 */
final class SimulatedFleet {

    static final long MICROS_PER_MILLI = 1_000;
    static final long MICROS_PER_SECOND = 1_000_000;
    /**
     * The name of the figure for the sum of the limit shares of all routers, relative to the limit: the maximum over
     * the full seconds of the window. 1 is the whole limit.
     */
    static final String SPENDABLE_SHARE = "of the limit, all routers";

    static final int MAX_TABLE_ROUTERS = 2_000; // capacity of a real router's table in a flat fleet
    private static final long START_TIME_MICROS = 1_790_000_000L * MICROS_PER_SECOND;
    private static final long ORIGIN_ID = 99;
    private static final long FIRST_CACHE_ID = 1_000;
    private static final double LIMIT_PER_SECOND = 10_000;
    private static final int FLEET_SEEDS = 3;
    private static final int ZONE_SEEDS = 2;
    private static final int QUEUED_EVENT_BYTES = 72; // estimated heap use without the packet
    private static final int ARRAY_HEADER_BYTES = 16;

    /** The kinds of routers in a fleet, by duty. A router with several duties is of the last of these kinds. */
    enum Kind {
        MEMBER("member"),
        DELEGATE("delegate"),
        CELL_GRANTOR("cell grantor"),
        GRANTOR("grantor"),
        UPPER("upper grantor");

        final String role;

        Kind(String role) {
            this.role = role;
        }
    }

    /**
     * Parameters of one fleet in addition to the configuration: the number of routers, the number of limits, and
     * whether it coordinates drains. A single limit applies to the origin; if there are more, there are as many
     * caches, with one limit each.
     */
    record FleetParameters(int routers, int limits, boolean drains) {}

    /** One simulated router and its counted cost in the current window. */
    final class Router {
        final int number;
        final String name;
        final String address;
        final Geography.Location location;
        final double demand; // requests a second that it reports as its demand for the limit
        FleetParticipant participant;
        boolean running;
        private final Shard shard;
        private final Random networkRandom; // for the loss and the delay of its packets
        private long nextSequence;
        private long startedAt;
        private long timerAt = Long.MAX_VALUE; // the only valid timer in the queue; others are outdated
        private long cpuNanos;
        private long packetsIn;
        private long packetsOut;
        private int[] bytesIn = new int[0]; // by second of the window
        private int[] bytesOut = new int[0]; // by second of the window
        private LimitShare limitShare; // the first share of the latest update; null before the first update

        Router(int number, Geography.Location location) {
            this.number = number;
            this.shard = shards.get(number % shards.size());
            this.networkRandom = new Random(config.seed() * 1_000_003 + number);
            this.name = String.format("router-%05d", number);
            this.address = "10." + (number >> 16) + '.' + (number >> 8 & 255) + '.' + (number & 255) + ":7100";
            this.location = location;
            this.demand = 2 * LIMIT_PER_SECOND / parameters.routers * random.nextDouble();
        }
    }

    /**
     * A packet in flight to a router, or the router's timer where {@code bytes} is null. The ordering is total for the
     * events of one router, so that it handles them in the same order in each run.
     */
    private record QueuedEvent(long at, Router router, int sender, long sequence, byte[] bytes)
            implements Comparable<QueuedEvent> {
        @Override
        public int compareTo(QueuedEvent other) {
            return at != other.at
                    ? Long.compare(at, other.at)
                    : sender != other.sender
                            ? Integer.compare(sender, other.sender)
                            : sequence != other.sequence
                                    ? Long.compare(sequence, other.sequence)
                                    : Integer.compare(router.number, other.router.number);
        }
    }

    /** An action that runs between two steps of the shards. */
    private record ScheduledTask(long at, long sequence, Runnable action) implements Comparable<ScheduledTask> {
        @Override
        public int compareTo(ScheduledTask other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(sequence, other.sequence);
        }
    }

    /**
     * A subset of the routers, simulated by one thread at a time. A step is no longer than the minimum delay of a
     * packet, so nothing that one router does within it can affect another, and shards run a step without
     * synchronization.
     */
    private final class Shard implements Callable<Void> {
        private final PriorityQueue<QueuedEvent> queue = new PriorityQueue<>();
        private final List<List<QueuedEvent>> outbound = new ArrayList<>(); // by shard, handed over between steps
        private long until;
        private long packets; // sent by its routers
        private long bytes; // sent by its routers

        @Override
        public Void call() {
            while (!queue.isEmpty() && queue.peek().at < until) {
                QueuedEvent event = queue.poll();
                if (event.bytes != null) {
                    deliver(event.router, event.bytes, event.at);
                } else if (event.at == event.router.timerAt) {
                    fireTimer(event.router, event.at);
                }
            }
            return null;
        }
    }

    final List<Router> routers = new ArrayList<>();
    final Geography geography;
    private final ScaleConfig config;
    private final FleetParameters parameters;
    private final Random random;
    private final Map<String, Router> byAddress = new HashMap<>();
    private final Map<Long, Fleet.ListedMember> listedMembers; // by member ID; shared by all routers
    private final List<String> seeds = new ArrayList<>();
    /** Seeds by zone, for a fleet of cells: routers of the zone, followed by the seeds of the whole fleet. */
    private final Map<Integer, List<String>> zoneSeeds = new HashMap<>();

    private final List<LimitRule> limits;
    private final PriorityQueue<ScheduledTask> tasks = new PriorityQueue<>();
    private final List<Shard> shards = new ArrayList<>();
    private final ThreadMXBean threadMxBean = ManagementFactory.getThreadMXBean();
    private final long cpuReadNanos; // cost of one reading of the CPU time, subtracted from each measurement
    private final Map<Integer, String> cellRoots = new HashMap<>(); // by zone: the root of its routers' cells
    private long nextTaskSequence;
    private long windowStart = START_TIME_MICROS;
    private int windowSeconds;
    private double maxSpendableShare; // maximum over the full seconds of the window
    private double relativeSize = 1; // routers of this fleet relative to the largest size
    private BiPredicate<Geography.Location, Geography.Location> partition = (a, b) -> false;
    long now = START_TIME_MICROS;

    SimulatedFleet(ScaleConfig config, FleetParameters parameters) {
        this.config = config;
        this.parameters = parameters;
        this.random = new Random(config.seed() * 31 + parameters.routers);
        int size = parameters.routers;
        int largest = Math.max(
                size,
                config.routers().stream().mapToInt(Integer::intValue).max().orElse(size));
        this.relativeSize = (double) size / largest;
        int regions = scaled(config.regions(), 1);
        int zones = scaled(config.zones(), regions);
        int sites = scaled(config.sites(), zones);
        this.geography = new Geography(
                size,
                sites,
                zones,
                regions,
                config.farMillis().get(0) * MICROS_PER_MILLI,
                config.farMillis().get(1) * MICROS_PER_MILLI,
                config.seed());
        for (int i = 0; i < config.threads(); i++) {
            shards.add(new Shard());
        }
        shards.forEach(shard -> shards.forEach(other -> shard.outbound.add(new ArrayList<>())));
        for (int i = 0; i < size; i++) {
            Router router = new Router(i, geography.location(i));
            routers.add(router);
            byAddress.put(router.address, router);
            if (i < FLEET_SEEDS) {
                seeds.add(router.address);
            }
            List<String> ownSeeds = zoneSeeds.computeIfAbsent(router.location.zone(), z -> new ArrayList<>());
            if (ownSeeds.size() < ZONE_SEEDS) {
                ownSeeds.add(router.address);
            }
        }
        zoneSeeds.values().forEach(ownSeeds -> ownSeeds.addAll(seeds));
        Map<Long, Fleet.ListedMember> members = new HashMap<>();
        members.put(ORIGIN_ID, new Fleet.ListedMember("origin", Role.ORIGIN, 0));
        int caches = parameters.limits > 1 ? parameters.limits : config.caches();
        for (int i = 0; i < caches; i++) {
            members.put(FIRST_CACHE_ID + i, new Fleet.ListedMember("cache-" + i, Role.CACHE, 0));
        }
        this.listedMembers = Map.copyOf(members);
        this.limits = List.of(
                parameters.limits > 1
                        ? new LimitRule("caches", Scope.EACH_CACHE, "", LimitMeasure.PER_SECOND, LIMIT_PER_SECOND)
                        : new LimitRule("origin", Scope.ORIGIN, "", LimitMeasure.PER_SECOND, LIMIT_PER_SECOND));
        this.cpuReadNanos = measureCpuReadNanos();
    }

    /**
     * Scales a count that is configured for the largest size down to this size, but to no less than the minimum, and
     * to no less than 2 where the largest size has 2 or more.
     */
    private int scaled(int countOfLargest, int minimum) {
        return Math.max(
                Math.max(minimum, Math.min(2, countOfLargest)), (int) Math.round(countOfLargest * relativeSize));
    }

    /** Measures the cost of reading the thread's CPU time: the median of many readings. */
    private long measureCpuReadNanos() {
        long[] readNanos = new long[2_001];
        for (int round = 0; round < 5; round++) {
            for (int i = 0; i < readNanos.length; i++) {
                long cpuBefore = cpuNanos();
                readNanos[i] = cpuNanos() - cpuBefore;
            }
        }
        java.util.Arrays.sort(readNanos);
        return readNanos[readNanos.length / 2];
    }

    private long cpuNanos() {
        return threadMxBean.getCurrentThreadCpuTime();
    }

    // ---- routers --------------------------------------------------------------------------------------

    /** Starts all routers at random times within one gossip period, like processes that are launched together. */
    void startAll() {
        routers.forEach(
                r -> schedule((long) (random.nextDouble() * config.periodMillis() * MICROS_PER_MILLI), () -> start(r)));
    }

    /** Starts a new process of a router. */
    void start(Router router) {
        Optional<EjectionPolicy.Rules> verdicts = config.verdicts()
                ? Optional.of(new EjectionPolicy.Rules(0.2, 2, 5 * MICROS_PER_SECOND, 2_500 * MICROS_PER_MILLI))
                : Optional.empty();
        Optional<DrainTimes> drains = parameters.drains
                ? Optional.of(new DrainTimes(
                        2 * MICROS_PER_SECOND,
                        10 * MICROS_PER_SECOND,
                        60 * MICROS_PER_SECOND,
                        600 * MICROS_PER_SECOND,
                        5 * MICROS_PER_SECOND,
                        5 * MICROS_PER_SECOND))
                : Optional.empty();
        Optional<CellSetup> cells = Optional.ofNullable(config.cells())
                .map(c -> new CellSetup(
                        cellRoots.computeIfAbsent(router.location.zone(), z -> "zone-" + z), c.most(), c.delegates()));
        FleetSetup setup = new FleetSetup(
                "scale",
                new Membership.Setup(
                        router.name,
                        router.address,
                        cells.isPresent() ? zoneSeeds.get(router.location.zone()) : seeds,
                        config.periodMillis() * MICROS_PER_MILLI,
                        3,
                        2,
                        600 * MICROS_PER_SECOND,
                        cells.isPresent() ? MAX_TABLE_ROUTERS : Math.max(MAX_TABLE_ROUTERS, parameters.routers)),
                parameters.routers,
                new LeaseTimes(config.leaseMillis() * MICROS_PER_MILLI, config.guardMillis() * MICROS_PER_MILLI),
                limits,
                verdicts,
                drains,
                cells);
        long cpuBefore = cpuNanos();
        router.participant = newParticipant(setup, now, router.networkRandom.nextLong());
        router.participant.updateMembers(now, listedMembers);
        router.running = true;
        router.startedAt = now;
        finishEvent(router, cpuBefore, now);
    }

    /** Creates the kind of fleet that the setup asks for: with cells or flat. */
    private static FleetParticipant newParticipant(FleetSetup setup, long time, long seed) {
        if (setup.cells().isPresent()) {
            return new CellFleet(setup, time, seed);
        }
        return new Fleet(setup, time, seed);
    }

    /** Ends a router's process without notifying the others. */
    void kill(Router router) {
        router.running = false;
        router.participant = null;
        router.limitShare = null;
        router.timerAt = Long.MAX_VALUE;
    }

    /** Kills the running routers that match and starts new processes of them after a delay; returns their number. */
    int restart(Predicate<Router> selected, long delayMicros) {
        List<Router> chosen =
                routers.stream().filter(r -> r.running && selected.test(r)).toList();
        chosen.forEach(this::kill);
        chosen.forEach(r -> schedule(delayMicros + 1, () -> start(r)));
        return chosen.size();
    }

    /** From now on kills random routers at the configured rate and restarts each 2 to 10 seconds later. */
    void churn() {
        double rate = config.churn() * relativeSize;
        if (rate > 0) {
            schedule((long) (-Math.log(1 - random.nextDouble()) / rate * MICROS_PER_SECOND), () -> {
                Router router = routers.get(random.nextInt(routers.size()));
                restart(router::equals, 2 * MICROS_PER_SECOND + (long) (random.nextDouble() * 8 * MICROS_PER_SECOND));
                churn();
            });
        }
    }

    /** Sets the pairs of locations between which packets that are sent from now on are lost. */
    void setPartition(BiPredicate<Geography.Location, Geography.Location> pairs) {
        partition = pairs;
    }

    /**
     * Makes every running router report the first cache as failing once a second until the given time, and then
     * withdraw the report.
     */
    void reportFailing(long until) {
        for (Router router : routers) {
            reportFailing(router, until, (long) (random.nextDouble() * MICROS_PER_SECOND));
        }
    }

    private void reportFailing(Router router, long until, long delayMicros) {
        schedule(delayMicros, () -> {
            boolean failing = now < until;
            if (router.running) {
                long cpuBefore = cpuNanos();
                router.participant.reportHealth(
                        now,
                        new MemberHealthReport(FIRST_CACHE_ID, failing, true, 2, 0.5, now + 2 * MICROS_PER_SECOND));
                finishEvent(router, cpuBefore, now);
            }
            if (failing) {
                reportFailing(router, until, MICROS_PER_SECOND);
            }
        });
    }

    // ---- time -----------------------------------------------------------------------------------------

    private void schedule(long delayMicros, Runnable task) {
        tasks.add(new ScheduledTask(now + delayMicros, nextTaskSequence++, task));
    }

    /**
     * Runs the fleet for a duration of virtual time. Stops early and returns false if {@code eachSecond}, which is
     * called once in each virtual second, returns false.
     */
    boolean run(long durationMicros, Predicate<SimulatedFleet> eachSecond) {
        long end = now + durationMicros;
        long nextSecond = now + MICROS_PER_SECOND;
        ExecutorService pool = shards.size() == 1 ? null : Executors.newFixedThreadPool(shards.size());
        try {
            while (now < end) {
                now = Math.max(now, nextEventAt());
                if (now >= end) {
                    break;
                }
                while (!tasks.isEmpty() && tasks.peek().at <= now) {
                    tasks.poll().action.run();
                }
                runStep(
                        pool,
                        Math.min(
                                Math.min(end, now + Geography.MIN_DELAY_MICROS),
                                tasks.isEmpty() ? end : tasks.peek().at));
                if (now >= nextSecond) {
                    nextSecond += MICROS_PER_SECOND;
                    maxSpendableShare = Math.max(maxSpendableShare, spendableShare());
                    if (!eachSecond.test(this)) {
                        return false;
                    }
                }
            }
            now = end;
            return true;
        } finally {
            if (pool != null) {
                pool.shutdown();
            }
        }
    }

    /** The time of the next event or task; Long.MAX_VALUE if there is none. */
    private long nextEventAt() {
        long earliest = tasks.isEmpty() ? Long.MAX_VALUE : tasks.peek().at;
        for (Shard shard : shards) {
            earliest = shard.queue.isEmpty() ? earliest : Math.min(earliest, shard.queue.peek().at);
        }
        return earliest;
    }

    /** Runs one step in all shards in parallel and then hands over the packets between them. */
    private void runStep(ExecutorService pool, long until) {
        shards.forEach(s -> s.until = until);
        if (pool == null) {
            shards.forEach(Shard::call);
        } else {
            try {
                for (Future<Void> step : pool.invokeAll(shards)) {
                    step.get();
                }
            } catch (InterruptedException | ExecutionException e) {
                throw new IllegalStateException("a simulated router failed", e);
            }
        }
        for (Shard shard : shards) {
            for (int i = 0; i < shards.size(); i++) {
                shards.get(i).queue.addAll(shard.outbound.get(i));
                shard.outbound.get(i).clear();
            }
        }
    }

    private void deliver(Router router, byte[] packet, long at) {
        if (!router.running) {
            return;
        }
        router.packetsIn++;
        addBytes(router.bytesIn, packet.length, at);
        long cpuBefore = cpuNanos();
        router.participant.receive(at, packet);
        finishEvent(router, cpuBefore, at);
    }

    private void fireTimer(Router router, long at) {
        router.timerAt = Long.MAX_VALUE;
        long cpuBefore = cpuNanos();
        if (router.participant.nextDue() <= at) {
            router.participant.reportDemand(new LimitDemand(
                    parameters.limits > 1 ? FIRST_CACHE_ID : ORIGIN_ID, LimitMeasure.PER_SECOND, router.demand, 0));
            router.participant.advance(at);
        }
        finishEvent(router, cpuBefore, at);
    }

    /**
     * Finishes the handling of one event by a router: takes its output, adds the CPU time spent since {@code
     * cpuBefore}, renews the timer and sends the packets.
     */
    private void finishEvent(Router router, long cpuBefore, long at) {
        router.participant.takeDrainView();
        List<Datagram> packets = router.participant.takePackets();
        for (Event event : router.participant.takeEvents()) {
            if (event instanceof LimitSharesUpdate update && !update.shares().isEmpty()) {
                router.limitShare = update.shares().get(0);
            }
        }
        router.participant.takeLogEvents();
        long nextDue = Math.max(at + 1, router.participant.nextDue());
        router.cpuNanos += cpuNanos() - cpuBefore - cpuReadNanos;
        if (nextDue < router.timerAt) {
            router.timerAt = nextDue;
            router.shard.queue.add(new QueuedEvent(nextDue, router, -1, 0, null));
        }
        for (Datagram packet : packets) {
            send(router, packet, at);
        }
    }

    private void send(Router from, Datagram packet, long at) {
        from.shard.packets++;
        from.shard.bytes += packet.bytes().length;
        from.packetsOut++;
        addBytes(from.bytesOut, packet.bytes().length, at);
        Router to = byAddress.get(packet.address());
        if (to == null
                || partition.test(from.location, to.location)
                || from.networkRandom.nextDouble() < config.loss()) {
            return;
        }
        QueuedEvent delivery = new QueuedEvent(
                at + geography.delay(from.location, to.location, from.networkRandom.nextDouble()),
                to,
                from.number,
                from.nextSequence++,
                packet.bytes());
        if (to.shard == from.shard) {
            to.shard.queue.add(delivery);
        } else {
            from.shard.outbound.get(shards.indexOf(to.shard)).add(delivery);
        }
    }

    /** The sum of the limit shares of all routers now, relative to the limit. */
    private double spendableShare() {
        return routers.stream()
                        .filter(r -> r.running && r.limitShare != null)
                        .mapToDouble(r -> now < r.limitShare.expiresAt()
                                ? r.limitShare.amount()
                                : r.limitShare.amountAfterExpiry())
                        .sum()
                / LIMIT_PER_SECOND;
    }

    // ---- counting -------------------------------------------------------------------------------------

    /** The packets sent by all routers since the simulation began. */
    long packets() {
        return shards.stream().mapToLong(s -> s.packets).sum();
    }

    /** The bytes sent by all routers since the simulation began. */
    long bytes() {
        return shards.stream().mapToLong(s -> s.bytes).sum();
    }

    private void addBytes(int[] bySecond, int length, long at) {
        if (bySecond.length > 0) {
            bySecond[(int) Math.min(bySecond.length - 1, (at - windowStart) / MICROS_PER_SECOND)] += length;
        }
    }

    /** Begins a window of the given length and resets all counts. */
    void beginWindow(int seconds) {
        windowStart = now;
        windowSeconds = seconds;
        maxSpendableShare = 0;
        for (Router router : routers) {
            router.cpuNanos = 0;
            router.packetsIn = 0;
            router.packetsOut = 0;
            router.bytesIn = new int[seconds];
            router.bytesOut = new int[seconds];
        }
    }

    /** Groups routers by their current kind, as their status fields report it. */
    private static Map<Kind, List<Router>> groupByKind(List<Router> group) {
        Map<Kind, List<Router>> byKind = new EnumMap<>(Kind.class);
        group.forEach(
                r -> byKind.computeIfAbsent(kindOf(r), k -> new ArrayList<>()).add(r));
        return byKind;
    }

    private static Kind kindOf(Router router) {
        Map<String, String> fields = router.participant.fields();
        boolean grantor = router.name.equals(fields.get("fleet-grantor"));
        if (!fields.containsKey("fleet-cell")) {
            return grantor ? Kind.GRANTOR : Kind.MEMBER;
        }
        if (fields.getOrDefault("fleet-upper-grantor", "").endsWith("." + router.name)) {
            return Kind.UPPER;
        }
        return grantor ? Kind.CELL_GRANTOR : "yes".equals(fields.get("fleet-delegate")) ? Kind.DELEGATE : Kind.MEMBER;
    }

    /**
     * The cost of each kind of router in the window, which must have run to its end. Processes started within the
     * window have samples of their own ("fresh"), except where the whole fleet was started in it.
     */
    List<Sample> samples(String scenario, boolean wholeFleetStarted) {
        List<Sample> samples = new ArrayList<>();
        List<Router> established = routers.stream()
                .filter(r -> r.running && (wholeFleetStarted || r.startedAt < windowStart))
                .toList();
        List<Router> fresh = routers.stream()
                .filter(r -> r.running && !wholeFleetStarted && r.startedAt >= windowStart)
                .toList();
        groupByKind(established)
                .forEach((kind, group) ->
                        samples.add(new Sample(kind.role + ", " + scenario, parameters.routers, figures(group))));
        groupByKind(fresh)
                .forEach((kind, group) -> samples.add(
                        new Sample("fresh " + kind.role + ", " + scenario, parameters.routers, figures(group))));
        return samples;
    }

    private Map<String, Double> figures(List<Router> group) {
        Map<String, Double> figures = new java.util.LinkedHashMap<>();
        double seconds = windowSeconds;
        double routerSeconds = group.size() * seconds;
        figures.put("routers", (double) group.size());
        double in = group.stream().mapToLong(r -> sum(r.bytesIn)).sum() / routerSeconds;
        double out = group.stream().mapToLong(r -> sum(r.bytesOut)).sum() / routerSeconds;
        figures.put("bytes/s", in + out);
        figures.put("bytes in/s", in);
        figures.put("bytes out/s", out);
        figures.put("packets in/s", group.stream().mapToLong(r -> r.packetsIn).sum() / routerSeconds);
        figures.put("packets out/s", group.stream().mapToLong(r -> r.packetsOut).sum() / routerSeconds);
        figures.put("cpu ms/s", group.stream().mapToLong(r -> r.cpuNanos).sum() / routerSeconds / 1e6);
        Router worst = group.get(0);
        Router worstSecondRouter = worst;
        int worstSecond = 0;
        for (Router router : group) {
            if (sum(router.bytesIn) + sum(router.bytesOut) > sum(worst.bytesIn) + sum(worst.bytesOut)) {
                worst = router;
            }
            for (int i = 0; i < router.bytesIn.length; i++) {
                if (router.bytesIn[i] + router.bytesOut[i]
                        > worstSecondRouter.bytesIn[worstSecond] + worstSecondRouter.bytesOut[worstSecond]) {
                    worstSecondRouter = router;
                    worstSecond = i;
                }
            }
        }
        figures.put("worst router bytes/s", (sum(worst.bytesIn) + sum(worst.bytesOut)) / seconds);
        figures.put("worst router bytes in/s", sum(worst.bytesIn) / seconds);
        figures.put("worst router bytes out/s", sum(worst.bytesOut) / seconds);
        figures.put(
                "worst router cpu ms/s",
                group.stream().mapToLong(r -> r.cpuNanos).max().orElse(0) / seconds / 1e6);
        figures.put(
                "worst second bytes/s",
                (double) worstSecondRouter.bytesIn[worstSecond] + worstSecondRouter.bytesOut[worstSecond]);
        figures.put("worst second bytes in/s", (double) worstSecondRouter.bytesIn[worstSecond]);
        figures.put("worst second bytes out/s", (double) worstSecondRouter.bytesOut[worstSecond]);
        if (parameters.limits == 1) {
            figures.put(SPENDABLE_SHARE, maxSpendableShare);
        }
        figures.put("living known", averageField(group, "fleet-living"));
        if (config.cells() != null) {
            figures.put("cells", (double) routers.stream()
                    .filter(r -> r.running)
                    .map(r -> r.participant.fields().get("fleet-cell"))
                    .distinct()
                    .count());
            figures.put("delegates known", averageField(group, "fleet-delegates"));
        }
        return figures;
    }

    private static double averageField(List<Router> group, String field) {
        return group.stream()
                .map(r -> r.participant.fields().get(field))
                .filter(v -> v != null)
                .mapToDouble(Double::parseDouble)
                .average()
                .orElse(0);
    }

    private static long sum(int[] bySecond) {
        long sum = 0;
        for (int bytes : bySecond) {
            sum += bytes;
        }
        return sum;
    }

    /**
     * The used heap of the process in bytes after a collection, less an estimate for the packets and timers in the
     * queues.
     */
    long heapBytes() {
        for (int i = 0; i < 2; i++) {
            System.gc();
        }
        long queuedBytes = shards.stream()
                .flatMap(s -> s.queue.stream())
                .mapToLong(event ->
                        QUEUED_EVENT_BYTES + (event.bytes == null ? 0 : ARRAY_HEADER_BYTES + event.bytes.length))
                .sum();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed() - queuedBytes;
    }
}
