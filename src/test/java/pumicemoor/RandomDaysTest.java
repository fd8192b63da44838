package pumicemoor;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pumicemoor.RouterApi.Action;
import pumicemoor.RouterApi.AttemptEnded;
import pumicemoor.RouterApi.Cancel;
import pumicemoor.RouterApi.SlowStart;
import pumicemoor.RouterApi.Idempotency;
import pumicemoor.RouterApi.Event;
import pumicemoor.RouterApi.Fail;
import pumicemoor.RouterApi.Fetch;
import pumicemoor.RouterApi.FillResult;
import pumicemoor.RouterApi.MemberListKind;
import pumicemoor.RouterApi.Lookup;
import pumicemoor.RouterApi.Member;
import pumicemoor.RouterApi.MemberListUpdate;
import pumicemoor.RouterApi.FillReporting;
import pumicemoor.RouterApi.Outcome;
import pumicemoor.RouterApi.Purged;
import pumicemoor.RouterApi.Refuse;
import pumicemoor.RouterApi.DeduplicationScope;
import pumicemoor.RouterApi.RequestArrived;
import pumicemoor.RouterApi.RequestAbandoned;
import pumicemoor.RouterApi.Role;
import pumicemoor.RouterApi.SetTimer;
import pumicemoor.RouterApi.Settings;
import pumicemoor.RouterApi.State;
import pumicemoor.RouterApi.TimerDue;
import pumicemoor.RouterApi.WeightMeaning;

/** Long random but legal days, on which all five rules are checked from outside, with books of its own. */
class RandomDaysTest {

    private static final long MILLI = RouterHarness.MILLI;
    private static final long SECOND = RouterHarness.SECOND;
    private static final double WIDTH = 6;
    private static final long WORK = 100 * MILLI;

    /** What this test knows of a request. */
    private static final class Request {
        RequestArrived arrived;
        long deadline;
        Idempotency effect;
        DeduplicationScope group;
        int attempts;
        int finals;
        boolean over;
        boolean mayHaveRun;
        final Set<Integer> open = new HashSet<>();
    }

    private record Later(long at, long order, Runnable what) {}

