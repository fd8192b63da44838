package pumicemoor;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The interface of the decision module: the settings it is handed at its start, the events it sees and the
 * actions it asks for, free of any protocol. Times are microseconds, sizes are kilobytes; a class, a zone
 * and a cell are given as numbers, the places of their entries in the settings.
 */
public interface RouterApi {

    /** Takes one event at the given time and hands every action it wants, in order, to the sink. */
    void handle(long now, Event event, Consumer<Action> sink);

    // ---- settings -------------------------------------------------------------------------------------

    /** What a router is told when it starts; nothing in it changes while it runs. */
    record Settings(
            int router,
            int routers,
            int location,
            List<Integer> routersByLocation,
            List<Integer> hubByLocation,
            List<RequestClass> classes,
            Limits limits,
            Rules rules,
            Costs costs,
            Fills fills,
            LoadReports loadReports,
            boolean watchMembers,
            WeightMeaning weights,
            boolean clientsMarkRetries) {}

    /** What a weight in the list of members stands for. */
    enum WeightMeaning {
        NONE,
        NOMINAL,
        ROUGH,
        LIVE
    }

    /** Whether a request may run more than once: always, within a group that drops repeats, never. */
    enum Idempotency {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** The members that drop the repeats of a keyed request. */
    enum DeduplicationScope {
        ALL,
        ZONE,
        CELL
    }

    /** A class of requests; fresh 0 means that a copy is good until it is purged. */
    record RequestClass(
            String name,
            long latencyTarget,
            double latencyTargetStretch,
            long deadline,
            double value,
            double lateValue,
            Idempotency idempotency,
            DeduplicationScope deduplicationScope,
            long deduplicationWindow,
            boolean streamed,
            boolean uncacheable,
            boolean parts,
            long freshFor,
            long staleGrace,
            double staleValue) {}

    /** What the site allows. */
    record Limits(
            int maxAttempts,
            int maxOpenRequests,
            boolean probes,
            boolean peerMessages,
            boolean cancel,
            boolean secondCopies,
            boolean retryAfter,
            long maxRetryAfter,
            long connectTimeout) {}

    /** The figures of the rules; those of cold members once for caches and once for parents. */
    record Rules(
            long answerSlack,
            long drainGrace,
            SlowStart cacheSlowStart,
            SlowStart parentSlowStart,
            long overloadWindow,
            long purgeGrace,
            long purgeSettleTime,
            long askWithin) {}

    /**
     * A member starts with this share of its capacity, has all by warmAfter, falls over past the multiple.
     */
    record SlowStart(double initialShare, long rampDuration, double overloadFactor) {}

    /** Points taken off the result, each times its rate. */
    record Costs(
            double crossZone, double waste, double probe, double peer, double lateFail, double origin, double linkIn) {}

    /** Which caches may be the source of a fill. */
    enum SiblingScope {
        NONE,
        LOCATION,
        ANY
    }

    /** What an outcome tells of how a request was served. */
    enum FillReporting {
        NONE,
        HIT_ONLY,
        ALL
    }

    /** How fills work here; a pace or link of 0 is not told. */
    record Fills(
            boolean direct,
            boolean joins,
            SiblingScope siblings,
            FillReporting fillReporting,
            double transferKbPerSecond,
            double originFallMultiple,
            long originBears,
            List<Double> linkKbPerSecond) {}

    /** How load reports come. */
    enum LoadReportSource {
        NONE,
        PROBE,
        ANSWER
    }

    /** Load reports and what their two free fields mean. */
    record LoadReports(LoadReportSource source, List<String> fields) {}

    // ---- members --------------------------------------------------------------------------------------

    /** What a member is for. */
    enum Role {
        CACHE,
        PARENT,
        ORIGIN
    }

    /** What the list says of a member. */
    enum State {
        READY,
        DRAINING,
        GONE
    }

    /** One line of the list; started 0 means long ago. */
    record Member(long id, Role role, int zone, int cell, double weight, long started, State state) {}

    // ---- events ---------------------------------------------------------------------------------------

    /** What a router may see. */
    sealed interface Event
            permits MemberListUpdate,
                    FillSourcesUpdate,
                    LimitSharesUpdate,
                    EjectionsUpdate,
                    RequestArrived,
                    AnswerStarted,
                    AttemptEnded,
                    RequestAbandoned,
                    ProbeEnded,
                    TimerDue,
                    Purged,
                    DiscoveryHeartbeat,
                    PeerMessage {}

