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
import pumicemoor.hierarchy.Topology.Kind;
import pumicemoor.hierarchy.Topology.Unit;
import pumicemoor.hierarchy.TopologyValidator.Violation;
import pumicemoor.hierarchy.Timeline.Branch;
import pumicemoor.hierarchy.Timeline.Count;

/**
 * The hierarchy as one router knows it: takes whole shapes and pieces of them, in any order, and tells what
 * each member may be filled from. It owns the news, the timeline that they make, and how far that may be
 * followed: never past what is known for certain, and nothing at all once that is too old, so that the
 * ordinary path decides. It must never pick the source of a request, nor read a clock; all is Unix microseconds.
 */
public final class Hierarchy {

    /** Pieces held at most until those before them have come. */
    static final int MOST_EARLY = 1_000;
    /** Pieces of one whole shape at most. */
    static final int MOST_TOGETHER = TopologyValidator.MOST_UNITS;

    /** Where news of the shape comes from: whole from the operator's file, or by pieces from the coordinator. */
    public enum UpdateSource {
        FILE,
        FEED
    }

    /**
     * What a router is set to: the unit that stands for the caches of its location, where news comes from, and
     * how long a member that has started is cold.
     */
    public record Setup(String depot, UpdateSource news, MigrationTiming timing, long coldTime) {}

    /** How a change goes on, from "nothing known for certain" to "all is as wanted". */
    public enum Stage {
        AS_WANTED,
        MOVING,
        HELD,
        WAITING_FOR_NEWS,
        TOO_OLD
    }

    /** All that can be seen of it; shares are of one, counts since the start. */
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

        /** By name, as status prints them. */
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
    private final TreeMap<String, Unit> wanted;
    private final TreeMap<Long, TopologyUpdate> early = new TreeMap<>();
    private final List<TopologyUpdate> together = new ArrayList<>(); // of a whole shape that has not all come
    private final Map<String, Long> started = new HashMap<>();
    private final boolean skipsAllowed;
    private long version;
    private long number; // of the last piece taken
    private long certain; // all pieces announced until then have come
    private long silentUntil; // a change that this router can't know may be under way
    private boolean tooOld;
    private boolean changed = true;
    private long twice, earlyCount, refused, shapesTaken, shapesRefused, timesTooOld;
    private String lastRefusal = "";

    /**
     * Begins with a shape that is wholly in use everywhere; number is that of the last piece in it. Refuses a
     * shape with problems: see ShapeCheck.
     */
    public Hierarchy(Topology first, long number, long now, Setup setup, Consumer<LogEvent> log) {
        this.setup = setup;
        this.log = log;
        this.version = first.version();
        this.number = number;
        this.certain = now;
        this.skipsAllowed = first.skipsAllowed();
        this.wanted = new TreeMap<>(first.units());
        this.timeline = new Timeline(first, now, setup.timing(), this::told);
    }

    /**
     * Begins with a shape and, while some router may still follow it, the one before. Without that a change may
     * be under way that this router cannot know: it stays silent until any such change is over.
     */
    public static Hierarchy start(
            Topology shape, Optional<Topology> before, long number, long now, Setup setup, Consumer<LogEvent> log) {
        if (before.isPresent()) {
            Hierarchy h = new Hierarchy(before.get(), number, Math.min(now, shape.announced()), setup, log);
            pieces(before.get().units(), shape, h.number + 1).forEach(h::apply);
            h.number = number;
            h.version = shape.version();
            h.advance(now);
            return h;
        }
        Hierarchy h = new Hierarchy(shape, number, now, setup, log);
        long hubs = shape.units().values().stream()
                .filter(u -> u.kind() == Kind.HUB)
                .count();
        MigrationTiming timing = setup.timing();
        h.silentUntil = shape.announced() == 0
                ? 0
                : shape.announced() + timing.lead() + (hubs + 1) * (timing.move() + timing.gap());
        return h;
    }

    /** Which units and members there are must be the same at all routers, so starts only steer shares. */
    public void members(Map<String, Long> startedByName) {
        if (!started.equals(startedByName)) {
            started.clear();
            started.putAll(startedByName);
            changed = true;
        }
    }

