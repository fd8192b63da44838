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
import pumicemoor.RouterApi.LimitShare;
import pumicemoor.RouterApi.LimitSharesUpdate;
import pumicemoor.RouterApi.Event;
import pumicemoor.RouterApi.MemberHealthReport;
import pumicemoor.RouterApi.LimitMeasure;
import pumicemoor.RouterApi.Role;
import pumicemoor.RouterApi.LimitDemand;
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
 * A fleet of hollow routers in one process: the real deciding code of each, no sockets, in virtual time. It owns the
 * network between them (delays, losses, cuts), their starts and ends, and what each was counted to cost. Bytes are
 * those of the real packets as they are encoded, without the headers of UDP and IP. It must never change what a router decides,
 * and counts are the same each time for the same seed, by however many threads. Virtual times are microseconds, processor times nanoseconds.
 */
final class HollowFleet {

    static final long MILLI = 1_000;
    static final long SECOND = 1_000_000;
    /** What all routers may spend of the limit in sum, the most at any full second of the window; 1 is all of it. */
    static final String OF_THE_LIMIT = "of the limit, all routers";

    static final int TABLE = 2_000; // routers that a real flat fleet keeps in its table at most
    private static final long EPOCH = 1_790_000_000L * SECOND;
    private static final long ORIGIN = 99;
    private static final double LIMIT = 10_000;
    private static final int SEEDS = 3;
    private static final int ZONE_SEEDS = 2;

    /** What a router does in its fleet beside being a member; one that does several is the last of them. */
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

    /** One fleet's setup beside the configuration: routers, the limits as so many caches with one each, drains. */
    record Shape(int routers, int limits, boolean drains) {}

    /** One hollow router and what it was counted to cost in the window. */
    final class Router {
        final int number;
        final String name;
        final String address;
        final Geography.Place place;
        final double wanted;
        FleetParticipant part;
        boolean running;
        private final Shard shard;
        private final Random network; // what becomes of its packets
        private long sends;
        private long startedAt;
        private long timerAt = Long.MAX_VALUE; // of the one timer in the queue that counts
        private long cpu;
        private long packetsIn;
        private long packetsOut;
        private int[] bytesIn = new int[0]; // by second of the window
        private int[] bytesOut = new int[0];
        private LimitShare allowance; // of the limit, where there is one; null before it was told

        Router(int number, Geography.Place place) {
            this.number = number;
            this.shard = shards.get(number % shards.size());
            this.network = new Random(config.seed() * 1_000_003 + number);
            this.name = String.format("router-%05d", number);
            this.address = "10." + (number >> 16) + '.' + (number >> 8 & 255) + '.' + (number & 255) + ":7100";
            this.place = place;
            this.wanted = 2 * LIMIT / shape.routers * random.nextDouble();
        }
    }

    /** A packet on its way, or a router's timer where bytes is null; the order of a router's own is the same each time. */
    private record Due(long at, Router router, int from, long number, byte[] bytes) implements Comparable<Due> {
        @Override
        public int compareTo(Due o) {
            return at != o.at
                    ? Long.compare(at, o.at)
                    : from != o.from
                            ? Integer.compare(from, o.from)
                            : number != o.number
                                    ? Long.compare(number, o.number)
                                    : Integer.compare(router.number, o.router.number);
        }
    }

    /** Something that happens between two windows of time. */
    private record Task(long at, long order, Runnable what) implements Comparable<Task> {
        @Override
        public int compareTo(Task o) {
            return at != o.at ? Long.compare(at, o.at) : Long.compare(order, o.order);
        }
    }

    /**
     * A part of the routers, lived by one thread at a time: within a window that is shorter than any packet's way,
     * nothing that one router does can reach another, so that shards need not wait for one another.
     */
    private final class Shard implements Callable<Void> {
        private final PriorityQueue<Due> queue = new PriorityQueue<>();
        private final List<List<Due>> forOthers = new ArrayList<>(); // by shard, handed over between windows
        private long until;
        private long packets;
        private long bytes;

        @Override
        public Void call() {
            while (!queue.isEmpty() && queue.peek().at < until) {
                Due d = queue.poll();
                if (d.bytes != null) {
                    heard(d.router, d.bytes, d.at);
                } else if (d.at == d.router.timerAt) {
                    timer(d.router, d.at);
                }
            }
            return null;
        }
    }

