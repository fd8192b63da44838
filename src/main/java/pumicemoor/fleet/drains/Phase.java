package pumicemoor.fleet.drains;

/**
 * The phase of a member's drain. NAMED: the routers are informed that the member is next, and a router that loses
 * contact with the leader stops using it. DRAINING: no new requests are sent to it. OUT: no router uses it, so the
 * work may begin. RETURNING: the work is done and the member warms up.
 */
public enum Phase {
    QUEUED,
    NAMED,
    DRAINING,
    OUT,
    RETURNING,
    FINISHED;

    /** Returns whether the member counts against the number of members that may be out at the same time. */
    public boolean countsAsOut() {
        return this == DRAINING || this == OUT || this == RETURNING;
    }

    /** Returns whether the member's drain has not begun yet. */
    public boolean isWaiting() {
        return this == QUEUED || this == NAMED;
    }
}
