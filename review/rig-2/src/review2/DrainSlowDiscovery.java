package review2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * The stream to the coordinator breaks once, and discovery is slow afterwards: it answers each new stream after 5.5 s.
 * A cache begins to drain a second after the break. Nothing new may go to it later than 1 s after the router was told,
 * which is no later than 7 s after the event; every time limit is 50 ms longer.
 */
final class DrainSlowDiscovery {
    private static final long SLOW_MS = 5_500;
    private static final long TOLD_MS = 7_000;
    private static final long GRACE_MS = 1_000 + 50;

    private DrainSlowDiscovery() {}

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig(Path.of(args[0]));
        Rig.run(rig, () -> play(rig));
    }

    private static boolean play(Rig rig) throws Exception {
        Coordinator coordinator = new Coordinator(rig);
        List<Member> caches = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            caches.add(new Member(rig, "box-" + i, 2_000, ask -> 60));
        }
        Member hub = new Member(rig, "hub-1", 2_000, ask -> 80);
        Member store = new Member(rig, "store-1", 2_000, ask -> 100);
        List<String> lines = new ArrayList<>();
        caches.forEach(c -> lines.add(c.listLine("depot-1", "box-a", 4, "active", 0)));
        lines.add(hub.listLine("central", "hub", 8, "active", 0));
        lines.add(store.listLine("central", "store", 16, "active", 0));
        coordinator.publish("\"endpoints\":{\"generation\":1,\"reset\":true,\"instances\":["
                + String.join(",", lines) + "]}");
        Rig.Router router = rig.new Router("n1", Site.config(coordinator, 0, 1), null);
        router.start().awaitReady();
        Thread load = new Thread(() -> load(rig, router.port));
        load.setDaemon(true);
        load.start();
        Thread.sleep(3_000);
        if (rig.trouble) {
            rig.note("TROUBLE: the streams break; from now on a new stream is answered after " + SLOW_MS + " ms");
            coordinator.answerDelayMs = SLOW_MS;
            coordinator.breakStreams();
        }
        Thread.sleep(1_000);
        Member drained = caches.get(1);
        coordinator.publish("\"endpoints\":{\"generation\":2,\"reset\":false,\"instances\":["
                + drained.listLine("depot-1", "box-a", 4, "leaving", 0) + "]}");
        long drainAt = rig.ms();
        Thread.sleep(18_000);
        long last = drainAt + TOLD_MS + GRACE_MS;
        rig.say("the drain of " + drained.name + " was there to tell at " + drainAt + " ms, counts as told at "
                + (drainAt + TOLD_MS) + " ms at the latest; nothing may be sent to it after " + last + " ms");
        long before = drained.asks.stream().filter(a -> a.atMs() <= drainAt).count();
        long late = drained.asks.stream().filter(a -> a.atMs() > last).count();
        long named = caches.stream()
                .flatMap(c -> c.asks.stream())
                .filter(a -> a.atMs() > last && drained.name.equals(a.fields().get("miss")))
                .count();
        long lastAsk = drained.asks.stream().mapToLong(Member.Ask::atMs).max().orElse(-1);
        rig.say(before + " requests reached it before the drain; " + late + " after the last moment, and " + named
                + " named it as source; the last one at " + lastAsk + " ms");
        if (before == 0) {
            throw new Rig.NotRun("no request reached the cache before its drain");
        }
        return late + named == 0;
    }

    /** A client that asks for parts of 60 objects, 25 times a second. */
    static void load(Rig rig, int port) {
        Random random = new Random(7);
        Client client = null;
        try {
            while (true) {
                if (client == null || client.endedAtMs >= 0 || client.told) {
                    client = new Client(rig, "client", port);
                }
                String row = String.format("%016x", 0x7f3a9c21e0b40000L + random.nextInt(60));
                client.send("media-fetch", Client.newId(), 6_000, row, random.nextInt(15), 17);
                Thread.sleep(40);
            }
        } catch (Exception e) {
            rig.note("the load has ended: " + e);
        }
    }
}