    final List<Router> routers = new ArrayList<>();
    final Geography geography;
    private final ScaleConfig config;
    private final Shape shape;
    private final Random random;
    private final Map<String, Router> byAddress = new HashMap<>();
    private final Map<Long, Fleet.Listed> listed; // one for all routers
    private final List<String> seeds = new ArrayList<>();
    private final Map<Integer, List<String>> zoneSeeds = new HashMap<>(); // of cells: a router's own zone's come first
    private final List<LimitRule> limits;
    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private final List<Shard> shards = new ArrayList<>();
    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private final long readingTakes;
    private final Map<Integer, String> roots = new HashMap<>();
    private long order;
    private long began = EPOCH;
    private int windowSeconds;
    private double mostSpent; // of the limit, at any full second of the window
    private double share = 1; // of its churn that this size has
    private BiPredicate<Geography.Place, Geography.Place> cut = (a, b) -> false;
    long now = EPOCH;

    HollowFleet(ScaleConfig config, Shape shape) {
        this.config = config;
        this.shape = shape;
        this.random = new Random(config.seed() * 31 + shape.routers);
        int n = shape.routers;
        int largest = Math.max(
                n, config.routers().stream().mapToInt(Integer::intValue).max().orElse(n));
        this.share = (double) n / largest;
        int regions = part(config.regions(), 1);
        int zones = part(config.zones(), regions);
        int sites = part(config.sites(), zones);
        this.geography = new Geography(
                n,
                sites,
                zones,
                regions,
                config.farMillis().get(0) * MILLI,
                config.farMillis().get(1) * MILLI,
                config.seed());
        for (int i = 0; i < config.threads(); i++) {
            shards.add(new Shard());
        }
        shards.forEach(shard -> shards.forEach(other -> shard.forOthers.add(new ArrayList<>())));
        for (int i = 0; i < n; i++) {
            Router r = new Router(i, geography.place(i));
            routers.add(r);
            byAddress.put(r.address, r);
            if (i < SEEDS) {
                seeds.add(r.address);
            }
            List<String> own = zoneSeeds.computeIfAbsent(r.place.zone(), z -> new ArrayList<>());
            if (own.size() < ZONE_SEEDS) {
                own.add(r.address);
            }
        }
        zoneSeeds.values().forEach(own -> own.addAll(seeds));
        Map<Long, Fleet.Listed> all = new HashMap<>();
        all.put(ORIGIN, new Fleet.Listed("origin", Role.ORIGIN, 0));
        int caches = shape.limits > 1 ? shape.limits : config.caches();
        for (int i = 0; i < caches; i++) {
            all.put(1_000L + i, new Fleet.Listed("cache-" + i, Role.CACHE, 0));
        }
        this.listed = Map.copyOf(all);
        this.limits = List.of(
                shape.limits > 1
                        ? new LimitRule("caches", Scope.EACH_CACHE, "", LimitMeasure.PER_SECOND, LIMIT)
                        : new LimitRule("origin", Scope.ORIGIN, "", LimitMeasure.PER_SECOND, LIMIT));
        this.readingTakes = readingTakes();
    }

    /** So many of what the largest size has, at least as many as that and two where the largest has two. */
    private int part(int ofLargest, int least) {
        return Math.max(Math.max(least, Math.min(2, ofLargest)), (int) Math.round(ofLargest * share));
    }

    /** What reading the thread's processor time takes by itself: the median of many. */
    private long readingTakes() {
        long[] takes = new long[2_001];
        for (int round = 0; round < 5; round++) {
            for (int i = 0; i < takes.length; i++) {
                long before = cpu();
                takes[i] = cpu() - before;
            }
        }
        java.util.Arrays.sort(takes);
        return takes[takes.length / 2];
    }

    private long cpu() {
        return threads.getCurrentThreadCpuTime();
    }

    // ---- routers --------------------------------------------------------------------------------------

    /** All start within one period, as fresh processes do that were told at once. */
    void startAll() {
        routers.forEach(r -> later((long) (random.nextDouble() * config.periodMillis() * MILLI), () -> start(r)));
    }

