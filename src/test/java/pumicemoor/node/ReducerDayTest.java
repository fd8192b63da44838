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
 * Whole days of inputs against the reducer with the real decisions: members that answer, refuse, break off,
 * fall silent, drain and come back, clients that leave. What must hold is counted from outside.
 */
class ReducerDayTest {

    private static final long MILLI = 1_000;
    private static final long SECOND = 1_000_000;
    private static final long START = 1_764_576_000 * SECOND;
    private static final AnswerStatus[] WORDS = AnswerStatus.values();

    private final PriorityQueue<Planned> plan = new PriorityQueue<>();
    private final Map<Integer, Long> openUntil = new HashMap<>();
    private final Map<Integer, String> classes = new HashMap<>();
    private final Map<Integer, Integer> answers = new HashMap<>();
    private final Set<Integer> withdrawn = new HashSet<>();
    private final Map<Long, Integer> streamOfAttempt = new HashMap<>();
    private final Set<Integer> mayHaveRun = new HashSet<>();
    private final Map<String, Long> drainedAt = new HashMap<>();
    private long bodies;
    private long order;
    private long now = START;
    private Random random;
    private Reducer reducer;

    private record Planned(long at, long order, Runnable what) implements Comparable<Planned> {
        @Override
        public int compareTo(Planned o) {
            return at != o.at ? Long.compare(at, o.at) : Long.compare(order, o.order);
        }
    }

    private final class Counted implements Bytes {
        Counted() {
            bodies++;
        }

        @Override
        public int size() {
            return 10;
        }

        @Override
        public Bytes retain() {
            bodies++;
            return this;
        }

        @Override
        public void release() {
            bodies--;
        }
    }

    private void in(long delay, Runnable what) {
        plan.add(new Planned(now + delay, ++order, what));
    }

    private void take(Input input) {
        reducer.accept(now, input, this::carryOut);
    }

    private void carryOut(Effect effect) {
        if (effect instanceof Effect.SendAttempt ask) {
            asked(ask);
        } else if (effect instanceof Effect.Answer answer) {
            answer.body().release();
            answers.merge(answer.stream(), 1, Integer::sum);
            Long until = openUntil.remove(answer.stream());
            assertTrue(until != null, "an answer to what is not open");
            assertTrue(now <= until + 58 * MILLI, "an answer " + (now - until) + " us past the deadline");
            assertTrue(
                    answer.code() != Effect.Code.REFUSED
                            || classes.get(answer.stream()).equals("segment")
                            || !mayHaveRun.contains(answer.stream()),
                    "refused though it may have run");
        }
    }

    private void asked(Effect.SendAttempt ask) {
        ask.body().release();
        int stream = Integer.parseInt(ask.id());
        assertTrue(openUntil.containsKey(stream), "an attempt for a request that is over");
        assertTrue(ask.requestClass().equals("segment") || !mayHaveRun.contains(stream), "an effect twice");
        for (String name : new String[] {ask.instance(), ask.source()}) {
            Long drained = drainedAt.get(name);
            assertTrue(drained == null || now <= drained + SECOND, name + " was asked past its drain");
        }
        streamOfAttempt.put(ask.attempt(), stream);
        mayHaveRun.add(stream);
        int kind = random.nextInt(30);
        if (kind == 0) {
            in(random.nextInt(400_000), () -> ends(ask, new Input.NeverSent(ask.attempt()), true));
            return;
        }
        in(0, () -> take(new Input.Written(ask.attempt())));
        long delay = 5 * MILLI + random.nextInt(kind < 6 ? 600_000 : 60_000);
        if (kind == 1) {
            in(delay, () -> ends(ask, new Input.ConnectionLost(ask.attempt()), false));
        } else if (kind > 2) {
            AnswerStatus word = kind < 9 ? WORDS[random.nextInt(WORDS.length)] : AnswerStatus.DATA;
            in(
                    delay,
                    () -> ends(
                            ask,
                            new Input.Answered(
                                    ask.attempt(),
                                    word,
                                    word == AnswerStatus.DATA ? "mem" : null,
                                    Map.of(),
                                    word == AnswerStatus.DATA ? new Counted() : Bytes.NONE),
                            word == AnswerStatus.ABSENT || word == AnswerStatus.FULL || word == AnswerStatus.MOOT));
        }
    }

