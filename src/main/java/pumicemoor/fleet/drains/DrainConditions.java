package pumicemoor.fleet.drains;

/** What the keeper knows beside the plan, asked member by member. */
interface DrainConditions {

    /** How many of a tier serve now, whatever the plan says of them: listed, ready, and nothing held against them. */
    int serving(MemberKind tier);

    /** Whether this member is among those. */
    boolean serves(long member);

    /** Whether the member can still be taken out: it is listed, or known as a router. */
    boolean known(long member);

    /** Whether the fleet leaves the member alone as failing, so that it is out as it is. */
    boolean failing(long member);

    /** How much of what is asked for the member answers from what it holds. */
    double heat(long member);

    /** Whether every router that may still send is sure to know of the order's phase; null if so, else who is not. */
    String notTold(DrainOrder order);

    /** Whether nobody uses a member that drains, and nobody can any more; null if so, else who may. */
    String stillUsed(DrainOrder order);

    /** Whether a member that came back is warm. */
    boolean warm(DrainOrder order);
}
