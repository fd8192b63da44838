package pumicemoor;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import org.junit.jupiter.api.Test;
import pumicemoor.RefusalPolicy.EarlierAttempts;
import pumicemoor.RefusalPolicy.Rejection;
import pumicemoor.RouterApi.DeduplicationScope;
import pumicemoor.RouterApi.Idempotency;
import pumicemoor.RouterApi.RequestClass;

/** Which requests are refused and which are failed, by class and by what is known of their earlier attempts. */
class RefusalPolicyTest {

    private static final long RETRY_AFTER = 7;

    private static RequestClass requestClass(Idempotency idempotency, DeduplicationScope scope) {
        return new RequestClass("any", 1, 1, 1, 1, 1, idempotency, scope, 1, false, false, false, 0, 0, 1);
    }

    private static void check(boolean refused, Rejection rejection) {
        assertEquals(refused, rejection.refused());
        assertEquals(refused ? RETRY_AFTER : 0, rejection.retryAfterMicros(), "only a refusal invites a retry");
    }

    @Test
    void anyRequestThatNeverRanIsRefused() {
        for (Idempotency idempotency : Idempotency.values()) {
            for (DeduplicationScope scope : DeduplicationScope.values()) {
                RequestClass requestClass = requestClass(idempotency, scope);
                check(true, RefusalPolicy.reject(requestClass, EarlierAttempts.NONE_RAN, RETRY_AFTER));
            }
        }
        check(true, RefusalPolicy.rejectUnclassified(EarlierAttempts.NONE_RAN, RETRY_AFTER));
    }

    /** Guards against a promise that trying again does no harm, for a request that may run twice. */
    @Test
    void aRequestThatMayHaveRunIsRefusedOnlyIfItMayRunAgainAnywhere() {
        for (DeduplicationScope scope : DeduplicationScope.values()) {
            check(true, rejectAfterAnAttempt(Idempotency.SAFE, scope));
            check(scope == DeduplicationScope.ALL, rejectAfterAnAttempt(Idempotency.KEYED, scope));
            check(false, rejectAfterAnAttempt(Idempotency.UNSAFE, scope));
        }
        assertSame(
                RefusalPolicy.FAILED,
                RefusalPolicy.rejectUnclassified(EarlierAttempts.MAY_HAVE_RUN, RETRY_AFTER),
                "it may be of any class");
    }

    private static Rejection rejectAfterAnAttempt(Idempotency idempotency, DeduplicationScope scope) {
        return RefusalPolicy.reject(requestClass(idempotency, scope), EarlierAttempts.MAY_HAVE_RUN, RETRY_AFTER);
    }
}
