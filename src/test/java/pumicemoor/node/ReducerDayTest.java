package pumicemoor.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pumicemoor.Logic;
import pumicemoor.node.Input.AnswerStatus;

/**
 * Simulates long runs of the reducer with the real decision module: members answer, refuse, lose connections, stop
 * answering, drain and return, and clients cancel. It checks from outside that each request gets one answer in time,
 * that no request with a side effect runs twice, and that no body leaks.
 */
class ReducerDayTest {

    private static final long MICROS_PER_MILLI = 1_000;
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long START_MICROS = 1_764_576_000 * MICROS_PER_SECOND;
    private static final AnswerStatus[] STATUSES = AnswerStatus.values();

    private final PriorityQueue<PlannedTask> tasks = new PriorityQueue<>();
    private final Map<Integer, Long> deadlineOfOpenRequest = new HashMap<>();
    private final Map<Integer, String> classOfRequest = new HashMap<>();
    private final Map<Integer, Integer> answerCounts = new HashMap<>();
    private final Set<Integer> cancelled = new HashSet<>();
    private final Map<Long, Integer> streamOfAttempt = new HashMap<>();
    private final Set<Integer> mayHaveRun = new HashSet<>();
    private final Map<String, Long> drainedAt = new HashMap<>();
    private long bodyReferences;
    private long lastOrder;
    private long now = START_MICROS;
    private Random random;
    private Reducer reducer;

