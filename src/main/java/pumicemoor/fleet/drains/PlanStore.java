package pumicemoor.fleet.drains;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The plans that one router holds: the newest it was given, and the newest it knows to be in force, which alone is acted
 * on. It owns the pieces of a plan on its way. A plan gives way to one of a higher stamp alone. A process that has started
 * anew remembers nothing and does not count among those who do until a keeper has told it what is in force.
 */
final class PlanStore {

    static final int PIECE = 900; // bytes

    private Plan held = Plan.NONE;
    private Plan applied = Plan.NONE;
    private boolean seasoned;
    private long coming; // the stamp whose pieces are gathered
    private byte[][] pieces = new byte[0][];

    Plan held() {
        return held;
    }

    Plan applied() {
        return applied;
    }

    /** Whether it remembers, as far as any router can, what was agreed. */
    boolean seasoned() {
        return seasoned;
    }

    /** Takes a whole plan; true where it is newer. */
    boolean hold(Plan plan) {
        if (plan.stamp() <= held.stamp()) {
            return false;
        }
        held = plan;
        return true;
    }

    /** Takes a piece of a plan; true where the plan is whole with it and newer. */
    boolean take(long stamp, int index, int count, byte[] bytes) {
        if (stamp <= held.stamp()
                || stamp < coming
                || count < 1
                || count > PlanCodec.LONGEST / PIECE + 1
                || index < 0
                || index >= count
                || bytes.length > PIECE) {
            return false;
        }
        if (stamp > coming || pieces.length != count) {
            coming = stamp;
            pieces = new byte[count][];
        }
        pieces[index] = bytes;
        if (Arrays.stream(pieces).anyMatch(p -> p == null)) {
            return false;
        }
        java.io.ByteArrayOutputStream all = new java.io.ByteArrayOutputStream();
        Arrays.stream(pieces).forEach(all::writeBytes);
        pieces = new byte[0][];
        Plan plan = PlanCodec.read(all.toByteArray());
        return plan != null && plan.stamp() == stamp && hold(plan);
    }

    /** The held plan in pieces that each fit a packet. */
    List<byte[]> pieces() {
        byte[] all = PlanCodec.write(held);
        List<byte[]> parts = new ArrayList<>();
        for (int from = 0; from < all.length; from += PIECE) {
            parts.add(Arrays.copyOfRange(all, from, Math.min(all.length, from + PIECE)));
        }
        return parts;
    }

    /**
     * Hears from a keeper in office which plan is in force; from then on this router remembers where it holds it. True
     * where another is applied now.
     */
    boolean inForce(long stamp) {
        if (held.stamp() < stamp) {
            return false; // it is still on its way
        }
        seasoned = true;
        if (held.stamp() > stamp || applied.stamp() >= stamp) {
            return false; // what is newer is not yet known to be in force
        }
        applied = held;
        return true;
    }
}
