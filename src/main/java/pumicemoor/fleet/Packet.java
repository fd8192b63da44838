package pumicemoor.fleet;

import java.util.Arrays;
import java.util.List;
import pumicemoor.fleet.drains.DrainCommand;
import pumicemoor.fleet.membership.RouterRecord;
import pumicemoor.fleet.verdicts.Ejection;
import pumicemoor.fleet.verdicts.FailureReport;

/**
 * A packet from one router to another: its sender, a number that increases with each packet of the sending process, the
 * request or answer in its body, and the router records and ejections that are gossiped along with it.
 */
public record Packet(RouterRecord from, long number, Body body, List<RouterRecord> routers, List<Ejection> ejections) {

    /** The request or answer that a packet carries. */
    public sealed interface Body {}

    /** Asks for an {@link Ack}, to check that the receiver is alive. */
    public record Ping() implements Body {}

    /** Confirms that a router is alive. The number is that of the ping, or of the relay request that asked for one. */
    public record Ack(long number) implements Body {}

    /** Asks the receiver to ping the router at this address and to pass its answer on (an indirect probe). */
    public record Relay(String address) implements Body {}

    /**
     * The digest of the sender's membership table. A receiver whose digest differs sends its table, and if a reply is
     * expected, its own digest too.
     */
    public record Compare(long digest, boolean replyExpected) implements Body {}

    /**
     * The answer to a differing digest in a fleet of cells: the digests of the parts of the sender's membership table,
     * split by the hashes of the router names. The receiver sends its records of the parts that differ, and if a reply
     * is expected, its own digests too.
     */
    public record Sums(List<Long> partDigests, boolean replyExpected) implements Body {}

    /** An empty body, for a packet that carries only gossip. */
    public record News() implements Body {}

    /**
     * A router's demand on a limit. {@code grantInForce} is the number of the ask whose grant the router uses now, 0 for
     * none.
     */
    public record Demand(long limit, long grantInForce, double demand, double inUse) {}

    /**
     * A router's report to the router that it considers the grantor. If {@code vote} is set, the sender is bound to the
     * receiver for one lease. {@code lastSeen} is the number of the last grant received from there, {@code term} the
     * highest term that the sender knows.
     */
    public record Ask(boolean vote, long lastSeen, long term, List<Demand> demands, List<FailureReport> failureReports)
            implements Body {}

    /** The granted share of a limit. */
    public record GrantedShare(long limit, double amount) {}

    /** The answer to an ask, identified by the ask's number. A lease counts from the time the ask was sent. */
    public record Grant(long ask, long term, List<GrantedShare> shares) implements Body {}

    /**
     * The requests that a router has in flight at a member, and how often the member recently answered from its cache.
     */
    public record MemberUsage(long member, int inFlight, double recentHits) {}

    /**
     * A router's report about the drain plan: the stamps of the newest plan it holds and of the one it applies, whether
     * it remembers what was agreed (a restarted process does not), and the highest term that it knows.
     */
    public record PlanReport(long term, long heldStamp, long appliedStamp, boolean recovered, List<MemberUsage> uses)
            implements Body {}

    /**
     * The answer to a plan report, identified by the report's number and valid for that process only.
     * {@code fromLeader} is set if the sender is the leader and so knows which plan is in force.
     */
    public record PlanGrant(
            long reportNumber, long instance, long term, boolean fromLeader, long heldStamp, long stampInForce)
            implements Body {}

    /** A piece of an encoded drain plan. */
    public record Piece(long stamp, int index, int count, byte[] bytes) implements Body {

        @Override
        public boolean equals(Object other) {
            return other instanceof Piece piece
                    && piece.stamp == stamp
                    && piece.index == index
                    && piece.count == count
                    && Arrays.equals(piece.bytes, bytes);
        }

        @Override
        public int hashCode() {
            return Long.hashCode(stamp) * 31 + index;
        }
    }

    /** An operator's drain command, forwarded to the grantor. */
    public record DrainAsk(DrainCommand command) implements Body {}

    /**
     * A cell's demand on a limit, for the number of routers in its lease table. {@code grantInForce} is the number of the
     * ask whose grant the cell uses now, 0 for none; {@code inUse} is the most that its table must count for its
     * routers.
     */
    public record CellDemand(long limit, long grantInForce, int routers, double demand, double inUse) {}

    /**
     * A cell's report from its grantor to the router that it considers the grantor of the upper level. Vote, last seen
     * and term are as in an {@link Ask}. {@code boundRouters} is the number of routers that stay bound to the sender
     * for at least one more lease, {@code knownTerm} a term that all of them know.
     */
    public record CellAsk(
            boolean vote,
            long lastSeen,
            long term,
            int boundRouters,
            long knownTerm,
            List<CellDemand> demands,
            List<FailureReport> failureReports)
            implements Body {}

    /**
     * Asks for the routers of the sender's cell. The depth is that of the sender's cell; hops counts how often the
     * request has been forwarded.
     */
    public record Join(String root, int depth, int hops) implements Body {}

    /**
     * The answer to a join request, identified by its number, or 0 for the announcement of a cell split: how deep the
     * receiver's cell is split (-1 if unknown), and some addresses of routers in that cell and of delegates.
     */
    public record Place(long join, int depth, List<String> cellAddresses, List<String> delegateAddresses)
            implements Body {}
}
