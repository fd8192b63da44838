package pumicemoor.fleet.cells;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pumicemoor.fleet.cells.VirtualCells.CLUSTER;
import static pumicemoor.fleet.cells.VirtualCells.SECOND;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import pumicemoor.RouterApi.LimitMeasure;
import pumicemoor.fleet.Packet;
import pumicemoor.fleet.Packet.Join;
import pumicemoor.fleet.Packet.Place;
import pumicemoor.fleet.PacketCodec;
import pumicemoor.fleet.cells.VirtualCells.Router;
import pumicemoor.fleet.membership.RouterRecord;
import pumicemoor.fleet.membership.RouterStatus;

/** How a router finds its cell from any router of the cluster, and what joins and places do that nobody meant. */
class DiscoveryTest {

    private static final PacketCodec JOINS = new PacketCodec(CLUSTER + "/join");
    private static final RouterRecord STRANGER = new RouterRecord("stranger", "127.9.9.9:7000", 5, 5, RouterStatus.ALIVE);

    private VirtualCells fleet;

    @BeforeEach
    void threeRoots() {
        fleet = new VirtualCells(24, 6, 2, LimitMeasure.PER_SECOND, 1_000, 31);
        fleet.add("a", 0, 9);
        fleet.add("b", 0, 5);
        fleet.add("c", 1, 8);
        fleet.startAll();
        fleet.run(60 * SECOND);
        assertEquals(List.of(), fleet.disagreements());
    }

    private static Packet packet(long number, Packet.Body body) {
        return new Packet(STRANGER, number, body, List.of(), List.of());
    }

    private static long count(Router r, String field) {
        return Long.parseLong(r.part.fields().getOrDefault("fleet-dropped-" + field, "0"));
    }

    @Test
    void aSeedOfAnotherRootThatIsNoDelegateLeadsToTheCell() {
        Router seed =
                fleet.of("b").stream().filter(r -> !r.delegate()).findFirst().orElseThrow();
        fleet.seeds = List.of(seed.address);
        for (String root : List.of("c", "a")) {
            Router one = fleet.add(root, root.equals("c") ? 1 : 0);
            fleet.start(one);
            fleet.run(15 * SECOND);
            assertTrue(one.cell().startsWith(root + "/"), one.cell());
            assertEquals(
                    one.cellMates(),
                    fleet.of(root).stream()
                            .filter(r -> r != one && r.cell().equals(one.cell()))
                            .findFirst()
                            .orElseThrow()
                            .cellMates());
        }
        fleet.run(20 * SECOND);
        assertEquals(List.of(), fleet.disagreements());
    }

    @Test
    void theFirstOfARootIsACellByItselfAndKnownAbove() {
        fleet.seeds = List.of(fleet.of("b").get(4).address);
        Router one = fleet.add("new-root", 1);
        fleet.start(one);
        fleet.run(40 * SECOND);
        assertEquals("new-root", one.cell());
        assertEquals(List.of(), fleet.disagreements());
        Router other = fleet.add("new-root", 1);
        fleet.start(other);
        fleet.run(40 * SECOND);
        assertEquals(one.cellMates(), other.cellMates());
        assertEquals(List.of(), fleet.disagreements());
    }

    @Test
    void oneLivingSeedIsEnough() {
        fleet.seeds = List.of(
                fleet.of("a").get(0).address,
                fleet.of("a").get(1).address,
                fleet.of("c").get(5).address);
        fleet.kill(fleet.of("a").get(0));
        fleet.kill(fleet.of("a").get(1));
        Router one = fleet.add("b", 0);
        fleet.start(one);
        fleet.run(30 * SECOND);
        assertEquals(6, one.cellMates().size());
    }

    @Test
    void placesThatNobodyAskedForMoveNobody() {
        Router one = fleet.of("b").get(1);
        long before = count(one, "unasked-places");
        fleet.deliver(one, JOINS.write(packet(1, new Place(77, 3, List.of(STRANGER.address()), List.of()))));
        assertEquals(before + 1, count(one, "unasked-places"));
        fleet.deliver(one, JOINS.write(packet(2, new Place(0, 1, List.of(), List.of()))));
        assertEquals("b", one.cell(), "only its grantor splits a cell");
        Router grantor = fleet.grantorOf(one);
        RouterRecord older = new RouterRecord(grantor.name, grantor.address, 5, 5, RouterStatus.ALIVE);
        fleet.deliver(
                one, JOINS.write(new Packet(older, 3, new Place(0, 1, List.of(), List.of()), List.of(), List.of())));
        assertEquals("b", one.cell(), "and that by the process that is known");
        fleet.run(10 * SECOND);
        assertEquals(List.of(), fleet.disagreements());
    }

