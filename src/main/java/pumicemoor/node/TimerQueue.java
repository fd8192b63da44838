package pumicemoor.node;

import java.util.TreeSet;

/**
 * The pending timers of a router, by due time; timers due at the same time are in the order in which they were added.
 * It owns the timers until they are due or cancelled, and must never keep a cancelled one: peers can make the router
 * set and cancel any number of timers long before they are due.
 */
final class TimerQueue {

    /** What happens when a timer is due. */
    enum Kind {
        DECISION_MODULE,
        ATTEMPT_TIMEOUT,
        WRITE_TIMEOUT,
        ANSWER_OVERDUE,
        HIERARCHY,
        FLEET,
        SYNC_TIMEOUT,
        EXIT_IF_QUIET,
        EXIT_DEADLINE
    }

    /**
     * A timer that is due at this time (microseconds). Depending on its kind, the subject is the token of the decision
     * module, an attempt key, a request number or 0.
     */
    record Timer(long dueAt, long sequence, Kind kind, long subject) implements Comparable<Timer> {
        @Override
        public int compareTo(Timer other) {
            return dueAt != other.dueAt ? Long.compare(dueAt, other.dueAt) : Long.compare(sequence, other.sequence);
        }
    }

    private final TreeSet<Timer> timers = new TreeSet<>();
    private long lastSequence;

    Timer add(long dueAt, Kind kind, long subject) {
        Timer timer = new Timer(dueAt, ++lastSequence, kind, subject);
        timers.add(timer);
        return timer;
    }

    /** Cancels a timer; without effect if it is null, was due before or is cancelled already. */
    void cancel(Timer timer) {
        if (timer != null) {
            timers.remove(timer);
        }
    }

    /** Removes and returns the next timer that is due by this time; null if there is none. */
    Timer pollDue(long now) {
        return timers.isEmpty() || timers.first().dueAt() > now ? null : timers.pollFirst();
    }

    /** The time at which the next timer is due; Long.MAX_VALUE for never. */
    long nextDue() {
        return timers.isEmpty() ? Long.MAX_VALUE : timers.first().dueAt();
    }

    int size() {
        return timers.size();
    }
}
