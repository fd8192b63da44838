package pumicemoor.fleet.drains;

/**
 * The durations of drains, in microseconds: the minimum time that a member is draining; how long requests already
 * sent to it may take to end; after how long a dead router counts as gone, so that drains proceed without it; after
 * how long a member that is still out is reported as overdue; and how long a cache and a parent take to warm up.
 */
public record DrainTimes(
        long minDrainMicros,
        long drainMicros,
        long goneMicros,
        long overdueMicros,
        long cacheWarmMicros,
        long parentWarmMicros) {

    /** Returns a copy with these warm-up times. */
    public DrainTimes withWarmTimes(long caches, long parents) {
        return new DrainTimes(minDrainMicros, drainMicros, goneMicros, overdueMicros, caches, parents);
    }

    long warmTime(MemberKind tier) {
        return tier == MemberKind.CACHE ? cacheWarmMicros : tier == MemberKind.PARENT ? parentWarmMicros : 0;
    }
}
