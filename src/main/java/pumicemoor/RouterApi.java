package pumicemoor;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The interface of the decision module: the settings that it is created with, the events that it receives and the
 * actions that it requests, independent of any protocol. Times are in microseconds, sizes in kilobytes. A class, a
 * zone and a cell are given as numbers, the indexes of their entries in the settings.
 */
public interface RouterApi {

    /** Handles one event at the given time and passes the resulting actions, in order, to the sink. */
    void handle(long now, Event event, Consumer<Action> sink);

    // ---- settings -------------------------------------------------------------------------------------

    /**
     * The configuration of a router, which does not change while it runs: its number, the number of all routers and its
     * location, followed by the settings of the installation. Lists by location are indexed by the location's number.
     */
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

    /** What a weight in the member list stands for. */
    enum WeightMeaning {
        NONE,
        NOMINAL,
        ROUGH,
        LIVE
    }

    /** Whether a request may run more than once: always, only within a deduplication scope, or never. */
    enum Idempotency {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** The members among which duplicates of a keyed request are dropped. */
    enum DeduplicationScope {
        ALL,
        ZONE,
        CELL
    }

    /**
     * A class of requests. An answer should arrive within the latency target plus latencyTargetStretch times the
     * transfer time of the object; freshFor 0 means that a copy is fresh until it is purged.
     */
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

    /** The limits of an installation on what its routers may do. */
    record Limits(
            int maxAttempts,
            int maxOpenRequests,
            boolean probes,
            boolean peerMessages,
            boolean cancel,
            boolean hedging,
            boolean retryAfter,
            long maxRetryAfter,
            long connectTimeout) {}

    /**
     * The parameters of the rules that a router must obey. A final answer may come up to answerSlack past the deadline.
     * Attempts to a member may go out up to drainGrace after it began to drain, and attempts that accept purged copies
     * up to purgeGrace after the purge, which is complete after purgeSettleTime. Overload is measured over
     * overloadWindow. Slow start has separate parameters for caches and for parents.
     */
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
     * How the capacity of a member grows after its start: from initialShare of it to all of it after rampDuration. A
     * member fails under a load of more than overloadFactor times its current capacity.
     */
    record SlowStart(double initialShare, long rampDuration, double overloadFactor) {}

    /** Costs that are subtracted from a result, each multiplied by its rate. */
    record Costs(
            double crossZone,
            double waste,
            double probe,
            double peer,
            double lateFailure,
            double origin,
            double inboundLink) {}

    /** Which caches may be the source of a fill. */
    enum SiblingScope {
        NONE,
        LOCATION,
        ANY
    }

    /** How much an outcome reports of how a request was served. */
    enum FillReporting {
        NONE,
        HIT_ONLY,
        ALL
    }

    /** How fills work in this installation; a rate or link of 0 is unknown. */
    record Fills(
            boolean bypassCaches,
            boolean joins,
            SiblingScope siblings,
            FillReporting fillReporting,
            double transferKbPerSecond,
            double originOverloadFactor,
            long originOverloadWindow,
            List<Double> linkKbPerSecond) {}

    /** How a router obtains load reports: not at all, by probes or with answers. */
    enum LoadReportSource {
        NONE,
        PROBE,
        ANSWER
    }

    /** How load reports are obtained and what their two free fields mean. */
    record LoadReports(LoadReportSource source, List<String> fields) {}

    // ---- members --------------------------------------------------------------------------------------

    /** The role of a member. */
    enum Role {
        CACHE,
        PARENT,
        ORIGIN
    }

    /** The state of a member according to the member list. */
    enum State {
        READY,
        DRAINING,
        GONE
    }

    /** One entry of the member list; started 0 means long ago. */
    record Member(long id, Role role, int zone, int cell, double weight, long startedAt, State state) {}

    // ---- events ---------------------------------------------------------------------------------------

    /** An event that the decision module may receive. */
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

