package pumicemoor.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import pumicemoor.wire.Message;
import pumicemoor.wire.SettingsReader;
import pumicemoor.wire.WireException;

/**
 * What a router is told before it starts, read from the JSON that RELAY_CONFIG names. It checks the form
 * only and must never fill in a value for a decision that the settings leave out.
 */
public record NodeConfig(
        String name,
        String listen,
        String coordinator,
        long seed,
        Figures figures,
        SettingsReader words,
        long knownIndex,
        List<Message> known,
        Message whole) {

    private static final int LAST_PORT = 65_535;

    /** The fields that a running router cannot take over; the rest is either new with each start or followed. */
    private static final List<String> FIXED = List.of("name", "listen", "limits", "settings");

    /** The platform's limits and what the settings say of connections. */
    public record Figures(int memoryMb, int sockets, long keepAlive, int multiplex) {}

    /** Reads the configuration; the exception names the field that cannot be used. */
    public static NodeConfig parse(String json) throws WireException {
        Message all = Message.parse(json);
        Message limits = all.objectOrEmpty("limits");
        Message settings = all.object("settings");
        Message policy = settings.object("policy-limits");
        Message known = all.objectOrEmpty("known");
        String coordinator = all.text("coordinator", "");
        return new NodeConfig(
                all.text("name", ""),
                address(all, "listen"),
                coordinator.isEmpty() ? coordinator : address(all, "coordinator"),
                seed(all.text("seed", "0")),
                new Figures(
                        (int) limits.integer("memory_mb", 192),
                        (int) limits.integer("sockets", 1024),
                        policy.integer("keepalive-us", 0),
                        (int) policy.integer("multiplex", 100)),
                new SettingsReader(settings),
                known.integer("index", 0),
                new ArrayList<>(known.objects("updates")),
                all);
    }

    /** The name of the location that this router serves. */
    public String location() {
        return words.locationName();
    }

    /** The first field by which this configuration differs from another that a running router cannot follow. */
    public Optional<String> unfollowable(NodeConfig other) {
        return FIXED.stream()
                .filter(f -> !Objects.equals(whole.value(f), other.whole.value(f)))
                .findFirst();
    }

    static String address(Message all, String field) throws WireException {
        String address = all.text(field);
        if (!address.matches("[^:\\s]+:\\d{1,5}")
                || Integer.parseInt(address.substring(address.lastIndexOf(':') + 1)) > LAST_PORT) {
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
