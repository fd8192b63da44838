package review2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A client has a request for a large object open and writes a booking of 48,000 bytes beside it on the same connection,
 * slowly: the whole of it takes 2.5 s. Every request whose last byte was written has to get its one final answer.
 */
final class SlowClient {
    private static final int LARGE_MS = 3_200; // sending time of the large object; the others take 100 ms
    private static final int WRITE_MS = 2_500;
    private static final int BODY = 47_900;
    private static final int ROUNDS = 4;

    private SlowClient() {}

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig(Path.of(args[0]));
        Rig.run(rig, () -> play(rig));
    }

    private static boolean play(Rig rig) throws Exception {
        Coordinator coordinator = new Coordinator(rig);
        List<Member> caches = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            caches.add(new Member(rig, "box-" + i, 2_000, ask -> ask.fields().get("item").startsWith("aaaa")
                    ? LARGE_MS
                    : 300));
        }
        Member hub = new Member(rig, "hub-1", 2_000, ask -> 300);
        Member store = new Member(rig, "store-1", 100, ask -> 30);
        List<String> lines = new ArrayList<>();
        caches.forEach(c -> lines.add(c.listLine("depot-1", "box-a", 4, "active", 0)));
        lines.add(hub.listLine("central", "hub", 8, "active", 0));
        lines.add(store.listLine("central", "store", 16, "active", 0));
        coordinator.publish("\"endpoints\":{\"generation\":1,\"reset\":true,\"instances\":["
                + String.join(",", lines) + "]}");
        Rig.Router router = rig.new Router("n1", Site.config(coordinator, 0, 1), null);
        router.start().awaitReady();
        int lost = 0;
        for (int round = 0; round < ROUNDS; round++) {
            lost += round(rig, router.port, round) ? 0 : 1;
        }
        rig.say(lost + " of " + ROUNDS + " bookings were written whole to an accepted connection and never answered");
        return lost == 0;
    }

    /** Returns whether the booking was answered, or its last byte could not be written any more. */
    private static boolean round(Rig rig, int port, int round) throws Exception {
        try (Client client = new Client(rig, "client-" + round, port)) {
            for (int i = 0; i < 5; i++) { // usual requests first: the client is one that the router knows
                client.send("media-fetch", Client.newId(), 6_000, String.format("%016x", 0x1000L + 8 * round + i), 0, 3);
                Thread.sleep(150);
            }
            Thread.sleep(500);
            int large = client.send("media-fetch", Client.newId(), 6_000, String.format("aaaa%012x", round), 0, 3);
            Thread.sleep(100);
            String id = Client.newId();
            byte[] frame = client.request("booking-write", id, 3_000, String.format("%016x", 0x9000L + round), 0, 3,
                    new byte[BODY]);
            int booking = client.lastStream();
            int pieces = rig.trouble ? 25 : 1;
            rig.note(client.name + ": booking " + id + " on stream " + booking + ", in " + pieces + " pieces");
            for (int i = 0; i < pieces; i++) {
                client.write(frame, frame.length * i / pieces, frame.length * (i + 1) / pieces);
                if (i < pieces - 1) {
                    Thread.sleep(WRITE_MS / (pieces - 1));
                }
            }
            long writtenAt = rig.ms();
            boolean ended = client.endedAtMs >= 0;
            rig.note(client.name + ": the last byte of booking " + id + " is written"
                    + (ended ? ", after the end of the connection" : "; the connection is open both ways"));
            long until = writtenAt + 3_000 + 550; // up to half a second after its time it only earns nothing
            while (rig.ms() < until && !client.answers.containsKey(booking)) {
                Thread.sleep(10);
            }
            Client.Answer answer = client.answers.get(booking);
            Client.Answer other = client.answers.get(large);
            rig.say(client.name + ": large object " + (other == null ? "not answered" : "code " + other.code() + " at "
                    + other.atMs() + " ms") + "; booking written at " + writtenAt + " ms: "
                    + (answer == null
                            ? "no answer" + (client.endedAtMs >= 0 ? ", connection ended at " + client.endedAtMs + " ms" : "")
                            : "code " + answer.code() + " at " + answer.atMs() + " ms"));
            return answer != null || ended;
        }
    }
}
