package pumicemoor.lab;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Open-loop load generator: sends requests at a steady rate regardless of the responses, over two connections to each
 * router, and records the outcome of every request. It reconnects to a router that is down; requests that were open on
 * a lost connection count as lost.
 */
final class LoadClients implements AutoCloseable {

    /** How a request ended for its client. */
    enum RequestOutcome {
        SERVED,
        REFUSED,
        FAILED,
        LOST,
        TWICE,
        LATE
    }

    /** One completed request: when it was sent (by the clock of the log), its outcome, and the time that it took. */
    record RequestResult(long sentAtMillis, RequestOutcome outcome, long micros) {}

    private static final int REQUEST_FRAME = 7;
    private static final int RESPONSE_FRAME = 8;
    private static final int CLOSE_FRAME = 3;
    private static final long LATE_GRACE_MILLIS = 300; // past the deadline before a response counts as late
    private static final long RECONNECT_INTERVAL_NANOS = 20_000_000L;
    private static final int CONNECT_TIMEOUT_MILLIS = 200;
    private static final int MAX_OPEN_PER_CONNECTION = 30;

    private final RequestLog requestLog;
    private final Scenario scenario;
    private final List<Connection> connections = new ArrayList<>();
    private final List<RequestResult> results = new ArrayList<>();
    private final Random random;
    private long sentRequests;

    LoadClients(Scenario scenario, RequestLog requestLog, List<String> routers) {
        this.scenario = scenario;
        this.requestLog = requestLog;
        this.random = new Random(scenario.seed());
        for (String router : routers) {
            connections.add(new Connection(router));
            connections.add(new Connection(router));
        }
    }

    private synchronized void addResult(RequestResult result) {
        results.add(result);
    }

    synchronized List<RequestResult> completed() {
        return List.copyOf(results);
    }

    /**
     * Requests a random object over the next usable connection; the request counts as lost if no connection is usable.
     * The lower the rank number of an object, the more often it is requested.
     */
    void sendNext() {
        int rank = (int) (scenario.objects() * Math.pow(random.nextDouble(), 2));
        String object = String.format("%016x", 0x9e3779b97f4a7c15L * (rank + 1));
        Connection connection = connections.get((int) (sentRequests++ % connections.size()));
        for (int i = 0; i < connections.size() && !connection.ensureUsable(); i++) {
            connection = connections.get((connections.indexOf(connection) + 1) % connections.size());
        }
        connection.send(object);
    }

    /** Returns the number of open requests on all connections. */
    int openRequests() {
        return connections.stream()
                .mapToInt(connection -> connection.openRequests.size())
                .sum();
    }

    /** Closes all connections and counts the requests that are still open as lost. */
    void finish() {
        connections.forEach(Connection::close);
    }

    @Override
    public void close() {
        finish();
    }

    private record OpenRequest(long sentAtMillis, long startNanos) {}

    /** A connection to a router that is opened again after it has closed. */
    private final class Connection {
        private final InetSocketAddress address;
        // requests on the current socket, by stream
        private volatile Map<Integer, OpenRequest> openRequests = new ConcurrentHashMap<>();
        private Socket socket;
        private DataOutputStream out;
        private int lastStream;
        private long lastConnectNanos;
        private volatile boolean draining;

        Connection(String address) {
            int colon = address.lastIndexOf(':');
            this.address =
                    new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        }

        private synchronized boolean ensureUsable() {
            if ((socket == null || socket.isClosed() || draining)
                    && System.nanoTime() - lastConnectNanos > RECONNECT_INTERVAL_NANOS) {
                lastConnectNanos = System.nanoTime();
                try {
                    Socket newSocket = new Socket();
                    newSocket.setTcpNoDelay(true);
                    newSocket.connect(address, CONNECT_TIMEOUT_MILLIS);
                    socket = newSocket;
                    lastStream = 0;
                    draining = false;
                    out = new DataOutputStream(newSocket.getOutputStream());
                    Map<Integer, OpenRequest> requests = new ConcurrentHashMap<>();
                    openRequests = requests;
                    Thread reader = new Thread(() -> readResponses(newSocket, requests), "lab-client");
                    reader.setDaemon(true);
                    reader.start();
                } catch (IOException e) {
                    socket = null;
                }
            }
            return socket != null && !socket.isClosed() && !draining && openRequests.size() < MAX_OPEN_PER_CONNECTION;
        }

