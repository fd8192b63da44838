package pumicemoor.fleet.verdicts;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The ejections and withdrawals that one router knows, by member. A decision is replaced only by one of a higher
 * version, never by an older one that arrives late, and an ejection ends by itself when its time has passed. The table
 * owns the versions and end times.
 */
public final class EjectionTable {

    /** A decision, the time until which it is in force here, and the time at which it was received. */
    public record KnownDecision(Ejection decision, long endsAt, long receivedAt) {}

    private static final int MAX_MEMBERS = 4_096;

    private final Map<Long, KnownDecision> byMember = new TreeMap<>();

    /**
     * Applies a decision that is newer than the known one and lasts at most as long as given; returns whether it did.
     */
    public boolean apply(long now, Ejection ejection, long maxMicros) {
        KnownDecision held = byMember.get(ejection.member());
        if (!Ejection.isValidVersion(ejection.version())
                || ejection.timeLeftMicros() > maxMicros
                || held != null && held.decision().version() >= ejection.version()
                || held == null && byMember.size() >= MAX_MEMBERS) {
            return false;
        }
        byMember.put(ejection.member(), new KnownDecision(ejection, now + ejection.timeLeftMicros(), now));
        return true;
    }

    /** Returns the decision on a member, including withdrawn and ended ones, or null if there is none. */
    public KnownDecision find(long member) {
        return byMember.get(member);
    }

    public Collection<KnownDecision> all() {
        return List.copyOf(byMember.values());
    }

    /** Returns the ejections in force now. */
    public List<KnownDecision> inForce(long now) {
        return byMember.values().stream()
                .filter(h -> h.decision().failing() && now < h.endsAt())
                .toList();
    }

    /** Returns the ejections whose time ended after one instant and up to another, and that nothing newer replaced. */
    public List<KnownDecision> ended(long after, long upTo) {
        List<KnownDecision> ended = new ArrayList<>(byMember.values());
        ended.removeIf(h -> !h.decision().failing() || h.endsAt() <= after || h.endsAt() > upTo);
        return ended;
    }

    /**
     * Removes decisions that ended this long ago (microseconds): no packet with an older version is still in flight
     * then.
     */
    public void forget(long now, long ageMicros) {
        byMember.values().removeIf(h -> now - h.endsAt() > ageMicros);
    }

    /** Returns when the next ejection ends, or Long.MAX_VALUE if none is in force. */
    public long nextEnd(long now) {
        return inForce(now).stream().mapToLong(KnownDecision::endsAt).min().orElse(Long.MAX_VALUE);
    }
}