    /** Starts a fresh process of a router. */
    void start(Router r) {
        Optional<EjectionPolicy.Rules> verdicts =
                config.verdicts() ? Optional.of(new EjectionPolicy.Rules(0.2, 2, 5 * SECOND, 2_500 * MILLI)) : Optional.empty();
        Optional<DrainTimes> drains = shape.drains
                ? Optional.of(
                        new DrainTimes(2 * SECOND, 10 * SECOND, 60 * SECOND, 600 * SECOND, 5 * SECOND, 5 * SECOND))
                : Optional.empty();
        Optional<CellSetup> cells = Optional.ofNullable(config.cells())
                .map(c -> new CellSetup(
                        roots.computeIfAbsent(r.place.zone(), z -> "zone-" + z), c.most(), c.delegates()));
        FleetSetup setup = new FleetSetup(
                "scale",
                new Membership.Setup(
                        r.name,
                        r.address,
                        cells.isPresent() ? zoneSeeds.get(r.place.zone()) : seeds,
                        config.periodMillis() * MILLI,
                        3,
                        2,
                        600 * SECOND,
                        cells.isPresent() ? TABLE : Math.max(TABLE, shape.routers)),
                shape.routers,
                new LeaseTimes(config.leaseMillis() * MILLI, config.guardMillis() * MILLI),
                limits,
                verdicts,
                drains,
                cells);
        long before = cpu();
        r.part = part(setup, now, r.network.nextLong());
        r.part.updateMembers(now, listed);
        r.running = true;
        r.startedAt = now;
        step(r, before, now);
    }

    /** The one place that knows which kind of fleet a setup asks for. */
    private static FleetParticipant part(FleetSetup setup, long time, long seed) {
        if (setup.cells().isPresent()) {
            return new CellFleet(setup, time, seed);
        }
        return new Fleet(setup, time, seed);
    }

    /** Ends a router's process without a word. */
    void kill(Router r) {
        r.running = false;
        r.part = null;
        r.allowance = null;
        r.timerAt = Long.MAX_VALUE;
    }

    /** Kills those of a kind now and starts fresh processes of them so much later. */
    int restart(Predicate<Router> which, long after) {
        List<Router> chosen =
                routers.stream().filter(r -> r.running && which.test(r)).toList();
        chosen.forEach(this::kill);
        chosen.forEach(r -> later(after + 1, () -> start(r)));
        return chosen.size();
    }

    /** From now on processes end and come back some seconds later, one after the other at the configured rate. */
    void churn() {
        double rate = config.churn() * share;
        if (rate > 0) {
            later((long) (-Math.log(1 - random.nextDouble()) / rate * SECOND), () -> {
                Router r = routers.get(random.nextInt(routers.size()));
                restart(r::equals, 2 * SECOND + (long) (random.nextDouble() * 8 * SECOND));
                churn();
            });
        }
    }

    /** The places between which no packet passes, from now on. */
    void cut(BiPredicate<Geography.Place, Geography.Place> between) {
        cut = between;
    }

    /** Every running router accuses the first cache, once a second from now on, or takes it back once. */
    void accuse(long until) {
        for (Router r : routers) {
            accuse(r, until, (long) (random.nextDouble() * SECOND));
        }
    }

    private void accuse(Router r, long until, long after) {
        later(after, () -> {
            boolean failing = now < until;
            if (r.running) {
                long before = cpu();
                r.part.reportHealth(now, new MemberHealthReport(1_000, failing, true, 2, 0.5, now + 2 * SECOND));
                step(r, before, now);
            }
            if (failing) {
                accuse(r, until, SECOND);
            }
        });
    }

    // ---- time -----------------------------------------------------------------------------------------

    private void later(long after, Runnable task) {
        tasks.add(new Task(now + after, order++, task));
    }

