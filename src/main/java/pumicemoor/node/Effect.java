package pumicemoor.node;

import java.util.List;
import pumicemoor.RefusalPolicy.Rejection;
import pumicemoor.operator.OperatorConfig;

/**
 * An output of the {@link Reducer}: an instruction to the network layer. An effect is complete in itself: it must be
 * possible to execute it without access to the reducer and without a further decision. The code that executes an effect
 * takes ownership of its body and has to release it.
 */
public sealed interface Effect {

    /** The result code of a final answer. */
    enum Code {
        SERVED,
        REFUSED,
        FAILED;

        /** The code of a request that is not served. */
        public static Code of(Rejection rejection) {
            return rejection.refused() ? REFUSED : FAILED;
        }
    }

    /**
     * Writes a request to a member. Source null means that no source is named; maximum age 0 means the bound of the
     * request class. The answer to a cacheable request carries the version of the copy. The fill path names, in order,
     * the members through which the source in turn fills; on the platform it is always empty.
     */
    record SendAttempt(
            long attempt,
            String instance,
            String address,
            String id,
            String requestClass,
            String object,
            int part,
            long timeoutMillis,
            String source,
            int keepRank,
            long maxAgeMillis,
            boolean join,
            boolean onlyIfCached,
            boolean bypassParent,
            boolean renew,
            String clientCopyVersion,
            boolean cacheable,
            List<String> fillPath,
            Bytes body)
            implements Effect {}

    /**
     * Announces an attempt to the proxy that made the call with this number: the member and the parameters of the
     * request to it. Source null means that no source is named; maximum age 0 means the bound of the request class. The
     * key identifies the attempt in the input that reports its end.
     */
    record AnnounceAttempt(
            long call,
            long key,
            int attempt,
            String instance,
            String address,
            long timeoutMillis,
            String source,
            List<String> fillPath,
            int keepRank,
            long maxAgeMillis,
            boolean join,
            boolean onlyIfCached,
            boolean renew)
            implements Effect {}

    /** Applies a reloaded operator's file. */
    record ApplyOperatorConfig(OperatorConfig operator) implements Effect {}

    /**
     * Abandons an attempt: drops it if it is not completely written, else cancels it at the cache if notifyCache is
     * set.
     */
    record AbandonAttempt(long attempt, boolean notifyCache) implements Effect {}

    /** Sends the one final answer to a request; retryAfterMillis 0 means no advice on when to retry. */
    record Answer(long connection, int stream, Code code, boolean unchanged, long retryAfterMillis, Bytes body)
            implements Effect {}

    /** Counts invalid input against a client connection; the answer to it is a separate effect. */
    record ReportProtocolError(long connection) implements Effect {}

    /** Closes the idle connections to a member. */
    record CloseIdleConnections(String instance) implements Effect {}

    /** Drops the connections to a member that were opened before this time (Unix microseconds), as it has restarted. */
    record DropConnections(String instance, long openedBefore) implements Effect {}

    /** Retires the connections to a removed member: they take no new attempts and are closed when idle. */
    record RetireConnections(String instance) implements Effect {}

    /** Signals to every client, including those that connect later, to send no new requests. */
    record DrainClients() implements Effect {}

    /** Opens the coordinator's stream at this address after the last applied event, replacing any current stream. */
    record FollowCoordinator(String coordinator) implements Effect {}

    /** Sends a packet to another router of the fleet. */
    record SendFleetPacket(String address, byte[] bytes) implements Effect {}

    /** Replies to an operator's command with one line. */
    record CommandReply(long connection, int stream, String text) implements Effect {}

    /** Accepts all connections and reads all requests that have arrived by now, then submits the completion input. */
    record CompleteClientReads() implements Effect {}

    /** Ends the process. */
    record Exit() implements Effect {}
}
