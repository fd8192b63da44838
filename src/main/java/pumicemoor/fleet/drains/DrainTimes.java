package pumicemoor.fleet.drains;

/**
 * The times of drains, microseconds: how long a member is drained at least, how long what it was sent may take to end, from
 * when on a router that is dead counts as gone, when a member that does not come back is spoken of, and how long a cache
 * and a parent take to warm.
 */
public record DrainTimes(long least, long drain, long gone, long overdue, long cacheWarm, long parentWarm) {

    long warm(Tier tier) {
        return tier == Tier.CACHE ? cacheWarm : tier == Tier.PARENT ? parentWarm : 0;
    }
}
