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
 * Which routers of the fleet live. It owns the table of beliefs, this router's incarnation, the probe that is out and
 * the suspicions that run. A belief changes by a newer one alone: what is old, doubled or out of order finds the newer
 * one there and does nothing. It must never send by itself; what it wants sent goes to its outlet.
 */
public final class Membership {

    private static final double SUSPICION = 2; // periods, times the logarithm of the fleet, until a suspect is dead
    private static final int SHORTEST_SUSPICION = 4; // periods
    private static final int COMPARE_EVERY = 8; // periods, until all that is known is compared with another's
    private static final int WHOLE_ANSWERS = 4; // of all that is known, or of some parts, a period at most
    private static final int SUMS_ANSWERS = 8; // of digests in parts, a period at most
    private static final int IN_A_PART = 8; // routers, in the mean
    /** The most parts that a table is compared in; a power of two. */
    public static final int MOST_PARTS = 64;

    private static final int ASIDE = 20; // periods that a second router of a name keeps silent
    private static final int RELAYS = 32; // pings under way for others

    /** What it is set up with; times are microseconds. */
    public record Setup(
            String name,
            String address,
            List<String> seeds,
            long period,
            int indirect,
            int fanout,
            long remember,
            int most) {}

    /** Where its packets and its changes go. */
    public interface Outlet {

        /** A packet for an address; the number it was sent under is given back. */
        long send(String address, Body body);

        /** All that is known of some routers, in as many packets as that takes. */
        void sendAll(String address, Predicate<RouterRecord> which);

        /** A belief that is new here and so to be told on. */
        void spread(RouterRecord news);

        /** What a person wants to know. */
        void changed(RouterRecord news, RouterStatus before, String cause);

        /** Something that was not used, by the name it is counted under. */
        void dropped(String what);
    }

    private static final class Peer {
        RouterRecord news;
        long sum; // the digest of the news
        long since; // of this standing
        long suspectUntil = Long.MAX_VALUE;
        long reminded; // when it was last told what is believed of it
    }

    private record Asked(String address, long number, long at) {}

    private final Setup setup;
    private final Outlet outlet;
    private final Random random;
    private final long instance;
    private final boolean inParts;
    private final Map<String, Peer> peers = new TreeMap<>();
    private List<RouterRecord> living = List.of(); // of the peers; null where it is to be made anew
    private int left; // peers that left in good order
    private long peersDigest;
    private final List<String> order = new ArrayList<>(); // whom to probe next, the last first
    private final Map<Long, Asked> relays = new HashMap<>(); // pings sent for another, by their number
    private long incarnation;
    private long now;
    private long tickAt;
    private long relayAt = Long.MAX_VALUE;
    private long asideUntil;
    private long periods;
    private int wholeAnswers;
    private int sumsAnswers;
    private String probed; // whose answer is waited for
    private final Set<Long> probeNumbers = new HashSet<>(); // of the ping and of those asked to ping for it
    private boolean leaving;

    /** Begins at this time, which also tells this start from earlier ones of the name (Unix microseconds). */
    public Membership(Setup setup, long time, long seed, Outlet outlet) {
        this(setup, time, seed, 0, false, outlet);
    }

    /**
     * The same for a process that has an instance already, 0 for none. In parts: where tables differ, only the parts that
     * do are told, for the price of one more way; all routers of a cluster are set alike.
     */
    public Membership(Setup setup, long time, long seed, long known, boolean inParts, Outlet outlet) {
        this.inParts = inParts;
        this.setup = setup;
        this.outlet = outlet;
        this.random = new Random(seed);
        this.now = time;
        this.instance = known != 0 ? known : Math.max(1, (time / 1_000 << 20) | random.nextInt(1 << 20));
        this.incarnation = Math.max(1, time / 1_000);
        this.tickAt = time + 1;
    }

    /** The highest incarnation that a router can have come to by this time: one begins at its start's milliseconds. */
    public static long lastIncarnation(long time) {
        return time / 1_000 + 86_400_000;
    }

