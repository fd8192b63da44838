package pumicemoor.fleet.membership;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import pumicemoor.Hashes;
import pumicemoor.fleet.Packet;
import pumicemoor.fleet.Packet.Ack;
import pumicemoor.fleet.Packet.Body;
import pumicemoor.fleet.Packet.Compare;
import pumicemoor.fleet.Packet.News;
import pumicemoor.fleet.Packet.Ping;
import pumicemoor.fleet.Packet.Relay;
import pumicemoor.fleet.Packet.Sums;

/**
 * Detects which routers of the fleet are alive. Owns the table of router records, this router's incarnation, the probe
 * in progress and the running suspicion timeouts. A record is replaced only by a newer one, so old, duplicated or
 * reordered packets have no effect. It must never send packets itself; it passes them to its outlet.
 */
public final class Membership {

    // Time until a suspect is declared dead, for each bit of the number of routers.
    private static final double SUSPICION_PERIODS_PER_BIT = 2;
    private static final int MIN_SUSPICION_PERIODS = 4;
    // Interval at which the whole table is compared with another router's.
    private static final int COMPARE_INTERVAL_PERIODS = 8;
    // Answers that contain the records of the whole table or of the parts that differ.
    private static final int MAX_RECORD_ANSWERS_PER_PERIOD = 4;
    private static final int MAX_DIGEST_ANSWERS_PER_PERIOD = 8; // answers that contain the digests of the parts
    private static final int MEAN_ROUTERS_PER_PART = 8;
    /** The largest number of parts that a membership table is split into for comparison; a power of two. */
    public static final int MAX_DIGEST_PARTS = 64;

    private static final int DUPLICATE_NAME_SILENCE_PERIODS = 20; // how long the second router of a name sends nothing
    private static final int MAX_PENDING_RELAYS = 32; // pings in flight on behalf of other routers
    private static final int LEAVE_ANNOUNCEMENTS = 8; // routers that are notified directly when this one leaves
    private static final long MAX_INCARNATION_LEAD_MILLIS = 86_400_000; // one day

    /** The configuration of a router's membership; times are microseconds. */
    public record Setup(
            String name,
            String address,
            List<String> seeds,
            long periodMicros,
            int indirectProbes,
            int fanout,
            long rememberMicros,
            int maxRouters) {}

    /** Receives the packets to send and the changes of the membership. */
    public interface Outlet {

        /** Sends a packet to an address and returns the number of the packet. */
        long send(String address, Body body);

        /** Sends the records of all routers that match the filter, in as many packets as they need. */
        void sendAll(String address, Predicate<RouterRecord> filter);

        /** Queues a record that is new to this router for gossip to others. */
        void gossip(RouterRecord router);

        /** Reports a change of a router's status, to be logged. */
        void statusChanged(RouterRecord router, RouterStatus before, String cause);

        /** Counts a dropped input under this counter name. */
        void dropped(String counter);
    }

    private static final class Peer {
        RouterRecord entry;
        long digest; // of the entry
        long statusSince; // when the status last changed
        long suspectUntil = Long.MAX_VALUE;
        long remindedAt; // when it was last sent its own entry
    }

    private record PendingRelay(String requester, long number, long sentAt) {}

    private final Setup setup;
    private final Outlet outlet;
    private final Random random;
    private final long instance;
    private final boolean compareInParts;
    private final Map<String, Peer> peers = new TreeMap<>();
    private List<RouterRecord> living = List.of(); // cached list of the living peers; null when outdated
    private int leftCount; // the number of peers that left gracefully
    private long peersDigest;
    private final List<String> probeOrder = new ArrayList<>(); // the routers to probe next, the last one first
    // Pings sent on behalf of other routers, by packet number.
    private final Map<Long, PendingRelay> pendingRelays = new HashMap<>();
    private long incarnation;
    private long now;
    private long nextPeriodAt;
    private long indirectProbeAt = Long.MAX_VALUE;
    private long silentUntil;
    private long periods;
    private int recordAnswers;
    private int digestAnswers;
    private String probeTarget; // the router whose answer is awaited; null for none
    // The numbers of the ping and of the relay requests for the current target.
    private final Set<Long> probeNumbers = new HashSet<>();
    private boolean leaving;

