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
import pumicemoor.RouterApi.Fail;
import pumicemoor.RouterApi.Fetch;
import pumicemoor.RouterApi.FillResult;
import pumicemoor.RouterApi.Lookup;
import pumicemoor.RouterApi.Member;
import pumicemoor.RouterApi.MemberListKind;
import pumicemoor.RouterApi.MemberListUpdate;
import pumicemoor.RouterApi.Outcome;
import pumicemoor.RouterApi.PeerMessage;
import pumicemoor.RouterApi.Refuse;
import pumicemoor.RouterApi.RequestArrived;
import pumicemoor.RouterApi.Rules;
import pumicemoor.RouterApi.SendToPeer;
import pumicemoor.RouterApi.SetTimer;
import pumicemoor.RouterApi.SlowStart;
import pumicemoor.RouterApi.State;
import pumicemoor.RouterApi.TimerDue;
import pumicemoor.RouterApi.WeightMeaning;

/**
 * During a migration, routers of the old configuration (rough capacities, no peer messages, eight attempts) and of the
 * new one (unknown capacities, peer messages, six attempts) share the four caches of one location. Checks over all of
 * them: one final answer for each request, in time; no overload of a cache in slow start; no attempt to a draining
 * cache after the grace; and the same service for both kinds of routers.
 */
class MixedConfigurationsTest {

    private static final long MICROS_PER_MILLI = RouterHarness.MICROS_PER_MILLI;
    private static final long MICROS_PER_SECOND = RouterHarness.MICROS_PER_SECOND;
    private static final int CACHE_TRANSFERS = 6; // transfers that a cache serves at a time; it refuses more as full
    private static final long TRANSFER_MICROS = 200 * MICROS_PER_MILLI;
    private static final int RESTARTED_CACHE = 1;
    private static final int DRAINING_CACHE = 2;
    private static final int ROUTERS_PER_CONFIGURATION = 4;
    /** Load as a fraction of the capacity of four caches, at which the slow-start budget takes effect. */
    private static final double LOAD_FACTOR = 0.9;

    private record ScheduledTask(long at, long sequence, Runnable task) {}

    private record Router(Logic logic, int configuration, int index) {}

    private final PriorityQueue<ScheduledTask> tasks = new PriorityQueue<>(
            (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.sequence, b.sequence));
    private final List<Router> routers = new ArrayList<>();
    private final Map<Long, Integer> activeTransfers = new HashMap<>();
    private final Map<String, Integer> finalAnswers = new HashMap<>();
    private final Map<String, Long> deadlines = new HashMap<>();
    private final Map<String, Integer> attemptCounts = new HashMap<>();
    private final int[] requested = new int[2];
    private final int[] served = new int[2];
    private final Deque<Long> recentSends = new ArrayDeque<>();
    private final Random random = new Random(11);
    private final RouterHarness oldConfiguration = new RouterHarness();
    private final RouterHarness newConfiguration = new RouterHarness();
    private long now = 1_000 * MICROS_PER_SECOND;
    private long taskSequence;
    private long restartedAt = Long.MAX_VALUE;
    private long drainedAt; // 0: no cache drains yet
    private int lateAnswers;
    private int sentAfterDrainGrace;
    private double maxBudgetUse;

    private void schedule(long delay, Runnable task) {
        tasks.add(new ScheduledTask(now + delay, taskSequence++, task));
    }

    private void simulate(double loadFactor) {
        oldConfiguration.weights = WeightMeaning.ROUGH;
        newConfiguration.peerMessages = true;
        newConfiguration.maxAttempts = 6;
        for (RouterHarness harness : List.of(oldConfiguration, newConfiguration)) {
            harness.localRouters = 2 * ROUTERS_PER_CONFIGURATION;
            harness.addFleet(4, 2);
        }
        for (int i = 0; i < 2 * ROUTERS_PER_CONFIGURATION; i++) {
            RouterHarness harness = i % 2 == 0 ? oldConfiguration : newConfiguration;
            Router router = new Router(new Logic(harness.settings(), random.nextLong()), i % 2, i);
            routers.add(router);
            handle(router, new MemberListUpdate(MemberListKind.RESTORED, 1, List.copyOf(harness.members)));
        }
        for (long at = 0;
                at < 22 * MICROS_PER_SECOND;
                at += (long)
                        (-Math.log(1 - random.nextDouble()) * TRANSFER_MICROS / (4 * CACHE_TRANSFERS * loadFactor))) {
            schedule(at, () -> {
                Router router = routers.get(random.nextInt(routers.size()));
                String id = "r" + (requested[0] + requested[1]);
                requested[router.configuration]++;
                deadlines.put(id, now + 5 * MICROS_PER_SECOND);
                handle(
                        router,
                        new RequestArrived(
                                id,
                                RouterHarness.PAGE,
                                "o" + random.nextInt(400),
                                0,
                                4,
                                router.configuration == 0 ? 10.0 * TRANSFER_MICROS / MICROS_PER_MILLI : 0,
                                5 * MICROS_PER_SECOND,
                                false));
            });
        }
        schedule(8 * MICROS_PER_SECOND, () -> changeCache(DRAINING_CACHE, State.DRAINING, 0));
        schedule(10 * MICROS_PER_SECOND, () -> {
            restartedAt = now;
            changeCache(RESTARTED_CACHE, State.READY, now);
        });
        while (!tasks.isEmpty() && tasks.peek().at < 1_030 * MICROS_PER_SECOND) {
            ScheduledTask next = tasks.poll();
            now = next.at;
            next.task.run();
        }
    }

