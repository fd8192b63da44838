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
import pumicemoor.fleet.Packet.Demand;
import pumicemoor.fleet.Packet.GrantedShare;
import pumicemoor.fleet.drains.DrainCommand;
import pumicemoor.fleet.limits.LeaseTimes;
import pumicemoor.fleet.membership.Membership;
import pumicemoor.fleet.membership.RouterRecord;
import pumicemoor.fleet.membership.RouterStatus;
import pumicemoor.fleet.verdicts.Ejection;
import pumicemoor.fleet.verdicts.FailureReport;
import pumicemoor.fleet.verdicts.FailureReport.Cause;

/** Encoded packets decode to equal packets; anything else is rejected, counted and changes no state. */
class PacketCodecTest {

    private static final long NOW = 1_790_000_000_000_000L;
    private static final long LAST_INCARNATION = Membership.maxIncarnation(NOW);
    private static final RouterRecord FROM =
            new RouterRecord("router-1", "127.0.0.1:7001", 9, 1_790_000_000_000L, RouterStatus.ALIVE);
    private final PacketCodec codec = new PacketCodec("west");

    private static Packet randomPacket(Random random) {
        Packet.Body body =
                switch (random.nextInt(15)) {
                    case 0 -> new Packet.Ping();
                    case 1 -> new Packet.Ack(random.nextLong());
                    case 2 -> new Packet.Relay("127.0.0.1:" + (1 + random.nextInt(65_535)));
                    case 3 -> new Packet.Compare(random.nextLong(), random.nextBoolean());
                    case 4 -> new Packet.News();
                    case 5 -> {
                        List<Demand> demands = new ArrayList<>();
                        for (int i = random.nextInt(PacketCodec.MAX_DEMANDS + 1); i > 0; i--) {
                            demands.add(new Demand(
                                    random.nextLong(), random.nextLong(), random.nextInt(1_000), random.nextInt(50)));
                        }
                        List<FailureReport> failureReports = new ArrayList<>();
                        for (int i = random.nextInt(PacketCodec.MAX_FAILURE_REPORTS + 1); i > 0; i--) {
                            failureReports.add(new FailureReport(
                                    random.nextLong(),
                                    random.nextLong(),
                                    Cause.values()[random.nextInt(2)],
                                    random.nextInt(100),
                                    0.5));
                        }
                        yield new Packet.Ask(
                                random.nextBoolean(), random.nextLong(), random.nextLong(), demands, failureReports);
                    }
                    case 6 ->
                        new Packet.PlanReport(
                                random.nextInt(900),
                                700,
                                random.nextInt(700),
                                random.nextBoolean(),
                                random.longs(random.nextInt(20))
                                        .mapToObj(
                                                m -> new Packet.MemberUsage(m, random.nextInt(90), random.nextInt(90)))
                                        .toList());
                    case 7 ->
                        new Packet.PlanGrant(
                                random.nextLong(),
                                random.nextLong(),
                                random.nextInt(900),
                                random.nextBoolean(),
                                random.nextInt(99),
                                5);
                    case 8 -> {
                        byte[] fragment = new byte[random.nextInt(300)];
                        random.nextBytes(fragment);
                        yield new Packet.Piece(random.nextInt(99), random.nextInt(9), 9, fragment);
                    }
                    case 9 ->
                        new Packet.DrainAsk(new DrainCommand(
                                DrainCommand.Kind.values()[random.nextInt(3)],
                                random.nextLong(),
                                1 + random.nextInt(50),
                                random.nextInt(99),
                                random.nextInt(99),
                                random.longs(1 + random.nextInt(40)).boxed().toList()));
                    case 10 -> {
                        List<Packet.CellDemand> demands = new ArrayList<>();
                        for (int i = random.nextInt(PacketCodec.MAX_CELL_DEMANDS + 1); i > 0; i--) {
                            demands.add(new Packet.CellDemand(
                                    random.nextLong(),
                                    random.nextLong(),
                                    random.nextInt(512),
                                    random.nextDouble() * 1e9,
                                    random.nextDouble() * 1e9));
                        }
                        List<FailureReport> failureReports = new ArrayList<>();
                        for (int i = random.nextInt(PacketCodec.MAX_FAILURE_REPORTS + 1); i > 0; i--) {
                            failureReports.add(new FailureReport(
                                    random.nextLong(),
                                    random.nextLong(),
                                    Cause.values()[random.nextInt(2)],
                                    random.nextInt(100),
                                    0.5,
                                    random.nextInt(500)));
                        }
                        yield new Packet.CellAsk(
                                random.nextBoolean(),
                                random.nextLong(),
                                random.nextInt(900),
                                random.nextInt(512),
                                random.nextInt(900),
                                demands,
                                failureReports);
                    }
                    case 11 ->
                        new Packet.Join(
                                "zone-" + random.nextInt(130),
                                random.nextInt(PacketCodec.MAX_CELL_DEPTH + 1),
                                random.nextInt(PacketCodec.MAX_JOIN_HOPS + 1));
                    case 12 ->
                        new Packet.Place(
                                random.nextInt(9_999),
                                random.nextInt(PacketCodec.MAX_CELL_DEPTH + 2) - 1,
                                addresses(random),
                                addresses(random));
                    case 13 ->
                        new Packet.Sums(
                                random.longs(1L << random.nextInt(7)).boxed().toList(), random.nextBoolean());
                    default ->
                        new Packet.Grant(
                                random.nextLong(),
                                random.nextLong(),
                                List.of(new GrantedShare(random.nextLong(), random.nextInt(500))));
                };
        List<RouterRecord> routers = new ArrayList<>();
        for (int i = random.nextInt(4); i > 0; i--) {
            routers.add(new RouterRecord(
                    "r" + random.nextInt(99),
                    "127.0.0.1:" + (1 + random.nextInt(65_535)),
                    1 + random.nextInt(99),
                    1 + random.nextInt(99),
                    RouterStatus.values()[random.nextInt(4)]));
        }
        List<Ejection> ejections = random.nextBoolean()
                ? List.of()
                : List.of(new Ejection(
                        random.nextLong(),
                        random.nextLong(),
                        1 + random.nextInt(999),
                        random.nextBoolean(),
                        random.nextInt(9_999),
                        random.nextInt(99),
                        Cause.SILENT,
                        3,
                        0.25,
                        "router-7"));
        return new Packet(FROM, 1 + random.nextInt(9_999), body, routers, ejections);
    }

