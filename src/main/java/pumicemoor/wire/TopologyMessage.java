package pumicemoor.wire;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import pumicemoor.hierarchy.TopologyUpdate;
import pumicemoor.hierarchy.Topology.Kind;

/**
 * News of the hierarchy as the coordinator of an installation with a feed tells it, under 'shape' in its events:
 * a piece, or that all until a time have been told. It only reads; it must never judge a piece. Form:
 *
 * <pre>
 * {"piece":7,"version":3,"pieces":0,"announced_ms":1764576000123,"unit":"hub-a","kind":"hub",
 *  "parents":{"hub-b":1.0}}            a unit's parents; "removed":true in place of parents: it is no more
 * {"certain_ms":1764576000123,"piece":7}      no piece past number 7 was announced until then
 * </pre>
 */
public sealed interface TopologyMessage {

    /** A piece, with its number. */
    record Told(TopologyUpdate piece) implements TopologyMessage {}

    /** All pieces announced until a time (Unix microseconds) have numbers up to this one. */
    record Certain(long asOf, long lastNumber) implements TopologyMessage {}

    private static Kind kind(String text) throws WireException {
        for (Kind kind : Kind.values()) {
            if (kind.name().toLowerCase(Locale.ROOT).equals(text)) {
                return kind;
            }
        }
        throw new WireException("field 'shape.kind' has the unknown value '" + text + "'");
    }

    /** Reads one; the exception names the field that cannot be used. */
    static TopologyMessage read(Message news) throws WireException {
        long number = news.integer("piece");
        if (news.has("certain_ms")) {
            return new Certain(news.integer("certain_ms") * 1_000, number);
        }
        String unit = news.text("unit");
        Map<String, Double> parents =
                new LinkedHashMap<>(news.objectOrEmpty("parents").numbersByName());
        return new Told(new TopologyUpdate(
                number,
                news.integer("announced_ms") * 1_000,
                news.integer("version"),
                (int) news.integer("pieces", 0),
                unit,
                kind(news.text("kind")),
                parents,
                news.flag("removed")));
    }
}
