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
 * Checks the votes in the packets sent, which guarantee that there is at most one leader: no router votes for two
 * grantors within three lease times, and no cell's grantor claims the votes of more routers than are bound to it for as
 * long as its own vote on the upper level lasts.
 */
class CellBackingTest {

    private static final long VOTE_MICROS = 3 * TIMES.leaseMicros();
    private static final long UPPER_VOTE_MICROS = 2 * TIMES.leaseMicros();

    private record Vote(Router grantor, long grantorStartedAt, long votedAt) {}

    private static final class VoteChecker {
        final VirtualCells fleet;
        final PacketCodec upperCodec = new PacketCodec(CLUSTER + "/^");
        final Map<Router, Vote> votes = new HashMap<>();
        long upperVotes;
        int maxBacking;

        VoteChecker(VirtualCells fleet) {
            this.fleet = fleet;
        }

        void packetSent(Router from, Datagram datagram) {
            PacketCodec cellCodec = new PacketCodec(CLUSTER + "/" + from.cell());
            long cluster = PacketCodec.cluster(datagram.bytes());
            Router to = fleet.routers.stream()
                    .filter(r -> r.address.equals(datagram.address()))
                    .findFirst()
                    .orElse(null);
            if (to != null && cluster == cellCodec.cluster()) {
                if (read(cellCodec, datagram).body() instanceof Packet.Ask ask && ask.vote()) {
                    checkVote(from, to);
                }
            } else if (cluster == upperCodec.cluster()
                    && read(upperCodec, datagram).body() instanceof Packet.CellAsk ask
                    && ask.vote()) {
                upperVotes++;
                maxBacking = Math.max(maxBacking, ask.boundRouters());
                long bound = votes.entrySet().stream()
                        .filter(e -> e.getKey() != from
                                && e.getValue().grantor() == from
                                && e.getValue().grantorStartedAt() == from.startedAt
                                && e.getValue().votedAt() + VOTE_MICROS > fleet.now + UPPER_VOTE_MICROS)
                        .count();
                assertTrue(
                        ask.boundRouters() <= bound + 1,
                        () -> from + " claims the votes of " + ask.boundRouters() + " routers, " + bound
                                + " other routers are bound to it for long enough");
            }
        }

        private void checkVote(Router from, Router to) {
            Vote previous = votes.put(from, new Vote(to, to.startedAt, fleet.now));
            assertTrue(
                    previous == null || previous.grantor() == to || fleet.now >= previous.votedAt() + VOTE_MICROS,
                    () -> from + " votes for " + to + " while bound to " + previous.grantor());
            assertTrue(
                    fleet.now >= from.startedAt + VOTE_MICROS,
                    () -> from + " votes though it can't know for which grantor it voted before its restart");
        }

        private Packet read(PacketCodec codec, Datagram datagram) {
            try {
                return codec.read(datagram.bytes(), Long.MAX_VALUE / 2);
            } catch (BadPacketException e) {
                throw new AssertionError(unreadable(datagram), e);
            }
        }

        private static String unreadable(Datagram datagram) {
            return "a packet to " + datagram.address() + " can't be read";
        }
    }

    @Property(tries = 5, seed = "5701", shrinking = ShrinkingMode.OFF)
    void noRouterVotesTwiceAndNoGrantorClaimsMoreVotesThanAreBound(@ForAll long seed) {
        Random random = new Random(seed);
        VirtualCells fleet = new VirtualCells(22, 5, 2, LimitMeasure.PER_SECOND, 1_000, seed);
        fleet.add("a", 0, 9);
        fleet.add("b", 0, 5);
        fleet.add("c", 1, 8);
        VoteChecker checker = new VoteChecker(fleet);
        fleet.sendObserver = checker::packetSent;
        fleet.startAll();
        fleet.run(30 * SECOND);
        for (int i = 0; i < 20; i++) {
            CellSchedulesTest.change(fleet, random, seed % 2 == 0);
            fleet.run((long) (random.nextDouble() * 4 * SECOND));
        }
        assertTrue(
                checker.upperVotes > 100 && checker.maxBacking > 2,
                () -> checker.upperVotes + " votes, backed by " + checker.maxBacking + " at most");
    }
}
