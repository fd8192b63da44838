package pumicemoor.hierarchy;

/**
 * The times of a change, in microseconds; every router must be given the same. Lead: from the announcement of a
 * piece until it acts, so that all have it by then. Move: from the first until the last object goes to a new
 * parent. Gap: how long a link that is out of use still counts, so that what another router started over it has
 * ended; it covers the longest fill and the skew of clocks. Remember: how long after a move a new parent may still
 * fill from the one before it.
 */
public record MigrationTiming(long lead, long move, long gap, long remember) {

    public MigrationTiming {
        if (lead < 0 || move < 0 || gap <= 0 || remember < 0) {
            throw new IllegalArgumentException(
                    "times of a change: lead " + lead + ", move " + move + ", gap " + gap + ", remember " + remember);
        }
    }
}
