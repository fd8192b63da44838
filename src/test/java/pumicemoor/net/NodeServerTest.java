package pumicemoor.net;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import pumicemoor.node.Counters.Name;
import pumicemoor.node.NodeTestConfig;
import pumicemoor.operator.OperatorConfig;

/** The whole router on loopback, with small stand-ins for members, coordinator and clients. */
class NodeServerTest {

    private static final int PATIENCE = 20_000;  // milliseconds; far above anything waited for here

    private final List<AutoCloseable> toClose = new ArrayList<>();
    private NodeServer server;

    @AfterEach
    void stop() throws Exception {
        if (server != null) {
            server.terminate();
            assertTrue(server.awaitEnd(PATIENCE));
        }
        for (AutoCloseable c : toClose) {
            c.close();
        }
    }

    private void start(String coordinator, String... updates) throws Exception {
        server = new NodeServer(NodeTestConfig.parse(NodeTestConfig.json("127.0.0.1:0", coordinator, updates)),
                OperatorConfig.NONE);
        server.start();
    }

    /** Anything that listens; each connection has a thread that ends with it. */
    private abstract class StandIn implements AutoCloseable {
        final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        final List<Socket> sockets = new ArrayList<>();

        StandIn() throws IOException {
            toClose.add(this);
            Thread thread = new Thread(() -> {
                try {
                    while (true) {
                        Socket socket = listener.accept();
                        synchronized (sockets) {
                            sockets.add(socket);
                        }
                        Thread each = new Thread(() -> {
                            try {
                                serve(socket);
                            } catch (IOException e) {
                                // the connection has ended
                            }
                        });
                        each.setDaemon(true);
                        each.start();
                    }
                } catch (IOException e) {
                    // closed at the end of the test
                }
            });
            thread.setDaemon(true);
            thread.start();
        }

        abstract void serve(Socket socket) throws IOException;

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        void cut() throws IOException {
            synchronized (sockets) {
                for (Socket socket : sockets) {
                    socket.close();
                }
                sockets.clear();
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
            cut();
        }
    }

    private record Asked(String line, byte[] body) {
        String id() {
            return line.split(" ")[1];
        }
    }

    /** A cache, parent or origin: notes each request, answers with what the test says; null breaks off. */
    private class Cache extends StandIn {
        final BlockingQueue<Asked> asked = new LinkedBlockingQueue<>();
        final BlockingQueue<String> quits = new LinkedBlockingQueue<>();
        volatile String word;
        volatile byte[] body = new byte[0];

        Cache(String word) throws IOException {
            this.word = word;
        }

