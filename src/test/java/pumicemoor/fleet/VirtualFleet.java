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
import pumicemoor.RouterApi.EjectedMember;
import pumicemoor.RouterApi.EjectionsUpdate;
import pumicemoor.RouterApi.Event;
import pumicemoor.RouterApi.LimitDemand;
import pumicemoor.RouterApi.LimitMeasure;
import pumicemoor.RouterApi.LimitShare;
import pumicemoor.RouterApi.LimitSharesUpdate;
import pumicemoor.RouterApi.MemberHealthReport;
import pumicemoor.RouterApi.Role;
import pumicemoor.fleet.FleetSetup.LimitRule;
import pumicemoor.fleet.drains.DrainTimes;
import pumicemoor.fleet.drains.Drains;
import pumicemoor.fleet.limits.LeaseTimes;
import pumicemoor.fleet.membership.Membership;
import pumicemoor.fleet.verdicts.EjectionPolicy;

/**
 * A simulated fleet in one process and in virtual time (microseconds), over a network that loses, delays, duplicates
 * and reorders packets and can be partitioned.
 */
final class VirtualFleet {

    static final long MILLI = 1_000;
    static final long SECOND = 1_000_000;
    static final long PERIOD = 200 * MILLI;
    static final LeaseTimes TIMES = new LeaseTimes(3 * SECOND, 300 * MILLI);
    static final EjectionPolicy.Rules EJECTION_RULES = new EjectionPolicy.Rules(0.2, 2, 4 * SECOND, 2 * SECOND);
    static final long ORIGIN = 99;

    /** A router and the state that its routing decisions last received. */
    final class Router {
        final String name;
        final String address;
        Fleet fleet;
        boolean running;
        long pausedUntil;
        long nextAdvanceAt;
        List<LimitShare> limitShares = List.of();
        List<EjectedMember> ejected = List.of();
        final Map<Long, Long> firstEjectedAt = new LinkedHashMap<>(); // when each member was first reported as ejected
        final List<LogEvent> logEvents = new ArrayList<>();
        final List<byte[]> queuedPackets = new ArrayList<>(); // packets that arrived while it was paused
        double demand;
        long startedAt;
        Drains.View view = new Drains.View(false, Set.of(), Map.of());
        final Map<Long, List<Long>> attemptEnds = new LinkedHashMap<>(); // end times of the attempts at each member
        final Drains.Usage usage = new Drains.Usage() {
            @Override
            public int underWay(long member) {
                return attemptsInFlight(member);
            }

            @Override
            public double hits(long member) {
                return Math.floorMod(member, 7);
            }
        };

        /** The attempts in flight at a member. Attempts of a process that no longer runs are not counted. */
        int attemptsInFlight(long member) {
            List<Long> ends = attemptEnds.getOrDefault(member, List.of());
            return running ? (int) ends.stream().filter(e -> e > now).count() : 0;
        }

        /**
         * Starts an attempt at a member if that is allowed. Like the program, it runs due timers before the request.
         */
        boolean startAttempt(long member, long durationMicros) {
            if (!isActive(this)) {
                return false;
            }
            if (nextAdvanceAt <= now) {
                fleet.advance(now);
                collectOutput(this);
            }
            boolean knowsNothing =
                    fleet.plan().orElseThrow().stamp() == 0; // it has reached no other router, so nothing is guaranteed
            if (!view.settled() || view.avoidedMembers().contains(member) || knowsNothing) {
                return false;
            }
            List<Long> ends = attemptEnds.computeIfAbsent(member, m -> new ArrayList<>());
            ends.removeIf(e -> e <= now);
            ends.add(now + durationMicros);
            return true;
        }

        Router(int number) {
            name = "router-" + number;
            address = "127.0.0.1:" + (10_000 + number);
        }

        /** The share of the origin's limit that this router may use now. */
        double limitShare() {
            if (!running) {
                return 0;
            }
            return limitShares.stream()
                    .filter(s -> s.member() == ORIGIN)
                    .mapToDouble(s -> now < s.expiresAt() ? s.amount() : s.amountAfterExpiry())
                    .sum();
        }
    }

