package pumicemoor.fleet;

import java.util.Arrays;
import java.util.List;
import pumicemoor.fleet.drains.DrainCommand;
import pumicemoor.fleet.membership.RouterRecord;
import pumicemoor.fleet.verdicts.FailureReport;
import pumicemoor.fleet.verdicts.Ejection;

/**
 * What one router sends to another: who it is, a number that rises with each packet of its process, what it asks or
 * answers, and the news that rides along.
 */
public record Packet(RouterRecord from, long number, Body body, List<RouterRecord> routers, List<Ejection> verdicts) {

    /** What a packet is for. */
    public sealed interface Body {}

    /** Are you there? */
    public record Ping() implements Body {}

    /** I am; the number is that of the ping, or of the relay that asked for one. */
    public record Ack(long number) implements Body {}

    /** Ping this router for me and pass its answer on. */
    public record Relay(String address) implements Body {}

    /** This is what I know, as a digest; tell me all where yours differs, and say the same back where wanted. */
    public record Compare(long digest, boolean back) implements Body {}

    /**
     * The answer to a digest that differs, in a fleet of cells: digests of what I know in so many parts, by the names'
     * hashes. Tell me what you know in those that differ, and say the same back where wanted.
     */
    public record Sums(List<Long> sums, boolean back) implements Body {}

    /** Nothing but the news that rides along. */
    public record News() implements Body {}

    /** What a router wants of a limit: holds is the number of the ask whose grant it lives by, 0 for none. */
    public record Want(long limit, long holds, double wanted, double inUse) {}

    /**
     * A router's report to whom it takes for the grantor. Vote: it is bound to that one for a lease's time. Seen is the
     * number of the last grant that came from there, term the highest that it knows.
     */
    public record Ask(boolean vote, long seen, long term, List<Want> wants, List<FailureReport> accusations)
            implements Body {}

    /** A part of a limit. */
    public record Part(long limit, double amount) {}

    /** The answer to an ask, by its number; a lease counts from when the ask left. */
    public record Grant(long ask, long term, List<Part> parts) implements Body {}

    /** What a router has under way at a member, and how often lately that answered it from what it holds. */
    public record Use(long member, int underWay, double hits) {}

    /**
     * A router's report about the plan of drains: the stamps of the newest it holds and of the one it goes by, whether it
     * remembers what was agreed, and the highest term that it knows.
     */
    public record PlanReport(long term, long held, long applied, boolean seasoned, List<Use> uses) implements Body {}

    /**
     * The answer to such a report, by its number, for that process alone. Office: a keeper's, which knows what is in force.
     */
    public record PlanGrant(long report, long instance, long term, boolean office, long held, long inForce)
            implements Body {}

    /** A piece of a plan. */
    public record Piece(long stamp, int index, int count, byte[] bytes) implements Body {

        @Override
        public boolean equals(Object other) {
            return other instanceof Piece p
                    && p.stamp == stamp
                    && p.index == index
                    && p.count == count
                    && Arrays.equals(p.bytes, bytes);
        }

        @Override
        public int hashCode() {
            return Long.hashCode(stamp) * 31 + index;
        }
    }

    /** An operator's command, passed on. */
    public record DrainAsk(DrainCommand command) implements Body {}

    /**
     * What a cell wants of a limit, for so many routers that its book holds: holds is the ask whose grant it lives by, 0 for
     * none, and in use the most that its book must count its routers with.
     */
    public record CellWant(long limit, long holds, int routers, double wanted, double inUse) {}

    /**
     * A cell's report to whom its grantor takes for the grantor of the level above. Vote, seen and term are as in an ask;
     * backing tells how many routers are bound to the sender for a lease's time more, and known a term that they all know.
     */
    public record CellAsk(
            boolean vote,
            long seen,
            long term,
            int backing,
            long known,
            List<CellWant> wants,
            List<FailureReport> accusations)
            implements Body {}

    /** Where are the routers of my cell? The depth is that of the sender's cell; hops is how often it was passed on. */
    public record Join(String root, int depth, int hops) implements Body {}

    /**
     * The answer to a join by its number, or 0 where a cell is being split: how deep the cell of who asked is split (-1
     * for not known), some addresses of it, and some of delegates.
     */
    public record Place(long join, int depth, List<String> cell, List<String> delegates) implements Body {}
}
