package pumicemoor.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import pumicemoor.node.Counters;
import pumicemoor.node.NodeTestConfig;

/** Clients that read more slowly than their answers come. */
class ClientBacklogTest extends SocketRig {

    private static final int REQUESTS = 32;
    private static final int ANSWER_BYTES = 240_000;
    private static final int CANCELLED = REQUESTS; // the stream of the request that is given up
    private static final int RECEIVE_BUFFER_BYTES = 65_536;
    private static final long READ_INTERVAL_MILLIS = 40; // about 6 MB a second

    /** Guards against a cancellation that costs a slowly reading client all answers that wait for it (review case 3). */
    @Test
    void clientThatCancelsOneRequestWhileItsAnswersWaitReceivesTheOthers() throws Exception {
        Cache cache = new Cache("data");
        cache.body = new byte[ANSWER_BYTES];
        Cache origin = new Cache("data");
        origin.body = cache.body;
        start("", NodeTestConfig.list(1, true, member("box-1", cache, "box"), member("store-1", origin, "store")));
        Client client = new Client(RECEIVE_BUFFER_BYTES);
        for (int stream = 1; stream <= REQUESTS; stream++) {
            client.request(stream, "segment", new byte[0]);
        }
        for (int i = 0; i < TIMEOUT_MILLIS && server.counters().get(Counters.Name.SERVED) < REQUESTS; i++) {
            Thread.sleep(1);
        }
        client.send(ClientFrame.CANCEL, CANCELLED);
        Set<Integer> answered = new TreeSet<>();
        for (int i = 0; i < REQUESTS; i++) {
            Thread.sleep(READ_INTERVAL_MILLIS);
            Frame frame = client.next();
            if (frame == null) {
                break;
            }
            answered.add(frame.stream());
        }
        answered.remove(CANCELLED);
        assertEquals(REQUESTS - 1, answered.size(), "answered: " + answered);
    }
}
