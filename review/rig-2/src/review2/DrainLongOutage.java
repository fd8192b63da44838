package review2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Discovery is down for 14 s: no connection comes up, and the open stream has ended. A cache begins to drain a second
 * after its loss. Nothing new may go to it later than 1 s after the router was told, which is no later than 7 s after the
 * event, whether it arrived or not; every time limit is 50 ms longer.
 */
final class DrainLongOutage {
    private static final long OUTAGE_MS = 14_000;
    private static final long TOLD_MS = 7_000;
    private static final long GRACE_MS = 1_000 + 50;

    private DrainLongOutage() {}

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
        Thread load = new Thread(() -> DrainSlowDiscovery.load(rig, router.port));
        load.setDaemon(true);
        load.start();
        Thread.sleep(3_000);
        if (rig.trouble) {
            rig.note("TROUBLE: discovery is down for " + OUTAGE_MS + " ms");
            coordinator.down();
        }
        Thread.sleep(1_000);
        Member drained = caches.get(1);
        coordinator.publish("\"endpoints\":{\"generation\":2,\"reset\":false,\"instances\":["
                + drained.listLine("depot-1", "box-a", 4, "leaving", 0) + "]}");
        long drainAt = rig.ms();
        Thread.sleep(OUTAGE_MS - 1_000);
        long upAt = rig.ms();
        if (rig.trouble) {
            coordinator.up();
            rig.note("discovery is back");
        }
        Thread.sleep(4_000);
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
        rig.say("discovery was back at " + upAt + " ms");
        rig.say(before + " requests reached it before the drain; " + late + " after the last moment, and " + named
                + " named it as source; the last one at " + lastAsk + " ms");
        if (before == 0) {
            throw new Rig.NotRun("no request reached the cache before its drain");
        }
        return late + named == 0;
    }
}
