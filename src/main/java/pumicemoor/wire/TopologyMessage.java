package pumicemoor.wire;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import pumicemoor.hierarchy.Topology.Kind;
import pumicemoor.hierarchy.TopologyUpdate;

/**
 * A message about the topology of the hierarchy, which a coordinator that streams topology updates sends in the field
 * 'shape' of its events: an update, or the statement that all updates announced until a given time have been sent. This
 * type only parses messages and must not validate updates. The JSON:
 *
 * <pre>
 * {"piece":7,"version":3,"pieces":0,"announced_ms":1764576000123,"unit":"hub-a","kind":"hub",
 *  "parents":{"hub-b":1.0}}            the parents of a unit; "removed":true in place of "parents" removes the unit
 * {"certain_ms":1764576000123,"piece":7}      no update after number 7 was announced until that time
 * </pre>
 */
public sealed interface TopologyMessage {

    /** A topology update; it carries its own number. */
    record Update(TopologyUpdate update) implements TopologyMessage {}

    /** States that every update announced until a time (Unix microseconds) has this number or a lower one. */
    record Watermark(long asOfMicros, long lastUpdateNumber) implements TopologyMessage {}

    private static Kind kind(String text) throws InvalidInputException {
        for (Kind kind : Kind.values()) {
            if (kind.name().toLowerCase(Locale.ROOT).equals(text)) {
                return kind;
            }
        }
        throw new InvalidInputException("field 'shape.kind' has the unknown value '" + text + "'");
    }

    /** Parses a message; times become microseconds. The exception names the invalid field. */
    static TopologyMessage read(JsonObject message) throws InvalidInputException {
        long number = message.integer("piece");
        if (message.has("certain_ms")) {
            return new Watermark(message.integer("certain_ms") * 1_000, number);
        }
        String unit = message.text("unit");
        Map<String, Double> parents =
                new LinkedHashMap<>(message.objectOrEmpty("parents").numbersByName());
        return new Update(new TopologyUpdate(
                number,
                message.integer("announced_ms") * 1_000,
                message.integer("version"),
                (int) message.integer("pieces", 0),
                unit,
                kind(message.text("kind")),
                parents,
                message.flag("removed")));
    }
}
