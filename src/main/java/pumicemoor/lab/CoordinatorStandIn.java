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
 * Stand-in for the coordinator of an installation. Streams numbered events as server-sent events, starting after the
 * router's Last-Event-ID, and delays each event at random for each router. It owns the list of published events.
 */
final class CoordinatorStandIn implements AutoCloseable {

    private static final long KEEPALIVE_MILLIS = 200; // between the comment lines of an idle stream

    private record Event(long publishedAtMillis, String data) {}

    private final ServerSocket listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
    private final ExecutorService executor;
    private final int jitterMillis;
    private final Random random;
    private final List<Event> events = new ArrayList<>();
    private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();
    private long lastUpdateNumber;
    private volatile long streamDelayMillis; // between a router's request and the first byte of the stream
    private volatile int pendingResets; // number of connections still to be reset after their request

    CoordinatorStandIn(ExecutorService executor, int jitterMillis, long seed) throws IOException {
        this.executor = executor;
        this.jitterMillis = jitterMillis;
        this.random = new Random(seed);
        executor.execute(this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Delays the start of every stream requested from now on, as an overloaded coordinator does. */
    void delayStreams(long millis) {
        streamDelayMillis = millis;
    }

    /** Resets all open connections. */
    void resetOpen() throws IOException {
        for (Socket socket : List.copyOf(openSockets)) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    /** Resets this many of the next connections as soon as their request has been read. */
    void resetNext(int connections) {
        pendingResets = connections;
    }

    /** Publishes an event, given as the JSON fields that follow its index. */
    synchronized void publish(String fields) {
        events.add(new Event(System.currentTimeMillis(), "{\"index\":" + (events.size() + 1) + "," + fields + "}"));
        notifyAll();
    }

    /** Publishes a topology update; its announcement time also confirms all earlier updates. */
    synchronized void publishTopologyUpdate(long updateNumber, String fields) {
        lastUpdateNumber = updateNumber;
        publish("\"shape\":{" + fields + "}");
    }

    /** Returns the JSON fields of all events published so far, without their index. */
    synchronized List<String> eventFields() {
        return events.stream()
                .map(e -> e.data().substring(e.data().indexOf(',') + 1, e.data().length() - 1))
                .toList();
    }

    /** Returns all events published so far as JSON objects. */
    synchronized List<String> eventsAsJson() {
        return events.stream().map(Event::data).toList();
    }

    /** Publishes that all topology updates up to now have been sent. */
    synchronized void publishTopologyComplete() {
        publish("\"shape\":{\"certain_ms\":" + System.currentTimeMillis() + ",\"piece\":" + lastUpdateNumber + "}");
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                executor.execute(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        openSockets.add(socket);
        try (socket) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            int lastEventId = 0;
            for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
                if (line.toLowerCase(java.util.Locale.ROOT).startsWith("last-event-id:")) {
                    lastEventId = Integer.parseInt(
                            line.substring(line.indexOf(':') + 1).trim());
                }
            }
            if (consumeReset()) {
                socket.setSoLinger(true, 0);
                return;
            }
            Thread.sleep(streamDelayMillis);
            OutputStream out = socket.getOutputStream();
            write(out, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n: hello\n\n");
            while (!listener.isClosed()) {
                Event next = awaitEvent(lastEventId);
                if (next == null) {
                    write(out, ": \n\n");
                    continue;
                }
                int delay = jitterMillis == 0 ? 0 : random.nextInt(jitterMillis);
                long wait = next.publishedAtMillis() + delay - System.currentTimeMillis();
                if (wait > 0) {
                    Thread.sleep(wait);
                }
                lastEventId++;
                write(out, "id: " + lastEventId + "\ndata: " + next.data() + "\n\n");
            }
        } catch (IOException e) {
            // the router has closed the connection
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            openSockets.remove(socket);
        }
    }

    private synchronized boolean consumeReset() {
        if (pendingResets == 0) {
            return false;
        }
        pendingResets--;
        return true;
    }

    private synchronized Event awaitEvent(int lastEventId) throws InterruptedException {
        if (lastEventId >= events.size()) {
            wait(KEEPALIVE_MILLIS);
        }
        return lastEventId < events.size() ? events.get(lastEventId) : null;
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
