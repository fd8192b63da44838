package pumicemoor.hierarchy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.ToLongFunction;
import pumicemoor.RouterApi.FillSource;
import pumicemoor.RouterApi.FillSources;
import pumicemoor.RouterApi.FillSourcesUpdate;
import pumicemoor.hierarchy.Timeline.Count;
import pumicemoor.hierarchy.Timeline.UnitState;
import pumicemoor.hierarchy.Topology.Kind;
import pumicemoor.hierarchy.Topology.Unit;
import pumicemoor.hierarchy.TopologyValidator.Violation;

/**
 * The hierarchy as one router knows it: accepts whole topologies or single updates in any order, and determines the
 * sources that each member may be filled from. Owns the updates, the timeline computed from them, and the time up to
 * which the timeline may be followed: never past the time for which all updates are known to have arrived. Once that
 * time is too long ago it offers no sources at all, so that the ordinary path decides. It must not choose the source
 * of a request or read a clock. All times are Unix microseconds.
 */
public final class Hierarchy {

    /** The largest number of updates that are kept until the missing updates before them have arrived. */
    static final int MAX_EARLY_UPDATES = 1_000;
    /** The largest number of updates in one whole topology. */
    static final int MAX_UPDATES_PER_TOPOLOGY = TopologyValidator.MAX_UNITS;

    /** The source of the topology: the operator's file, as a whole, or the coordinator, as single updates. */
    public enum UpdateSource {
        FILE,
        FEED
    }

    /**
     * The configuration of a router: the unit that represents the caches of its location, the source of the topology,
     * the durations of a change, and how long a member that has started is in slow start, in microseconds.
     */
    public record Setup(String depot, UpdateSource updateSource, MigrationTiming timing, long slowStartMicros) {}

    /**
     * The progress of a topology change. HELD: a link waits because it would close a loop. WAITING_FOR_NEWS: an update
     * is missing. TOO_OLD: no recent confirmation that all updates have arrived.
     */
    public enum Stage {
        AS_WANTED,
        MOVING,
        HELD,
        WAITING_FOR_NEWS,
        TOO_OLD
    }

    /** The state for monitoring. Shares are from 0 to 1; counts are since the start of the router. */
    public record Snapshot(
            long version,
            Stage stage,
            double shareMoved,
            int unitsMoving,
            int linksHeld,
            long pieces,
            long piecesTwice,
            long piecesLate,
            long piecesEarly,
            long piecesRefused,
            long loopsHeld,
            long moves,
            long movesBack,
            long seeds,
            long shapesTaken,
            long shapesRefused,
            long timesTooOld,
            String lastRefusal) {

        /** Returns the values by name, as the status page prints them. */
        public Map<String, String> fields() {
            Map<String, String> fields = new LinkedHashMap<>();
            fields.put("version", Long.toString(version));
            fields.put("stage", stage.name().toLowerCase(Locale.ROOT).replace('_', '-'));
            fields.put("share-moved", String.format(Locale.ROOT, "%.3f", shareMoved));
            fields.put("units-moving", Integer.toString(unitsMoving));
            fields.put("links-held", Integer.toString(linksHeld));
            fields.put("pieces", Long.toString(pieces));
            fields.put("pieces-twice", Long.toString(piecesTwice));
            fields.put("pieces-late", Long.toString(piecesLate));
            fields.put("pieces-early", Long.toString(piecesEarly));
            fields.put("pieces-refused", Long.toString(piecesRefused));
            fields.put("loops-held", Long.toString(loopsHeld));
            fields.put("moves", Long.toString(moves));
            fields.put("moves-back", Long.toString(movesBack));
            fields.put("seeds", Long.toString(seeds));
            fields.put("shapes-taken", Long.toString(shapesTaken));
            fields.put("shapes-refused", Long.toString(shapesRefused));
            fields.put("times-too-old", Long.toString(timesTooOld));
            fields.put("last-refusal", lastRefusal);
            Map<String, String> named = new LinkedHashMap<>();
            fields.forEach((name, value) -> named.put("hierarchy-" + name, value));
            return named;
        }
    }

