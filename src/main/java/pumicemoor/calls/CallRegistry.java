package pumicemoor.calls;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What is known of calls by their id, so that nothing with an effect is named a member twice. It owns an entry
 * for each id of a request that must not run twice, from its call until long after its end, at most so many; it
 * must never be asked about others. After a start it knows nothing, and then a repeat can't be known to have not run.
 */
public final class CallRegistry {

    /** What is known: a member was named and no end seen, it ended without having run, or it may have run. */
    private enum Known {
        OPEN,
        NOT_RUN,
        MAY_HAVE_RUN
    }

    private final int most;
    private final long kept;
    private final Map<String, Known> entries = new LinkedHashMap<>();
    private final Map<String, Long> endedAt = new LinkedHashMap<>();
    private long forgottenEarly;

    /** Keeps the ids of ended calls so long (microseconds), at most so many with the open ones. */
    public CallRegistry(int most, long kept) {
        this.most = most;
        this.kept = kept;
    }

    /** Whether a call may be decided at all: never while or after one with the same id may run or have run. */
    public boolean mayBegin(long now, String id, boolean repeat) {
        forget(now);
        Known known = entries.get(id);
        if (known == null && repeat || known == Known.OPEN || known == Known.MAY_HAVE_RUN) {
            return false;
        }
        endedAt.remove(id);
        entries.put(id, Known.OPEN);
        return true;
    }

    /** The call has ended; named tells whether a member was, and its end is not known to be "never ran". */
    public void ended(long now, String id, boolean mayHaveRun) {
        entries.put(id, mayHaveRun ? Known.MAY_HAVE_RUN : Known.NOT_RUN);
        endedAt.remove(id);
        endedAt.put(id, now);
        forget(now);
    }

    private void forget(long now) {
        while (!endedAt.isEmpty()) {
            Map.Entry<String, Long> oldest = endedAt.entrySet().iterator().next();
            boolean over = now - oldest.getValue() > kept;
            if (!over && entries.size() <= most) {
                return;
            }
            forgottenEarly += over ? 0 : 1;
            endedAt.remove(oldest.getKey());
            entries.remove(oldest.getKey());
        }
    }

    public int size() {
        return entries.size();
    }

    /** How many were forgotten for room before their time; a reason to look at the bound. */
    public long forgottenEarly() {
        return forgottenEarly;
    }
}
