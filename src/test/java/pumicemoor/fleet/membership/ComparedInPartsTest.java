package pumicemoor.fleet.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Predicate;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import pumicemoor.fleet.Packet;
import pumicemoor.fleet.Packet.Body;
import pumicemoor.fleet.Packet.Compare;
import pumicemoor.fleet.Packet.News;
import pumicemoor.fleet.Packet.Sums;

/**
 * Comparison of two membership tables in parts: only the parts that differ are sent, and both tables are equal
 * afterwards.
 */
class ComparedInPartsTest {

    private static final long SECOND = 1_000_000;
    private static final long PERIOD = 200_000;

    /** A router with its membership table. Its packets are queued until the test delivers them. */
    private static final class TestRouter implements Membership.Outlet {
        final Membership membership;
        final Deque<Packet> outbox = new ArrayDeque<>();
        final Map<String, Integer> dropped = new HashMap<>();
        int recordsSent;
        long number;

        TestRouter(String name, int address, boolean compareInParts) {
            membership = new Membership(
                    new Membership.Setup(name, address(address), List.of(), PERIOD, 3, 2, 600 * SECOND, 4_000),
                    SECOND,
                    address,
                    1_000 + address,
                    compareInParts,
                    this);
        }

        @Override
        public long send(String address, Body body) {
            outbox.add(new Packet(membership.self(), ++number, body, List.of(), List.of()));
            return number;
        }

        @Override
        public void sendAll(String address, Predicate<RouterRecord> filter) {
            List<RouterRecord> all =
                    membership.allRouters().stream().filter(filter).toList();
            recordsSent += all.size();
            outbox.add(new Packet(membership.self(), ++number, new News(), all, List.of()));
        }

        @Override
        public void gossip(RouterRecord router) {}

        @Override
        public void statusChanged(RouterRecord router, RouterStatus before, String cause) {}

        @Override
        public void dropped(String counter) {
            dropped.merge(counter, 1, Integer::sum);
        }

        void learn(RouterRecord... records) {
            membership.receive(SECOND, new Packet(records[0], 1, new News(), List.of(records), List.of()));
        }
    }

    private static String address(int number) {
        return "127.0." + (number >> 8) + "." + (number & 255) + ":7000";
    }

    private static RouterRecord router(int number, int incarnation, RouterStatus status) {
        return new RouterRecord("router-" + number, address(number), 5_000 + number, incarnation, status);
    }

    /** Starts a comparison and delivers packets until neither router has any left to send. */
    private static void exchange(TestRouter from, TestRouter to) {
        from.send("", new Compare(from.membership.digest(), true));
        while (!from.outbox.isEmpty() || !to.outbox.isEmpty()) {
            while (!from.outbox.isEmpty()) {
                to.membership.receive(SECOND, from.outbox.poll());
            }
            while (!to.outbox.isEmpty()) {
                from.membership.receive(SECOND, to.outbox.poll());
            }
        }
    }

    private static List<TestRouter> pair(int commonRouters, boolean compareInParts) {
        TestRouter first = new TestRouter("a", 60_001, compareInParts);
        TestRouter second = new TestRouter("b", 60_002, compareInParts);
        RouterRecord[] all = new RouterRecord[commonRouters];
        for (int i = 0; i < commonRouters; i++) {
            all[i] = router(i, 1, RouterStatus.ALIVE);
        }
        for (TestRouter router : List.of(first, second)) {
            if (commonRouters > 0) {
                router.learn(all);
            }
        }
        first.learn(second.membership.self());
        second.learn(first.membership.self());
        first.outbox.clear();
        second.outbox.clear();
        return List.of(first, second);
    }

    private static void assertSame(TestRouter first, TestRouter second) {
        assertEquals(first.membership.digest(), second.membership.digest());
        assertEquals(Map.of(), first.dropped);
        assertEquals(Map.of(), second.dropped);
    }

