package pumicemoor.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import pumicemoor.node.Counters.Name;
import pumicemoor.node.NodeTestConfig;

/**
 * Two events that cross, on sockets: the loop is held up while the test brings both about in the order it states, so
 * that the router finds them together.
 */
class CrossingsTest extends SocketRig {

    @Test
    void aPurgeThatCameWhileTheLoopWasHeldUpBindsTheRequestsThatCameBeforeIt() throws Exception {
        Cache cache = new Cache("data");
        Coordinator coordinator = new Coordinator();
        start(coordinator.address(), NodeTestConfig.list(1, true, member("s-1", cache, "box")));
        Client client = new Client();
        client.request(1, "segment", new byte[0]);
        assertEquals(1, client.next().code());
        assertTrue(!cache.next().line().contains("within="));
        coordinator.lastEventIds.take();
        CountDownLatch letGo = holdLoop();
        client.request(2, "segment", new byte[0]);
        coordinator.events.add("id: 2\ndata: {\"index\":2,\"evict\":{\"ref\":\"7f3a9c21e0b4d655\",\"unix_ms\":"
                + (System.currentTimeMillis() - 5_000) + "}}");
        while (coordinator.written.get() < 1) {
            Thread.onSpinWait();
        }
        letGo.countDown();
        assertEquals(1, client.next().code());
        String line = cache.next().line();
        assertTrue(line.contains("within="), "decided on older news: " + line);
    }

    @Test
    void aRequestThatLayUnreadWhileTheLoopWasHeldUpHasSoMuchLessTimeLeft() throws Exception {
        Cache cache = new Cache("data");
        start("", NodeTestConfig.list(1, true, member("s-1", cache, "box")));
        Client client = new Client();
        client.request(1, "segment", new byte[0]);
        assertEquals(1, client.next().code());
        cache.next();
        CountDownLatch letGo = holdLoop();
        client.request(2, "segment", new byte[0]);
        letGo.countDown();
        assertEquals(1, client.next().code());
        assertTrue(limit(cache.next()) <= 1_500, "it lay unread for 300 ms at least");
    }

    private static int limit(Asked asked) {
        return Integer.parseInt(asked.line().replaceAll(".*limit=(\\d+).*", "$1"));
    }

    /** A router that was asked to end some time ago and has one request left, whose answer the test withholds. */
    private Asked lastOne(Cache cache, Client client) throws Exception {
        client.request(1, "segment", new byte[0]);
        Asked asked = cache.next();
        server.terminate();
        assertEquals(3, client.next().type());
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(1);
        while (System.nanoTime() < end) { // past the time in which it waits for requests on their way
            Thread.sleep(10);
        }
        cache.word = "data";
        return asked;
    }

    private void answer(Cache cache, Asked asked) throws Exception {
        synchronized (cache.sockets) {
            cache.answer(cache.sockets.get(0).getOutputStream(), asked.id());
        }
    }

    @Test
    void aRequestOnARestingConnectionThatCrossesTheLastAnswerBeforeTheEndIsAnswered() throws Exception {
        Cache cache = new Cache("");
        start("", NodeTestConfig.list(1, true, member("s-1", cache, "box")));
        Client client = new Client();
        Client resting = new Client();
        resting.send(1, 7);
        assertEquals(2, resting.next().type());
        Asked asked = lastOne(cache, client);
        assertEquals(3, resting.next().type());
        CountDownLatch letGo = holdLoop();
        answer(cache, asked); // after it nothing is open
        resting.request(2, "segment", new byte[0]);
        letGo.countDown();
        assertEquals(1, client.next().code());
        assertEquals(1, resting.next().code());
        assertTrue(server.awaitEnd(PATIENCE));
    }

    @Test
    void aRequestOnAConnectionThatWasNotAcceptedYetIsAnsweredBeforeTheEnd() throws Exception {
        Cache cache = new Cache("");
        start("", NodeTestConfig.list(1, true, member("s-1", cache, "box")));
        Client client = new Client();
        Asked asked = lastOne(cache, client);
        CountDownLatch letGo = holdLoop();
        answer(cache, asked);
        Client late = new Client();
        late.request(2, "segment", new byte[0]);
        letGo.countDown();
        assertEquals(1, client.next().code());
        assertEquals(3, late.next().type());
        assertEquals(1, late.next().code());
        assertTrue(server.awaitEnd(PATIENCE));
    }

    @Test
    void noFurtherAttemptIsBegunForAClientThatLeftBehindTheFailureOfItsFirst() throws Exception {
        Cache cache = new Cache("");
        Cache other = new Cache("");
        start("", NodeTestConfig.list(1, true, member("s-1", cache, "box"), member("s-2", other, "box")));
        Client client = new Client();
        client.request(1, "segment", new byte[0]);
        while (cache.asked.isEmpty() && other.asked.isEmpty()) {
            Thread.onSpinWait();
        }
        Cache first = cache.asked.isEmpty() ? other : cache;
        CountDownLatch letGo = holdLoop();
        first.word = "full";
        answer(first, first.next());
        client.close();
        letGo.countDown();
        while (server.counters().get(Name.WITHDRAWN) < 1) {
            Thread.onSpinWait();
        }
        assertEquals(1, server.counters().get(Name.ATTEMPTS));
    }

    @Test
    void aRequestWhoseClientLeftWhileTheLoopWasHeldUpIsNotBegun() throws Exception {
        Cache cache = new Cache("data");
        start("", NodeTestConfig.list(1, true, member("s-1", cache, "box")));
        Client client = new Client();
        Client second = new Client();
        client.request(1, "segment", new byte[0]);
        second.request(2, "segment", new byte[0]);
        assertEquals(1, client.next().code());
        assertEquals(1, second.next().code());
        CountDownLatch letGo = holdLoop();
        client.request(3, "segment", new byte[0]);
        second.request(4, "segment", new byte[0]);
        second.send(9, 4);
        client.close();
        letGo.countDown();
        Client third = new Client();
        third.request(5, "segment", new byte[0]);
        assertEquals(1, third.next().code());
        assertEquals(3, server.counters().get(Name.ATTEMPTS), "two before and one after");
    }
}