    private void ends(Effect.SendAttempt ask, Input end, boolean neverRan) {
        if (neverRan) {
            mayHaveRun.remove(streamOfAttempt.get(ask.attempt()));
        }
        take(end);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void eachRequestGetsOneAnswerInTimeAndNothingIsLeftBehind(long seed) throws Exception {
        random = new Random(seed);
        String[] members = {"s-1", "s-2", "s-3", "p-1", "p-2", "o-1"};
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < members.length; i++) {
            all.append(i == 0 ? "" : ",").append(line(members[i], "active", 0));
        }
        NodeConfig config = NodeTestConfig.parse(
                NodeTestConfig.json("127.0.0.1:1", "127.0.0.1:2", NodeTestConfig.list(1, true, all.toString())));
        Counters counters = new Counters();
        reducer = new Reducer(
                new Logic(config.words().settings(), seed),
                config.words(),
                ResourceLimits.of(config.words().settings(), config.figures()),
                counters);
        reducer.known(now, config, this::carryOut);
        for (int i = 1; i <= 2_000; i++) {
            int stream = i;
            in(random.nextInt(20_000) * MILLI, () -> arrive(stream));
        }
        for (int i = 0; i < 8; i++) {
            String member = members[random.nextInt(5)];
            long index = 2 + 3 * i;
            long at = 2 * SECOND * i + SECOND;
            in(at, () -> {
                drainedAt.put(member, now);
                take(new Input.CoordinatorUpdate(NodeTestConfig.list(index, false, line(member, "leaving", 0))));
            });
            in(
                    at + 700 * MILLI,
                    () -> take(new Input.CoordinatorUpdate("{\"index\":" + (index + 1) + ",\"evict\":{\"shard\":3,\"unix_ms\":"
                            + (now / MILLI - 100) + "}}")));
            in(at + 1_500 * MILLI, () -> {
                drainedAt.remove(member);
                take(new Input.CoordinatorUpdate(NodeTestConfig.list(index + 2, false, line(member, "active", now / MILLI))));
            });
        }
        long end = START + 30 * SECOND;
        while (now < end) {
            long planned = plan.isEmpty() ? Long.MAX_VALUE : plan.peek().at();
            long due = reducer.nextDue();
            now = Math.max(now, Math.min(end, Math.min(planned, due)));
            if (planned <= now) {
                plan.poll().what().run();
            } else if (due <= now) {
                take(new Input.TimerFired());
            }
        }
        assertEquals(Map.of(), openUntil);
        assertEquals(0, reducer.openRequests());
        assertEquals(0, bodies, "bodies still held");
        assertEquals(0, counters.get(Counters.Name.FAULTS));
        assertEquals(2_000, answers.size() + withdrawn.size());
        answers.forEach((stream, count) -> assertEquals(1, count, "answers to " + stream));
        assertTrue(answers.size() > 1_800 && counters.get(Counters.Name.SERVED) > 1_200, counters.toString());
    }

    private void arrive(int stream) {
        long ttl = 300 + random.nextInt(1_700);
        classes.put(stream, random.nextInt(4) == 0 ? "order" : "segment");
        openUntil.put(stream, now + ttl * MILLI);
        assertNull(answers.get(stream));
        take(new Input.Request(
                1,
                stream,
                Integer.toString(stream),
                classes.get(stream),
                "o" + random.nextInt(300),
                random.nextInt(3),
                random.nextInt(5),
                null,
                ttl,
                false,
                new Counted()));
        if (random.nextInt(40) == 0) {
            in(random.nextInt(200_000), () -> {
                if (openUntil.remove(stream) != null) {
                    withdrawn.add(stream);
                    take(new Input.RequestCancelled(1, stream));
                }
            });
        }
    }

    private static String line(String member, String lifecycle, long started) {
        String kind = member.startsWith("s") ? "box" : member.startsWith("p") ? "shield" : "store";
        return NodeTestConfig.member(member, "127.0.0.1:9", kind, lifecycle, started);
    }
}
