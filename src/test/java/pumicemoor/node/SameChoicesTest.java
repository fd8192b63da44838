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

/** Tests that requests of the platform and calls of other proxies get the same decisions, given the same outcomes. */
class SameChoicesTest {

    /** A reducer with its own decision module, and its choices as text that does not depend on the kind of input. */
    private static final class Side {
        final boolean byCalls;
        final Reducer reducer;
        final List<String> choices = new ArrayList<>();
        final Map<Integer, Long> openAttemptKeys = new LinkedHashMap<>(); // by number, in the order of their choice
        int attemptCount;

        Side(boolean byCalls, NodeConfig config, long now) {
            this.byCalls = byCalls;
            this.reducer = new Reducer(
                    new Logic(config.settingsReader().settings(), 5),
                    config.settingsReader(),
                    ResourceLimits.of(config.settingsReader().settings(), config.resources()),
                    new Counters());
            reducer.applyInitialUpdates(now, config, this::accept);
        }

        void accept(Effect effect) {
            if (effect instanceof Effect.SendAttempt sent) {
                sent.body().release();
                addChoice(
                        sent.attempt(),
                        sent.instance(),
                        sent.source(),
                        sent.keepRank(),
                        sent.maxAgeMillis(),
                        "" + sent.join() + sent.onlyIfCached() + sent.renew(),
                        sent.timeoutMillis());
            } else if (effect instanceof Effect.AnnounceAttempt announced) {
                addChoice(
                        announced.key(),
                        announced.instance(),
                        announced.source(),
                        announced.keepRank(),
                        announced.maxAgeMillis(),
                        "" + announced.join() + announced.onlyIfCached() + announced.renew(),
                        announced.timeoutMillis());
            } else if (effect instanceof Effect.Answer answer) {
                choices.add("answer " + answer.code() + " " + answer.retryAfterMillis());
            }
        }

        void addChoice(long key, String cache, String source, int keepRank, long maxAge, String flags, long timeout) {
            choices.add(
                    String.join(" ", cache, String.valueOf(source), "" + keepRank, "" + maxAge, flags, "" + timeout));
            openAttemptKeys.put(attemptCount++, key);
        }

        void request(long now, int number, String requestClass, String object) {
            reducer.accept(
                    now,
                    byCalls
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
                    this::accept);
            reducer.accept(now, new Input.TimerFired(), this::accept);
        }

        void endAttempt(long now, int choice, int outcome) {
            Long key = openAttemptKeys.remove(choice);
            if (key != null) {
                if (!byCalls) {
                    reducer.accept(now, new Input.AttemptWritten(key), this::accept);
                }
                reducer.accept(
                        now,
                        outcome == 0
                                ? new Input.AttemptNeverSent(key)
                                : outcome == 1
                                        ? new Input.ConnectionLost(key)
                                        : new Input.AttemptAnswered(
                                                key,
                                                outcome == 2
                                                        ? AnswerStatus.FAILED
                                                        : outcome == 3 ? AnswerStatus.FULL : AnswerStatus.DATA,
                                                outcome % 2 == 0 ? "mem" : "parent",
                                                Map.of(),
                                                Bytes.NONE),
                        this::accept);
            }
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void bothKindsOfInputLeadToTheSameChoices(long seed) throws Exception {
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
                platform.request(now, step, requestClass, object);
                calls.request(now, step, requestClass, object);
            } else if (!platform.openAttemptKeys.isEmpty()) {
                int choice = List.copyOf(platform.openAttemptKeys.keySet())
                        .get(random.nextInt(platform.openAttemptKeys.size()));
                // requests of the platform are abandoned if not written in time; here all are written at once
                int outcome = random.nextInt(12);
                platform.endAttempt(now, choice, outcome);
                calls.endAttempt(now, choice, outcome);
            }
            for (Long key : platform.openAttemptKeys.values()) {
                platform.reducer.accept(now, new Input.AttemptWritten(key), platform::accept);
            }
            platform.reducer.accept(now, new Input.TimerFired(), platform::accept);
            calls.reducer.accept(now, new Input.TimerFired(), calls::accept);
        }
        assertTrue(platform.attemptCount > 700, "" + platform.attemptCount);
        assertEquals(platform.choices, calls.choices);
    }
}