    /**
     * Starts at this time (Unix microseconds), which also distinguishes this process from earlier ones of the same
     * name.
     */
    public Membership(Setup setup, long time, long seed, Outlet outlet) {
        this(setup, time, seed, 0, false, outlet);
    }

    /**
     * The same for a process that already has an instance number, 0 for none. With {@code compareInParts}, routers
     * whose tables differ exchange only the parts that differ, at the cost of one more message; it must be the same for
     * all routers of a cluster.
     */
    public Membership(Setup setup, long time, long seed, long givenInstance, boolean compareInParts, Outlet outlet) {
        this.compareInParts = compareInParts;
        this.setup = setup;
        this.outlet = outlet;
        this.random = new Random(seed);
        this.now = time;
        this.instance =
                givenInstance != 0 ? givenInstance : Math.max(1, (time / 1_000 << 20) | random.nextInt(1 << 20));
        this.incarnation = Math.max(1, time / 1_000);
        this.nextPeriodAt = time + 1;
    }

    /**
     * The highest incarnation accepted at this time. Incarnations begin at the start time in Unix milliseconds, so this
     * is one day ahead of the clock.
     */
    public static long maxIncarnation(long time) {
        return time / 1_000 + MAX_INCARNATION_LEAD_MILLIS;
    }

    /** The record that this router sends about itself. */
    public RouterRecord self() {
        return new RouterRecord(
                setup.name(), setup.address(), instance, incarnation, leaving ? RouterStatus.LEFT : RouterStatus.ALIVE);
    }

    /** Whether this router sends nothing because an older router of the same name is alive. */
    public boolean isSilent(long time) {
        return time < silentUntil;
    }

    public long nextDue() {
        return Math.min(nextPeriodAt, indirectProbeAt);
    }

    /** The records of all known routers, including this one. */
    public Collection<RouterRecord> allRouters() {
        List<RouterRecord> all = new ArrayList<>();
        all.add(self());
        peers.values().forEach(p -> all.add(p.entry));
        return all;
    }

    /** When the status of this router last changed here; 0 for an unknown router and for this router itself. */
    public long statusSince(String name) {
        return peers.containsKey(name) ? peers.get(name).statusSince : 0;
    }

    /** The routers that may be sent requests: alive or only suspected, without this router. */
    public List<RouterRecord> living() {
        if (living == null) {
            living = peers.values().stream()
                    .map(p -> p.entry)
                    .filter(n -> n.status() == RouterStatus.ALIVE || n.status() == RouterStatus.SUSPECT)
                    .toList();
        }
        return living;
    }

    /** The number of known routers, including this one. Routers that left gracefully are not counted. */
    public int knownRouters() {
        return 1 + peers.size() - leftCount;
    }

    /** A digest of the whole table, equal at two routers only if their tables are equal. */
    public long digest() {
        return recordDigest(self()) + peersDigest;
    }

    private static long recordDigest(RouterRecord router) {
        return Hashes.mix(Hashes.of(router.name())
                + 31 * router.instance()
                + 17 * router.incarnation()
                + router.status().ordinal());
    }

    /** The digests of the table split into this many parts, a power of two. */
    private List<Long> partDigests(int parts) {
        Long[] digests = new Long[parts];
        Arrays.fill(digests, 0L);
        digests[partOf(setup.name(), parts)] += recordDigest(self());
        peers.forEach((name, p) -> digests[partOf(name, parts)] += p.digest);
        return List.of(digests);
    }

    /**
     * The part that a name belongs to. Names of a split cell share the first bits of their hashes, so the hash is mixed
     * again.
     */
    private static int partOf(String name, int parts) {
        return (int) Hashes.mix(Hashes.of(name)) & parts - 1;
    }

