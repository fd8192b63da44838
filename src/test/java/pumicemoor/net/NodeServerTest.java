package pumicemoor.net;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import pumicemoor.node.Counters.Name;
import pumicemoor.node.NodeTestConfig;
import pumicemoor.operator.OperatorConfig;

/** The complete router on loopback, with stubs for members, coordinator and clients. */
class NodeServerTest extends SocketRig {

    private static final int DESCRIPTORS = 40;
    private static final int MAX_CLIENTS = DESCRIPTORS / 2;

    private static final int UNKNOWN_FRAME_TYPE = 42;

    @Test
    void bodiesArePassedOnUnalteredInBothDirections() throws Exception {
        Cache cache = new Cache("data");
        Cache origin = new Cache("data");
        start("", NodeTestConfig.list(1, true, member("s-1", cache, "box"), member("o-1", origin, "store")));
        cache.body = new byte[240_000];
        new Random(1).nextBytes(cache.body);
        Client client = new Client();
        client.request(1, "segment", new byte[0]);
        Frame answer = client.next();
        assertEquals(8, answer.type());
        assertEquals(1, answer.code());
        assertArrayEquals(cache.body, answer.body());
        assertTrue(cache.next()
                .line()
                .startsWith("ASK 0000000000000001 cls=segment,item=7f3a9c21e0b4d655,chunk=3,limit="));

        byte[] write = new byte[48_000];
        new Random(2).nextBytes(write);
        client.request(2, "order", write);
        assertEquals(1, client.next().code());
        assertArrayEquals(write, origin.next().body());
    }

    @Test
    void manyRequestsShareOneConnectionAndEachGetsItsOwnAnswer() throws Exception {
        Cache cache = new Cache("data") {
            @Override
            void answer(OutputStream out, String id) throws IOException {
                body = id.repeat(10_000).getBytes(StandardCharsets.US_ASCII);
                super.answer(out, id);
            }
        };
        start("", NodeTestConfig.list(1, true, member("s-1", cache, "box")));
        Client client = new Client();
        for (int stream = 1; stream <= 8; stream++) {
            client.request(stream, "segment", new byte[0]);
        }
        for (int i = 0; i < 8; i++) {
            Frame answer = client.next();
            assertEquals(
                    String.format("%016x", answer.stream()).repeat(10_000),
                    new String(answer.body(), StandardCharsets.US_ASCII));
        }
        assertEquals(1, cache.sockets.size());
    }

    @Test
    void unsafeRequestWhoseConnectionBreaksFailsWithoutRetry() throws Exception {
        Cache origin = new Cache(null);
        start("", NodeTestConfig.list(1, true, member("o-1", origin, "store")));
        Client client = new Client();
        client.request(1, "order", new byte[10]);
        Frame answer = client.next();
        assertEquals(9, answer.code());
        assertEquals(1, origin.requests.size());
    }

    @Test
    void unsafeRequestThatReachedNoMemberIsRefused() throws Exception {
        Cache origin = new Cache("data");
        String address = member("o-1", origin, "store");
        origin.close();
        start("", NodeTestConfig.list(1, true, address));
        Client client = new Client();
        client.request(1, "order", new byte[10]);
        assertEquals(0, client.next().code());
    }

