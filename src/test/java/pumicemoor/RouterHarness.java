package pumicemoor;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import pumicemoor.RouterApi.Action;
import pumicemoor.RouterApi.AttemptEnded;
import pumicemoor.RouterApi.Costs;
import pumicemoor.RouterApi.DeduplicationScope;
import pumicemoor.RouterApi.Event;
import pumicemoor.RouterApi.Fetch;
import pumicemoor.RouterApi.FillReporting;
import pumicemoor.RouterApi.FillResult;
import pumicemoor.RouterApi.Fills;
import pumicemoor.RouterApi.Idempotency;
import pumicemoor.RouterApi.Limits;
import pumicemoor.RouterApi.LoadReportSource;
import pumicemoor.RouterApi.LoadReports;
import pumicemoor.RouterApi.Lookup;
import pumicemoor.RouterApi.Member;
import pumicemoor.RouterApi.MemberListKind;
import pumicemoor.RouterApi.MemberListUpdate;
import pumicemoor.RouterApi.Outcome;
import pumicemoor.RouterApi.RequestArrived;
import pumicemoor.RouterApi.RequestClass;
import pumicemoor.RouterApi.Role;
import pumicemoor.RouterApi.Rules;
import pumicemoor.RouterApi.Settings;
import pumicemoor.RouterApi.SiblingScope;
import pumicemoor.RouterApi.SlowStart;
import pumicemoor.RouterApi.State;
import pumicemoor.RouterApi.TimerDue;
import pumicemoor.RouterApi.WeightMeaning;

/**
 * Drives one router with a simulated clock and fleet, and returns the actions that it requests. Times are microseconds.
 */
final class RouterHarness {

    static final long MICROS_PER_MILLI = 1_000;
    static final long MICROS_PER_SECOND = 1_000_000;
    static final int HOME = 0;
    static final int HUB = 1;
    static final int PAGE = 0;
    static final int WRITE = 1;

    // settings that a test may change before it starts the router
    Idempotency idempotency = Idempotency.SAFE;

    DeduplicationScope deduplicationScope = DeduplicationScope.ALL;
    boolean bypassCaches;
    boolean joins = true;
    boolean cancel = true;
    boolean hedging = true;
    boolean retryAfter = true;
    boolean peerMessages;
    boolean probes;
    long freshFor;
    int localRouters = 1;
    int maxAttempts = 8;
    FillReporting fillReporting = FillReporting.ALL;
    WeightMeaning weights = WeightMeaning.NONE;
    long staleGrace;

    long now = 1_000 * MICROS_PER_SECOND;
    final List<Member> members = new ArrayList<>();
    private Logic logic;
    private int requestCount;

    Settings settings() {
        List<RequestClass> classes = List.of(
                new RequestClass(
                        "page",
                        500 * MICROS_PER_MILLI,
                        2,
                        5 * MICROS_PER_SECOND,
                        1,
                        0.2,
                        idempotency,
                        deduplicationScope,
                        5 * MICROS_PER_SECOND,
                        false,
                        false,
                        false,
                        freshFor,
                        staleGrace,
                        0.5),
                new RequestClass(
                        "write",
                        700 * MICROS_PER_MILLI,
                        0,
                        3 * MICROS_PER_SECOND,
                        3,
                        0,
                        Idempotency.UNSAFE,
                        DeduplicationScope.ALL,
                        0,
                        false,
                        true,
                        false,
                        0,
                        0,
                        0));
        return new Settings(
                0,
                2 * localRouters,
                HOME,
                List.of(localRouters, 0),
                List.of(HUB, HUB),
                classes,
                new Limits(
                        maxAttempts,
                        1000,
                        probes,
                        peerMessages,
                        cancel,
                        hedging,
                        retryAfter,
                        500 * MICROS_PER_MILLI,
                        400 * MICROS_PER_MILLI),
                new Rules(
                        8 * MICROS_PER_MILLI,
                        2 * MICROS_PER_SECOND,
                        new SlowStart(0.2, 10 * MICROS_PER_SECOND, 2.5),
                        new SlowStart(0.1, 20 * MICROS_PER_SECOND, 2),
                        MICROS_PER_SECOND,
                        MICROS_PER_SECOND,
                        6 * MICROS_PER_SECOND,
                        10 * MICROS_PER_SECOND),
                new Costs(0.01, 0.1, 0.01, 0, 0.03, 0.1, 0.05),
                new Fills(bypassCaches, joins, SiblingScope.LOCATION, fillReporting, 10_000, 0, 0, List.of(0.0, 0.0)),
                new LoadReports(LoadReportSource.NONE, List.of()),
                false,
                weights,
                false);
    }