    /** A whole shape, as the operator's file gives it; the problems where it is refused, and then nothing changes. */
    public List<Violation> take(long now, Topology shape, Set<String> members) {
        advance(now);
        List<Violation> problems = new ArrayList<>(TopologyValidator.problems(shape, members));
        if (setup.news() != UpdateSource.FILE) {
            problems.add(new Violation(TopologyValidator.ViolationKind.NO_WAY, "", "the shape comes from the coordinator here"));
        }
        if (shape.version() <= version && !shape.units().equals(wanted)) {
            problems.add(new Violation(
                    TopologyValidator.ViolationKind.NO_WAY,
                    "",
                    "version " + shape.version() + " is not above version " + version + ", which is in force"));
        }
        if (!problems.isEmpty()) {
            refuseShape(shape.version(), problems.get(0).text());
            return List.copyOf(problems);
        }
        List<TopologyUpdate> pieces = pieces(wanted, shape, number + 1);
        pieces.forEach(this::apply);
        version = shape.version();
        shapesTaken++;
        advance(now);
        return List.of();
    }

    /** The pieces that lead from some units to a whole shape, children of removed units first by name. */
    public static List<TopologyUpdate> pieces(Map<String, Unit> from, Topology to, long firstNumber) {
        List<Unit> changed = to.units().values().stream()
                .filter(u -> !u.equals(from.get(u.name())))
                .toList();
        List<Unit> gone = from.values().stream()
                .filter(u -> !to.units().containsKey(u.name()))
                .toList();
        int count = changed.size() + gone.size();
        List<TopologyUpdate> pieces = new ArrayList<>(count);
        for (Unit u : changed) {
            pieces.add(new TopologyUpdate(
                    firstNumber + pieces.size(),
                    to.announced(),
                    to.version(),
                    count,
                    u.name(),
                    u.kind(),
                    u.parents(),
                    false));
        }
        for (Unit u : gone) {
            pieces.add(new TopologyUpdate(
                    firstNumber + pieces.size(),
                    to.announced(),
                    to.version(),
                    count,
                    u.name(),
                    u.kind(),
                    Map.of(),
                    true));
        }
        return pieces;
    }

    /** One piece from the coordinator. Twice is no matter; behind a gap it waits for those before it. */
    public void take(long now, TopologyUpdate piece) {
        advance(now);
        if (piece.number() <= number || early.containsKey(piece.number())) {
            twice++;
        } else if (piece.number() > number + 1) {
            earlyCount++;
            early.put(piece.number(), piece);
            if (early.size() > MOST_EARLY) {
                early.pollLastEntry(); // it will be told again, as what is missing must be
            }
        } else {
            inTurn(piece);
            while (!early.isEmpty() && early.firstKey() == number + 1) {
                inTurn(early.pollFirstEntry().getValue());
            }
        }
        advance(now);
    }

    /** The coordinator says that no piece past this number was announced until then. */
    public void certain(long now, long asOf, long lastNumber) {
        if (number >= lastNumber) {
            certain = Math.max(certain, Math.min(now, asOf));
        }
        advance(now);
    }

    private void inTurn(TopologyUpdate piece) {
        number = piece.number();
        if (!together.isEmpty()
                && (piece.version() != together.get(0).version()
                        || piece.pieces() != together.get(0).pieces())) {
            refuseShape(
                    together.get(0).version(),
                    "piece " + piece.number() + " belongs to another shape, and " + together.size() + " of "
                            + together.get(0).pieces() + " had come");
            together.clear();
        }
        if (piece.pieces() <= 0) {
            loose(piece);
        } else if (piece.pieces() > MOST_TOGETHER) {
            refuseShape(piece.version(), "it has " + piece.pieces() + " pieces, over " + MOST_TOGETHER);
        } else {
            together.add(piece);
            if (together.size() == piece.pieces()) {
                whole(List.copyOf(together));
                together.clear();
            }
        }
    }

