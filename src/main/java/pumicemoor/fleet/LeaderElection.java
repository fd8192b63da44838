package pumicemoor.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Elects the leader, the one router that may act for the whole fleet, by the votes of more than half of its routers. A
 * vote binds its voter for one lease from the moment it is sent. At the leader it counts only from the time at which
 * the leader sent the packet that the voter had last received from it. The leader's term of office therefore ends
 * before any of its voters is free again, and there are never two leaders, whatever clocks say and however packets are
 * lost, delayed or reordered. Each term of office has a term number above all that a majority knew, which serves as a
 * fencing token.
 */
final class LeaderElection {

    private static final int MAX_SENT_PER_ROUTER = 8; // packets to each router whose send times are kept

    private record Candidate(String name, long instance) {}

    private record Vote(long instance, long until, long term, int weight) {}

    private final String self;
    private final long leaseMicros;
    private long freeAt; // the time from which this router may vote for another candidate
    private Candidate votedFor;
    private long lastSeenNumber;
    private final Map<String, Map<Long, Long>> sentAt = new HashMap<>(); // send times by router name and packet number
    private final Map<String, Vote> votes = new HashMap<>();
    private long term; // the highest known
    private long ownTerm; // the term in which this router is the leader; 0 for none
    private long officeSince;
    private long lastInOfficeAt; // the last time at which a check found this router to be the leader

    /**
     * Starts without a vote. A restarted process does not know which router it voted for, so it votes for none for
     * one lease, until any earlier vote has expired.
     */
    LeaderElection(String self, long leaseMicros, long startedAt) {
        this.self = self;
        this.leaseMicros = leaseMicros;
        this.freeAt = startedAt + leaseMicros;
    }

    long term() {
        return term;
    }

    /** Raises the highest known term to a received one. */
    void observeTerm(long other) {
        term = Math.max(term, other);
    }

    /**
     * Votes for the given candidate unless a vote for another one still binds this router. Returns whether its next
     * report to the candidate is a vote; if so, it is bound by it for one lease.
     */
    boolean vote(long now, String name, long instance) {
        Candidate candidate = new Candidate(name, instance);
        if (!candidate.equals(votedFor) && now < freeAt) {
            return false;
        }
        if (!candidate.equals(votedFor)) {
            votedFor = candidate;
            lastSeenNumber = 0;
        }
        freeAt = now + leaseMicros;
        return true;
    }

    /** The number of the last packet received from this candidate, to be reported to it; 0 if it is not voted for. */
    long lastSeen(String name, long instance) {
        return new Candidate(name, instance).equals(votedFor) ? lastSeenNumber : 0;
    }

    void recordSeen(String name, long instance, long number) {
        if (new Candidate(name, instance).equals(votedFor)) {
            lastSeenNumber = Math.max(lastSeenNumber, number);
        }
    }

    /** Records when a packet with this number was sent to a router. */
    void recordSent(long now, String to, long number) {
        Map<Long, Long> numbers = sentAt.computeIfAbsent(to, t -> new java.util.TreeMap<>());
        numbers.put(number, now);
        if (numbers.size() > MAX_SENT_PER_ROUTER) {
            numbers.remove(numbers.keySet().iterator().next());
        }
    }

    /** Handles a report. A vote for this router counts from when the packet that the voter had last seen was sent. */
    void receiveReport(String from, long instance, boolean vote, long lastSeen, long knownTerm) {
        receiveReport(from, instance, vote, lastSeen, knownTerm, 1);
    }

    /**
     * Handles a report that carries the votes of {@code weight} routers, all of which know this term and stay bound for
     * one lease from now on.
     */
    void receiveReport(String from, long instance, boolean vote, long lastSeen, long knownTerm, int weight) {
        observeTerm(knownTerm);
        Long seenSentAt = sentAt.getOrDefault(from, Map.of()).get(lastSeen);
        if (vote && seenSentAt != null) {
            Vote before = votes.get(from);
            boolean boundLonger =
                    // A report never increases an earlier promise.
                    before != null && before.until > seenSentAt + leaseMicros;
            votes.put(
                    from,
                    new Vote(
                            instance,
                            boundLonger ? before.until : seenSentAt + leaseMicros,
                            knownTerm,
                            boundLonger ? Math.min(before.weight, weight) : weight));
        }
    }

    /**
     * The number of routers, including this one, that are bound to this router beyond the given time, and the highest
     * term that all of them know.
     */
    Backing backing(long until) {
        boolean own = votedFor != null && votedFor.name().equals(self) && until < freeAt;
        List<Vote> lasting =
                votes.values().stream().filter(v -> until < v.until).toList();
        return new Backing(
                lasting.stream().mapToInt(Vote::weight).sum() + (own ? 1 : 0),
                lasting.stream().mapToLong(Vote::term).min().orElse(own ? term : 0));
    }

    /** The number of routers whose votes count, and the highest term that all of them know. */
    record Backing(int routers, long term) {

        static final Backing ONE = new Backing(1, Long.MAX_VALUE);
    }

    /**
     * Whether this router is the leader now, in a fleet of this size, and more than half of the fleet know its term.
     */
    boolean inOffice(long now, int routers) {
        return inOffice(now, routers, Backing.ONE);
    }

    /** The same, with this router's own vote counting as the votes of the given backing. */
    boolean inOffice(long now, int routers, Backing ownBacking) {
        votes.values().removeIf(v -> now >= v.until);
        boolean own = votedFor != null && votedFor.name().equals(this.self) && now < freeAt;
        if (2 * (votes.values().stream().mapToInt(Vote::weight).sum() + (own ? ownBacking.routers() : 0)) <= routers) {
            ownTerm = 0;
            return false;
        }
        // Between two checks this close together no other router can have been the leader, since a vote binds for
        // longer. Otherwise this is a new term of office.
        if (ownTerm == 0 || now - lastInOfficeAt > leaseMicros / 2 || term > ownTerm) {
            ownTerm = term + 1;
            term = ownTerm;
            officeSince = now;
        }
        lastInOfficeAt = now;
        long knowing = votes.values().stream()
                        .filter(v -> v.term >= ownTerm)
                        .mapToInt(Vote::weight)
                        .sum()
                + (own && ownBacking.term() >= ownTerm ? ownBacking.routers() : 0);
        return 2 * knowing > routers;
    }

    /** The term in which this router is the leader; 0 for none. */
    long ownTerm() {
        return ownTerm;
    }

    /** When this router's current term of office began. */
    long officeSince() {
        return officeSince;
    }

    /** Forgets the packets sent to a router that is no longer alive. */
    void forget(String name) {
        sentAt.remove(name);
    }
}
