package pumicemoor.fleet.drains;

/**
 * The kinds of members that can be drained. The number of members that must keep serving counts for each kind
 * separately.
 */
public enum MemberKind {
    CACHE,
    PARENT,
    ROUTER
}
