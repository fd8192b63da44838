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
 * A cache, a hub or the origin on loopback. It holds objects, joins fills under way, fills from the member that
 * the request names and along the way that it names, passes on a marker of who was passed (as CDN-Loop does,
 * RFC 8586), and refuses what comes round. It owns its store, its faults and its lines of the record.
 */
final class MemberStandIn implements AutoCloseable {

    enum Kind {
        CACHE,
        HUB,
        ORIGIN
    }

    /** How a request ended here. */
    enum End {
        HIT,
        FILLED,
        BY_ORIGIN,
        JOINED,
        ABSENT,
        LOOPED,
        FAILED
    }

    private static final long FILL_PATIENCE = 5_000; // milliseconds
    private static final byte[] BODY = "0123456789abcdef".repeat(64).getBytes(StandardCharsets.US_ASCII);

    final String name;
    final Kind kind;
    private final Record record;
    private final Function<String, MemberStandIn> members;
    private final ExecutorService work;
    private final int fillMillis;
    private final int holds;
    private final Map<String, Long> store;
    private final Map<String, CompletableFuture<End>> filling = new HashMap<>();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private ServerSocket listener;
    private CompletableFuture<Void> accepting; // done once nobody waits in the listener any more
    private volatile int port;
    volatile String fault = "";
    volatile int faultMillis;
    volatile long startedAt; // Unix milliseconds; 0 for long ago