    private record PacketInFlight(long arrivesAt, long sequence, Router to, byte[] bytes)
            implements Comparable<PacketInFlight> {
        @Override
        public int compareTo(PacketInFlight other) {
            return arrivesAt != other.arrivesAt
                    ? Long.compare(arrivesAt, other.arrivesAt)
                    : Long.compare(sequence, other.sequence);
        }
    }

    final List<Router> routers = new ArrayList<>();
    final Random random;
    private final Map<String, Router> byAddress = new LinkedHashMap<>();
    private final PriorityQueue<PacketInFlight> inFlight = new PriorityQueue<>();
    private final Map<Long, Fleet.ListedMember> members = new LinkedHashMap<>();
    private final double limit;
    private final LimitMeasure measure;
    private final int size;
    Optional<DrainTimes> drains = Optional.empty();
    long now = 1_790_000_000L * SECOND;
    double lossRate;
    double duplicateRate;
    long minDelayMicros = 500;
    long maxDelayMicros = 2 * MILLI;
    BiPredicate<Router, Router> cut = (a, b) -> false;
    BiConsumer<Router, Datagram> sendObserver = (from, packet) -> {}; // called with each packet when it is sent
    long packetsSent;
    long bytesSent;
    private long nextSequence;

    VirtualFleet(int routers, int size, int caches, LimitMeasure measure, double limit, long seed) {
        this.random = new Random(seed);
        this.limit = limit;
        this.measure = measure;
        this.size = size;
        members.put(ORIGIN, new Fleet.ListedMember("origin", Role.ORIGIN, 0));
        for (int i = 0; i < caches; i++) {
            members.put(1_000L + i, new Fleet.ListedMember("box-" + i, Role.CACHE, 0));
        }
        for (int i = 0; i < routers; i++) {
            Router router = new Router(i);
            this.routers.add(router);
            byAddress.put(router.address, router);
        }
    }

    void startAll() {
        routers.forEach(this::start);
    }

    void start(Router router) {
        start(router, router.name, router.address);
    }

    void start(Router router, String name, String address) {
        List<String> seeds = routers.stream().limit(3).map(x -> x.address).toList();
        router.fleet = new Fleet(
                new FleetSetup(
                        "test",
                        new Membership.Setup(name, address, seeds, PERIOD, 3, 2, 600 * SECOND, 2_000),
                        size,
                        TIMES,
                        List.of(new LimitRule("origin", FleetSetup.Scope.ORIGIN, "", measure, limit)),
                        Optional.of(EJECTION_RULES),
                        drains),
                now,
                random.nextLong(),
                router.usage);
        router.running = true;
        router.startedAt = now;
        router.attemptEnds.clear();
        router.view = new Drains.View(false, Set.of(), Map.of());
        router.pausedUntil = 0;
        router.queuedPackets.clear();
        router.firstEjectedAt.clear();
        router.ejected = List.of();
        router.limitShares = List.of();
        router.fleet.updateMembers(now, members);
        collectOutput(router);
        router.nextAdvanceAt = router.fleet.nextDue();
    }

    void kill(Router router) {
        router.running = false;
    }

    void pause(Router router, long time) {
        router.pausedUntil = now + time;
    }

    boolean isActive(Router router) {
        return router.running && now >= router.pausedUntil;
    }

    void reportHealth(Router router, long member, boolean failing) {
        router.fleet.reportHealth(now, new MemberHealthReport(member, failing, true, 2, 0.5, now + SECOND));
        collectOutput(router);
    }

