package pumicemoor.wire;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import pumicemoor.RouterApi.Costs;
import pumicemoor.RouterApi.DeduplicationScope;
import pumicemoor.RouterApi.FillReporting;
import pumicemoor.RouterApi.Fills;
import pumicemoor.RouterApi.Idempotency;
import pumicemoor.RouterApi.Limits;
import pumicemoor.RouterApi.LoadReportSource;
import pumicemoor.RouterApi.LoadReports;
import pumicemoor.RouterApi.Member;
import pumicemoor.RouterApi.Outcome;
import pumicemoor.RouterApi.RequestClass;
import pumicemoor.RouterApi.Role;
import pumicemoor.RouterApi.Rules;
import pumicemoor.RouterApi.Settings;
import pumicemoor.RouterApi.SiblingScope;
import pumicemoor.RouterApi.SlowStart;
import pumicemoor.RouterApi.State;
import pumicemoor.RouterApi.WeightMeaning;

/**
 * Reads the settings of one router instance, and resolves the names that they define (zones, kinds of machines,
 * request classes) in requests and in entries of the member list.
 */
public final class SettingsReader {

    private static final Map<String, Idempotency> IDEMPOTENCIES =
            Map.of("pure", Idempotency.SAFE, "token", Idempotency.KEYED, "side_effect", Idempotency.UNSAFE);
    private static final Map<String, DeduplicationScope> DEDUPLICATION_SCOPES =
            Map.of("all", DeduplicationScope.ALL, "zone", DeduplicationScope.ZONE, "cell", DeduplicationScope.CELL);
    private static final Map<String, SiblingScope> SIBLING_SCOPES =
            Map.of("none", SiblingScope.NONE, "location", SiblingScope.LOCATION, "any", SiblingScope.ANY);
    private static final Map<String, FillReporting> FILL_REPORTINGS =
            Map.of("none", FillReporting.NONE, "hit", FillReporting.HIT_ONLY, "all", FillReporting.ALL);
    private static final Map<String, LoadReportSource> LOAD_REPORT_SOURCES =
            Map.of("none", LoadReportSource.NONE, "probe", LoadReportSource.PROBE, "answers", LoadReportSource.ANSWER);
    private static final Map<String, WeightMeaning> WEIGHT_MEANINGS = Map.of(
            "none",
            WeightMeaning.NONE,
            "nominal",
            WeightMeaning.NOMINAL,
            "rough",
            WeightMeaning.ROUGH,
            "live",
            WeightMeaning.LIVE);
    private static final Map<String, State> MEMBER_STATES =
            Map.of("in_service", State.READY, "terminating", State.DRAINING, "terminated", State.GONE);
    private static final Map<Long, Outcome> OUTCOMES_BY_CODE = Map.of(
            200L,
            Outcome.OK,
            502L,
            Outcome.ERROR,
            429L,
            Outcome.FULL,
            408L,
            Outcome.TIMEOUT,
            521L,
            Outcome.CONNECT_FAILED,
            520L,
            Outcome.RESET,
            444L,
            Outcome.CANCELLED,
            409L,
            Outcome.MOOT,
            204L,
            Outcome.MISS);

    private final Settings settings;
    private final List<String> classNames = new ArrayList<>();
    private final List<String> zoneNames;
    private final int parentKind; // index in kindNames; -1 if none
    private final int originKind; // index in kindNames; -1 if none
    private final List<String> kindNames;

    public SettingsReader(JsonObject info) throws InvalidInputException {
        JsonObject specifics = info.objectOrEmpty("specifics");
        zoneNames = info.texts("zones");
        kindNames = info.texts("kinds");
        parentKind = (int) specifics.integer("shield-kind", -1);
        originKind = (int) specifics.integer("store-kind", -1);
        List<RequestClass> requestClasses = new ArrayList<>();
        for (JsonObject entry : info.objects("classes")) {
            requestClasses.add(requestClass(entry, specifics, classNames.size()));
            classNames.add(entry.text("name"));
        }
        JsonObject limits = info.object("policy-limits");
        JsonObject rules = info.object("obligations");
        JsonObject prices = info.objectOrEmpty("prices");
        JsonObject telemetry = info.objectOrEmpty("telemetry");
        List<Integer> routersByLocation = integers(specifics.numbers("crew-by-zone"));
        settings = new Settings(
                (int) info.integer("me"),
                (int) info.integer("siblings"),
                index(zoneNames, info.text("az"), "zone"),
                routersByLocation,
                integers(specifics.numbers("zone-hub")),
                requestClasses,
                new Limits(
                        (int) limits.integer("most-tries"),
                        (int) limits.integer("max-open"),
                        limits.flag("probing"),
                        limits.flag("may-tell"),
                        limits.flag("cancelling"),
                        limits.flag("second-copies"),
                        limits.flag("retry-after"),
                        limits.integer("max-retry-after-us", 0),
                        limits.integer("connect-timeout-us", 0)),
                new Rules(
                        rules.integer("answer-slack-us", 0),
                        rules.integer("stop-sending-within-us", 0),
                        new SlowStart(
                                rules.number("cold-from", 0),
                                rules.integer("cold-us", 0),
                                rules.number("tip-multiple", 0)),
                        new SlowStart(
                                specifics.number("parent-starts-at", 0),
                                specifics.integer("upper-cold-us", 0),
                                specifics.number("parent-fall-multiple", 0)),
                        rules.integer("overload-for-us", 0),
                        specifics.integer("notice-time-us", 0),
                        specifics.integer("purge-settles-us", 0),
                        rules.integer("ask-within-us", 0)),
                new Costs(
                        prices.number("cross-zone", 0),
                        prices.number("waste", 0),
                        prices.number("probe", 0),
                        prices.number("peer", 0),
                        prices.number("late-fail", 0),
                        prices.number("origin", 0),
                        specifics.number("inlet-cost", 0)),
                new Fills(
                        specifics.flag("pass-through-ok"),
                        specifics.flag("can-join"),
                        constant(SIBLING_SCOPES, specifics.text("sideways", "none"), "sideways"),
                        constant(FILL_REPORTINGS, specifics.text("note-level", "none"), "note-level"),
                        specifics.number("one-flow-kb-per-s", 0),
                        specifics.number("origin-fall-multiple", 0),
                        specifics.integer("origin-bears-us", 0),
                        specifics.numbers("feed-kb-per-s").stream()
                                .map(Number::doubleValue)
                                .toList()),
                new LoadReports(
                        constant(LOAD_REPORT_SOURCES, telemetry.text("how", "none"), "how"),
                        telemetry.texts("columns")),
                info.text("discovery", "push").equals("ask"),
                constant(WEIGHT_MEANINGS, info.text("weights", "none"), "weights"),
                info.objectOrEmpty("clients").flag("marks-retry"));
    }

