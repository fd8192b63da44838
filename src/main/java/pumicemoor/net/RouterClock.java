package pumicemoor.net;

import java.time.Instant;
import java.util.concurrent.TimeUnit;

/**
 * The router's only source of time, with two readings in microseconds. The first is the Unix time of the router's
 * start plus the time elapsed on the monotonic clock, so that intervals (deadlines, grace periods, leases, waits) stay
 * right when the system clock is stepped. The second is the system clock, for comparison with Unix times received from
 * others.
 */
final class RouterClock {

    private final long startWallMicros = wall();
    private final long startNanos = System.nanoTime();

    /** Unix time of the start plus the monotonic time since. */
    long now() {
        return startWallMicros + TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos);
    }

    /** Unix time of the system clock, which may jump either way. */
    long wall() {
        Instant wall = Instant.now();
        return TimeUnit.SECONDS.toMicros(wall.getEpochSecond()) + TimeUnit.NANOSECONDS.toMicros(wall.getNano());
    }
}
