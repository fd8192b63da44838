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
import pumicemoor.RouterApi.DeduplicationScope;
import pumicemoor.RouterApi.Event;
import pumicemoor.RouterApi.Fail;
import pumicemoor.RouterApi.Fetch;
import pumicemoor.RouterApi.FillReporting;
import pumicemoor.RouterApi.FillResult;
import pumicemoor.RouterApi.Idempotency;
import pumicemoor.RouterApi.Lookup;
import pumicemoor.RouterApi.Member;
import pumicemoor.RouterApi.MemberListKind;
import pumicemoor.RouterApi.MemberListUpdate;
import pumicemoor.RouterApi.Outcome;
import pumicemoor.RouterApi.Purged;
import pumicemoor.RouterApi.Refuse;
import pumicemoor.RouterApi.RequestAbandoned;
import pumicemoor.RouterApi.RequestArrived;
import pumicemoor.RouterApi.Role;
import pumicemoor.RouterApi.SetTimer;
import pumicemoor.RouterApi.Settings;
import pumicemoor.RouterApi.SlowStart;
import pumicemoor.RouterApi.State;
import pumicemoor.RouterApi.TimerDue;
import pumicemoor.RouterApi.WeightMeaning;

/** Simulates random but valid days and checks all five rules from outside, with records of its own. */
class RandomDaysTest {

    private static final long MICROS_PER_MILLI = RouterHarness.MICROS_PER_MILLI;
    private static final long MICROS_PER_SECOND = RouterHarness.MICROS_PER_SECOND;
    private static final double CACHE_WEIGHT = 6;
    private static final long TRANSFER_MICROS = 100 * MICROS_PER_MILLI;

    /** This test's own record of a request. */
    private static final class TrackedRequest {
        RequestArrived arrival;
        long deadline;
        Idempotency idempotency;
        DeduplicationScope deduplicationScope;
        int attempts;
        int finalAnswers;
        boolean closed;
        boolean mayHaveRun;
        final Set<Integer> open = new HashSet<>();
    }

    private record ScheduledTask(long at, long sequence, Runnable task) {}

