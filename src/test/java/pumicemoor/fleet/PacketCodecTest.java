package pumicemoor.fleet;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import pumicemoor.RouterApi.LimitMeasure;
import pumicemoor.RouterApi.Role;
import pumicemoor.fleet.FleetSetup.LimitRule;
import pumicemoor.fleet.FleetSetup.Scope;
import pumicemoor.fleet.Packet.Part;
import pumicemoor.fleet.Packet.Want;
import pumicemoor.fleet.drains.DrainCommand;
import pumicemoor.fleet.limits.LeaseTimes;
import pumicemoor.fleet.membership.Membership;
import pumicemoor.fleet.membership.RouterRecord;
import pumicemoor.fleet.membership.RouterStatus;
import pumicemoor.fleet.verdicts.FailureReport;
import pumicemoor.fleet.verdicts.FailureReport.Cause;
import pumicemoor.fleet.verdicts.Ejection;

/** What a packet may hold comes back as it was; anything else is counted and changes nothing. */
class PacketCodecTest {

    private static final long NOW = 1_790_000_000_000_000L;
    private static final long LAST = Membership.lastIncarnation(NOW);
    private static final RouterRecord FROM =
            new RouterRecord("router-1", "127.0.0.1:7001", 9, 1_790_000_000_000L, RouterStatus.ALIVE);
    private final PacketCodec codec = new PacketCodec("west");

    private static Packet random(Random r) {
        Packet.Body body =
                switch (r.nextInt(15)) {
                    case 0 -> new Packet.Ping();
                    case 1 -> new Packet.Ack(r.nextLong());
                    case 2 -> new Packet.Relay("127.0.0.1:" + (1 + r.nextInt(65_535)));
                    case 3 -> new Packet.Compare(r.nextLong(), r.nextBoolean());
                    case 4 -> new Packet.News();
                    case 5 -> {
                        List<Want> wants = new ArrayList<>();
                        for (int i = r.nextInt(PacketCodec.WANTS + 1); i > 0; i--) {
                            wants.add(new Want(r.nextLong(), r.nextLong(), r.nextInt(1_000), r.nextInt(50)));
                        }
                        List<FailureReport> accusations = new ArrayList<>();
                        for (int i = r.nextInt(PacketCodec.ACCUSATIONS + 1); i > 0; i--) {
                            accusations.add(new FailureReport(
                                    r.nextLong(), r.nextLong(), Cause.values()[r.nextInt(2)], r.nextInt(100), 0.5));
                        }
                        yield new Packet.Ask(r.nextBoolean(), r.nextLong(), r.nextLong(), wants, accusations);
                    }
                    case 6 ->
                        new Packet.PlanReport(
                                r.nextInt(900),
                                700,
                                r.nextInt(700),
                                r.nextBoolean(),
                                r.longs(r.nextInt(20))
                                        .mapToObj(m -> new Packet.Use(m, r.nextInt(90), r.nextInt(90)))
                                        .toList());
                    case 7 ->
                        new Packet.PlanGrant(
                                r.nextLong(), r.nextLong(), r.nextInt(900), r.nextBoolean(), r.nextInt(99), 5);
                    case 8 -> {
                        byte[] piece = new byte[r.nextInt(300)];
                        r.nextBytes(piece);
                        yield new Packet.Piece(r.nextInt(99), r.nextInt(9), 9, piece);
                    }
                    case 9 ->
                        new Packet.DrainAsk(new DrainCommand(
                                DrainCommand.Kind.values()[r.nextInt(3)],
                                r.nextLong(),
                                1 + r.nextInt(50),
                                r.nextInt(99),
                                r.nextInt(99),
                                r.longs(1 + r.nextInt(40)).boxed().toList()));
                    case 10 -> {
                        List<Packet.CellWant> wants = new ArrayList<>();
                        for (int i = r.nextInt(PacketCodec.CELL_WANTS + 1); i > 0; i--) {
                            wants.add(new Packet.CellWant(
                                    r.nextLong(),
                                    r.nextLong(),
                                    r.nextInt(512),
                                    r.nextDouble() * 1e9,
                                    r.nextDouble() * 1e9));
                        }
                        List<FailureReport> accusations = new ArrayList<>();
                        for (int i = r.nextInt(PacketCodec.ACCUSATIONS + 1); i > 0; i--) {
                            accusations.add(new FailureReport(
                                    r.nextLong(),
                                    r.nextLong(),
                                    Cause.values()[r.nextInt(2)],
                                    r.nextInt(100),
                                    0.5,
                                    r.nextInt(500)));
                        }
                        yield new Packet.CellAsk(
                                r.nextBoolean(),
                                r.nextLong(),
                                r.nextInt(900),
                                r.nextInt(512),
                                r.nextInt(900),
                                wants,
                                accusations);
                    }
                    case 11 ->
                        new Packet.Join(
                                "zone-" + r.nextInt(130),
                                r.nextInt(PacketCodec.MOST_DEPTH + 1),
                                r.nextInt(PacketCodec.MOST_HOPS + 1));
                    case 12 ->
                        new Packet.Place(
                                r.nextInt(9_999),
                                r.nextInt(PacketCodec.MOST_DEPTH + 2) - 1,
                                addresses(r),
                                addresses(r));
                    case 13 ->
                        new Packet.Sums(r.longs(1L << r.nextInt(7)).boxed().toList(), r.nextBoolean());
                    default ->
                        new Packet.Grant(r.nextLong(), r.nextLong(), List.of(new Part(r.nextLong(), r.nextInt(500))));
                };
        List<RouterRecord> routers = new ArrayList<>();
        for (int i = r.nextInt(4); i > 0; i--) {
            routers.add(new RouterRecord(
                    "r" + r.nextInt(99),
                    "127.0.0.1:" + (1 + r.nextInt(65_535)),
                    1 + r.nextInt(99),
                    1 + r.nextInt(99),
                    RouterStatus.values()[r.nextInt(4)]));
        }
        List<Ejection> verdicts = r.nextBoolean()
                ? List.of()
                : List.of(new Ejection(
                        r.nextLong(),
                        r.nextLong(),
                        1 + r.nextInt(999),
                        r.nextBoolean(),
                        r.nextInt(9_999),
                        r.nextInt(99),
                        Cause.SILENT,
                        3,
                        0.25,
                        "router-7"));
        return new Packet(FROM, 1 + r.nextInt(9_999), body, routers, verdicts);
    }