    /** This router as it tells of itself. */
    public RouterRecord self() {
        return new RouterRecord(
                setup.name(), setup.address(), instance, incarnation, leaving ? RouterStatus.LEFT : RouterStatus.ALIVE);
    }

    /** Whether it keeps silent since an older router of the same name lives. */
    public boolean aside(long time) {
        return time < asideUntil;
    }

    public long nextDue() {
        return Math.min(tickAt, relayAt);
    }

    /** All beliefs, its own router among them. */
    public Collection<RouterRecord> table() {
        List<RouterRecord> all = new ArrayList<>();
        all.add(self());
        peers.values().forEach(p -> all.add(p.news));
        return all;
    }

    /** Since when this is believed of a router; 0 for this one. */
    public long since(String name) {
        return peers.containsKey(name) ? peers.get(name).since : 0;
    }

    /** Those that may be asked for something: alive or only suspected; never this router itself. */
    public List<RouterRecord> living() {
        if (living == null) {
            living = peers.values().stream()
                    .map(p -> p.news)
                    .filter(n -> n.standing() == RouterStatus.ALIVE || n.standing() == RouterStatus.SUSPECT)
                    .toList();
        }
        return living;
    }

    /** How many routers the fleet has, as far as is known: those that left in good order are no part of it. */
    public int known() {
        return 1 + peers.size() - left;
    }

    /** The same at two routers only if they believe the same. */
    public long digest() {
        return sum(self()) + peersDigest;
    }

    private static long sum(RouterRecord n) {
        return Hashes.mix(Hashes.of(n.name())
                + 31 * n.instance()
                + 17 * n.incarnation()
                + n.standing().ordinal());
    }

    /** The digest in so many parts, a power of two. */
    private List<Long> sums(int parts) {
        Long[] sums = new Long[parts];
        Arrays.fill(sums, 0L);
        sums[part(setup.name(), parts)] += sum(self());
        peers.forEach((name, p) -> sums[part(name, parts)] += p.sum);
        return List.of(sums);
    }

    /** The part that a name is in; names of a split cell share their hashes' first bits, so these are mixed once more. */
    private static int part(String name, int parts) {
        return (int) Hashes.mix(Hashes.of(name)) & parts - 1;
    }

    private int parts() {
        return Math.min(MOST_PARTS, Math.max(1, Integer.highestOneBit(2 * (peers.size() + 1) / IN_A_PART)));
    }

    /** Lives on to this time. After a pause of the whole process nobody is blamed for answers it could not take. */
    public void advance(long time) {
        now = Math.max(now, time);
        if (now >= relayAt) {
            relayAt = Long.MAX_VALUE;
            askOthers();
        }
        if (now < tickAt) {
            return;
        }
        long late = now - tickAt;
        if (late > setup.period()) {
            probed = null;
            peers.values().stream().filter(p -> p.suspectUntil < Long.MAX_VALUE).forEach(p -> p.suspectUntil += late);
        }
        tickAt = now + setup.period();
        periods++;
        wholeAnswers = 0;
        sumsAnswers = 0;
        relays.values().removeIf(r -> now - r.at() > 2 * setup.period());
        if (aside(now) || leaving) {
            probed = null;
            return;
        }
        if (probed != null && peers.containsKey(probed)) {
            suspect(peers.get(probed), "no answer to a ping, nor through others");
        }
        expire();
        probe();
        compare();
    }

    private void expire() {
        for (Peer p : List.copyOf(peers.values())) {
            if (now >= p.suspectUntil) {
                take(p.news.as(RouterStatus.DEAD), "suspected for too long");
            } else if (p.news.standing().compareTo(RouterStatus.DEAD) >= 0 && now - p.since > setup.remember()) {
                peers.remove(p.news.name());
                believed(p, null);
            }
        }
    }

    private void suspect(Peer p, String cause) {
        if (p.news.standing() == RouterStatus.ALIVE) {
            take(p.news.as(RouterStatus.SUSPECT), cause);
        }
    }

