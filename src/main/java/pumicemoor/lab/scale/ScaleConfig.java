package pumicemoor.lab.scale;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.cfg.CoercionAction;
import com.fasterxml.jackson.databind.cfg.CoercionInputShape;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.type.LogicalType;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.stream.Collectors;

/**
 * The measurements to run, as read from a YAML file; docs/lab.md, "Scale", lists the keys and their units. It owns
 * the defaults and the bounds of every key: a value outside its bounds is refused with a one-line message that names
 * the key, and no value is corrected silently. The numbers of sites, zones and regions are those of the largest size;
 * smaller sizes have proportionally fewer.
 */
public record ScaleConfig(
        String name,
        Long seed,
        List<Integer> routers,
        Integer sites,
        Integer zones,
        Integer regions,
        List<Integer> members,
        List<Double> purges,
        List<Double> configurations,
        Integer caches,
        Double churn,
        Double loss,
        @JsonProperty("far-ms") List<Integer> farMillis,
        Double seconds,
        Double settle,
        @JsonProperty("period-ms") Integer periodMillis,
        @JsonProperty("lease-ms") Integer leaseMillis,
        @JsonProperty("guard-ms") Integer guardMillis,
        List<Integer> limits,
        Boolean verdicts,
        List<Integer> drains,
        Cells cells,
        Faults faults,
        List<Role> roles,
        Double minutes,
        Integer threads,
        Integer target) {

    /** The groups of roles that can be measured. */
    public enum Role {
        /** Routers of a fleet after a simultaneous start, in a calm period, and under the configured faults. */
        @JsonProperty("fleet")
        FLEET,
        /** The cost of limit shares to the routers that hold them and to the grantor, by the number of limits. */
        @JsonProperty("holder")
        HOLDER,
        /** The leader that decides on ejections, while every router reports the same member as failing. */
        @JsonProperty("keeper")
        KEEPER,
        /** A fleet that coordinates drains, at the sizes of the key 'drains'. */
        @JsonProperty("drains")
        DRAINS,
        /** A router as a reader of the coordinator stream, and the sender of that stream. */
        @JsonProperty("reader")
        READER
    }

    /** A fleet of cells: the maximum number of routers in a cell and its delegates. Absent for one flat fleet. */
    public record Cells(Integer most, Integer delegates) {}

    /**
     * The faults to inject; 0 leaves a fault out. The largest zone is lost and its routers come back as new processes
     * after {@code zoneSeconds}; the two largest regions are partitioned from each other for {@code cutSeconds}; a
     * share of all routers, {@code restartShare}, restarts at once. Times are virtual.
     */
    public record Faults(
            @JsonProperty("zone-seconds") Double zoneSeconds,
            @JsonProperty("cut-seconds") Double cutSeconds,
            @JsonProperty("restart-share") Double restartShare) {}

    static final int MAX_ROUTERS = 100_000;

    /** Sets the default of each absent key. */
    public ScaleConfig {
        name = name == null ? "scale" : name;
        seed = seed == null ? 1L : seed;
        routers = routers == null ? List.of(30, 100, 300) : copy(routers);
        int largest = routers.stream()
                .filter(Objects::nonNull)
                .mapToInt(Integer::intValue)
                .max()
                .orElse(1);
        sites = sites == null ? Math.max(1, largest / 12) : sites;
        zones = zones == null ? Math.max(1, largest / 140) : zones;
        regions = regions == null ? Math.max(1, largest / 346) : regions;
        members = members == null ? List.of(100, 300, 1_000, 3_000, 8_700) : copy(members);
        purges = purges == null ? List.of(0.0, 10.0, 50.0, 100.0, 210.0) : copy(purges);
        configurations = configurations == null ? List.of(0.42) : copy(configurations);
        caches = caches == null ? 20 : caches;
        churn = churn == null ? 0.0 : churn;
        loss = loss == null ? 0.001 : loss;
        farMillis = farMillis == null ? List.of(20, 75) : copy(farMillis);
        seconds = seconds == null ? 20.0 : seconds;
        settle = settle == null ? 40.0 : settle;
        periodMillis = periodMillis == null ? 200 : periodMillis;
        leaseMillis = leaseMillis == null ? 5_000 : leaseMillis;
        guardMillis = guardMillis == null ? 500 : guardMillis;
        limits = limits == null ? List.of(1, 10, 100, 400) : copy(limits);
        verdicts = verdicts == null || verdicts;
        drains = drains == null ? List.of() : copy(drains);
        if (cells != null) {
            cells = new Cells(
                    cells.most() == null ? 96 : cells.most(), cells.delegates() == null ? 2 : cells.delegates());
        }
        Faults given = faults == null ? new Faults(null, null, null) : faults;
        faults = new Faults(
                given.zoneSeconds() == null ? 0.0 : given.zoneSeconds(),
                given.cutSeconds() == null ? 0.0 : given.cutSeconds(),
                given.restartShare() == null ? 0.0 : given.restartShare());
        roles = roles == null ? List.of(Role.FLEET) : copy(roles);
        minutes = minutes == null ? 60.0 : minutes;
        threads = threads == null ? 1 : threads;
        target = target == null ? 18_000 : target;
    }

    /** Copies a list that may contain nulls, which {@code check} refuses later with a message that names the key. */
    private static <T> List<T> copy(List<T> list) {
        return Collections.unmodifiableList(new ArrayList<>(list));
    }

    /** Reads and checks a file. The message of the exception is one line that names the file and the key. */
    public static ScaleConfig read(Path file) throws IOException {
        return parse(Files.readString(file), file.toString());
    }

    /** Reads and checks a YAML text; messages of exceptions begin with {@code where}. */
    static ScaleConfig parse(String text, String where) throws IOException {
        YAMLMapper yaml = YAMLMapper.builder()
                .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
                .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
                .withCoercionConfig(
                        LogicalType.Integer, c -> c.setCoercion(CoercionInputShape.EmptyString, CoercionAction.Fail))
                .build();
        try {
            ScaleConfig config = yaml.readValue(text, ScaleConfig.class);
            if (config == null) {
                throw new IOException(where + ": the file is empty");
            }
            config.check(where);
            return config;
        } catch (UnrecognizedPropertyException e) {
            throw new IOException(where + ": " + keyPath(e) + ": unknown key", e);
        } catch (JsonMappingException e) {
            throw new IOException(
                    where + ": " + keyPath(e) + ": "
                            + (e.getMessage().startsWith("Cannot deserialize")
                                    ? "has a value of the wrong type; docs/lab.md lists the types"
                                    : e.getOriginalMessage().lines().findFirst().orElse("")),
                    e);
        } catch (JsonProcessingException e) {
            throw new IOException(
                    where + ":" + (e.getLocation() == null ? 1 : e.getLocation().getLineNr()) + ": "
                            + e.getOriginalMessage().lines().findFirst().orElse(""),
                    e);
        }
    }

    private static String keyPath(JsonMappingException e) {
        return e.getPath().isEmpty()
                ? "the file"
                : e.getPath().stream()
                        .map(r -> r.getFieldName() == null ? "[" + r.getIndex() + "]" : "." + r.getFieldName())
                        .collect(Collectors.joining())
                        .substring(1);
    }

    private void check(String where) throws IOException {
        Bounds bounds = new Bounds(where);
        bounds.requireRange("routers", routers, 2, MAX_ROUTERS);
        bounds.requireRange("sites", List.of(sites), 1, MAX_ROUTERS);
        bounds.requireRange("zones", List.of(zones), 1, sites);
        bounds.requireRange("regions", List.of(regions), 1, zones);
        bounds.requireRange("members", members, 1, 100_000);
        bounds.requireRange("purges", purges, 0, 10_000);
        bounds.requireRange("configurations", configurations, 0, 1_000);
        bounds.requireRange("caches", List.of(caches), 1, 10_000);
        bounds.requireRange("churn", List.of(churn), 0, 1_000);
        bounds.requireRange("loss", List.of(loss), 0, 0.9);
        bounds.requireRange("far-ms", farMillis, 1, 1_000);
        if (farMillis.size() != 2 || farMillis.get(0) > farMillis.get(1)) {
            throw new IOException(where + ": far-ms: must be two values, the minimum and then the maximum");
        }
        bounds.requireRange("seconds", List.of(seconds), 1, 3_600);
        bounds.requireRange("settle", List.of(settle), 0, 3_600);
        bounds.requireRange("period-ms", List.of(periodMillis), 20, 10_000);
        bounds.requireRange("lease-ms", List.of(leaseMillis), 500, 600_000);
        bounds.requireRange("guard-ms", List.of(guardMillis), 10, leaseMillis / 2);
        bounds.requireRange("limits", limits, 1, 400);
        if (!drains.isEmpty()) {
            bounds.requireRange("drains", drains, 2, 2_000);
        }
        if (cells != null) {
            bounds.requireRange("cells.most", List.of(cells.most()), 4, 512);
            bounds.requireRange("cells.delegates", List.of(cells.delegates()), 1, 5);
        }
        bounds.requireRange("faults.zone-seconds", List.of(faults.zoneSeconds()), 0, 3_600);
        bounds.requireRange("faults.cut-seconds", List.of(faults.cutSeconds()), 0, 3_600);
        bounds.requireRange("faults.restart-share", List.of(faults.restartShare()), 0, 1);
        bounds.requireRange("minutes", List.of(minutes), 0.01, 600);
        bounds.requireRange("threads", List.of(threads), 1, 64);
        bounds.requireRange("target", List.of(target), 2, 10_000_000);
        if (roles.isEmpty() || roles.stream().anyMatch(Objects::isNull)) {
            throw new IOException(where + ": roles: must list at least one role and no null");
        }
        if (roles.contains(Role.DRAINS) && (cells != null || drains.isEmpty())) {
            throw new IOException(where + ": drains: "
                    + (cells != null ? "drains are not supported in a fleet of cells" : "must list at least one size"));
        }
    }

    private record Bounds(String where) {
        void requireRange(String key, List<? extends Number> values, double min, double max) throws IOException {
            if (values.isEmpty()) {
                throw new IOException(where + ": " + key + ": must list at least one value");
            }
            for (Number value : values) {
                if (value == null || !(value.doubleValue() >= min && value.doubleValue() <= max)) {
                    throw new IOException(where + ": " + key + ": " + value + " is not from " + formatNumber(min)
                            + " to " + formatNumber(max));
                }
            }
        }

        private static String formatNumber(double value) {
            return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
        }
    }
}