    public Settings settings() {
        return settings;
    }

    /** Returns the name of this router's location. */
    public String locationName() {
        return zoneNames.get(settings.location());
    }

    /** Returns the index of a request class in the settings. */
    public int requestClass(String name) throws InvalidInputException {
        return index(classNames, name, "class");
    }

    /** Returns the outcome that a result code of the simulator stands for. */
    Outcome outcome(long code) throws InvalidInputException {
        return constant(OUTCOMES_BY_CODE, code, "rc");
    }

    /** Reads an entry of the member list. */
    Member member(JsonObject entry) throws InvalidInputException {
        return new Member(
                entry.integer("server"),
                role(entry.text("generation-hw", null)),
                zone(entry.text("area")),
                (int) entry.integer("block", 0),
                entry.number("capacity-hint", 1),
                entry.integer("online-since-us", 0),
                constant(MEMBER_STATES, entry.text("health"), "health"));
    }

    /** Returns the role of a member by its kind of machine; a member without a kind (null) is a cache. */
    public Role role(String kindName) throws InvalidInputException {
        int kind = kindName == null ? -1 : index(kindNames, kindName, "kind");
        return kind >= 0 && kind == parentKind
                ? Role.PARENT
                : kind >= 0 && kind == originKind ? Role.ORIGIN : Role.CACHE;
    }

    /** Returns the index of a zone in the settings. */
    public int zone(String name) throws InvalidInputException {
        return index(zoneNames, name, "zone");
    }

    private static RequestClass requestClass(JsonObject entry, JsonObject specifics, int index)
            throws InvalidInputException {
        return new RequestClass(
                entry.text("name"),
                entry.integer("aim-us"),
                entry.number("aim-stretch", 0),
                entry.integer("deadline-us"),
                entry.number("worth", 1),
                entry.number("late-worth", 0),
                constant(IDEMPOTENCIES, entry.text("idempotency"), "idempotency"),
                constant(DEDUPLICATION_SCOPES, entry.text("group", "all"), "group"),
                entry.integer("window-us", 0),
                entry.flag("streamed"),
                flagAt(specifics, "never-kept", index),
                flagAt(specifics, "class-parts", index),
                (long) numberAt(specifics, "good-for-us", index),
                (long) numberAt(specifics, "class-grace-us", index),
                numberAt(specifics, "worth-when-old", index));
    }

    /** Returns an element of a list of numbers, or 0 if the list is absent or too short. */
    private static double numberAt(JsonObject message, String name, int index) throws InvalidInputException {
        List<Number> numbers = message.numbers(name);
        return index < numbers.size() ? numbers.get(index).doubleValue() : 0;
    }

    /** Returns an element of a list of booleans, or false if the list is absent or too short. */
    private static boolean flagAt(JsonObject message, String name, int index) throws InvalidInputException {
        List<Boolean> flags = message.flags(name);
        return index < flags.size() && flags.get(index);
    }

    private static List<Integer> integers(List<Number> numbers) {
        return numbers.stream().map(Number::intValue).toList();
    }

    private static int index(List<String> names, String name, String category) throws InvalidInputException {
        int index = names.indexOf(name);
        if (index < 0) {
            throw new InvalidInputException("unknown " + category + " '" + name + "'");
        }
        return index;
    }

    /** Maps the value of a field to its enum constant. */
    private static <K, V> V constant(Map<K, V> constants, K value, String field) throws InvalidInputException {
        V constant = constants.get(value);
        if (constant == null) {
            throw new InvalidInputException("field '" + field + "' has the unknown value '" + value + "'");
        }
        return constant;
    }
}
