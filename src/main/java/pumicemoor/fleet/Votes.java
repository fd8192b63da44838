package pumicemoor.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Who may act for the whole fleet: the keeper, by the votes of more than half of its routers. A vote binds its giver for
 * a lease's time from when it leaves, and counts at the keeper only from when the keeper's own packet left that the
 * giver had seen before; so the keeper's time ends before any giver is free again, and there are never two, whatever
 * clocks say and packets do. Each time in office has a term above all that a majority knew (its fence).
 */
final class Votes {

    private static final int REMEMBERED = 8; // packets to each router

    private record Seen(String name, long instance) {}

    private record Vote(long instance, long until, long term, int weight) {}

    private final String self;
    private final long lease;
    private long free; // from when this router may vote for another
    private Seen bound;
    private long seenNumber;
    private final Map<String, Map<Long, Long>> sent = new HashMap<>(); // when each packet to each router left
    private final Map<String, Vote> votes = new HashMap<>();
    private long term; // the highest known
    private long ownTerm; // of this router's time in office; 0 for none
    private long officeSince;
    private long lookedAt; // when it was last seen to be in office

    /** A fresh process does not know whom it voted for: it votes for nobody until that has ended. */
    Votes(String self, long lease, long startedAt) {
        this.self = self;
        this.lease = lease;
        this.free = startedAt + lease;
    }

    long term() {
        return term;
    }

    /** Hears of a term. */
    void heard(long other) {
        term = Math.max(term, other);
    }

    /** Whether this router's next report to that one is a vote; it is bound by it if so. */
    boolean vote(long now, String name, long instance) {
        Seen one = new Seen(name, instance);
        if (!one.equals(bound) && now < free) {
            return false;
        }
        if (!one.equals(bound)) {
            bound = one;
            seenNumber = 0;
        }
        free = now + lease;
        return true;
    }

    /** The last packet that came from that router, as it is told to it. */
    long seen(String name, long instance) {
        return new Seen(name, instance).equals(bound) ? seenNumber : 0;
    }

    void saw(String name, long instance, long number) {
        if (new Seen(name, instance).equals(bound)) {
            seenNumber = Math.max(seenNumber, number);
        }
    }

    /** A packet to a router left under this number. */
    void sent(long now, String to, long number) {
        Map<Long, Long> numbers = sent.computeIfAbsent(to, t -> new java.util.TreeMap<>());
        numbers.put(number, now);
        if (numbers.size() > REMEMBERED) {
            numbers.remove(numbers.keySet().iterator().next());
        }
    }

    /** A report came; where it is a vote for this router it counts from the packet that its giver had seen. */
    void reported(String from, long instance, boolean vote, long seen, long knownTerm) {
        reported(from, instance, vote, seen, knownTerm, 1);
    }

    /**
     * The same of one that brings the votes of so many routers, all of which know this term and are bound for a lease's
     * time from now on.
     */
    void reported(String from, long instance, boolean vote, long seen, long knownTerm, int weight) {
        heard(knownTerm);
        Long left = sent.getOrDefault(from, Map.of()).get(seen);
        if (vote && left != null) {
            Vote before = votes.get(from);
            boolean longer =
                    before != null && before.until > left + lease; // what it promised before is not made more of
            votes.put(
                    from,
                    new Vote(
                            instance,
                            longer ? before.until : left + lease,
                            knownTerm,
                            longer ? Math.min(before.weight, weight) : weight));
        }
    }

    /** How many routers are bound to this one until then, itself among them, and the highest term that all of these know. */
    Backing backing(long until) {
        boolean own = bound != null && bound.name().equals(self) && until < free;
        List<Vote> lasting =
                votes.values().stream().filter(v -> until < v.until).toList();
        return new Backing(
                lasting.stream().mapToInt(Vote::weight).sum() + (own ? 1 : 0),
                lasting.stream().mapToLong(Vote::term).min().orElse(own ? term : 0));
    }

    /** So many routers' votes, and a term that all of them know. */
    record Backing(int routers, long term) {

        static final Backing ONE = new Backing(1, Long.MAX_VALUE);
    }

    /** Whether this router is the keeper now, in a fleet of so many, and most of its givers know the term. */
    boolean inOffice(long now, int routers) {
        return inOffice(now, routers, Backing.ONE);
    }

    /** The same where this one's own vote is that of so many routers. */
    boolean inOffice(long now, int routers, Backing self) {
        votes.values().removeIf(v -> now >= v.until);
        boolean own = bound != null && bound.name().equals(this.self) && now < free;
        if (2 * (votes.values().stream().mapToInt(Vote::weight).sum() + (own ? self.routers() : 0)) <= routers) {
            ownTerm = 0;
            return false;
        }
        // between two looks so near nobody else can have been in office: a vote binds for longer; else this is a new
        // time
        if (ownTerm == 0 || now - lookedAt > lease / 2 || term > ownTerm) {
            ownTerm = term + 1;
            term = ownTerm;
            officeSince = now;
        }
        lookedAt = now;
        long knowing = votes.values().stream()
                        .filter(v -> v.term >= ownTerm)
                        .mapToInt(Vote::weight)
                        .sum()
                + (own && self.term() >= ownTerm ? self.routers() : 0);
        return 2 * knowing > routers;
    }

    /** The term of this router's time in office; 0 for none. */
    long ownTerm() {
        return ownTerm;
    }

    /** Since when, where it is in office. */
    long officeSince() {
        return officeSince;
    }

    /** Forgets what was sent to a router that is no more. */
    void forget(String name) {
        sent.remove(name);
    }
}
