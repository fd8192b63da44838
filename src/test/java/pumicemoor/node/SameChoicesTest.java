package pumicemoor.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pumicemoor.Logic;
import pumicemoor.node.Input.AnswerStatus;

/** The same requests, members and outcomes by the platform's front and by calls of proxies: the same choices. */
class SameChoicesTest {

    /** A reducer with decisions of its own, and what it chose, in words that both fronts share. */
    private static final class Side {
        final boolean calls;
        final Reducer reducer;
        final List<String> chosen = new ArrayList<>();
        final Map<Integer, Long> open = new LinkedHashMap<>(); // attempt keys by the order of their choice
        int choices;

        Side(boolean calls, NodeConfig config, long now) {
            this.calls = calls;
            this.reducer = new Reducer(
                    new Logic(config.words().settings(), 5),
                    config.words(),
                    ResourceLimits.of(config.words().settings(), config.figures()),
                    new Counters());
            reducer.known(now, config, this::take);
        }

        void take(Effect effect) {
            if (effect instanceof Effect.SendAttempt a) {
                a.body().release();
                chose(
                        a.attempt(),
                        a.instance(),
                        a.source(),
                        a.keepRank(),
                        a.maxAgeMillis(),
                        "" + a.join() + a.onlyIfCached() + a.renew(),
                        a.timeoutMillis());
            } else if (effect instanceof Effect.AnnounceAttempt n) {
                chose(
                        n.key(),
                        n.instance(),
                        n.source(),
                        n.keepRank(),
                        n.maxAgeMillis(),
                        "" + n.join() + n.onlyIfCached() + n.renew(),
                        n.timeoutMillis());
            } else if (effect instanceof Effect.Answer a) {
                chosen.add("answer " + a.code() + " " + a.retryAfterMillis());
            }
        }

        void chose(long key, String cache, String source, int rank, long within, String flags, long limit) {
            chosen.add(String.join(" ", cache, String.valueOf(source), "" + rank, "" + within, flags, "" + limit));
            open.put(choices++, key);
        }

        void ask(long now, int number, String requestClass, String object) {
            reducer.accept(
                    now,
                    calls
                            ? new Input.Call(-number, "id" + number, requestClass, object, 0, -1, 1_500, false)
                            : new Input.Request(
                                    number,
                                    1,
                                    "id" + number,
                                    requestClass,
                                    object,
                                    0,
                                    -1,
                                    null,
                                    1_500,
                                    false,
                                    Bytes.NONE),
                    this::take);
            reducer.accept(now, new Input.TimerFired(), this::take);
        }

        void end(long now, int choice, int how) {
            Long key = open.remove(choice);
            if (key != null) {
                if (!calls) {
                    reducer.accept(now, new Input.Written(key), this::take);
                }
                reducer.accept(
                        now,
                        how == 0
                                ? new Input.NeverSent(key)
                                : how == 1
                                        ? new Input.ConnectionLost(key)
                                        : new Input.Answered(
                                                key,
                                                how == 2 ? AnswerStatus.FAILED : how == 3 ? AnswerStatus.FULL : AnswerStatus.DATA,
                                                how % 2 == 0 ? "mem" : "parent",
                                                Map.of(),
                                                Bytes.NONE),
                        this::take);
            }
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void choicesAreTheSameByBothFronts(long seed) throws Exception {
        NodeConfig config = NodeTestConfig.parse(NodeTestConfig.json(
                "127.0.0.1:1",
                "",
                NodeTestConfig.list(
                        1,
                        true,
                        NodeTestConfig.member("s-1", "127.0.0.1:11", "box", "active", 0),
                        NodeTestConfig.member("s-2", "127.0.0.1:12", "box", "active", 0),
                        NodeTestConfig.member("s-3", "127.0.0.1:13", "box", "active", 0),
                        NodeTestConfig.member("p-1", "127.0.0.1:14", "shield", "active", 0),
                        NodeTestConfig.member("p-2", "127.0.0.1:15", "shield", "active", 0),
                        NodeTestConfig.member("o-1", "127.0.0.1:16", "store", "active", 0))));
        long now = 1_764_576_000_000_000L;
        Side platform = new Side(false, config, now);
        Side calls = new Side(true, config, now);
        Random random = new Random(seed);
        for (int step = 1; step <= 2_000; step++) {
            now += 2_000 + random.nextInt(8_000);
            if (random.nextInt(2) == 0) {
                String requestClass = random.nextInt(5) == 0 ? "order" : "segment";
                String object = "o" + random.nextInt(40);
                platform.ask(now, step, requestClass, object);
                calls.ask(now, step, requestClass, object);
            } else if (!platform.open.isEmpty()) {
                int choice = List.copyOf(platform.open.keySet()).get(random.nextInt(platform.open.size()));
                // the platform's front takes back what is not written in time; here all is written at once
                int how = random.nextInt(12);
                platform.end(now, choice, how);
                calls.end(now, choice, how);
            }
            for (Long key : platform.open.values()) {
                platform.reducer.accept(now, new Input.Written(key), platform::take);
            }
            platform.reducer.accept(now, new Input.TimerFired(), platform::take);
            calls.reducer.accept(now, new Input.TimerFired(), calls::take);
        }
        assertTrue(platform.choices > 700, "" + platform.choices);
        assertEquals(platform.chosen, calls.chosen);
    }
}
