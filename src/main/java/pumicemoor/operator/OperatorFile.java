package pumicemoor.operator;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.cfg.CoercionAction;
import com.fasterxml.jackson.databind.cfg.CoercionInputShape;
import com.fasterxml.jackson.databind.exc.MismatchedInputException;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.type.LogicalType;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import pumicemoor.RouterApi.LimitMeasure;
import pumicemoor.calls.CallRules;
import pumicemoor.calls.FairAdmission;
import pumicemoor.fleet.FleetSetup.LimitRule;
import pumicemoor.fleet.FleetSetup.Scope;
import pumicemoor.fleet.PacketCodec;
import pumicemoor.fleet.cells.CellSetup;
import pumicemoor.fleet.drains.DrainTimes;
import pumicemoor.fleet.limits.LeaseTimes;
import pumicemoor.fleet.verdicts.EjectionPolicy;
import pumicemoor.hierarchy.Hierarchy.UpdateSource;
import pumicemoor.hierarchy.MigrationTiming;
import pumicemoor.hierarchy.Topology;
import pumicemoor.hierarchy.Topology.Kind;
import pumicemoor.hierarchy.Topology.Unit;
import pumicemoor.hierarchy.TopologyValidator;
import pumicemoor.hierarchy.TopologyValidator.Violation;
import pumicemoor.operator.OperatorConfig.LogFormat;

/**
 * Reads and validates an operator's file: rejects unknown keys, wrong types, values out of range and contradictory
 * values, and reports the first error with its line and key. It must never return a file that is only partly read.
 */
public final class OperatorFile {

    static final long MAX_FILE_BYTES = 16 << 20;

