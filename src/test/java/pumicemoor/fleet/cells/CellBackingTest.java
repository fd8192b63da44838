package pumicemoor.fleet.cells;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static pumicemoor.fleet.cells.VirtualCells.CLUSTER;
import static pumicemoor.fleet.cells.VirtualCells.SECOND;
import static pumicemoor.fleet.cells.VirtualCells.TIMES;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import pumicemoor.RouterApi.LimitMeasure;
import pumicemoor.fleet.BadPacketException;
import pumicemoor.fleet.Datagram;
import pumicemoor.fleet.Packet;
import pumicemoor.fleet.PacketCodec;
import pumicemoor.fleet.cells.VirtualCells.Router;

/**
 * Votes as they go over the wire, which is what the rule of one keeper rests on: no router promises itself to two within
 * three leases, and no cell's grantor speaks for more routers than have promised themselves to it for the time that it
 * promises itself.
 */
class CellBackingTest {

    private static final long BOUND = 3 * TIMES.lease();
    private static final long UPPER = 2 * TIMES.lease();

    private record Promise(Router to, long toStarted, long at) {}

    private static final class Wire {
        final VirtualCells fleet;
        final PacketCodec above = new PacketCodec(CLUSTER + "/^");
        final Map<Router, Promise> promises = new HashMap<>();
        long asks;
        int most;

        Wire(VirtualCells fleet) {
            this.fleet = fleet;
        }

        void sent(Router from, Datagram d) {
            PacketCodec cell = new PacketCodec(CLUSTER + "/" + from.cell());
            long cluster = PacketCodec.cluster(d.bytes());
            Router to = fleet.routers.stream()
                    .filter(r -> r.address.equals(d.address()))
                    .findFirst()
                    .orElse(null);
            if (to != null && cluster == cell.cluster()) {
                if (read(cell, d).body() instanceof Packet.Ask a && a.vote()) {
                    promise(from, to);
                }
            } else if (cluster == above.cluster() && read(above, d).body() instanceof Packet.CellAsk a && a.vote()) {
                asks++;
                most = Math.max(most, a.backing());
                long bound = promises.entrySet().stream()
                        .filter(e -> e.getKey() != from
                                && e.getValue().to() == from
                                && e.getValue().toStarted() == from.startedAt
                                && e.getValue().at() + BOUND > fleet.now + UPPER)
                        .count();
                assertTrue(
                        a.backing() <= bound + 1,
                        () -> from + " speaks for " + a.backing() + " routers, " + bound
                                + " and itself are bound to it for long enough");
            }
        }

        private void promise(Router from, Router to) {
            Promise before = promises.put(from, new Promise(to, to.startedAt, fleet.now));
            assertTrue(
                    before == null || before.to() == to || fleet.now >= before.at() + BOUND,
                    () -> from + " promises itself to " + to + " while bound to " + before.to());
            assertTrue(
                    fleet.now >= from.startedAt + BOUND,
                    () -> from + " votes though it may not know whom it voted for");
        }

        private Packet read(PacketCodec codec, Datagram d) {
            try {
                return codec.read(d.bytes(), Long.MAX_VALUE / 2);
            } catch (BadPacketException e) {
                throw new AssertionError(from(d), e);
            }
        }

        private static String from(Datagram d) {
            return "a packet to " + d.address() + " can't be read";
        }
    }

    @Property(tries = 5, seed = "5701", shrinking = ShrinkingMode.OFF)
    void nobodyPromisesTwiceAndNoGrantorSpeaksForMoreThanAreBound(@ForAll long seed) {
        Random random = new Random(seed);
        VirtualCells fleet = new VirtualCells(22, 5, 2, LimitMeasure.PER_SECOND, 1_000, seed);
        fleet.add("a", 0, 9);
        fleet.add("b", 0, 5);
        fleet.add("c", 1, 8);
        Wire wire = new Wire(fleet);
        fleet.sends = wire::sent;
        fleet.startAll();
        fleet.run(30 * SECOND);
        for (int i = 0; i < 20; i++) {
            CellSchedulesTest.change(fleet, random, seed % 2 == 0);
            fleet.run((long) (random.nextDouble() * 4 * SECOND));
        }
        assertTrue(wire.asks > 100 && wire.most > 2, () -> wire.asks + " asks, for " + wire.most + " at most");
    }
}
