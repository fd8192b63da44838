package pumicemoor.fleet.drains;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The plans that one router holds: the newest it has received, and the newest it knows to be in force, which is the
 * only one it acts on. Owns the pieces of a plan that is still incomplete. A plan is replaced only by one with a
 * higher stamp.
 *
 * <p>Plans are not persisted. A restarted process has lost them, and counts as recovered only once a leader has
 * reported to it which plan is in force and it holds that plan.
 */
final class PlanStore {

    static final int MAX_PIECE_BYTES = 900;

    private Plan newest = Plan.NONE;
    private Plan applied = Plan.NONE;
    private boolean recovered;
    private long assemblingStamp; // stamp of the plan whose pieces are being collected
    private byte[][] pieces = new byte[0][];

    Plan newest() {
        return newest;
    }

    Plan applied() {
        return applied;
    }

    /** Returns whether this process has learned since its start which plan was in force. */
    boolean recovered() {
        return recovered;
    }

    /** Stores a complete plan; returns false if it is not newer than the one held. */
    boolean store(Plan plan) {
        if (plan.stamp() <= newest.stamp()) {
            return false;
        }
        newest = plan;
        return true;
    }

    /** Adds a piece of a plan; returns true if it completes a plan that is newer than the one held. */
    boolean addPiece(long stamp, int index, int count, byte[] bytes) {
        if (stamp <= newest.stamp()
                || stamp < assemblingStamp
                || count < 1
                || count > PlanCodec.MAX_PLAN_BYTES / MAX_PIECE_BYTES + 1
                || index < 0
                || index >= count
                || bytes.length > MAX_PIECE_BYTES) {
            return false;
        }
        if (stamp > assemblingStamp || pieces.length != count) {
            assemblingStamp = stamp;
            pieces = new byte[count][];
        }
        pieces[index] = bytes;
        if (Arrays.stream(pieces).anyMatch(p -> p == null)) {
            return false;
        }
        java.io.ByteArrayOutputStream assembled = new java.io.ByteArrayOutputStream();
        Arrays.stream(pieces).forEach(assembled::writeBytes);
        pieces = new byte[0][];
        Plan plan = PlanCodec.read(assembled.toByteArray());
        return plan != null && plan.stamp() == stamp && store(plan);
    }

    /** Returns the newest plan, encoded and split into pieces that each fit in a packet. */
    List<byte[]> pieces() {
        byte[] encoded = PlanCodec.write(newest);
        List<byte[]> split = new ArrayList<>();
        for (int from = 0; from < encoded.length; from += MAX_PIECE_BYTES) {
            split.add(Arrays.copyOfRange(encoded, from, Math.min(encoded.length, from + MAX_PIECE_BYTES)));
        }
        return split;
    }

    /**
     * Records the leader's report of the plan in force. If this router holds that plan or a newer one, it counts as
     * recovered from then on. Returns whether the applied plan has changed.
     */
    boolean confirmInForce(long stamp) {
        if (newest.stamp() < stamp) {
            return false; // the plan has not arrived yet
        }
        recovered = true;
        if (newest.stamp() > stamp || applied.stamp() >= stamp) {
            return false; // a newer plan is not known to be in force yet
        }
        applied = newest;
        return true;
    }
}