    @Test
    void aJoinIsPassedOnSoOftenAndNotOftener() {
        Router one =
                fleet.of("b").stream().filter(r -> !r.delegate()).findFirst().orElseThrow();
        List<Packet> sent = new ArrayList<>();
        fleet.sends = (from, d) -> {
            if (from == one && PacketCodec.cluster(d.bytes()) == JOINS.cluster()) {
                sent.add(read(d.bytes()));
            }
        };
        fleet.deliver(one, JOINS.write(packet(9, new Join("c", 0, 0))));
        assertEquals(1, sent.size());
        assertEquals(new Join("c", 0, 1), sent.get(0).body());
        assertEquals(STRANGER, sent.get(0).from(), "as who asked, so that the answer goes there");
        assertEquals(9, sent.get(0).number());
        sent.clear();
        fleet.deliver(one, JOINS.write(packet(10, new Join("c", 0, PacketCodec.MOST_HOPS))));
        assertEquals(List.of(), sent);
    }

    @Test
    void aJoinIsAnsweredByItsCellWithAddressesOfIt() {
        Router one = fleet.of("b").get(0);
        List<Packet> sent = new ArrayList<>();
        fleet.sends = (from, d) -> {
            if (from == one && d.address().equals(STRANGER.address())) {
                sent.add(read(d.bytes()));
            }
        };
        fleet.deliver(one, JOINS.write(packet(11, new Join("b", 0, 1))));
        Place place = (Place) sent.get(0).body();
        assertEquals(11, place.join());
        assertEquals(0, place.depth());
        assertTrue(place.cell().contains(one.address) && place.cell().size() == 5, place::toString);
        assertTrue(
                place.cell().containsAll(place.delegates()) && place.delegates().size() == 2, place::toString);
        assertTrue(fleet.of("b").stream().allMatch(r -> place.cell().contains(r.address)));
    }

    @Test
    void aFloodOfJoinsIsBounded() {
        Router one = fleet.of("b").get(0);
        long before = fleet.packets;
        for (int i = 0; i < 1_000; i++) {
            fleet.deliver(one, JOINS.write(packet(100 + i, new Join("b", 0, 1))));
        }
        assertTrue(fleet.packets - before < 200, () -> "answers " + (fleet.packets - before));
        assertTrue(count(one, "joins-limited") > 800);
    }

    private static Packet read(byte[] bytes) {
        try {
            return JOINS.read(bytes, Long.MAX_VALUE / 2);
        } catch (pumicemoor.fleet.BadPacketException e) {
            throw new AssertionError(e);
        }
    }

    /** Packets of a fleet under way, of both levels and of joins, with bytes changed, cut off or added. */
    @Property(tries = 2, seed = "5601", shrinking = ShrinkingMode.OFF)
    void packetsThatWereHarmedHarmNobody(@ForAll long seed) {
        Random random = new Random(seed);
        threeRoots();
        List<byte[]> seen = new ArrayList<>();
        fleet.sends = (from, d) -> seen.add(d.bytes());
        Router one = fleet.add("b", 0);
        fleet.start(one);
        fleet.run(10 * SECOND);
        fleet.sends = (from, d) -> {};
        Router victim =
                fleet.of("a").stream().filter(Router::delegate).findFirst().orElseThrow();
        for (int i = 0; i < 20_000; i++) {
            byte[] bytes = seen.get(random.nextInt(seen.size())).clone();
            if (random.nextInt(4) == 0) {
                bytes = java.util.Arrays.copyOf(bytes, random.nextInt(bytes.length + 20));
            }
            for (int k = random.nextInt(4); k > 0 && bytes.length > 12; k--) {
                bytes[12 + random.nextInt(bytes.length - 12)] = (byte) random.nextInt(256);
            }
            victim.part.receive(fleet.now, bytes);
        }
        victim.part.takePackets();
        assertTrue(count(victim, "unreadable") + count(victim, "impossible") > 100, victim.part.fields()::toString);
    }
}