    private static List<String> addresses(Random r) {
        return r.ints(r.nextInt(PacketCodec.PLACES + 1), 1, 65_536)
                .mapToObj(port -> "127.0.0.1:" + port)
                .toList();
    }

    /** What no router of cells can mean: too deep, too often passed on, more routers than there are. */
    @Test
    void whatCellsCantMeanIsNotRead() {
        for (Packet.Body body : List.of(
                new Packet.Join("zone-a", PacketCodec.MOST_DEPTH + 1, 0),
                new Packet.Join("zone-a", 0, PacketCodec.MOST_HOPS + 1),
                new Packet.Place(1, -2, List.of(), List.of()),
                new Packet.Place(-1, 0, List.of(), List.of()),
                new Packet.Sums(List.of(), true),
                new Packet.Sums(List.of(1L, 2L, 3L), true),
                new Packet.Sums(java.util.Collections.nCopies(2 * Membership.MOST_PARTS, 1L), true),
                new Packet.Place(
                        1, 0, java.util.Collections.nCopies(PacketCodec.PLACES + 1, "127.0.0.1:7000"), List.of()),
                new Packet.CellAsk(true, 1, 1, -1, 1, List.of(), List.of()),
                new Packet.CellAsk(
                        true,
                        1,
                        1,
                        1,
                        1,
                        List.of(new Packet.CellWant(1, 0, PacketCodec.MOST_ROUTERS + 1, 1, 1)),
                        List.of()),
                new Packet.CellAsk(
                        true, 1, 1, 1, 1, List.of(new Packet.CellWant(1, 0, 1, Double.NaN, 1)), List.of()))) {
            byte[] bytes = codec.write(new Packet(FROM, 1, body, List.of(), List.of()));
            assertThrows(BadPacketException.class, () -> codec.read(bytes, LAST), body.toString());
        }
    }

    @Property(tries = 500, seed = "81")
    void whatIsWrittenIsRead(@ForAll long seed) throws BadPacketException {
        Packet packet = random(new Random(seed));
        byte[] bytes = codec.write(packet);
        assertTrue(bytes.length <= PacketCodec.LONGEST);
        assertEquals(packet, codec.read(bytes, LAST));
        assertArrayEquals(bytes, codec.write(codec.read(bytes, LAST)));
    }

