package pumicemoor.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;
import pumicemoor.node.Bytes;
import pumicemoor.node.Input;

/** The order in which inputs leave the queue, and requests that are held back. */
class InboxTest {

    private final Inbox inbox = new Inbox();

    private static Input.Request request(int stream) {
        return new Input.Request(1, stream, "c" + stream, "segment", "o", 0, -1, null, 1_000, false, Bytes.NONE);
    }

    private static Input.RequestCancelled cancelled(int stream) {
        return new Input.RequestCancelled(1, stream);
    }

    @Test
    void updatesComeBeforeCancellationsAndBothBeforeOtherInputs() {
        inbox.add(request(1));
        inbox.cancel(cancelled(9), r -> false);
        inbox.add(new Input.CoordinatorHeartbeat());
        assertEquals(new Input.CoordinatorHeartbeat(), inbox.nextUrgent());
        assertEquals(cancelled(9), inbox.nextUrgent());
        assertNull(inbox.nextUrgent());
        assertEquals(request(1), inbox.nextOther());
    }

    @Test
    void heldRequestsKeepTheirOrderAndRecordTheTimeTheyWaited() {
        inbox.holdRequests();
        inbox.add(request(1));
        inbox.add(new Input.TimerFired());
        inbox.add(request(2));
        assertEquals(new Input.TimerFired(), inbox.nextOther());
        assertNull(inbox.nextOther());
        inbox.add(request(3));
        inbox.releaseRequests(300_000);
        assertEquals(request(1).withUnreadDelay(300_000), inbox.nextOther());
        assertEquals(request(2).withUnreadDelay(300_000), inbox.nextOther());
        assertEquals(request(3), inbox.nextOther());
    }

    @Test
    void cancelledHeldRequestIsNotReleased() {
        inbox.holdRequests();
        inbox.add(request(1));
        inbox.add(request(2));
        assertNull(inbox.nextOther());
        assertEquals(1, inbox.cancel(cancelled(1), r -> r.stream() == 1));
        inbox.releaseRequests(0);
        assertEquals(cancelled(1), inbox.nextUrgent());
        assertEquals(request(2), inbox.nextOther());
        assertNull(inbox.nextOther());
    }
}
