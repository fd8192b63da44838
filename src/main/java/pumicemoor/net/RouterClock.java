package pumicemoor.net;

import java.time.Instant;
import java.util.concurrent.TimeUnit;

/**
 * The router's one source of time, with two readings in microseconds. The first counts on from the Unix time of the
 * router's start by the monotonic clock, so that every span (deadline, grace period, lease, wait) is real time though
 * the machine's clock is stepped. The second is the machine's clock, for what others tell in Unix time.
 */
final class RouterClock {

    private final long startWall = wall();
    private final long startNanos = System.nanoTime();

    /** Unix time of the start, plus the real time since. */
    long now() {
        return startWall + TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos);
    }

    /** Unix time by the machine's clock, which may jump either way. */
    long wall() {
        Instant wall = Instant.now();
        return TimeUnit.SECONDS.toMicros(wall.getEpochSecond()) + TimeUnit.NANOSECONDS.toMicros(wall.getNano());
    }
}
