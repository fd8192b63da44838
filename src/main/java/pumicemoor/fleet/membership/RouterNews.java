package pumicemoor.fleet.membership;

import java.util.Comparator;

/**
 * A belief about a router. The instance is new with each start and rises with its time; the incarnation is raised by
 * the router itself alone, so whoever has the higher one is better informed, whenever it was heard.
 */
public record RouterNews(String name, String address, long instance, long incarnation, Standing standing) {

    private static final Comparator<RouterNews> ORDER = Comparator.comparingLong(RouterNews::incarnation)
            .thenComparing(RouterNews::standing)
            .thenComparingLong(RouterNews::instance);

    /** Whether this overrides the other belief about the same name. */
    boolean overrides(RouterNews other) {
        return ORDER.compare(this, other) > 0;
    }

    /** The same router with another standing. */
    public RouterNews as(Standing next) {
        return new RouterNews(name, address, instance, incarnation, next);
    }
}
