package pumicemoor.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
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
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import pumicemoor.node.NodeTestConfig;
import pumicemoor.operator.OperatorConfig;

/** A complete router on loopback for tests, with stubs for members, coordinator and clients. */
abstract class SocketRig {

    static final int COMMENT_INTERVAL_MILLIS = 200;
    static final int TIMEOUT_MILLIS = 20_000; // far above any expected wait

    final List<AutoCloseable> toClose = new ArrayList<>();
    NodeServer server;

    @AfterEach
    void stop() throws Exception {
        if (server != null) {
            server.terminate();
            assertTrue(server.awaitEnd(TIMEOUT_MILLIS));
        }
        for (AutoCloseable resource : toClose) {
            resource.close();
        }
    }

    void start(String coordinator, String... updates) throws Exception {
        server = new NodeServer(
                NodeTestConfig.parse(NodeTestConfig.json("127.0.0.1:0", coordinator, updates)), OperatorConfig.NONE);
        server.start();
    }

    /** Stalls the router's event loop until the latch is released, and for long enough that the router notices. */
    CountDownLatch stallLoop() throws InterruptedException {
        CountDownLatch stalled = new CountDownLatch(1);
        CountDownLatch resumeLoop = new CountDownLatch(1);
        server.execute(() -> {
            stalled.countDown();
            try {
                resumeLoop.await();
                Thread.sleep(300); // what the test has sent arrives before the router reads again
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        assertTrue(stalled.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        return resumeLoop;
    }

    /** A stub server; each connection has a thread that ends with it. */
    abstract class StubServer implements AutoCloseable {
        final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        final List<Socket> sockets = new ArrayList<>();
        private final Thread accepting;

        StubServer() throws IOException {
            toClose.add(this);
            accepting = new Thread(() -> {
                try {
                    while (true) {
                        Socket socket = listener.accept();
                        synchronized (sockets) {
                            sockets.add(socket);
                        }
                        Thread worker = new Thread(() -> {
                            try {
                                serve(socket);
                            } catch (IOException e) {
                                // the connection has ended
                            }
                        });
                        worker.setDaemon(true);
                        worker.start();
                    }
                } catch (IOException e) {
                    // closed at the end of the test
                }
            });
            accepting.setDaemon(true);
            accepting.start();
        }

        abstract void serve(Socket socket) throws IOException;

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        void closeConnections() throws IOException {
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
            try {
                accepting.join(TIMEOUT_MILLIS); // the kernel accepts connections while a thread is blocked in accept
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            closeConnections();
        }
    }

    record ReceivedRequest(String line, byte[] body) {
        String id() {
            return line.split(" ")[1];
        }
    }

    /**
     * A stub cache, parent or origin: records each request and answers with the status set by the test; with null it
     * closes the connection, with an empty status it does not answer.
     */
    class Cache extends StubServer {
        final BlockingQueue<ReceivedRequest> requests = new LinkedBlockingQueue<>();
        final BlockingQueue<String> abandonedIds = new LinkedBlockingQueue<>();
        volatile String status;
        volatile byte[] body = new byte[0];

        Cache(String status) throws IOException {
            this.status = status;
        }

        @Override
        void serve(Socket socket) throws IOException {
            InputStream in = socket.getInputStream();
            OutputStream out = socket.getOutputStream();
            for (String line = line(in); !line.isEmpty(); line = line(in)) {
                String[] words = line.split(" ");
                if (words[0].equals("QUIT")) {
                    abandonedIds.add(words[1]);
                    continue;
                }
                if (words[0].equals("NOOP")) {
                    out.write((words[1] + " well - 0\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
                    continue;
                }
                byte[] sent = in.readNBytes(Integer.parseInt(words[3]));
                assertEquals("", line(in));
                requests.add(new ReceivedRequest(line, sent));
                if (status == null) {
                    socket.close();
                } else if (!status.isEmpty()) {
                    answer(out, words[1]);
                }
            }
        }

        void answer(OutputStream out, String id) throws IOException {
            ByteArrayOutputStream answer = new ByteArrayOutputStream();
            answer.writeBytes((id + " " + status + " entity=e,issued=17,tell=mem " + body.length + "\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
            answer.writeBytes(body);
            answer.writeBytes("\r\n".getBytes(StandardCharsets.US_ASCII));
            out.write(answer.toByteArray());
            out.flush();
        }

        ReceivedRequest next() throws InterruptedException {
            return requests.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Reads a line without its line end; empty at the end of the stream too. */
    static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next >= 0 && next != '\n'; next = in.read()) {
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }

    /** A stub coordinator: streams the test's events, and comments in between. */
    final class Coordinator extends StubServer {
        final BlockingQueue<String> lastEventIds = new LinkedBlockingQueue<>();
        final BlockingQueue<String> events = new LinkedBlockingQueue<>();
        final AtomicInteger eventsWritten = new AtomicInteger();

        Coordinator() throws IOException {}

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
                    String event = events.poll(COMMENT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
                    out.write((event == null ? ":\n\n" : event + "\n\n").getBytes(StandardCharsets.UTF_8));
                    eventsWritten.addAndGet(event == null ? 0 : 1);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    record Frame(int type, int stream, byte[] payload) {
        int code() {
            return payload[0];
        }

        byte[] body() {
            return java.util.Arrays.copyOfRange(payload, 2, payload.length);
        }
    }

    /** The frame of a request, whose id follows from its stream. */
    static byte[] requestFrame(int stream, String requestClass, byte[] body) throws IOException {
        return requestFrame(stream, requestClass, id(stream), 1_800, false, body);
    }

    /** The frame of a request with this id, which its client may mark as a retry. */
    static byte[] requestFrame(
            int stream, String requestClass, String id, int ttlMillis, boolean clientRetry, byte[] body)
            throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream frame = new DataOutputStream(bytes);
        frame.writeByte(7);
        frame.writeInt(stream);
        Map<String, String> fields = new LinkedHashMap<>(Map.of(
                "op",
                requestClass,
                "call",
                id,
                "ttl",
                Integer.toString(ttlMillis),
                "row",
                "7f3a9c21e0b4d655",
                "piece",
                "3",
                "lot",
                "17"));
        if (clientRetry) {
            fields.put("rep", "1");
        }
        frame.writeByte(fields.size());
        for (Map.Entry<String, String> field : fields.entrySet()) {
            frame.writeByte(field.getKey().length());
            frame.writeBytes(field.getKey());
            frame.writeShort(field.getValue().length());
            frame.writeBytes(field.getValue());
        }
        frame.write(body);
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        new DataOutputStream(all).writeInt(bytes.size());
        bytes.writeTo(all);
        return all.toByteArray();
    }

    static String id(int stream) {
        return String.format("%016x", stream);
    }

    /** A client that sends requests and reads frames. */
    final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        final DataInputStream in;
        final DataOutputStream out;

        Client() throws IOException {
            this(0);
        }

        /** A client with this receive buffer in bytes; 0 for the default. */
        Client(int receiveBuffer) throws IOException {
            toClose.add(this);
            if (receiveBuffer > 0) {
                socket.setReceiveBufferSize(receiveBuffer);
            }
            socket.connect(new InetSocketAddress("127.0.0.1", server.address().getPort()));
            socket.setSoTimeout(TIMEOUT_MILLIS);
            in = new DataInputStream(socket.getInputStream());
            out = new DataOutputStream(socket.getOutputStream());
        }

        void request(int stream, String requestClass, byte[] body) throws IOException {
            out.write(requestFrame(stream, requestClass, body));
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

    static String member(String instance, StubServer at, String kind) {
        return NodeTestConfig.member(instance, at.address(), kind, "active", 0);
    }
}
