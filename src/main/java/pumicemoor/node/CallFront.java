package pumicemoor.node;

import java.util.Map;
import pumicemoor.operator.OperatorConfig;

/**
 * A front to which proxies call for decisions and send the attempts themselves. All of it is called on the loop's
 * thread; it must never decide anything about a request.
 */
public interface CallFront {

    /** Listens, once the router is ready to decide. */
    void start(CallLoop loop) throws java.io.IOException;

    /** The decisions name an attempt. */
    void attemptAnnounced(Effect.AnnounceAttempt name);

    /** The one final answer of a call. */
    void answered(long call, Effect.Code code, long pushbackMillis);

    /** The operator's file was read anew. */
    void applyOperatorConfig(OperatorConfig operator);

    /** No new calls are wanted; those that are open go on. */
    void drain();

    /** All is done. */
    void close();

    /** What can be seen of it, by name. */
    Map<String, String> state();
}
