package pumicemoor.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import pumicemoor.node.Counters.Name;
import pumicemoor.node.NodeTestConfig;

/**
 * Races between two events, on sockets: the test stalls the event loop while it triggers both in a fixed order, so that
 * the router finds them together.
 */
class CrossingsTest extends SocketRig {

    @Test
    void purgeReceivedDuringAStallAppliesToRequestsReceivedBeforeIt() throws Exception {
        Cache cache = new Cache("data");
        Coordinator coordinator = new Coordinator();
        start(coordinator.address(), NodeTestConfig.list(1, true, member("s-1", cache, "box")));
        Client client = new Client();
        client.request(1, "segment", new byte[0]);
        assertEquals(1, client.next().code());
        assertTrue(!cache.next().line().contains("within="));
        coordinator.lastEventIds.take();
        CountDownLatch resumeLoop = stallLoop();
        client.request(2, "segment", new byte[0]);
        coordinator.events.add("id: 2\ndata: {\"index\":2,\"evict\":{\"ref\":\"7f3a9c21e0b4d655\",\"unix_ms\":"
                + (System.currentTimeMillis() - 5_000) + "}}");
        while (coordinator.eventsWritten.get() < 1) {
            Thread.onSpinWait();
        }
        resumeLoop.countDown();
        assertEquals(1, client.next().code());
        String line = cache.next().line();
        assertTrue(line.contains("within="), "decided without the purge: " + line);
    }

    @Test
    void timeOfAStallIsDeductedFromAnUnreadRequest() throws Exception {
        Cache cache = new Cache("data");
        start("", NodeTestConfig.list(1, true, member("s-1", cache, "box")));
        Client client = new Client();
        client.request(1, "segment", new byte[0]);
        assertEquals(1, client.next().code());
        cache.next();
        CountDownLatch resumeLoop = stallLoop();
        client.request(2, "segment", new byte[0]);
        resumeLoop.countDown();
        assertEquals(1, client.next().code());
        assertTrue(limitMillis(cache.next()) <= 1_500, "it was unread for at least 300 ms");
    }

    private static int limitMillis(ReceivedRequest request) {
        return Integer.parseInt(request.line().replaceAll(".*limit=(\\d+).*", "$1"));
    }

    /** Terminates the router while one request is open, whose answer the test withholds; returns that request. */
    private ReceivedRequest terminateWithOneOpenRequest(Cache cache, Client client) throws Exception {
        client.request(1, "segment", new byte[0]);
        ReceivedRequest request = cache.next();
        server.terminate();
        assertEquals(3, client.next().type());
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(1);
        while (System.nanoTime() < deadlineNanos) { // longer than the router waits for requests in transit
            Thread.sleep(10);
        }
        cache.status = "data";
        return request;
    }

    private void answer(Cache cache, ReceivedRequest request) throws Exception {
        synchronized (cache.sockets) {
            cache.answer(cache.sockets.get(0).getOutputStream(), request.id());
        }
    }

    @Test
    void requestOnAnIdleConnectionThatCrossesTheLastAnswerIsAnsweredBeforeTheEnd() throws Exception {
        Cache cache = new Cache("");
        start("", NodeTestConfig.list(1, true, member("s-1", cache, "box")));
        Client client = new Client();
        Client idle = new Client();
        idle.send(1, 7);
        assertEquals(2, idle.next().type());
        ReceivedRequest request = terminateWithOneOpenRequest(cache, client);
        assertEquals(3, idle.next().type());
        CountDownLatch resumeLoop = stallLoop();
        answer(cache, request); // after it no request is open
        idle.request(2, "segment", new byte[0]);
        resumeLoop.countDown();
        assertEquals(1, client.next().code());
        assertEquals(1, idle.next().code());
        assertTrue(server.awaitEnd(TIMEOUT_MILLIS));
    }

    @Test
    void requestOnAConnectionNotYetAcceptedIsAnsweredBeforeTheEnd() throws Exception {
        Cache cache = new Cache("");
        start("", NodeTestConfig.list(1, true, member("s-1", cache, "box")));
        Client client = new Client();
        ReceivedRequest request = terminateWithOneOpenRequest(cache, client);
        CountDownLatch resumeLoop = stallLoop();
        answer(cache, request);
        Client late = new Client();
        late.request(2, "segment", new byte[0]);
        resumeLoop.countDown();
        assertEquals(1, client.next().code());
        assertEquals(3, late.next().type());
        assertEquals(1, late.next().code());
        assertTrue(server.awaitEnd(TIMEOUT_MILLIS));
    }

    @Test
    void noRetryIsSentForAClientThatDisconnectedAfterTheFirstFailure() throws Exception {
        Cache cache = new Cache("");
        Cache other = new Cache("");
        start("", NodeTestConfig.list(1, true, member("s-1", cache, "box"), member("s-2", other, "box")));
        Client client = new Client();
        client.request(1, "segment", new byte[0]);
        while (cache.requests.isEmpty() && other.requests.isEmpty()) {
            Thread.onSpinWait();
        }
        Cache first = cache.requests.isEmpty() ? other : cache;
        CountDownLatch resumeLoop = stallLoop();
        first.status = "full";
        answer(first, first.next());
        client.close();
        resumeLoop.countDown();
        while (server.counters().get(Name.WITHDRAWN) < 1) {
            Thread.onSpinWait();
        }
        assertEquals(1, server.counters().get(Name.ATTEMPTS));
    }

    @Test
    void requestOfAClientThatDisconnectedDuringAStallIsNotSent() throws Exception {
        Cache cache = new Cache("data");
        start("", NodeTestConfig.list(1, true, member("s-1", cache, "box")));
        Client client = new Client();
        Client second = new Client();
        client.request(1, "segment", new byte[0]);
        second.request(2, "segment", new byte[0]);
        assertEquals(1, client.next().code());
        assertEquals(1, second.next().code());
        CountDownLatch resumeLoop = stallLoop();
        client.request(3, "segment", new byte[0]);
        second.request(4, "segment", new byte[0]);
        second.send(9, 4);
        client.close();
        resumeLoop.countDown();
        Client third = new Client();
        third.request(5, "segment", new byte[0]);
        assertEquals(1, third.next().code());
        assertEquals(3, server.counters().get(Name.ATTEMPTS), "two before and one after");
    }
}