    @Property(tries = 500, seed = "82")
    void whatIsCutOrFollowedByMoreIsNotRead(@ForAll long seed) {
        Random r = new Random(seed);
        byte[] bytes = codec.write(random(r));
        assertThrows(BadPacketException.class, () -> codec.read(Arrays.copyOf(bytes, r.nextInt(bytes.length)), LAST));
        assertThrows(BadPacketException.class, () -> codec.read(Arrays.copyOf(bytes, bytes.length + 1), LAST));
    }

    @Property(tries = 300, seed = "83")
    void noiseNeverChangesAFleetAndNeverEndsIt(@ForAll long seed) {
        Random r = new Random(seed);
        Fleet fleet = fleet();
        String before = fleet.rows("members").toString() + fleet.rows("limits") + fleet.rows("verdicts");
        for (int i = 0; i < 20; i++) {
            byte[] noise = new byte[r.nextInt(1_400)];
            r.nextBytes(noise);
            fleet.receive(NOW + 1, noise);
        }
        assertEquals(before, fleet.rows("members").toString() + fleet.rows("limits") + fleet.rows("verdicts"));
        assertEquals("20", fleet.fields().get("fleet-dropped-unreadable"));
        assertTrue(fleet.takePackets().isEmpty());
    }

    private static Fleet fleet() {
        Fleet fleet = new Fleet(
                new FleetSetup(
                        "west",
                        new Membership.Setup("router-0", "127.0.0.1:7000", List.of(), 200_000, 3, 2, 600_000_000, 50),
                        4,
                        new LeaseTimes(3_000_000, 300_000),
                        List.of(new LimitRule("origin", Scope.ORIGIN, "", LimitMeasure.PER_SECOND, 100)),
                        Optional.of(VirtualFleet.VERDICTS)),
                NOW,
                5);
        fleet.updateMembers(NOW, Map.of(99L, new Fleet.Listed("origin", Role.ORIGIN, 0)));
        return fleet;
    }

    private static String members(Fleet fleet) {
        return fleet.rows("members").orElseThrow().toString();
    }

    @Test
    void anotherClustersPacketsAreCountedAndChangeNothing() {
        Fleet fleet = fleet();
        String before = members(fleet);
        fleet.receive(NOW, new PacketCodec("east").write(new Packet(FROM, 1, new Packet.Ping(), List.of(), List.of())));
        assertEquals(before, members(fleet));
        assertEquals("1", fleet.fields().get("fleet-dropped-foreign"));
        assertTrue(fleet.takePackets().isEmpty());
    }

    @Test
    void anImpossibleIncarnationIsCountedAndChangesNothing() {
        Fleet fleet = fleet();
        String before = members(fleet);
        for (long incarnation : new long[] {0, -1, Long.MAX_VALUE, LAST + 1}) {
            RouterRecord odd = new RouterRecord("router-2", "127.0.0.1:7002", 9, incarnation, RouterStatus.ALIVE);
            fleet.receive(NOW, codec.write(new Packet(odd, 1, new Packet.Ping(), List.of(), List.of())));
            fleet.receive(NOW, codec.write(new Packet(FROM, 1, new Packet.Ping(), List.of(odd), List.of())));
        }
        assertEquals(before, members(fleet));
        assertEquals("8", fleet.fields().get("fleet-dropped-impossible"));
    }

    @Test
    void aCountThatThePacketDoesNotHoldIsNotBelieved() {
        byte[] bytes = codec.write(new Packet(FROM, 1, new Packet.News(), List.of(), List.of()));
        bytes[bytes.length - 2] = (byte) 255; // 255 routers, and no byte of them
        assertThrows(BadPacketException.class, () -> codec.read(bytes, LAST));
        assertThrows(BadPacketException.class, () -> codec.read(new byte[1_000_000], LAST));
    }

    @Test
    void theTableOfRoutersIsBounded() {
        Fleet fleet = fleet();
        for (int i = 0; i < 1_000; i++) {
            fleet.receive(
                    NOW,
                    codec.write(new Packet(
                            FROM,
                            1 + i,
                            new Packet.News(),
                            List.of(new RouterRecord("x" + i, "127.0.0.1:9000", 1, 5, RouterStatus.ALIVE)),
                            List.of())));
        }
        assertEquals(51, fleet.rows("members").orElseThrow().size());
        assertEquals("951", fleet.fields().get("fleet-dropped-too-many-routers"));
    }