        synchronized void send(String object) {
            long sentAtMillis = requestLog.nowMillis();
            if (!ensureUsable()) {
                addResult(new RequestResult(sentAtMillis, RequestOutcome.LOST, 0));
                return;
            }
            int stream = ++lastStream;
            openRequests.put(stream, new OpenRequest(sentAtMillis, System.nanoTime()));
            try {
                Map<String, String> fields = new LinkedHashMap<>();
                fields.put("op", "file");
                fields.put("call", String.format("%016x", random.nextLong()));
                fields.put("ttl", Integer.toString(scenario.deadlineMillis()));
                fields.put("row", object);
                fields.put("lot", "1");
                ByteArrayOutputStream bytes = new ByteArrayOutputStream();
                DataOutputStream frame = new DataOutputStream(bytes);
                frame.writeByte(REQUEST_FRAME);
                frame.writeInt(stream);
                frame.writeByte(fields.size());
                for (Map.Entry<String, String> field : fields.entrySet()) {
                    frame.writeByte(field.getKey().length());
                    frame.writeBytes(field.getKey());
                    frame.writeShort(field.getValue().length());
                    frame.write(field.getValue().getBytes(StandardCharsets.US_ASCII));
                }
                out.writeInt(bytes.size());
                bytes.writeTo(out);
                out.flush();
            } catch (IOException e) {
                countLost(openRequests);
            }
        }

        private void readResponses(Socket source, Map<Integer, OpenRequest> requests) {
            try (source) {
                Set<Integer> answered = new HashSet<>();
                DataInputStream in = new DataInputStream(new BufferedInputStream(source.getInputStream()));
                while (true) {
                    int length = in.readInt();
                    int type = in.readUnsignedByte();
                    int stream = in.readInt();
                    byte[] payload = in.readNBytes(length - 5);
                    if (type == CLOSE_FRAME) {
                        draining = true;
                    } else if (type == RESPONSE_FRAME) {
                        handleResponse(requests.remove(stream), answered.add(stream), payload[0]);
                    }
                }
            } catch (IOException e) {
                countLost(requests);
            }
        }

        private void handleResponse(OpenRequest request, boolean first, int code) {
            if (request == null) {
                addResult(new RequestResult(
                        requestLog.nowMillis(), first ? RequestOutcome.LATE : RequestOutcome.TWICE, 0));
                return;
            }
            long micros = (System.nanoTime() - request.startNanos()) / 1_000;
            boolean late = micros / 1_000 > scenario.deadlineMillis() + LATE_GRACE_MILLIS;
            addResult(new RequestResult(
                    request.sentAtMillis(),
                    late
                            ? RequestOutcome.LATE
                            : code == 1
                                    ? RequestOutcome.SERVED
                                    : code == 0 ? RequestOutcome.REFUSED : RequestOutcome.FAILED,
                    micros));
        }

        private synchronized void close() {
            if (socket != null) {
                try {
                    socket.close();
                } catch (IOException e) {
                    // it was closed already
                }
            }
            countLost(openRequests);
        }

        private void countLost(Map<Integer, OpenRequest> requests) {
            for (Integer stream : List.copyOf(requests.keySet())) {
                OpenRequest lost = requests.remove(stream);
                if (lost != null) {
                    addResult(new RequestResult(lost.sentAtMillis(), RequestOutcome.LOST, 0));
                }
            }
        }
    }
}