    /** How a list has come: as changes, whole, as last held before a start, or not at all. */
    enum MemberListKind {
        DELTA,
        SNAPSHOT,
        RESTORED,
        FAILED
    }

    /** News of the members. */
    record MemberListUpdate(MemberListKind kind, long version, List<Member> members) implements Event {}

    /**
     * A member that may be filled from, with the weight of its part of the objects. While objects move to it,
     * they come as a share that rises evenly, from the given one at opensAt to all of them at fullAt.
     */
    record FillSource(long member, double weight, double share, long rampStart, long rampEnd) {}

    /**
     * What a member may be filled from, and what it was filled from until its objects have moved; back means
     * that those which moved last return first. Earlier is what it was filled from before the last change, for
     * as long as that is remembered. Seeds are the members that this one may fill from instead, for objects
     * that were theirs.
     */
    record FillSources(List<FillSource> current, List<FillSource> previous, List<FillSource> earlier, boolean reverting, List<Long> seeds) {}

    /**
     * What members may be filled from, by member, in place of the listed parents and the origin; under LOCATION
     * for caches of this location without a list of their own. Who has no list is filled as before, as all are
     * where there are none.
     */
    record FillSourcesUpdate(long version, Map<Long, FillSources> lists) implements Event {
        public static final long LOCATION = 0;
    }

    /** What an allowance counts: requests a second, those under way, also only while the member is cold; kilobytes. */
    enum LimitMeasure {
        PER_SECOND(false),
        IN_FLIGHT(true),
        COLD_IN_FLIGHT(true),
        KB_PER_SECOND(false);

        /** Whether parts of it are whole numbers. */
        public final boolean wholeNumbers;

        LimitMeasure(boolean whole) {
            this.wholeNumbers = whole;
        }
    }

    /** What this router may have of a member: so much until then, and so much afterwards where nothing else is told. */
    record LimitShare(long member, LimitMeasure measure, double amount, long expiresAt, double amountAfterExpiry) {

        /** Stands in a member's place for all that crosses zones. */
        public static final long ACROSS_ZONES = 0;
    }

    /** All allowances that are in force, in place of those before; a member without one is not limited so. */
    record LimitSharesUpdate(List<LimitShare> shares) implements Event {}

    /** A process of a member that all routers leave alone until then, on what some of them have seen of it. */
    record EjectedMember(long member, long started, long until) {

        /** Whether it means this process of this member, and still does. */
        public boolean covers(Member m, long now) {
            return member == m.id() && started == m.started() && now < until;
        }
    }

    /** All that are out so, in place of those before. Where this is told, judgements of members are wanted. */
    record EjectionsUpdate(List<EjectedMember> ejected) implements Event {}

    /** A request; sizeKb 0 means not told, tenant and group as given. */
    record RequestArrived(
            String id,
            int requestClass,
            String object,
            int part,
            int group,
            double sizeKb,
            long timeLeft,
            boolean repeat)
            implements Event {}

    /** A streamed answer has begun. */
    record AnswerStarted(String id, int attempt, long member, long latency) implements Event {}

    /** How an attempt may end. */
    enum Outcome {
        OK(false),
        ERROR(false),
        FULL(true),
        TIMEOUT(false),
        CONNECT_FAILED(true),
        RESET(false),
        CANCELLED(false),
        MOOT(true),
        MISS(true);

        /** Whether this outcome proves that the request never ran. */
        public final boolean provesNotRun;

        Outcome(boolean provesNotRun) {
            this.provesNotRun = provesNotRun;
        }
    }

    /** What an outcome may tell of a fill. */
    enum FillResult {
        NONE,
        HIT,
        FILLED,
        FILLED_BY_ORIGIN,
        JOINED,
        STALE,
        SOURCE_REFUSED,
        SOURCE_FAILED,
        SOURCE_LACKS,
        NO_PLACE,
        ORIGIN_FAILED
    }

