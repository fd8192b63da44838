package pumicemoor.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;
import pumicemoor.node.TimerQueue.Kind;
import pumicemoor.node.TimerQueue.Timer;

/** The order of timers, and that a cancelled one is gone at once. */
class TimerQueueTest {

    private final TimerQueue timers = new TimerQueue();

    @Test
    void timersAreDueByTimeThenInTheOrderInWhichTheyWereAdded() {
        Timer late = timers.add(20, Kind.FLEET, 0);
        Timer first = timers.add(10, Kind.ATTEMPT_TIMEOUT, 1);
        Timer second = timers.add(10, Kind.ATTEMPT_TIMEOUT, 2);
        assertEquals(10, timers.nextDue());
        assertNull(timers.pollDue(9));
        assertEquals(first, timers.pollDue(10));
        assertEquals(second, timers.pollDue(10));
        assertNull(timers.pollDue(19));
        assertEquals(late, timers.pollDue(25));
        assertEquals(Long.MAX_VALUE, timers.nextDue());
    }

    @Test
    void aCancelledTimerIsNotKept() {
        Timer cancelled = timers.add(10, Kind.ANSWER_OVERDUE, 1);
        timers.add(20, Kind.ANSWER_OVERDUE, 2);
        timers.cancel(cancelled);
        timers.cancel(cancelled);
        timers.cancel(null);
        assertEquals(1, timers.size());
        assertEquals(20, timers.nextDue());
    }
}
