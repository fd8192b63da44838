package pumicemoor.node;

import java.util.Map;
import pumicemoor.operator.OperatorConfig;

/**
 * Everything that can happen to a router, as the reducer sees it. These are plain facts with no reading of
 * what they mean; they must never hold a connection or anything else of the network, only numbers for it.
 * Bodies pass into the hands of the reducer with their input.
 */
public sealed interface Input {

    /** A client's request; the part defaults to 0, the group to -1, the tag to null where absent. */
    record Request(
            long connection,
            int stream,
            String call,
            String requestClass,
            String object,
            int part,
            int group,
            String tag,
            long ttlMillis,
            boolean repeat,
            Bytes body)
            implements Input {

        /** The same, where it may have lain unread for so long: its client has waited meanwhile. */
        public Request withUnreadDelay(long micros) {
            return new Request(
                    connection,
                    stream,
                    call,
                    requestClass,
                    object,
                    part,
                    group,
                    tag,
                    Math.max(0, ttlMillis - micros / 1_000),
                    repeat,
                    body);
        }
    }

    /**
     * A request that another proxy has and that it will send itself: its attempts are named, not sent. The number
     * is under 0 and stands for its connection; the id is unique among callers.
     */
    record Call(
            long number,
            String id,
            String requestClass,
            String object,
            int part,
            int group,
            long ttlMillis,
            boolean repeat)
            implements Input {}

    /** The client no longer waits for this stream. */
    record RequestCancelled(long connection, int stream) implements Input {}

    /** A client's connection has ended, and with it all that was open there. */
    record ClientClosed(long connection) implements Input {}

    /** The words with which a cache ends an attempt. */
    enum AnswerStatus {
        DATA,
        UNCHANGED,
        ABSENT,
        FULL,
        FAILED,
        MOOT
    }

    /** A cache's whole answer; note null and load empty where they are absent. */
    record Answered(long attempt, AnswerStatus status, String note, Map<String, Double> load, Bytes body) implements Input {}

    /** The last byte of an attempt was written. */
    record Written(long attempt) implements Input {}

    /** An attempt that was never written whole, so that it never ran. */
    record NeverSent(long attempt) implements Input {}

    /** An attempt for which this router has no room at the member: it never ran, and no one has failed. */
    record NoConnectionAvailable(long attempt) implements Input {}

    /** The connection of an attempt ended after it was written whole. */
    record ConnectionLost(long attempt) implements Input {}

    /** One event of the coordinator, as its JSON text. */
    record CoordinatorUpdate(String json) implements Input {}

    /** The coordinator's stream was heard, if only by a comment: what was to be told until then has come. */
    record CoordinatorHeartbeat() implements Input {}

    /** A packet of another router of the fleet, as it came. */
    record FleetPacketReceived(byte[] bytes) implements Input {}

    /** An operator's command, as fields, from this machine; its answer goes back on that stream. */
    record Command(long connection, int stream, Map<String, String> fields) implements Input {}

    /** The configuration and the operator's file were read anew; null with the problem where they cannot be used. */
    record Reload(NodeConfig config, OperatorConfig operator, String problem) implements Input {}

    /** The time that the reducer asked to be called at has come. */
    record TimerFired() implements Input {}

    /** All that clients had written when that was asked has been taken in. */
    record ClientReadsCompleted() implements Input {}

    /** The process was asked to end. */
    record Terminate() implements Input {}
}