    @Test
    void coordinatorIsFollowedFromTheLastKnownEventAndAgainAfterAReconnect() throws Exception {
        Cache oldCache = new Cache("data");
        Cache newCache = new Cache("data");
        oldCache.body = new byte[] {1};
        newCache.body = new byte[] {2};
        Coordinator coordinator = new Coordinator();
        start(coordinator.address(), NodeTestConfig.list(1, true, member("s-1", oldCache, "box")));
        assertEquals("1", coordinator.lastEventIds.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        coordinator.events.add("id: 2\ndata: "
                + NodeTestConfig.list(
                        2,
                        false,
                        member("s-2", newCache, "box"),
                        NodeTestConfig.member("s-1", oldCache.address(), "box", "left", 0)));
        Client client = new Client();
        int stream = 0;
        byte[] body = {1};
        while (body[0] == 1) { // until the update has been applied
            client.request(++stream, "segment", new byte[0]);
            body = client.next().body();
        }
        assertEquals(2, body[0]);
        coordinator.closeConnections();
        assertEquals("2", coordinator.lastEventIds.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    }

    @Test
    void memberThatReusesTheAddressOfOneThatLeftGetsANewConnection() throws Exception {
        Cache cache = new Cache("data");
        Coordinator coordinator = new Coordinator();
        start(coordinator.address(), NodeTestConfig.list(1, true, member("s-1", cache, "box")));
        Client client = new Client();
        client.request(1, "segment", new byte[0]);
        assertEquals(1, client.next().code());
        assertEquals(1, cache.sockets.size());
        coordinator.events.add("id: 2\ndata: "
                + NodeTestConfig.list(
                        2,
                        false,
                        NodeTestConfig.member("s-1", cache.address(), "box", "left", 0),
                        member("s-2", cache, "box")));
        int stream = 1;
        while (server.counters().get(Name.LINES_OPENED) < 2) {
            client.request(++stream, "segment", new byte[0]);
            assertEquals(1, client.next().code());
        }
        assertEquals(2, cache.sockets.size());
    }

    @Test
    void cancelledRequestIsAbandonedAtTheCacheAndNotAnswered() throws Exception {
        Cache cache = new Cache("");
        start("", NodeTestConfig.list(1, true, member("s-1", cache, "box")));
        Client client = new Client();
        client.request(1, "segment", new byte[0]);
        assertEquals("0000000000000001", cache.next().id());
        client.send(9, 1);
        assertEquals("0000000000000001", cache.abandonedIds.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        cache.status = "data";
        client.request(2, "segment", new byte[0]);
        assertEquals(2, client.next().stream());
    }

    @Test
    void terminationDrainsClientsAnswersOpenRequestsAndCloses() throws Exception {
        Cache cache = new Cache("");
        start("", NodeTestConfig.list(1, true, member("s-1", cache, "box")));
        Client client = new Client();
        client.send(1, 7);
        assertEquals(1, client.next().code());
        client.request(1, "segment", new byte[0]);
        ReceivedRequest request = cache.next();
        server.terminate();
        Frame drain = client.next();
        assertEquals(3, drain.type());
        assertEquals(0, drain.stream());
        Client late = new Client();
        assertEquals(3, late.next().type());
        late.send(1, 7);
        assertEquals(0, late.next().code());
        cache.status = "data";
        late.request(2, "segment", new byte[0]);
        assertEquals(1, late.next().code());
        synchronized (cache.sockets) {
            cache.answer(cache.sockets.get(0).getOutputStream(), request.id());
        }
        assertEquals(1, client.next().code());
        assertTrue(server.awaitEnd(TIMEOUT_MILLIS));
        assertNull(client.next());
    }

    @Test
    void pendingAnswersReachASlowClientCompletelyBeforeTheRouterEnds() throws Exception {
        Cache cache = new Cache("data");
        cache.body = new byte[240_000];
        start("", NodeTestConfig.list(1, true, member("s-1", cache, "box")));
        Client slow = new Client(4_096);
        for (int stream = 1; stream <= 32; stream++) {
            slow.request(stream, "segment", new byte[0]);
        }
        while (server.counters().get(Name.SERVED) + server.counters().get(Name.REFUSED) < 32) {
            Thread.onSpinWait();
        }
        server.terminate();
        boolean listening = true;
        while (listening) { // until the router has closed its listener
            try {
                new Client().close();
            } catch (IOException e) {
                listening = false;
            }
        }
        int answers = 0;
        for (Frame frame = slow.next(); frame != null; frame = slow.next()) {
            answers += frame.type() == 8 ? 1 : 0;
        }
        assertEquals(32, answers);
    }

    /** Guards against a router that never ends, since a client whose connection is being closed reads nothing. */
    @Test
    void routerEndsAlthoughAClientNeverReadsItsAnswers() throws Exception {
        Cache cache = new Cache("data");
        cache.body = new byte[240_000];
        start("", NodeTestConfig.list(1, true, member("s-1", cache, "box")));
        Client stopped = new Client(4_096);
        for (int stream = 1; stream <= 32; stream++) {
            stopped.request(stream, "segment", new byte[0]);
        }
        while (server.counters().get(Name.SERVED) + server.counters().get(Name.REFUSED) < 32) {
            Thread.onSpinWait();
        }
        server.terminate();
        assertTrue(server.awaitEnd(TIMEOUT_MILLIS));
        assertEquals(1, server.counters().get(Name.TURNED_OUT));
    }

    /** Starts a router with a limit of 16 client connections. */
    private void startSmall(String... updates) throws Exception {
        server = new NodeServer(
                NodeTestConfig.parse(
                        NodeTestConfig.json("127.0.0.1:0", "", updates).replace("\"sockets\":1024", "\"sockets\":32")),
                OperatorConfig.NONE);
        server.start();
    }

    @Test
    void newClientIsAcceptedWhileSilentClientsHoldAllConnections() throws Exception {
        Cache cache = new Cache("data");
        startSmall(NodeTestConfig.list(1, true, member("s-1", cache, "box")));
        for (int i = 0; i < 100; i++) {
            new Client();
        }
        Client newClient = new Client();
        newClient.request(1, "segment", new byte[0]);
        assertEquals(1, newClient.next().code());
    }

    /** Guards against answers that are lost because the slot of the connection on which they wait is needed. */
    @Test
    void answersReachASlowClientWhoseConnectionIsBeingClosedWhileOthersNeedItsSlot() throws Exception {
        Cache cache = new Cache("data");
        cache.body = new byte[240_000];
        startSmall(NodeTestConfig.list(1, true, member("s-1", cache, "box")));
        Client slow = new Client(4_096);
        for (int stream = 1; stream <= 32; stream++) {
            slow.request(stream, "segment", new byte[0]);
        }
        while (server.counters().get(Name.SERVED) + server.counters().get(Name.REFUSED) < 32) {
            Thread.onSpinWait();
        }
        slow.send(UNKNOWN_FRAME_TYPE, 33); // no frame is accepted any more
        for (int i = 0; i < 60; i++) {
            Client other = new Client();
            try {
                other.send(UNKNOWN_FRAME_TYPE, 1);
            } catch (IOException e) {
                // there was no slot for it
            }
        }
        int answers = 0;
        for (Frame frame = slow.next(); frame != null; frame = slow.next()) {
            answers += frame.type() == ClientFrame.ANSWER && frame.stream() != 0 ? 1 : 0;
        }
        assertEquals(32, answers);
    }

    @Test
    void newClientIsAcceptedWhileIdleClientsHoldAllConnections() throws Exception {
        Cache cache = new Cache("data");
        startSmall(NodeTestConfig.list(1, true, member("s-1", cache, "box")));
        for (int i = 1; i <= 50; i++) {
            Client idleClient = new Client();
            idleClient.request(i, "segment", new byte[0]);
            assertEquals(1, idleClient.next().code());
        }
    }

    @Test
    void newCoordinatorIsFollowedFromTheLastAppliedEvent() throws Exception {
        Coordinator oldCoordinator = new Coordinator();
        Coordinator newCoordinator = new Coordinator();
        String initialMembers = NodeTestConfig.list(1, true);
        start(oldCoordinator.address(), initialMembers);
        assertEquals("1", oldCoordinator.lastEventIds.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        oldCoordinator.events.add("id: 2\ndata: " + NodeTestConfig.list(2, false));
        while (server.counters().get(Name.UPDATES) < 2) {
            Thread.onSpinWait();
        }
        server.reload(
                NodeTestConfig.parse(NodeTestConfig.json("127.0.0.1:0", newCoordinator.address(), initialMembers)),
                OperatorConfig.NONE,
                null);
        assertEquals("2", newCoordinator.lastEventIds.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        oldCoordinator.events.add("id: 3\ndata: " + NodeTestConfig.list(3, false));
        newCoordinator.events.add("id: 3\ndata: " + NodeTestConfig.list(3, false));
        newCoordinator.events.add("id: 4\ndata: " + NodeTestConfig.list(4, false));
        while (server.counters().get(Name.UPDATES) < 4) {
            Thread.onSpinWait();
        }
        assertEquals(0, server.counters().get(Name.GAPS));
        assertEquals(1, server.counters().get(Name.RELOADS));
    }

    /** Guards against a connection that stays for seconds after an error, since its last request was turned away. */
    @Test
    void connectionEndsAfterAnErrorOnceItsLastRequestIsTurnedAway() throws Exception {
        start("", NodeTestConfig.list(1, true, member("o-1", new Cache("data"), "store")));
        Client client = new Client();
        ByteArrayOutputStream flood = new ByteArrayOutputStream();
        flood.write(requestFrame(1, "order", new byte[10]));
        for (int stream = 2; stream < 400; stream++) {
            flood.write(new byte[] {0, 0, 0, 5, ClientFrame.CANCEL, 0, 0, (byte) (stream >> 8), (byte) stream});
        }
        flood.write(new byte[] {0, 0, 0, 5, 42, 0, 0, 0, 1}); // an unknown type
        flood.write(new byte[100_000]);
        CountDownLatch resumeLoop = stallLoop();
        client.out.write(flood.toByteArray());
        client.out.flush();
        resumeLoop.countDown();
        long startNanos = System.nanoTime();
        int answers = 0;
        while (client.next() != null) {
            answers++;
        }
        assertEquals(2, answers, "the error and the answer to the request");
        assertTrue(System.nanoTime() - startNanos < TimeUnit.SECONDS.toNanos(4), "it was closed as an idle one");
    }

    /** Guards against a first request that is dropped half way, or unread, since another client wants its slot. */
    @Test
    void clientsThatSendTheirFirstRequestKeepTheirSlotsWhileOthersAreSilent() throws Exception {
        Cache origin = new Cache("data");
        String config =
                NodeTestConfig.json("127.0.0.1:0", "", NodeTestConfig.list(1, true, member("o-1", origin, "store")));
        server = new NodeServer(
                NodeTestConfig.parse(config.replace("\"sockets\":1024", "\"sockets\":" + DESCRIPTORS)),
                OperatorConfig.NONE);
        server.start();
        byte[] request = requestFrame(1, "order", new byte[10]);
        Client slow = new Client();
        slow.out.write(request, 0, request.length / 2);
        slow.out.flush();
        List<Client> silent = new ArrayList<>();
        for (int i = 1; i < MAX_CLIENTS; i++) {
            silent.add(new Client());
        }
        awaitConnections(MAX_CLIENTS);
        CountDownLatch resumeLoop = stallLoop();
        Client quick = silent.get(0);
        quick.out.write(request);
        quick.out.flush();
        Client newcomer = new Client();
        resumeLoop.countDown();
        newcomer.out.write(requestFrame(1, "order", "00000000000000c1", TIMEOUT_MILLIS, false, new byte[10]));
        newcomer.out.flush();
        assertEquals(1, newcomer.next().code());
        assertEquals(1, quick.next().code(), "it had sent its request");
        slow.out.write(request, request.length / 2, request.length - request.length / 2);
        slow.out.flush();
        Frame answer = slow.next();
        assertEquals(1, answer.stream(), "it was sending its request");
    }

    private void awaitConnections(int count) throws InterruptedException {
        while (server.counters().get(Name.CONNECTIONS) < count) {
            Thread.sleep(5);
        }
    }
}
