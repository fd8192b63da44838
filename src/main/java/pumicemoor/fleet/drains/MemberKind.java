package pumicemoor.fleet.drains;

/**
 * The tier of a member that can be drained. The number of members that must keep serving applies to each tier
 * separately.
 */
public enum MemberKind {
    CACHE,
    PARENT,
    ROUTER
}