    private record PlannedTask(long at, long order, Runnable task) implements Comparable<PlannedTask> {
        @Override
        public int compareTo(PlannedTask other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    private final class CountedBody implements Bytes {
        CountedBody() {
            bodyReferences++;
        }

        @Override
        public int size() {
            return 10;
        }

        @Override
        public Bytes retain() {
            bodyReferences++;
            return this;
        }

        @Override
        public void release() {
            bodyReferences--;
        }
    }

    private void schedule(long delay, Runnable task) {
        tasks.add(new PlannedTask(now + delay, ++lastOrder, task));
    }

    private void accept(Input input) {
        reducer.accept(now, input, this::carryOut);
    }

    private void carryOut(Effect effect) {
        if (effect instanceof Effect.SendAttempt attempt) {
            attemptSent(attempt);
        } else if (effect instanceof Effect.Answer answer) {
            answer.body().release();
            answerCounts.merge(answer.stream(), 1, Integer::sum);
            Long deadline = deadlineOfOpenRequest.remove(answer.stream());
            assertTrue(deadline != null, "an answer to a request that is not open");
            assertTrue(
                    now <= deadline + 58 * MICROS_PER_MILLI, "an answer " + (now - deadline) + " us past the deadline");
            assertTrue(
                    answer.code() != Effect.Code.REFUSED
                            || classOfRequest.get(answer.stream()).equals("segment")
                            || !mayHaveRun.contains(answer.stream()),
                    "refused though it may have run");
        }
    }

    private void attemptSent(Effect.SendAttempt attempt) {
        attempt.body().release();
        int stream = Integer.parseInt(attempt.id());
        assertTrue(deadlineOfOpenRequest.containsKey(stream), "an attempt for a closed request");
        assertTrue(
                attempt.requestClass().equals("segment") || !mayHaveRun.contains(stream),
                "a request with a side effect may run twice");
        for (String name : new String[] {attempt.instance(), attempt.source()}) {
            Long drained = drainedAt.get(name);
            assertTrue(drained == null || now <= drained + MICROS_PER_SECOND, name + " was used past its drain");
        }
        streamOfAttempt.put(attempt.attempt(), stream);
        mayHaveRun.add(stream);
        int behaviour = random.nextInt(30);
        if (behaviour == 0) {
            schedule(
                    random.nextInt(400_000),
                    () -> endAttempt(attempt, new Input.AttemptNeverSent(attempt.attempt()), true));
            return;
        }
        schedule(0, () -> accept(new Input.AttemptWritten(attempt.attempt())));
        long delay = 5 * MICROS_PER_MILLI + random.nextInt(behaviour < 6 ? 600_000 : 60_000);
        if (behaviour == 1) {
            schedule(delay, () -> endAttempt(attempt, new Input.ConnectionLost(attempt.attempt()), false));
        } else if (behaviour > 2) {
            AnswerStatus status = behaviour < 9 ? STATUSES[random.nextInt(STATUSES.length)] : AnswerStatus.DATA;
            schedule(
                    delay,
                    () -> endAttempt(
                            attempt,
                            new Input.AttemptAnswered(
                                    attempt.attempt(),
                                    status,
                                    status == AnswerStatus.DATA ? "mem" : null,
                                    Map.of(),
                                    status == AnswerStatus.DATA ? new CountedBody() : Bytes.NONE),
                            status == AnswerStatus.ABSENT
                                    || status == AnswerStatus.FULL
                                    || status == AnswerStatus.MOOT));
        }
    }

    private void endAttempt(Effect.SendAttempt attempt, Input end, boolean neverRan) {
        if (neverRan) {
            mayHaveRun.remove(streamOfAttempt.get(attempt.attempt()));
        }
        accept(end);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void eachRequestGetsOneAnswerInTimeAndNothingLeaks(long seed) throws Exception {
        random = new Random(seed);
        String[] members = {"s-1", "s-2", "s-3", "p-1", "p-2", "o-1"};
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < members.length; i++) {
            all.append(i == 0 ? "" : ",").append(listEntry(members[i], "active", 0));
        }
        NodeConfig config = NodeTestConfig.parse(
                NodeTestConfig.json("127.0.0.1:1", "127.0.0.1:2", NodeTestConfig.list(1, true, all.toString())));
        Counters counters = new Counters();
        reducer = new Reducer(
                new Logic(config.settingsReader().settings(), seed),
                config.settingsReader(),
                ResourceLimits.of(config.settingsReader().settings(), config.resources()),
                counters);
        reducer.applyInitialUpdates(now, config, this::carryOut);
        for (int i = 1; i <= 2_000; i++) {
            int stream = i;
            schedule(random.nextInt(20_000) * MICROS_PER_MILLI, () -> arrive(stream));
        }
        for (int i = 0; i < 8; i++) {
            String member = members[random.nextInt(5)];
            long index = 2 + 3 * i;
            long at = 2 * MICROS_PER_SECOND * i + MICROS_PER_SECOND;
            schedule(at, () -> {
                drainedAt.put(member, now);
                accept(new Input.CoordinatorUpdate(NodeTestConfig.list(index, false, listEntry(member, "leaving", 0))));
            });
            schedule(
                    at + 700 * MICROS_PER_MILLI,
                    () -> accept(new Input.CoordinatorUpdate("{\"index\":" + (index + 1)
                            + ",\"evict\":{\"shard\":3,\"unix_ms\":" + (now / MICROS_PER_MILLI - 100) + "}}")));
            schedule(at + 1_500 * MICROS_PER_MILLI, () -> {
                drainedAt.remove(member);
                accept(new Input.CoordinatorUpdate(
                        NodeTestConfig.list(index + 2, false, listEntry(member, "active", now / MICROS_PER_MILLI))));
            });
        }
        long end = START_MICROS + 30 * MICROS_PER_SECOND;
        while (now < end) {
            long planned = tasks.isEmpty() ? Long.MAX_VALUE : tasks.peek().at();
            long due = reducer.nextDue();
            now = Math.max(now, Math.min(end, Math.min(planned, due)));
            if (planned <= now) {
                tasks.poll().task().run();
            } else if (due <= now) {
                accept(new Input.TimerFired());
            }
        }
        assertEquals(Map.of(), deadlineOfOpenRequest);
        assertEquals(0, reducer.openRequests());
        assertEquals(0, bodyReferences, "bodies still held");
        assertEquals(0, counters.get(Counters.Name.FAULTS));
        assertEquals(2_000, answerCounts.size() + cancelled.size());
        answerCounts.forEach((stream, count) -> assertEquals(1, count, "answers to " + stream));
        assertTrue(answerCounts.size() > 1_800 && counters.get(Counters.Name.SERVED) > 1_200, counters.toString());
    }

    private void arrive(int stream) {
        long ttl = 300 + random.nextInt(1_700);
        classOfRequest.put(stream, random.nextInt(4) == 0 ? "order" : "segment");
        deadlineOfOpenRequest.put(stream, now + ttl * MICROS_PER_MILLI);
        assertNull(answerCounts.get(stream));
        accept(new Input.Request(
                1,
                stream,
                Integer.toString(stream),
                classOfRequest.get(stream),
                "o" + random.nextInt(300),
                random.nextInt(3),
                random.nextInt(5),
                null,
                ttl,
                false,
                new CountedBody()));
        if (random.nextInt(40) == 0) {
            schedule(random.nextInt(200_000), () -> {
                if (deadlineOfOpenRequest.remove(stream) != null) {
                    cancelled.add(stream);
                    accept(new Input.RequestCancelled(1, stream));
                }
            });
        }
    }

    private static String listEntry(String member, String lifecycle, long started) {
        String kind = member.startsWith("s") ? "box" : member.startsWith("p") ? "shield" : "store";
        return NodeTestConfig.member(member, address(member), kind, lifecycle, started);
    }

    /** Each member has an address of its own: a later member at the address of an earlier one replaces it. */
    private static String address(String member) {
        return "127.0.0.1:" + (1_024 + Math.floorMod(member.hashCode(), 60_000));
    }
}