    private int partCount() {
        return Math.min(
                MAX_DIGEST_PARTS, Math.max(1, Integer.highestOneBit(2 * (peers.size() + 1) / MEAN_ROUTERS_PER_PART)));
    }

    /**
     * Advances to this time and runs the timers that are due. After a pause of the whole process no router is suspected
     * because of answers that could not be received meanwhile.
     */
    public void advance(long time) {
        now = Math.max(now, time);
        if (now >= indirectProbeAt) {
            indirectProbeAt = Long.MAX_VALUE;
            probeIndirectly();
        }
        if (now < nextPeriodAt) {
            return;
        }
        long overdueMicros = now - nextPeriodAt;
        if (overdueMicros > setup.periodMicros()) {
            probeTarget = null;
            peers.values().stream()
                    .filter(p -> p.suspectUntil < Long.MAX_VALUE)
                    .forEach(p -> p.suspectUntil += overdueMicros);
        }
        nextPeriodAt = now + setup.periodMicros();
        periods++;
        recordAnswers = 0;
        digestAnswers = 0;
        pendingRelays.values().removeIf(r -> now - r.sentAt() > 2 * setup.periodMicros());
        if (isSilent(now) || leaving) {
            probeTarget = null;
            return;
        }
        if (probeTarget != null && peers.containsKey(probeTarget)) {
            suspect(peers.get(probeTarget), "no answer to a direct or indirect probe");
        }
        expire();
        probe();
        compare();
    }

    private void expire() {
        for (Peer peer : List.copyOf(peers.values())) {
            if (now >= peer.suspectUntil) {
                merge(peer.entry.withStatus(RouterStatus.DEAD), "the suspicion was not refuted in time");
            } else if (peer.entry.status().compareTo(RouterStatus.DEAD) >= 0
                    && now - peer.statusSince > setup.rememberMicros()) {
                peers.remove(peer.entry.name());
                replaceEntry(peer, null);
            }
        }
    }

    private void suspect(Peer peer, String cause) {
        if (peer.entry.status() == RouterStatus.ALIVE) {
            merge(peer.entry.withStatus(RouterStatus.SUSPECT), cause);
        }
    }

    /** Probes the next router in a random order, which is shuffled again once every router has been probed. */
    private void probe() {
        probeTarget = null;
        indirectProbeAt = Long.MAX_VALUE;
        Set<String> names = new LinkedHashSet<>();
        living().forEach(n -> names.add(n.name()));
        probeOrder.removeIf(n -> !names.contains(n));
        if (probeOrder.isEmpty()) {
            probeOrder.addAll(names);
            Collections.shuffle(probeOrder, random);
        }
        if (!probeOrder.isEmpty()) {
            probeTarget = probeOrder.remove(probeOrder.size() - 1);
            probeNumbers.clear();
            probeNumbers.add(outlet.send(peers.get(probeTarget).entry.address(), new Ping()));
            indirectProbeAt = now + setup.periodMicros() / 3;
        }
    }

    private void probeIndirectly() {
        if (probeTarget != null && peers.containsKey(probeTarget)) {
            String address = peers.get(probeTarget).entry.address();
            randomLiving(setup.indirectProbes(), probeTarget)
                    .forEach(n -> probeNumbers.add(outlet.send(n.address(), new Relay(address))));
        }
    }

    private List<RouterRecord> randomLiving(int count, String excluded) {
        List<RouterRecord> all = new ArrayList<>(living());
        all.removeIf(n -> n.name().equals(excluded));
        Collections.shuffle(all, random);
        return all.subList(0, Math.min(count, all.size()));
    }

    /** The random routers that gossip is sent to immediately, in addition to the probed router. */
    public List<RouterRecord> gossipTargets() {
        return randomLiving(setup.fanout(), "");
    }

    /** How often an update is sent, depending on the fleet size. */
    public int gossipTransmissions() {
        return 3 * bitLength();
    }

    private int bitLength() {
        return Math.max(1, 64 - Long.numberOfLeadingZeros(peers.size() + 1L));
    }

