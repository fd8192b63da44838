package review2;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * Traffic between zones has a budget, set in the operator's file: 200 KB a second. Video parts of 4 KB, 40 a second, are
 * filled from the hub of the other zone. For 20 s two new large objects are asked for besides, part by part, a part of 200
 * KB every 2.2 s in all: 36% of all bytes asked for. Then the budget runs out. Bookings, which run at the store of that
 * zone, must be neither dropped nor repeated to save it.
 */
final class BudgetBooking {
    private static final int PART_BYTES = 4_000;
    private static final int LARGE_EVERY = 88; // requests, 2.2 s

    private BudgetBooking() {}

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig(Path.of(args[0]));
        Rig.run(rig, () -> play(rig));
    }

    private static boolean play(Rig rig) throws Exception {
        Coordinator coordinator = new Coordinator(rig);
        Member box1 = new Member(rig, "box-1", PART_BYTES, "parent", ask -> 120);
        Member box2 = new Member(rig, "box-2", PART_BYTES, "parent", ask -> 120);
        Member hub = new Member(rig, "hub-1", PART_BYTES, ask -> 100);
        Member store = new Member(rig, "store-1", 64, ask -> 30);
        coordinator.publish("\"endpoints\":{\"generation\":1,\"reset\":true,\"instances\":["
                + box1.listLine("depot-1", "box-a", 16, "active", 0) + ","
                + box2.listLine("depot-1", "box-a", 16, "active", 0) + ","
                + hub.listLine("central", "hub", 32, "active", 0) + ","
                + store.listLine("central", "store", 64, "active", 0) + "]}");
        String operator = "fleet:\n  cluster: depots\n  listen: 127.0.0.1:" + Rig.freePort() + "\n  size: 1\n"
                + "  limits:\n    - {name: links, members: across-zones, kb-per-second: 200}\n";
        Rig.Router router = rig.new Router("n1", Site.config(coordinator, 0, 1), operator);
        router.start().awaitReady();
        Thread.sleep(12_000); // a fresh process has its whole part once it holds a lease
        Client media = new Client(rig, "viewer", router.port);
        Client drivers = new Client(rig, "driver", router.port);
        Random random = new Random(5);
        long bytesSmall = 0;
        long bytesLarge = 0;
        Map<Integer, String> bookings = new TreeMap<>();
        for (int i = 0; i < 800; i++) { // 20 s; every part is new to the caches and comes through the hub
            if (media.endedAtMs >= 0 || media.told) {
                media = new Client(rig, "viewer", router.port);
            }
            boolean large = rig.trouble && i % LARGE_EVERY == LARGE_EVERY - 1;
            int largePart = i / LARGE_EVERY; // the parts of two objects, in turn
            String row = large ? "b" + String.format("%015x", 0x77000L + largePart % 2) : row(random, "a");
            media.send("media-fetch", Client.newId(), 6_000, row, large ? largePart / 2 : i % 15, 3);
            bytesSmall += large ? 0 : PART_BYTES;
            bytesLarge += large ? 200_000 : 0;
            if (i % 8 == 4) {
                String id = Client.newId();
                int stream = drivers.send("booking-write", id, 3_000, row(random, "a"), 0, 3);
                bookings.put(stream, id);
            }
            Thread.sleep(25);
        }
        Thread.sleep(4_000);
        int refused = 0;
        int failed = 0;
        int none = 0;
        int neverRan = 0;
        int twice = 0;
        for (Map.Entry<Integer, String> booking : bookings.entrySet()) {
            Client.Answer answer = drivers.answers.get(booking.getKey());
            long ran = store.asks.stream()
                    .filter(a -> a.id().equals(booking.getValue()))
                    .count();
            none += answer == null ? 1 : 0;
            refused += answer != null && answer.code() == 0 ? 1 : 0;
            failed += answer != null && answer.code() == 9 ? 1 : 0;
            neverRan += ran == 0 ? 1 : 0;
            twice += ran > 1 ? 1 : 0;
        }
        rig.say(bookings.size() + " bookings: " + refused + " refused, " + failed + " failed, " + none
                + " not answered; " + neverRan + " never reached the store, " + twice + " reached it twice");
        rig.say("large parts: " + 100 * bytesLarge / (bytesSmall + bytesLarge) + "% of all bytes asked for");
        rig.say("the store was up all the time and ran " + store.asks.size() + " bookings");
        return neverRan + twice == 0;
    }

    /** The name of an object; one that begins with 'b' is large (Member). */
    private static String row(Random random, String first) {
        return first + String.format("%016x", random.nextLong()).substring(1);
    }
}
