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

/** A day on which members, connections, requests, objects and purges are ever new: what is kept of them. */
class LongDayTest {

    private static final long MILLI = 1_000;
    private static final long SECOND = 1_000_000;
    private static final int EACH = 30_000;
    private static final int OBJECTS = 20_000; // what the module may remember

    private final Queue<Effect> effects = new ArrayDeque<>();
    private long now = 1_764_576_000 * SECOND;
    private Reducer reducer;
    private int served;

    private void take(Input input) {
        reducer.accept(now, input, effects::add);
        for (Effect effect = effects.poll(); effect != null; effect = effects.poll()) {
            if (effect instanceof Effect.SendAttempt ask) {
                ask.body().release();
                take(new Input.Written(ask.attempt()));
                take(new Input.Answered(ask.attempt(), AnswerStatus.DATA, "parent", Map.of("inflight", 1.0), Bytes.NONE));
            } else if (effect instanceof Effect.Answer answer && answer.code() == Effect.Code.SERVED) {
                served++;
            }
        }
    }

    private void pass(long micros) {
        long end = now + micros;
        while (reducer.nextDue() <= end) {
            now = Math.max(now, reducer.nextDue());
            take(new Input.TimerFired());
        }
        now = end;
    }

    /** How much each table of this object holds. */
    private static Map<String, Integer> held(Object owner) throws IllegalAccessException {
        Map<String, Integer> sizes = new TreeMap<>();
        for (Field field : owner.getClass().getDeclaredFields()) {
            if (!Modifier.isStatic(field.getModifiers())) {
                field.setAccessible(true);
                Object value = field.get(owner);
                if (value instanceof Map<?, ?> map) {
                    sizes.put(field.getName(), map.size());
                } else if (value instanceof Collection<?> all) {
                    sizes.put(field.getName(), all.size());
                }
            }
        }
        return sizes;
    }

    @Test
    void nothingOfTensOfThousandsOutlivesItsOwner() throws Exception {
        NodeConfig config = NodeTestConfig.parse(NodeTestConfig.json(
                "127.0.0.1:1",
                "127.0.0.1:2",
                NodeTestConfig.list(
                        1,
                        true,
                        NodeTestConfig.member("s-0", "127.0.0.1:11", "box", "active", 0),
                        NodeTestConfig.member("p-1", "127.0.0.1:12", "shield", "active", 0))));
        RouterApi logic = new Logic(config.words().settings(), 1);
        reducer = new Reducer(
                logic, config.words(), ResourceLimits.of(config.words().settings(), config.figures()), new Counters());
        reducer.known(now, config, effects::add);
        long index = 1;
        for (int i = 1; i <= EACH; i++) {
            pass(10 * MILLI);
            take(new Input.CoordinatorUpdate(NodeTestConfig.list(
                    ++index,
                    false,
                    NodeTestConfig.member("s-" + i, "127.0.0.1:11", "box", "active", 0),
                    NodeTestConfig.member("s-" + (i - 1), "127.0.0.1:11", "box", "left", 0))));
            take(new Input.CoordinatorUpdate("{\"index\":" + ++index + ",\"evict\":{\"ref\":\"" + id(i) + "\",\"unix_ms\":"
                    + now / MILLI + "}}"));
            take(new Input.Request(i, 1, id(i), "segment", id(i), 0, i % 256, null, 2_000, false, Bytes.NONE));
            take(new Input.ClientClosed(i));
        }
        assertEquals(EACH, served);
        pass(60 * SECOND);
        Map<String, Integer> left = held(logic);
        assertTrue(left.remove("table") <= OBJECTS);
        left.forEach((name, size) -> assertTrue(size <= 3, "Logic." + name + " holds " + size));
        held(reducer).forEach((name, size) -> assertTrue(size <= 3, "Reducer." + name + " holds " + size));
    }

    private static String id(int number) {
        return String.format("%016x", number);
    }
}
