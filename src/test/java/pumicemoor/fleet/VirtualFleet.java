package pumicemoor.fleet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.BiPredicate;
import java.util.stream.IntStream;
import pumicemoor.RouterApi.LimitShare;
import pumicemoor.RouterApi.LimitSharesUpdate;
import pumicemoor.RouterApi.Event;
import pumicemoor.RouterApi.MemberHealthReport;
import pumicemoor.RouterApi.LimitMeasure;
import pumicemoor.RouterApi.EjectedMember;
import pumicemoor.RouterApi.Role;
import pumicemoor.RouterApi.EjectionsUpdate;
import pumicemoor.RouterApi.LimitDemand;
import pumicemoor.fleet.FleetSetup.LimitRule;
import pumicemoor.fleet.drains.DrainTimes;
import pumicemoor.fleet.drains.Drains;
import pumicemoor.fleet.limits.LeaseTimes;
import pumicemoor.fleet.membership.Membership;
import pumicemoor.fleet.verdicts.EjectionPolicy;

/** A fleet in one process and in virtual time, over a network that loses, delays, doubles, reorders and splits. */
final class VirtualFleet {

    static final long MILLI = 1_000;
    static final long SECOND = 1_000_000;
    static final long PERIOD = 200 * MILLI;
    static final LeaseTimes TIMES = new LeaseTimes(3 * SECOND, 300 * MILLI);
    static final EjectionPolicy.Rules VERDICTS = new EjectionPolicy.Rules(0.2, 2, 4 * SECOND, 2 * SECOND);
    static final long ORIGIN = 99;

    /** A router and what its decisions were last told. */
    final class Router {
        final String name;
        final String address;
        Fleet fleet;
        boolean running;
        long pausedUntil;
        long nextAt;
        List<LimitShare> allowances = List.of();
        List<EjectedMember> out = List.of();
        final Map<Long, Long> heardOut = new LinkedHashMap<>(); // when each member was first told out
        final List<LogEvent> notices = new ArrayList<>();
        final List<byte[]> waiting = new ArrayList<>(); // packets that came while it was paused
        double wanted;
        long startedAt;
        Drains.View view = new Drains.View(false, Set.of(), Map.of());
        final Map<Long, List<Long>> underWay = new LinkedHashMap<>(); // when attempts at a member end
        final Drains.Usage usage = new Drains.Usage() {
            @Override
            public int underWay(long member) {
                return open(member);
            }

            @Override
            public double hits(long member) {
                return Math.floorMod(member, 7);
            }
        };

        /** Attempts under way at a member; those of a process that is no more count for nobody. */
        int open(long member) {
            List<Long> ends = underWay.getOrDefault(member, List.of());
            return running ? (int) ends.stream().filter(e -> e > now).count() : 0;
        }

        /** Begins an attempt at a member if it may, as the program does: first what is due, then the request. */
        boolean ask(long member, long lasts) {
            if (!acts(this)) {
                return false;
            }
            if (nextAt <= now) {
                fleet.advance(now);
                fetch(this);
            }
            boolean knowsNothing =
                    fleet.plan().orElseThrow().stamp() == 0; // and has reached nobody: nothing is promised
            if (!view.settled() || view.alone().contains(member) || knowsNothing) {
                return false;
            }
            List<Long> ends = underWay.computeIfAbsent(member, m -> new ArrayList<>());
            ends.removeIf(e -> e <= now);
            ends.add(now + lasts);
            return true;
        }

        Router(int number) {
            name = "router-" + number;
            address = "127.0.0.1:" + (10_000 + number);
        }

        /** What it may spend of the origin's limit now. */
        double part() {
            if (!running) {
                return 0;
            }
            return allowances.stream()
                    .filter(a -> a.member() == ORIGIN)
                    .mapToDouble(a -> now < a.expiresAt() ? a.amount() : a.amountAfterExpiry())
                    .sum();
        }
    }

    private record Flying(long at, long order, Router to, byte[] bytes) implements Comparable<Flying> {
        @Override
        public int compareTo(Flying o) {
            return at != o.at ? Long.compare(at, o.at) : Long.compare(order, o.order);
        }
    }

    final List<Router> routers = new ArrayList<>();
    final Random random;
    private final Map<String, Router> byAddress = new LinkedHashMap<>();
    private final PriorityQueue<Flying> flying = new PriorityQueue<>();
    private final Map<Long, Fleet.Listed> members = new LinkedHashMap<>();
    private final double limit;
    private final LimitMeasure measure;
    private final int size;
    Optional<DrainTimes> drains = Optional.empty();
    long now = 1_790_000_000L * SECOND;
    double loss;
    double doubled;
    long leastDelay = 500;
    long mostDelay = 2 * MILLI;
    BiPredicate<Router, Router> cut = (a, b) -> false;
    BiConsumer<Router, Datagram> sends = (from, packet) -> {}; // is shown each packet as it leaves
    long packets;
    long bytes;
    private long order;

    VirtualFleet(int routers, int size, int caches, LimitMeasure measure, double limit, long seed) {
        this.random = new Random(seed);
        this.limit = limit;
        this.measure = measure;
        this.size = size;
        members.put(ORIGIN, new Fleet.Listed("origin", Role.ORIGIN, 0));
        for (int i = 0; i < caches; i++) {
            members.put(1_000L + i, new Fleet.Listed("box-" + i, Role.CACHE, 0));
        }
        for (int i = 0; i < routers; i++) {
            Router r = new Router(i);
            this.routers.add(r);
            byAddress.put(r.address, r);
        }
    }

    void startAll() {
        routers.forEach(this::start);
    }

    void start(Router r) {
        start(r, r.name, r.address);
    }

