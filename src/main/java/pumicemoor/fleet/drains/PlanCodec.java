package pumicemoor.fleet.drains;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Encodes and decodes drain plans. It must not allocate memory for counts that an encoded plan merely claims, nor
 * return an invalid plan.
 */
final class PlanCodec {

    /** The largest size of an encoded plan: stamp and counts, then each request, order and closed request id. */
    static final int MAX_PLAN_BYTES =
            24 + Plan.MAX_OPEN_REQUESTS * 17 + Plan.MAX_ORDERS * 30 + Plan.MAX_CLOSED_REQUESTS * 8;

    private PlanCodec() {}

    static byte[] write(Plan plan) {
        ByteBuffer out = ByteBuffer.allocate(MAX_PLAN_BYTES);
        out.putLong(plan.stamp()).put((byte) plan.requests().size());
        plan.requests().forEach(r -> out.putLong(r.id())
                .put((byte) r.slot())
                .putInt(r.maxOut())
                .putInt(r.minServing()));
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

    /** Decodes a plan; returns null if the bytes are not exactly one valid plan. */
    static Plan read(byte[] bytes) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        try {
            long stamp = in.getLong();
            List<DrainRequest> requests = new ArrayList<>();
            Set<Integer> slots = new HashSet<>();
            for (int remaining = checkedCount(in.get() & 0xff, Plan.MAX_OPEN_REQUESTS); remaining > 0; remaining--) {
                DrainRequest request = new DrainRequest(in.getLong(), in.get(), in.getInt(), in.getInt());
                if (request.slot() < 0
                        || request.slot() >= Plan.MAX_OPEN_REQUESTS
                        || !slots.add(request.slot())
                        || request.maxOut() < 1
                        || request.minServing() < 0) {
                    return null;
                }
                requests.add(request);
            }
            List<DrainOrder> orders = new ArrayList<>();
            Set<Long> members = new HashSet<>();
            for (int remaining = checkedCount(in.getShort(), Plan.MAX_ORDERS); remaining > 0; remaining--) {
                DrainOrder order = new DrainOrder(
                        in.getLong(),
                        MemberKind.values()[in.get()],
                        in.getInt(),
                        Phase.values()[in.get()],
                        in.getLong(),
                        in.getLong());
                if (!members.add(order.member()) || order.fence() > stamp || order.fence() < 1) {
                    return null;
                }
                orders.add(order);
            }
            List<Long> closed = new ArrayList<>();
            for (int remaining = checkedCount(in.get(), Plan.MAX_CLOSED_REQUESTS); remaining > 0; remaining--) {
                closed.add(in.getLong());
            }
            return stamp < 1 || in.hasRemaining()
                    ? null
                    : new Plan(stamp, List.copyOf(requests), List.copyOf(orders), List.copyOf(closed));
        } catch (BufferUnderflowException | ArrayIndexOutOfBoundsException e) {
            return null;
        }
    }

    private static int checkedCount(int claimed, int max) {
        if (claimed < 0 || claimed > max) {
            throw new BufferUnderflowException();
        }
        return claimed;
    }
}