    private final Setup setup;
    private final Consumer<LogEvent> log;
    private final Timeline timeline;
    private final TreeMap<String, Unit> target;
    private final TreeMap<Long, TopologyUpdate> early = new TreeMap<>();
    private final List<TopologyUpdate> partialTopology = new ArrayList<>(); // the updates received so far
    private final Map<String, Long> startTimes = new HashMap<>();
    private final boolean skipsAllowed;
    private long version;
    private long number; // of the last update applied
    private long certainUntil; // all updates announced until then have arrived
    private long suspendedUntil; // until then a change that this router does not know of may be in progress
    private boolean tooOld;
    private boolean changed = true;
    private long duplicates;
    private long earlyCount;
    private long updatesRefused;
    private long topologiesAccepted;
    private long topologiesRefused;
    private long timesTooOld;
    private String lastRefusal = "";

    /**
     * Creates a hierarchy whose topology is fully in use at all routers.
     *
     * @param number the number of the last update that the topology contains
     * @throws IllegalArgumentException if the topology has a loop; for all other violations see
     *     {@link TopologyValidator}
     */
    public Hierarchy(Topology first, long number, long now, Setup setup, Consumer<LogEvent> log) {
        this.setup = setup;
        this.log = log;
        this.version = first.version();
        this.number = number;
        this.certainUntil = now;
        this.skipsAllowed = first.skipsAllowed();
        this.target = new TreeMap<>(first.units());
        this.timeline = new Timeline(first, now, setup.timing(), this::linkChanged);
    }

    /**
     * Creates a hierarchy from a topology and, while some router may still follow it, the previous one. Without the
     * previous topology a change may be in progress that this router does not know of, so it offers no sources until
     * any such change must be over.
     */
    public static Hierarchy start(
            Topology topology, Optional<Topology> before, long number, long now, Setup setup, Consumer<LogEvent> log) {
        if (before.isPresent()) {
            Hierarchy hierarchy =
                    new Hierarchy(before.get(), number, Math.min(now, topology.announcedMicros()), setup, log);
            updatesBetween(before.get().units(), topology, hierarchy.number + 1).forEach(hierarchy::apply);
            hierarchy.number = number;
            hierarchy.version = topology.version();
            hierarchy.advance(now);
            return hierarchy;
        }
        Hierarchy hierarchy = new Hierarchy(topology, number, now, setup, log);
        long hubs = topology.units().values().stream()
                .filter(unit -> unit.kind() == Kind.HUB)
                .count();
        MigrationTiming timing = setup.timing();
        hierarchy.suspendedUntil = topology.announcedMicros() == 0
                ? 0
                : topology.announcedMicros()
                        + timing.leadMicros()
                        + (hubs + 1) * (timing.moveMicros() + timing.gapMicros());
        return hierarchy;
    }

    /**
     * Sets when members started. Only shares depend on it, since routers may differ in it but must agree on the links.
     */
    public void updateStartTimes(Map<String, Long> startedByName) {
        if (!startTimes.equals(startedByName)) {
            startTimes.clear();
            startTimes.putAll(startedByName);
            changed = true;
        }
    }

    /**
     * Replaces the topology by one from the operator's file.
     *
     * @return the violations because of which the topology was refused, with nothing changed; empty if it was accepted
     */
    public List<Violation> accept(long now, Topology topology, Set<String> members) {
        advance(now);
        List<Violation> problems = new ArrayList<>(TopologyValidator.findViolations(topology, members));
        if (setup.updateSource() != UpdateSource.FILE) {
            problems.add(new Violation(
                    TopologyValidator.ViolationKind.NOT_APPLICABLE,
                    "",
                    "this router receives the topology from the coordinator, not from the file"));
        }
        if (topology.version() <= version && !topology.units().equals(target)) {
            problems.add(new Violation(
                    TopologyValidator.ViolationKind.NOT_APPLICABLE,
                    "",
                    "version " + topology.version() + " is not above version " + version + ", which is in force"));
        }
        if (!problems.isEmpty()) {
            rejectTopology(topology.version(), problems.get(0).text());
            return List.copyOf(problems);
        }
        List<TopologyUpdate> updates = updatesBetween(target, topology, number + 1);
        updates.forEach(this::apply);
        version = topology.version();
        topologiesAccepted++;
        advance(now);
        return List.of();
    }

