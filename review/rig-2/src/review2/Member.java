package review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * Stand-in for a cache server, a parent or the origin, in the lines of the protocol page. It runs every request whose
 * line and body have come whole, and answers it with data, a tag and the time of the copy when its work is done, unless
 * it was given up (QUIT) or the connection has ended.
 * Its answers carry one note: it holds every object, or holds none and
 * fills each from the source that the request names.
 */
final class Member implements AutoCloseable {

    /** One request that reached this member whole; atMs: when its first byte was read, since the start of the case. */
    record Ask(long atMs, String id, Map<String, String> fields, int length) {}

    private static final ScheduledExecutorService TIMER = Executors.newScheduledThreadPool(2, task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });

    final String name;
    final List<Ask> asks = new CopyOnWriteArrayList<>();
    private final Rig rig;
    private final ServerSocket listener;
    private final Function<Ask, Integer> workMs;
    private final byte[] body;
    private final String tell; // the note of an answer: mem for a hit, parent for a fill

    Member(Rig rig, String name, int bodyBytes, Function<Ask, Integer> workMs) throws IOException {
        this(rig, name, bodyBytes, "mem", workMs);
    }

    Member(Rig rig, String name, int bodyBytes, String tell, Function<Ask, Integer> workMs) throws IOException {
        this.rig = rig;
        this.tell = tell;
        this.name = name;
        this.workMs = workMs;
        this.body = "0123456789abcdef".repeat(bodyBytes / 16 + 1).substring(0, bodyBytes)
                .getBytes(StandardCharsets.US_ASCII);
        this.listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Coordinator.daemon(this::accept);
    }

    /** Its line of the coordinator's list. */
    String listLine(String zone, String kind, int weight, String lifecycle, long startedAtMs) {
        return "{\"instanceId\":\"" + name + "\",\"hostPort\":\"127.0.0.1:" + listener.getLocalPort()
                + "\",\"zone\":\"" + zone + "\",\"machineType\":\"" + kind + "\",\"cell\":0,\"lifecycle\":\""
                + lifecycle + "\",\"weight\":" + weight + ",\"startedAtMs\":" + startedAtMs + "}";
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                Coordinator.daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        Set<String> open = ConcurrentHashMap.newKeySet();
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                int first = in.read();
                if (first < 0) {
                    return;
                }
                long atMs = rig.ms();
                String[] words = ((char) first + readLine(in)).split(" ");
                switch (words[0]) {
                    case "NOOP" -> write(out, words[1] + " well - 0\r\n", new byte[0]);
                    case "QUIT" -> {
                        open.remove(words[1]);
                        rig.note(name + ": QUIT " + words[1]);
                    }
                    case "ASK" -> {
                        int length = Integer.parseInt(words[3]);
                        in.readNBytes(length + 2);
                        Ask ask = new Ask(atMs, words[1], fields(words[2]), length);
                        asks.add(ask);
                        open.add(ask.id());
                        rig.note(name + ": ASK " + ask.id() + " " + words[2] + " " + length);
                        TIMER.schedule(() -> answer(out, open, ask), workMs.apply(ask), TimeUnit.MILLISECONDS);
                    }
                    default -> throw new IOException("a line that can't be read: " + words[0]);
                }
            }
        } catch (IOException e) {
            rig.note(name + ": a connection has ended (" + e.getMessage() + ")");
        } finally {
            open.clear(); // the end of the connection abandons all that is open on it
        }
    }

    private void answer(OutputStream out, Set<String> open, Ask ask) {
        if (open.remove(ask.id())) {
            try {
                if (!tell.equals("mem") && !ask.fields().containsKey("miss")) {
                    write(out, ask.id() + " absent - 0\r\n", new byte[0]);
                    rig.note(name + ": absent for " + ask.id());
                    return;
                }
                byte[] body = bodyOf(ask);
                write(
                        out,
                        ask.id() + " data entity=" + ask.fields().get("item") + ",issued="
                                + System.currentTimeMillis() + ",tell=" + tell + " " + body.length + "\r\n",
                        body);
                rig.note(name + ": data for " + ask.id());
            } catch (IOException e) {
                rig.note(name + ": no answer to " + ask.id() + " (" + e.getMessage() + ")");
            }
        }
    }

    /** A part of an object whose name begins with 'b' is a large one, of 200,000 bytes. */
    private byte[] bodyOf(Ask ask) {
        return ask.fields().get("item").startsWith("b") ? "0123456789abcdef".repeat(12_500)
                .getBytes(StandardCharsets.US_ASCII) : body;
    }

    private static void write(OutputStream out, String head, byte[] body) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(head.getBytes(StandardCharsets.US_ASCII));
        all.writeBytes(body);
        all.writeBytes(new byte[] {'\r', '\n'});
        synchronized (out) {
            out.write(all.toByteArray());
            out.flush();
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
        throw new IOException("the line has no end");
    }

    private static Map<String, String> fields(String text) {
        Map<String, String> fields = new LinkedHashMap<>();
        for (String pair : text.split(",")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                fields.put(pair.substring(0, equals), pair.substring(equals + 1));
            }
        }
        return fields;
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
