package pumicemoor.fleet.drains;

import java.util.Collection;
import java.util.Map;
import java.util.Set;
import pumicemoor.fleet.membership.RouterStatus;

/**
 * What a router knows beside the plan at one moment: its term where it is the keeper (0 where it is not) and since when,
 * how many routers the fleet is taken for, the routers and the members one by one, and which of those fail.
 */
public record FleetSnapshot(
        long now,
        long term,
        long officeSince,
        int routers,
        Collection<Peer> peers,
        Map<Long, Target> targets,
        Set<Long> failing) {

    /** What stands before the name of a router among members. */
    public static final String ROUTERS = "router/";

    /** A router as membership has it; this router is one of them. */
    public record Peer(long id, String name, String address, long instance, RouterStatus standing, long since) {

        /** Its name where it is one of the members to be taken out. */
        String asMember() {
            return ROUTERS + name;
        }

        boolean lives() {
            return standing == RouterStatus.ALIVE || standing == RouterStatus.SUSPECT;
        }
    }

    /** A member that may be taken out; ready where the list has it so. */
    public record Target(String name, MemberKind tier, boolean ready, long started) {}

    int majority() {
        return routers / 2 + 1;
    }
}