    /** How long a suspect has to refute the suspicion (microseconds). */
    long suspicionTimeout() {
        return setup.periodMicros() * (long) Math.max(MIN_SUSPICION_PERIODS, SUSPICION_PERIODS_PER_BIT * bitLength());
    }

    /**
     * Every few periods, compares the whole table with a random living router and with a random dead router or absent
     * seed. While no router is known to be alive, compares it in every period with all dead routers and seeds. This
     * heals network partitions and recovers lost updates.
     */
    private void compare() {
        boolean isolated = living().isEmpty();
        if (!isolated
                && periods % COMPARE_INTERVAL_PERIODS
                        != Math.floorMod(Hashes.of(setup.name()), COMPARE_INTERVAL_PERIODS)) {
            return;
        }
        List<String> absentAddresses = new ArrayList<>(setup.seeds());
        peers.values().stream()
                .filter(p -> p.entry.status() == RouterStatus.DEAD)
                .forEach(p -> absentAddresses.add(p.entry.address()));
        absentAddresses.removeIf(address -> address.equals(setup.address())
                || living().stream().anyMatch(n -> n.address().equals(address)));
        randomLiving(1, "").forEach(n -> outlet.send(n.address(), new Compare(digest(), true)));
        if (isolated) {
            absentAddresses.forEach(a -> outlet.send(a, new Compare(digest(), true)));
        } else if (!absentAddresses.isEmpty()) {
            outlet.send(absentAddresses.get(random.nextInt(absentAddresses.size())), new Compare(digest(), true));
        }
    }

    /** Handles a decoded packet. Returns false if the rest of the packet must not be used. */
    public boolean receive(long time, Packet packet) {
        now = Math.max(now, time);
        RouterRecord from = packet.from();
        if (from.name().equals(setup.name())) {
            handleDuplicateName(from);
            return false;
        }
        if (isSilent(now) || leaving) {
            return false;
        }
        merge(from, "a packet from it was received");
        packet.routers().forEach(n -> merge(n, "reported by " + from.name()));
        Peer sender = peers.get(from.name());
        if (sender == null) {
            return false; // the table is full
        }
        // True if the sender is a successor or a predecessor of the known process.
        boolean otherInstance = sender.entry.instance() != from.instance();
        if ((otherInstance || sender.entry.status() != RouterStatus.ALIVE)
                && now - sender.remindedAt > setup.periodMicros() / 2) {
            sender.remindedAt = now; // a router can refute an entry only if it knows of it
            outlet.gossip(sender.entry);
            outlet.send(from.address(), new News());
        }
        if (otherInstance) {
            return false;
        }
        answer(packet);
        return true;
    }

    private void answer(Packet packet) {
        String address = packet.from().address();
        if (packet.body() instanceof Ping) {
            outlet.send(address, new Ack(packet.number()));
        } else if (packet.body() instanceof Ack ack) {
            PendingRelay relayed = pendingRelays.remove(ack.number());
            if (relayed != null) {
                outlet.send(relayed.requester(), new Ack(relayed.number()));
            }
            if (probeNumbers.contains(ack.number())) {
                probeTarget = null;
            }
        } else if (packet.body() instanceof Relay relay && pendingRelays.size() < MAX_PENDING_RELAYS) {
            pendingRelays.put(
                    outlet.send(relay.address(), new Ping()), new PendingRelay(address, packet.number(), now));
        } else if (packet.body() instanceof Compare compare && compare.digest() != digest()) {
            if (compareInParts
                    ? ++digestAnswers > MAX_DIGEST_ANSWERS_PER_PERIOD
                    : ++recordAnswers > MAX_RECORD_ANSWERS_PER_PERIOD) {
                outlet.dropped("compare-limited");
                return;
            }
            if (compareInParts) {
                outlet.send(address, new Sums(partDigests(partCount()), true));
                return;
            }
            outlet.sendAll(address, n -> true);
            if (compare.replyExpected()) {
                outlet.send(address, new Compare(digest(), false));
            }
        } else if (packet.body() instanceof Sums sums && compareInParts) {
            answer(address, sums);
        }
    }