    /**
     * What a member list update contains: changes, the whole list, a list saved before a restart, or nothing because
     * the list could not be obtained.
     */
    enum MemberListKind {
        DELTA,
        SNAPSHOT,
        RESTORED,
        FAILED
    }

    /** An update of the member list. */
    record MemberListUpdate(MemberListKind kind, long version, List<Member> members) implements Event {}

    /**
     * A member that may be filled from, with the weight of its part of the objects. While objects migrate to it, the
     * share that it serves rises linearly, from the given one at rampStart to all of them at rampEnd.
     */
    record FillSource(long member, double weight, double initialShare, long rampStart, long rampEnd) {}

    /**
     * The current fill sources of a member, and the previous ones, which serve the objects that have not migrated yet;
     * reverting means that the objects that migrated last return first. The earlier ones are those before the last
     * change, for as long as they are remembered. Seeds are the members that this one may fill from instead, for
     * objects whose home they were.
     */
    record FillSources(
            List<FillSource> current,
            List<FillSource> previous,
            List<FillSource> earlier,
            boolean reverting,
            List<Long> seeds) {}

    /**
     * The fill sources by member, which replace the listed parents and the origin. The entry under LOCATION applies to
     * the caches of this location that have none of their own. A member without an entry is filled from the listed
     * parents and the origin.
     */
    record FillSourcesUpdate(long version, Map<Long, FillSources> sourcesByMember) implements Event {
        public static final long LOCATION = 0;
    }

    /**
     * What a limit counts: requests a second, requests in flight, requests in flight only while the member is in slow
     * start, or kilobytes a second.
     */
    enum LimitMeasure {
        PER_SECOND(false),
        IN_FLIGHT(true),
        COLD_IN_FLIGHT(true),
        KB_PER_SECOND(false);

        /** Whether a share of such a limit is a whole number. */
        public final boolean wholeNumbers;

        LimitMeasure(boolean wholeNumbers) {
            this.wholeNumbers = wholeNumbers;
        }
    }

    /**
     * This router's share of a member's limit: the amount until expiresAt, and the amount that applies afterwards if
     * no further update has arrived.
     */
    record LimitShare(long member, LimitMeasure measure, double amount, long expiresAt, double amountAfterExpiry) {

        /** Used as the member id in shares of the limit on all traffic between zones. */
        public static final long ACROSS_ZONES = 0;
    }

    /** All limit shares in force, in place of the previous ones; a member without a share is not limited. */
    record LimitSharesUpdate(List<LimitShare> shares) implements Event {}

    /** A process of a member that all routers avoid until the given time, since some have reported it as failing. */
    record EjectedMember(long member, long startedAt, long until) {

        /** Whether this ejection applies to the given process of a member and has not expired. */
        public boolean covers(Member m, long now) {
            return member == m.id() && startedAt == m.startedAt() && now < until;
        }
    }

    /** All ejections in force, in place of the previous ones. A router that receives any sends health reports. */
    record EjectionsUpdate(List<EjectedMember> ejected) implements Event {}

    /** A request; sizeKb 0 means that the size is not known. */
    record RequestArrived(
            String id,
            int requestClass,
            String object,
            int part,
            int group,
            double sizeKb,
            long timeLeft,
            boolean clientRetry)
            implements Event {}

    /** A streamed answer has begun. */
    record AnswerStarted(String id, int attempt, long member, long latency) implements Event {}

    /** The result of an attempt. */
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

        /** Whether this outcome proves that the request was never executed. */
        public final boolean provesNotRun;

        Outcome(boolean provesNotRun) {
            this.provesNotRun = provesNotRun;
        }
    }

    /** How a request was filled, or why its fill failed, where the answer reports it. */
    enum FillResult {
        NONE,
        HIT,
        FILLED,
        FILLED_BY_ORIGIN,
        JOINED,
        STALE,
        SOURCE_REFUSED,
        SOURCE_FAILED,
        SOURCE_MISS,
        NO_CAPACITY,
        ORIGIN_FAILED
    }