    private static List<String> addresses(Random random) {
        return random.ints(random.nextInt(PacketCodec.MAX_ADDRESSES + 1), 1, 65_536)
                .mapToObj(port -> "127.0.0.1:" + port)
                .toList();
    }

    /** Values that no router of a fleet with cells can send: too deep, forwarded too often, too many routers. */
    @Test
    void impossibleCellValuesAreRejected() {
        for (Packet.Body body : List.of(
                new Packet.Join("zone-a", PacketCodec.MAX_CELL_DEPTH + 1, 0),
                new Packet.Join("zone-a", 0, PacketCodec.MAX_JOIN_HOPS + 1),
                new Packet.Place(1, -2, List.of(), List.of()),
                new Packet.Place(-1, 0, List.of(), List.of()),
                new Packet.Sums(List.of(), true),
                new Packet.Sums(List.of(1L, 2L, 3L), true),
                new Packet.Sums(java.util.Collections.nCopies(2 * Membership.MAX_DIGEST_PARTS, 1L), true),
                new Packet.Place(
                        1,
                        0,
                        java.util.Collections.nCopies(PacketCodec.MAX_ADDRESSES + 1, "127.0.0.1:7000"),
                        List.of()),
                new Packet.CellAsk(true, 1, 1, -1, 1, List.of(), List.of()),
                new Packet.CellAsk(
                        true,
                        1,
                        1,
                        1,
                        1,
                        List.of(new Packet.CellDemand(1, 0, PacketCodec.MAX_ROUTERS + 1, 1, 1)),
                        List.of()),
                new Packet.CellAsk(
                        true, 1, 1, 1, 1, List.of(new Packet.CellDemand(1, 0, 1, Double.NaN, 1)), List.of()))) {
            byte[] bytes = codec.write(new Packet(FROM, 1, body, List.of(), List.of()));
            assertThrows(BadPacketException.class, () -> codec.read(bytes, LAST_INCARNATION), body.toString());
        }
    }

