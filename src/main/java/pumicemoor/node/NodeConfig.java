package pumicemoor.node;

import java.util.ArrayList;
import java.util.List;
import pumicemoor.wire.Message;
import pumicemoor.wire.Vocabulary;
import pumicemoor.wire.WireException;

/**
 * What a router is told before it starts, read from the JSON that RELAY_CONFIG names. It checks the form
 * only and must never fill in a value for a decision that the settings leave out.
 */
public record NodeConfig(String name, String listen, String coordinator, long seed, Figures figures,
        Vocabulary words, long knownIndex, List<Message> known) {

    /** The platform's limits and what the settings say of connections. */
    public record Figures(int memoryMb, int sockets, long keepAlive, int multiplex) {
    }

    /** Reads the configuration; the exception names the field that cannot be used. */
    public static NodeConfig parse(String json) throws WireException {
        Message all = Message.parse(json);
        Message limits = all.objectOrEmpty("limits");
        Message settings = all.object("settings");
        Message policy = settings.object("policy-limits");
        Message known = all.objectOrEmpty("known");
        return new NodeConfig(all.text("name", ""), address(all, "listen"), all.text("coordinator", ""),
                seed(all.text("seed", "0")),
                new Figures((int) limits.integer("memory_mb", 192), (int) limits.integer("sockets", 1024),
                        policy.integer("keepalive-us", 0), (int) policy.integer("multiplex", 100)),
                new Vocabulary(settings), known.integer("index", 0), new ArrayList<>(known.objects("updates")));
    }

    private static String address(Message all, String field) throws WireException {
        String address = all.text(field);
        if (!address.matches("[^:\\s]+:\\d{1,5}")) {
            throw new WireException("field '" + field + "' is no address: '" + address + "'");
        }
        return address;
    }

    private static long seed(String text) throws WireException {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new WireException("field 'seed' is not a hexadecimal number: '" + text + "'");
        }
    }
}
