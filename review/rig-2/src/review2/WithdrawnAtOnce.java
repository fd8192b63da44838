package review2;

import java.io.BufferedOutputStream;
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
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Twenty bad clients send 30 requests each and take them back at once, again and again, at full speed, for 12 s; they
 * read what they are sent. A usual client beside them asks 40 times a second. Each of its requests has to get its one
 * final answer, half a second after its time at the latest.
 */
final class WithdrawnAtOnce {
    private static final int BAD_CLIENTS = 20;
    private static final int AT_ONCE = 30; // of the 32 that may be open on a connection
    private static final int BAD_MS = 12_000;
    private static final int USUAL_MS = 20_000;

    private static final AtomicLong SENT = new AtomicLong(); // requests of the bad clients

    private WithdrawnAtOnce() {}

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig(Path.of(args[0]));
        Rig.run(rig, () -> play(rig));
    }

    /** A request of the usual client. */
    private record Sent(Client client, int stream, String what, long atMs, long ttlMs) {}

    private static boolean play(Rig rig) throws Exception {
        Coordinator coordinator = new Coordinator(rig);
        List<Member> caches = new ArrayList<>();
        List<String> lines = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            caches.add(new Member(rig, "box-" + i, 2_000, ask -> 60));
        }
        Member hub = new Member(rig, "hub-1", 2_000, ask -> 80);
        Member store = new Member(rig, "store-1", 64, ask -> 60);
        caches.forEach(c -> lines.add(c.listLine("depot-1", "box-a", 8, "active", 0)));
        lines.add(hub.listLine("central", "hub", 16, "active", 0));
        lines.add(store.listLine("central", "store", 64, "active", 0));
        coordinator.publish("\"endpoints\":{\"generation\":1,\"reset\":true,\"instances\":["
                + String.join(",", lines) + "]}");
        Rig.Router router = rig.new Router("n1", Site.config(coordinator, 0, 1), null);
        router.start().awaitReady();
        Random random = new Random(3);
        List<Sent> sent = new ArrayList<>();
        Client client = null;
        long startAt = rig.ms();
        boolean badStarted = false;
        while (rig.ms() < startAt + USUAL_MS) {
            if (rig.trouble && !badStarted && rig.ms() > startAt + 3_000) {
                badStarted = true;
                rig.note("TROUBLE: " + BAD_CLIENTS + " bad clients for " + BAD_MS + " ms");
                long until = rig.ms() + BAD_MS;
                for (int i = 0; i < BAD_CLIENTS; i++) {
                    Coordinator.daemon(() -> beBad(rig, router.port, until));
                }
            }
            if (client == null || client.endedAtMs >= 0 || client.told || client.lastStream() >= 100) {
                client = new Client(rig, "client", router.port);
            }
            boolean booking = random.nextInt(8) == 0;
            long ttl = booking ? 3_000 : 6_000;
            String row = String.format("7f3a%012x", random.nextInt(60));
            // a client has at most 32 requests open on one connection
            if (client.lastStream() - client.answers.size() >= 30) {
                client = new Client(rig, "client", router.port);
            }
            int stream = client.send(booking ? "booking-write" : "media-fetch", Client.newId(), ttl, row, 0, 17);
            sent.add(new Sent(client, stream, booking ? "booking-write" : "media-fetch", rig.ms(), ttl));
            Thread.sleep(25);
        }
        Thread.sleep(7_000);
        int never = 0;
        int late = 0;
        long slowest = 0;
        for (Sent each : sent) {
            Client.Answer answer = each.client().answers.get(each.stream());
            long took = answer == null ? Long.MAX_VALUE : answer.atMs() - each.atMs();
            slowest = answer == null ? slowest : Math.max(slowest, took);
            never += answer == null ? 1 : 0;
            late += answer != null && took > each.ttlMs() + 500 + 50 ? 1 : 0;
            if (answer == null || took > each.ttlMs() + 550) {
                rig.note("lost: " + each.what() + " sent at " + each.atMs() + " ms, "
                        + (answer == null ? "never answered" : "answered after " + took + " ms"));
            }
        }
        rig.say("the bad clients sent and took back " + SENT.get() + " requests");
        rig.say("of " + sent.size() + " usual requests " + never + " were not answered at all, " + late
                + " over half a second after their time; the slowest answer took " + slowest + " ms");
        rig.say(String.format(
                Locale.ROOT,
                "by the router's log its loop was held up %d times, for %d ms at most; the process %s",
                router.log().lines().filter(l -> l.contains("the event loop was stalled")).count(),
                router.log().lines().filter(l -> l.contains("the event loop was stalled"))
                        .mapToLong(l -> Long.parseLong(l.replaceAll(".*stalled for (\\d+) ms.*", "$1")))
                        .max().orElse(0),
                router.process.isAlive() ? "lives" : "has ended"));
        return never + late == 0;
    }

    private static void beBad(Rig rig, int port, long until) {
        while (rig.ms() < until) {
            try (Socket socket = new Socket("127.0.0.1", port)) {
                socket.setTcpNoDelay(true);
                Coordinator.daemon(() -> drain(socket));
                OutputStream out = new BufferedOutputStream(socket.getOutputStream(), 1 << 15);
                int stream = 0;
                while (rig.ms() < until) {
                    int first = stream + 1;
                    for (int i = 0; i < AT_ONCE; i++) {
                        out.write(request(++stream));
                    }
                    out.flush();
                    Thread.sleep(1);
                    for (int i = first; i <= stream; i++) {
                        out.write(ByteBuffer.allocate(9).putInt(5).put((byte) 9).putInt(i).array());
                    }
                    out.flush();
                    SENT.addAndGet(AT_ONCE);
                }
            } catch (IOException e) {
                // closed: the client comes again
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Reads what the router sends. */
    private static void drain(Socket socket) {
        try {
            InputStream in = socket.getInputStream();
            byte[] bytes = new byte[65_536];
            while (in.read(bytes) >= 0) {
                // nothing to keep
            }
        } catch (IOException e) {
            // closed
        }
    }

    /** A request that can be used, for an object that no other request names. */
    private static byte[] request(int stream) {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        String[] fields = {
            "op", "media-fetch", "call", String.format("%016x", random.nextLong()), "ttl", "3000",
            "row", String.format("%016x", random.nextLong()), "piece", "0", "lot", "3"
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
        return ByteBuffer.allocate(9 + payload.size())
                .putInt(5 + payload.size())
                .put((byte) 7)
                .putInt(stream)
                .put(payload.toByteArray())
                .array();
    }
}
