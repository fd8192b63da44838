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
import pumicemoor.hierarchy.Topology;
import pumicemoor.hierarchy.Topology.Kind;
import pumicemoor.hierarchy.Topology.Unit;
import pumicemoor.hierarchy.TopologyValidator;
import pumicemoor.hierarchy.TopologyValidator.Violation;
import pumicemoor.hierarchy.MigrationTiming;
import pumicemoor.operator.OperatorConfig.LogFormat;

/**
 * Reads an operator's file whole and checks it whole: unknown keys, wrong types, values out of range and
 * contradictions, each with its line and key. It must never give back half of a file.
 */
public final class OperatorFile {

    /** The largest file that is read, in bytes. */
    static final long LONGEST = 16 << 20;

    private static final long MILLI = 1_000;
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._-]{1,64}");
    private static final Pattern ROOT = Pattern.compile("[A-Za-z0-9_-]{1,24}");
    private static final int FLAT_SIZE = 2_000; // routers that each can know of each
    private static final int CELLS_SIZE = 100_000;
    private static final int LONGEST_TIME = 24 * 3_600_000; // milliseconds
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

    // the form of the file, with its own names and units; absent keys are null
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

    private final String name;
    private final KeyLines lines;

    private OperatorFile(String name, KeyLines lines) {
        this.name = name;
        this.lines = lines;
    }

    /** Reads a file; the exception's message is the one line to show. */
    public static OperatorConfig read(Path file) throws OperatorException {
        try {
            if (Files.size(file) > LONGEST) {
                throw new OperatorException(file + ": it has over " + LONGEST + " bytes");
            }
            return parse(file.toString(), Files.readString(file));
        } catch (NoSuchFileException e) {
            throw new OperatorException(file + ": there is no such file");
        } catch (IOException e) {
            throw new OperatorException(file + ": it can't be read: " + e);
        }
    }

    /** Reads only the shape of a file: the section of a whole file, or a file that is a shape by itself. */
    public static HierarchySection readHierarchy(Path file) throws OperatorException {
        return read(file)
                .hierarchy()
                .orElseThrow(() -> new OperatorException(file + ":1: hierarchy: the file has no such section"));
    }

    static OperatorConfig parse(String name, String yaml) throws OperatorException {
        try {
            OperatorFile file = new OperatorFile(name, new KeyLines(yaml));
            Root root = yaml.isBlank() ? null : YAML.readValue(yaml, Root.class);
            return root == null ? OperatorConfig.NONE : file.config(root);
        } catch (JsonMappingException e) {
            String path = e.getPath().stream()
                    .map(JsonMappingException.Reference::getFieldName)
                    .collect(Collectors.joining("."));
            int line = e.getCause() instanceof JsonProcessingException
                    ? e.getLocation().getLineNr()
                    : new OperatorFile(name, linesOf(yaml)).lines.of(path);
            String what = e instanceof UnrecognizedPropertyException u
                    ? "unknown key; known here: "
                            + u.getKnownPropertyIds().stream()
                                    .map(Object::toString)
                                    .sorted()
                                    .collect(Collectors.joining(", "))
                    : e instanceof MismatchedInputException m && m.getTargetType() != null
                            ? "wrong type, wanted is " + typeName(m.getTargetType())
                            : e.getOriginalMessage().lines().findFirst().orElse("");
            throw new OperatorException(name + ":" + line + ": " + path + ": " + what.replace('\n', ' '));
        } catch (JsonProcessingException e) {
            throw new OperatorException(
                    name + ":" + (e.getLocation() == null ? 1 : e.getLocation().getLineNr()) + ": not YAML: "
                            + e.getOriginalMessage().lines().findFirst().orElse(""));
        } catch (IOException e) {
            throw new OperatorException(name + ":1: not YAML: " + e.getMessage());
        }
    }

    private static KeyLines linesOf(String yaml) throws OperatorException {
        try {
            return new KeyLines(yaml);
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

    private OperatorException wrong(String key, String what) {
        return new OperatorException(name + ":" + lines.of(key) + ": " + key + ": " + what);
    }

    private OperatorConfig config(Root root) throws OperatorException {
        String format = root.log() == null || root.log().format() == null
                ? "text"
                : root.log().format();
        if (!Set.of("text", "json").contains(format)) {
            throw wrong("log.format", "'" + format + "' is neither text nor json");
        }
        return new OperatorConfig(
                format.equals("json") ? LogFormat.JSON : LogFormat.TEXT,
                root.hierarchy() == null ? Optional.empty() : Optional.of(hierarchy(root.hierarchy())),
                root.processor() == null ? Optional.empty() : Optional.of(processor(root.processor())),
                root.fleet() == null ? Optional.empty() : Optional.of(fleet(root.fleet())));
    }

    private FleetSection fleet(FleetForm form) throws OperatorException {
        if (form.cluster() == null || !NAME.matcher(form.cluster()).matches()) {
            throw wrong("fleet.cluster", "it is missing, or not of 1 to 64 letters, digits, dots, dashes, underscores");
        }
        String listen = fleetAddress(form.listen(), "fleet.listen");
        String advertise = form.advertise() == null ? listen : fleetAddress(form.advertise(), "fleet.advertise");
        List<String> seeds = new ArrayList<>();
        for (String seed : form.seeds() == null ? List.<String>of() : form.seeds()) {
            seeds.add(fleetAddress(seed, "fleet.seeds"));
        }
        int largest = form.cells() == null ? FLAT_SIZE : CELLS_SIZE;
        if (form.size() == null || form.size() < 1 || form.size() > largest) {
            throw wrong(
                    "fleet.size",
                    "it is missing or out of range: 1 to " + largest + " routers"
                            + (form.cells() == null ? ", to " + CELLS_SIZE + " with fleet.cells" : ""));
        }
        if (form.cells() != null && form.drains() != null) {
            throw wrong("fleet.drains", "not together with fleet.cells: cells do not take members out in order yet");
        }
        long period = MILLI * time(form.period(), 200, 20, "fleet.period-ms");
        long lease = MILLI * time(form.lease(), 5_000, 500, "fleet.lease-ms");
        long guard = MILLI * time(form.guard(), 500, 10, "fleet.guard-ms");
        if (guard * 2 > lease) {
            throw wrong("fleet.guard-ms", "it is over half of lease-ms");
        }
        List<LimitRule> limits = new ArrayList<>();
        for (LimitForm limit : form.limits() == null ? List.<LimitForm>of() : form.limits()) {
            LimitRule rule = limit(limit, form.size());
            if (limits.stream().anyMatch(l -> l.name().equals(rule.name()))) {
                throw wrong("fleet.limits", "two limits have the name '" + rule.name() + "'");
            }
            limits.add(rule);
        }
        Optional<EjectionPolicy.Rules> verdicts = form.verdicts() == null ? Optional.empty() : Optional.of(verdicts(form));
        return new FleetSection(
                form.cluster(),
                listen,
                advertise,
                List.copyOf(seeds),
                form.size(),
                period,
                count(form.indirect(), 3, "fleet.indirect"),
                count(form.fanout(), 2, "fleet.fanout"),
                MILLI * time(form.remember(), 600_000, 1_000, "fleet.remember-ms"),
                new LeaseTimes(lease, guard),
                List.copyOf(limits),
                verdicts,
                form.drains() == null
                        ? Optional.empty()
                        : Optional.of(drains(
                                form.drains(),
                                lease + guard,
                                MILLI * time(form.remember(), 600_000, 1_000, "fleet.remember-ms"))),
                form.cells() == null ? Optional.empty() : Optional.of(cells(form.cells())));
    }

    private CellSetup cells(CellsForm form) throws OperatorException {
        if (form.root() == null || !ROOT.matcher(form.root()).matches()) {
            throw wrong("fleet.cells.root", "it is missing, or not of 1 to 24 letters, digits, dashes, underscores");
        }
        int most = form.most() == null ? 96 : form.most();
        if (most < 4 || most > 512) {
            throw wrong("fleet.cells.most", most + " is out of range: 4 to 512 routers");
        }
        int delegates = form.delegates() == null ? 2 : form.delegates();
        if (delegates < 1 || delegates > 5) {
            throw wrong("fleet.cells.delegates", delegates + " is out of range: 1 to 5 routers");
        }
        return new CellSetup(form.root(), most, delegates);
    }

    private DrainTimes drains(DrainsForm form, long touch, long remember) throws OperatorException {
        long least = MILLI * time(form.least(), 1_000, 0, "fleet.drains.least-ms");
        long drain = MILLI * time(form.drain(), 10_000, 100, "fleet.drains.drain-ms");
        long gone = MILLI * time(form.gone(), 60_000, 1_000, "fleet.drains.gone-ms");
        if (least > drain) {
            throw wrong("fleet.drains.least-ms", "it is over drain-ms");
        }
        if (gone < touch + drain) {
            throw wrong("fleet.drains.gone-ms", "it is under lease-ms, guard-ms and drain-ms together");
        }
        if (gone > remember) { // a router that was forgotten is waited for no more
            throw wrong("fleet.drains.gone-ms", "it is over remember-ms");
        }
        return new DrainTimes(
                least, drain, gone, MILLI * time(form.overdue(), 600_000, 1_000, "fleet.drains.overdue-ms"), 0, 0);
    }

    private String fleetAddress(String address, String key) throws OperatorException {
        if (address == null || !PacketCodec.possibleAddress(address)) {
            throw wrong(
                    key, address == null ? "it is missing" : "'" + address + "' is no address such as 127.0.0.1:7946");
        }
        return address;
    }

    private LimitRule limit(LimitForm form, int size) throws OperatorException {
        if (form.name() == null || !NAME.matcher(form.name()).matches() || form.members() == null) {
            throw wrong("fleet.limits", "a limit has a name and members");
        }
        int measures = (form.perSecond() == null ? 0 : 1)
                + (form.inFlight() == null ? 0 : 1)
                + (form.coldInFlight() == null ? 0 : 1)
                + (form.kbPerSecond() == null ? 0 : 1);
        if (measures != 1) {
            throw wrong(
                    "fleet.limits",
                    "limit '" + form.name() + "' needs one of per-second, in-flight, cold-in-flight, kb-per-second");
        }
        if (form.members().equals("across-zones") != (form.kbPerSecond() != null)) {
            throw wrong("fleet.limits", "limit '" + form.name() + "': across-zones and kb-per-second go together");
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
            throw wrong("fleet.limits", "limit '" + form.name() + "' is out of range: over 0, up to 1000000000");
        }
        if (measure.wholeNumbers && amount < size) {
            throw wrong(
                    "fleet.limits",
                    "limit '" + form.name() + "' of " + (int) amount + " can't be shared out in whole parts among "
                            + size + " routers");
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

    private EjectionPolicy.Rules verdicts(FleetForm fleet) throws OperatorException {
        VerdictsForm form = fleet.verdicts();
        double share = form.mostOut() == null ? 0.1 : form.mostOut();
        if (!(share >= 0 && share <= 1)) {
            throw wrong("fleet.verdicts.most-out", share + " is out of range: 0 to 1");
        }
        long hold = MILLI * time(form.hold(), 5_000, 500, "fleet.verdicts.hold-ms");
        return new EjectionPolicy.Rules(
                share,
                count(form.witnesses(), 2, "fleet.verdicts.witnesses"),
                hold,
                MILLI * time(form.guard(), 2_500, 10, "fleet.verdicts.guard-ms"));
    }

    private ProcessorSection processor(ProcessorForm form) throws OperatorException {
        String listen = form.listen() == null ? "" : form.listen();
        if (!listen.matches("[^:\\s]+:\\d{1,5}")) {
            throw wrong("processor.listen", "'" + listen + "' is no address such as 127.0.0.1:9443");
        }
        if (form.tls() == null
                && !Boolean.TRUE.equals(form.plainAnywhere())
                && !listen.matches("127\\.\\d+\\.\\d+\\.\\d+:.*|localhost:.*")) {
            throw wrong("processor.listen", "without tls only on loopback, unless plain-anywhere is true");
        }
        Optional<ProcessorSection.Tls> tls = Optional.empty();
        if (form.tls() != null) {
            if (form.tls().certificate() == null || form.tls().key() == null) {
                throw wrong("processor.tls", "certificate and key are needed");
            }
            tls = Optional.of(new ProcessorSection.Tls(
                    form.tls().certificate(), form.tls().key(), form.tls().callers()));
        }
        String noRule = form.noRule() == null ? "refuse" : form.noRule();
        if (!Set.of("pass", "refuse").contains(noRule)) {
            throw wrong("processor.no-rule", "'" + noRule + "' is neither pass nor refuse");
        }
        if (form.rules() == null || form.rules().isEmpty() || form.rules().size() > CallRules.MOST_RULES) {
            throw wrong("processor.rules", "between 1 and " + CallRules.MOST_RULES + " rules are needed");
        }
        List<ProcessorSection.RuleText> rules = new ArrayList<>();
        for (RuleForm rule : form.rules()) {
            if (rule.path() == null || rule.requestClass() == null) {
                throw wrong("processor.rules", "a rule has a path and a class");
            }
            try {
                CallRules.Rule.pattern(rule.path());
            } catch (IllegalArgumentException e) {
                throw wrong("processor.rules", "the path '" + rule.path() + "': " + e.getMessage());
            }
            rules.add(new ProcessorSection.RuleText(
                    rule.method(),
                    rule.path(),
                    rule.headers() == null ? Map.of() : Map.copyOf(rule.headers()),
                    rule.requestClass(),
                    rule.groupHeader()));
        }
        int open = count(form.openCalls(), 10_000, "processor.open-calls");
        return new ProcessorSection(
                listen,
                tls,
                MILLI * time(form.messageTimeout(), 200, 20, "processor.message-timeout-ms"),
                MILLI * time(form.retryWait(), 0, 0, "processor.retry-wait-ms"),
                count(form.headerBytes(), 16_384, "processor.header-bytes"),
                count(form.callsPerConnection(), 1_000, "processor.calls-per-connection"),
                new FairAdmission.Limits(
                        open,
                        form.openPerCaller() == null
                                ? open
                                : count(form.openPerCaller(), open, "processor.open-calls-per-caller"),
                        count(form.rate(), 5_000, "processor.calls-per-second"),
                        !Boolean.FALSE.equals(form.fair())),
                noRule.equals("pass") ? CallRules.NoRule.PASS : CallRules.NoRule.REFUSE,
                List.copyOf(rules));
    }

    private int count(Integer value, int absent, String key) throws OperatorException {
        int count = value == null ? absent : value;
        if (count < 1 || count > 1_000_000) {
            throw wrong(key, count + " is out of range: 1 to 1000000");
        }
        return count;
    }

    private HierarchySection hierarchy(HierarchyForm form) throws OperatorException {
        String news = form.news() == null ? "file" : form.news();
        if (!Set.of("file", "feed").contains(news)) {
            throw wrong("hierarchy.news", "'" + news + "' is neither file nor feed");
        }
        MigrationTiming timing = new MigrationTiming(
                MILLI * time(form.lead(), 5_000, 0, "hierarchy.lead-ms"),
                MILLI * time(form.move(), 60_000, 0, "hierarchy.move-ms"),
                MILLI * time(form.gap(), 10_000, 100, "hierarchy.gap-ms"),
                MILLI * time(form.remember(), 600_000, 0, "hierarchy.remember-ms"));
        if (form.shape() == null) {
            throw wrong("hierarchy.shape", "it is missing");
        }
        Topology shape = shape("hierarchy.shape", form.shape());
        Optional<Topology> before =
                form.before() == null ? Optional.empty() : Optional.of(shape("hierarchy.before", form.before()));
        if (before.isPresent() && before.get().version() >= shape.version()) {
            throw wrong(
                    "hierarchy.before.version",
                    "the version before is " + before.get().version() + ", and that of the shape is "
                            + shape.version());
        }
        long last = form.lastPiece() == null ? 0 : form.lastPiece();
        if (last < 0) {
            throw wrong("hierarchy.last-piece", "it is under 0");
        }
        if (last > 0 && news.equals("file")) {
            throw wrong("hierarchy.last-piece", "pieces come with news: feed only");
        }
        return new HierarchySection(
                news.equals("file") ? UpdateSource.FILE : UpdateSource.FEED,
                form.depot() == null ? "" : form.depot(),
                timing,
                shape,
                before,
                last);
    }

    private long time(Integer value, int absent, int least, String key) throws OperatorException {
        int time = value == null ? absent : value;
        if (time < least || time > LONGEST_TIME) {
            throw wrong(key, time + " is out of range: " + least + " to " + LONGEST_TIME + " milliseconds");
        }
        return time;
    }

    private Topology shape(String path, ShapeForm form) throws OperatorException {
        if (form.version() == null || form.version() < 1) {
            throw wrong(path + ".version", form.version() == null ? "it is missing" : "it is under 1");
        }
        if (form.origin() == null) {
            throw wrong(path + ".origin", "it is missing");
        }
        Map<String, Unit> units = new TreeMap<>();
        units.put(form.origin(), new Unit(form.origin(), Kind.ORIGIN, Map.of()));
        addAll(units, path + ".hubs", Kind.HUB, form.hubs());
        addAll(units, path + ".depots", Kind.DEPOT, form.depots());
        addAll(units, path + ".caches", Kind.CACHE, form.caches());
        Topology shape = new Topology(
                form.version(), announced(path, form.announced()), Boolean.TRUE.equals(form.allowSkips()), units);
        List<Violation> problems = TopologyValidator.problems(shape, Set.of());
        if (!problems.isEmpty()) {
            Violation first = problems.get(0);
            Unit unit = units.get(first.unit());
            String group = unit == null || unit.kind() == Kind.ORIGIN
                    ? ".origin"
                    : "." + unit.kind().name().toLowerCase(java.util.Locale.ROOT) + "s." + unit.name();
            throw wrong(
                    path + group,
                    first.text() + (problems.size() > 1 ? " (and " + (problems.size() - 1) + " more)" : ""));
        }
        return shape;
    }

    private void addAll(Map<String, Unit> units, String path, Kind kind, Map<String, UnitForm> forms)
            throws OperatorException {
        for (Map.Entry<String, UnitForm> e : (forms == null ? Map.<String, UnitForm>of() : forms).entrySet()) {
            Map<String, Double> parents = new LinkedHashMap<>();
            if (e.getValue() != null && e.getValue().fillFrom() != null) {
                parents.putAll(e.getValue().fillFrom());
            }
            if (parents.containsValue(null)) {
                throw wrong(path + "." + e.getKey() + ".fill-from", "a parent without a weight");
            }
            if (units.put(e.getKey(), new Unit(e.getKey(), kind, parents)) != null) {
                throw wrong(path + "." + e.getKey(), "there is another unit of that name");
            }
        }
    }

    private long announced(String path, String text) throws OperatorException {
        if (text == null) {
            return 0;
        }
        try {
            return Instant.parse(text).toEpochMilli() * MILLI;
        } catch (DateTimeException e) {
            throw wrong(path + ".announced", "'" + text + "' is no time such as 2026-12-01T16:00:00Z");
        }
    }
}
