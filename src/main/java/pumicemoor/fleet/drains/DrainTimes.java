package pumicemoor.fleet.drains;

/**
 * The times of drains, microseconds: how long a member is drained at least, how long what it was sent may take to end, from
 * when on a router that is dead counts as gone, when a member that does not come back is spoken of, and how long a cache
 * and a parent take to warm.
 */
public record DrainTimes(long least, long drain, long gone, long overdue, long cacheWarm, long parentWarm) {

    /** The same with how long members take to warm. */
    public DrainTimes warming(long caches, long parents) {
        return new DrainTimes(least, drain, gone, overdue, caches, parents);
    }

    long warm(MemberKind tier) {
        return tier == MemberKind.CACHE ? cacheWarm : tier == MemberKind.PARENT ? parentWarm : 0;
    }
}