    /** A piece by itself: it may close a loop for a while, but its own form must be right. */
    private void loose(TopologyUpdate piece) {
        String problem = problem(piece);
        if (problem == null) {
            apply(piece);
            version = Math.max(version, piece.version());
        } else {
            refused++;
            lastRefusal = "piece " + piece.number() + ": " + problem;
            log.accept(new LogEvent(
                    "a piece of the hierarchy is refused: " + problem,
                    Map.of("piece", piece.number(), "unit", piece.unit())));
        }
    }

    private String problem(TopologyUpdate piece) {
        Unit known = wanted.get(piece.unit());
        if (piece.removed()) {
            return known == null ? "there is no unit '" + piece.unit() + "'" : null;
        }
        if (known != null && known.kind() != piece.kind()) {
            return "'" + piece.unit() + "' is a " + known.kind() + " and can't become another";
        }
        if (known == null && wanted.size() >= TopologyValidator.MOST_UNITS) {
            return "there are " + wanted.size() + " units already";
        }
        if (piece.kind() == Kind.ORIGIN || piece.parents().isEmpty()) {
            return "'" + piece.unit() + "' fills from nobody, or is an origin";
        }
        for (Map.Entry<String, Double> parent : piece.parents().entrySet()) {
            Unit above = wanted.get(parent.getKey());
            if (!(parent.getValue() > 0 && parent.getValue() <= TopologyValidator.MOST_WEIGHT)
                    || parent.getKey().equals(piece.unit())
                    || above != null && (above.kind() == Kind.DEPOT || above.kind().level < piece.kind().level)) {
                return "'" + piece.unit() + "' may not fill from '" + parent.getKey() + "' with the weight "
                        + parent.getValue();
            }
        }
        return null;
    }

    /** All pieces of a whole shape: taken together at one moment, or not at all. */
    private void whole(List<TopologyUpdate> pieces) {
        Map<String, Unit> result = new TreeMap<>(wanted);
        long announced = 0;
        for (TopologyUpdate p : pieces) {
            announced = Math.max(announced, p.announced());
            if (p.removed()) {
                result.remove(p.unit());
            } else {
                result.put(p.unit(), p.toUnit());
            }
        }
        long version = pieces.get(0).version();
        List<Violation> problems = TopologyValidator.problems(new Topology(version, announced, skipsAllowed, result), Set.of());
        if (!problems.isEmpty()) {
            refuseShape(version, problems.get(0).text());
            return;
        }
        for (TopologyUpdate p : pieces) {
            apply(new TopologyUpdate(p.number(), announced, version, p.pieces(), p.unit(), p.kind(), p.parents(), p.removed()));
        }
        this.version = Math.max(this.version, version);
        shapesTaken++;
    }

    private void apply(TopologyUpdate piece) {
        number = Math.max(number, piece.number());
        if (piece.removed()) {
            wanted.remove(piece.unit());
        } else {
            wanted.put(piece.unit(), piece.toUnit());
        }
        timeline.take(piece);
        changed = true;
    }

    private void refuseShape(long refusedVersion, String why) {
        shapesRefused++;
        lastRefusal = "version " + refusedVersion + ": " + why;
        log.accept(new LogEvent(
                "a hierarchy is refused, the old one stays in force: " + why,
                Map.of("version", refusedVersion, "in-force", version)));
    }

    // ---- time -----------------------------------------------------------------------------------------

    /** Lives through what has become due, as far as all news until then is certain to have come. */
    public void advance(long now) {
        if (setup.news() == UpdateSource.FILE) {
            certain = Math.max(certain, now);
        }
        timeline.advance(Math.min(now, certain + setup.timing().lead()));
        boolean old = now < silentUntil
                || now - certain > setup.timing().lead() + setup.timing().gap() / 2; // half is for clocks
        if (old != tooOld) {
            tooOld = old;
            changed = true;
            timesTooOld += old ? 1 : 0;
            log.accept(new LogEvent(
                    old
                            ? "the hierarchy's news is too old: the ordinary path decides"
                            : "the hierarchy's news is certain again",
                    Map.of("version", version)));
        }
    }

