package pumicemoor.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import pumicemoor.wire.InvalidInputException;
import pumicemoor.wire.JsonObject;
import pumicemoor.wire.SettingsReader;

/**
 * The platform's configuration of a router, parsed from the JSON file that RELAY_CONFIG names. It checks the format
 * only and must never supply a default for a setting of the decision module.
 */
public record NodeConfig(
        String name,
        String listen,
        String coordinator,
        long seed,
        Resources resources,
        SettingsReader settingsReader,
        long initialIndex,
        List<JsonObject> initialUpdates,
        JsonObject document) {

    private static final int MAX_PORT = 65_535;

    /** The fields that can only change with a restart; the others are used only at the start or can be reloaded. */
    private static final List<String> RESTART_FIELDS = List.of("name", "listen", "limits", "settings");

    /** The platform's resource limits and the connection settings; keepAlive is in microseconds. */
    public record Resources(int memoryMb, int sockets, long keepAlive, int multiplex) {}

    /** Parses the configuration; the exception names the invalid field. */
    public static NodeConfig parse(String json) throws InvalidInputException {
        JsonObject document = JsonObject.parse(json);
        JsonObject limits = document.objectOrEmpty("limits");
        JsonObject settings = document.object("settings");
        JsonObject policy = settings.object("policy-limits");
        JsonObject initial = document.objectOrEmpty("known");
        String coordinator = document.text("coordinator", "");
        return new NodeConfig(
                document.text("name", ""),
                address(document, "listen"),
                coordinator.isEmpty() ? coordinator : address(document, "coordinator"),
                seed(document.text("seed", "0")),
                new Resources(
                        (int) limits.integer("memory_mb", 192),
                        (int) limits.integer("sockets", 1024),
                        policy.integer("keepalive-us", 0),
                        (int) policy.integer("multiplex", 100)),
                new SettingsReader(settings),
                initial.integer("index", 0),
                new ArrayList<>(initial.objects("updates")),
                document);
    }

    /** Returns the name of the location that this router serves. */
    public String location() {
        return settingsReader.locationName();
    }

    /** Returns the first field that differs in the other configuration and can only change with a restart. */
    public Optional<String> unfollowable(NodeConfig other) {
        return RESTART_FIELDS.stream()
                .filter(f -> !Objects.equals(document.value(f), other.document.value(f)))
                .findFirst();
    }

    static String address(JsonObject document, String field) throws InvalidInputException {
        String address = document.text(field);
        if (!address.matches("[^:\\s]+:\\d{1,5}")
                || Integer.parseInt(address.substring(address.lastIndexOf(':') + 1)) > MAX_PORT) {
            throw new InvalidInputException("field '" + field + "' is not a HOST:PORT address: '" + address + "'");
        }
        return address;
    }

    private static long seed(String text) throws InvalidInputException {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new InvalidInputException("field 'seed' is not a hexadecimal number: '" + text + "'");
        }
    }
}
