package pumicemoor.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.IntFunction;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import pumicemoor.lab.LoadClients.RequestOutcome;

/** Clients that send frames at full speed, against the real program, with usual clients beside them. */
@Timeout(120)
class FrameFloodProcessesTest {

    private static final long DEADLINE_MILLIS = 4_000; // of the rig's requests
    private static final long LATE_MILLIS = 500; // after the deadline an answer counts as lost
    private static final int FLOOD_SECONDS = 5;
    private static final long PAUSE_MILLIS = 1; // between requests and their cancellations
    private static final int BURST_FRAMES = 50;
    private static final int REQUESTS_AT_ONCE = 30; // of the 32 that may be open on a connection
    private static final byte[] NO_FIELDS = {0};
    private static final byte[] COUNTERS_FIELD = {1, 8, 'c', 'o', 'u', 'n', 't', 'e', 'r', 's', 0, 1, '1'};

    @TempDir
    Path folder;

    /** Guards against clients whose small frames take the event loop from all others (review case 6). */
    @Test
    void requestsAreAnsweredWhileClientsCancelTheirRequestsAtOnce() throws Exception {
        assertRequestsAreAnswered(20, stream -> List.of(requests(stream), cancellations(stream)));
    }

    /** Guards against a recovery from a stall that is a stall itself, as clients send all the while (review case 6). */
    @Test
    void requestsAreAnsweredWhileOneClientSendsCancellations() throws Exception {
        assertRequestsAreAnswered(1, stream -> List.of(cancellations(1)));
    }

    /** Guards against one client whose small frames take the event loop from all others. */
    @Test
    void requestsAreAnsweredWhileOneClientAsksForReadiness() throws Exception {
        assertRequestsAreAnswered(1, stream -> List.of(repeated(frame(1, stream, NO_FIELDS))));
    }

    /** Guards against one client whose small frames take the event loop from all others. */
    @Test
    void requestsAreAnsweredWhileOneClientAsksForCounters() throws Exception {
        assertRequestsAreAnswered(1, stream -> List.of(repeated(frame(1, stream, COUNTERS_FIELD))));
    }

    /** Guards against a turn of the event loop that grows with the number of clients that send. */
    @Test
    void requestsAreAnsweredWhileHundredsOfClientsAskForCounters() throws Exception {
        assertRequestsAreAnswered(200, stream -> List.of(repeated(frame(1, stream, COUNTERS_FIELD))));
    }

    /** Runs load while clients send what the function gives for their next stream, part by part, again and again. */
    private void assertRequestsAreAnswered(int badClients, IntFunction<List<byte[]>> burst) throws Exception {
        try (FleetRig rig = FleetRig.ofSmallProcesses(folder, 1, 1, 4, 50, router -> "", List.of(0))) {
            rig.runLoad(1);
            List<Thread> senders = new ArrayList<>();
            long endNanos = System.nanoTime() + FLOOD_SECONDS * 1_000_000_000L;
            for (int i = 0; i < badClients; i++) {
                Thread sender = new Thread(() -> flood(rig.routers.get(0).address(), burst, endNanos), "flood");
                sender.setDaemon(true);
                sender.start();
                senders.add(sender);
            }
            rig.runLoad(FLOOD_SECONDS);
            for (Thread sender : senders) {
                sender.join();
            }
            Thread.sleep(DEADLINE_MILLIS + LATE_MILLIS);
            assertEquals(0, rig.clients.openRequests(), "requests without an answer");
            Map<RequestOutcome, Long> outcomes = rig.clients.completed().stream()
                    .collect(Collectors.groupingBy(LoadClients.RequestResult::outcome, Collectors.counting()));
            assertTrue(
                    Set.of(RequestOutcome.SERVED, RequestOutcome.REFUSED).containsAll(outcomes.keySet()),
                    outcomes.toString());
            assertTrue(rig.clients.completed().size() > 200, "the clients sent no load");
        }
    }

    /** Connects again and again until the end, and sends as fast as the router reads. */
    private static void flood(String address, IntFunction<List<byte[]>> burst, long endNanos) {
        String[] hostAndPort = address.split(":");
        while (System.nanoTime() < endNanos) {
            try (Socket socket = new Socket(hostAndPort[0], Integer.parseInt(hostAndPort[1]))) {
                socket.setTcpNoDelay(true);
                Thread reader = new Thread(() -> readToTheEnd(socket), "flood-reader");
                reader.setDaemon(true);
                reader.start();
                OutputStream out = socket.getOutputStream();
                for (int stream = 1; System.nanoTime() < endNanos; stream += BURST_FRAMES) {
                    List<byte[]> parts = burst.apply(stream);
                    for (int i = 0; i < parts.size(); i++) {
                        Thread.sleep(i == 0 ? 0 : PAUSE_MILLIS);
                        out.write(parts.get(i));
                    }
                }
            } catch (IOException e) {
                // closed by the router: the client connects again
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private static void readToTheEnd(Socket socket) {
        try {
            InputStream in = socket.getInputStream();
            byte[] buffer = new byte[65_536];
            while (in.read(buffer) >= 0) {
                // nothing is kept
            }
        } catch (IOException e) {
            // closed
        }
    }

    private static byte[] requests(int firstStream) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (int i = 0; i < REQUESTS_AT_ONCE; i++) {
            all.writeBytes(request(firstStream + i));
        }
        return all.toByteArray();
    }

    private static byte[] cancellations(int firstStream) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (int i = 0; i < REQUESTS_AT_ONCE; i++) {
            all.writeBytes(frame(9, firstStream + i, new byte[0]));
        }
        return all.toByteArray();
    }

    private static byte[] repeated(byte[] frame) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (int i = 0; i < BURST_FRAMES; i++) {
            all.writeBytes(frame);
        }
        return all.toByteArray();
    }

    private static byte[] request(int stream) {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        String[] fields = {
            "op",
            "file",
            "call",
            String.format("%016x", random.nextLong()),
            "ttl",
            "3000",
            "row",
            String.format("%016x", random.nextLong()),
            "piece",
            "0",
            "lot",
            "3"
        };
        ByteArrayOutputStream payload = new ByteArrayOutputStream();
        payload.write(fields.length / 2);
        for (int i = 0; i < fields.length; i += 2) {
            payload.write(fields[i].length());
            payload.writeBytes(fields[i].getBytes(StandardCharsets.US_ASCII));
            payload.write(0);
            payload.write(fields[i + 1].length());
            payload.writeBytes(fields[i + 1].getBytes(StandardCharsets.US_ASCII));
        }
        return frame(7, stream, payload.toByteArray());
    }

    private static byte[] frame(int type, int stream, byte[] payload) {
        return ByteBuffer.allocate(9 + payload.length)
                .putInt(5 + payload.length)
                .put((byte) type)
                .putInt(stream)
                .put(payload)
                .array();
    }
}
