package pumicemoor.fleet.drains;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The bytes of a plan. It must never make room for what a plan only claims to hold, nor give back one that can't be. */
final class PlanCodec {

    static final int LONGEST = 24 + Plan.MOST_REQUESTS * 17 + Plan.MOST_ORDERS * 30 + Plan.MOST_CLOSED * 8;

    private PlanCodec() {}

    static byte[] write(Plan plan) {
        ByteBuffer out = ByteBuffer.allocate(LONGEST);
        out.putLong(plan.stamp()).put((byte) plan.requests().size());
        plan.requests().forEach(r -> out.putLong(r.id())
                .put((byte) r.slot())
                .putInt(r.mostOut())
                .putInt(r.leastServing()));
        out.putShort((short) plan.orders().size());
        plan.orders().forEach(o -> out.putLong(o.member())
                .put((byte) o.tier().ordinal())
                .putInt(o.requests())
                .put((byte) o.phase().ordinal())
                .putLong(o.fence())
                .putLong(o.since()));
        out.put((byte) plan.closed().size());
        plan.closed().forEach(out::putLong);
        byte[] bytes = new byte[out.position()];
        out.flip().get(bytes);
        return bytes;
    }

    /** Reads a plan whole; null where these bytes are none. */
    static Plan read(byte[] bytes) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        try {
            long stamp = in.getLong();
            List<DrainRequest> requests = new ArrayList<>();
            Set<Integer> slots = new HashSet<>();
            for (int left = count(in.get() & 0xff, Plan.MOST_REQUESTS); left > 0; left--) {
                DrainRequest r = new DrainRequest(in.getLong(), in.get(), in.getInt(), in.getInt());
                if (r.slot() < 0
                        || r.slot() >= Plan.MOST_REQUESTS
                        || !slots.add(r.slot())
                        || r.mostOut() < 1
                        || r.leastServing() < 0) {
                    return null;
                }
                requests.add(r);
            }
            List<DrainOrder> orders = new ArrayList<>();
            Set<Long> members = new HashSet<>();
            for (int left = count(in.getShort(), Plan.MOST_ORDERS); left > 0; left--) {
                DrainOrder o = new DrainOrder(
                        in.getLong(),
                        MemberKind.values()[in.get()],
                        in.getInt(),
                        Phase.values()[in.get()],
                        in.getLong(),
                        in.getLong());
                if (!members.add(o.member()) || o.fence() > stamp || o.fence() < 1) {
                    return null;
                }
                orders.add(o);
            }
            List<Long> closed = new ArrayList<>();
            for (int left = count(in.get(), Plan.MOST_CLOSED); left > 0; left--) {
                closed.add(in.getLong());
            }
            return stamp < 1 || in.hasRemaining()
                    ? null
                    : new Plan(stamp, List.copyOf(requests), List.copyOf(orders), List.copyOf(closed));
        } catch (BufferUnderflowException | ArrayIndexOutOfBoundsException e) {
            return null;
        }
    }

    private static int count(int claimed, int most) {
        if (claimed < 0 || claimed > most) {
            throw new BufferUnderflowException();
        }
        return claimed;
    }
}