    /** When advance wants to be called next; Long.MAX_VALUE for never. */
    public long nextDue() {
        long next = Math.min(timeline.nextChange(), tooOld && silentUntil > certain ? silentUntil : Long.MAX_VALUE);
        if (setup.news() == UpdateSource.FILE) {
            return next;
        }
        long old = tooOld
                ? Long.MAX_VALUE
                : certain + setup.timing().lead() + setup.timing().gap() / 2 + 1;
        return next <= certain + setup.timing().lead() ? Math.min(next, old) : old;
    }

    private void told(Timeline.Change change) {
        changed = true;
        if (change.what() == Timeline.Change.What.HELD) {
            log.accept(new LogEvent(
                    "a link of the hierarchy would close a loop and is held back",
                    Map.of("unit", change.link().unit(), "parent", change.link().parent(), "version", version)));
        }
    }

    // ---- what follows ---------------------------------------------------------------------------------

    /** Whether the sources may have changed since they were last asked for. */
    public boolean changed() {
        return changed;
    }

    /** What each member may be filled from now; none while the news is too old. */
    public FillSourcesUpdate sources(ToLongFunction<String> memberId) {
        changed = false;
        Map<Long, FillSources> lists = new HashMap<>();
        if (!tooOld) {
            Map<String, List<Long>> seeds = new HashMap<>();
            timeline.seeds().forEach(l -> seeds.computeIfAbsent(l.unit(), k -> new ArrayList<>())
                    .add(memberId.applyAsLong(l.parent())));
            for (Branch b : timeline.all()) {
                boolean own = b.kind != Kind.DEPOT;
                if ((own || b.name.equals(setup.depot())) && !b.current.isEmpty()) {
                    lists.put(
                            own ? memberId.applyAsLong(b.name) : FillSourcesUpdate.LOCATION,
                            new FillSources(
                                    list(b, b.current, memberId),
                                    list(b, b.before, memberId),
                                    list(b, b.earlier, memberId),
                                    b.flipped,
                                    seeds.getOrDefault(b.name, List.of())));
                }
            }
        }
        return new FillSourcesUpdate(version, lists);
    }

    private List<FillSource> list(Branch branch, Map<String, Double> parents, ToLongFunction<String> memberId) {
        List<FillSource> sources = new ArrayList<>();
        parents.entrySet().stream().sorted(Map.Entry.comparingByKey()).forEach(e -> {
            long start = started.getOrDefault(e.getKey(), 0L);
            boolean fresh = start > 0 && branch.moving() && branch.until - start < setup.coldTime()
                    || start > branch.from && branch.moving();
            long opens = fresh ? Math.max(branch.from, start) : branch.from;
            long full = fresh
                    ? Math.max(branch.until, start + Math.max(setup.timing().move(), setup.coldTime()))
                    : branch.until;
            sources.add(new FillSource(
                    memberId.applyAsLong(e.getKey()),
                    e.getValue(),
                    start > branch.from ? 0 : branch.startShare,
                    opens,
                    full));
        });
        return sources;
    }

    /** The share of this location's objects that has moved, by the timeline. */
    public Snapshot snapshot() {
        Branch mine = timeline.find(setup.depot());
        int moving = 0;
        for (Branch b : timeline.all()) {
            moving += b.moving() ? 1 : 0;
        }
        Stage stage = tooOld
                ? Stage.TOO_OLD
                : !early.isEmpty() || !together.isEmpty()
                        ? Stage.WAITING_FOR_NEWS
                        : timeline.held() > 0 ? Stage.HELD : timeline.quiet() ? Stage.AS_WANTED : Stage.MOVING;
        return new Snapshot(
                version,
                stage,
                mine == null ? 1 : timeline.share(mine),
                moving,
                timeline.held(),
                timeline.count(Count.PIECES),
                twice,
                timeline.count(Count.LATE),
                earlyCount,
                refused,
                timeline.count(Count.HELD),
                timeline.count(Count.MOVES),
                timeline.count(Count.BACK),
                timeline.count(Count.SEEDS),
                shapesTaken,
                shapesRefused,
                timesTooOld,
                lastRefusal);
    }

    Timeline timeline() {
        return timeline;
    }

    /** The shape that is wanted, whether or not the timeline has got there. */
    public Map<String, Unit> wanted() {
        return Map.copyOf(wanted);
    }
}
