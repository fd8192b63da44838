package pumicemoor.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import pumicemoor.node.Counters.Name;
import pumicemoor.node.NodeTestConfig;

/** Clients' requests that may have run before, when the router has no room for them. */
class RepeatedRequestsTest extends SocketRig {

    private static final int REFUSED = 0;
    private static final int FAILED = 9;
    private static final int MAX_OPEN_REQUESTS = 32; // of one client, by the protocol
    private static final byte[] BODY = new byte[10];
    private static final String BOOKED = "00000000000000b1";

    private Cache origin;

    @BeforeEach
    void start() throws Exception {
        origin = new Cache(""); // it answers nothing
        start("", NodeTestConfig.list(1, true, member("o-1", origin, "store")));
    }

    /** Has a booking sent to the origin, whose client leaves then. */
    private void bookAndLeave() throws Exception {
        Client client = new Client();
        client.out.write(requestFrame(1, "order", BOOKED, TIMEOUT_MILLIS, false, BODY));
        assertNotNull(origin.next());
        client.close();
        while (server.counters().get(Name.WITHDRAWN) == 0) {
            Thread.sleep(5);
        }
    }

    /** A client whose requests are over its limit. */
    private Client clientAtItsLimit() throws Exception {
        Client client = new Client();
        for (int stream = 1; stream <= MAX_OPEN_REQUESTS; stream++) {
            client.out.write(requestFrame(stream, "order", id(stream), TIMEOUT_MILLIS, false, BODY));
            assertNotNull(origin.next());
        }
        return client;
    }

    private int answerTo(Client client, int stream, String requestClass, String id, boolean clientRetry)
            throws IOException {
        client.out.write(requestFrame(stream, requestClass, id, TIMEOUT_MILLIS, clientRetry, BODY));
        Frame answer = client.next();
        assertEquals(stream, answer.stream());
        return answer.code();
    }

    /** Guards against a booking that runs twice: its id comes again over a client's limit, and is refused. */
    @Test
    void aRequestThatMayHaveRunFailsOverAClientsLimit() throws Exception {
        bookAndLeave();
        Client client = clientAtItsLimit();
        assertEquals(FAILED, answerTo(client, 33, "order", BOOKED, false), "it may have run");
        assertEquals(FAILED, answerTo(client, 34, "order", BOOKED, true), "it may have run");
        assertEquals(FAILED, answerTo(client, 35, "order", "00000000000000b2", true), "tried before, who knows where");
        assertEquals(REFUSED, answerTo(client, 36, "order", "00000000000000b3", false), "a first try");
        assertEquals(REFUSED, answerTo(client, 37, "segment", "00000000000000b4", true), "it may run again");
        assertEquals(REFUSED, answerTo(client, 38, "segment", BOOKED, false), "of a class that may run again");
    }
}
