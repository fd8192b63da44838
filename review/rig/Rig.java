import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-ins for clients, cache servers and the coordinator, written from the protocol page, and the start of the real
 * router by the deploy file's run line. All on 127.0.0.1 and the real clock. Shared by the cases of the review.
 */
public final class Rig implements AutoCloseable {

    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    final Path root;
    final Path folder;
    final Path temp;
    final boolean trouble;
    private final StringBuilder record = new StringBuilder();
    private final long startNanos = System.nanoTime();
    private final List<AutoCloseable> parts = new ArrayList<>();
    final ScheduledExecutorService later = Executors.newScheduledThreadPool(2, Rig::daemon);

    /** The first argument is the repository's root, the second the case's folder. */
    Rig(String[] args) throws IOException {
        root = Path.of(args[0]).toAbsolutePath();
        folder = Path.of(args[1]).toAbsolutePath();
        temp = Files.createTempDirectory("review");
        trouble = !"0".equals(System.getenv("TROUBLE"));
        say("trouble is %s", trouble ? "on" : "off");
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    }

    static void start(Task task) {
        daemon(() -> {
                    try {
                        task.run();
                    } catch (Exception e) {
                        // the peer has gone
                    }
                })
                .start();
    }

    interface Task {
        void run() throws Exception;
    }

    /** Milliseconds since the start of the case. */
    long millis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    /** Adds a line to the record, with the time since the start. */
    synchronized void say(String format, Object... args) {
        String line = String.format(Locale.ROOT, "%8d ms  ", millis()) + String.format(Locale.ROOT, format, args);
        record.append(line).append('\n');
        if (System.getenv("SHOW") != null) {
            System.out.println(line);
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
            return socket.getLocalPort();
        }
    }

    static void sleep(long millis) throws InterruptedException {
        if (millis > 0) {
            Thread.sleep(millis);
        }
    }

    <T extends AutoCloseable> T add(T part) {
        parts.add(part);
        return part;
    }

    @Override
    public void close() {
        for (int i = parts.size() - 1; i >= 0; i--) {
            try {
                parts.get(i).close();
            } catch (Exception e) {
                // it has ended already
            }
        }
        later.shutdownNow();
    }

    /** Ends everything, writes record.txt and exits: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
    void finish(int code, String verdict) throws IOException {
        say("verdict: %s (exit %d)", verdict, code);
        close();
        Files.writeString(folder.resolve("record.txt"), record);
        try (var files = Files.walk(temp)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        }
        System.out.println(verdict);
        System.exit(code);
    }

    // ---- the router --------------------------------------------------------------------------------------

    /** One real router, started by the run line of the deploy file. */
    final class Router implements AutoCloseable {
        final String name;
        final int port;
        final Path config;
        final Process process;
        final Path log;

