package pumicemoor.node;

import java.util.List;
import pumicemoor.operator.OperatorConfig;

/**
 * Everything that the reducer may ask of the network. An effect is an order, complete in itself; it must
 * never need a look into the reducer to be carried out, nor leave anything to be decided. Bodies pass into
 * the hands of the one who carries it out.
 */
public sealed interface Effect {

    /** The codes of a final answer. */
    enum Code {
        SERVED,
        REFUSED,
        FAILED
    }

    /**
     * Write this request to a member; source null names none, within 0 leaves the class's bound. The answer to a
     * cacheable one says which copy it is. The way names what the source is to fill from in turn; on the
     * platform it is always empty.
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
            String tag,
            boolean cacheable,
            List<String> fillPath,
            Bytes body)
            implements Effect {}

    /**
     * Name this attempt to the proxy that called under this number: the member and how it is to be asked. Source
     * null names none; within 0 leaves the class's bound. The key is told with the attempt's end.
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

    /** The operator's file was read anew and is taken over. */
    record ApplyOperatorConfig(OperatorConfig operator) implements Effect {}

    /** Give an attempt up: take it back where it was not written whole, else tell the cache if that is told. */
    record AbandonAttempt(long attempt, boolean notifyCache) implements Effect {}

    /** The one final answer of a request; pushback 0 gives no advice. */
    record Answer(long connection, int stream, Code code, boolean unchanged, long retryAfterMillis, Bytes body)
            implements Effect {}

    /** What came on this client's connection could not be used; its answer goes by itself. */
    record ReportProtocolError(long connection) implements Effect {}

    /** Close the connections to a member that carry nothing. */
    record CloseIdleConnections(String instance) implements Effect {}

    /** Connections to a member opened before this time (Unix microseconds) lead nowhere: drop them. */
    record DropConnections(String instance, long openedBefore) implements Effect {}

    /** A member is gone: use its connections for nothing new, close them when they carry nothing. */
    record RetireConnections(String instance) implements Effect {}

    /** Tell every client, also those still to come, to bring no new request. */
    record DrainClients() implements Effect {}

    /** Follow the coordinator at this address from the last event on, in place of any stream so far. */
    record FollowCoordinator(String coordinator) implements Effect {}

    /** Send a packet to another router of the fleet. */
    record SendFleetPacket(String address, byte[] bytes) implements Effect {}

    /** What becomes of an operator's command, in one line. */
    record CommandReply(long connection, int stream, String text) implements Effect {}

    /** Take in who has connected and what was asked by now, to the last, and say so. */
    record CompleteClientReads() implements Effect {}

    /** All is done: end the process. */
    record Exit() implements Effect {}
}
