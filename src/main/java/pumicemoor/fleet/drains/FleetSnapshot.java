package pumicemoor.fleet.drains;

import java.util.Collection;
import java.util.Map;
import java.util.Set;
import pumicemoor.fleet.membership.RouterStatus;

/**
 * What a router knows at one moment apart from the plan: its term if it is the leader (else 0) and since when, the
 * assumed number of routers in the fleet, the known routers including this one, the members that can be
 * drained, by id, and the ids of those that are ejected as failing. Times are Unix microseconds.
 */
public record FleetSnapshot(
        long now,
        long term,
        long leaderSince,
        int assumedRouters,
        Collection<Peer> peers,
        Map<Long, Target> targets,
        Set<Long> failing) {

    /** The prefix of a router's name where routers and other members share a name space. */
    public static final String ROUTER_NAME_PREFIX = "router/";

    /** A router, with its status in the membership protocol and since when it has that status. */
    public record Peer(long id, String name, String address, long instance, RouterStatus status, long since) {

        /** Returns the router's name as a member that can be drained. */
        String memberName() {
            return ROUTER_NAME_PREFIX + name;
        }

        boolean isAlive() {
            return status == RouterStatus.ALIVE || status == RouterStatus.SUSPECT;
        }
    }

    /** A member that can be drained; ready and started (Unix microseconds) are as in the list of members. */
    public record Target(String name, MemberKind tier, boolean ready, long startedAt) {}

    int majority() {
        return assumedRouters / 2 + 1;
    }
}