    /** Starts the router with the members added so far as its restored list. */
    RouterHarness start() {
        logic = new Logic(settings(), 7);
        sendMemberList(MemberListKind.RESTORED);
        return this;
    }

    /** Adds caches 1 to n of the home location, parents from 101 on, and one origin, 900. */
    RouterHarness addFleet(int caches, int parents) {
        for (int i = 1; i <= caches; i++) {
            add(i, Role.CACHE, HOME);
        }
        for (int i = 1; i <= parents; i++) {
            add(100 + i, Role.PARENT, HUB);
        }
        add(900, Role.ORIGIN, HUB);
        return this;
    }

    void add(long id, Role role, int zone) {
        members.add(new Member(id, role, zone, 0, 1, 0, State.READY));
    }

    List<Action> changeMember(long id, State state, long started) {
        Member previous = members.stream().filter(m -> m.id() == id).findFirst().orElseThrow();
        Member changed =
                new Member(id, previous.role(), previous.zone(), previous.cell(), previous.weight(), started, state);
        members.set(members.indexOf(previous), changed);
        return handle(new MemberListUpdate(MemberListKind.DELTA, 2, List.of(changed)));
    }

    List<Action> sendMemberList(MemberListKind kind) {
        return handle(new MemberListUpdate(kind, 1, List.copyOf(members)));
    }

    List<Action> handle(Event event) {
        List<Action> actions = new ArrayList<>();
        logic.handle(now, event, actions::add);
        return actions;
    }

    /** Advances the clock with the timer's ticks and returns all actions of that time. */
    List<Action> advance(long micros) {
        List<Action> actions = new ArrayList<>();
        long until = now + micros;
        while (now < until) {
            now = Math.min(until, now + 20 * MICROS_PER_MILLI);
            actions.addAll(handle(new TimerDue(0)));
        }
        return actions;
    }

    List<Action> request(String object) {
        return request(object, PAGE, 1_000);
    }

    /** Sends a request; the ids are q1, q2, ... in order of arrival. */
    List<Action> request(String object, int requestClass, double sizeKb) {
        long timeLeft = requestClass == WRITE ? 3 * MICROS_PER_SECOND : 5 * MICROS_PER_SECOND;
        return handle(new RequestArrived("q" + ++requestCount, requestClass, object, 0, 4, sizeKb, timeLeft, false));
    }

    List<Action> endAttempt(Fetch fetch, int attempt, Outcome outcome, FillResult fillResult) {
        return endAttempt(fetch.id(), attempt, fetch.member(), outcome, fillResult);
    }

    List<Action> endAttempt(String id, int attempt, long member, Outcome outcome, FillResult fillResult) {
        return handle(new AttemptEnded(
                id, attempt, member, outcome, 100 * MICROS_PER_MILLI, outcome == Outcome.OK, fillResult, 0, Map.of()));
    }

    /** Requests an object, answers the attempt after 100 ms, and returns the fetch. */
    Fetch requestAndServe(String object, FillResult fillResult) {
        Fetch fetch = onlyFetch(request(object));
        now += 100 * MICROS_PER_MILLI;
        endAttempt(fetch, 0, Outcome.OK, fillResult);
        return fetch;
    }

    static <T extends Action> List<T> ofType(Class<T> type, List<Action> actions) {
        return actions.stream().filter(type::isInstance).map(type::cast).toList();
    }

    /** Returns the fetch among these actions, of which there must be exactly one. */
    static Fetch onlyFetch(List<Action> actions) {
        List<Fetch> fetches = ofType(Fetch.class, actions);
        if (fetches.size() != 1) {
            throw new AssertionError("expected exactly one fetch: " + actions);
        }
        return fetches.get(0);
    }

    static Lookup onlyLookup(List<Action> actions) {
        List<Lookup> lookups = ofType(Lookup.class, actions);
        if (lookups.size() != 1) {
            throw new AssertionError("expected exactly one lookup: " + actions);
        }
        return lookups.get(0);
    }
}