        @Override
        void serve(Socket socket) throws IOException {
            InputStream in = socket.getInputStream();
            OutputStream out = socket.getOutputStream();
            for (String line = line(in); !line.isEmpty(); line = line(in)) {
                String[] words = line.split(" ");
                if (words[0].equals("QUIT")) {
                    quits.add(words[1]);
                    continue;
                }
                if (words[0].equals("NOOP")) {
                    out.write((words[1] + " well - 0\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
                    continue;
                }
                byte[] sent = in.readNBytes(Integer.parseInt(words[3]));
                assertEquals("", line(in));
                asked.add(new Asked(line, sent));
                if (word == null) {
                    socket.close();
                } else if (!word.isEmpty()) {
                    answer(out, words[1]);
                }
            }
        }

        void answer(OutputStream out, String id) throws IOException {
            ByteArrayOutputStream answer = new ByteArrayOutputStream();
            answer.writeBytes((id + " " + word + " entity=e,issued=17,tell=mem " + body.length + "\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
            answer.writeBytes(body);
            answer.writeBytes("\r\n".getBytes(StandardCharsets.US_ASCII));
            out.write(answer.toByteArray());
            out.flush();
        }

        Asked next() throws InterruptedException {
            return asked.poll(PATIENCE, TimeUnit.MILLISECONDS);
        }
    }

    /** A line without its end; empty at the end of the stream too. */
    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b >= 0 && b != '\n'; b = in.read()) {
            if (b != '\r') {
                line.append((char) b);
            }
        }
        return line.toString();
    }

    private final class Coordinator extends StandIn {
        final BlockingQueue<String> lastEventIds = new LinkedBlockingQueue<>();
        final BlockingQueue<String> events = new LinkedBlockingQueue<>();

        Coordinator() throws IOException {
        }

        @Override
        void serve(Socket socket) throws IOException {
            InputStream in = socket.getInputStream();
            assertEquals("GET /v2/stream HTTP/1.1", line(in));
            for (String line = line(in); !line.isEmpty(); line = line(in)) {
                if (line.toLowerCase().startsWith("last-event-id: ")) {
                    lastEventIds.add(line.substring(15));
                }
            }
            OutputStream out = socket.getOutputStream();
            out.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hello\n\n"
                    .getBytes(StandardCharsets.US_ASCII));
            try {
                while (true) {
                    out.write((events.take() + "\n\n").getBytes(StandardCharsets.UTF_8));
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private record Frame(int type, int stream, byte[] payload) {
        int code() {
            return payload[0];
        }

        byte[] body() {
            return java.util.Arrays.copyOfRange(payload, 2, payload.length);
        }
    }

    private final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        final DataInputStream in;
        final DataOutputStream out;

        Client() throws IOException {
            this(0);
        }

        /** A client that takes in so many bytes before it reads; 0 for the usual. */
        Client(int receiveBuffer) throws IOException {
            toClose.add(this);
            if (receiveBuffer > 0) {
                socket.setReceiveBufferSize(receiveBuffer);
            }
            socket.connect(new InetSocketAddress("127.0.0.1", server.address().getPort()));
            socket.setSoTimeout(PATIENCE);
            in = new DataInputStream(socket.getInputStream());
            out = new DataOutputStream(socket.getOutputStream());
        }

        String id(int stream) {
            return String.format("%016x", stream);
        }

        void request(int stream, String requestClass, byte[] body) throws IOException {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            DataOutputStream frame = new DataOutputStream(bytes);
            frame.writeByte(7);
            frame.writeInt(stream);
            Map<String, String> fields = Map.of("op", requestClass, "call", id(stream), "ttl", "1800", "row",
                    "7f3a9c21e0b4d655", "piece", "3", "lot", "17");
            frame.writeByte(fields.size());
            for (Map.Entry<String, String> field : fields.entrySet()) {
                frame.writeByte(field.getKey().length());
                frame.writeBytes(field.getKey());
                frame.writeShort(field.getValue().length());
                frame.writeBytes(field.getValue());
            }
            frame.write(body);
            out.writeInt(bytes.size());
            bytes.writeTo(out);
            out.flush();
        }

        void send(int type, int stream) throws IOException {
            out.writeInt(5);
            out.writeByte(type);
            out.writeInt(stream);
            out.flush();
        }

        Frame next() throws IOException {
            try {
                int length = in.readInt();
                Frame frame = new Frame(in.readByte(), in.readInt(), new byte[length - 5]);
                in.readFully(frame.payload());
                return frame;
            } catch (EOFException e) {
                return null;
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private static String member(String instance, StandIn at, String kind) {
        return NodeTestConfig.member(instance, at.address(), kind, "active", 0);
    }

    @Test
    void bytesGoThroughUnalteredInBothDirections() throws Exception {
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
        assertTrue(cache.next().line().startsWith("ASK 0000000000000001 cls=segment,item=7f3a9c21e0b4d655,chunk=3,limit="));

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
            assertEquals(String.format("%016x", answer.stream()).repeat(10_000),
                    new String(answer.body(), StandardCharsets.US_ASCII));
        }
        assertEquals(1, cache.sockets.size());
    }

    @Test
    void anUnsafeRequestWhoseConnectionBreaksIsNotSentAgainAndFails() throws Exception {
        Cache origin = new Cache(null);
        start("", NodeTestConfig.list(1, true, member("o-1", origin, "store")));
        Client client = new Client();
        client.request(1, "order", new byte[10]);
        Frame answer = client.next();
        assertEquals(9, answer.code());
        assertEquals(1, origin.asked.size());
    }

    @Test
    void anUnsafeRequestThatReachedNobodyIsRefused() throws Exception {
        Cache origin = new Cache("data");
        String address = member("o-1", origin, "store");
        origin.close();
        start("", NodeTestConfig.list(1, true, address));
        Client client = new Client();
        client.request(1, "order", new byte[10]);
        assertEquals(0, client.next().code());
    }

    @Test
    void theCoordinatorIsFollowedFromWhatIsKnownAndAgainAfterACut() throws Exception {
        Cache old = new Cache("data");
        Cache fresh = new Cache("data");
        old.body = new byte[] {1};
        fresh.body = new byte[] {2};
        Coordinator coordinator = new Coordinator();
        start(coordinator.address(), NodeTestConfig.list(1, true, member("s-1", old, "box")));
        assertEquals("1", coordinator.lastEventIds.poll(PATIENCE, TimeUnit.MILLISECONDS));
        coordinator.events.add("id: 2\ndata: " + NodeTestConfig.list(2, false, member("s-2", fresh, "box"),
                NodeTestConfig.member("s-1", old.address(), "box", "left", 0)));
        Client client = new Client();
        int stream = 0;
        byte[] got = {1};
        while (got[0] == 1) {  // until the event has arrived
            client.request(++stream, "segment", new byte[0]);
            got = client.next().body();
        }
        assertEquals(2, got[0]);
        coordinator.cut();
        assertEquals("2", coordinator.lastEventIds.poll(PATIENCE, TimeUnit.MILLISECONDS));
    }

    @Test
    void aMemberThatTakesTheAddressOfOneThatLeftIsAskedOnANewConnection() throws Exception {
        Cache cache = new Cache("data");
        Coordinator coordinator = new Coordinator();
        start(coordinator.address(), NodeTestConfig.list(1, true, member("s-1", cache, "box")));
        Client client = new Client();
        client.request(1, "segment", new byte[0]);
        assertEquals(1, client.next().code());
        assertEquals(1, cache.sockets.size());
        coordinator.events.add("id: 2\ndata: " + NodeTestConfig.list(2, false,
                NodeTestConfig.member("s-1", cache.address(), "box", "left", 0), member("s-2", cache, "box")));
        int stream = 1;
        while (server.counters().get(Name.LINES_OPENED) < 2) {
            client.request(++stream, "segment", new byte[0]);
            assertEquals(1, client.next().code());
        }
        assertEquals(2, cache.sockets.size());
    }

    @Test
    void aWithdrawnRequestIsCalledOffAtTheCacheAndNotAnswered() throws Exception {
        Cache cache = new Cache("");
        start("", NodeTestConfig.list(1, true, member("s-1", cache, "box")));
        Client client = new Client();
        client.request(1, "segment", new byte[0]);
        assertEquals("0000000000000001", cache.next().id());
        client.send(9, 1);
        assertEquals("0000000000000001", cache.quits.poll(PATIENCE, TimeUnit.MILLISECONDS));
        cache.word = "data";
        client.request(2, "segment", new byte[0]);
        assertEquals(2, client.next().stream());
    }

    @Test
    void askedToEndItTellsItsClientsAnswersWhatIsOpenAndCloses() throws Exception {
        Cache cache = new Cache("");
        start("", NodeTestConfig.list(1, true, member("s-1", cache, "box")));
        Client client = new Client();
        client.send(1, 7);
        assertEquals(1, client.next().code());
        client.request(1, "segment", new byte[0]);
        Asked asked = cache.next();
        server.terminate();
        Frame drain = client.next();
        assertEquals(3, drain.type());
        assertEquals(0, drain.stream());
        Client late = new Client();
        assertEquals(3, late.next().type());
        late.send(1, 7);
        assertEquals(0, late.next().code());
        cache.word = "data";
        late.request(2, "segment", new byte[0]);
        assertEquals(1, late.next().code());
        synchronized (cache.sockets) {
            cache.answer(cache.sockets.get(0).getOutputStream(), asked.id());
        }
        assertEquals(1, client.next().code());
        assertTrue(server.awaitEnd(PATIENCE));
        assertNull(client.next());
    }

    @Test
    void answersOnTheirWayToASlowClientArriveWholeThoughTheRouterEnds() throws Exception {
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
        while (listening) {  // until the router has begun to close
            try {
                new Client().close();
            } catch (IOException e) {
                listening = false;
            }
        }
        int whole = 0;
        for (Frame frame = slow.next(); frame != null; frame = slow.next()) {
            whole += frame.type() == 8 ? 1 : 0;
        }
        assertEquals(32, whole);
    }

    /** A router that may hold no more than 16 connections of clients. */
    private void startSmall(String... updates) throws Exception {
        server = new NodeServer(NodeTestConfig.parse(NodeTestConfig.json("127.0.0.1:0", "", updates)
                .replace("\"sockets\":1024", "\"sockets\":32")), OperatorConfig.NONE);
        server.start();
    }

    @Test
    void aUsualClientGetsInWhileSilentOnesHoldAllTheyCan() throws Exception {
        Cache cache = new Cache("data");
        startSmall(NodeTestConfig.list(1, true, member("s-1", cache, "box")));
        for (int i = 0; i < 100; i++) {
            new Client();
        }
        Client usual = new Client();
        usual.request(1, "segment", new byte[0]);
        assertEquals(1, usual.next().code());
    }

    @Test
    void aUsualClientGetsInWhileOthersAskedOnceAndKeepTheirConnections() throws Exception {
        Cache cache = new Cache("data");
        startSmall(NodeTestConfig.list(1, true, member("s-1", cache, "box")));
        for (int i = 1; i <= 50; i++) {
            Client keeper = new Client();
            keeper.request(i, "segment", new byte[0]);
            assertEquals(1, keeper.next().code());
        }
    }

    @Test
    void aNewCoordinatorIsFollowedFromTheLastEventOn() throws Exception {
        Coordinator before = new Coordinator();
        Coordinator after = new Coordinator();
        String known = NodeTestConfig.list(1, true);
        start(before.address(), known);
        assertEquals("1", before.lastEventIds.poll(PATIENCE, TimeUnit.MILLISECONDS));
        before.events.add("id: 2\ndata: " + NodeTestConfig.list(2, false));
        while (server.counters().get(Name.UPDATES) < 2) {
            Thread.onSpinWait();
        }
        server.reload(NodeTestConfig.parse(NodeTestConfig.json("127.0.0.1:0", after.address(), known)), OperatorConfig.NONE, null);
        assertEquals("2", after.lastEventIds.poll(PATIENCE, TimeUnit.MILLISECONDS));
        before.events.add("id: 3\ndata: " + NodeTestConfig.list(3, false));
        after.events.add("id: 3\ndata: " + NodeTestConfig.list(3, false));
        after.events.add("id: 4\ndata: " + NodeTestConfig.list(4, false));
        while (server.counters().get(Name.UPDATES) < 4) {
            Thread.onSpinWait();
        }
        assertEquals(0, server.counters().get(Name.GAPS));
        assertEquals(1, server.counters().get(Name.RELOADS));
    }
}
