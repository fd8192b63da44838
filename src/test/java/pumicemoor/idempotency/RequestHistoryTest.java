package pumicemoor.idempotency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import pumicemoor.RefusalPolicy.EarlierAttempts;

/** What is known of the earlier attempts of a request, and the bounds on the memory of ids. */
class RequestHistoryTest {

    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long RETENTION_MICROS = 1_000;

    @Test
    void aRequestThatMayHaveRunIsKnownByItsId() {
        RequestHistory history = new RequestHistory(3, 3, 10 * MICROS_PER_SECOND);
        assertEquals(EarlierAttempts.NONE_RAN, history.earlierAttempts(0, "a", 0));
        history.begin("a");
        assertEquals(EarlierAttempts.MAY_HAVE_RUN, history.earlierAttempts(0, "a", 1), "a call with this id is open");
        history.ended(1, "a", true);
        assertEquals(EarlierAttempts.MAY_HAVE_RUN, history.earlierAttempts(2, "a", 1), "the first call may have run");
        assertEquals(
                EarlierAttempts.MAY_HAVE_RUN,
                history.earlierAttempts(2, "a", 0),
                "reused id of a call that may have run");
        assertEquals(EarlierAttempts.NONE_RAN, history.earlierAttempts(2, "b", 0));
        history.begin("b");
        history.ended(3, "b", false);
        assertEquals(EarlierAttempts.NONE_RAN, history.earlierAttempts(4, "b", 1), "the first call never ran");
        assertEquals(EarlierAttempts.MAY_HAVE_RUN, history.earlierAttempts(4, "new", 1), "a retry with an unknown id");
        assertEquals(
                EarlierAttempts.MAY_HAVE_RUN,
                history.earlierAttempts(4, "b", 2),
                "its second try was made at another router");
        history.begin("b");
        history.ended(5, "b", false);
        assertEquals(EarlierAttempts.NONE_RAN, history.earlierAttempts(5, "b", 2), "both tries were made here");
        history.begin("b");
        history.ended(5, "b", true);
        assertEquals(
                EarlierAttempts.MAY_HAVE_RUN,
                history.earlierAttempts(11 * MICROS_PER_SECOND, "a", 1),
                "the id has expired and is unknown");
        for (int i = 0; i < 10; i++) {
            assertEquals(EarlierAttempts.NONE_RAN, history.earlierAttempts(12 * MICROS_PER_SECOND, "x" + i, 0));
            history.begin("x" + i);
            history.ended(12 * MICROS_PER_SECOND, "x" + i, true);
        }
        assertTrue(history.size() <= 3);
        assertTrue(history.forgottenEarly() > 0);
    }

    /** Guards against a booking that runs twice: ids of calls that never ran push its id out of the memory. */
    @Test
    void callsThatNeverRanPushNoneOutThatMayHave() {
        RequestHistory history = new RequestHistory(3, 3, 10 * MICROS_PER_SECOND);
        history.begin("booked");
        history.ended(0, "booked", true);
        for (int i = 0; i < 10; i++) {
            history.begin("x" + i);
            history.ended(1, "x" + i, false);
        }
        assertEquals(EarlierAttempts.MAY_HAVE_RUN, history.earlierAttempts(2, "booked", 0));
        assertEquals(0, history.forgottenEarly());
    }

    @Test
    void aTryThatWasTurnedAwayCountsAsOneThatNeverRan() {
        RequestHistory history = new RequestHistory(3, 3, 10 * MICROS_PER_SECOND);
        history.turnedAway(0, "a");
        assertEquals(EarlierAttempts.NONE_RAN, history.earlierAttempts(1, "a", 1));
        assertEquals(EarlierAttempts.MAY_HAVE_RUN, history.earlierAttempts(1, "a", 2), "one of them was elsewhere");
        history.begin("a");
        history.turnedAway(2, "a"); // the retry for which an attempt of the open request is kept
        history.ended(3, "a", false);
        assertEquals(EarlierAttempts.NONE_RAN, history.earlierAttempts(4, "a", 3));
        history.begin("a");
        history.ended(5, "a", true);
        history.turnedAway(6, "a");
        assertEquals(EarlierAttempts.MAY_HAVE_RUN, history.earlierAttempts(7, "a", 0));
    }

    @Test
    void anIdIsRememberedForTheRetentionTime() {
        RequestHistory history = new RequestHistory(3, 0, RETENTION_MICROS);
        history.ended(100, "a", true);
        assertEquals(EarlierAttempts.MAY_HAVE_RUN, history.earlierAttempts(100 + RETENTION_MICROS, "a", 0));
        assertEquals(EarlierAttempts.NONE_RAN, history.earlierAttempts(101 + RETENTION_MICROS, "a", 0));
        assertEquals(EarlierAttempts.NONE_RAN, history.earlierAttempts(100, "b", 0));
        assertEquals(0, history.ended(102 + RETENTION_MICROS, "b", true), "the first one has expired");
        assertEquals(1, history.size());
    }

    @Test
    void theOldestIdIsForgottenAtTheBound() {
        RequestHistory history = new RequestHistory(3, 0, RETENTION_MICROS);
        for (String id : new String[] {"a", "b", "a", "c"}) {
            assertEquals(0, history.ended(100, id, true));
        }
        assertEquals(1, history.ended(100, "d", true));
        assertEquals(3, history.size());
        assertEquals(EarlierAttempts.NONE_RAN, history.earlierAttempts(100, "b", 0), "'a' has ended again since");
        assertEquals(EarlierAttempts.MAY_HAVE_RUN, history.earlierAttempts(100, "a", 0));
    }
}