    private final PriorityQueue<ScheduledTask> tasks = new PriorityQueue<>(
            (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.sequence, b.sequence));
    private final Map<String, TrackedRequest> requests = new HashMap<>();
    private final Map<Long, Long> leftAt = new HashMap<>();
    private final Map<Long, List<Long>> slowStartSends = new HashMap<>();
    private final Map<String, long[]> purges = new HashMap<>();
    private final RouterHarness harness = new RouterHarness();
    private Random random;
    private Settings settings;
    private Logic router;
    private long taskSequence;
    private long now;
    private int incarnation;
    private int requestCount;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24})
    void allRulesHoldOnRandomDays(long seed) {
        random = new Random(seed);
        now = 1_000 * MICROS_PER_SECOND;
        harness.idempotency = Idempotency.values()[random.nextInt(3)];
        harness.deduplicationScope = DeduplicationScope.values()[random.nextInt(3)];
        harness.bypassCaches = random.nextBoolean();
        harness.joins = random.nextBoolean();
        harness.cancel = random.nextBoolean();
        harness.hedging = random.nextBoolean();
        harness.retryAfter = random.nextBoolean();
        harness.peerMessages = random.nextBoolean();
        harness.freshFor = random.nextBoolean() ? 0 : 2 * MICROS_PER_SECOND;
        harness.staleGrace = harness.freshFor;
        harness.localRouters = 1 + random.nextInt(3);
        harness.fillReporting = FillReporting.values()[random.nextInt(3)];
        harness.weights = random.nextBoolean() ? WeightMeaning.NONE : WeightMeaning.NOMINAL;
        settings = harness.settings();
        for (int i = 1; i <= 4; i++) {
            harness.members.add(new Member(i, Role.CACHE, RouterHarness.HOME, i, CACHE_WEIGHT, 0, State.READY));
            harness.members.add(new Member(50 + i, Role.CACHE, RouterHarness.HUB, i, CACHE_WEIGHT, 0, State.READY));
        }
        for (int i = 1; i <= 3; i++) {
            harness.members.add(
                    new Member(100 + i, Role.PARENT, RouterHarness.HUB, 0, 4 * CACHE_WEIGHT, 0, State.READY));
        }
        harness.members.add(new Member(900, Role.ORIGIN, RouterHarness.HUB, 0, CACHE_WEIGHT, 0, State.READY));
        start();
        for (long at = 0; at < 40 * MICROS_PER_SECOND; at += (long) (random.nextDouble() * 20 * MICROS_PER_MILLI)) {
            schedule(at, this::sendRequest);
        }
        for (long at = 0; at < 40 * MICROS_PER_SECOND; at += (long) (random.nextDouble() * 2 * MICROS_PER_SECOND)) {
            schedule(at, this::changeMember);
            schedule(at, this::purgeObjectOrGroup);
        }
        for (int i = 0; i < 2; i++) {
            schedule((long) (random.nextDouble() * 40 * MICROS_PER_SECOND), this::restart);
        }
        while (!tasks.isEmpty() && tasks.peek().at < 1_050 * MICROS_PER_SECOND) {
            ScheduledTask next = tasks.poll();
            now = next.at;
            next.task.run();
        }
        requests.values().forEach(request -> assertTrue(request.closed, "no final answer for " + request.arrival));
        assertTrue(requestCount > 1_000);
    }

    private void schedule(long delay, Runnable task) {
        tasks.add(new ScheduledTask(now + delay, taskSequence++, task));
    }

    private void handle(Event event) {
        List<Action> actions = new ArrayList<>();
        router.handle(now, event, actions::add);
        actions.forEach(this::check);
    }

    private void start() {
        incarnation++;
        router = new Logic(settings, random.nextLong());
        handle(new MemberListUpdate(MemberListKind.RESTORED, 1, List.copyOf(harness.members)));
        purges.forEach((key, at) -> {
            if (now - at[0] < settings.rules().purgeSettleTime()) {
                sendPurge(key, at);
            }
        });
    }

    private void restart() {
        requests.clear();
        leftAt.clear();
        slowStartSends.clear();
        start();
    }

    private void sendRequest() {
        TrackedRequest request = new TrackedRequest();
        int requestClass = random.nextInt(10) == 0 ? RouterHarness.WRITE : RouterHarness.PAGE;
        long timeLeft = random.nextInt(20) == 0
                ? 10 * MICROS_PER_MILLI
                : (long) ((0.5 + random.nextDouble() / 2) * 5 * MICROS_PER_SECOND);
        request.arrival = new RequestArrived(
                "r" + requestCount++,
                requestClass,
                "o" + (int) (60 * Math.pow(random.nextDouble(), 2)),
                0,
                random.nextInt(3),
                1_000,
                timeLeft,
                false);
        request.idempotency = requestClass == RouterHarness.WRITE ? Idempotency.UNSAFE : harness.idempotency;
        request.deduplicationScope = harness.deduplicationScope;
        request.deadline = now + timeLeft;
        requests.put(request.arrival.id(), request);
        handle(request.arrival);
        schedule(
                timeLeft + settings.rules().answerSlack(),
                () -> assertTrue(
                        request.closed || requests.get(request.arrival.id()) != request,
                        "not answered in time: " + request.arrival));
        if (random.nextInt(30) == 0) {
            schedule((long) (random.nextDouble() * timeLeft), () -> abandon(request));
        }
    }

    private void abandon(TrackedRequest request) {
        if (!request.closed && requests.get(request.arrival.id()) == request) {
            request.closed = true;
            handle(new RequestAbandoned(request.arrival.id()));
        }
    }

    private void changeMember() {
        int index = random.nextInt(harness.members.size());
        Member previous = harness.members.get(index);
        if (previous.role() == Role.ORIGIN && random.nextInt(4) > 0) {
            return;
        }
        State state = previous.state() == State.READY ? State.values()[1 + random.nextInt(2)] : State.READY;
        long started = state == State.READY && random.nextBoolean() ? now : previous.startedAt();
        Member changed = new Member(
                previous.id(), previous.role(), previous.zone(), previous.cell(), previous.weight(), started, state);
        harness.members.set(index, changed);
        boolean snapshot = random.nextInt(4) == 0;
        leftAt.remove(previous.id());
        if (state != State.READY) {
            leftAt.put(previous.id(), now);
        }
        if (started == now) {
            slowStartSends.put(previous.id(), new ArrayList<>());
        }
        handle(new MemberListUpdate(
                snapshot ? MemberListKind.SNAPSHOT : MemberListKind.DELTA,
                2,
                snapshot ? List.copyOf(harness.members) : List.of(changed)));
    }

    private void purgeObjectOrGroup() {
        String key = random.nextInt(4) == 0 ? "group " + random.nextInt(3) : "o" + random.nextInt(60);
        long[] at = {now - random.nextInt((int) (300 * MICROS_PER_MILLI)), now};
        purges.put(key, at);
        sendPurge(key, at);
    }

    private void sendPurge(String key, long[] at) {
        at[1] = now;
        boolean groupPurge = key.startsWith("group ");
        handle(new Purged(groupPurge ? null : key, groupPurge ? Integer.parseInt(key.substring(6)) : 0, now - at[0]));
    }

    // ---- the checks -----------------------------------------------------------------------------------

    private void check(Action action) {
        if (action instanceof Fetch fetch) {
            checkAttempt(fetch.id(), fetch.member(), fetch.source());
            checkPurges(fetch);
        } else if (action instanceof Lookup lookup) {
            checkAttempt(lookup.id(), lookup.member(), lookup.member());
            assertTrue(member(lookup.member()).role() == Role.ORIGIN, "only the origin can bound the age of a lookup");
        } else if (action instanceof Refuse refuse) {
            TrackedRequest request = recordFinalAnswer(refuse.id());
            assertTrue(
                    !request.mayHaveRun && request.open.isEmpty()
                            || request.idempotency == Idempotency.SAFE
                            || request.idempotency == Idempotency.KEYED
                                    && request.deduplicationScope == DeduplicationScope.ALL,
                    "refused a request that may have run: " + request.arrival);
        } else if (action instanceof Fail fail) {
            recordFinalAnswer(fail.id());
        } else if (action instanceof Cancel cancel) {
            assertTrue(harness.cancel);
            TrackedRequest request = requests.get(cancel.id());
            schedule(
                    2 * MICROS_PER_MILLI,
                    () -> endAttempt(request, cancel.attempt(), Outcome.CANCELLED, FillResult.NONE, incarnation));
        } else if (action instanceof SetTimer timer) {
            int incarnationThen = incarnation;
            schedule(timer.delay(), () -> {
                if (incarnationThen == incarnation) {
                    handle(new TimerDue(timer.token()));
                }
            });
        }
    }

    private TrackedRequest recordFinalAnswer(String id) {
        TrackedRequest request = requests.get(id);
        assertTrue(!request.closed, "second final answer for " + request.arrival);
        request.closed = true;
        return request;
    }

    private Member member(long id) {
        return harness.members.stream().filter(m -> m.id() == id).findFirst().orElseThrow();
    }

    private void checkAttempt(String id, long target, long source) {
        TrackedRequest request = requests.get(id);
        assertTrue(request != null && !request.closed, "sent for a request that is closed");
        assertTrue(
                request.idempotency == Idempotency.SAFE || !request.mayHaveRun && request.open.isEmpty(),
                "may run twice: " + request.arrival);
        assertTrue(harness.hedging || request.open.isEmpty(), "two attempts at once");
        assertTrue(request.attempts < settings.limits().maxAttempts());
        Member member = member(target);
        assertTrue(
                member.role() == Role.CACHE ? member.zone() == RouterHarness.HOME : harness.bypassCaches,
                "not allowed to send to " + member);
        for (long memberId : new long[] {target, source}) {
            Long leftSince = leftAt.get(memberId);
            assertTrue(
                    leftSince == null || now - leftSince <= settings.rules().drainGrace(),
                    "sent to a member that has left: " + memberId);
        }
        checkSlowStart(member(target));
        if (source != target && member(source).role() == Role.PARENT) {
            checkSlowStart(member(source));
        }
        int attempt = request.attempts++;
        request.open.add(attempt);
        int incarnationThen = incarnation;
        double draw = random.nextDouble();
        Outcome[] outcomes = Outcome.values();
        Outcome outcome = draw < 0.8 ? Outcome.OK : outcomes[1 + random.nextInt(outcomes.length - 3)];
        FillResult[] fillResults = FillResult.values();
        FillResult fillResult =
                outcome == Outcome.OK ? fillResults[random.nextInt(6)] : fillResults[6 + random.nextInt(5)];
        long duration = draw > 0.97
                ? 10 * MICROS_PER_SECOND
                : (long) (random.nextDouble() * random.nextDouble() * 900 * MICROS_PER_MILLI);
        schedule(
                Math.min(duration, request.deadline - now),
                () -> endAttempt(
                        request,
                        attempt,
                        now >= request.deadline ? Outcome.TIMEOUT : outcome == Outcome.TIMEOUT ? Outcome.MISS : outcome,
                        fillResult,
                        incarnationThen));
    }

    private void endAttempt(
            TrackedRequest request, int attempt, Outcome outcome, FillResult fillResult, int incarnationThen) {
        if (incarnationThen != incarnation || !request.open.remove(attempt)) {
            return;
        }
        if (!outcome.provesNotRun) {
            request.mayHaveRun = true;
        }
        if (outcome == Outcome.OK) {
            request.closed = true;
        }
        FillResult reported = settings.fills().fillReporting() == FillReporting.ALL
                        || settings.fills().fillReporting() == FillReporting.HIT_ONLY
                                && fillResult.ordinal() < FillResult.SOURCE_REFUSED.ordinal()
                ? fillResult
                : FillResult.NONE;
        handle(new AttemptEnded(
                request.arrival.id(),
                attempt,
                1,
                outcome,
                50 * MICROS_PER_MILLI,
                request.closed,
                reported,
                0,
                Map.of()));
    }

    private void checkPurges(Fetch fetch) {
        RequestArrived request = requests.get(fetch.id()).arrival;
        for (String key : List.of(request.object(), "group " + request.group())) {
            long[] at = purges.get(key);
            if (at != null
                    && now - at[0] < settings.rules().purgeSettleTime()
                    && request.requestClass() == RouterHarness.PAGE) {
                long maxAge =
                        fetch.maxAge() > 0 ? fetch.maxAge() : harness.freshFor > 0 ? harness.freshFor : Long.MAX_VALUE;
                assertTrue(maxAge <= Math.max(1, now - at[0]), "may be answered from before the purge of " + key);
            }
        }
    }

    /** Checks that the router never exceeds its share of the budget in a window by more than one request (rounding). */
    private void checkSlowStart(Member member) {
        List<Long> sent = slowStartSends.get(member.id());
        boolean parent = member.role() == Role.PARENT;
        SlowStart slowStart =
                parent ? settings.rules().parentSlowStart() : settings.rules().cacheSlowStart();
        if (sent == null || member.role() == Role.ORIGIN || now - member.startedAt() > slowStart.rampDuration()) {
            return;
        }
        long window = settings.rules().overloadWindow();
        sent.removeIf(at -> at <= now - window);
        sent.add(now);
        double share = slowStart.initialShare()
                + (1 - slowStart.initialShare()) * (now - member.startedAt()) / slowStart.rampDuration();
        double budget = slowStart.overloadFactor()
                * share
                * member.weight()
                * window
                / (parent ? settings.routers() : harness.localRouters);
        assertTrue(
                sent.size() * TRANSFER_MICROS <= budget + TRANSFER_MICROS, "overloaded " + member + ": " + sent.size());
    }
}
