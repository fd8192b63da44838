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
 * What is to be measured, as a YAML file tells it; docs/lab.md, "Scale", names the keys and their units. It owns the
 * defaults and the bounds of every key: a value outside them is refused in one line that names the key, and none is
 * put right silently. Sites, zones and regions are those of the largest size; smaller sizes have fewer, in proportion.
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
        /** Routers of a fleet when nothing happens, after a common start, and under the faults that are set. */
        @JsonProperty("fleet")
        FLEET,
        /** A report's cost at the holder and at the grantor, by the number of limits. */
        @JsonProperty("holder")
        HOLDER,
        /** The keeper while every router accuses one member. */
        @JsonProperty("keeper")
        KEEPER,
        /** The fleet with drains, at the sizes of 'drains'. */
        @JsonProperty("drains")
        DRAINS,
        /** A router as reader of the coordinator's stream, and the stream's sender. */
        @JsonProperty("reader")
        READER
    }

    /** A fleet of cells: routers in a cell at most, and delegates of each; absent: one flat fleet. */
    public record Cells(Integer most, Integer delegates) {}

    /**
     * What is made to fail, in virtual seconds; 0 leaves it out. The zone is lost and its routers come back, as fresh
     * processes, after so long; the two largest regions hear nothing of each other for so long; a share of all routers
     * is started anew at once.
     */
    public record Faults(
            @JsonProperty("zone-seconds") Double zoneSeconds,
            @JsonProperty("cut-seconds") Double cutSeconds,
            @JsonProperty("restart-share") Double restartShare) {}

    static final int MOST_ROUTERS = 100_000;

    /** Puts in what is absent. */
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
        Faults f = faults == null ? new Faults(null, null, null) : faults;
        faults = new Faults(
                f.zoneSeconds() == null ? 0.0 : f.zoneSeconds(),
                f.cutSeconds() == null ? 0.0 : f.cutSeconds(),
                f.restartShare() == null ? 0.0 : f.restartShare());
        roles = roles == null ? List.of(Role.FLEET) : copy(roles);
        minutes = minutes == null ? 60.0 : minutes;
        threads = threads == null ? 1 : threads;
        target = target == null ? 18_000 : target;
    }

    /** As it stands, absent values too: those are refused later, by a line that names the key. */
    private static <T> List<T> copy(List<T> list) {
        return Collections.unmodifiableList(new ArrayList<>(list));
    }

    /** Reads and checks a file; what is wrong is told in one line that names the file and the key. */
    public static ScaleConfig read(Path file) throws IOException {
        return parse(Files.readString(file), file.toString());
    }

    /** Reads and checks a text; where is what the line of an error begins with. */
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
                throw new IOException(where + ": it is empty");
            }
            config.check(where);
            return config;
        } catch (UnrecognizedPropertyException e) {
            throw new IOException(where + ": " + key(e) + ": there is no such key", e);
        } catch (JsonMappingException e) {
            throw new IOException(
                    where + ": " + key(e) + ": "
                            + (e.getMessage().startsWith("Cannot deserialize")
                                    ? "it is not of the kind that docs/lab.md says"
                                    : e.getOriginalMessage().lines().findFirst().orElse("")),
                    e);
        } catch (JsonProcessingException e) {
            throw new IOException(
                    where + ":" + (e.getLocation() == null ? 1 : e.getLocation().getLineNr()) + ": "
                            + e.getOriginalMessage().lines().findFirst().orElse(""),
                    e);
        }
    }

    private static String key(JsonMappingException e) {
        return e.getPath().isEmpty()
                ? "the file"
                : e.getPath().stream()
                        .map(r -> r.getFieldName() == null ? "[" + r.getIndex() + "]" : "." + r.getFieldName())
                        .collect(Collectors.joining())
                        .substring(1);
    }

    private void check(String where) throws IOException {
        Bounds b = new Bounds(where);
        b.range("routers", routers, 2, MOST_ROUTERS);
        b.range("sites", List.of(sites), 1, MOST_ROUTERS);
        b.range("zones", List.of(zones), 1, sites);
        b.range("regions", List.of(regions), 1, zones);
        b.range("members", members, 1, 100_000);
        b.range("purges", purges, 0, 10_000);
        b.range("configurations", configurations, 0, 1_000);
        b.range("caches", List.of(caches), 1, 10_000);
        b.range("churn", List.of(churn), 0, 1_000);
        b.range("loss", List.of(loss), 0, 0.9);
        b.range("far-ms", farMillis, 1, 1_000);
        if (farMillis.size() != 2 || farMillis.get(0) > farMillis.get(1)) {
            throw new IOException(where + ": far-ms: it is not the least and the most");
        }
        b.range("seconds", List.of(seconds), 1, 3_600);
        b.range("settle", List.of(settle), 0, 3_600);
        b.range("period-ms", List.of(periodMillis), 20, 10_000);
        b.range("lease-ms", List.of(leaseMillis), 500, 600_000);
        b.range("guard-ms", List.of(guardMillis), 10, leaseMillis / 2);
        b.range("limits", limits, 1, 400);
        if (!drains.isEmpty()) {
            b.range("drains", drains, 2, 2_000);
        }
        if (cells != null) {
            b.range("cells.most", List.of(cells.most()), 4, 512);
            b.range("cells.delegates", List.of(cells.delegates()), 1, 5);
        }
        b.range("faults.zone-seconds", List.of(faults.zoneSeconds()), 0, 3_600);
        b.range("faults.cut-seconds", List.of(faults.cutSeconds()), 0, 3_600);
        b.range("faults.restart-share", List.of(faults.restartShare()), 0, 1);
        b.range("minutes", List.of(minutes), 0.01, 600);
        b.range("threads", List.of(threads), 1, 64);
        b.range("target", List.of(target), 2, 10_000_000);
        if (roles.isEmpty() || roles.stream().anyMatch(Objects::isNull)) {
            throw new IOException(where + ": roles: it names none");
        }
        if (roles.contains(Role.DRAINS) && (cells != null || drains.isEmpty())) {
            throw new IOException(
                    where + ": drains: " + (cells != null ? "cells do not carry drains" : "it names no size"));
        }
    }

    private record Bounds(String where) {
        void range(String key, List<? extends Number> values, double least, double most) throws IOException {
            if (values.isEmpty()) {
                throw new IOException(where + ": " + key + ": it names none");
            }
            for (Number v : values) {
                if (v == null || !(v.doubleValue() >= least && v.doubleValue() <= most)) {
                    throw new IOException(
                            where + ": " + key + ": " + v + " is not from " + plain(least) + " to " + plain(most));
                }
            }
        }

        private static String plain(double d) {
            return d == Math.rint(d) ? Long.toString((long) d) : Double.toString(d);
        }
    }
}
