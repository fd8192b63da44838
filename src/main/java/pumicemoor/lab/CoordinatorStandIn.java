package pumicemoor.lab;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;

/**
 * The coordinator of an installation: tells numbered events as server-sent events, from the one asked for on,
 * each router after a delay of its own. It owns the list of what was told.
 */
final class CoordinatorStandIn implements AutoCloseable {

    private static final long BEAT = 200; // milliseconds between looks at what is due

    private record Event(long at, String data) {}

    private final ServerSocket listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
    private final ExecutorService work;
    private final int jitter;
    private final Random random;
    private final List<Event> events = new ArrayList<>();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private long lastPiece;
    private volatile long answerDelay; // milliseconds between a router's question and the first byte of the stream
    private volatile int resets; // connections still to be reset as soon as they ask

    CoordinatorStandIn(ExecutorService work, int jitterMillis, long seed) throws IOException {
        this.work = work;
        this.jitter = jitterMillis;
        this.random = new Random(seed);
        work.execute(this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** From now on it is crowded: each stream that is asked for begins so many milliseconds late. */
    void answerLate(long millis) {
        answerDelay = millis;
    }

    /** Resets all connections that are open now. */
    void resetOpen() throws IOException {
        for (Socket socket : List.copyOf(open)) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    /** Resets so many of the next connections as soon as they have asked. */
    void resetNext(int connections) {
        resets = connections;
    }

    /** Tells an event, written as the fields behind its index. */
    synchronized void tell(String fields) {
        events.add(new Event(System.currentTimeMillis(), "{\"index\":" + (events.size() + 1) + "," + fields + "}"));
        notifyAll();
    }

    /** Tells a piece of the hierarchy; from its announcement on all earlier news is certain. */
    synchronized void piece(long number, String fields) {
        lastPiece = number;
        tell("\"shape\":{" + fields + "}");
    }

    /** The fields of all events told so far, without their index. */
    synchronized List<String> events() {
        return events.stream()
                .map(e -> e.data().substring(e.data().indexOf(',') + 1, e.data().length() - 1))
                .toList();
    }

    /** All that was told so far. */
    synchronized List<String> known() {
        return events.stream().map(Event::data).toList();
    }

    /** Says that all pieces until now have been told. */
    synchronized void certain() {
        tell("\"shape\":{\"certain_ms\":" + System.currentTimeMillis() + ",\"piece\":" + lastPiece + "}");
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                work.execute(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        open.add(socket);
        try (socket) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            int last = 0;
            for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
                if (line.toLowerCase(java.util.Locale.ROOT).startsWith("last-event-id:")) {
                    last = Integer.parseInt(
                            line.substring(line.indexOf(':') + 1).trim());
                }
            }
            if (resetThis()) {
                socket.setSoLinger(true, 0);
                return;
            }
            Thread.sleep(answerDelay);
            OutputStream out = socket.getOutputStream();
            write(out, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n: hello\n\n");
            while (!listener.isClosed()) {
                Event next = await(last);
                if (next == null) {
                    write(out, ": \n\n");
                    continue;
                }
                int delay = jitter == 0 ? 0 : random.nextInt(jitter);
                long wait = next.at() + delay - System.currentTimeMillis();
                if (wait > 0) {
                    Thread.sleep(wait);
                }
                last++;
                write(out, "id: " + last + "\ndata: " + next.data() + "\n\n");
            }
        } catch (IOException e) {
            // the router has left
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            open.remove(socket);
        }
    }

    private synchronized boolean resetThis() {
        if (resets == 0) {
            return false;
        }
        resets--;
        return true;
    }

    private synchronized Event await(int last) throws InterruptedException {
        if (last >= events.size()) {
            wait(BEAT);
        }
        return last < events.size() ? events.get(last) : null;
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