    /** The next router in a random order that is drawn anew when all had their turn. */
    private void probe() {
        probed = null;
        relayAt = Long.MAX_VALUE;
        Set<String> names = new LinkedHashSet<>();
        living().forEach(n -> names.add(n.name()));
        order.removeIf(n -> !names.contains(n));
        if (order.isEmpty()) {
            order.addAll(names);
            Collections.shuffle(order, random);
        }
        if (!order.isEmpty()) {
            probed = order.remove(order.size() - 1);
            probeNumbers.clear();
            probeNumbers.add(outlet.send(peers.get(probed).news.address(), new Ping()));
            relayAt = now + setup.period() / 3;
        }
    }

    private void askOthers() {
        if (probed != null && peers.containsKey(probed)) {
            String address = peers.get(probed).news.address();
            some(setup.indirect(), probed).forEach(n -> probeNumbers.add(outlet.send(n.address(), new Relay(address))));
        }
    }

    private List<RouterRecord> some(int count, String without) {
        List<RouterRecord> all = new ArrayList<>(living());
        all.removeIf(n -> n.name().equals(without));
        Collections.shuffle(all, random);
        return all.subList(0, Math.min(count, all.size()));
    }

    /** News goes at once to a few more than the one that is probed. */
    public List<RouterRecord> listeners() {
        return some(setup.fanout(), "");
    }

    /** How often a piece of news is told, by the size of the fleet. */
    public int times() {
        return 3 * log();
    }

    private int log() {
        return Math.max(1, 64 - Long.numberOfLeadingZeros(peers.size() + 1L));
    }

    /** How long a suspect may refute. */
    long suspicion() {
        return setup.period() * (long) Math.max(SHORTEST_SUSPICION, SUSPICION * log());
    }

    /** Splits end and lost news is found by comparing all that is known, now and then also with the dead and the seeds. */
    private void compare() {
        boolean alone = living().isEmpty();
        if (!alone && periods % COMPARE_EVERY != Math.floorMod(Hashes.of(setup.name()), COMPARE_EVERY)) {
            return;
        }
        List<String> gone = new ArrayList<>(setup.seeds());
        peers.values().stream()
                .filter(p -> p.news.standing() == RouterStatus.DEAD)
                .forEach(p -> gone.add(p.news.address()));
        gone.removeIf(a -> a.equals(setup.address())
                || living().stream().anyMatch(n -> n.address().equals(a)));
        some(1, "").forEach(n -> outlet.send(n.address(), new Compare(digest(), true)));
        if (alone) {
            gone.forEach(a -> outlet.send(a, new Compare(digest(), true)));
        } else if (!gone.isEmpty()) {
            outlet.send(gone.get(random.nextInt(gone.size())), new Compare(digest(), true));
        }
    }

    /** Takes a packet that the codec could read. False where nothing else of it may be used. */
    public boolean heard(long time, Packet packet) {
        now = Math.max(now, time);
        RouterRecord from = packet.from();
        if (from.name().equals(setup.name())) {
            namesake(from);
            return false;
        }
        if (aside(now) || leaving) {
            return false;
        }
        take(from, "it was heard");
        packet.routers().forEach(n -> take(n, "told by " + from.name()));
        Peer sender = peers.get(from.name());
        if (sender == null) {
            return false; // the table is full
        }
        boolean other = sender.news.instance() != from.instance(); // that has followed it, or that it follows
        if ((other || sender.news.standing() != RouterStatus.ALIVE) && now - sender.reminded > setup.period() / 2) {
            sender.reminded = now; // it can only refute what it knows
            outlet.spread(sender.news);
            outlet.send(from.address(), new News());
        }
        if (other) {
            return false;
        }
        answer(packet);
        return true;
    }