    void start(Router r, String name, String address) {
        List<String> seeds = routers.stream().limit(3).map(x -> x.address).toList();
        r.fleet = new Fleet(
                new FleetSetup(
                        "test",
                        new Membership.Setup(name, address, seeds, PERIOD, 3, 2, 600 * SECOND, 2_000),
                        size,
                        TIMES,
                        List.of(new LimitRule("origin", FleetSetup.Scope.ORIGIN, "", measure, limit)),
                        Optional.of(VERDICTS),
                        drains),
                now,
                random.nextLong(),
                r.usage);
        r.running = true;
        r.startedAt = now;
        r.underWay.clear();
        r.view = new Drains.View(false, Set.of(), Map.of());
        r.pausedUntil = 0;
        r.waiting.clear();
        r.heardOut.clear();
        r.out = List.of();
        r.allowances = List.of();
        r.fleet.updateMembers(now, members);
        fetch(r);
        r.nextAt = r.fleet.nextDue();
    }

    void kill(Router r) {
        r.running = false;
    }

    void pause(Router r, long time) {
        r.pausedUntil = now + time;
    }

    boolean acts(Router r) {
        return r.running && now >= r.pausedUntil;
    }

    void judge(Router r, long member, boolean failing) {
        r.fleet.reportHealth(now, new MemberHealthReport(member, failing, true, 2, 0.5, now + SECOND));
        fetch(r);
    }

    /** Lives on, calling back after each step in which something happened. */
    void run(long time, Runnable watch) {
        long end = now + time;
        long began = packets;
        while (true) {
            if (packets - began > 2_000L * routers.size() * (1 + time / SECOND)) {
                throw new AssertionError("a storm of packets: " + packets + " "
                        + routers.stream().map(r -> r.fleet.fields()).toList());
            }
            long next = flying.isEmpty() ? Long.MAX_VALUE : flying.peek().at();
            for (Router r : routers) {
                if (r.running) {
                    next = Math.min(next, Math.max(r.nextAt, r.pausedUntil));
                }
            }
            if (next > end) {
                now = end;
                watch.run();
                return;
            }
            now = Math.max(now, next);
            while (!flying.isEmpty() && flying.peek().at() <= now) {
                Flying f = flying.poll();
                if (f.to().running && now < f.to().pausedUntil) {
                    f.to().waiting.add(f.bytes());
                } else if (f.to().running) {
                    f.to().fleet.receive(now, f.bytes());
                    fetch(f.to());
                }
            }
            for (Router r : routers) {
                if (acts(r) && (!r.waiting.isEmpty() || r.nextAt <= now)) {
                    if (r.pausedUntil > 0 && random.nextBoolean()) {
                        r.fleet.advance(now); // after a pause timers may come before or after what waits
                    }
                    r.waiting.forEach(b -> r.fleet.receive(now, b));
                    r.waiting.clear();
                    r.fleet.advance(now);
                    fetch(r);
                }
            }
            watch.run();
        }
    }

    private void fetch(Router r) {
        r.fleet.takeDrainView().ifPresent(v -> r.view = v);
        r.fleet.reportDemand(new LimitDemand(ORIGIN, measure, r.wanted, 0));
        for (Datagram d : r.fleet.takePackets()) {
            send(r, d);
        }
        for (Event e : r.fleet.takeEvents()) {
            if (e instanceof LimitSharesUpdate a) {
                r.allowances = a.shares();
            } else if (e instanceof EjectionsUpdate v) {
                r.out = v.ejected();
                v.ejected().forEach(o -> r.heardOut.putIfAbsent(o.member(), now));
            }
        }
        r.notices.addAll(r.fleet.takeLogEvents());
        r.nextAt = Math.max(now + 1, r.fleet.nextDue());
    }

    private void send(Router from, Datagram d) {
        sends.accept(from, d);
        packets++;
        bytes += d.bytes().length;
        Router to = byAddress.get(d.address());
        if (to == null || cut.test(from, to) || random.nextDouble() < loss) {
            return;
        }
        for (int copies = random.nextDouble() < doubled ? 2 : 1; copies > 0; copies--) {
            long delay = leastDelay + (long) (random.nextDouble() * (mostDelay - leastDelay));
            flying.add(new Flying(now + delay, order++, to, d.bytes()));
        }
    }

    /** The sum of what all may spend now. */
    double spent() {
        return routers.stream().mapToDouble(Router::part).sum();
    }

    /** The members that any running router keeps out now. */
    Set<Long> outAnywhere() {
        Set<Long> out = new HashSet<>();
        routers.stream()
                .filter(r -> r.running)
                .forEach(r -> r.out.stream().filter(o -> now < o.until()).forEach(o -> out.add(o.member())));
        return out;
    }

    /** Lists the members anew, at every router that runs. */
    void list(long member, boolean ready, long started) {
        Fleet.Listed m = members.get(member);
        members.put(member, new Fleet.Listed(m.name(), m.role(), started, ready));
        routers.stream().filter(this::acts).forEach(r -> {
            r.fleet.updateMembers(now, members);
            fetch(r);
        });
    }

    /** Whether all that run believe the same of all that run. */
    boolean agreed() {
        List<Router> running = routers.stream().filter(r -> r.running).toList();
        Set<String> names = new HashSet<>();
        running.forEach(r -> names.add(r.name));
        return running.stream().allMatch(r -> {
            Set<String> living = new HashSet<>();
            r.fleet.rows("members").orElseThrow().stream()
                    .filter(m -> m.get("standing").equals("alive"))
                    .forEach(m -> living.add((String) m.get("name")));
            return living.equals(names);
        });
    }

    static IntStream upTo(int n) {
        return IntStream.range(0, n);
    }
}
