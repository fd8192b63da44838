package pumicemoor.wire;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import pumicemoor.RouterApi.SlowStart;
import pumicemoor.RouterApi.Idempotency;
import pumicemoor.RouterApi.Fills;
import pumicemoor.RouterApi.Limits;
import pumicemoor.RouterApi.LoadReports;
import pumicemoor.RouterApi.Member;
import pumicemoor.RouterApi.FillReporting;
import pumicemoor.RouterApi.Outcome;
import pumicemoor.RouterApi.Costs;
import pumicemoor.RouterApi.DeduplicationScope;
import pumicemoor.RouterApi.LoadReportSource;
import pumicemoor.RouterApi.RequestClass;
import pumicemoor.RouterApi.Role;
import pumicemoor.RouterApi.Rules;
import pumicemoor.RouterApi.Settings;
import pumicemoor.RouterApi.SiblingScope;
import pumicemoor.RouterApi.State;
import pumicemoor.RouterApi.WeightMeaning;

/** The names that one instance's settings define, and the settings and list lines read with them. */
public final class SettingsReader {

    private static final Map<String, Idempotency> EFFECTS =
            Map.of("pure", Idempotency.SAFE, "token", Idempotency.KEYED, "side_effect", Idempotency.UNSAFE);
    private static final Map<String, DeduplicationScope> GROUPS =
            Map.of("all", DeduplicationScope.ALL, "zone", DeduplicationScope.ZONE, "cell", DeduplicationScope.CELL);
    private static final Map<String, SiblingScope> SIBLINGS =
            Map.of("none", SiblingScope.NONE, "location", SiblingScope.LOCATION, "any", SiblingScope.ANY);
    private static final Map<String, FillReporting> NOTES = Map.of("none", FillReporting.NONE, "hit", FillReporting.HIT_ONLY, "all", FillReporting.ALL);
    private static final Map<String, LoadReportSource> REPORTS =
            Map.of("none", LoadReportSource.NONE, "probe", LoadReportSource.PROBE, "answers", LoadReportSource.ANSWER);
    private static final Map<String, WeightMeaning> WEIGHTS =
            Map.of("none", WeightMeaning.NONE, "nominal", WeightMeaning.NOMINAL, "rough", WeightMeaning.ROUGH, "live", WeightMeaning.LIVE);
    private static final Map<String, State> STATES =
            Map.of("in_service", State.READY, "terminating", State.DRAINING, "terminated", State.GONE);
    private static final Map<Long, Outcome> OUTCOMES = Map.of(
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
    private final List<String> classes = new ArrayList<>();
    private final List<String> zones;
    private final int parentKind;
    private final int originKind;
    private final List<String> kinds;

    public SettingsReader(Message info) throws WireException {
        Message specifics = info.objectOrEmpty("specifics");
        zones = info.texts("zones");
        kinds = info.texts("kinds");
        parentKind = (int) specifics.integer("shield-kind", -1);
        originKind = (int) specifics.integer("store-kind", -1);
        List<RequestClass> requestClasses = new ArrayList<>();
        for (Message entry : info.objects("classes")) {
            requestClasses.add(requestClass(entry, specifics, classes.size()));
            classes.add(entry.text("name"));
        }
        Message limits = info.object("policy-limits");
        Message rules = info.object("obligations");
        Message prices = info.objectOrEmpty("prices");
        Message telemetry = info.objectOrEmpty("telemetry");
        List<Integer> routersByLocation = integers(specifics.numbers("crew-by-zone"));
        settings = new Settings(
                (int) info.integer("me"),
                (int) info.integer("siblings"),
                index(zones, info.text("az"), "zone"),
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
                        word(SIBLINGS, specifics.text("sideways", "none"), "sideways"),
                        word(NOTES, specifics.text("note-level", "none"), "note-level"),
                        specifics.number("one-flow-kb-per-s", 0),
                        specifics.number("origin-fall-multiple", 0),
                        specifics.integer("origin-bears-us", 0),
                        specifics.numbers("feed-kb-per-s").stream()
                                .map(Number::doubleValue)
                                .toList()),
                new LoadReports(word(REPORTS, telemetry.text("how", "none"), "how"), telemetry.texts("columns")),
                info.text("discovery", "push").equals("ask"),
                word(WEIGHTS, info.text("weights", "none"), "weights"),
                info.objectOrEmpty("clients").flag("marks-retry"));
    }

    public Settings settings() {
        return settings;
    }

    /** The name of this router's location. */
    public String locationName() {
        return zones.get(settings.location());
    }

    public int requestClass(String name) throws WireException {
        return index(classes, name, "class");
    }

    Outcome outcome(long code) throws WireException {
        return word(OUTCOMES, code, "rc");
    }

    Member member(Message line) throws WireException {
        return new Member(
                line.integer("server"),
                role(line.text("generation-hw", null)),
                zone(line.text("area")),
                (int) line.integer("block", 0),
                line.number("capacity-hint", 1),
                line.integer("online-since-us", 0),
                word(STATES, line.text("health"), "health"));
    }

    /** What a member of this kind of machine is for; without a kind it is a cache. */
    public Role role(String kindName) throws WireException {
        int kind = kindName == null ? -1 : index(kinds, kindName, "kind");
        return kind >= 0 && kind == parentKind
                ? Role.PARENT
                : kind >= 0 && kind == originKind ? Role.ORIGIN : Role.CACHE;
    }

    public int zone(String name) throws WireException {
        return index(zones, name, "zone");
    }

    private static RequestClass requestClass(Message entry, Message specifics, int at) throws WireException {
        return new RequestClass(
                entry.text("name"),
                entry.integer("aim-us"),
                entry.number("aim-stretch", 0),
                entry.integer("deadline-us"),
                entry.number("worth", 1),
                entry.number("late-worth", 0),
                word(EFFECTS, entry.text("idempotency"), "idempotency"),
                word(GROUPS, entry.text("group", "all"), "group"),
                entry.integer("window-us", 0),
                entry.flag("streamed"),
                flagAt(specifics, "never-kept", at),
                flagAt(specifics, "class-parts", at),
                (long) numberAt(specifics, "good-for-us", at),
                (long) numberAt(specifics, "class-grace-us", at),
                numberAt(specifics, "worth-when-old", at));
    }

    private static double numberAt(Message message, String name, int at) throws WireException {
        List<Number> numbers = message.numbers(name);
        return at < numbers.size() ? numbers.get(at).doubleValue() : 0;
    }

    private static boolean flagAt(Message message, String name, int at) throws WireException {
        List<Boolean> flags = message.flags(name);
        return at < flags.size() && flags.get(at);
    }

    private static List<Integer> integers(List<Number> numbers) {
        return numbers.stream().map(Number::intValue).toList();
    }

    private static int index(List<String> names, String name, String what) throws WireException {
        int index = names.indexOf(name);
        if (index < 0) {
            throw new WireException("unknown " + what + " '" + name + "'");
        }
        return index;
    }

    private static <K, V> V word(Map<K, V> words, K word, String field) throws WireException {
        V value = words.get(word);
        if (value == null) {
            throw new WireException("field '" + field + "' has the unknown value '" + word + "'");
        }
        return value;
    }
}
