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

/** Two tables of routers that are compared in parts: what is told, and what both know afterwards. */
class ComparedInPartsTest {

    private static final long SECOND = 1_000_000;
    private static final long PERIOD = 200_000;

    /** One router with its table, whose packets wait for the test to deliver them. */
    private static final class One implements Membership.Outlet {
        final Membership membership;
        final Deque<Packet> sent = new ArrayDeque<>();
        final Map<String, Integer> dropped = new HashMap<>();
        int told;
        long number;

        One(String name, int address, boolean inParts) {
            membership = new Membership(
                    new Membership.Setup(name, address(address), List.of(), PERIOD, 3, 2, 600 * SECOND, 4_000),
                    SECOND,
                    address,
                    1_000 + address,
                    inParts,
                    this);
        }

        @Override
        public long send(String address, Body body) {
            sent.add(new Packet(membership.self(), ++number, body, List.of(), List.of()));
            return number;
        }

        @Override
        public void sendAll(String address, Predicate<RouterRecord> which) {
            List<RouterRecord> all = membership.table().stream().filter(which).toList();
            told += all.size();
            sent.add(new Packet(membership.self(), ++number, new News(), all, List.of()));
        }

        @Override
        public void spread(RouterRecord news) {}

        @Override
        public void changed(RouterRecord news, RouterStatus before, String cause) {}

        @Override
        public void dropped(String what) {
            dropped.merge(what, 1, Integer::sum);
        }

        void knows(RouterRecord... news) {
            membership.heard(SECOND, new Packet(news[0], 1, new News(), List.of(news), List.of()));
        }
    }

    private static String address(int number) {
        return "127.0." + (number >> 8) + "." + (number & 255) + ":7000";
    }

    private static RouterRecord router(int number, int incarnation, RouterStatus standing) {
        return new RouterRecord("router-" + number, address(number), 5_000 + number, incarnation, standing);
    }

    /** One compares with the other until nobody has anything to say. */
    private static void exchange(One from, One to) {
        from.send("", new Compare(from.membership.digest(), true));
        while (!from.sent.isEmpty() || !to.sent.isEmpty()) {
            while (!from.sent.isEmpty()) {
                to.membership.heard(SECOND, from.sent.poll());
            }
            while (!to.sent.isEmpty()) {
                from.membership.heard(SECOND, to.sent.poll());
            }
        }
    }

    private static List<One> pair(int common, boolean inParts) {
        One a = new One("a", 60_001, inParts);
        One b = new One("b", 60_002, inParts);
        RouterRecord[] all = new RouterRecord[common];
        for (int i = 0; i < common; i++) {
            all[i] = router(i, 1, RouterStatus.ALIVE);
        }
        for (One one : List.of(a, b)) {
            if (common > 0) {
                one.knows(all);
            }
        }
        a.knows(b.membership.self());
        b.knows(a.membership.self());
        a.sent.clear();
        b.sent.clear();
        return List.of(a, b);
    }

    private static void assertSame(One a, One b) {
        assertEquals(a.membership.digest(), b.membership.digest());
        assertEquals(Map.of(), a.dropped);
        assertEquals(Map.of(), b.dropped);
    }

    @Test
    void oneDifferenceOfFiveHundredTellsOnePartEachWay() {
        List<One> pair = pair(500, true);
        pair.get(0).knows(router(7, 2, RouterStatus.DEAD));
        exchange(pair.get(0), pair.get(1));
        assertSame(pair.get(0), pair.get(1));
        int told = pair.get(0).told + pair.get(1).told;
        assertTrue(told >= 2 && told <= 40, () -> "told " + told + " of 2 x 502");
    }

    @Test
    void equalTablesAreNotTold() {
        List<One> pair = pair(500, true);
        exchange(pair.get(0), pair.get(1));
        assertEquals(0, pair.get(0).told + pair.get(1).told);
        assertEquals(1, pair.get(0).number, "the digest alone was sent");
    }

    @Test
    void whoIsFreshIsToldAll() {
        One fresh = new One("fresh", 60_003, true);
        One old = pair(300, true).get(0);
        exchange(fresh, old);
        assertSame(fresh, old);
        assertEquals(303, fresh.membership.table().size());
    }

    @Test
    void aFlatFleetTellsAllAsBefore() {
        List<One> pair = pair(100, false);
        pair.get(0).knows(router(7, 2, RouterStatus.DEAD));
        exchange(pair.get(0), pair.get(1));
        assertSame(pair.get(0), pair.get(1));
        assertTrue(pair.get(1).told >= 102, () -> "told " + pair.get(1).told);
        One flat = pair.get(0);
        flat.membership.heard(
                SECOND,
                new Packet(pair.get(1).membership.self(), 9_999, new Sums(List.of(1L), true), List.of(), List.of()));
        assertTrue(flat.sent.isEmpty(), "it does not speak of parts");
    }

    @Test
    void answersAreBoundedInAPeriod() {
        List<One> pair = pair(200, true);
        One b = pair.get(1);
        for (int i = 0; i < 50; i++) {
            b.membership.heard(
                    SECOND,
                    new Packet(pair.get(0).membership.self(), 100 + i, new Compare(1, true), List.of(), List.of()));
            b.membership.heard(
                    SECOND,
                    new Packet(
                            pair.get(0).membership.self(),
                            200 + i,
                            new Sums(List.of(1L), false),
                            List.of(),
                            List.of()));
        }
        assertEquals(12, b.sent.size(), "eight digests in parts and four times all");
        assertEquals(88, b.dropped.get("compare-limited"));
    }

    /** Whatever each knows that the other doesn't, both know all of it after one exchange, whoever begins. */
    @Property(tries = 150, seed = "6101", shrinking = ShrinkingMode.OFF)
    void bothKnowAllAfterwards(@ForAll long seed, @ForAll @IntRange(max = 400) int common) {
        Random random = new Random(seed);
        List<One> pair = pair(common, true);
        List<RouterRecord> newer = new ArrayList<>();
        for (int i = random.nextInt(60); i >= 0; i--) {
            RouterRecord news = router(
                    random.nextInt(common + 40),
                    1 + random.nextInt(4),
                    RouterStatus.values()[random.nextInt(RouterStatus.values().length)]);
            pair.get(random.nextInt(2)).knows(router(0, 1, RouterStatus.ALIVE), news);
            newer.add(news);
        }
        pair.forEach(one -> one.sent.clear());
        exchange(pair.get(seed % 2 == 0 ? 0 : 1), pair.get(seed % 2 == 0 ? 1 : 0));
        assertSame(pair.get(0), pair.get(1));
        Map<String, RouterRecord> known = new HashMap<>();
        pair.get(0).membership.table().forEach(n -> known.put(n.name(), n));
        newer.forEach(
                n -> assertTrue(!n.overrides(known.get(n.name())), () -> n + " is newer than " + known.get(n.name())));
    }
}
