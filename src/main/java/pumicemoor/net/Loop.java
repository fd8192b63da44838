package pumicemoor.net;

import java.util.Map;
import java.util.Optional;
import pumicemoor.RefusalPolicy.Rejection;
import pumicemoor.node.Input;
import pumicemoor.node.RequestIdentity;

/** The services that the event loop offers to the connections on it; callable on the loop's thread only. */
interface Loop {

    /** Queues an input for the reducer; coordinator updates and cancellations go ahead of all other inputs. */
    void submit(Input input);

    /** The time in microseconds: the Unix time of the router's start plus the monotonic time since. */
    long clock();

    /** Logs an error made by a peer; rate-limited. */
    void reportError(String text);

    /** Whether the router accepts new requests. */
    boolean ready();

    /** Status values of the enabled components, by name. */
    Map<String, String> state();

    /** Rows about one subject as JSON; empty for an unknown subject. */
    Optional<String> rows(String subject);

    /** The answer to a client's request that is turned away before it is submitted. */
    Rejection rejectionOf(RequestIdentity identity);

    void clientOpened(long connectionId, ClientConnection client);

    void clientClosed(long connectionId);
}