    /**
     * Returns the updates that lead from these units to the topology: first the new and changed units, then the removed
     * ones, so that children of a removed unit come before it.
     */
    public static List<TopologyUpdate> updatesBetween(Map<String, Unit> from, Topology to, long firstNumber) {
        List<Unit> changed = to.units().values().stream()
                .filter(unit -> !unit.equals(from.get(unit.name())))
                .toList();
        List<Unit> removed = from.values().stream()
                .filter(unit -> !to.units().containsKey(unit.name()))
                .toList();
        int count = changed.size() + removed.size();
        List<TopologyUpdate> updates = new ArrayList<>(count);
        for (Unit unit : changed) {
            updates.add(new TopologyUpdate(
                    firstNumber + updates.size(),
                    to.announcedMicros(),
                    to.version(),
                    count,
                    unit.name(),
                    unit.kind(),
                    unit.parents(),
                    false));
        }
        for (Unit unit : removed) {
            updates.add(new TopologyUpdate(
                    firstNumber + updates.size(),
                    to.announcedMicros(),
                    to.version(),
                    count,
                    unit.name(),
                    unit.kind(),
                    Map.of(),
                    true));
        }
        return updates;
    }

    /**
     * Accepts an update from the coordinator. A duplicate is ignored; an update after a gap in the numbers waits for
     * the missing ones.
     */
    public void accept(long now, TopologyUpdate update) {
        advance(now);
        if (update.number() <= number || early.containsKey(update.number())) {
            duplicates++;
        } else if (update.number() > number + 1) {
            earlyCount++;
            early.put(update.number(), update);
            if (early.size() > MAX_EARLY_UPDATES) {
                early.pollLastEntry(); // it will be sent again, as the missing updates must be
            }
        } else {
            applyInOrder(update);
            while (!early.isEmpty() && early.firstKey() == number + 1) {
                applyInOrder(early.pollFirstEntry().getValue());
            }
        }
        advance(now);
    }

    /** Accepts the coordinator's confirmation that no update after this number was announced until {@code asOf}. */
    public void confirmUpdates(long now, long asOf, long lastNumber) {
        if (number >= lastNumber) {
            certainUntil = Math.max(certainUntil, Math.min(now, asOf));
        }
        advance(now);
    }

    private void applyInOrder(TopologyUpdate update) {
        number = update.number();
        if (!partialTopology.isEmpty()
                && (update.version() != partialTopology.get(0).version()
                        || update.updatesInTopology() != partialTopology.get(0).updatesInTopology())) {
            rejectTopology(
                    partialTopology.get(0).version(),
                    "update " + update.number() + " belongs to another topology, but only " + partialTopology.size()
                            + " of " + partialTopology.get(0).updatesInTopology()
                            + " updates of this one have arrived");
            partialTopology.clear();
        }
        if (update.updatesInTopology() <= 0) {
            applyIndependent(update);
        } else if (update.updatesInTopology() > MAX_UPDATES_PER_TOPOLOGY) {
            rejectTopology(
                    update.version(),
                    "it has " + update.updatesInTopology() + " updates; the limit is " + MAX_UPDATES_PER_TOPOLOGY);
        } else {
            partialTopology.add(update);
            if (partialTopology.size() == update.updatesInTopology()) {
                applyTopology(List.copyOf(partialTopology));
                partialTopology.clear();
            }
        }
    }

    /** Applies an independent update. It may close a loop for a while, but must be valid by itself. */
    private void applyIndependent(TopologyUpdate update) {
        String violation = findViolation(update);
        if (violation == null) {
            apply(update);
            version = Math.max(version, update.version());
        } else {
            updatesRefused++;
            lastRefusal = "update " + update.number() + ": " + violation;
            log.accept(new LogEvent(
                    "refused an update of the hierarchy: " + violation,
                    Map.of("piece", update.number(), "unit", update.unit())));
        }
    }