    @Test
    void oneDifferenceInFiveHundredSendsOnePartEachWay() {
        List<TestRouter> pair = pair(500, true);
        pair.get(0).learn(router(7, 2, RouterStatus.DEAD));
        exchange(pair.get(0), pair.get(1));
        assertSame(pair.get(0), pair.get(1));
        int sent = pair.get(0).recordsSent + pair.get(1).recordsSent;
        assertTrue(sent >= 2 && sent <= 40, () -> "sent " + sent + " of 2 x 502");
    }

    @Test
    void equalTablesAreNotSent() {
        List<TestRouter> pair = pair(500, true);
        exchange(pair.get(0), pair.get(1));
        assertEquals(0, pair.get(0).recordsSent + pair.get(1).recordsSent);
        assertEquals(1, pair.get(0).number, "only the digest was sent");
    }

    @Test
    void aNewRouterReceivesTheWholeTable() {
        TestRouter fresh = new TestRouter("fresh", 60_003, true);
        TestRouter old = pair(300, true).get(0);
        exchange(fresh, old);
        assertSame(fresh, old);
        assertEquals(303, fresh.membership.allRouters().size());
    }

    @Test
    void aFlatFleetSendsTheWholeTable() {
        List<TestRouter> pair = pair(100, false);
        pair.get(0).learn(router(7, 2, RouterStatus.DEAD));
        exchange(pair.get(0), pair.get(1));
        assertSame(pair.get(0), pair.get(1));
        assertTrue(pair.get(1).recordsSent >= 102, () -> "sent " + pair.get(1).recordsSent);
        TestRouter flat = pair.get(0);
        flat.membership.receive(
                SECOND,
                new Packet(pair.get(1).membership.self(), 9_999, new Sums(List.of(1L), true), List.of(), List.of()));
        assertTrue(flat.outbox.isEmpty(), "a flat fleet does not compare in parts");
    }

    @Test
    void answersPerPeriodAreLimited() {
        List<TestRouter> pair = pair(200, true);
        TestRouter second = pair.get(1);
        for (int i = 0; i < 50; i++) {
            second.membership.receive(
                    SECOND,
                    new Packet(pair.get(0).membership.self(), 100 + i, new Compare(1, true), List.of(), List.of()));
            second.membership.receive(
                    SECOND,
                    new Packet(
                            pair.get(0).membership.self(),
                            200 + i,
                            new Sums(List.of(1L), false),
                            List.of(),
                            List.of()));
        }
        assertEquals(12, second.outbox.size(), "eight answers with digests and four with records");
        assertEquals(88, second.dropped.get("compare-limited"));
    }

    /** Whatever only one of the two routers knows, both know it after one exchange, whichever of them starts. */
    @Property(tries = 150, seed = "6101", shrinking = ShrinkingMode.OFF)
    void bothTablesAreEqualAfterwards(@ForAll long seed, @ForAll @IntRange(max = 400) int commonRouters) {
        Random random = new Random(seed);
        List<TestRouter> pair = pair(commonRouters, true);
        List<RouterRecord> newer = new ArrayList<>();
        for (int i = random.nextInt(60); i >= 0; i--) {
            RouterRecord update = router(
                    random.nextInt(commonRouters + 40),
                    1 + random.nextInt(4),
                    RouterStatus.values()[random.nextInt(RouterStatus.values().length)]);
            pair.get(random.nextInt(2)).learn(router(0, 1, RouterStatus.ALIVE), update);
            newer.add(update);
        }
        pair.forEach(router -> router.outbox.clear());
        exchange(pair.get(seed % 2 == 0 ? 0 : 1), pair.get(seed % 2 == 0 ? 1 : 0));
        assertSame(pair.get(0), pair.get(1));
        Map<String, RouterRecord> known = new HashMap<>();
        pair.get(0).membership.allRouters().forEach(n -> known.put(n.name(), n));
        newer.forEach(
                n -> assertTrue(!n.overrides(known.get(n.name())), () -> n + " is newer than " + known.get(n.name())));
    }
}