    /**
     * The end of an attempt; closed means that the request has ended too. Load is empty if the answer had no load
     * report; bodyKb is the size of the answer's body, 0 if it is not known.
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
            double bodyKb)
            implements Event {

        /** Creates the end of an attempt whose answer has no known size. */
        public AttemptEnded(
                String id,
                int attempt,
                long member,
                Outcome outcome,
                long latency,
                boolean closed,
                FillResult fillResult,
                long waited,
                Map<String, Double> load) {
            this(id, attempt, member, outcome, latency, closed, fillResult, waited, load, 0);
        }

        /** Whether this attempt caused a fill itself; where that is not reported, whether one was expected. */
        public boolean filled(boolean expected) {
            return fillResult == FillResult.FILLED
                    || fillResult == FillResult.FILLED_BY_ORIGIN
                    || fillResult == FillResult.NONE && expected;
        }
    }

    /** The client has disconnected, or the answer is overdue. */
    record RequestAbandoned(String id) implements Event {}

    /** The end of a probe. */
    record ProbeEnded(long member, Outcome outcome, long latency, Map<String, Double> load) implements Event {}

    /** A timer that was set earlier has expired. */
    record TimerDue(long token) implements Event {}

    /** A purge that was made age microseconds ago, of an object or, where object is null, of a whole group. */
    record Purged(String object, int group, long age) implements Event {}

    /**
     * Every purge and member list sent until now has been received. A router that has never received a heartbeat
     * assumes that this always holds.
     */
    record DiscoveryHeartbeat() implements Event {}

    /** A message from another router. */
    record PeerMessage(int from, byte[] payload) implements Event {}

    // ---- actions --------------------------------------------------------------------------------------

    /** An action that the decision module may request. */
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

    /** An attempt that requests only a fresh copy that the member already holds; the origin holds everything. */
    record Lookup(String id, long member, long timeout) implements Action {}

    /**
     * An attempt that names the source of a fill (the member itself for none), the rank at which the copy is
     * kept (0 for not at all) and the maximum acceptable age of a copy (0 for the class's own bound). The fill path
     * names, in order, the members through which the source itself fills; if empty, the source chooses them.
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

        /** Creates a fetch that leaves the fill path to the source. */
        public Fetch(
                String id,
                long member,
                long source,
                int keepRank,
                long maxAge,
                boolean join,
                boolean onlyIfCached,
                boolean bypassParent,
                boolean renew,
                long timeout) {
            this(id, member, source, keepRank, maxAge, join, onlyIfCached, bypassParent, renew, timeout, List.of());
        }
    }

    /** Final answer: refused, and a retry is harmless; retryAfter 0 means no advice on when to retry. */
    record Refuse(String id, long retryAfter) implements Action {}

    /** Final answer: failed, and the request may have been executed. */
    record Fail(String id) implements Action {}

    /** Cancels an attempt. */
    record Cancel(String id, int attempt) implements Action {}

    /** Requests a load report from a member. */
    record Probe(long member) implements Action {}

    /** Closes idle connections to a member. */
    record CloseIdle(long member) implements Action {}

    /** Requests a TimerDue event after a delay. */
    record SetTimer(long delay, long token) implements Action {}

    /** Sends a message to one router, or to all routers for a negative number. */
    record SendToPeer(int router, byte[] payload) implements Action {}

    /** Turns updates of the member list on or off. */
    record WatchMembers(boolean enabled) implements Action {}

    /** Requests the whole member list once. */
    record RequestMemberList() implements Action {}

    /** The demand for a limit share since the last report, in the limit's measure, and the requests in flight. */
    record LimitDemand(long member, LimitMeasure measure, double demand, double inUse) implements Action {}

    /**
     * This router has ejected a member until the given time, or found it healthy again; unresponsive means that the
     * member sent nothing at all.
     */
    record MemberHealthReport(
            long member, boolean failing, boolean unresponsive, int consecutiveFailures, double failureRate, long until)
            implements Action {}

    /** A log line for on-call staff. */
    record Log(String text) implements Action {}
}
