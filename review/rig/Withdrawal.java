import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A usual client asks for 32 large objects at once, over a link of the slowest pace that the brief gives, and with the
 * disruption gives up one of them early. Each of the others is owed one final answer.
 */
public final class Withdrawal {

    private static final int ROUNDS = 3;
    private static final int OPEN_REQUESTS = 32;
    private static final int OBJECT_BYTES = 240_000;
    private static final long MEDIA_TTL = 6_000;
    private static final int LINK_BYTES_PER_SECOND = 5_600_000;
    private static final long GIVEN_UP_AFTER_MILLIS = 200;

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig(args);
        try {
            play(rig);
        } catch (Exception e) {
            rig.finish(2, "the case couldn't run: " + e);
        }
    }

    /** A link to the router: what the router sends goes on at the link's pace, what the client sends at once. */
    private static int link(Rig rig, int routerPort) throws IOException {
        ServerSocket listener = new ServerSocket(0, 50, Rig.LOOPBACK);
        rig.add(listener::close);
        Rig.start(() -> {
            while (true) {
                Socket client = listener.accept();
                Socket router = new Socket();
                router.connect(new InetSocketAddress(Rig.LOOPBACK, routerPort));
                client.setTcpNoDelay(true);
                router.setTcpNoDelay(true);
                Rig.start(() -> pass(client, router, 0));
                Rig.start(() -> pass(router, client, LINK_BYTES_PER_SECOND));
            }
        });
        return listener.getLocalPort();
    }

    private static void pass(Socket from, Socket to, long bytesPerSecond) throws Exception {
        byte[] bytes = new byte[16_384];
        long paidUntil = System.nanoTime();
        try (from;
                to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int n = in.read(bytes); n >= 0; n = in.read(bytes)) {
                out.write(bytes, 0, n);
                if (bytesPerSecond > 0) {
                    paidUntil = Math.max(paidUntil, System.nanoTime()) + n * 1_000_000_000L / bytesPerSecond;
                    Rig.sleep((paidUntil - System.nanoTime()) / 1_000_000);
                }
            }
        }
    }

    private static void play(Rig rig) throws Exception {
        Rig.Behaviour cache = ask -> rig.later.schedule(
                () -> {
                    try {
                        ask.data(OBJECT_BYTES, "mem");
                    } catch (IOException e) {
                        rig.say("%s: the connection of %s has ended", ask.member.name, ask.id);
                    }
                },
                50,
                TimeUnit.MILLISECONDS);
        List<Rig.Member> members = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            members.add(rig.add(rig.new Member("box-" + i, "west", "cache", cache)));
        }
        members.add(rig.add(rig.new Member("hub-a", "hub", "hub", cache)));
        members.add(rig.add(rig.new Member("store", "hub", "origin", cache)));
        Rig.Coordinator coordinator = rig.add(rig.new Coordinator(1));
        List<String> entries = members.stream().map(m -> m.entry("active", 0)).toList();
        Rig.Router router = rig.add(rig.new Router(
                "n0", Rig.freePort(), Rig.config(coordinator.address(), 192, 1_024, entries, Map.of())));
        if (!router.awaitReady(30_000)) {
            rig.finish(2, "the router is not ready");
        }
        int port = link(rig, router.port);
        int lost = 0;
        int owed = 0;
        for (int round = 0; round < ROUNDS; round++) {
            Rig.Client client = rig.new Client(port, null);
            List<Rig.Sent> all = new ArrayList<>();
            for (int i = 0; i < OPEN_REQUESTS; i++) {
                all.add(client.request("media-fetch", MEDIA_TTL, Rig.item(round * 100 + i), 0, 3, new byte[0]));
            }
            rig.say("round %d: %d requests are written", round, all.size());
            Rig.sleep(GIVEN_UP_AFTER_MILLIS);
            long answered = all.stream().filter(s -> s.answers > 0).count();
            Rig.Sent last = all.get(OPEN_REQUESTS - 1);
            rig.say("round %d: %d are answered whole; told to bring nothing new: %s", round, answered, client.drained);
            if (rig.trouble) {
                client.cancel(last);
                rig.say("round %d: the client gives up request %s (type 9)", round, last.call);
            }
            Rig.sleep(MEDIA_TTL + Rig.LATEST_MILLIS);
            for (Rig.Sent sent : all) {
                String why = Rig.lost(sent);
                owed += sent.withdrawn ? 0 : 1;
                lost += why == null ? 0 : 1;
                rig.say("request %s item %s sent at %d ms, ttl %d: code %d after %d ms%s%s%s", sent.call, sent.item,
                        sent.sentAt, sent.ttl, sent.code, sent.answers == 0 ? -1 : sent.answeredAt - sent.lastByteAt,
                        sent.withdrawn ? ", given up" : "",
                        sent.connectionEnded ? ", connection ended at " + sent.endedAt + " ms" : "",
                        why == null ? "" : "  LOST: " + why);
            }
            client.close();
        }
        rig.finish(lost > 0 ? 1 : 0, lost + " of " + owed + " requests that nobody gave up were lost");
    }
}