    MemberStandIn(
            String name,
            Kind kind,
            int holds,
            int fillMillis,
            Record record,
            Function<String, MemberStandIn> members,
            ExecutorService work)
            throws IOException {
        this.name = name;
        this.kind = kind;
        this.holds = holds;
        this.fillMillis = fillMillis;
        this.record = record;
        this.members = members;
        this.work = work;
        this.store = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
                return size() > MemberStandIn.this.holds;
            }
        };
        this.port = FreePorts.take();
        open();
    }

    private void open() throws IOException {
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 256);
        port = listener.getLocalPort();
        ServerSocket mine = listener;
        CompletableFuture<Void> ended = new CompletableFuture<>();
        accepting = ended;
        work.execute(() -> {
            try {
                accept(mine);
            } finally {
                ended.complete(null);
            }
        });
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    /** Ends the process, as far as anyone can see, and starts it again with nothing. */
    synchronized void restart() throws IOException {
        closeSockets();
        synchronized (store) {
            store.clear();
            filling.values().forEach(f -> f.complete(End.FAILED));
            filling.clear();
        }
        startedAt = System.currentTimeMillis();
        record.started(name);
        open();
    }

    void purge(String object) {
        synchronized (store) {
            store.remove(object);
        }
    }

    /**
     * Ends the listener and all connections. The system keeps the port for as long as a thread waits in the closed
     * listener, so that is waited for: else a restart finds its own address in use. A connection may have been closed by
     * its own thread a moment before, and is none the worse for it.
     */
    private void closeSockets() throws IOException {
        listener.close();
        accepting.join();
        for (Socket s : connections) {
            try {
                s.setSoLinger(true, 0); // a reset, as when a process dies
                s.close();
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

    private void accept(ServerSocket mine) {
        while (!mine.isClosed()) {
            try {
                Socket socket = mine.accept();
                socket.setTcpNoDelay(true);
                connections.add(socket);
                work.execute(() -> serve(socket));
            } catch (IOException e) {
                return; // closed
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (String line = line(in); line != null; line = line(in)) {
                String[] words = line.split(" ");
                if (words[0].equals("NOOP")) {
                    write(out, words[1] + " well - 0\r\n\r\n", null);
                } else if (words[0].equals("ASK")) {
                    in.readNBytes(Integer.parseInt(words[3]) + 2);
                    work.execute(() -> answer(out, words[1], fields(words[2])));
                }
            }
        } catch (IOException e) {
            // the router has closed the connection, or this stand-in restarts
        } finally {
            connections.remove(socket);
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                return line.toString(StandardCharsets.US_ASCII).stripTrailing();
            }
            line.write(b);
        }
        return null;
    }

    private static Map<String, String> fields(String text) {
        Map<String, String> fields = new HashMap<>();
        for (String pair : text.split(",")) {
            int at = pair.indexOf('=');
            if (at > 0) {
                fields.put(pair.substring(0, at), pair.substring(at + 1));
            }
        }
        return fields;
    }

    private void answer(OutputStream out, String id, Map<String, String> fields) {
        String object = fields.get("item");
        record.asked(name, "router", object);
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
                    for (Socket s : connections) {
                        s.close();
                    }
                    return;
                }
                default -> sleep(faultMillis);
            }
            List<String> way = new ArrayList<>();
            if (fields.containsKey("miss")) {
                way.add(fields.get("miss"));
            }
            if (fields.containsKey("way")) {
                way.addAll(Arrays.asList(fields.get("way").split("\\+")));
            }
            boolean onlyHeld = Set.of(fields.getOrDefault("f", "").split("\\+")).contains("only-if-cached");
            End end = get(object, way, onlyHeld, List.of());
            String tell =
                    switch (end) {
                        case HIT -> "mem";
                        case FILLED -> "parent";
                        case BY_ORIGIN -> "origin";
                        case JOINED -> "shared";
                        default -> null;
                    };
            if (tell != null) {
                write(
                        out,
                        id + " data entity=" + object + ",issued=" + System.currentTimeMillis() + ",tell=" + tell + " "
                                + BODY.length + "\r\n",
                        BODY);
            } else if (end == End.ABSENT) {
                write(out, id + " absent - 0\r\n\r\n", null);
            } else {
                write(out, id + " failed tell=" + (end == End.LOOPED ? "denied" : "unreached") + " 0\r\n\r\n", null);
            }
        } catch (IOException e) {
            // nobody waits any more
        }
    }

    /** What this member does for whoever asks: gives what it holds, joins a fill, or fills along the way. */
    End get(String object, List<String> way, boolean onlyHeld, List<String> passed) {
        if (passed.contains(name)) {
            record.circle(name, object, "came round: " + passed);
            return End.LOOPED;
        }
        if (kind == Kind.ORIGIN) {
            sleep(fillMillis);
            return End.BY_ORIGIN;
        }
        CompletableFuture<End> mine = null;
        CompletableFuture<End> joined;
        synchronized (store) {
            if (store.get(object) != null) {
                return End.HIT;
            }
            joined = filling.get(object);
            if (joined == null && !onlyHeld && !(way.isEmpty() && kind == Kind.CACHE)) {
                mine = new CompletableFuture<>();
                filling.put(object, mine);
            }
        }
        if (joined != null) {
            try {
                End end = joined.get(FILL_PATIENCE, TimeUnit.MILLISECONDS);
                return end == End.FILLED || end == End.BY_ORIGIN ? End.JOINED : end;
            } catch (java.util.concurrent.TimeoutException | java.util.concurrent.ExecutionException e) {
                return End.FAILED;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return End.FAILED;
            }
        }
        if (mine == null) {
            return End.ABSENT;
        }
        End end = fill(object, way, passed);
        synchronized (store) {
            if (filling.remove(object, mine) && (end == End.FILLED || end == End.BY_ORIGIN)) {
                store.put(object, System.currentTimeMillis());
            }
        }
        mine.complete(end);
        return end;
    }

    private End fill(String object, List<String> way, List<String> passed) {
        MemberStandIn source = members.apply(way.isEmpty() ? "origin" : way.get(0));
        if (source == null || source.fault.equals("silent") || source.fault.equals("breaking")) {
            return End.FAILED;
        }
        List<String> marker = new ArrayList<>(passed);
        marker.add(name);
        record.asked(source.name, name, object);
        record.waits(name, source.name, object);
        try {
            sleep(fillMillis);
            // a sibling cache gives what it holds or is filling; a hub goes on along the rest of the way
            End end = source.get(object, way.isEmpty() ? way : way.subList(1, way.size()), false, marker);
            return end == End.BY_ORIGIN
                    ? End.BY_ORIGIN
                    : end == End.HIT || end == End.JOINED || end == End.FILLED ? End.FILLED : end;
        } finally {
            record.waitsNoMore(name, source.name, object);
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