    private final PriorityQueue<Later> agenda =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private final Map<String, Request> requests = new HashMap<>();
    private final Map<Long, Long> leftAt = new HashMap<>();
    private final Map<Long, List<Long>> coldWork = new HashMap<>();
    private final Map<String, long[]> purges = new HashMap<>();
    private final RouterHarness setup = new RouterHarness();
    private Random random;
    private Settings settings;
    private Logic router;
    private long order;
    private long now;
    private int life;
    private int asked;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24})
    void allRulesAreKept(long seed) {
        random = new Random(seed);
        now = 1_000 * SECOND;
        setup.effect = Idempotency.values()[random.nextInt(3)];
        setup.group = DeduplicationScope.values()[random.nextInt(3)];
        setup.direct = random.nextBoolean();
        setup.joins = random.nextBoolean();
        setup.cancel = random.nextBoolean();
        setup.secondCopies = random.nextBoolean();
        setup.retryAfter = random.nextBoolean();
        setup.peerNotes = random.nextBoolean();
        setup.fresh = random.nextBoolean() ? 0 : 2 * SECOND;
        setup.grace = setup.fresh;
        setup.routersHere = 1 + random.nextInt(3);
        setup.notes = FillReporting.values()[random.nextInt(3)];
        setup.weights = random.nextBoolean() ? WeightMeaning.NONE : WeightMeaning.NOMINAL;
        settings = setup.settings();
        for (int i = 1; i <= 4; i++) {
            setup.members.add(new Member(i, Role.CACHE, RouterHarness.HOME, i, WIDTH, 0, State.READY));
            setup.members.add(new Member(50 + i, Role.CACHE, RouterHarness.HUB, i, WIDTH, 0, State.READY));
        }
        for (int i = 1; i <= 3; i++) {
            setup.members.add(new Member(100 + i, Role.PARENT, RouterHarness.HUB, 0, 4 * WIDTH, 0, State.READY));
        }
        setup.members.add(new Member(900, Role.ORIGIN, RouterHarness.HUB, 0, WIDTH, 0, State.READY));
        start();
        for (long at = 0; at < 40 * SECOND; at += (long) (random.nextDouble() * 20 * MILLI)) {
            later(at, this::ask);
        }
        for (long at = 0; at < 40 * SECOND; at += (long) (random.nextDouble() * 2 * SECOND)) {
            later(at, this::change);
            later(at, this::purge);
        }
        for (int i = 0; i < 2; i++) {
            later((long) (random.nextDouble() * 40 * SECOND), this::restart);
        }
        while (!agenda.isEmpty() && agenda.peek().at < 1_050 * SECOND) {
            Later next = agenda.poll();
            now = next.at;
            next.what.run();
        }
        requests.values().forEach(q -> assertTrue(q.over, "no answer for " + q.arrived));
        assertTrue(asked > 1_000);
    }

    private void later(long delay, Runnable what) {
        agenda.add(new Later(now + delay, order++, what));
    }

    private void handle(Event event) {
        List<Action> actions = new ArrayList<>();
        router.handle(now, event, actions::add);
        actions.forEach(this::check);
    }

    private void start() {
        life++;
        router = new Logic(settings, random.nextLong());
        handle(new MemberListUpdate(MemberListKind.RESTORED, 1, List.copyOf(setup.members)));
        purges.forEach((key, at) -> {
            if (now - at[0] < settings.rules().purgeSettleTime()) {
                tell(key, at);
            }
        });
    }

    private void restart() {
        requests.clear();
        leftAt.clear();
        coldWork.clear();
        start();
    }

    private void ask() {
        Request q = new Request();
        int type = random.nextInt(10) == 0 ? RouterHarness.WRITE : RouterHarness.PAGE;
        long left = random.nextInt(20) == 0 ? 10 * MILLI : (long) ((0.5 + random.nextDouble() / 2) * 5 * SECOND);
        q.arrived = new RequestArrived(
                "r" + asked++,
                type,
                "o" + (int) (60 * Math.pow(random.nextDouble(), 2)),
                0,
                random.nextInt(3),
                1_000,
                left,
                false);
        q.effect = type == RouterHarness.WRITE ? Idempotency.UNSAFE : setup.effect;
        q.group = setup.group;
        q.deadline = now + left;
        requests.put(q.arrived.id(), q);
        handle(q.arrived);
        later(
                left + settings.rules().answerSlack(),
                () -> assertTrue(q.over || requests.get(q.arrived.id()) != q, "unanswered in time: " + q.arrived));
        if (random.nextInt(30) == 0) {
            later((long) (random.nextDouble() * left), () -> leave(q));
        }
    }

    private void leave(Request q) {
        if (!q.over && requests.get(q.arrived.id()) == q) {
            q.over = true;
            handle(new RequestAbandoned(q.arrived.id()));
        }
    }

    private void change() {
        int at = random.nextInt(setup.members.size());
        Member old = setup.members.get(at);
        if (old.role() == Role.ORIGIN && random.nextInt(4) > 0) {
            return;
        }
        State state = old.state() == State.READY ? State.values()[1 + random.nextInt(2)] : State.READY;
        long started = state == State.READY && random.nextBoolean() ? now : old.started();
        Member changed = new Member(old.id(), old.role(), old.zone(), old.cell(), old.weight(), started, state);
        setup.members.set(at, changed);
        boolean whole = random.nextInt(4) == 0;
        leftAt.remove(old.id());
        if (state != State.READY) {
            leftAt.put(old.id(), now);
        }
        if (started == now) {
            coldWork.put(old.id(), new ArrayList<>());
        }
        handle(new MemberListUpdate(
                whole ? MemberListKind.SNAPSHOT : MemberListKind.DELTA, 2, whole ? List.copyOf(setup.members) : List.of(changed)));
    }

    private void purge() {
        String key = random.nextInt(4) == 0 ? "group " + random.nextInt(3) : "o" + random.nextInt(60);
        long[] at = {now - random.nextInt((int) (300 * MILLI)), now};
        purges.put(key, at);
        tell(key, at);
    }

    private void tell(String key, long[] at) {
        at[1] = now;
        boolean group = key.startsWith("group ");
        handle(new Purged(group ? null : key, group ? Integer.parseInt(key.substring(6)) : 0, now - at[0]));
    }

    // ---- the checks -----------------------------------------------------------------------------------

    private void check(Action action) {
        if (action instanceof Fetch f) {
            sent(f.id(), f.member(), f.source());
            checkPurges(f);
        } else if (action instanceof Lookup l) {
            sent(l.id(), l.member(), l.member());
            assertTrue(member(l.member()).role() == Role.ORIGIN, "only the origin can bound the age of a lookup");
        } else if (action instanceof Refuse a) {
            Request q = last(a.id());
            assertTrue(
                    !q.mayHaveRun && q.open.isEmpty()
                            || q.effect == Idempotency.SAFE
                            || q.effect == Idempotency.KEYED && q.group == DeduplicationScope.ALL,
                    "refused what may have run " + q.arrived);
        } else if (action instanceof Fail a) {
            last(a.id());
        } else if (action instanceof Cancel c) {
            assertTrue(setup.cancel);
            Request q = requests.get(c.id());
            later(2 * MILLI, () -> end(q, c.attempt(), Outcome.CANCELLED, FillResult.NONE, life));
        } else if (action instanceof SetTimer t) {
            int alive = life;
            later(t.delay(), () -> {
                if (alive == life) {
                    handle(new TimerDue(t.token()));
                }
            });
        }
    }

    private Request last(String id) {
        Request q = requests.get(id);
        assertTrue(!q.over, "second final answer for " + q.arrived);
        q.over = true;
        return q;
    }

    private Member member(long id) {
        return setup.members.stream().filter(m -> m.id() == id).findFirst().orElseThrow();
    }

    private void sent(String id, long target, long source) {
        Request q = requests.get(id);
        assertTrue(q != null && !q.over, "sent for a request that is over");
        assertTrue(q.effect == Idempotency.SAFE || !q.mayHaveRun && q.open.isEmpty(), "may run twice: " + q.arrived);
        assertTrue(setup.secondCopies || q.open.isEmpty(), "two attempts at once");
        assertTrue(q.attempts < settings.limits().maxAttempts());
        Member m = member(target);
        assertTrue(m.role() == Role.CACHE ? m.zone() == RouterHarness.HOME : setup.direct, "no way to " + m);
        for (long id2 : new long[] {target, source}) {
            Long left = leftAt.get(id2);
            assertTrue(left == null || now - left <= settings.rules().drainGrace(), "sent to one that left " + id2);
        }
        checkCold(member(target));
        if (source != target && member(source).role() == Role.PARENT) {
            checkCold(member(source));
        }
        int attempt = q.attempts++;
        q.open.add(attempt);
        int alive = life;
        double draw = random.nextDouble();
        Outcome[] outcomes = Outcome.values();
        Outcome outcome = draw < 0.8 ? Outcome.OK : outcomes[1 + random.nextInt(outcomes.length - 3)];
        FillResult[] notes = FillResult.values();
        FillResult note = outcome == Outcome.OK ? notes[random.nextInt(6)] : notes[6 + random.nextInt(5)];
        long takes = draw > 0.97 ? 10 * SECOND : (long) (random.nextDouble() * random.nextDouble() * 900 * MILLI);
        later(
                Math.min(takes, q.deadline - now),
                () -> end(
                        q,
                        attempt,
                        now >= q.deadline ? Outcome.TIMEOUT : outcome == Outcome.TIMEOUT ? Outcome.MISS : outcome,
                        note,
                        alive));
    }

    private void end(Request q, int attempt, Outcome outcome, FillResult note, int alive) {
        if (alive != life || !q.open.remove(attempt)) {
            return;
        }
        if (!outcome.provesNotRun) {
            q.mayHaveRun = true;
        }
        if (outcome == Outcome.OK) {
            q.over = true;
        }
        FillResult told = settings.fills().fillReporting() == FillReporting.ALL
                        || settings.fills().fillReporting() == FillReporting.HIT_ONLY
                                && note.ordinal() < FillResult.SOURCE_REFUSED.ordinal()
                ? note
                : FillResult.NONE;
        handle(new AttemptEnded(q.arrived.id(), attempt, 1, outcome, 50 * MILLI, q.over, told, 0, Map.of()));
    }

    private void checkPurges(Fetch f) {
        RequestArrived q = requests.get(f.id()).arrived;
        for (String key : List.of(q.object(), "group " + q.group())) {
            long[] at = purges.get(key);
            if (at != null && now - at[0] < settings.rules().purgeSettleTime() && q.requestClass() == RouterHarness.PAGE) {
                long oldest = f.maxAge() > 0 ? f.maxAge() : setup.fresh > 0 ? setup.fresh : Long.MAX_VALUE;
                assertTrue(oldest <= Math.max(1, now - at[0]), "may be answered from before the purge of " + key);
            }
        }
    }

    /** In any span the router's share of the budget, plus one request for rounding, is not passed. */
    private void checkCold(Member m) {
        List<Long> sent = coldWork.get(m.id());
        boolean parent = m.role() == Role.PARENT;
        SlowStart cold = parent ? settings.rules().parentSlowStart() : settings.rules().cacheSlowStart();
        if (sent == null || m.role() == Role.ORIGIN || now - m.started() > cold.rampDuration()) {
            return;
        }
        long span = settings.rules().overloadWindow();
        sent.removeIf(at -> at <= now - span);
        sent.add(now);
        double share = cold.initialShare() + (1 - cold.initialShare()) * (now - m.started()) / cold.rampDuration();
        double budget = cold.overloadFactor() * share * m.weight() * span / (parent ? settings.routers() : setup.routersHere);
        assertTrue(sent.size() * WORK <= budget + WORK, "pushed over " + m + ": " + sent.size());
    }
}
