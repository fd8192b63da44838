package pumicemoor.lab;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * A scenario to play, as read from a YAML file. Times are in seconds from the end of the clients' warm-up or, with
 * proxies, from their first call; rates are per second. A missing key takes the default that docs/lab.md gives.
 */
record Scenario(
        String name,
        long seed,
        double seconds,
        double rate,
        int objects,
        int routers,
        int caches,
        @JsonProperty("cache-holds") int cacheHolds,
        @JsonProperty("fill-ms") int fillMillis,
        @JsonProperty("deadline-ms") int deadlineMillis,
        Change change,
        Map<String, Map<String, Double>> hubs,
        Map<String, Double> depot,
        List<ScheduledEvent> happenings,
        Proxies proxies,
        Integer cpu) {

    /** How topology changes reach the routers. */
    enum ChangeDelivery {
        @JsonProperty("feed")
        FEED,
        @JsonProperty("file")
        FILE,
        @JsonProperty("restart")
        RESTART
    }

    /**
     * How topology changes are delivered, and their times in milliseconds. The jitter bounds the random delay of each
     * coordinator event to each router.
     */
    record Change(
            ChangeDelivery by,
            @JsonProperty("lead-ms") int leadMillis,
            @JsonProperty("move-ms") int moveMillis,
            @JsonProperty("gap-ms") int gapMillis,
            @JsonProperty("cold-ms") int slowStartMillis,
            @JsonProperty("jitter-ms") int jitterMillis) {}

    /**
     * Proxies that call the program in place of clients: their number, the share of requests with a side effect, their
     * message timeout, the response time of a cache, and the seconds at which the program is killed, terminated, or
     * reloads its file.
     */
    record Proxies(
            int count,
            @JsonProperty("effect-share") double effectShare,
            @JsonProperty("message-timeout-ms") int messageTimeoutMillis,
            @JsonProperty("cache-ms") int cacheMillis,
            @JsonProperty("kill-at") List<Double> killAt,
            @JsonProperty("end-at") List<Double> endAt,
            @JsonProperty("reload-at") List<Double> reloadAt) {
        Proxies {
            count = Math.max(1, count);
            messageTimeoutMillis = messageTimeoutMillis <= 0 ? 200 : messageTimeoutMillis;
            killAt = killAt == null ? List.of() : killAt;
            endAt = endAt == null ? List.of() : endAt;
            reloadAt = reloadAt == null ? List.of() : reloadAt;
        }
    }

    /**
     * One scheduled event: a new topology, a member that restarts with an empty store, a drain, a purge, a temporary
     * fault of a member, or a router that is killed and restarted.
     */
    record ScheduledEvent(
            double at,
            Map<String, Map<String, Double>> hubs,
            Map<String, Double> depot,
            String restart,
            String drain,
            String purge,
            Fault fault,
            @JsonProperty("kill-router") Integer killRouter) {}

    /**
     * A fault of a member: silent, slow (by the given milliseconds), refusing, or breaking (closes its connections).
     */
    record Fault(String member, String kind, double seconds, int millis) {}

    Scenario {
        name = name == null ? "scenario" : name;
        seconds = seconds <= 0 ? 20 : seconds;
        rate = rate <= 0 ? 200 : rate;
        objects = objects <= 0 ? 200 : objects;
        routers = routers <= 0 ? 1 : routers;
        caches = caches <= 0 ? 2 : caches;
        cacheHolds = cacheHolds <= 0 ? 50 : cacheHolds;
        fillMillis = fillMillis <= 0 ? 10 : fillMillis;
        deadlineMillis = deadlineMillis <= 0 ? 2_000 : deadlineMillis;
        change = change == null ? new Change(ChangeDelivery.FEED, 500, 1_500, 500, 1_500, 0) : change;
        hubs = hubs == null ? Map.of() : hubs;
        depot = depot == null ? Map.of() : depot;
        happenings = happenings == null ? List.of() : happenings;
    }

    /** Returns a copy whose topology changes are delivered in another way: feed, file or restart. */
    Scenario withChangesBy(String by) throws IOException {
        try {
            Change newChange = new Change(
                    ChangeDelivery.valueOf(by.toUpperCase(Locale.ROOT)),
                    change.leadMillis(),
                    change.moveMillis(),
                    change.gapMillis(),
                    change.slowStartMillis(),
                    change.jitterMillis());
            return new Scenario(
                    name + ", by " + by,
                    seed,
                    seconds,
                    rate,
                    objects,
                    routers,
                    caches,
                    cacheHolds,
                    fillMillis,
                    deadlineMillis,
                    newChange,
                    hubs,
                    depot,
                    happenings,
                    proxies,
                    cpu);
        } catch (IllegalArgumentException e) {
            throw new IOException("'" + by + "' is not one of feed, file and restart", e);
        }
    }

    static Scenario read(Path file) throws IOException {
        YAMLMapper yaml = YAMLMapper.builder()
                .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
                .build();
        try {
            return yaml.readValue(Files.readString(file), Scenario.class);
        } catch (JsonProcessingException e) {
            throw new IOException(
                    file + ":" + (e.getLocation() == null ? 1 : e.getLocation().getLineNr()) + ": "
                            + e.getOriginalMessage().lines().findFirst().orElse(""),
                    e);
        }
    }
}
