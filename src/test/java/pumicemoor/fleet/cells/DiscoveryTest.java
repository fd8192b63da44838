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

/**
 * Checks how a router finds its cell from any router of the cluster, and that unexpected joins and places do no harm.
 */
class DiscoveryTest {

    private static final PacketCodec JOINS = new PacketCodec(CLUSTER + "/join");
    private static final RouterRecord STRANGER =
            new RouterRecord("stranger", "127.9.9.9:7000", 5, 5, RouterStatus.ALIVE);

    private VirtualCells fleet;

    @BeforeEach
    void startThreeRoots() {
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

    private static long droppedPackets(Router router, String reason) {
        return Long.parseLong(router.participant.fields().getOrDefault("fleet-dropped-" + reason, "0"));
    }

    @Test
    void seedInAnotherRootThatIsNoDelegateLeadsToTheCell() {
        Router seed = fleet.inRoot("b").stream()
                .filter(r -> !r.isDelegate())
                .findFirst()
                .orElseThrow();
        fleet.seeds = List.of(seed.address);
        for (String root : List.of("c", "a")) {
            Router router = fleet.add(root, root.equals("c") ? 1 : 0);
            fleet.start(router);
            fleet.run(15 * SECOND);
            assertTrue(router.cell().startsWith(root + "/"), router.cell());
            assertEquals(
                    router.cellPeers(),
                    fleet.inRoot(root).stream()
                            .filter(r -> r != router && r.cell().equals(router.cell()))
                            .findFirst()
                            .orElseThrow()
                            .cellPeers());
        }
        fleet.run(20 * SECOND);
        assertEquals(List.of(), fleet.disagreements());
    }

    @Test
    void firstRouterOfARootFormsACellThatTheUpperLevelKnows() {
        fleet.seeds = List.of(fleet.inRoot("b").get(4).address);
        Router router = fleet.add("new-root", 1);
        fleet.start(router);
        fleet.run(40 * SECOND);
        assertEquals("new-root", router.cell());
        assertEquals(List.of(), fleet.disagreements());
        Router other = fleet.add("new-root", 1);
        fleet.start(other);
        fleet.run(40 * SECOND);
        assertEquals(router.cellPeers(), other.cellPeers());
        assertEquals(List.of(), fleet.disagreements());
    }

    @Test
    void oneRunningSeedIsEnough() {
        fleet.seeds = List.of(
                fleet.inRoot("a").get(0).address,
                fleet.inRoot("a").get(1).address,
                fleet.inRoot("c").get(5).address);
        fleet.kill(fleet.inRoot("a").get(0));
        fleet.kill(fleet.inRoot("a").get(1));
        Router router = fleet.add("b", 0);
        fleet.start(router);
        fleet.run(30 * SECOND);
        assertEquals(6, router.cellPeers().size());
    }

    @Test
    void unrequestedPlacesMoveNoRouter() {
        Router router = fleet.inRoot("b").get(1);
        long before = droppedPackets(router, "unasked-places");
        fleet.deliver(router, JOINS.write(packet(1, new Place(77, 3, List.of(STRANGER.address()), List.of()))));
        assertEquals(before + 1, droppedPackets(router, "unasked-places"));
        fleet.deliver(router, JOINS.write(packet(2, new Place(0, 1, List.of(), List.of()))));
        assertEquals("b", router.cell(), "only its grantor may split a cell");
        Router grantor = fleet.grantorOf(router);
        RouterRecord older = new RouterRecord(grantor.name, grantor.address, 5, 5, RouterStatus.ALIVE);
        fleet.deliver(
                router, JOINS.write(new Packet(older, 3, new Place(0, 1, List.of(), List.of()), List.of(), List.of())));
        assertEquals("b", router.cell(), "and only as the process that is known");
        fleet.run(10 * SECOND);
        assertEquals(List.of(), fleet.disagreements());
    }

    @Test
    void joinIsForwardedUpToTheMaximumNumberOfHops() {
        Router router = fleet.inRoot("b").stream()
                .filter(r -> !r.isDelegate())
                .findFirst()
                .orElseThrow();
        List<Packet> sent = new ArrayList<>();
        fleet.sendObserver = (from, datagram) -> {
            if (from == router && PacketCodec.cluster(datagram.bytes()) == JOINS.cluster()) {
                sent.add(read(datagram.bytes()));
            }
        };
        fleet.deliver(router, JOINS.write(packet(9, new Join("c", 0, 0))));
        assertEquals(1, sent.size());
        assertEquals(new Join("c", 0, 1), sent.get(0).body());
        assertEquals(
                STRANGER, sent.get(0).from(), "the sender stays the joining router, so that the answer goes there");
        assertEquals(9, sent.get(0).number());
        sent.clear();
        fleet.deliver(router, JOINS.write(packet(10, new Join("c", 0, PacketCodec.MAX_JOIN_HOPS))));
        assertEquals(List.of(), sent);
    }

    @Test
    void cellAnswersAJoinWithAddressesOfItsRouters() {
        Router router = fleet.inRoot("b").get(0);
        List<Packet> sent = new ArrayList<>();
        fleet.sendObserver = (from, datagram) -> {
            if (from == router && datagram.address().equals(STRANGER.address())) {
                sent.add(read(datagram.bytes()));
            }
        };
        fleet.deliver(router, JOINS.write(packet(11, new Join("b", 0, 1))));
        Place place = (Place) sent.get(0).body();
        assertEquals(11, place.join());
        assertEquals(0, place.depth());
        assertTrue(
                place.cellAddresses().contains(router.address)
                        && place.cellAddresses().size() == 5,
                place::toString);
        assertTrue(
                place.cellAddresses().containsAll(place.delegateAddresses())
                        && place.delegateAddresses().size() == 2,
                place::toString);
        assertTrue(
                fleet.inRoot("b").stream().allMatch(r -> place.cellAddresses().contains(r.address)));
    }

    @Test
    void answersToAFloodOfJoinsAreBounded() {
        Router router = fleet.inRoot("b").get(0);
        long before = fleet.packetsSent;
        for (int i = 0; i < 1_000; i++) {
            fleet.deliver(router, JOINS.write(packet(100 + i, new Join("b", 0, 1))));
        }
        assertTrue(fleet.packetsSent - before < 200, () -> "packets sent: " + (fleet.packetsSent - before));
        assertTrue(droppedPackets(router, "joins-limited") > 800);
    }

    private static Packet read(byte[] bytes) {
        try {
            return JOINS.read(bytes, Long.MAX_VALUE / 2);
        } catch (pumicemoor.fleet.BadPacketException e) {
            throw new AssertionError(e);
        }
    }

    /**
     * A delegate receives packets of a running fleet, of both levels and of discovery, with bytes changed, cut off or
     * added.
     */
    @Property(tries = 2, seed = "5601", shrinking = ShrinkingMode.OFF)
    void corruptedPacketsAreDropped(@ForAll long seed) {
        Random random = new Random(seed);
        startThreeRoots();
        List<byte[]> recorded = new ArrayList<>();
        fleet.sendObserver = (from, datagram) -> recorded.add(datagram.bytes());
        Router router = fleet.add("b", 0);
        fleet.start(router);
        fleet.run(10 * SECOND);
        fleet.sendObserver = (from, datagram) -> {};
        Router victim = fleet.inRoot("a").stream()
                .filter(Router::isDelegate)
                .findFirst()
                .orElseThrow();
        for (int i = 0; i < 20_000; i++) {
            byte[] bytes = recorded.get(random.nextInt(recorded.size())).clone();
            if (random.nextInt(4) == 0) {
                bytes = java.util.Arrays.copyOf(bytes, random.nextInt(bytes.length + 20));
            }
            for (int changes = random.nextInt(4); changes > 0 && bytes.length > 12; changes--) {
                bytes[12 + random.nextInt(bytes.length - 12)] = (byte) random.nextInt(256);
            }
            victim.participant.receive(fleet.now, bytes);
        }
        victim.participant.takePackets();
        assertTrue(
                droppedPackets(victim, "unreadable") + droppedPackets(victim, "impossible") > 100,
                victim.participant.fields()::toString);
    }
}
