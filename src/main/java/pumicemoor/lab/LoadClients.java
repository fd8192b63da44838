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
 * Clients that ask at a steady rate whatever is answered, over a few connections to each router, and write down
 * how every single request ended. A router that is away is tried again; what it owed counts as lost.
 */
final class LoadClients implements AutoCloseable {

    /** How a request ended for its client. */
    enum End {
        SERVED,
        REFUSED,
        FAILED,
        LOST,
        TWICE,
        LATE
    }

    /** One request: when it was asked (milliseconds since the clients began), how it ended, how long that took. */
    record Done(long at, End end, long micros) {}

    private static final int REQUEST = 7;
    private static final int ANSWER = 8;
    private static final int CLOSE = 3;
    private static final long GRACE = 300; // milliseconds past the deadline before an answer is late

    private final Record record;
    private final Scenario scenario;
    private final List<Line> lines = new ArrayList<>();
    private final List<Done> done = new ArrayList<>();
    private final Random random;
    private long calls;

    LoadClients(Scenario scenario, Record record, List<String> routers) {
        this.scenario = scenario;
        this.record = record;
        this.random = new Random(scenario.seed());
        for (String router : routers) {
            lines.add(new Line(router));
            lines.add(new Line(router));
        }
    }

    private synchronized void done(Done d) {
        done.add(d);
    }

    synchronized List<Done> done() {
        return List.copyOf(done);
    }

    /** Asks for one object, on a line to a router that is there; an object low in number is asked for more often. */
    void askNext() {
        int rank = (int) (scenario.objects() * Math.pow(random.nextDouble(), 2));
        String object = String.format("%016x", 0x9e3779b97f4a7c15L * (rank + 1));
        Line line = lines.get((int) (calls++ % lines.size()));
        for (int i = 0; i < lines.size() && !line.usable(); i++) {
            line = lines.get((lines.indexOf(line) + 1) % lines.size());
        }
        line.ask(object);
    }

    /** How many are open. */
    int open() {
        return lines.stream().mapToInt(l -> l.open.size()).sum();
    }

    /** Counts what is still open long after its deadline as lost. */
    void finish() {
        lines.forEach(Line::end);
    }

    @Override
    public void close() {
        finish();
    }

    private record Open(long at, long nanos) {}

    /** One connection, opened again when it has ended. */
    private final class Line {
        private final InetSocketAddress address;
        private volatile Map<Integer, Open> open = new ConcurrentHashMap<>(); // of this connection
        private Socket socket;
        private DataOutputStream out;
        private int streams;
        private long tryAt;
        private volatile boolean draining;

        Line(String address) {
            int colon = address.lastIndexOf(':');
            this.address =
                    new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        }

        private synchronized boolean usable() {
            if ((socket == null || socket.isClosed() || draining) && System.nanoTime() - tryAt > 20_000_000L) {
                tryAt = System.nanoTime();
                try {
                    Socket fresh = new Socket();
                    fresh.setTcpNoDelay(true);
                    fresh.connect(address, 200);
                    socket = fresh;
                    streams = 0;
                    draining = false;
                    out = new DataOutputStream(fresh.getOutputStream());
                    Map<Integer, Open> mine = new ConcurrentHashMap<>();
                    open = mine;
                    Thread reader = new Thread(() -> read(fresh, mine), "lab-client");
                    reader.setDaemon(true);
                    reader.start();
                } catch (IOException e) {
                    socket = null;
                }
            }
            return socket != null && !socket.isClosed() && !draining && open.size() < 30;
        }

        synchronized void ask(String object) {
            long at = record.now();
            if (!usable()) {
                done(new Done(at, End.LOST, 0));
                return;
            }
            int stream = ++streams;
            open.put(stream, new Open(at, System.nanoTime()));
            try {
                Map<String, String> fields = new LinkedHashMap<>();
                fields.put("op", "file");
                fields.put("call", String.format("%016x", random.nextLong()));
                fields.put("ttl", Integer.toString(scenario.deadlineMillis()));
                fields.put("row", object);
                fields.put("lot", "1");
                ByteArrayOutputStream bytes = new ByteArrayOutputStream();
                DataOutputStream frame = new DataOutputStream(bytes);
                frame.writeByte(REQUEST);
                frame.writeInt(stream);
                frame.writeByte(fields.size());
                for (Map.Entry<String, String> f : fields.entrySet()) {
                    frame.writeByte(f.getKey().length());
                    frame.writeBytes(f.getKey());
                    frame.writeShort(f.getValue().length());
                    frame.write(f.getValue().getBytes(StandardCharsets.US_ASCII));
                }
                out.writeInt(bytes.size());
                bytes.writeTo(out);
                out.flush();
            } catch (IOException e) {
                lose(open);
            }
        }

        private void read(Socket from, Map<Integer, Open> mine) {
            try (from) {
                Set<Integer> answered = new HashSet<>();
                DataInputStream in = new DataInputStream(new BufferedInputStream(from.getInputStream()));
                while (true) {
                    int length = in.readInt();
                    int type = in.readUnsignedByte();
                    int stream = in.readInt();
                    byte[] payload = in.readNBytes(length - 5);
                    if (type == CLOSE) {
                        draining = true;
                    } else if (type == ANSWER) {
                        answered(mine.remove(stream), answered.add(stream), payload[0]);
                    }
                }
            } catch (IOException e) {
                lose(mine);
            }
        }

        private void answered(Open request, boolean first, int code) {
            if (request == null) {
                done(new Done(record.now(), first ? End.LATE : End.TWICE, 0));
                return;
            }
            long micros = (System.nanoTime() - request.nanos()) / 1_000;
            boolean late = micros / 1_000 > scenario.deadlineMillis() + GRACE;
            done(new Done(
                    request.at(),
                    late ? End.LATE : code == 1 ? End.SERVED : code == 0 ? End.REFUSED : End.FAILED,
                    micros));
        }

        private synchronized void end() {
            if (socket != null) {
                try {
                    socket.close();
                } catch (IOException e) {
                    // it was closed already
                }
            }
            lose(open);
        }

        private void lose(Map<Integer, Open> mine) {
            for (Integer stream : List.copyOf(mine.keySet())) {
                Open lost = mine.remove(stream);
                if (lost != null) {
                    done(new Done(lost.at(), End.LOST, 0));
                }
            }
        }
    }
}
