package pumicemoor.hierarchy;

/**
 * The durations of a topology change, in microseconds. Every router must be configured with the same values.
 *
 * <p>The lead is the time from the announcement of an update until it takes effect, so that all routers have received
 * it by then. The move is the time from the first object that goes to a new parent to the last one. The gap is how
 * long a link that is out of use still counts in the loop check, so that fills which another router started over it
 * have ended; it covers the longest fill and the clock skew between routers. The last value is how long after a
 * migration a new parent may still fill from the previous one.
 */
public record MigrationTiming(long leadMicros, long moveMicros, long gapMicros, long rememberMicros) {

    public MigrationTiming {
        if (leadMicros < 0 || moveMicros < 0 || gapMicros <= 0 || rememberMicros < 0) {
            throw new IllegalArgumentException("a topology change needs a positive gap and no negative durations: lead "
                    + leadMicros + ", move " + moveMicros + ", gap " + gapMicros + ", remember " + rememberMicros);
        }
    }
}