    /** Lives on for so long; stops earlier, and says so by false, once the tick that is called each virtual second does. */
    boolean run(long time, Predicate<HollowFleet> tick) {
        long end = now + time;
        long nextTick = now + SECOND;
        ExecutorService pool = shards.size() == 1 ? null : Executors.newFixedThreadPool(shards.size());
        try {
            while (now < end) {
                now = Math.max(now, next());
                if (now >= end) {
                    break;
                }
                while (!tasks.isEmpty() && tasks.peek().at <= now) {
                    tasks.poll().what.run();
                }
                live(pool, Math.min(Math.min(end, now + Geography.SHORTEST), tasks.isEmpty() ? end : tasks.peek().at));
                if (now >= nextTick) {
                    nextTick += SECOND;
                    mostSpent = Math.max(mostSpent, spent());
                    if (!tick.test(this)) {
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

    /** When something happens next. */
    private long next() {
        long next = tasks.isEmpty() ? Long.MAX_VALUE : tasks.peek().at;
        for (Shard s : shards) {
            next = s.queue.isEmpty() ? next : Math.min(next, s.queue.peek().at);
        }
        return next;
    }

    /** Lives one window, in all shards at once. */
    private void live(ExecutorService pool, long until) {
        shards.forEach(s -> s.until = until);
        if (pool == null) {
            shards.forEach(Shard::call);
        } else {
            try {
                for (Future<Void> f : pool.invokeAll(shards)) {
                    f.get();
                }
            } catch (InterruptedException | ExecutionException e) {
                throw new IllegalStateException("a hollow router failed", e);
            }
        }
        for (Shard s : shards) {
            for (int i = 0; i < shards.size(); i++) {
                shards.get(i).queue.addAll(s.forOthers.get(i));
                s.forOthers.get(i).clear();
            }
        }
    }

    private void heard(Router r, byte[] packet, long at) {
        if (!r.running) {
            return;
        }
        r.packetsIn++;
        count(r.bytesIn, packet.length, at);
        long before = cpu();
        r.part.receive(at, packet);
        step(r, before, at);
    }

    private void timer(Router r, long at) {
        r.timerAt = Long.MAX_VALUE;
        long before = cpu();
        if (r.part.nextDue() <= at) {
            r.part.reportDemand(new LimitDemand(shape.limits > 1 ? 1_000 : ORIGIN, LimitMeasure.PER_SECOND, r.wanted, 0));
            r.part.advance(at);
        }
        step(r, before, at);
    }

    /** Fetches what a router has to say; before is the processor time at which its step began. */
    private void step(Router r, long before, long at) {
        r.part.takeDrainView();
        List<Datagram> out = r.part.takePackets();
        for (Event e : r.part.takeEvents()) {
            if (e instanceof LimitSharesUpdate a && !a.shares().isEmpty()) {
                r.allowance = a.shares().get(0);
            }
        }
        r.part.takeLogEvents();
        long due = Math.max(at + 1, r.part.nextDue());
        r.cpu += cpu() - before - readingTakes;
        if (due < r.timerAt) {
            r.timerAt = due;
            r.shard.queue.add(new Due(due, r, -1, 0, null));
        }
        for (Datagram d : out) {
            send(r, d, at);
        }
    }

    private void send(Router from, Datagram d, long at) {
        from.shard.packets++;
        from.shard.bytes += d.bytes().length;
        from.packetsOut++;
        count(from.bytesOut, d.bytes().length, at);
        Router to = byAddress.get(d.address());
        if (to == null || cut.test(from.place, to.place) || from.network.nextDouble() < config.loss()) {
            return;
        }
        Due due = new Due(
                at + geography.delay(from.place, to.place, from.network.nextDouble()),
                to,
                from.number,
                from.sends++,
                d.bytes());
        if (to.shard == from.shard) {
            to.shard.queue.add(due);
        } else {
            from.shard.forOthers.get(shards.indexOf(to.shard)).add(due);
        }
    }

    /** What all routers may spend of the limit now, in sum, as shares of it. */
    private double spent() {
        return routers.stream()
                        .filter(r -> r.running && r.allowance != null)
                        .mapToDouble(r -> now < r.allowance.expiresAt() ? r.allowance.amount() : r.allowance.amountAfterExpiry())
                        .sum()
                / LIMIT;
    }

    // ---- counting -------------------------------------------------------------------------------------

    /** How many packets were sent since the start of all. */
    long packets() {
        return shards.stream().mapToLong(s -> s.packets).sum();
    }

    /** How many bytes were sent since the start of all. */
    long bytes() {
        return shards.stream().mapToLong(s -> s.bytes).sum();
    }

    private void count(int[] bySecond, int length, long at) {
        if (bySecond.length > 0) {
            bySecond[(int) Math.min(bySecond.length - 1, (at - began) / SECOND)] += length;
        }
    }

    /** Begins a window of so many seconds: from here on costs are counted anew. */
    void window(int seconds) {
        began = now;
        windowSeconds = seconds;
        mostSpent = 0;
        for (Router r : routers) {
            r.cpu = 0;
            r.packetsIn = 0;
            r.packetsOut = 0;
            r.bytesIn = new int[seconds];
            r.bytesOut = new int[seconds];
        }
    }

    /** Which of some routers are of which kind now, by what they say of themselves. */
    private static Map<Kind, List<Router>> kinds(List<Router> of) {
        Map<Kind, List<Router>> kinds = new EnumMap<>(Kind.class);
        of.forEach(r -> kinds.computeIfAbsent(kind(r), k -> new ArrayList<>()).add(r));
        return kinds;
    }

    private static Kind kind(Router r) {
        Map<String, String> fields = r.part.fields();
        boolean grantor = r.name.equals(fields.get("fleet-grantor"));
        if (!fields.containsKey("fleet-cell")) {
            return grantor ? Kind.GRANTOR : Kind.MEMBER;
        }
        if (fields.getOrDefault("fleet-upper-grantor", "").endsWith("." + r.name)) {
            return Kind.UPPER;
        }
        return grantor ? Kind.CELL_GRANTOR : "yes".equals(fields.get("fleet-delegate")) ? Kind.DELEGATE : Kind.MEMBER;
    }

    /**
     * What each kind of router cost in the window, which must have been lived through whole. Processes that were started
     * in it are told apart as fresh, but for a start of all.
     */
    List<Sample> samples(String scenario, boolean startOfAll) {
        List<Sample> samples = new ArrayList<>();
        List<Router> old = routers.stream()
                .filter(r -> r.running && (startOfAll || r.startedAt < began))
                .toList();
        List<Router> fresh = routers.stream()
                .filter(r -> r.running && !startOfAll && r.startedAt >= began)
                .toList();
        kinds(old)
                .forEach(
                        (kind, of) -> samples.add(new Sample(kind.role + ", " + scenario, shape.routers, figures(of))));
        kinds(fresh)
                .forEach((kind, of) ->
                        samples.add(new Sample("fresh " + kind.role + ", " + scenario, shape.routers, figures(of))));
        return samples;
    }

    private Map<String, Double> figures(List<Router> of) {
        Map<String, Double> f = new java.util.LinkedHashMap<>();
        double s = windowSeconds;
        double n = of.size() * s;
        f.put("routers", (double) of.size());
        double in = of.stream().mapToLong(r -> sum(r.bytesIn)).sum() / n;
        double out = of.stream().mapToLong(r -> sum(r.bytesOut)).sum() / n;
        f.put("bytes/s", in + out);
        f.put("bytes in/s", in);
        f.put("bytes out/s", out);
        f.put("packets in/s", of.stream().mapToLong(r -> r.packetsIn).sum() / n);
        f.put("packets out/s", of.stream().mapToLong(r -> r.packetsOut).sum() / n);
        f.put("cpu ms/s", of.stream().mapToLong(r -> r.cpu).sum() / n / 1e6);
        Router worst = of.get(0);
        Router burst = worst;
        int second = 0;
        for (Router r : of) {
            if (sum(r.bytesIn) + sum(r.bytesOut) > sum(worst.bytesIn) + sum(worst.bytesOut)) {
                worst = r;
            }
            for (int i = 0; i < r.bytesIn.length; i++) {
                if (r.bytesIn[i] + r.bytesOut[i] > burst.bytesIn[second] + burst.bytesOut[second]) {
                    burst = r;
                    second = i;
                }
            }
        }
        f.put("worst router bytes/s", (sum(worst.bytesIn) + sum(worst.bytesOut)) / s);
        f.put("worst router bytes in/s", sum(worst.bytesIn) / s);
        f.put("worst router bytes out/s", sum(worst.bytesOut) / s);
        f.put("worst router cpu ms/s", of.stream().mapToLong(r -> r.cpu).max().orElse(0) / s / 1e6);
        f.put("worst second bytes/s", (double) burst.bytesIn[second] + burst.bytesOut[second]);
        f.put("worst second bytes in/s", (double) burst.bytesIn[second]);
        f.put("worst second bytes out/s", (double) burst.bytesOut[second]);
        if (shape.limits == 1) {
            f.put(OF_THE_LIMIT, mostSpent);
        }
        f.put("living known", known(of, "fleet-living"));
        if (config.cells() != null) {
            f.put("cells", (double) routers.stream()
                    .filter(r -> r.running)
                    .map(r -> r.part.fields().get("fleet-cell"))
                    .distinct()
                    .count());
            f.put("delegates known", known(of, "fleet-delegates"));
        }
        return f;
    }

    private static double known(List<Router> of, String field) {
        return of.stream()
                .map(r -> r.part.fields().get(field))
                .filter(v -> v != null)
                .mapToDouble(Double::parseDouble)
                .average()
                .orElse(0);
    }

    private static long sum(int[] bySecond) {
        long sum = 0;
        for (int b : bySecond) {
            sum += b;
        }
        return sum;
    }

    /** The heap in use after a collection, less what is on its way in the network: bytes of the whole process. */
    long heap() {
        for (int i = 0; i < 2; i++) {
            System.gc();
        }
        long onTheWay = shards.stream()
                .flatMap(s -> s.queue.stream())
                .mapToLong(d -> 72 + (d.bytes == null ? 0 : 16 + d.bytes.length))
                .sum();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed() - onTheWay;
    }
}
