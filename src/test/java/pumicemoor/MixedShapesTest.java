package pumicemoor;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.Test;
import pumicemoor.RouterApi.Action;
import pumicemoor.RouterApi.AttemptEnded;
import pumicemoor.RouterApi.SlowStart;
import pumicemoor.RouterApi.Fail;
import pumicemoor.RouterApi.Fetch;
import pumicemoor.RouterApi.FillResult;
import pumicemoor.RouterApi.MemberListKind;
import pumicemoor.RouterApi.Lookup;
import pumicemoor.RouterApi.Member;
import pumicemoor.RouterApi.MemberListUpdate;
import pumicemoor.RouterApi.Outcome;
import pumicemoor.RouterApi.PeerMessage;
import pumicemoor.RouterApi.Refuse;
import pumicemoor.RouterApi.RequestArrived;
import pumicemoor.RouterApi.Rules;
import pumicemoor.RouterApi.SetTimer;
import pumicemoor.RouterApi.State;
import pumicemoor.RouterApi.SendToPeer;
import pumicemoor.RouterApi.TimerDue;
import pumicemoor.RouterApi.WeightMeaning;

/**
 * During a move, routers of the old shape (sizes told roughly, no peer notes, eight attempts) and of the new one
 * (sizes untold, peer notes, six attempts) share the four caches of one location. The books are kept over all of
 * them: one final answer for each request, in time; no cold cache pushed over; nothing new to a draining one past
 * the grace; and both kinds served alike.
 */
class MixedShapesTest {

    private static final long MILLI = RouterHarness.MILLI;
    private static final long SECOND = RouterHarness.SECOND;
    private static final int WIDTH = 6; // transfers that a cache serves at once; more are turned away as full
    private static final long WORK = 200 * MILLI;
    private static final int COLD = 1;
    private static final int DRAINING = 2;
    private static final int EACH_KIND = 4;
    private static final double LOAD = 0.9; // of four caches' width, where the cold budget binds

    private record Later(long at, long order, Runnable what) {}

    private record Router(Logic logic, int kind, int number) {}

    private final PriorityQueue<Later> agenda =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private final List<Router> routers = new ArrayList<>();
    private final Map<Long, Integer> busy = new HashMap<>();
    private final Map<String, Integer> answers = new HashMap<>();
    private final Map<String, Long> deadlines = new HashMap<>();
    private final Map<String, Integer> attemptsOf = new HashMap<>();
    private final int[] asked = new int[2];
    private final int[] served = new int[2];
    private final Deque<Long> toCold = new ArrayDeque<>();
    private final Random random = new Random(11);
    private final RouterHarness oldShape = new RouterHarness();
    private final RouterHarness newShape = new RouterHarness();
    private long now = 1_000 * SECOND;
    private long order;
    private long coldFrom = Long.MAX_VALUE;
    private long drainedAt; // 0: nothing drains yet
    private int lateAnswers;
    private int afterDrain;
    private double worstCold;

    private void later(long delay, Runnable what) {
        agenda.add(new Later(now + delay, order++, what));
    }

    private void play(double load) {
        oldShape.weights = WeightMeaning.ROUGH;
        newShape.peerNotes = true;
        newShape.attempts = 6;
        for (RouterHarness shape : List.of(oldShape, newShape)) {
            shape.routersHere = 2 * EACH_KIND;
            shape.fleet(4, 2);
        }
        for (int i = 0; i < 2 * EACH_KIND; i++) {
            RouterHarness shape = i % 2 == 0 ? oldShape : newShape;
            Router router = new Router(new Logic(shape.settings(), random.nextLong()), i % 2, i);
            routers.add(router);
            handle(router, new MemberListUpdate(MemberListKind.RESTORED, 1, List.copyOf(shape.members)));
        }
        for (long at = 0;
                at < 22 * SECOND;
                at += (long) (-Math.log(1 - random.nextDouble()) * WORK / (4 * WIDTH * load))) {
            later(at, () -> {
                Router router = routers.get(random.nextInt(routers.size()));
                String id = "r" + (asked[0] + asked[1]);
                asked[router.kind]++;
                deadlines.put(id, now + 5 * SECOND);
                handle(
                        router,
                        new RequestArrived(
                                id,
                                RouterHarness.PAGE,
                                "o" + random.nextInt(400),
                                0,
                                4,
                                router.kind == 0 ? 10.0 * WORK / MILLI : 0,
                                5 * SECOND,
                                false));
            });
        }
        later(8 * SECOND, () -> change(DRAINING, State.DRAINING, 0));
        later(10 * SECOND, () -> {
            coldFrom = now;
            change(COLD, State.READY, now);
        });
        while (!agenda.isEmpty() && agenda.peek().at < 1_030 * SECOND) {
            Later next = agenda.poll();
            now = next.at;
            next.what.run();
        }
    }