        Router(String name, int port, String json) throws IOException {
            this.name = name;
            this.port = port;
            config = temp.resolve(name + ".json");
            log = temp.resolve(name + ".log");
            Files.writeString(
                    config,
                    json.replace("\"name\":\"n0\"", "\"name\":\"" + name + "\"")
                            .replace("127.0.0.1:1\"", "127.0.0.1:" + port + "\""));
            Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$")
                    .matcher(Files.readString(root.resolve("deploy/balancer.toml")));
            if (!run.find()) {
                throw new IOException("the deploy file has no run line");
            }
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1))
                    .directory(root.toFile())
                    .redirectErrorStream(true)
                    .redirectOutput(log.toFile());
            builder.environment().put("RELAY_CONFIG", config.toString());
            builder.environment().put("RELAY_NAME", name);
            builder.environment().put("RELAY_LISTEN", "127.0.0.1:" + port);
            process = builder.start();
            Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly)); // if the case is ended early
            say("router %s: process %d, listens on port %d", name, process.pid(), port);
        }

        /** Waits until the router says that it is ready; false after this time. */
        boolean awaitReady(long millis) throws InterruptedException {
            long until = millis() + millis;
            while (millis() < until && process.isAlive()) {
                try (Client probe = new Client(port, null)) {
                    if (probe.ready(1_000)) {
                        say("router %s is ready", name);
                        return true;
                    }
                } catch (IOException e) {
                    // it does not listen yet
                }
                sleep(100);
            }
            return false;
        }

        void signal(String signal) throws IOException, InterruptedException {
            say("router %s: signal %s", name, signal);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        /** The peak of the process's resident memory, as the system tells it. */
        String peakMemory() throws IOException {
            return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                    .filter(line -> line.startsWith("VmHWM"))
                    .findFirst()
                    .orElse("not known");
        }

        /** Puts the router's log lines into the record. */
        void sayLog() throws IOException {
            if (Files.exists(log)) {
                Files.readAllLines(log).forEach(line -> say("%s| %s", name, line));
            }
        }

        @Override
        public void close() throws Exception {
            process.destroyForcibly();
            process.waitFor();
            sayLog();
        }
    }

    // ---- the coordinator ---------------------------------------------------------------------------------

    /** The coordinator: numbered events as server-sent events, a comment every second. */
    final class Coordinator implements AutoCloseable {
        final int port = freePort();
        private final List<String> events = new ArrayList<>();
        private final Set<Socket> streams = ConcurrentHashMap.newKeySet();
        private ServerSocket listener;
        private int firstIndex = 1;

        /** The events up to this index stand in the configuration under 'known'. */
        Coordinator(int knownIndex) throws IOException {
            firstIndex = knownIndex + 1;
            up();
        }

        String address() {
            return "127.0.0.1:" + port;
        }

        synchronized void up() throws IOException {
            ServerSocket opened = new ServerSocket();
            opened.setReuseAddress(true);
            opened.bind(new InetSocketAddress(LOOPBACK, port));
            listener = opened;
            start(() -> {
                while (true) {
                    Socket socket = opened.accept();
                    start(() -> serve(socket));
                }
            });
        }

        /** Closes the listener and all streams; events published meanwhile are kept. */
        synchronized void down() throws IOException {
            listener.close();
            for (Socket stream : streams) {
                stream.close();
            }
            streams.clear();
        }

        /** Adds an event; the text is the JSON behind the index. Returns the time in Unix milliseconds. */
        synchronized long publish(String rest) {
            int index = firstIndex + events.size();
            events.add("{\"index\":" + index + "," + rest + "}");
            notifyAll();
            say("coordinator: event %s", events.get(events.size() - 1));
            return System.currentTimeMillis();
        }

        synchronized int lastIndex() {
            return firstIndex + events.size() - 1;
        }

        private void serve(Socket socket) throws Exception {
            socket.setTcpNoDelay(true);
            StringBuilder head = new StringBuilder();
            InputStream in = socket.getInputStream();
            while (!head.toString().endsWith("\r\n\r\n")) {
                int next = in.read();
                if (next < 0) {
                    socket.close();
                    return;
                }
                head.append((char) next);
            }
            Matcher last = Pattern.compile("(?i)last-event-id: *(\\d+)").matcher(head);
            int next = (last.find() ? Integer.parseInt(last.group(1)) : 0) + 1;
            streams.add(socket);
            say("coordinator: a stream is asked for from event %d on", next);
            OutputStream out = socket.getOutputStream();
            out.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
                    .getBytes(StandardCharsets.US_ASCII));
            long commentAt = 0;
            try {
                while (!socket.isClosed()) {
                    List<String> due = new ArrayList<>();
                    int from = next;
                    synchronized (this) {
                        if (lastIndex() < next) {
                            wait(Math.max(1, Math.min(1_000, commentAt - millis())));
                        }
                        for (; next <= lastIndex(); next++) {
                            if (next >= firstIndex) {
                                due.add(events.get(next - firstIndex));
                            }
                        }
                    }
                    StringBuilder text = new StringBuilder();
                    for (String event : due) {
                        text.append("id: ").append(from++).append("\ndata: ").append(event).append("\n\n");
                    }
                    if (millis() >= commentAt) {
                        text.append(": still here\n\n");
                        commentAt = millis() + 1_000;
                    }
                    out.write(text.toString().getBytes(StandardCharsets.UTF_8));
                    out.flush();
                }
            } finally {
                streams.remove(socket);
                socket.close();
            }
        }

        @Override
        public void close() throws IOException {
            down();
        }
    }

    // ---- cache servers -----------------------------------------------------------------------------------

    /** A request that a cache server has read whole. */
    final class Ask {
        final Member member;
        final Link link;
        final String id;
        final Map<String, String> fields = new LinkedHashMap<>();
        final int bodyBytes;
        final long at = millis();
        final long atUnix = System.currentTimeMillis();
        volatile boolean quit;

        Ask(Member member, Link link, String id, String fieldText, int bodyBytes) {
            this.member = member;
            this.link = link;
            this.id = id;
            this.bodyBytes = bodyBytes;
            for (String pair : fieldText.split(",")) {
                int equals = pair.indexOf('=');
                if (equals > 0) {
                    fields.put(pair.substring(0, equals), pair.substring(equals + 1));
                }
            }
        }

        /** Answers with a good copy of this many bytes, given out by the origin now. */
        void data(int bytes, String note) throws IOException {
            byte[] body = Rig.body(fields.get("item"), fields.get("chunk"), bytes);
            String entity = "t" + fields.get("item");
            link.write(
                    id + " data entity=" + entity + ",issued=" + System.currentTimeMillis() + ",tell=" + note + " "
                            + bytes,
                    body);
        }

        /** Answers with a word and no bytes. */
        void word(String word) throws IOException {
            link.write(id + " " + word + " - 0", new byte[0]);
        }
    }

    static byte[] body(String item, String chunk, int bytes) {
        byte[] pattern = (item + "/" + chunk + ";").getBytes(StandardCharsets.US_ASCII);
        byte[] body = new byte[bytes];
        for (int i = 0; i < bytes; i++) {
            body[i] = pattern[i % pattern.length];
        }
        return body;
    }

    interface Behaviour {
        void handle(Ask ask) throws Exception;
    }

    /** One connection from a router to a cache server. */
    final class Link {
        final Socket socket;
        private final OutputStream out;

        Link(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            out = socket.getOutputStream();
        }

        synchronized void write(String line, byte[] body) throws IOException {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write((line + "\r\n").getBytes(StandardCharsets.US_ASCII));
            all.write(body);
            all.write('\r');
            all.write('\n');
            out.write(all.toByteArray());
            out.flush();
        }

        synchronized void raw(byte[] bytes) throws IOException {
            out.write(bytes);
            out.flush();
        }

        void raw(String text) throws IOException {
            raw(text.getBytes(StandardCharsets.US_ASCII));
        }

        /** Resets the connection. */
        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    /** A cache server, a parent or the origin. It reads requests and hands each to its behaviour. */
    final class Member implements AutoCloseable {
        final String name;
        final String zone;
        final String kind;
        final int port;
        final ServerSocket listener;
        volatile Behaviour behaviour;
        final Set<Link> links = ConcurrentHashMap.newKeySet();
        final AtomicLong asked = new AtomicLong();

        Member(String name, String zone, String kind, Behaviour behaviour) throws IOException {
            this.name = name;
            this.zone = zone;
            this.kind = kind;
            this.behaviour = behaviour;
            listener = new ServerSocket(0, 1024, LOOPBACK);
            port = listener.getLocalPort();
            Rig.start(() -> {
                while (true) {
                    Socket socket = listener.accept();
                    Link link = new Link(socket);
                    links.add(link);
                    Rig.start(() -> {
                        try {
                            read(link);
                        } finally {
                            links.remove(link);
                            socket.close();
                        }
                    });
                }
            });
        }

        private void read(Link link) throws Exception {
            DataInputStream in = new DataInputStream(new BufferedInputStream(link.socket.getInputStream(), 65_536));
            Map<String, Ask> open = new ConcurrentHashMap<>();
            while (true) {
                String line = line(in);
                if (line == null) {
                    return;
                }
                String[] words = line.split(" ");
                if (words[0].equals("ASK") && words.length == 4) {
                    int bytes = Integer.parseInt(words[3]);
                    in.readFully(new byte[bytes]);
                    in.readFully(new byte[2]);
                    Ask ask = new Ask(this, link, words[1], words[2], bytes);
                    open.put(ask.id, ask);
                    asked.incrementAndGet();
                    behaviour.handle(ask);
                } else if (words[0].equals("QUIT")) {
                    Ask ask = open.remove(words[1]);
                    if (ask != null) {
                        ask.quit = true;
                    }
                } else if (words[0].equals("NOOP")) {
                    noop(link, words[1]);
                }
            }
        }

        volatile boolean answersNoop = true;

        private void noop(Link link, String tag) throws IOException {
            if (answersNoop) {
                link.write(tag + " well - 0", new byte[0]);
            }
        }

        /** The member's entry of a list. */
        String entry(String lifecycle, long startedAtMs) {
            return "{\"instanceId\":\"" + name + "\",\"hostPort\":\"127.0.0.1:" + port + "\",\"zone\":\"" + zone
                    + "\",\"machineType\":\"" + kind + "\",\"cell\":0,\"lifecycle\":\"" + lifecycle
                    + "\",\"weight\":4,\"startedAtMs\":" + startedAtMs + "}";
        }

        @Override
        public void close() throws IOException {
            listener.close();
            for (Link link : links) {
                link.socket.close();
            }
        }
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') {
                return line.toString(StandardCharsets.US_ASCII).stripTrailing();
            }
            line.write(next);
        }
        return null;
    }

    // ---- clients -----------------------------------------------------------------------------------------

    /** What became of one request. */
    static final class Sent {
        final String call;
        final int stream;
        final String item;
        final long sentAt;
        volatile int code = -1; // 1 served, 0 refused, 9 failed; -1 none yet
        volatile int answers;
        volatile byte[] body;
        volatile Map<String, String> fields = Map.of();
        volatile long answeredAt;
        volatile boolean connectionEnded;
        volatile long endedAt;
        volatile boolean withdrawn;
        volatile long ttl;
        volatile long lastByteAt;
        final CountDownLatch done = new CountDownLatch(1);

        Sent(String call, int stream, String item, long sentAt) {
            this.call = call;
            this.stream = stream;
            this.item = item;
            this.sentAt = sentAt;
        }

        boolean await(long millis) throws InterruptedException {
            return done.await(millis, TimeUnit.MILLISECONDS);
        }
    }

    /** The slack of the protocol page (50 ms) and the half second in which a final answer only earns nothing. */
    static final long LATEST_MILLIS = 550;

    /** Why a request is lost by the pages; null if it isn't. To be asked once its time and the slack have passed. */
    static String lost(Sent sent) {
        if (sent.withdrawn) {
            return null;
        }
        if (sent.answers == 0) {
            return sent.connectionEnded ? "its connection ended without an answer" : "it was never answered";
        }
        if (sent.answers > 1) {
            return "it was answered " + sent.answers + " times";
        }
        long late = sent.answeredAt - sent.lastByteAt - sent.ttl;
        return late > LATEST_MILLIS ? "its answer came " + late + " ms after its time" : null;
    }

    static final AtomicLong CALLS = new AtomicLong(System.nanoTime());

    /** One client connection. */
    final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        final Map<Integer, Sent> open = new ConcurrentHashMap<>();
        private final DataOutputStream out;
        private int lastStream;
        volatile boolean drained;
        volatile boolean ended;
        volatile boolean toldOfError; // on stream 0
        volatile long endedAt;
        private volatile int readiness = -1;
        private CountDownLatch readinessAnswer = new CountDownLatch(1);

        Client(int port, Integer receiveBuffer) throws IOException {
            if (receiveBuffer != null) {
                socket.setReceiveBufferSize(receiveBuffer);
            }
            socket.connect(new InetSocketAddress(LOOPBACK, port), 2_000);
            socket.setTcpNoDelay(true);
            out = new DataOutputStream(socket.getOutputStream());
            Rig.start(this::read);
        }

        private void read() throws Exception {
            try {
                DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream(), 65_536));
                while (true) {
                    int length = in.readInt();
                    byte[] frame = new byte[length];
                    in.readFully(frame);
                    handle(new DataInputStream(new java.io.ByteArrayInputStream(frame)));
                }
            } finally {
                endedAt = millis();
                ended = true;
                open.values().forEach(sent -> {
                    sent.endedAt = sent.connectionEnded ? sent.endedAt : millis();
                    sent.connectionEnded = true;
                    sent.done.countDown();
                });
                socket.close();
            }
        }

        private void handle(DataInputStream frame) throws IOException {
            int type = frame.readUnsignedByte();
            int stream = frame.readInt();
            if (type == 3) {
                drained = true;
            } else if (type == 2) {
                readiness = frame.readUnsignedByte();
                readinessAnswer.countDown();
            } else if (type == 8 && stream != 0) {
                int code = frame.readUnsignedByte();
                Map<String, String> fields = new LinkedHashMap<>();
                for (int left = frame.readUnsignedByte(); left > 0; left--) {
                    byte[] name = new byte[frame.readUnsignedByte()];
                    frame.readFully(name);
                    byte[] value = new byte[frame.readUnsignedShort()];
                    frame.readFully(value);
                    fields.put(new String(name, StandardCharsets.UTF_8), new String(value, StandardCharsets.UTF_8));
                }
                Sent sent = open.get(stream);
                if (sent != null) {
                    sent.answers++;
                    sent.code = code;
                    sent.fields = fields;
                    sent.body = frame.readAllBytes();
                    sent.answeredAt = millis();
                    sent.done.countDown();
                }
            } else if (type == 8) {
                toldOfError = true;
            }
        }

        boolean ready(long millis) throws IOException, InterruptedException {
            synchronized (out) {
                out.writeInt(6);
                out.writeByte(1);
                out.writeInt(0);
                out.writeByte(0);
                out.flush();
            }
            readinessAnswer.await(millis, TimeUnit.MILLISECONDS);
            return readiness == 1;
        }

        static byte[] fields(String... namesAndValues) throws IOException {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            DataOutputStream data = new DataOutputStream(bytes);
            data.writeByte(namesAndValues.length / 2);
            for (int i = 0; i < namesAndValues.length; i += 2) {
                byte[] name = namesAndValues[i].getBytes(StandardCharsets.UTF_8);
                byte[] value = namesAndValues[i + 1].getBytes(StandardCharsets.UTF_8);
                data.writeByte(name.length);
                data.write(name);
                data.writeShort(value.length);
                data.write(value);
            }
            return bytes.toByteArray();
        }

        /** The whole frame of a request. */
        byte[] frame(int stream, String call, String op, long ttl, String item, int piece, int lot, String tag, byte[] body)
                throws IOException {
            byte[] fields = tag == null
                    ? fields("op", op, "call", call, "ttl", "" + ttl, "row", item, "piece", "" + piece, "lot", "" + lot)
                    : fields(
                            "op", op, "call", call, "ttl", "" + ttl, "row", item, "piece", "" + piece, "lot", "" + lot,
                            "ver", tag);
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            DataOutputStream data = new DataOutputStream(bytes);
            data.writeInt(5 + fields.length + body.length);
            data.writeByte(7);
            data.writeInt(stream);
            data.write(fields);
            data.write(body);
            return bytes.toByteArray();
        }

        synchronized Sent request(String op, long ttl, String item, int piece, int lot, byte[] body) throws IOException {
            String call = String.format("%016x", CALLS.incrementAndGet());
            Sent sent = new Sent(call, ++lastStream, item, millis());
            open.put(sent.stream, sent);
            byte[] frame = frame(sent.stream, call, op, ttl, item, piece, lot, null, body);
            sent.ttl = ttl;
            synchronized (out) {
                out.write(frame);
                out.flush();
            }
            sent.lastByteAt = millis();
            return sent;
        }

        void cancel(Sent sent) throws IOException {
            sent.withdrawn = true;
            synchronized (out) {
                out.writeInt(5);
                out.writeByte(9);
                out.writeInt(sent.stream);
                out.flush();
            }
        }

        void raw(byte[] bytes) throws IOException {
            synchronized (out) {
                out.write(bytes);
                out.flush();
            }
        }

        /** A request on a new stream that the caller writes itself; it sets the time of the last byte. */
        synchronized Sent prepare(long ttl, String item) {
            String call = String.format("%016x", CALLS.incrementAndGet());
            Sent sent = new Sent(call, ++lastStream, item, millis());
            sent.ttl = ttl;
            open.put(sent.stream, sent);
            return sent;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    static String item(long number) {
        return String.format("%016x", number * 0x9E3779B97F4A7C15L + 1);
    }

    // ---- configuration -----------------------------------------------------------------------------------

    /** A configuration like that of a small wadi-depots, with these listed members and the fields of 'settings' given. */
    static String config(
            String coordinator, int memoryMb, int sockets, List<String> entries, Map<String, String> replace) {
        String json = "{\"name\":\"n0\",\"listen\":\"127.0.0.1:1\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":"
                + memoryMb + ",\"sockets\":" + sockets + "},\"coordinator\":\"" + coordinator
                + "\",\"flow_bytes_per_s\":310000,\"link_bytes_per_s\":1240000,"
                + "\"known\":{\"index\":1,\"updates\":[{\"index\":1,\"endpoints\":{\"generation\":1,\"reset\":true,\"instances\":["
                + String.join(",", entries) + "]}}]},"
                + "\"settings\":{\"az\":\"west\",\"zones\":[\"west\",\"hub\"],\"kinds\":[\"cache\",\"hub\",\"origin\"],"
                + "\"me\":0,\"siblings\":@siblings@,\"classes\":["
                + "{\"name\":\"media-fetch\",\"aim-us\":400000,\"aim-stretch\":2.0,\"deadline-us\":6000000,\"worth\":2,"
                + "\"late-worth\":0.1,\"idempotency\":\"pure\",\"group\":\"all\",\"window-us\":5000000,\"streamed\":false},"
                + "{\"name\":\"booking-write\",\"aim-us\":700000,\"deadline-us\":3000000,\"worth\":3,\"late-worth\":0.1,"
                + "\"idempotency\":\"side_effect\",\"group\":\"all\",\"window-us\":5000000,\"streamed\":false}],"
                + "\"policy-limits\":{\"most-tries\":8,\"max-open\":4000,\"probing\":false,\"may-tell\":false,\"cancelling\":true,"
                + "\"second-copies\":false,\"retry-after\":true,\"max-retry-after-us\":500000,\"connect-timeout-us\":400000,"
                + "\"keepalive-us\":30000000,\"multiplex\":@multiplex@},"
                + "\"obligations\":{\"answer-slack-us\":8000,\"stop-sending-within-us\":1000000,\"cold-from\":0.19,"
                + "\"cold-us\":15000000,\"tip-multiple\":4,\"overload-for-us\":2000000},"
                + "\"specifics\":{\"pass-through-ok\":true,\"can-join\":true,\"sideways\":\"any\",\"note-level\":\"hit\","
                + "\"shield-kind\":1,\"store-kind\":2,\"never-kept\":[false,true],\"class-parts\":[true,false],"
                + "\"good-for-us\":[0,0],\"class-grace-us\":[0,0],\"worth-when-old\":[0.5,0.5],\"crew-by-zone\":[@siblings@,0],"
                + "\"notice-time-us\":500000,\"purge-settles-us\":6000000,\"parent-starts-at\":0.062,"
                + "\"upper-cold-us\":22000000,\"parent-fall-multiple\":2},"
                + "\"telemetry\":{\"how\":\"answers\",\"columns\":[\"inflight\",\"x1\",\"x0\"]},\"weights\":\"none\"}}";
        Map<String, String> values = new LinkedHashMap<>(Map.of("siblings", "1", "multiplex", "32"));
        values.putAll(replace);
        for (Map.Entry<String, String> value : values.entrySet()) {
            json = json.replace("@" + value.getKey() + "@", value.getValue());
        }
        return json;
    }
}