    private void answer(Packet packet) {
        String address = packet.from().address();
        if (packet.body() instanceof Ping) {
            outlet.send(address, new Ack(packet.number()));
        } else if (packet.body() instanceof Ack a) {
            Asked relayed = relays.remove(a.number());
            if (relayed != null) {
                outlet.send(relayed.address(), new Ack(relayed.number()));
            }
            if (probeNumbers.contains(a.number())) {
                probed = null;
            }
        } else if (packet.body() instanceof Relay r && relays.size() < RELAYS) {
            relays.put(outlet.send(r.address(), new Ping()), new Asked(address, packet.number(), now));
        } else if (packet.body() instanceof Compare c && c.digest() != digest()) {
            if (inParts ? ++sumsAnswers > SUMS_ANSWERS : ++wholeAnswers > WHOLE_ANSWERS) {
                outlet.dropped("compare-limited");
                return;
            }
            if (inParts) {
                outlet.send(address, new Sums(sums(parts()), true));
                return;
            }
            outlet.sendAll(address, n -> true);
            if (c.back()) {
                outlet.send(address, new Compare(digest(), false));
            }
        } else if (packet.body() instanceof Sums s && inParts) {
            answer(address, s);
        }
    }

    private void answer(String address, Sums s) {
        int parts = s.sums().size();
        List<Long> own = sums(parts);
        if (own.equals(s.sums())) {
            return;
        }
        if (++wholeAnswers > WHOLE_ANSWERS) {
            outlet.dropped("compare-limited");
            return;
        }
        outlet.sendAll(address, n -> {
            int part = part(n.name(), parts);
            return !own.get(part).equals(s.sums().get(part));
        });
        if (s.back()) {
            outlet.send(address, new Sums(own, false));
        }
    }

    /** Takes one belief; true where it was new. */
    private boolean take(RouterRecord news, String cause) {
        if (news.name().equals(setup.name())) {
            refute(news);
            return false;
        }
        Peer p = peers.get(news.name());
        if (p != null && !news.overrides(p.news)) {
            return false;
        }
        if (p == null) {
            if (peers.size() >= setup.most()) {
                outlet.dropped("too-many-routers");
                return false;
            }
            p = new Peer();
            peers.put(news.name(), p);
        }
        RouterStatus before = p.news == null ? null : p.news.standing();
        boolean restarted = p.news != null && p.news.instance() != news.instance();
        believed(p, news);
        if (before != news.standing() || restarted) {
            p.since = now;
            outlet.changed(news, before, restarted ? "it was started anew" : cause);
        }
        p.suspectUntil = news.standing() == RouterStatus.SUSPECT ? now + suspicion() : Long.MAX_VALUE;
        outlet.spread(news);
        return true;
    }

    /** The one place where what is believed of a router changes; null where it is forgotten. */
    private void believed(Peer p, RouterRecord news) {
        if (p.news != null) {
            peersDigest -= p.sum;
            left -= p.news.standing() == RouterStatus.LEFT ? 1 : 0;
        }
        if (news != null) {
            p.news = news;
            p.sum = sum(news);
            peersDigest += p.sum;
            left += news.standing() == RouterStatus.LEFT ? 1 : 0;
        }
        living = null;
    }

    /** What others believe of this router is overridden by a higher incarnation where it is not what it tells. */
    private void refute(RouterRecord news) {
        boolean same = news.instance() == instance;
        if (!leaving && news.incarnation() >= incarnation && (!same || news.standing() != RouterStatus.ALIVE)) {
            incarnation = news.incarnation() + 1;
            outlet.spread(self());
            if (same) {
                outlet.changed(self(), news.standing(), "it refutes that");
            } else if (!news.address().equals(setup.address()) && !aside(now)) {
                outlet.send(news.address(), new Ping()); // is that one still there?
            }
        }
    }

    /** A packet under this router's own name: of an older process that lives, whose name it is, or nothing. */
    private void namesake(RouterRecord from) {
        if (from.instance() == instance || from.address().equals(setup.address())) {
            return; // its own packet come back, or what its predecessor sent
        }
        outlet.dropped("duplicate-names");
        if (from.instance() < instance) {
            if (!aside(now)) {
                outlet.changed(
                        self(),
                        RouterStatus.ALIVE,
                        "an older router of this name lives at " + from.address() + ": this one stands aside");
            }
            asideUntil = now + ASIDE * setup.period();
        } else if (now >= asideUntil) {
            outlet.send(from.address(), new Ping());
        }
    }

    /** Tells that this router ends in good order. */
    public void leave() {
        leaving = true;
        incarnation++;
        outlet.spread(self());
        some(8, "").forEach(n -> outlet.send(n.address(), new News()));
    }
}
