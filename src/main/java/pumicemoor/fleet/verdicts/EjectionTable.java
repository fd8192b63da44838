package pumicemoor.fleet.verdicts;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The verdicts as one router knows them. A verdict gives way to one of a higher version alone, never to an older one
 * that comes late; it ends by itself when its time has passed. It owns their versions and ends.
 */
public final class EjectionTable {

    /** A verdict and until when it stands here. */
    public record Held(Ejection verdict, long until, long heardAt) {}

    private static final int MOST = 4_096;

    private final Map<Long, Held> byMember = new TreeMap<>();

    /** Takes a verdict; true where it was new. */
    public boolean take(long now, Ejection v, long longest) {
        Held held = byMember.get(v.member());
        if (!Ejection.possible(v.version())
                || v.left() > longest
                || held != null && held.verdict().version() >= v.version()
                || held == null && byMember.size() >= MOST) {
            return false;
        }
        byMember.put(v.member(), new Held(v, now + v.left(), now));
        return true;
    }

    /** The verdict on a member, also one that was lifted or has ended; null for none. */
    public Held on(long member) {
        return byMember.get(member);
    }

    public Collection<Held> all() {
        return List.copyOf(byMember.values());
    }

    /** Those that stand now. */
    public List<Held> standing(long now) {
        return byMember.values().stream()
                .filter(h -> h.verdict().failing() && now < h.until())
                .toList();
    }

    /** Those that have just ended without a newer one. */
    public List<Held> ended(long from, long to) {
        List<Held> ended = new ArrayList<>(byMember.values());
        ended.removeIf(h -> !h.verdict().failing() || h.until() <= from || h.until() > to);
        return ended;
    }

    /** Forgets what ended long ago; its version is then no longer needed, since no packet lives so long. */
    public void forget(long now, long after) {
        byMember.values().removeIf(h -> now - h.until() > after);
    }

    /** When the next one ends; Long.MAX_VALUE for none. */
    public long nextEnd(long now) {
        return standing(now).stream().mapToLong(Held::until).min().orElse(Long.MAX_VALUE);
    }
}
