package pumicemoor.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pumicemoor.fleet.VirtualFleet.MILLI;
import static pumicemoor.fleet.VirtualFleet.SECOND;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Set;
import org.junit.jupiter.api.Test;
import pumicemoor.RouterApi.LimitMeasure;

/**
 * Guards against unintended changes of the packets of a flat fleet, which are the same as before cells were introduced.
 * The expected values were recorded on the commit before the first one for cells. A deliberate change of the flat
 * fleet's packets replaces them and states why.
 */
class FlatPacketsTest {

    private static final long PACKETS = 20_292;
    private static final long BYTES = 4_693_871;
    private static final String DIGEST = "08035b20ad578e00c2839a9ceb97e1c227e41d8de3355f0f3f4a4fd58603b207";

    private record Traffic(long packets, long bytes, String digest) {}

    @Test
    void aFlatFleetSendsTheSamePacketsAsBeforeCells() {
        Traffic traffic = play(20_261_202);
        assertEquals(new Traffic(PACKETS, BYTES, DIGEST), traffic);
        assertNotEquals(traffic.digest(), play(20_261_203).digest(), "the digest distinguishes runs");
    }

    /**
     * 30 routers for 30 s: limits with moving demand, ejections decided and withdrawn, packet loss, a death and a
     * restart.
     */
    private static Traffic play(long seed) {
        VirtualFleet fleet = new VirtualFleet(30, 30, 10, LimitMeasure.PER_SECOND, 1_000, seed);
        MessageDigest digest = sha256();
        long startedAt = fleet.now;
        fleet.sendObserver = (from, packet) -> {
            digest.update(ByteBuffer.allocate(8).putLong(0, fleet.now - startedAt));
            digest.update((from.name + ">" + packet.address()).getBytes(StandardCharsets.US_ASCII));
            digest.update(packet.bytes());
        };
        fleet.routers.subList(0, 4).forEach(r -> r.demand = 400);
        fleet.startAll();
        fleet.run(8 * SECOND, () -> {});
        for (int i = 0; i < 12; i++) {
            int round = i;
            fleet.lossRate = i % 3 == 0 ? 0.2 : 0;
            fleet.routers.subList(5, 8).forEach(r -> fleet.reportHealth(r, 1_003, round < 8));
            fleet.routers.subList(9, 11).forEach(r -> fleet.reportHealth(r, 1_005, round % 2 == 0));
            if (i == 3) {
                fleet.kill(fleet.routers.get(2));
            } else if (i == 9) {
                fleet.start(fleet.routers.get(2));
            } else if (i == 5) {
                fleet.routers.get(20).demand = 800;
            }
            fleet.run(SECOND + 500 * MILLI, () -> {});
            if (i == 6) {
                assertEquals(Set.of(1_003L, 1_005L), fleet.ejectedAnywhere(), "ejections are gossiped in this run");
            }
        }
        fleet.run(4 * SECOND, () -> {});
        assertEquals(30 * SECOND, fleet.now - startedAt);
        assertTrue(fleet.totalLimitShares() > 500, "leases are granted in this run");
        return new Traffic(fleet.packetsSent, fleet.bytesSent, HexFormat.of().formatHex(digest.digest()));
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new AssertionError(e);
        }
    }
}
