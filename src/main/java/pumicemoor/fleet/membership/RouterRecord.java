package pumicemoor.fleet.membership;

import java.util.Comparator;

/**
 * A belief about a router. The instance is new with each start and rises with its time; the incarnation is raised by
 * the router itself alone, so whoever has the higher one is better informed, whenever it was heard.
 */
public record RouterRecord(String name, String address, long instance, long incarnation, RouterStatus standing) {

    private static final Comparator<RouterRecord> ORDER = Comparator.comparingLong(RouterRecord::incarnation)
            .thenComparing(RouterRecord::standing)
            .thenComparingLong(RouterRecord::instance);

    /** Whether this overrides the other belief about the same name. */
    boolean overrides(RouterRecord other) {
        return ORDER.compare(this, other) > 0;
    }

    /** The same router with another standing. */
    public RouterRecord as(RouterStatus next) {
        return new RouterRecord(name, address, instance, incarnation, next);
    }
}
