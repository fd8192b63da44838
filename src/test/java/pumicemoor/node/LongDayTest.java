package pumicemoor.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import pumicemoor.Logic;
import pumicemoor.RouterApi;
import pumicemoor.node.Input.AnswerStatus;

/**
 * Guards against memory leaks when members, connections, requests, objects and purges keep changing for a long time.
 */
class LongDayTest {

    private static final long MICROS_PER_MILLI = 1_000;
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final int ROUNDS = 30_000;
    private static final int MAX_REMEMBERED_OBJECTS = 20_000; // by the decision module

    private final Queue<Effect> effects = new ArrayDeque<>();
    private long now = 1_764_576_000 * MICROS_PER_SECOND;
    private Reducer reducer;
    private int served;

    private void accept(Input input) {
        reducer.accept(now, input, effects::add);
        for (Effect effect = effects.poll(); effect != null; effect = effects.poll()) {
            if (effect instanceof Effect.SendAttempt attempt) {
                attempt.body().release();
                accept(new Input.AttemptWritten(attempt.attempt()));
                accept(new Input.AttemptAnswered(
                        attempt.attempt(), AnswerStatus.DATA, "parent", Map.of("inflight", 1.0), Bytes.NONE));
            } else if (effect instanceof Effect.Answer answer && answer.code() == Effect.Code.SERVED) {
                served++;
            }
        }
    }

    private void advance(long micros) {
        long end = now + micros;
        while (reducer.nextDue() <= end) {
            now = Math.max(now, reducer.nextDue());
            accept(new Input.TimerFired());
        }
        now = end;
    }

    /** Returns the size of each map and collection field of an object, by the field's name. */
    private static Map<String, Integer> tableSizes(Object owner) throws IllegalAccessException {
        Map<String, Integer> sizes = new TreeMap<>();
        for (Field field : owner.getClass().getDeclaredFields()) {
            if (!Modifier.isStatic(field.getModifiers())) {
                field.setAccessible(true);
                Object value = field.get(owner);
                if (value instanceof Map<?, ?> map) {
                    sizes.put(field.getName(), map.size());
                } else if (value instanceof Collection<?> collection) {
                    sizes.put(field.getName(), collection.size());
                }
            }
        }
        return sizes;
    }

    @Test
    void noTableGrowsWithTheNumberOfEndedRequestsAndGoneMembers() throws Exception {
        NodeConfig config = NodeTestConfig.parse(NodeTestConfig.json(
                "127.0.0.1:1",
                "127.0.0.1:2",
                NodeTestConfig.list(
                        1,
                        true,
                        NodeTestConfig.member("s-0", "127.0.0.1:11", "box", "active", 0),
                        NodeTestConfig.member("p-1", "127.0.0.1:12", "shield", "active", 0))));
        RouterApi logic = new Logic(config.settingsReader().settings(), 1);
        reducer = new Reducer(
                logic,
                config.settingsReader(),
                ResourceLimits.of(config.settingsReader().settings(), config.resources()),
                new Counters());
        reducer.applyInitialUpdates(now, config, effects::add);
        long index = 1;
        for (int i = 1; i <= ROUNDS; i++) {
            advance(10 * MICROS_PER_MILLI);
            accept(new Input.CoordinatorUpdate(NodeTestConfig.list(
                    ++index,
                    false,
                    NodeTestConfig.member("s-" + i, "127.0.0.1:11", "box", "active", 0),
                    NodeTestConfig.member("s-" + (i - 1), "127.0.0.1:11", "box", "left", 0))));
            accept(new Input.CoordinatorUpdate("{\"index\":" + ++index + ",\"evict\":{\"ref\":\"" + id(i)
                    + "\",\"unix_ms\":" + now / MICROS_PER_MILLI + "}}"));
            accept(new Input.Request(i, 1, id(i), "segment", id(i), 0, i % 256, null, 2_000, false, Bytes.NONE));
            accept(new Input.ClientClosed(i));
        }
        assertEquals(ROUNDS, served);
        advance(60 * MICROS_PER_SECOND);
        Map<String, Integer> sizes = tableSizes(logic);
        assertTrue(sizes.remove("objects") <= MAX_REMEMBERED_OBJECTS);
        sizes.forEach((name, size) -> assertTrue(size <= 3, "Logic." + name + " holds " + size));
        tableSizes(reducer).forEach((name, size) -> assertTrue(size <= 3, "Reducer." + name + " holds " + size));
    }

    private static String id(int number) {
        return String.format("%016x", number);
    }
}
