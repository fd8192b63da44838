package pumicemoor.fleet.membership;

import java.util.Comparator;

/**
 * What is known of a router. The instance is new with each start of the process and increases with the start time. Only
 * the router itself raises its incarnation, so the record with the higher incarnation is the more recent one, no matter
 * when it was received.
 */
public record RouterRecord(String name, String address, long instance, long incarnation, RouterStatus status) {

    private static final Comparator<RouterRecord> PRECEDENCE = Comparator.comparingLong(RouterRecord::incarnation)
            .thenComparing(RouterRecord::status)
            .thenComparingLong(RouterRecord::instance);

    /** Whether this record replaces another one about the same name. */
    boolean overrides(RouterRecord other) {
        return PRECEDENCE.compare(this, other) > 0;
    }

    /** A copy of this record with another status. */
    public RouterRecord withStatus(RouterStatus next) {
        return new RouterRecord(name, address, instance, incarnation, next);
    }
}