    private void answer(String address, Sums sums) {
        int parts = sums.partDigests().size();
        List<Long> ownDigests = partDigests(parts);
        if (ownDigests.equals(sums.partDigests())) {
            return;
        }
        if (++recordAnswers > MAX_RECORD_ANSWERS_PER_PERIOD) {
            outlet.dropped("compare-limited");
            return;
        }
        outlet.sendAll(address, router -> {
            int part = partOf(router.name(), parts);
            return !ownDigests.get(part).equals(sums.partDigests().get(part));
        });
        if (sums.replyExpected()) {
            outlet.send(address, new Sums(ownDigests, false));
        }
    }

    /** Merges one record into the table; returns true if it was new. */
    private boolean merge(RouterRecord router, String cause) {
        if (router.name().equals(setup.name())) {
            refute(router);
            return false;
        }
        Peer peer = peers.get(router.name());
        if (peer != null && !router.overrides(peer.entry)) {
            return false;
        }
        if (peer == null) {
            if (peers.size() >= setup.maxRouters()) {
                outlet.dropped("too-many-routers");
                return false;
            }
            peer = new Peer();
            peers.put(router.name(), peer);
        }
        RouterStatus before = peer.entry == null ? null : peer.entry.status();
        boolean restarted = peer.entry != null && peer.entry.instance() != router.instance();
        replaceEntry(peer, router);
        if (before != router.status() || restarted) {
            peer.statusSince = now;
            outlet.statusChanged(router, before, restarted ? "it was restarted" : cause);
        }
        peer.suspectUntil = router.status() == RouterStatus.SUSPECT ? now + suspicionTimeout() : Long.MAX_VALUE;
        outlet.gossip(router);
        return true;
    }

    /** The only place where a table entry changes; a null record forgets the router. */
    private void replaceEntry(Peer peer, RouterRecord router) {
        if (peer.entry != null) {
            peersDigest -= peer.digest;
            leftCount -= peer.entry.status() == RouterStatus.LEFT ? 1 : 0;
        }
        if (router != null) {
            peer.entry = router;
            peer.digest = recordDigest(router);
            peersDigest += peer.digest;
            leftCount += router.status() == RouterStatus.LEFT ? 1 : 0;
        }
        living = null;
    }

    /** Refutes a wrong record about this router by raising its incarnation. */
    private void refute(RouterRecord router) {
        boolean sameInstance = router.instance() == instance;
        if (!leaving
                && router.incarnation() >= incarnation
                && (!sameInstance || router.status() != RouterStatus.ALIVE)) {
            incarnation = router.incarnation() + 1;
            outlet.gossip(self());
            if (sameInstance) {
                outlet.statusChanged(self(), router.status(), "it refuted this status with a higher incarnation");
            } else if (!router.address().equals(setup.address()) && !isSilent(now)) {
                outlet.send(router.address(), new Ping()); // checks whether that process still runs
            }
        }
    }

    /** Handles a packet from a router with this router's name. If that process is older, it owns the name. */
    private void handleDuplicateName(RouterRecord from) {
        if (from.instance() == instance || from.address().equals(setup.address())) {
            return; // this router's own packet, or one that its predecessor sent
        }
        outlet.dropped("duplicate-names");
        if (from.instance() < instance) {
            if (!isSilent(now)) {
                outlet.statusChanged(
                        self(),
                        RouterStatus.ALIVE,
                        "an older router of this name is alive at " + from.address()
                                + ": this one stands aside and sends nothing");
            }
            silentUntil = now + DUPLICATE_NAME_SILENCE_PERIODS * setup.periodMicros();
        } else if (now >= silentUntil) {
            outlet.send(from.address(), new Ping());
        }
    }

    /** Announces that this router leaves gracefully. */
    public void leave() {
        leaving = true;
        incarnation++;
        outlet.gossip(self());
        randomLiving(LEAVE_ANNOUNCEMENTS, "").forEach(n -> outlet.send(n.address(), new News()));
    }
}
