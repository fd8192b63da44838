package pumicemoor.fleet.drains;

/**
 * How far a member has come. NAMED: every router knows that it is to go out, and leaves it alone once it is cut off from
 * the keeper. DRAINING: nothing new is sent to it. OUT: nobody uses it, so that the work may begin. RETURNING: the work is
 * done and the member warms.
 */
public enum Phase {
    QUEUED,
    NAMED,
    DRAINING,
    OUT,
    RETURNING,
    FINISHED;

    /** Whether the member counts as one that is out. */
    public boolean takesAPlace() {
        return this == DRAINING || this == OUT || this == RETURNING;
    }

    /** Whether the member is still to go out. */
    public boolean waits() {
        return this == QUEUED || this == NAMED;
    }
}
