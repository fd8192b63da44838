package pumicemoor;

import pumicemoor.RouterApi.DeduplicationScope;
import pumicemoor.RouterApi.Idempotency;
import pumicemoor.RouterApi.RequestClass;

/**
 * Decides whether a request that is not served is refused or failed. A refusal promises that trying again does no harm,
 * so it is given only if no earlier attempt of the request may have run, or if the request may run more than once; a
 * failure promises nothing. Every refusal of the router is decided here, whichever part of it turns the request away,
 * and a {@link Rejection} can't be made in any other way.
 */
public final class RefusalPolicy {

    /** What is known of the earlier attempts of a request, at this router or elsewhere. */
    public enum EarlierAttempts {
        NONE_RAN,
        MAY_HAVE_RUN;

        public static EarlierAttempts of(boolean mayHaveRun) {
            return mayHaveRun ? MAY_HAVE_RUN : NONE_RAN;
        }
    }

    /**
     * The final answer to a request that is not served: refused, with the delay before a retry in microseconds (0 for
     * no advice), or failed.
     */
    public static final class Rejection {
        private final boolean refused;
        private final long retryAfterMicros;

        private Rejection(boolean refused, long retryAfterMicros) {
            this.refused = refused;
            this.retryAfterMicros = retryAfterMicros;
        }

        /** Whether the request is refused; else it is failed. */
        public boolean refused() {
            return refused;
        }

        public long retryAfterMicros() {
            return retryAfterMicros;
        }

        @Override
        public String toString() {
            return refused ? "refused, retry after " + retryAfterMicros + " us" : "failed";
        }
    }

    /** The rejection that promises nothing. */
    public static final Rejection FAILED = new Rejection(false, 0);

    private RefusalPolicy() {}

    /** Rejects a request of a class; a refusal advises to retry after a delay in microseconds, 0 for no advice. */
    public static Rejection reject(RequestClass requestClass, EarlierAttempts earlier, long retryAfterMicros) {
        boolean mayRunAgain = requestClass.idempotency() == Idempotency.SAFE
                || requestClass.idempotency() == Idempotency.KEYED
                        && requestClass.deduplicationScope() == DeduplicationScope.ALL;
        return mayRunAgain ? new Rejection(true, retryAfterMicros) : rejectUnclassified(earlier, retryAfterMicros);
    }

    /** Rejects a request whose class is not known, so that it may be one that must not run twice. */
    public static Rejection rejectUnclassified(EarlierAttempts earlier, long retryAfterMicros) {
        return earlier == EarlierAttempts.NONE_RAN ? new Rejection(true, retryAfterMicros) : FAILED;
    }
}
