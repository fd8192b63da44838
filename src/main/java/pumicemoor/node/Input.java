package pumicemoor.node;

import java.util.Map;
import pumicemoor.operator.OperatorConfig;

/**
 * An input of the {@link Reducer}: something that has happened to the router, stated as a fact without interpretation.
 * An input must never hold a connection or another network object, only its number. With an input, the reducer takes
 * ownership of its body and has to release it.
 */
public sealed interface Input {

    /**
     * A client's request, with the id that the client gave it and the version of the copy that the client holds. If the
     * client does not send them, the part is 0, the group -1 and the version null.
     */
    record Request(
            long connection,
            int stream,
            String clientRequestId,
            String requestClass,
            String object,
            int part,
            int group,
            String clientCopyVersion,
            long ttlMillis,
            boolean clientRetry,
            Bytes body)
            implements Input {

        /** Returns this request with its time to live reduced by the time for which it may have waited unread. */
        public Request withUnreadDelay(long micros) {
            return new Request(
                    connection,
                    stream,
                    clientRequestId,
                    requestClass,
                    object,
                    part,
                    group,
                    clientCopyVersion,
                    Math.max(0, ttlMillis - micros / 1_000),
                    clientRetry,
                    body);
        }
    }

    /**
     * A request of another proxy, which sends the attempts itself once this router has announced them. The number is
     * negative and takes the place of the connection number; the id is unique across callers.
     */
    record Call(
            long number,
            String id,
            String requestClass,
            String object,
            int part,
            int group,
            long ttlMillis,
            boolean clientRetry)
            implements Input {}

    /** The client cancelled the request on this stream. */
    record RequestCancelled(long connection, int stream) implements Input {}

    /** A client connection was closed, which also cancels all requests that are open on it. */
    record ClientClosed(long connection) implements Input {}

    /** The status with which a cache answers an attempt. */
    enum AnswerStatus {
        DATA,
        UNCHANGED,
        ABSENT,
        FULL,
        FAILED,
        MOOT
    }

    /**
     * A cache's complete answer. The fill note says how the cache obtained the copy, or why it could not; null if the
     * cache sends none. The load is the cache's load report, empty if it sends none.
     */
    record AttemptAnswered(long attempt, AnswerStatus status, String fillNote, Map<String, Double> load, Bytes body)
            implements Input {}

    /** The last byte of an attempt was written to the connection. */
    record AttemptWritten(long attempt) implements Input {}

    /** An attempt was not completely written, so it never ran. */
    record AttemptNeverSent(long attempt) implements Input {}

    /**
     * All connections of this router to the member are in use: the attempt never ran, and the member has not failed.
     */
    record NoConnectionAvailable(long attempt) implements Input {}

    /** The connection was lost after the attempt had been written completely, so it may have run. */
    record ConnectionLost(long attempt) implements Input {}

    /** An event of the coordinator, as JSON text. */
    record CoordinatorUpdate(String json) implements Input {}

    /** The coordinator's stream has delivered data, if only a comment, so all earlier events have arrived. */
    record CoordinatorHeartbeat() implements Input {}

    /** A packet from another router of the fleet, not yet decoded. */
    record FleetPacketReceived(byte[] bytes) implements Input {}

    /** An operator's command, as fields, sent from this machine; the reply is sent on the same stream. */
    record Command(long connection, int stream, Map<String, String> fields) implements Input {}

    /**
     * The configuration and the operator's file were reloaded; both are null, and the problem is set, if they are
     * unusable.
     */
    record Reload(NodeConfig config, OperatorConfig operator, String problem) implements Input {}

    /** The time returned by {@link Reducer#nextDue} has been reached. */
    record TimerFired() implements Input {}

    /** Everything that clients had sent by the time of {@link Effect.CompleteClientReads} has been processed. */
    record ClientReadsCompleted() implements Input {}

    /** The process was asked to terminate. */
    record Terminate() implements Input {}
}
