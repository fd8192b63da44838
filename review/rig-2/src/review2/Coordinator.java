package review2;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Stand-in for the coordinator: GET /v2/stream with Last-Event-ID gives the events after that number as server-sent
 * events, and a comment every second. It can be slow to answer a new stream, break the open ones, and be down.
 */
final class Coordinator implements AutoCloseable {
    private final Rig rig;
    private final List<String> events = new ArrayList<>(); // from number 1 on
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final int port;
    private volatile ServerSocket listener;
    volatile long answerDelayMs; // from a stream's request until its answer begins

    Coordinator(Rig rig) throws IOException {
        this.rig = rig;
        this.port = Rig.freePort();
        up();
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    /** Listens again. */
    void up() throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 64);
        listener = socket;
        daemon(() -> accept(socket));
    }

    /** Takes no new connection and closes the open ones. */
    void down() throws IOException {
        listener.close();
        breakStreams();
    }

    /** Ends all open streams; a router may ask again at once. */
    void breakStreams() throws IOException {
        for (Socket socket : List.copyOf(open)) {
            socket.close();
        }
    }

    /** Adds an event, given by its fields without the number; from now on the coordinator has it to tell. */
    synchronized int publish(String fields) {
        events.add("{\"index\":" + (events.size() + 1) + "," + fields + "}");
        notifyAll();
        rig.note("coordinator: event " + events.size() + ": " + fields);
        return events.size();
    }

    /** The field 'known' of a configuration: all events so far. */
    synchronized String known() {
        return "{\"index\":" + events.size() + ",\"updates\":[" + String.join(",", events) + "]}";
    }

    private void accept(ServerSocket socket) {
        while (!socket.isClosed()) {
            try {
                Socket connection = socket.accept();
                open.add(connection);
                daemon(() -> serve(connection));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            int last = 0;
            for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
                if (line.toLowerCase(java.util.Locale.ROOT).startsWith("last-event-id:")) {
                    last = Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
                }
            }
            rig.note("coordinator: a stream is asked for from event " + last + ", answered in " + answerDelayMs
                    + " ms");
            Thread.sleep(answerDelayMs);
            OutputStream out = socket.getOutputStream();
            write(out, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n: hello\n\n");
            long commentAt = System.currentTimeMillis();
            while (true) {
                String event = next(last, commentAt + 1_000 - System.currentTimeMillis());
                if (event != null) {
                    last++;
                    write(out, "id: " + last + "\ndata: " + event + "\n\n");
                    rig.note("coordinator: event " + last + " is written to a stream");
                }
                // what was missed is written first, so that the comment says that all has been told
                if (System.currentTimeMillis() - commentAt >= 1_000 && next(last, 0) == null) {
                    commentAt = System.currentTimeMillis();
                    write(out, ": \n\n");
                }
            }
        } catch (IOException e) {
            rig.note("coordinator: a stream has ended (" + e.getMessage() + ")");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            open.remove(socket);
        }
    }

    private synchronized String next(int last, long waitMs) throws InterruptedException {
        if (last >= events.size() && waitMs > 0) {
            wait(waitMs);
        }
        return last < events.size() ? events.get(last) : null;
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        down();
    }
}
