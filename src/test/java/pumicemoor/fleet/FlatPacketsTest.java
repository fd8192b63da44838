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
 * A flat fleet sends packet for packet what it sent before there were cells. The figures were taken on the commit before
 * the first of them; who changes the flat fleet's packets on purpose writes new ones and says why.
 */
class FlatPacketsTest {

    private static final long PACKETS = 20_292;
    private static final long BYTES = 4_693_871;
    private static final String DIGEST = "08035b20ad578e00c2839a9ceb97e1c227e41d8de3355f0f3f4a4fd58603b207";

    private record Sent(long packets, long bytes, String digest) {}

    @Test
    void aFlatFleetSendsWhatItSentBeforeThereWereCells() {
        Sent sent = play(20_261_202);
        assertEquals(new Sent(PACKETS, BYTES, DIGEST), sent);
        assertNotEquals(sent.digest(), play(20_261_203).digest(), "the digest tells runs apart");
    }

    /** 30 routers for 30 s: limits with demand that moves, verdicts given and lifted, loss, a death and a restart. */
    private static Sent play(long seed) {
        VirtualFleet fleet = new VirtualFleet(30, 30, 10, LimitMeasure.PER_SECOND, 1_000, seed);
        MessageDigest digest = sha256();
        long began = fleet.now;
        fleet.sends = (from, packet) -> {
            digest.update(ByteBuffer.allocate(8).putLong(0, fleet.now - began));
            digest.update((from.name + ">" + packet.address()).getBytes(StandardCharsets.US_ASCII));
            digest.update(packet.bytes());
        };
        fleet.routers.subList(0, 4).forEach(r -> r.wanted = 400);
        fleet.startAll();
        fleet.run(8 * SECOND, () -> {});
        for (int i = 0; i < 12; i++) {
            int round = i;
            fleet.loss = i % 3 == 0 ? 0.2 : 0;
            fleet.routers.subList(5, 8).forEach(r -> fleet.judge(r, 1_003, round < 8));
            fleet.routers.subList(9, 11).forEach(r -> fleet.judge(r, 1_005, round % 2 == 0));
            if (i == 3) {
                fleet.kill(fleet.routers.get(2));
            } else if (i == 9) {
                fleet.start(fleet.routers.get(2));
            } else if (i == 5) {
                fleet.routers.get(20).wanted = 800;
            }
            fleet.run(SECOND + 500 * MILLI, () -> {});
            if (i == 6) {
                assertEquals(Set.of(1_003L, 1_005L), fleet.outAnywhere(), "verdicts are told in this run");
            }
        }
        fleet.run(4 * SECOND, () -> {});
        assertEquals(30 * SECOND, fleet.now - began);
        assertTrue(fleet.spent() > 500, "leases are told in this run");
        return new Sent(fleet.packets, fleet.bytes, HexFormat.of().formatHex(digest.digest()));
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new AssertionError(e);
        }
    }
}