    @Test
    void oldNewsComingAgainDoesNoHarm() {
        Fleet fleet = fleet();
        List<byte[]> all = new ArrayList<>();
        for (RouterStatus s : new RouterStatus[] {RouterStatus.ALIVE, RouterStatus.SUSPECT, RouterStatus.DEAD}) {
            all.add(codec.write(new Packet(
                    FROM,
                    1,
                    new Packet.News(),
                    List.of(new RouterRecord("router-3", "127.0.0.1:7003", 1, 7, s)),
                    List.of())));
        }
        all.add(codec.write(new Packet(
                FROM,
                1,
                new Packet.News(),
                List.of(new RouterRecord("router-3", "127.0.0.1:7003", 1, 8, RouterStatus.ALIVE)),
                List.of())));
        all.forEach(b -> fleet.receive(NOW, b));
        for (int i = 0; i < 100; i++) {
            fleet.receive(NOW, all.get(new Random(i).nextInt(all.size())));
        }
        assertTrue(
                members(fleet).contains("name=router-3, address=127.0.0.1:7003, standing=alive, incarnation=8"),
                members(fleet));
    }

    @Test
    void aLeaseLargerThanTheLimitIsNotTaken() {
        Fleet fleet = fleet();
        // router-x comes before this one in the cluster's order, so that it is asked
        String grantor = "router-1";
        for (int i = 1; !fleet.fields().get("fleet-grantor").equals(grantor); i++) {
            grantor = "router-" + i;
            fleet.receive(
                    NOW,
                    codec.write(new Packet(
                            new RouterRecord(grantor, "127.0.0.1:7001", 9, 5, RouterStatus.ALIVE),
                            1,
                            new Packet.News(),
                            List.of(),
                            List.of())));
        }
        fleet.takePackets();
        fleet.advance(NOW + 700_000);
        long[] limitAndAsk = new long[2];
        for (Datagram d : fleet.takePackets()) {
            try {
                Packet p = codec.read(d.bytes(), LAST);
                if (p.body() instanceof Packet.Ask a) {
                    limitAndAsk = new long[] {a.wants().get(0).limit(), p.number()};
                }
            } catch (BadPacketException e) {
                throw new AssertionError(e);
            }
        }
        assertTrue(limitAndAsk[1] > 0, "it asks");
        RouterRecord from = new RouterRecord(grantor, "127.0.0.1:7001", 9, 5, RouterStatus.ALIVE);
        fleet.receive(
                NOW + 700_001,
                codec.write(new Packet(
                        from,
                        2,
                        new Packet.Grant(limitAndAsk[1], 1, List.of(new Part(limitAndAsk[0], 101))),
                        List.of(),
                        List.of())));
        assertEquals("1", fleet.fields().get("fleet-dropped-oversized-lease"));
        assertEquals("alone", fleet.rows("limits").orElseThrow().get(0).get("state"));
        fleet.receive(
                NOW + 700_002,
                codec.write(new Packet(
                        from,
                        3,
                        new Packet.Grant(limitAndAsk[1], 1, List.of(new Part(limitAndAsk[0], 30))),
                        List.of(),
                        List.of())));
        assertEquals("leased", fleet.rows("limits").orElseThrow().get(0).get("state"));
    }

    /** The longest name, and bodies as full as they get: they leave room for themselves at least. */
    @Test
    void theFullestBodiesFitAPacket() {
        RouterRecord longest =
                new RouterRecord("r".repeat(PacketCodec.LONGEST_NAME), "127.255.255.255:65535", 1, 1, RouterStatus.ALIVE);
        Random r = new Random(4);
        for (Packet.Body body : List.of(
                new Packet.PlanReport(
                        1,
                        1,
                        1,
                        true,
                        r.longs(60).mapToObj(m -> new Packet.Use(m, 1, 1)).toList()),
                new Packet.Piece(1, 0, 1, new byte[900]),
                new Packet.DrainAsk(new DrainCommand(
                        DrainCommand.Kind.REQUEST,
                        1,
                        1,
                        1,
                        0,
                        r.longs(120).boxed().toList())),
                new Packet.Sums(r.longs(Membership.MOST_PARTS).boxed().toList(), true))) {
            assertTrue(codec.room(longest, body) >= 0, body.getClass()::getSimpleName);
            assertTrue(codec.write(new Packet(longest, 1, body, List.of(), List.of())).length <= PacketCodec.LONGEST);
        }
    }
}