    private static final long MICROS_PER_MILLI = 1_000;
    private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9._-]{1,64}");
    private static final Pattern CELL_ROOT_PATTERN = Pattern.compile("[A-Za-z0-9_-]{1,24}");
    private static final int MAX_FLAT_FLEET_ROUTERS = 2_000; // each router keeps a record of every other
    private static final int MAX_CELL_FLEET_ROUTERS = 100_000;
    private static final int MAX_TIME_MILLIS = 24 * 3_600_000;
    private static final YAMLMapper YAML = YAMLMapper.builder()
            .enable(
                    DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES,
                    DeserializationFeature.FAIL_ON_TRAILING_TOKENS,
                    DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
            .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
            .withCoercionConfig(LogicalType.Textual, c -> c.setCoercion(CoercionInputShape.Integer, CoercionAction.Fail)
                    .setCoercion(CoercionInputShape.Float, CoercionAction.Fail)
                    .setCoercion(CoercionInputShape.Boolean, CoercionAction.Fail))
            .build();

    // The structure of the file. A component without an annotation has the name of its key; times have the units of
    // the file; absent keys are null.
    private record Root(LogForm log, HierarchyForm hierarchy, ProcessorForm processor, FleetForm fleet) {}

    private record FleetForm(
            String cluster,
            String listen,
            String advertise,
            List<String> seeds,
            Integer size,
            @JsonProperty("period-ms") Integer period,
            Integer indirect,
            Integer fanout,
            @JsonProperty("remember-ms") Integer remember,
            @JsonProperty("lease-ms") Integer lease,
            @JsonProperty("guard-ms") Integer guard,
            List<LimitForm> limits,
            VerdictsForm verdicts,
            DrainsForm drains,
            CellsForm cells) {}

    private record CellsForm(String root, Integer most, Integer delegates) {}

    private record DrainsForm(
            @JsonProperty("least-ms") Integer least,
            @JsonProperty("drain-ms") Integer drain,
            @JsonProperty("gone-ms") Integer gone,
            @JsonProperty("overdue-ms") Integer overdue) {}

    private record LimitForm(
            String name,
            String members,
            @JsonProperty("per-second") Double perSecond,
            @JsonProperty("in-flight") Integer inFlight,
            @JsonProperty("cold-in-flight") Integer coldInFlight,
            @JsonProperty("kb-per-second") Double kbPerSecond) {}

    private record VerdictsForm(
            @JsonProperty("most-out") Double mostOut,
            Integer witnesses,
            @JsonProperty("hold-ms") Integer hold,
            @JsonProperty("guard-ms") Integer guard) {}

    private record ProcessorForm(
            String listen,
            @JsonProperty("plain-anywhere") Boolean plainAnywhere,
            TlsForm tls,
            @JsonProperty("message-timeout-ms") Integer messageTimeout,
            @JsonProperty("retry-wait-ms") Integer retryWait,
            @JsonProperty("header-bytes") Integer headerBytes,
            @JsonProperty("calls-per-connection") Integer callsPerConnection,
            @JsonProperty("open-calls") Integer openCalls,
            @JsonProperty("open-calls-per-caller") Integer openPerCaller,
            @JsonProperty("calls-per-second") Integer rate,
            @JsonProperty("fair-shares") Boolean fair,
            @JsonProperty("no-rule") String noRule,
            List<RuleForm> rules) {}

    private record TlsForm(String certificate, String key, String callers) {}

    private record RuleForm(
            String method,
            String path,
            Map<String, String> headers,
            @JsonProperty("class") String requestClass,
            @JsonProperty("group-header") String groupHeader) {}

    private record LogForm(String format) {}

    private record HierarchyForm(
            String news,
            String depot,
            @JsonProperty("lead-ms") Integer lead,
            @JsonProperty("move-ms") Integer move,
            @JsonProperty("gap-ms") Integer gap,
            @JsonProperty("remember-ms") Integer remember,
            @JsonProperty("last-piece") Long lastPiece,
            ShapeForm shape,
            ShapeForm before) {}

    private record ShapeForm(
            Long version,
            String announced,
            @JsonProperty("allow-skips") Boolean allowSkips,
            String origin,
            Map<String, UnitForm> hubs,
            Map<String, UnitForm> depots,
            Map<String, UnitForm> caches) {}

    private record UnitForm(@JsonProperty("fill-from") Map<String, Double> fillFrom) {}

    private final String fileName;
    private final YamlLineIndex lines;

    private OperatorFile(String fileName, YamlLineIndex lines) {
        this.fileName = fileName;
        this.lines = lines;
    }

    /** Reads a file; the exception's message is the one line to show to the operator. */
    public static OperatorConfig read(Path file) throws OperatorException {
        try {
            if (Files.size(file) > MAX_FILE_BYTES) {
                throw new OperatorException(file + ": the file has more than " + MAX_FILE_BYTES + " bytes");
            }
            return parse(file.toString(), Files.readString(file));
        } catch (NoSuchFileException e) {
            throw new OperatorException(file + ": there is no such file");
        } catch (IOException e) {
            throw new OperatorException(file + ": the file can't be read: " + e);
        }
    }

    /** Reads a file and returns its section 'hierarchy', which it must have; other sections may be absent. */
    public static HierarchySection readHierarchy(Path file) throws OperatorException {
        return read(file)
                .hierarchy()
                .orElseThrow(() -> new OperatorException(file + ":1: hierarchy: the file has no section 'hierarchy'"));
    }

    /** Parses the text of a file; the file's name is needed only for errors. */
    static OperatorConfig parse(String fileName, String yaml) throws OperatorException {
        try {
            OperatorFile file = new OperatorFile(fileName, new YamlLineIndex(yaml));
            Root root = yaml.isBlank() ? null : YAML.readValue(yaml, Root.class);
            return root == null ? OperatorConfig.NONE : file.operatorConfig(root);
        } catch (JsonMappingException e) {
            String path = e.getPath().stream()
                    .map(JsonMappingException.Reference::getFieldName)
                    .collect(Collectors.joining("."));
            int line = e.getCause() instanceof JsonProcessingException
                    ? e.getLocation().getLineNr()
                    : new OperatorFile(fileName, indexLines(yaml)).lines.lineOf(path);
            String problem = e instanceof UnrecognizedPropertyException unrecognized
                    ? "unknown key; known here: "
                            + unrecognized.getKnownPropertyIds().stream()
                                    .map(Object::toString)
                                    .sorted()
                                    .collect(Collectors.joining(", "))
                    : e instanceof MismatchedInputException mismatched && mismatched.getTargetType() != null
                            ? "wrong type, expected " + typeName(mismatched.getTargetType())
                            : e.getOriginalMessage().lines().findFirst().orElse("");
            throw new OperatorException(fileName + ":" + line + ": " + path + ": " + problem.replace('\n', ' '));
        } catch (JsonProcessingException e) {
            throw new OperatorException(fileName + ":"
                    + (e.getLocation() == null ? 1 : e.getLocation().getLineNr()) + ": not YAML: "
                    + e.getOriginalMessage().lines().findFirst().orElse(""));
        } catch (IOException e) {
            throw new OperatorException(fileName + ":1: not YAML: " + e.getMessage());
        }
    }

    private static YamlLineIndex indexLines(String yaml) throws OperatorException {
        try {
            return new YamlLineIndex(yaml);
        } catch (IOException e) {
            throw new OperatorException("not YAML: " + e.getMessage());
        }
    }

    private static String typeName(Class<?> type) {
        return type == Integer.class || type == Long.class
                ? "a whole number"
                : type == Double.class
                        ? "a number"
                        : type == Boolean.class
                                ? "true or false"
                                : type == String.class ? "text (quote it)" : "a group of keys";
    }

    private OperatorException invalid(String key, String problem) {
        return new OperatorException(fileName + ":" + lines.lineOf(key) + ": " + key + ": " + problem);
    }

    private OperatorConfig operatorConfig(Root root) throws OperatorException {
        String format = root.log() == null || root.log().format() == null
                ? "text"
                : root.log().format();
        if (!Set.of("text", "json").contains(format)) {
            throw invalid("log.format", "'" + format + "' is neither text nor json");
        }
        return new OperatorConfig(
                format.equals("json") ? LogFormat.JSON : LogFormat.TEXT,
                root.hierarchy() == null ? Optional.empty() : Optional.of(hierarchySection(root.hierarchy())),
                root.processor() == null ? Optional.empty() : Optional.of(processorSection(root.processor())),
                root.fleet() == null ? Optional.empty() : Optional.of(fleetSection(root.fleet())));
    }

    private FleetSection fleetSection(FleetForm form) throws OperatorException {
        if (form.cluster() == null || !NAME_PATTERN.matcher(form.cluster()).matches()) {
            throw invalid(
                    "fleet.cluster", "it is missing, or is not 1 to 64 letters, digits, dots, dashes, underscores");
        }
        String listen = fleetAddress(form.listen(), "fleet.listen");
        String advertise = form.advertise() == null ? listen : fleetAddress(form.advertise(), "fleet.advertise");
        List<String> seeds = new ArrayList<>();
        for (String seed : form.seeds() == null ? List.<String>of() : form.seeds()) {
            seeds.add(fleetAddress(seed, "fleet.seeds"));
        }
        int maxRouters = form.cells() == null ? MAX_FLAT_FLEET_ROUTERS : MAX_CELL_FLEET_ROUTERS;
        if (form.size() == null || form.size() < 1 || form.size() > maxRouters) {
            throw invalid(
                    "fleet.size",
                    "it is missing or out of range: 1 to " + maxRouters + " routers"
                            + (form.cells() == null ? ", to " + MAX_CELL_FLEET_ROUTERS + " with fleet.cells" : ""));
        }
        if (form.cells() != null && form.drains() != null) {
            throw invalid(
                    "fleet.drains", "cannot be combined with fleet.cells: drains are not supported with cells yet");
        }
        long periodMicros = MICROS_PER_MILLI * millisOrDefault(form.period(), 200, 20, "fleet.period-ms");
        long leaseMicros = MICROS_PER_MILLI * millisOrDefault(form.lease(), 5_000, 500, "fleet.lease-ms");
        long guardMicros = MICROS_PER_MILLI * millisOrDefault(form.guard(), 500, 10, "fleet.guard-ms");
        if (guardMicros * 2 > leaseMicros) {
            throw invalid("fleet.guard-ms", "it is over half of lease-ms");
        }
        List<LimitRule> limits = new ArrayList<>();
        for (LimitForm limit : form.limits() == null ? List.<LimitForm>of() : form.limits()) {
            LimitRule rule = limitRule(limit, form.size());
            if (limits.stream().anyMatch(other -> other.name().equals(rule.name()))) {
                throw invalid("fleet.limits", "two limits have the name '" + rule.name() + "'");
            }
            limits.add(rule);
        }
        Optional<EjectionPolicy.Rules> ejectionRules =
                form.verdicts() == null ? Optional.empty() : Optional.of(ejectionRules(form));
        return new FleetSection(
                form.cluster(),
                listen,
                advertise,
                List.copyOf(seeds),
                form.size(),
                periodMicros,
                countOrDefault(form.indirect(), 3, "fleet.indirect"),
                countOrDefault(form.fanout(), 2, "fleet.fanout"),
                MICROS_PER_MILLI * millisOrDefault(form.remember(), 600_000, 1_000, "fleet.remember-ms"),
                new LeaseTimes(leaseMicros, guardMicros),
                List.copyOf(limits),
                ejectionRules,
                form.drains() == null
                        ? Optional.empty()
                        : Optional.of(drainTimes(
                                form.drains(),
                                leaseMicros + guardMicros,
                                MICROS_PER_MILLI
                                        * millisOrDefault(form.remember(), 600_000, 1_000, "fleet.remember-ms"))),
                form.cells() == null ? Optional.empty() : Optional.of(cellSetup(form.cells())));
    }

    private CellSetup cellSetup(CellsForm form) throws OperatorException {
        if (form.root() == null || !CELL_ROOT_PATTERN.matcher(form.root()).matches()) {
            throw invalid("fleet.cells.root", "it is missing, or is not 1 to 24 letters, digits, dashes, underscores");
        }
        int maxCellRouters = form.most() == null ? 96 : form.most();
        if (maxCellRouters < 4 || maxCellRouters > 512) {
            throw invalid("fleet.cells.most", maxCellRouters + " is out of range: 4 to 512 routers");
        }
        int delegates = form.delegates() == null ? 2 : form.delegates();
        if (delegates < 1 || delegates > 5) {
            throw invalid("fleet.cells.delegates", delegates + " is out of range: 1 to 5 routers");
        }
        return new CellSetup(form.root(), maxCellRouters, delegates);
    }

    private DrainTimes drainTimes(DrainsForm form, long leaseAndGuardMicros, long rememberMicros)
            throws OperatorException {
        long minDrainMicros = MICROS_PER_MILLI * millisOrDefault(form.least(), 1_000, 0, "fleet.drains.least-ms");
        long maxDrainMicros = MICROS_PER_MILLI * millisOrDefault(form.drain(), 10_000, 100, "fleet.drains.drain-ms");
        long goneMicros = MICROS_PER_MILLI * millisOrDefault(form.gone(), 60_000, 1_000, "fleet.drains.gone-ms");
        if (minDrainMicros > maxDrainMicros) {
            throw invalid("fleet.drains.least-ms", "it is over drain-ms");
        }
        if (goneMicros < leaseAndGuardMicros + maxDrainMicros) {
            throw invalid("fleet.drains.gone-ms", "it is less than the sum of lease-ms, guard-ms and drain-ms");
        }
        if (goneMicros > rememberMicros) { // drains no longer wait for a router whose record has been dropped
            throw invalid("fleet.drains.gone-ms", "it is over remember-ms");
        }
        return new DrainTimes(
                minDrainMicros,
                maxDrainMicros,
                goneMicros,
                MICROS_PER_MILLI * millisOrDefault(form.overdue(), 600_000, 1_000, "fleet.drains.overdue-ms"),
                0,
                0);
    }

    private String fleetAddress(String address, String key) throws OperatorException {
        if (address == null || !PacketCodec.isValidAddress(address)) {
            throw invalid(
                    key,
                    address == null ? "it is missing" : "'" + address + "' is not an address such as 127.0.0.1:7946");
        }
        return address;
    }

    private LimitRule limitRule(LimitForm form, int fleetSize) throws OperatorException {
        if (form.name() == null || !NAME_PATTERN.matcher(form.name()).matches() || form.members() == null) {
            throw invalid(
                    "fleet.limits",
                    "a limit must have members and a name of 1 to 64 letters, digits, dots, dashes, underscores");
        }
        int measures = (form.perSecond() == null ? 0 : 1)
                + (form.inFlight() == null ? 0 : 1)
                + (form.coldInFlight() == null ? 0 : 1)
                + (form.kbPerSecond() == null ? 0 : 1);
        if (measures != 1) {
            throw invalid(
                    "fleet.limits",
                    "limit '" + form.name() + "' needs one of per-second, in-flight, cold-in-flight, kb-per-second");
        }
        if (form.members().equals("across-zones") != (form.kbPerSecond() != null)) {
            throw invalid("fleet.limits", "limit '" + form.name() + "': across-zones and kb-per-second go together");
        }
        LimitMeasure measure = form.kbPerSecond() != null
                ? LimitMeasure.KB_PER_SECOND
                : form.perSecond() != null
                        ? LimitMeasure.PER_SECOND
                        : form.inFlight() != null ? LimitMeasure.IN_FLIGHT : LimitMeasure.COLD_IN_FLIGHT;
        double amount = form.kbPerSecond() != null
                ? form.kbPerSecond()
                : form.perSecond() != null
                        ? form.perSecond()
                        : form.inFlight() != null ? form.inFlight() : form.coldInFlight();
        if (!(amount > 0 && amount <= 1e9)) {
            throw invalid("fleet.limits", "limit '" + form.name() + "' is out of range: over 0, up to 1000000000");
        }
        if (measure.wholeNumbers && amount < fleetSize) {
            throw invalid(
                    "fleet.limits",
                    "limit '" + form.name() + "' of " + (int) amount + " can't be divided into whole parts among "
                            + fleetSize + " routers");
        }
        Scope scope =
                switch (form.members()) {
                    case "each-cache" -> Scope.EACH_CACHE;
                    case "each-parent" -> Scope.EACH_PARENT;
                    case "origin" -> Scope.ORIGIN;
                    case "across-zones" -> Scope.ACROSS_ZONES;
                    default -> Scope.MEMBER;
                };
        return new LimitRule(form.name(), scope, form.members(), measure, amount);
    }

    private EjectionPolicy.Rules ejectionRules(FleetForm fleet) throws OperatorException {
        VerdictsForm form = fleet.verdicts();
        double maxEjectedShare = form.mostOut() == null ? 0.1 : form.mostOut();
        if (!(maxEjectedShare >= 0 && maxEjectedShare <= 1)) {
            throw invalid("fleet.verdicts.most-out", maxEjectedShare + " is out of range: 0 to 1");
        }
        long holdMicros = MICROS_PER_MILLI * millisOrDefault(form.hold(), 5_000, 500, "fleet.verdicts.hold-ms");
        return new EjectionPolicy.Rules(
                maxEjectedShare,
                countOrDefault(form.witnesses(), 2, "fleet.verdicts.witnesses"),
                holdMicros,
                MICROS_PER_MILLI * millisOrDefault(form.guard(), 2_500, 10, "fleet.verdicts.guard-ms"));
    }

    private ProcessorSection processorSection(ProcessorForm form) throws OperatorException {
        String listen = form.listen() == null ? "" : form.listen();
        if (!listen.matches("[^:\\s]+:\\d{1,5}")) {
            throw invalid("processor.listen", "'" + listen + "' is not an address such as 127.0.0.1:9443");
        }
        if (form.tls() == null
                && !Boolean.TRUE.equals(form.plainAnywhere())
                && !listen.matches("127\\.\\d+\\.\\d+\\.\\d+:.*|localhost:.*")) {
            throw invalid(
                    "processor.listen", "without tls the address must be on loopback, unless plain-anywhere is true");
        }
        Optional<ProcessorSection.Tls> tls = Optional.empty();
        if (form.tls() != null) {
            if (form.tls().certificate() == null || form.tls().key() == null) {
                throw invalid("processor.tls", "certificate and key are both required");
            }
            tls = Optional.of(new ProcessorSection.Tls(
                    form.tls().certificate(), form.tls().key(), form.tls().callers()));
        }
        String noRule = form.noRule() == null ? "refuse" : form.noRule();
        if (!Set.of("pass", "refuse").contains(noRule)) {
            throw invalid("processor.no-rule", "'" + noRule + "' is neither pass nor refuse");
        }
        if (form.rules() == null || form.rules().isEmpty() || form.rules().size() > CallRules.MAX_RULES) {
            throw invalid("processor.rules", "between 1 and " + CallRules.MAX_RULES + " rules are required");
        }
        List<ProcessorSection.RuleSpec> rules = new ArrayList<>();
        for (RuleForm rule : form.rules()) {
            if (rule.path() == null || rule.requestClass() == null) {
                throw invalid("processor.rules", "a rule must have a path and a class");
            }
            try {
                CallRules.Rule.pattern(rule.path());
            } catch (IllegalArgumentException e) {
                throw invalid("processor.rules", "the path '" + rule.path() + "' is invalid: " + e.getMessage());
            }
            rules.add(new ProcessorSection.RuleSpec(
                    rule.method(),
                    rule.path(),
                    rule.headers() == null ? Map.of() : Map.copyOf(rule.headers()),
                    rule.requestClass(),
                    rule.groupHeader()));
        }
        int maxOpenCalls = countOrDefault(form.openCalls(), 10_000, "processor.open-calls");
        return new ProcessorSection(
                listen,
                tls,
                MICROS_PER_MILLI * millisOrDefault(form.messageTimeout(), 200, 20, "processor.message-timeout-ms"),
                MICROS_PER_MILLI * millisOrDefault(form.retryWait(), 0, 0, "processor.retry-wait-ms"),
                countOrDefault(form.headerBytes(), 16_384, "processor.header-bytes"),
                countOrDefault(form.callsPerConnection(), 1_000, "processor.calls-per-connection"),
                new FairAdmission.Limits(
                        maxOpenCalls,
                        form.openPerCaller() == null
                                ? maxOpenCalls
                                : countOrDefault(form.openPerCaller(), maxOpenCalls, "processor.open-calls-per-caller"),
                        countOrDefault(form.rate(), 5_000, "processor.calls-per-second"),
                        !Boolean.FALSE.equals(form.fair())),
                noRule.equals("pass") ? CallRules.NoRule.PASS : CallRules.NoRule.REFUSE,
                List.copyOf(rules));
    }

    /** Returns a number from 1 to 1,000,000, or the default if the key is absent. */
    private int countOrDefault(Integer value, int defaultCount, String key) throws OperatorException {
        int count = value == null ? defaultCount : value;
        if (count < 1 || count > 1_000_000) {
            throw invalid(key, count + " is out of range: 1 to 1000000");
        }
        return count;
    }

    private HierarchySection hierarchySection(HierarchyForm form) throws OperatorException {
        String news = form.news() == null ? "file" : form.news();
        if (!Set.of("file", "feed").contains(news)) {
            throw invalid("hierarchy.news", "'" + news + "' is neither file nor feed");
        }
        MigrationTiming timing = new MigrationTiming(
                MICROS_PER_MILLI * millisOrDefault(form.lead(), 5_000, 0, "hierarchy.lead-ms"),
                MICROS_PER_MILLI * millisOrDefault(form.move(), 60_000, 0, "hierarchy.move-ms"),
                MICROS_PER_MILLI * millisOrDefault(form.gap(), 10_000, 100, "hierarchy.gap-ms"),
                MICROS_PER_MILLI * millisOrDefault(form.remember(), 600_000, 0, "hierarchy.remember-ms"));
        if (form.shape() == null) {
            throw invalid("hierarchy.shape", "it is missing");
        }
        Topology topology = topology("hierarchy.shape", form.shape());
        Optional<Topology> previous =
                form.before() == null ? Optional.empty() : Optional.of(topology("hierarchy.before", form.before()));
        if (previous.isPresent() && previous.get().version() >= topology.version()) {
            throw invalid(
                    "hierarchy.before.version",
                    "version " + previous.get().version() + " is not below hierarchy.shape.version, "
                            + topology.version());
        }
        long lastUpdate = form.lastPiece() == null ? 0 : form.lastPiece();
        if (lastUpdate < 0) {
            throw invalid("hierarchy.last-piece", "it is negative");
        }
        if (lastUpdate > 0 && news.equals("file")) {
            throw invalid("hierarchy.last-piece", "it is allowed with news: feed only");
        }
        return new HierarchySection(
                news.equals("file") ? UpdateSource.FILE : UpdateSource.FEED,
                form.depot() == null ? "" : form.depot(),
                timing,
                topology,
                previous,
                lastUpdate);
    }

    /** Returns a time in milliseconds, or the default if the key is absent. */
    private long millisOrDefault(Integer value, int defaultMillis, int minMillis, String key) throws OperatorException {
        int millis = value == null ? defaultMillis : value;
        if (millis < minMillis || millis > MAX_TIME_MILLIS) {
            throw invalid(key, millis + " is out of range: " + minMillis + " to " + MAX_TIME_MILLIS + " milliseconds");
        }
        return millis;
    }

    private Topology topology(String path, ShapeForm form) throws OperatorException {
        if (form.version() == null || form.version() < 1) {
            throw invalid(path + ".version", form.version() == null ? "it is missing" : "it is under 1");
        }
        if (form.origin() == null) {
            throw invalid(path + ".origin", "it is missing");
        }
        Map<String, Unit> units = new TreeMap<>();
        units.put(form.origin(), new Unit(form.origin(), Kind.ORIGIN, Map.of()));
        addUnits(units, path + ".hubs", Kind.HUB, form.hubs());
        addUnits(units, path + ".depots", Kind.DEPOT, form.depots());
        addUnits(units, path + ".caches", Kind.CACHE, form.caches());
        Topology topology = new Topology(
                form.version(), announcedMicros(path, form.announced()), Boolean.TRUE.equals(form.allowSkips()), units);
        List<Violation> violations = TopologyValidator.findViolations(topology, Set.of());
        if (!violations.isEmpty()) {
            Violation first = violations.get(0);
            Unit unit = units.get(first.unit());
            String key = unit == null || unit.kind() == Kind.ORIGIN
                    ? ".origin"
                    : "." + unit.kind().name().toLowerCase(java.util.Locale.ROOT) + "s." + unit.name();
            throw invalid(
                    path + key,
                    first.text() + (violations.size() > 1 ? " (and " + (violations.size() - 1) + " more)" : ""));
        }
        return topology;
    }

    private void addUnits(Map<String, Unit> units, String path, Kind kind, Map<String, UnitForm> forms)
            throws OperatorException {
        for (Map.Entry<String, UnitForm> entry : (forms == null ? Map.<String, UnitForm>of() : forms).entrySet()) {
            Map<String, Double> parents = new LinkedHashMap<>();
            if (entry.getValue() != null && entry.getValue().fillFrom() != null) {
                parents.putAll(entry.getValue().fillFrom());
            }
            if (parents.containsValue(null)) {
                throw invalid(path + "." + entry.getKey() + ".fill-from", "a parent without a weight");
            }
            if (units.put(entry.getKey(), new Unit(entry.getKey(), kind, parents)) != null) {
                throw invalid(path + "." + entry.getKey(), "another unit has the same name");
            }
        }
    }

    /** Returns the time of an announcement in Unix microseconds; 0 if it is absent. */
    private long announcedMicros(String path, String text) throws OperatorException {
        if (text == null) {
            return 0;
        }
        try {
            return Instant.parse(text).toEpochMilli() * MICROS_PER_MILLI;
        } catch (DateTimeException e) {
            throw invalid(path + ".announced", "'" + text + "' is not a time such as 2026-12-01T16:00:00Z");
        }
    }
}