    /** Runs for this time (microseconds) and calls back after each step in which something happened. */
    void run(long time, Runnable afterStep) {
        long end = now + time;
        long sentBefore = packetsSent;
        while (true) {
            if (packetsSent - sentBefore > 2_000L * routers.size() * (1 + time / SECOND)) {
                throw new AssertionError("too many packets: " + packetsSent + " "
                        + routers.stream().map(r -> r.fleet.fields()).toList());
            }
            long next = inFlight.isEmpty() ? Long.MAX_VALUE : inFlight.peek().arrivesAt();
            for (Router router : routers) {
                if (router.running) {
                    next = Math.min(next, Math.max(router.nextAdvanceAt, router.pausedUntil));
                }
            }
            if (next > end) {
                now = end;
                afterStep.run();
                return;
            }
            now = Math.max(now, next);
            while (!inFlight.isEmpty() && inFlight.peek().arrivesAt() <= now) {
                PacketInFlight packet = inFlight.poll();
                if (packet.to().running && now < packet.to().pausedUntil) {
                    packet.to().queuedPackets.add(packet.bytes());
                } else if (packet.to().running) {
                    packet.to().fleet.receive(now, packet.bytes());
                    collectOutput(packet.to());
                }
            }
            for (Router router : routers) {
                if (isActive(router) && (!router.queuedPackets.isEmpty() || router.nextAdvanceAt <= now)) {
                    if (router.pausedUntil > 0 && random.nextBoolean()) {
                        router.fleet.advance(now); // after a pause, timers may run before or after the queued packets
                    }
                    router.queuedPackets.forEach(b -> router.fleet.receive(now, b));
                    router.queuedPackets.clear();
                    router.fleet.advance(now);
                    collectOutput(router);
                }
            }
            afterStep.run();
        }
    }

    private void collectOutput(Router router) {
        router.fleet.takeDrainView().ifPresent(v -> router.view = v);
        router.fleet.reportDemand(new LimitDemand(ORIGIN, measure, router.demand, 0));
        for (Datagram datagram : router.fleet.takePackets()) {
            send(router, datagram);
        }
        for (Event event : router.fleet.takeEvents()) {
            if (event instanceof LimitSharesUpdate update) {
                router.limitShares = update.shares();
            } else if (event instanceof EjectionsUpdate update) {
                router.ejected = update.ejected();
                update.ejected().forEach(e -> router.firstEjectedAt.putIfAbsent(e.member(), now));
            }
        }
        router.logEvents.addAll(router.fleet.takeLogEvents());
        router.nextAdvanceAt = Math.max(now + 1, router.fleet.nextDue());
    }

    private void send(Router from, Datagram datagram) {
        sendObserver.accept(from, datagram);
        packetsSent++;
        bytesSent += datagram.bytes().length;
        Router to = byAddress.get(datagram.address());
        if (to == null || cut.test(from, to) || random.nextDouble() < lossRate) {
            return;
        }
        for (int copies = random.nextDouble() < duplicateRate ? 2 : 1; copies > 0; copies--) {
            long delay = minDelayMicros + (long) (random.nextDouble() * (maxDelayMicros - minDelayMicros));
            inFlight.add(new PacketInFlight(now + delay, nextSequence++, to, datagram.bytes()));
        }
    }

    /** The sum of the limit shares that all routers may use now. */
    double totalLimitShares() {
        return routers.stream().mapToDouble(Router::limitShare).sum();
    }

    /** The members that at least one running router treats as ejected now. */
    Set<Long> ejectedAnywhere() {
        Set<Long> ejected = new HashSet<>();
        routers.stream()
                .filter(r -> r.running)
                .forEach(r -> r.ejected.stream().filter(e -> now < e.until()).forEach(e -> ejected.add(e.member())));
        return ejected;
    }

    /** Changes the list entry of a member at every active router. */
    void updateMember(long member, boolean ready, long started) {
        Fleet.ListedMember before = members.get(member);
        members.put(member, new Fleet.ListedMember(before.name(), before.role(), started, ready));
        routers.stream().filter(this::isActive).forEach(router -> {
            router.fleet.updateMembers(now, members);
            collectOutput(router);
        });
    }

    /** Whether every running router considers exactly the running routers alive. */
    boolean membershipAgrees() {
        List<Router> running = routers.stream().filter(r -> r.running).toList();
        Set<String> names = new HashSet<>();
        running.forEach(r -> names.add(r.name));
        return running.stream().allMatch(router -> {
            Set<String> living = new HashSet<>();
            router.fleet.rows("members").orElseThrow().stream()
                    .filter(m -> m.get("standing").equals("alive"))
                    .forEach(m -> living.add((String) m.get("name")));
            return living.equals(names);
        });
    }

    static IntStream range(int end) {
        return IntStream.range(0, end);
    }
}