    private void changeCache(int id, State state, long started) {
        drainedAt = state == State.DRAINING ? now : drainedAt;
        Member changed = new Member(id, RouterApi.Role.CACHE, RouterHarness.HOME, 0, 1, started, state);
        routers.forEach(r -> handle(r, new MemberListUpdate(MemberListKind.DELTA, 2, List.of(changed))));
    }

    private void handle(Router router, RouterApi.Event event) {
        List<Action> actions = new ArrayList<>();
        router.logic.handle(now, event, actions::add);
        for (Action action : actions) {
            if (action instanceof SetTimer timer) {
                schedule(timer.delay(), () -> handle(router, new TimerDue(timer.token())));
            } else if (action instanceof Fetch fetch) {
                handleAttempt(router, fetch.id(), fetch.member(), fetch.source());
            } else if (action instanceof Lookup lookup) {
                handleAttempt(router, lookup.id(), lookup.member(), lookup.member());
            } else if (action instanceof Refuse refuse) {
                recordFinalAnswer(refuse.id());
            } else if (action instanceof Fail fail) {
                recordFinalAnswer(fail.id());
            } else if (action instanceof SendToPeer message) {
                routers.stream()
                        .filter(r -> r != router && (message.router() < 0 || r.index == message.router()))
                        .forEach(r -> schedule(
                                5 * MICROS_PER_MILLI,
                                () -> handle(r, new PeerMessage(router.index, message.payload()))));
            }
        }
    }

    private void recordFinalAnswer(String id) {
        finalAnswers.merge(id, 1, Integer::sum);
        lateAnswers += now > deadlines.get(id) + 8 * MICROS_PER_MILLI ? 1 : 0;
    }

    private void handleAttempt(Router router, String id, long member, long source) {
        int attempt = attemptCounts.merge(id, 1, Integer::sum) - 1;
        boolean pastGrace = drainedAt > 0 && now > drainedAt + 2 * MICROS_PER_SECOND;
        sentAfterDrainGrace += (member == DRAINING_CACHE || source == DRAINING_CACHE) && pastGrace ? 1 : 0;
        // the rule doesn't apply after the slow start
        long slowStartEnd = restartedAt
                + oldConfiguration.settings().rules().cacheSlowStart().rampDuration();
        if ((member == RESTARTED_CACHE || source == RESTARTED_CACHE) && now >= restartedAt && now < slowStartEnd) {
            recordBudgetUse();
        }
        if (activeTransfers.getOrDefault(member, 0) >= CACHE_TRANSFERS) {
            schedule(
                    MICROS_PER_MILLI,
                    () -> handle(
                            router,
                            new AttemptEnded(
                                    id,
                                    attempt,
                                    member,
                                    Outcome.FULL,
                                    MICROS_PER_MILLI,
                                    false,
                                    FillResult.NONE,
                                    0,
                                    Map.of())));
            return;
        }
        activeTransfers.merge(member, 1, Integer::sum);
        schedule(TRANSFER_MICROS, () -> {
            activeTransfers.merge(member, -1, Integer::sum);
            served[router.configuration]++;
            recordFinalAnswer(id);
            handle(
                    router,
                    new AttemptEnded(
                            id, attempt, member, Outcome.OK, TRANSFER_MICROS, true, FillResult.HIT, 0, Map.of()));
        });
    }

    private void recordBudgetUse() {
        Rules rules = oldConfiguration.settings().rules();
        SlowStart slowStart = rules.cacheSlowStart();
        recentSends.add(now);
        while (recentSends.peekFirst() <= now - rules.overloadWindow()) {
            recentSends.removeFirst();
        }
        double share = slowStart.initialShare()
                + (1 - slowStart.initialShare()) * (now - restartedAt) / slowStart.rampDuration();
        maxBudgetUse = Math.max(
                maxBudgetUse,
                recentSends.size()
                        * TRANSFER_MICROS
                        / (slowStart.overloadFactor() * share * CACHE_TRANSFERS * rules.overloadWindow()));
    }

    @Test
    void bothConfigurationsKeepTheRulesAndAreServedAlike() {
        simulate(LOAD_FACTOR);
        int requests = requested[0] + requested[1];
        assertEquals(requests, finalAnswers.size(), "every request has its final answer");
        assertTrue(finalAnswers.values().stream().allMatch(n -> n == 1), "no request has two final answers");
        assertEquals(0, lateAnswers, "final answers past the deadline");
        assertEquals(0, sentAfterDrainGrace, "attempts to a draining cache after the grace");
        assertTrue(maxBudgetUse <= 1, "used " + maxBudgetUse + " of the restarted cache's budget in a window");
        double oldServed = (double) served[0] / requested[0];
        double newServed = (double) served[1] / requested[1];
        // once a cache drains, three caches, one of them in slow start, get a load of 0.9 of the capacity of four: a
        // third of the requests is refused, equally for both kinds of routers
        assertTrue(oldServed > 0.6 && newServed > 0.6, "served " + oldServed + " and " + newServed);
        assertTrue(Math.abs(oldServed - newServed) < 0.1, "served " + oldServed + " and " + newServed);
    }
}