    private String findViolation(TopologyUpdate update) {
        Unit known = target.get(update.unit());
        if (update.removed()) {
            return known == null ? "there is no unit '" + update.unit() + "'" : null;
        }
        if (known != null && known.kind() != update.kind()) {
            return "'" + update.unit() + "' is a " + known.kind() + " and can't change its kind";
        }
        if (known == null && target.size() >= TopologyValidator.MAX_UNITS) {
            return "the topology already has " + target.size() + " units, the maximum";
        }
        if (update.kind() == Kind.ORIGIN || update.parents().isEmpty()) {
            return "'" + update.unit() + "' has no parents or is an origin";
        }
        for (Map.Entry<String, Double> parent : update.parents().entrySet()) {
            Unit parentUnit = target.get(parent.getKey());
            if (!(parent.getValue() > 0 && parent.getValue() <= TopologyValidator.MAX_WEIGHT)
                    || parent.getKey().equals(update.unit())
                    || parentUnit != null
                            && (parentUnit.kind() == Kind.DEPOT || parentUnit.kind().level < update.kind().level)) {
                return "'" + update.unit() + "' may not fill from '" + parent.getKey() + "' with the weight "
                        + parent.getValue();
            }
        }
        return null;
    }

    /** Applies all updates of a whole topology at the same moment, or none of them. */
    private void applyTopology(List<TopologyUpdate> updates) {
        Map<String, Unit> result = new TreeMap<>(target);
        long announced = 0;
        for (TopologyUpdate update : updates) {
            announced = Math.max(announced, update.announcedMicros());
            if (update.removed()) {
                result.remove(update.unit());
            } else {
                result.put(update.unit(), update.toUnit());
            }
        }
        long version = updates.get(0).version();
        List<Violation> problems =
                TopologyValidator.findViolations(new Topology(version, announced, skipsAllowed, result), Set.of());
        if (!problems.isEmpty()) {
            rejectTopology(version, problems.get(0).text());
            return;
        }
        for (TopologyUpdate update : updates) {
            apply(new TopologyUpdate(
                    update.number(),
                    announced,
                    version,
                    update.updatesInTopology(),
                    update.unit(),
                    update.kind(),
                    update.parents(),
                    update.removed()));
        }
        this.version = Math.max(this.version, version);
        topologiesAccepted++;
    }

    private void apply(TopologyUpdate update) {
        number = Math.max(number, update.number());
        if (update.removed()) {
            target.remove(update.unit());
        } else {
            target.put(update.unit(), update.toUnit());
        }
        timeline.add(update);
        changed = true;
    }

    private void rejectTopology(long refusedVersion, String reason) {
        topologiesRefused++;
        lastRefusal = "version " + refusedVersion + ": " + reason;
        log.accept(new LogEvent(
                "refused a new topology; the old one stays in force: " + reason,
                Map.of("version", refusedVersion, "in-force", version)));
    }

    // ---- time -----------------------------------------------------------------------------------------

    /**
     * Processes what is due by now, but no further than the lead after the last confirmed time: an update that is not
     * known here may take effect from then on.
     */
    public void advance(long now) {
        if (setup.updateSource() == UpdateSource.FILE) {
            certainUntil = Math.max(certainUntil, now);
        }
        timeline.advance(Math.min(now, certainUntil + setup.timing().leadMicros()));
        // the other half of the gap allows for clock skew
        boolean stale = now < suspendedUntil
                || now - certainUntil
                        > setup.timing().leadMicros() + setup.timing().gapMicros() / 2;
        if (stale != tooOld) {
            tooOld = stale;
            changed = true;
            timesTooOld += stale ? 1 : 0;
            log.accept(new LogEvent(
                    stale
                            ? "the hierarchy updates have not been confirmed for too long: the ordinary path decides"
                            : "the hierarchy updates are confirmed again",
                    Map.of("version", version)));
        }
    }

    /** Returns when {@link #advance} must be called next, or Long.MAX_VALUE if it need not be. */
    public long nextDue() {
        long next = Math.min(
                timeline.nextChange(), tooOld && suspendedUntil > certainUntil ? suspendedUntil : Long.MAX_VALUE);
        if (setup.updateSource() == UpdateSource.FILE) {
            return next;
        }
        long staleAt = tooOld
                ? Long.MAX_VALUE
                : certainUntil + setup.timing().leadMicros() + setup.timing().gapMicros() / 2 + 1;
        return next <= certainUntil + setup.timing().leadMicros() ? Math.min(next, staleAt) : staleAt;
    }

