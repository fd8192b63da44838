package pumicemoor.lab;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * Stand-in for a cache, a hub or the origin on loopback. It stores objects, joins fills in progress, fills along the
 * path of members that the request names, passes on the list of members visited so far (as the CDN-Loop header of RFC
 * 8586 does), and refuses a request that returns to it. It owns its store, its faults and its entries of the log.
 */
final class MemberStandIn implements AutoCloseable {

    enum Kind {
        CACHE,
        HUB,
        ORIGIN
    }

    /** Result of a request at this member. */
    enum LookupResult {
        HIT,
        FILLED,
        BY_ORIGIN,
        JOINED,
        ABSENT,
        LOOPED,
        FAILED
    }

    private static final long FILL_TIMEOUT_MILLIS = 5_000;
    private static final byte[] BODY = "0123456789abcdef".repeat(64).getBytes(StandardCharsets.US_ASCII);

    final String name;
    final Kind kind;
    private final RequestLog requestLog;
    private final Function<String, MemberStandIn> members;
    private final ExecutorService executor;
    private final int fillMillis;
    private final int capacity;
    private final Map<String, Long> store; // Unix milliseconds of the fill by object, least recently used first
    private final Map<String, CompletableFuture<LookupResult>> fillsInProgress = new HashMap<>();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private ServerSocket listener;
    private CompletableFuture<Void> accepting; // done once no thread waits in the listener any more
    private volatile int port;
    volatile String fault = ""; // kind of the current fault as in Scenario.Fault; empty: none
    volatile int faultMillis;
    volatile long startedAtMillis; // since the Unix epoch; 0: long ago

