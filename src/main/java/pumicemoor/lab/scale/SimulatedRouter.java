package pumicemoor.lab.scale;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import pumicemoor.Logic;
import pumicemoor.node.Bytes;
import pumicemoor.node.Counters;
import pumicemoor.node.Effect;
import pumicemoor.node.Input;
import pumicemoor.node.NodeConfig;
import pumicemoor.node.Reducer;
import pumicemoor.node.ResourceLimits;
import pumicemoor.operator.OperatorConfig;
import pumicemoor.wire.InvalidInputException;

/**
 * One router without sockets: the production reducer and decision code in virtual time, with simulated members that
 * answer each attempt after a fixed time. It owns the virtual time and the pending answers, and must not contain
 * decision logic of its own. Times are in microseconds.
 */
final class SimulatedRouter {

    private static final long MICROS_PER_MILLI = 1_000;
    private static final long HIT_MICROS = 2 * MICROS_PER_MILLI;
    private static final long FILL_MICROS = 6 * MICROS_PER_MILLI;
    private static final long DEADLINE_MILLIS = 3_000;

    private final Reducer reducer;
    private final Queue<Effect> effects = new ArrayDeque<>();
    private final Queue<PendingAnswer> hits = new ArrayDeque<>(); // ordered by time, like fills
    private final Queue<PendingAnswer> fills = new ArrayDeque<>();
    private final List<Effect.SendFleetPacket> packets = new ArrayList<>();
    private final Set<String> filledObjects = new HashSet<>();
    private long now = CoordinatorEvents.START_UNIX_MILLIS * MICROS_PER_MILLI;
    private int lastRequestId;
    private long streamRequests;
    private long served;
    private long attemptsWithMaxAge;

    private record PendingAnswer(long at, long attempt, String note) {}

    /** Creates a router with this configuration and without operator settings. */
    SimulatedRouter(String config) {
        this(config, OperatorConfig.NONE);
    }

    SimulatedRouter(String config, OperatorConfig operator) {
        NodeConfig parsedConfig = parse(config);
        reducer = new Reducer(
                new Logic(parsedConfig.settingsReader().settings(), parsedConfig.seed()),
                parsedConfig.settingsReader(),
                ResourceLimits.of(parsedConfig.settingsReader().settings(), parsedConfig.resources()),
                new Counters());
        reducer.applyOperatorConfig(now, operator, parsedConfig.location(), parsedConfig.name(), parsedConfig.seed());
        reducer.applyInitialUpdates(now, parsedConfig, effects::add);
        performEffects();
    }

    private static NodeConfig parse(String config) {
        try {
            return NodeConfig.parse(config);
        } catch (InvalidInputException e) {
            throw new IllegalStateException("the measurement's own configuration can't be read", e);
        }
    }

    /** Returns the packets for other routers of the fleet since the last call. */
    List<Effect.SendFleetPacket> takePackets() {
        List<Effect.SendFleetPacket> taken = List.copyOf(packets);
        packets.clear();
        return taken;
    }

    long now() {
        return now;
    }

    boolean ready() {
        return reducer.ready();
    }

    /** The number of times that the coordinator stream was requested again. */
    long streamRequests() {
        return streamRequests;
    }

    long served() {
        return served;
    }

    /** The number of attempts with a maximum age of the accepted copy. */
    long attemptsWithMaxAge() {
        return attemptsWithMaxAge;
    }

    void accept(Input input) {
        reducer.accept(now, input, effects::add);
        performEffects();
    }

    void request(String object) {
        lastRequestId++;
        accept(new Input.Request(
                1,
                lastRequestId,
                Integer.toString(lastRequestId),
                "file",
                object,
                0,
                -1,
                null,
                DEADLINE_MILLIS,
                false,
                Bytes.NONE));
    }

    /** Advances the virtual time and handles all timers and answers that become due. */
    void advance(long micros) {
        long end = now + micros;
        for (long next = nextEventAt(); next <= end; next = nextEventAt()) {
            now = Math.max(now, next);
            if (reducer.nextDue() <= now) {
                accept(new Input.TimerFired());
            } else {
                Queue<PendingAnswer> first = !hits.isEmpty() && hits.peek().at() <= now ? hits : fills;
                PendingAnswer answer = first.remove();
                accept(new Input.AttemptAnswered(
                        answer.attempt(), Input.AnswerStatus.DATA, answer.note(), Map.of(), Bytes.NONE));
            }
        }
        now = end;
    }

    /** The time of the next timer or answer; Long.MAX_VALUE if there is none. */
    long nextEventAt() {
        return Math.min(
                reducer.nextDue(),
                Math.min(
                        hits.isEmpty() ? Long.MAX_VALUE : hits.peek().at(),
                        fills.isEmpty() ? Long.MAX_VALUE : fills.peek().at()));
    }

    private void performEffects() {
        for (Effect effect = effects.poll(); effect != null; effect = effects.poll()) {
            if (effect instanceof Effect.SendAttempt attempt) {
                attemptsWithMaxAge += attempt.maxAgeMillis() > 0 ? 1 : 0;
                reducer.accept(now, new Input.AttemptWritten(attempt.attempt()), effects::add);
                if (filledObjects.add(attempt.instance() + " " + attempt.object())) {
                    fills.add(new PendingAnswer(now + FILL_MICROS, attempt.attempt(), "parent"));
                } else {
                    hits.add(new PendingAnswer(now + HIT_MICROS, attempt.attempt(), "mem"));
                }
            } else if (effect instanceof Effect.Answer answer) {
                served += answer.code() == Effect.Code.SERVED ? 1 : 0;
            } else if (effect instanceof Effect.FollowCoordinator) {
                streamRequests++;
            } else if (effect instanceof Effect.SendFleetPacket packet) {
                packets.add(packet);
            }
        }
    }
}