    private void linkChanged(Timeline.Change change) {
        changed = true;
        if (change.type() == Timeline.Change.Type.BLOCKED) {
            log.accept(new LogEvent(
                    "a link of the hierarchy would close a loop and is held back",
                    Map.of("unit", change.link().unit(), "parent", change.link().parent(), "version", version)));
        }
    }

    // ---- results ---------------------------------------------------------------------------------

    /** Returns whether the sources may have changed since the last call of {@link #sources}. */
    public boolean changed() {
        return changed;
    }

    /** Returns the sources that each member may be filled from now; none while the updates are too old. */
    public FillSourcesUpdate sources(ToLongFunction<String> memberId) {
        changed = false;
        Map<Long, FillSources> lists = new HashMap<>();
        if (!tooOld) {
            Map<String, List<Long>> seeds = new HashMap<>();
            timeline.seeds().forEach(l -> seeds.computeIfAbsent(l.unit(), k -> new ArrayList<>())
                    .add(memberId.applyAsLong(l.parent())));
            for (UnitState state : timeline.unitStates()) {
                boolean isMember = state.kind != Kind.DEPOT;
                if ((isMember || state.name.equals(setup.depot())) && !state.current.isEmpty()) {
                    lists.put(
                            isMember ? memberId.applyAsLong(state.name) : FillSourcesUpdate.LOCATION,
                            new FillSources(
                                    fillSources(state, state.current, memberId),
                                    fillSources(state, state.previous, memberId),
                                    fillSources(state, state.earlier, memberId),
                                    state.reverting,
                                    seeds.getOrDefault(state.name, List.of())));
                }
            }
        }
        return new FillSourcesUpdate(version, lists);
    }

    private List<FillSource> fillSources(
            UnitState state, Map<String, Double> parents, ToLongFunction<String> memberId) {
        List<FillSource> sources = new ArrayList<>();
        parents.entrySet().stream().sorted(Map.Entry.comparingByKey()).forEach(parent -> {
            long startTime = startTimes.getOrDefault(parent.getKey(), 0L);
            boolean restarted = startTime > 0 && state.moving() && state.moveEnd - startTime < setup.slowStartMicros()
                    || startTime > state.moveStart && state.moving();
            long rampStart = restarted ? Math.max(state.moveStart, startTime) : state.moveStart;
            long rampEnd = restarted
                    ? Math.max(
                            state.moveEnd, startTime + Math.max(setup.timing().moveMicros(), setup.slowStartMicros()))
                    : state.moveEnd;
            sources.add(new FillSource(
                    memberId.applyAsLong(parent.getKey()),
                    parent.getValue(),
                    startTime > state.moveStart ? 0 : state.startShare,
                    rampStart,
                    rampEnd));
        });
        return sources;
    }

    /** Returns the state for monitoring; the share moved is that of this location's objects. */
    public Snapshot snapshot() {
        UnitState local = timeline.unit(setup.depot());
        int moving = 0;
        for (UnitState state : timeline.unitStates()) {
            moving += state.moving() ? 1 : 0;
        }
        Stage stage = tooOld
                ? Stage.TOO_OLD
                : !early.isEmpty() || !partialTopology.isEmpty()
                        ? Stage.WAITING_FOR_NEWS
                        : timeline.blockedLinks() > 0
                                ? Stage.HELD
                                : timeline.complete() ? Stage.AS_WANTED : Stage.MOVING;
        return new Snapshot(
                version,
                stage,
                local == null ? 1 : timeline.share(local),
                moving,
                timeline.blockedLinks(),
                timeline.count(Count.PIECES),
                duplicates,
                timeline.count(Count.LATE),
                earlyCount,
                updatesRefused,
                timeline.count(Count.HELD),
                timeline.count(Count.MOVES),
                timeline.count(Count.BACK),
                timeline.count(Count.SEEDS),
                topologiesAccepted,
                topologiesRefused,
                timesTooOld,
                lastRefusal);
    }

    Timeline timeline() {
        return timeline;
    }

    /** Returns the target topology, whether or not the timeline has reached it. */
    public Map<String, Unit> targetUnits() {
        return Map.copyOf(target);
    }
}