    MemberStandIn(
            String name,
            Kind kind,
            int capacity,
            int fillMillis,
            RequestLog requestLog,
            Function<String, MemberStandIn> members,
            ExecutorService executor)
            throws IOException {
        this.name = name;
        this.kind = kind;
        this.capacity = capacity;
        this.fillMillis = fillMillis;
        this.requestLog = requestLog;
        this.members = members;
        this.executor = executor;
        this.store = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
                return size() > MemberStandIn.this.capacity;
            }
        };
        this.port = FreePorts.allocate();
        listen();
    }

    private void listen() throws IOException {
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 256);
        port = listener.getLocalPort();
        ServerSocket current = listener;
        CompletableFuture<Void> acceptEnded = new CompletableFuture<>();
        accepting = acceptEnded;
        executor.execute(() -> {
            try {
                accept(current);
            } finally {
                acceptEnded.complete(null);
            }
        });
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    /** Simulates a process restart: closes all sockets, clears the store and listens again. */
    synchronized void restart() throws IOException {
        closeSockets();
        synchronized (store) {
            store.clear();
            fillsInProgress.values().forEach(f -> f.complete(LookupResult.FAILED));
            fillsInProgress.clear();
        }
        startedAtMillis = System.currentTimeMillis();
        requestLog.restarted(name);
        listen();
    }

    void purge(String object) {
        synchronized (store) {
            store.remove(object);
        }
    }

    /**
     * Closes the listener and all connections. The system keeps the port for as long as a thread waits in the closed
     * listener, so this method waits for that thread: otherwise a restart finds its own address in use. A connection
     * may have been closed by its own thread a moment before; that is no error.
     */
    private void closeSockets() throws IOException {
        listener.close();
        accepting.join();
        for (Socket connection : connections) {
            try {
                connection.setSoLinger(true, 0); // a reset, as when a process dies
                connection.close();
            } catch (SocketException e) {
                // closed already
            }
        }
        connections.clear();
    }

    @Override
    public synchronized void close() throws IOException {
        closeSockets();
    }

    private void accept(ServerSocket current) {
        while (!current.isClosed()) {
            try {
                Socket socket = current.accept();
                socket.setTcpNoDelay(true);
                connections.add(socket);
                executor.execute(() -> serve(socket));
            } catch (IOException e) {
                return; // closed
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (String line = readLine(in); line != null; line = readLine(in)) {
                String[] words = line.split(" ");
                if (words[0].equals("NOOP")) {
                    write(out, words[1] + " well - 0\r\n\r\n", null);
                } else if (words[0].equals("ASK")) {
                    in.readNBytes(Integer.parseInt(words[3]) + 2);
                    executor.execute(() -> respond(out, words[1], parseFields(words[2])));
                }
            }
        } catch (IOException e) {
            // the router has closed the connection, or this stand-in restarts
        } finally {
            connections.remove(socket);
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                return line.toString(StandardCharsets.US_ASCII).stripTrailing();
            }
            line.write(b);
        }
        return null;
    }

    private static Map<String, String> parseFields(String text) {
        Map<String, String> fields = new HashMap<>();
        for (String pair : text.split(",")) {
            int separator = pair.indexOf('=');
            if (separator > 0) {
                fields.put(pair.substring(0, separator), pair.substring(separator + 1));
            }
        }
        return fields;
    }

    private void respond(OutputStream out, String id, Map<String, String> fields) {
        String object = fields.get("item");
        requestLog.requestReceived(name, "router", object);
        try {
            switch (fault) {
                case "silent" -> {
                    return;
                }
                case "refusing" -> {
                    write(out, id + " full - 0\r\n\r\n", null);
                    return;
                }
                case "breaking" -> {
                    for (Socket connection : connections) {
                        connection.close();
                    }
                    return;
                }
                default -> sleep(faultMillis);
            }
            List<String> fillPath = new ArrayList<>();
            if (fields.containsKey("miss")) {
                fillPath.add(fields.get("miss"));
            }
            if (fields.containsKey("way")) {
                fillPath.addAll(Arrays.asList(fields.get("way").split("\\+")));
            }
            boolean cacheOnly =
                    Set.of(fields.getOrDefault("f", "").split("\\+")).contains("only-if-cached");
            LookupResult result = lookUp(object, fillPath, cacheOnly, List.of());
            String answeredFrom =
                    switch (result) {
                        case HIT -> "mem";
                        case FILLED -> "parent";
                        case BY_ORIGIN -> "origin";
                        case JOINED -> "shared";
                        default -> null;
                    };
            if (answeredFrom != null) {
                write(
                        out,
                        id + " data entity=" + object + ",issued=" + System.currentTimeMillis() + ",tell="
                                + answeredFrom + " " + BODY.length + "\r\n",
                        BODY);
            } else if (result == LookupResult.ABSENT) {
                write(out, id + " absent - 0\r\n\r\n", null);
            } else {
                write(
                        out,
                        id + " failed tell=" + (result == LookupResult.LOOPED ? "denied" : "unreached") + " 0\r\n\r\n",
                        null);
            }
        } catch (IOException e) {
            // the router has closed the connection
        }
    }

    /**
     * Handles a request from a router or another member: returns a stored object, joins a fill, or fills along the fill
     * path.
     */
    LookupResult lookUp(String object, List<String> fillPath, boolean cacheOnly, List<String> visited) {
        if (visited.contains(name)) {
            requestLog.fillLoop(name, object, "came round: " + visited);
            return LookupResult.LOOPED;
        }
        if (kind == Kind.ORIGIN) {
            sleep(fillMillis);
            return LookupResult.BY_ORIGIN;
        }
        CompletableFuture<LookupResult> ownFill = null;
        CompletableFuture<LookupResult> fillInProgress;
        synchronized (store) {
            if (store.get(object) != null) {
                return LookupResult.HIT;
            }
            fillInProgress = fillsInProgress.get(object);
            if (fillInProgress == null && !cacheOnly && !(fillPath.isEmpty() && kind == Kind.CACHE)) {
                ownFill = new CompletableFuture<>();
                fillsInProgress.put(object, ownFill);
            }
        }
        if (fillInProgress != null) {
            try {
                LookupResult result = fillInProgress.get(FILL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
                return result == LookupResult.FILLED || result == LookupResult.BY_ORIGIN ? LookupResult.JOINED : result;
            } catch (java.util.concurrent.TimeoutException | java.util.concurrent.ExecutionException e) {
                return LookupResult.FAILED;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return LookupResult.FAILED;
            }
        }
        if (ownFill == null) {
            return LookupResult.ABSENT;
        }
        LookupResult result = fill(object, fillPath, visited);
        synchronized (store) {
            if (fillsInProgress.remove(object, ownFill)
                    && (result == LookupResult.FILLED || result == LookupResult.BY_ORIGIN)) {
                store.put(object, System.currentTimeMillis());
            }
        }
        ownFill.complete(result);
        return result;
    }

    private LookupResult fill(String object, List<String> fillPath, List<String> visited) {
        MemberStandIn source = members.apply(fillPath.isEmpty() ? "origin" : fillPath.get(0));
        if (source == null || source.fault.equals("silent") || source.fault.equals("breaking")) {
            return LookupResult.FAILED;
        }
        List<String> visitedWithThis = new ArrayList<>(visited);
        visitedWithThis.add(name);
        requestLog.requestReceived(source.name, name, object);
        requestLog.waitStarted(name, source.name, object);
        try {
            sleep(fillMillis);
            // a sibling cache returns what it stores or is filling; a hub continues along the rest of the fill path
            LookupResult result = source.lookUp(
                    object,
                    fillPath.isEmpty() ? fillPath : fillPath.subList(1, fillPath.size()),
                    false,
                    visitedWithThis);
            return result == LookupResult.BY_ORIGIN
                    ? LookupResult.BY_ORIGIN
                    : result == LookupResult.HIT || result == LookupResult.JOINED || result == LookupResult.FILLED
                            ? LookupResult.FILLED
                            : result;
        } finally {
            requestLog.waitEnded(name, source.name, object);
        }
    }

    private static void sleep(int millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void write(OutputStream out, String line, byte[] body) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(line.getBytes(StandardCharsets.US_ASCII));
        if (body != null) {
            all.write(body);
            all.write("\r\n".getBytes(StandardCharsets.US_ASCII));
        }
        synchronized (out) {
            out.write(all.toByteArray());
            out.flush();
        }
    }
}