    @Property(tries = 500, seed = "81")
    void encodedPacketsDecodeToEqualPackets(@ForAll long seed) throws BadPacketException {
        Packet packet = randomPacket(new Random(seed));
        byte[] bytes = codec.write(packet);
        assertTrue(bytes.length <= PacketCodec.MAX_PACKET_BYTES);
        assertEquals(packet, codec.read(bytes, LAST_INCARNATION));
        assertArrayEquals(bytes, codec.write(codec.read(bytes, LAST_INCARNATION)));
    }

    @Property(tries = 500, seed = "82")
    void truncatedOrOverlongPacketsAreRejected(@ForAll long seed) {
        Random random = new Random(seed);
        byte[] bytes = codec.write(randomPacket(random));
        assertThrows(
                BadPacketException.class,
                () -> codec.read(Arrays.copyOf(bytes, random.nextInt(bytes.length)), LAST_INCARNATION));
        assertThrows(
                BadPacketException.class, () -> codec.read(Arrays.copyOf(bytes, bytes.length + 1), LAST_INCARNATION));
    }

    @Property(tries = 300, seed = "83")
    void randomBytesNeverChangeOrCrashAFleet(@ForAll long seed) {
        Random random = new Random(seed);
        Fleet fleet = fleet();
        String before = fleet.rows("members").toString() + fleet.rows("limits") + fleet.rows("verdicts");
        for (int i = 0; i < 20; i++) {
            byte[] noise = new byte[random.nextInt(1_400)];
            random.nextBytes(noise);
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
                        Optional.of(VirtualFleet.EJECTION_RULES)),
                NOW,
                5);
        fleet.updateMembers(NOW, Map.of(99L, new Fleet.ListedMember("origin", Role.ORIGIN, 0)));
        return fleet;
    }

    private static String members(Fleet fleet) {
        return fleet.rows("members").orElseThrow().toString();
    }

    @Test
    void packetsOfAnotherClusterAreCountedAndChangeNothing() {
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
        for (long incarnation : new long[] {0, -1, Long.MAX_VALUE, LAST_INCARNATION + 1}) {
            RouterRecord impossible =
                    new RouterRecord("router-2", "127.0.0.1:7002", 9, incarnation, RouterStatus.ALIVE);
            fleet.receive(NOW, codec.write(new Packet(impossible, 1, new Packet.Ping(), List.of(), List.of())));
            fleet.receive(NOW, codec.write(new Packet(FROM, 1, new Packet.Ping(), List.of(impossible), List.of())));
        }
        assertEquals(before, members(fleet));
        assertEquals("8", fleet.fields().get("fleet-dropped-impossible"));
    }

    @Test
    void countsBeyondThePacketAreRejected() {
        byte[] bytes = codec.write(new Packet(FROM, 1, new Packet.News(), List.of(), List.of()));
        bytes[bytes.length - 2] = (byte) 255; // claims 255 router records but contains none
        assertThrows(BadPacketException.class, () -> codec.read(bytes, LAST_INCARNATION));
        assertThrows(BadPacketException.class, () -> codec.read(new byte[1_000_000], LAST_INCARNATION));
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
    void repeatedOldRecordsChangeNothing() {
        Fleet fleet = fleet();
        List<byte[]> packets = new ArrayList<>();
        for (RouterStatus status : new RouterStatus[] {RouterStatus.ALIVE, RouterStatus.SUSPECT, RouterStatus.DEAD}) {
            packets.add(codec.write(new Packet(
                    FROM,
                    1,
                    new Packet.News(),
                    List.of(new RouterRecord("router-3", "127.0.0.1:7003", 1, 7, status)),
                    List.of())));
        }
        packets.add(codec.write(new Packet(
                FROM,
                1,
                new Packet.News(),
                List.of(new RouterRecord("router-3", "127.0.0.1:7003", 1, 8, RouterStatus.ALIVE)),
                List.of())));
        packets.forEach(b -> fleet.receive(NOW, b));
        for (int i = 0; i < 100; i++) {
            fleet.receive(NOW, packets.get(new Random(i).nextInt(packets.size())));
        }
        assertTrue(
                members(fleet).contains("name=router-3, address=127.0.0.1:7003, standing=alive, incarnation=8"),
                members(fleet));
    }

    @Test
    void aLeaseLargerThanTheLimitIsRejected() {
        Fleet fleet = fleet();
        // Finds a router that ranks before this one, so that this one asks it for leases.
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
        for (Datagram datagram : fleet.takePackets()) {
            try {
                Packet packet = codec.read(datagram.bytes(), LAST_INCARNATION);
                if (packet.body() instanceof Packet.Ask ask) {
                    limitAndAsk = new long[] {ask.demands().get(0).limit(), packet.number()};
                }
            } catch (BadPacketException e) {
                throw new AssertionError(e);
            }
        }
        assertTrue(limitAndAsk[1] > 0, "the router asks its grantor for a lease");
        RouterRecord from = new RouterRecord(grantor, "127.0.0.1:7001", 9, 5, RouterStatus.ALIVE);
        fleet.receive(
                NOW + 700_001,
                codec.write(new Packet(
                        from,
                        2,
                        new Packet.Grant(limitAndAsk[1], 1, List.of(new GrantedShare(limitAndAsk[0], 101))),
                        List.of(),
                        List.of())));
        assertEquals("1", fleet.fields().get("fleet-dropped-oversized-lease"));
        assertEquals("alone", fleet.rows("limits").orElseThrow().get(0).get("state"));
        fleet.receive(
                NOW + 700_002,
                codec.write(new Packet(
                        from,
                        3,
                        new Packet.Grant(limitAndAsk[1], 1, List.of(new GrantedShare(limitAndAsk[0], 30))),
                        List.of(),
                        List.of())));
        assertEquals("leased", fleet.rows("limits").orElseThrow().get(0).get("state"));
    }

    /** With the longest name and address, the largest bodies still fit into a packet. */
    @Test
    void theLargestBodiesFitIntoAPacket() {
        RouterRecord longest = new RouterRecord(
                "r".repeat(PacketCodec.MAX_NAME_LENGTH), "127.255.255.255:65535", 1, 1, RouterStatus.ALIVE);
        Random random = new Random(4);
        for (Packet.Body body : List.of(
                new Packet.PlanReport(
                        1,
                        1,
                        1,
                        true,
                        random.longs(60)
                                .mapToObj(m -> new Packet.MemberUsage(m, 1, 1))
                                .toList()),
                new Packet.Piece(1, 0, 1, new byte[900]),
                new Packet.DrainAsk(new DrainCommand(
                        DrainCommand.Kind.REQUEST,
                        1,
                        1,
                        1,
                        0,
                        random.longs(120).boxed().toList())),
                new Packet.Sums(
                        random.longs(Membership.MAX_DIGEST_PARTS).boxed().toList(), true))) {
            assertTrue(codec.bytesForGossip(longest, body) >= 0, body.getClass()::getSimpleName);
            assertTrue(codec.write(new Packet(longest, 1, body, List.of(), List.of())).length
                    <= PacketCodec.MAX_PACKET_BYTES);
        }
    }
}