    /**
     * The end of an attempt; closed means that the request is over. Load is empty when none came along; kb is what the
     * answer's body had, 0 where that is not told.
     */
    record AttemptEnded(
            String id,
            int attempt,
            long member,
            Outcome outcome,
            long latency,
            boolean closed,
            FillResult fillResult,
            long waited,
            Map<String, Double> load,
            double kb)
            implements Event {

        /** One whose answer's size is not told. */
        public AttemptEnded(
                String id,
                int attempt,
                long member,
                Outcome outcome,
                long latency,
                boolean closed,
                FillResult note,
                long waited,
                Map<String, Double> load) {
            this(id, attempt, member, outcome, latency, closed, note, waited, load, 0);
        }

        /** Whether this attempt has brought a fill itself; where that is not told, whether one was expected. */
        public boolean filled(boolean expected) {
            return fillResult == FillResult.FILLED || fillResult == FillResult.FILLED_BY_ORIGIN || fillResult == FillResult.NONE && expected;
        }
    }

    /** The client has left, or the answer is overdue. */
    record RequestAbandoned(String id) implements Event {}

    /** The end of a probe. */
    record ProbeEnded(long member, Outcome outcome, long latency, Map<String, Double> load) implements Event {}

    /** A timer set earlier is due. */
    record TimerDue(long token) implements Event {}

    /** A purge made that long ago, of an object or, where object is null, of a whole group. */
    record Purged(String object, int group, long age) implements Event {}

    /** All purges and lists told until now have come; where this is never told, they always have. */
    record DiscoveryHeartbeat() implements Event {}

    /** A message of another router. */
    record PeerMessage(int from, byte[] payload) implements Event {}

    // ---- actions --------------------------------------------------------------------------------------

    /** What a router may ask for. */
    sealed interface Action
            permits Lookup,
                    Fetch,
                    Refuse,
                    Fail,
                    Cancel,
                    Probe,
                    CloseIdle,
                    SetTimer,
                    SendToPeer,
                    WatchMembers,
                    RequestMemberList,
                    LimitDemand,
                    MemberHealthReport,
                    Log {}

    /** An attempt that asks a member only for a fresh copy that it holds; the origin holds everything. */
    record Lookup(String id, long member, long timeout) implements Action {}

    /**
     * An attempt that names the source of a fill (the member itself for none), the rank at which the copy is
     * kept (0 for not at all) and the oldest copy that will do (0 for the class's own bound). The way names, in
     * order, what the source itself fills from; empty leaves that to it.
     */
    record Fetch(
            String id,
            long member,
            long source,
            int keepRank,
            long maxAge,
            boolean join,
            boolean onlyIfCached,
            boolean bypassParent,
            boolean renew,
            long timeout,
            List<Long> fillPath)
            implements Action {

        /** One whose source fills as it always does. */
        public Fetch(
                String id,
                long member,
                long source,
                int keepRank,
                long oldest,
                boolean join,
                boolean onlyIfHeld,
                boolean passParent,
                boolean renew,
                long timeout) {
            this(id, member, source, keepRank, oldest, join, onlyIfHeld, passParent, renew, timeout, List.of());
        }
    }

    /** Final answer: turned away, trying again is harmless; retryAfter 0 gives no advice. */
    record Refuse(String id, long retryAfter) implements Action {}

    /** Final answer: failed, nothing promised. */
    record Fail(String id) implements Action {}

    /** Calls an attempt off. */
    record Cancel(String id, int attempt) implements Action {}

    /** Asks a member for its load. */
    record Probe(long member) implements Action {}

    /** Closes idle connections to a member. */
    record CloseIdle(long member) implements Action {}

    /** Asks for a TimerDue event. */
    record SetTimer(long delay, long token) implements Action {}

    /** Sends a note to one router, or to all for a negative number. */
    record SendToPeer(int router, byte[] payload) implements Action {}

    /** Asks for changes of the list, or no more of them. */
    record WatchMembers(boolean enabled) implements Action {}

    /** Asks for the whole list once. */
    record RequestMemberList() implements Action {}

    /** How much of an allowance was wanted lately, in its measure, and how much is in use. */
    record LimitDemand(long member, LimitMeasure measure, double demand, double inUse) implements Action {}

    /** This router has taken a member out until then, or found it good again; silent: it gave no sign of life. */
    record MemberHealthReport(long member, boolean failing, boolean unresponsive, int consecutiveFailures, double failureRate, long until)
            implements Action {}

    /** A line for on-call staff. */
    record Log(String text) implements Action {}
}