    private void change(int id, State state, long started) {
        drainedAt = state == State.DRAINING ? now : drainedAt;
        Member young = new Member(id, RouterApi.Role.CACHE, RouterHarness.HOME, 0, 1, started, state);
        routers.forEach(r -> handle(r, new MemberListUpdate(MemberListKind.DELTA, 2, List.of(young))));
    }

    private void handle(Router router, RouterApi.Event event) {
        List<Action> actions = new ArrayList<>();
        router.logic.handle(now, event, actions::add);
        for (Action action : actions) {
            if (action instanceof SetTimer t) {
                later(t.delay(), () -> handle(router, new TimerDue(t.token())));
            } else if (action instanceof Fetch f) {
                sent(router, f.id(), f.member(), f.source());
            } else if (action instanceof Lookup l) {
                sent(router, l.id(), l.member(), l.member());
            } else if (action instanceof Refuse r) {
                answered(r.id());
            } else if (action instanceof Fail f) {
                answered(f.id());
            } else if (action instanceof SendToPeer t) {
                routers.stream()
                        .filter(r -> r != router && (t.router() < 0 || r.number == t.router()))
                        .forEach(r -> later(5 * MILLI, () -> handle(r, new PeerMessage(router.number, t.payload()))));
            }
        }
    }

    private void answered(String id) {
        answers.merge(id, 1, Integer::sum);
        lateAnswers += now > deadlines.get(id) + 8 * MILLI ? 1 : 0;
    }

    private void sent(Router router, String id, long member, long source) {
        int attempt = attemptsOf.merge(id, 1, Integer::sum) - 1;
        boolean pastGrace = drainedAt > 0 && now > drainedAt + 2 * SECOND;
        afterDrain += (member == DRAINING || source == DRAINING) && pastGrace ? 1 : 0;
        long warmAt = coldFrom + oldShape.settings().rules().cacheSlowStart().rampDuration(); // the rule ends there
        if ((member == COLD || source == COLD) && now >= coldFrom && now < warmAt) {
            bookCold();
        }
        if (busy.getOrDefault(member, 0) >= WIDTH) {
            later(
                    MILLI,
                    () -> handle(
                            router,
                            new AttemptEnded(
                                    id, attempt, member, Outcome.FULL, MILLI, false, FillResult.NONE, 0, Map.of())));
            return;
        }
        busy.merge(member, 1, Integer::sum);
        later(WORK, () -> {
            busy.merge(member, -1, Integer::sum);
            served[router.kind]++;
            answered(id);
            handle(router, new AttemptEnded(id, attempt, member, Outcome.OK, WORK, true, FillResult.HIT, 0, Map.of()));
        });
    }

    private void bookCold() {
        Rules rules = oldShape.settings().rules();
        SlowStart start = rules.cacheSlowStart();
        toCold.add(now);
        while (toCold.peekFirst() <= now - rules.overloadWindow()) {
            toCold.removeFirst();
        }
        double share = start.initialShare() + (1 - start.initialShare()) * (now - coldFrom) / start.rampDuration();
        worstCold =
                Math.max(worstCold, toCold.size() * WORK / (start.overloadFactor() * share * WIDTH * rules.overloadWindow()));
    }

    @Test
    void bothShapesKeepTheRulesAndNeitherStarvesTheOther() {
        play(LOAD);
        int all = asked[0] + asked[1];
        assertEquals(all, answers.size(), "every request has its final answer");
        assertTrue(answers.values().stream().allMatch(n -> n == 1), "no request has two final answers");
        assertEquals(0, lateAnswers, "final answers past the deadline");
        assertEquals(0, afterDrain, "attempts to a draining cache past the grace");
        assertTrue(worstCold <= 1, "used " + worstCold + " of the cold cache's budget in a span");
        double oldServed = (double) served[0] / asked[0];
        double newServed = (double) served[1] / asked[1];
        // three caches of four carry 0.9 of four's width once one drains, a cold one among them: a third is
        // turned away, alike
        assertTrue(oldServed > 0.6 && newServed > 0.6, "served " + oldServed + " and " + newServed);
        assertTrue(Math.abs(oldServed - newServed) < 0.1, "served " + oldServed + " and " + newServed);
    }
}
