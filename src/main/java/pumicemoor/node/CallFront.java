package pumicemoor.node;

import java.util.Map;
import pumicemoor.operator.OperatorConfig;

/**
 * A server on which other proxies call the router for decisions; the proxies send the attempts themselves. All methods
 * are called on the event loop's thread. It must never make a decision about a request.
 */
public interface CallFront {

    /** Starts listening; called once the router is ready to decide. */
    void start(CallLoop loop) throws java.io.IOException;

    /** Announces to the caller an attempt that the decision module has chosen. */
    void attemptAnnounced(Effect.AnnounceAttempt attempt);

    /** Sends the one final answer to a call. */
    void answered(long call, Effect.Code code, long retryAfterMillis);

    /** Applies a reloaded operator's file. */
    void applyOperatorConfig(OperatorConfig operator);

    /** Stops accepting new calls; open calls continue. */
    void drain();

    /** Stops the server. */
    void close();

    /** Returns its status fields by name. */
    Map<String, String> statusFields();
}
