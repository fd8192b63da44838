import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Bad clients that each send one frame with a wrong length, the largest that the protocol allows, of which the last two
 * bytes never come. Usual clients ask on meanwhile; each of their requests is owed one final answer.
 */
public final class HalfFrames {

    private static final int SOCKETS = 1_024;
    private static final int BAD_CLIENTS = 200; // with the usual ones under a third of the descriptors (341)
    private static final int USUAL_CLIENTS = 10;
    private static final int REQUESTS = 500;
    private static final long GAP_MILLIS = 20; // 50 requests a second, on all usual connections together
    private static final long MEDIA_TTL = 6_000;
    private static final long BOOKING_TTL = 3_000;
    private static final int FRAME_LENGTH = 262_144;
    private static final int BYTES_SENT = FRAME_LENGTH + 4 - 2;

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig(args);
        try {
            play(rig);
        } catch (Exception e) {
            rig.finish(2, "the case couldn't run: " + e);
        }
    }

    private static void play(Rig rig) throws Exception {
        Rig.Behaviour cache = ask -> rig.later.schedule(
                () -> {
                    try {
                        ask.data(60_000, "mem");
                    } catch (IOException e) {
                        rig.say("%s: the connection of %s has ended", ask.member.name, ask.id);
                    }
                },
                30,
                TimeUnit.MILLISECONDS);
        List<Rig.Member> members = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            members.add(rig.add(rig.new Member("box-" + i, "west", "cache", cache)));
        }
        members.add(rig.add(rig.new Member("hub-a", "hub", "hub", cache)));
        members.add(rig.add(rig.new Member("store", "hub", "origin", ask -> ask.data(100, "mem"))));
        Rig.Coordinator coordinator = rig.add(rig.new Coordinator(1));
        List<String> entries = members.stream().map(m -> m.entry("active", 0)).toList();
        Rig.Router router = rig.add(rig.new Router(
                "n0", Rig.freePort(), Rig.config(coordinator.address(), 192, SOCKETS, entries, Map.of())));
        if (!router.awaitReady(30_000)) {
            rig.finish(2, "the router is not ready");
        }
        List<Rig.Sent> all = Collections.synchronizedList(new ArrayList<>());
        Thread usual = new Thread(() -> ask(rig, router, all));
        usual.start();
        Rig.sleep(2_000);
        List<Rig.Client> bad = new ArrayList<>();
        if (rig.trouble) {
            byte[] frame = Arrays.copyOf(
                    ByteBuffer.allocate(9).putInt(FRAME_LENGTH).put((byte) 7).putInt(1).array(), BYTES_SENT);
            for (int i = 0; i < BAD_CLIENTS; i++) {
                Rig.Client client = rig.new Client(router.port, null);
                bad.add(client);
                Rig.start(() -> client.raw(frame));
            }
            rig.say("%d bad clients: a frame of length %d, of which %d bytes are sent", bad.size(), FRAME_LENGTH,
                    BYTES_SENT - 4);
            Rig.sleep(3_000);
            rig.say("3 s later %d of them have been told nothing and not been closed",
                    bad.stream().filter(c -> !c.ended && !c.toldOfError).count());
            for (Rig.Client client : bad) {
                client.close();
            }
            rig.say("the bad clients have gone");
        }
        usual.join();
        Rig.sleep(MEDIA_TTL + Rig.LATEST_MILLIS + 500);
        Map<String, Integer> ends = new TreeMap<>();
        int lost = 0;
        for (Rig.Sent sent : all) {
            String why = Rig.lost(sent);
            lost += why == null ? 0 : 1;
            ends.merge(why != null ? "lost" : sent.code == 1 ? "served" : sent.code == 0 ? "refused" : "failed", 1,
                    Integer::sum);
            rig.say("request %s item %s sent at %d ms, ttl %d: code %d after %d ms%s", sent.call, sent.item, sent.sentAt,
                    sent.ttl, sent.code, sent.answers == 0 ? -1 : sent.answeredAt - sent.lastByteAt,
                    why == null ? "" : "  LOST: " + why);
        }
        rig.say("of %d requests: %s; the process is %s", all.size(), ends, router.process.isAlive() ? "alive" : "gone");
        rig.say("peak memory of the process: %s", router.peakMemory());
        rig.finish(lost > 0 ? 1 : 0, lost + " of " + all.size() + " requests of usual clients were lost");
    }

    private static void ask(Rig rig, Rig.Router router, List<Rig.Sent> all) {
        Rig.Client[] clients = new Rig.Client[USUAL_CLIENTS];
        for (int n = 0; n < REQUESTS; n++) {
            int who = n % USUAL_CLIENTS;
            try {
                if (clients[who] == null || clients[who].ended || clients[who].drained) {
                    clients[who] = rig.new Client(router.port, null);
                }
                all.add(n % 16 == 0
                        ? clients[who].request("booking-write", BOOKING_TTL, Rig.item(n), 0, 3, new byte[400])
                        : clients[who].request("media-fetch", MEDIA_TTL, Rig.item(n % 40), n % 5, 3, new byte[0]));
            } catch (IOException e) {
                clients[who] = null; // a request that could not be written whole counts for nothing
            }
            try {
                Rig.sleep(GAP_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
