package pumicemoor;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import pumicemoor.RouterApi.Action;
import pumicemoor.RouterApi.AttemptEnded;
import pumicemoor.RouterApi.SlowStart;
import pumicemoor.RouterApi.Idempotency;
import pumicemoor.RouterApi.Event;
import pumicemoor.RouterApi.Fetch;
import pumicemoor.RouterApi.FillResult;
import pumicemoor.RouterApi.Fills;
import pumicemoor.RouterApi.Limits;
import pumicemoor.RouterApi.MemberListKind;
import pumicemoor.RouterApi.LoadReports;
import pumicemoor.RouterApi.Lookup;
import pumicemoor.RouterApi.Member;
import pumicemoor.RouterApi.MemberListUpdate;
import pumicemoor.RouterApi.FillReporting;
import pumicemoor.RouterApi.Outcome;
import pumicemoor.RouterApi.Costs;
import pumicemoor.RouterApi.DeduplicationScope;
import pumicemoor.RouterApi.LoadReportSource;
import pumicemoor.RouterApi.RequestArrived;
import pumicemoor.RouterApi.RequestClass;
import pumicemoor.RouterApi.Role;
import pumicemoor.RouterApi.Rules;
import pumicemoor.RouterApi.Settings;
import pumicemoor.RouterApi.SiblingScope;
import pumicemoor.RouterApi.State;
import pumicemoor.RouterApi.TimerDue;
import pumicemoor.RouterApi.WeightMeaning;

/** Drives one router by hand: a clock, a fleet and the actions that come back. */
final class RouterHarness {

    static final long MILLI = 1_000;
    static final long SECOND = 1_000_000;
    static final int HOME = 0;
    static final int HUB = 1;
    static final int PAGE = 0;
    static final int WRITE = 1;

    /** Settings that a test may vary before it starts the router. */
    Idempotency effect = Idempotency.SAFE;

    DeduplicationScope group = DeduplicationScope.ALL;
    boolean direct;
    boolean joins = true;
    boolean cancel = true;
    boolean secondCopies = true;
    boolean retryAfter = true;
    boolean peerNotes;
    boolean probes;
    long fresh;
    int routersHere = 1;
    int attempts = 8;
    FillReporting notes = FillReporting.ALL;
    WeightMeaning weights = WeightMeaning.NONE;
    long grace;

    long now = 1_000 * SECOND;
    final List<Member> members = new ArrayList<>();
    private Logic logic;
    private int requests;

    Settings settings() {
        List<RequestClass> classes = List.of(
                new RequestClass(
                        "page",
                        500 * MILLI,
                        2,
                        5 * SECOND,
                        1,
                        0.2,
                        effect,
                        group,
                        5 * SECOND,
                        false,
                        false,
                        false,
                        fresh,
                        grace,
                        0.5),
                new RequestClass(
                        "write",
                        700 * MILLI,
                        0,
                        3 * SECOND,
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
                2 * routersHere,
                HOME,
                List.of(routersHere, 0),
                List.of(HUB, HUB),
                classes,
                new Limits(
                        attempts, 1000, probes, peerNotes, cancel, secondCopies, retryAfter, 500 * MILLI, 400 * MILLI),
                new Rules(
                        8 * MILLI,
                        2 * SECOND,
                        new SlowStart(0.2, 10 * SECOND, 2.5),
                        new SlowStart(0.1, 20 * SECOND, 2),
                        SECOND,
                        SECOND,
                        6 * SECOND,
                        10 * SECOND),
                new Costs(0.01, 0.1, 0.01, 0, 0.03, 0.1, 0.05),
                new Fills(direct, joins, SiblingScope.LOCATION, notes, 10_000, 0, 0, List.of(0.0, 0.0)),
                new LoadReports(LoadReportSource.NONE, List.of()),
                false,
                weights,
                false);
    }

    /** A router with the members added so far on its remembered list. */
    RouterHarness start() {
        logic = new Logic(settings(), 7);
        list(MemberListKind.RESTORED);
        return this;
    }

    /** Caches 1 to n of the home location, parents 101 and on, and one origin, 900. */
    RouterHarness fleet(int caches, int parents) {
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

    List<Action> change(long id, State state, long started) {
        Member old = members.stream().filter(m -> m.id() == id).findFirst().orElseThrow();
        Member changed = new Member(id, old.role(), old.zone(), old.cell(), old.weight(), started, state);
        members.set(members.indexOf(old), changed);
        return handle(new MemberListUpdate(MemberListKind.DELTA, 2, List.of(changed)));
    }

    List<Action> list(MemberListKind kind) {
        return handle(new MemberListUpdate(kind, 1, List.copyOf(members)));
    }

    List<Action> handle(Event event) {
        List<Action> actions = new ArrayList<>();
        logic.handle(now, event, actions::add);
        return actions;
    }

    /** Lets time pass with the timer's ticks; returns all that the router did meanwhile. */
    List<Action> pass(long span) {
        List<Action> actions = new ArrayList<>();
        long end = now + span;
        while (now < end) {
            now = Math.min(end, now + 20 * MILLI);
            actions.addAll(handle(new TimerDue(0)));
        }
        return actions;
    }

    List<Action> ask(String object) {
        return ask(object, PAGE, 1_000);
    }

    /** A request named q1, q2, ... in order of arrival. */
    List<Action> ask(String object, int requestClass, double sizeKb) {
        long left = requestClass == WRITE ? 3 * SECOND : 5 * SECOND;
        return handle(new RequestArrived("q" + ++requests, requestClass, object, 0, 4, sizeKb, left, false));
    }

    List<Action> end(Fetch fetch, int attempt, Outcome outcome, FillResult note) {
        return end(fetch.id(), attempt, fetch.member(), outcome, note);
    }

    List<Action> end(String id, int attempt, long member, Outcome outcome, FillResult note) {
        return handle(
                new AttemptEnded(id, attempt, member, outcome, 100 * MILLI, outcome == Outcome.OK, note, 0, Map.of()));
    }

    /** Asks for an object and serves it; returns how it was sent. */
    Fetch serve(String object, FillResult note) {
        Fetch fetch = fetch(ask(object));
        now += 100 * MILLI;
        end(fetch, 0, Outcome.OK, note);
        return fetch;
    }

    static <T extends Action> List<T> only(Class<T> type, List<Action> actions) {
        return actions.stream().filter(type::isInstance).map(type::cast).toList();
    }

    /** The one fetch among these actions. */
    static Fetch fetch(List<Action> actions) {
        List<Fetch> fetches = only(Fetch.class, actions);
        if (fetches.size() != 1) {
            throw new AssertionError("not one fetch: " + actions);
        }
        return fetches.get(0);
    }

    static Lookup lookup(List<Action> actions) {
        List<Lookup> lookups = only(Lookup.class, actions);
        if (lookups.size() != 1) {
            throw new AssertionError("not one lookup: " + actions);
        }
        return lookups.get(0);
    }
}
