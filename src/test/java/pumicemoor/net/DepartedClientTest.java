package pumicemoor.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import pumicemoor.node.NodeTestConfig;

/** Clients that write requests and leave before the router has read them: none of these requests may be sent. */
class DepartedClientTest extends SocketRig {

    private static final int REQUESTS = 30; // of the 32 that may be open on a connection
    private static final int LARGE_BODY_BYTES = 8_000;
    private static final int OTHER_FRAMES = 20_000;
    private static final int PROBE_STREAM = 777;

    /** Guards against requests that are sent after the router has read the close of their connection. */
    @Test
    void requestsInOneReadWithTheCloseAreNotSent() throws Exception {
        assertNothingIsSentForADepartedClient(0, 0);
    }

    /** Guards against requests that are sent while the close of their connection waits behind other input. */
    @Test
    void requestsWithMuchUnreadInputBeforeTheCloseAreNotSent() throws Exception {
        assertNothingIsSentForADepartedClient(0, OTHER_FRAMES);
    }

    /** Guards against requests that are sent while the close of their connection waits behind other input. */
    @Test
    void requestsWithLargeBodiesBeforeTheCloseAreNotSent() throws Exception {
        assertNothingIsSentForADepartedClient(LARGE_BODY_BYTES, 0);
    }

    private void assertNothingIsSentForADepartedClient(int bodyBytes, int otherFrames) throws Exception {
        Cache origin = new Cache("data");
        start("", NodeTestConfig.list(1, true, member("o-1", origin, "store")));
        Client departing = new Client();
        departing.request(1, "order", new byte[0]); // opens a connection to the origin
        assertEquals(1, departing.next().code());
        assertEquals(id(1), origin.next().id());
        CountDownLatch loopIsBusy = new CountDownLatch(1);
        CountDownLatch clientHasLeft = new CountDownLatch(1);
        server.execute(() -> {
            loopIsBusy.countDown();
            try {
                assertTrue(clientHasLeft.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        byte[] requests = requests(bodyBytes, otherFrames);
        assertTrue(loopIsBusy.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        departing.out.write(requests);
        departing.close();
        clientHasLeft.countDown();
        Client probe = new Client();
        probe.request(PROBE_STREAM, "order", new byte[0]);
        assertEquals(1, probe.next().code());
        Thread.sleep(200); // what the router has begun to send arrives
        assertEquals(
                1,
                origin.requests.size(),
                () -> "first sent: " + origin.requests.peek().line());
    }

    private byte[] requests(int bodyBytes, int otherFrames) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(all);
        for (int stream = 2; stream < 2 + REQUESTS; stream++) {
            out.write(requestFrame(stream, "order", new byte[bodyBytes]));
        }
        for (int i = 0; i < otherFrames; i++) {
            out.writeInt(5);
            out.writeByte(ClientFrame.CANCEL);
            out.writeInt(1);
        }
        return all.toByteArray();
    }
}
