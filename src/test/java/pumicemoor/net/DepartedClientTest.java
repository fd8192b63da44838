package pumicemoor.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.junit.jupiter.api.Test;
import pumicemoor.node.Counters.Name;
import pumicemoor.node.NodeTestConfig;

/** Clients that write requests and leave before the router has read them: none of these requests may be sent. */
class DepartedClientTest extends SocketRig {

    private static final int REQUESTS = 30; // of the 32 that may be open on a connection
    private static final int LARGE_BODY_BYTES = 8_000;
    private static final long BUSY_MILLIS = 30;
    private static final int SMALL_RECEIVE_BUFFER = 4_096;
    private static final int OTHER_FRAMES = 20_000;
    private static final int PROBE_STREAM = 777;

    private Runnable beforeReading = () -> {}; // runs after the client has left

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
        beforeReading.run();
        clientHasLeft.countDown();
        awaitNoMoreInput();
        Client probe = new Client();
        probe.request(PROBE_STREAM, "order", new byte[0]);
        assertEquals(1, probe.next().code());
        Thread.sleep(200); // what the router has begun to send arrives
        assertEquals(
                1,
                origin.requests.size(),
                () -> "first sent: " + origin.requests.peek().line());
    }

    /** Guards against requests that are sent long after the close, since a busy router reads what precedes it slowly. */
    @Test
    void requestsThatABusyRouterReadsSlowlyAreNotSent() throws Exception {
        AtomicBoolean busy = new AtomicBoolean(true);
        beforeReading = () -> keepLoopBusy(busy);
        assertNothingIsSentForADepartedClient(LARGE_BODY_BYTES, 0);
        busy.set(false);
    }

    /** Guards against a client whose end goes unnoticed, since it has left its replies unread and is not read itself. */
    @Test
    void theEndOfAClientThatReadsNothingIsNoticed() throws Exception {
        Cache origin = new Cache(""); // it answers nothing
        start("", NodeTestConfig.list(1, true, member("o-1", origin, "store")));
        Client departing = new Client(SMALL_RECEIVE_BUFFER);
        departing.out.write(requestFrame(1, "order", id(1), TIMEOUT_MILLIS, false, new byte[0]));
        assertNotNull(origin.next());
        AtomicLong written = new AtomicLong();
        Thread writer = new Thread(() -> writeReadinessRequests(departing, written));
        writer.start();
        awaitNoMore(written::get);
        assertEquals(0, server.counters().get(Name.WITHDRAWN));
        departing.close();
        writer.join(TIMEOUT_MILLIS);
        long leftNanos = System.nanoTime();
        while (server.counters().get(Name.WITHDRAWN) == 0) {
            assertTrue(System.nanoTime() - leftNanos < TimeUnit.SECONDS.toNanos(2), "its end is not noticed");
            Thread.sleep(1);
        }
    }

    /** Writes until the router reads no more, or the connection is closed. */
    private static void writeReadinessRequests(Client client, AtomicLong written) {
        try {
            for (int stream = 2; ; stream++) {
                client.send(ClientFrame.READINESS_REQUEST, stream);
                written.incrementAndGet();
            }
        } catch (IOException e) {
            // the client has left
        }
    }

    /** Lets each turn of the event loop take longer than the router would hold a request for. */
    private void keepLoopBusy(AtomicBoolean busy) {
        server.schedule(1_000, () -> {
            if (busy.get()) {
                pause(BUSY_MILLIS);
                keepLoopBusy(busy);
            }
        });
    }

    /** Waits until the router has read what it can of a client that has left: its own replies may end the connection. */
    private void awaitNoMoreInput() throws InterruptedException {
        awaitNoMore(() -> server.counters().get(Name.BYTES_IN));
    }

    private static void awaitNoMore(LongSupplier counter) throws InterruptedException {
        long before = -1;
        for (long count = counter.getAsLong(); count != before; count = counter.getAsLong()) {
            before = count;
            Thread.sleep(20 * BUSY_MILLIS);
        }
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Guards against a request that is turned away since the next one of its client has come only in part. */
    @Test
    void requestBeforeAnUnfinishedOneIsServed() throws Exception {
        Cache origin = new Cache("data");
        start("", NodeTestConfig.list(1, true, member("o-1", origin, "store")));
        Client client = new Client();
        byte[] second = requestFrame(2, "order", new byte[LARGE_BODY_BYTES]);
        client.out.write(requestFrame(1, "order", new byte[LARGE_BODY_BYTES]));
        client.out.write(second, 0, second.length / 2);
        client.out.flush();
        Frame answer = client.next();
        assertEquals(1, answer.stream());
        assertEquals(1, answer.code());
        client.out.write(second, second.length / 2, second.length - second.length / 2);
        client.out.flush();
        assertEquals(1, client.next().code());
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
