package pumicemoor.fleet.drains;

/** What the leader knows about members and routers apart from the plan. */
interface DrainConditions {

    /** Returns how many members of a tier serve now, whatever their phase: they are listed, ready and not failing. */
    int servingCount(MemberKind tier);

    /** Returns whether the member is among those counted by {@link #servingCount}. */
    boolean isServing(long member);

    /** Returns whether the member can still be drained: it is listed, or known as a router. */
    boolean isKnown(long member);

    /** Returns whether the fleet has ejected the member as failing, so that it is out of use already. */
    boolean isFailing(long member);

    /** Returns how often the member recently answered from its own copies, summed over the routers. */
    double recentHits(long member);

    /**
     * Returns a router that may still send requests but is not known to have the order's phase, or null if there is
     * none.
     */
    String routerUnawareOf(DrainOrder order);

    /** Returns a router that may still use the draining member, or null if no router does or can any more. */
    String routerStillUsing(DrainOrder order);

    /** Returns whether a member that has returned is warm. */
    boolean isWarm(DrainOrder order);
}
