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
import pumicemoor.wire.WireException;

/**
 * One router without sockets: its real reducer and decisions in virtual time, before members that answer each attempt
 * after a fixed time. It owns that time and what was asked, and must never decide anything. Times are microseconds.
 */
final class HollowReader {

    private static final long MILLI = 1_000;
    private static final long HIT = 2 * MILLI;
    private static final long FILL = 6 * MILLI;
    private static final long DEADLINE = 3_000; // milliseconds

    private final Reducer reducer;
    private final Queue<Effect> effects = new ArrayDeque<>();
    private final Queue<Pending> hits = new ArrayDeque<>(); // each of the two by time
    private final Queue<Pending> fills = new ArrayDeque<>();
    private final List<Effect.SendFleetPacket> packets = new ArrayList<>();
    private final Set<String> filled = new HashSet<>();
    private long now = CoordinatorEvents.BEGIN * MILLI;
    private int streams;
    private long followed;
    private long served;
    private long bounded;

    private record Pending(long at, long attempt, String note) {}

    /** One that is told this configuration and whose operator has set nothing. */
    HollowReader(String config) {
        this(config, OperatorConfig.NONE);
    }

    HollowReader(String config, OperatorConfig operator) {
        NodeConfig read = read(config);
        reducer = new Reducer(
                new Logic(read.words().settings(), read.seed()),
                read.words(),
                ResourceLimits.of(read.words().settings(), read.figures()),
                new Counters());
        reducer.applyOperatorConfig(now, operator, read.location(), read.name(), read.seed());
        reducer.known(now, read, effects::add);
        carryOut();
    }

    private static NodeConfig read(String config) {
        try {
            return NodeConfig.parse(config);
        } catch (WireException e) {
            throw new IllegalStateException("the measurement's own configuration can't be read", e);
        }
    }

    /** The packets for other routers of the fleet, each given out once. */
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

    /** How often the coordinator's stream was asked for anew. */
    long followed() {
        return followed;
    }

    long served() {
        return served;
    }

    /** Attempts that named the oldest copy that will do. */
    long bounded() {
        return bounded;
    }

    void take(Input input) {
        reducer.accept(now, input, effects::add);
        carryOut();
    }

    void request(String object) {
        streams++;
        take(new Input.Request(
                1, streams, Integer.toString(streams), "file", object, 0, -1, null, DEADLINE, false, Bytes.NONE));
    }

    /** Lets virtual time pass, with all that is due in it. */
    void pass(long micros) {
        long end = now + micros;
        for (long next = next(); next <= end; next = next()) {
            now = Math.max(now, next);
            if (reducer.nextDue() <= now) {
                take(new Input.TimerFired());
            } else {
                Queue<Pending> first = !hits.isEmpty() && hits.peek().at() <= now ? hits : fills;
                Pending p = first.remove();
                take(new Input.Answered(p.attempt(), Input.AnswerStatus.DATA, p.note(), Map.of(), Bytes.NONE));
            }
        }
        now = end;
    }

    /** When something happens next. */
    long next() {
        return Math.min(
                reducer.nextDue(),
                Math.min(
                        hits.isEmpty() ? Long.MAX_VALUE : hits.peek().at(),
                        fills.isEmpty() ? Long.MAX_VALUE : fills.peek().at()));
    }

    private void carryOut() {
        for (Effect effect = effects.poll(); effect != null; effect = effects.poll()) {
            if (effect instanceof Effect.SendAttempt ask) {
                bounded += ask.maxAgeMillis() > 0 ? 1 : 0;
                reducer.accept(now, new Input.Written(ask.attempt()), effects::add);
                if (filled.add(ask.instance() + " " + ask.object())) {
                    fills.add(new Pending(now + FILL, ask.attempt(), "parent"));
                } else {
                    hits.add(new Pending(now + HIT, ask.attempt(), "mem"));
                }
            } else if (effect instanceof Effect.Answer answer) {
                served += answer.code() == Effect.Code.SERVED ? 1 : 0;
            } else if (effect instanceof Effect.FollowCoordinator) {
                followed++;
            } else if (effect instanceof Effect.SendFleetPacket packet) {
                packets.add(packet);
            }
        }
    }
}
