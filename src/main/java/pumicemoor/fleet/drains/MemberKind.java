package pumicemoor.fleet.drains;

/** The kinds of members that can be taken out; a budget of members that must serve holds for each by itself. */
public enum MemberKind {
    CACHE,
    PARENT,
    ROUTER
}
