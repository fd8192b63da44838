package pumicemoor.hierarchy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import pumicemoor.hierarchy.Topology.Kind;
import pumicemoor.hierarchy.Topology.Link;
import pumicemoor.hierarchy.Topology.Unit;

/**
 * Computes which links are in use at each moment of a topology change. Owns the pending updates, the links and their
 * topological order. Its state is a function of the initial topology and the updates alone, regardless of when they
 * were received: routers that have reached the same moment with the same updates have the same links. It must not
 * read a clock.
 *
 * <p>Safety: a link is added only if it closes no loop with any link that is in use or was in use within the gap
 * (see {@link MigrationTiming}). All links that were in use at any router during the gap that ends at a given moment
 * are therefore free of loops together, and routers may differ by up to the gap. Progress: a unit whose new parents
 * are all in place can always follow, since nothing upstream of it leads back to it; so a change proceeds downstream
 * from the origin.
 */
final class Timeline {

    /** The events that are counted. */
    enum Count {
        PIECES,
        LATE,
        HELD,
        MOVES,
        BACK,
        SEEDS,
        SEEDS_LEFT_OUT
    }

    /** One change of a link, reported for logs and migration plans. */
    record Change(long at, Type type, Link link) {
        enum Type {
            IN_USE,
            LEAVING,
            OUT_OF_USE,
            REMOVED,
            BLOCKED,
            SEED
        }
    }

    /** The current and previous parents of a unit, and the progress of its migration. */
    static final class UnitState {
        final String name;
        Kind kind;
        Map<String, Double> target = Map.of();
        Map<String, Double> current = Map.of();
        Map<String, Double> previous = Map.of(); // parents that the current migration moves away from
        Map<String, Double> earlier = Map.of(); // the previous parents, kept after the migration
        Set<String> blocked = Set.of(); // target parents that would close a loop or can't be filled from yet
        TopologyUpdate deferredUpdate; // applied after the end of the current migration
        long moveStart = Long.MIN_VALUE; // when the migration began
        long moveEnd = Long.MIN_VALUE; // when it ends
        double startShare; // share of the objects at the new parents when the migration began
        boolean reverting; // a rollback: the objects that moved last return first
        boolean removed;
        boolean awaitsSeedEnd; // waits for seed links in the opposite direction to end

        UnitState(String name) {
            this.name = name;
        }

        boolean moving() {
            return !previous.isEmpty();
        }
    }

    private record Timer(long at, Link link) {}

    private record PendingUpdate(long at, TopologyUpdate update) {}

    private final MigrationTiming timing;
    private final Consumer<Change> changes;
    private final FillOrder order = new FillOrder();
    private final TreeMap<String, UnitState> units = new TreeMap<>();
    private final Map<Link, Long> seeds = new TreeMap<>(); // a new parent may fill from a previous one until this time
    private final Map<Link, Long> lingering = new HashMap<>(); // out of use, but kept in the order until this time
    private final PriorityQueue<Timer> linkRemovals = new PriorityQueue<>(
            (a, b) -> a.at() != b.at() ? Long.compare(a.at(), b.at()) : a.link().compareTo(b.link()));
    private final PriorityQueue<Timer> moveEnds = new PriorityQueue<>(
            (a, b) -> a.at() != b.at() ? Long.compare(a.at(), b.at()) : a.link().compareTo(b.link()));
    private final PriorityQueue<Timer> seedEnds = new PriorityQueue<>(
            (a, b) -> a.at() != b.at() ? Long.compare(a.at(), b.at()) : a.link().compareTo(b.link()));
    private final Queue<PendingUpdate> pendingUpdates = new ArrayDeque<>();
    private final TreeSet<String> unsettled = new TreeSet<>(); // units with blocked links or a deferred update
    private final long[] counts = new long[Count.values().length];
    private long now;
    private long lastEffectiveAt = Long.MIN_VALUE; // when the last update takes effect

    /** Creates a timeline in which all links of the topology are in use. */
    Timeline(Topology topology, long start, MigrationTiming timing, Consumer<Change> changes) {
        this.timing = timing;
        this.changes = changes;
        this.now = start;
        for (Unit unit : topology.units().values()) {
            UnitState state = stateOf(unit.name());
            state.kind = unit.kind();
            state.target = unit.parents();
            state.current = unit.parents();
            unit.parents().keySet().forEach(parent -> {
                if (!order.add(unit.name(), parent)) {
                    throw new IllegalArgumentException(
                            "the initial topology has a loop at " + new Link(unit.name(), parent));
                }
            });
        }
    }

    /** Adds the next update in sequence. It takes effect the lead time after its announcement. */
    void add(TopologyUpdate update) {
        long at = Math.max(lastEffectiveAt, update.announcedMicros() + timing.leadMicros());
        if (at < now) {
            counts[Count.LATE.ordinal()]++;
            at = now;
        }
        lastEffectiveAt = at;
        pendingUpdates.add(new PendingUpdate(at, update));
        counts[Count.PIECES.ordinal()]++;
    }

    /** Processes everything that is due up to and including the given time. */
    void advance(long until) {
        for (long at = nextChange(); at <= until; at = nextChange()) {
            now = Math.max(now, at);
            processDue();
        }
        now = Math.max(now, until);
    }

    /** Returns when the next change is due, or Long.MAX_VALUE if none is. */
    long nextChange() {
        long at = Long.MAX_VALUE;
        while (!linkRemovals.isEmpty()
                && !Long.valueOf(linkRemovals.peek().at())
                        .equals(lingering.get(linkRemovals.peek().link()))) {
            linkRemovals.poll(); // the link is in use again
        }
        if (!linkRemovals.isEmpty()) {
            at = linkRemovals.peek().at();
        }
        if (!moveEnds.isEmpty()) {
            at = Math.min(at, moveEnds.peek().at());
        }
        if (!seedEnds.isEmpty()) {
            at = Math.min(at, seedEnds.peek().at());
        }
        return pendingUpdates.isEmpty()
                ? at
                : Math.min(at, pendingUpdates.peek().at());
    }

    private void processDue() {
        while (!linkRemovals.isEmpty() && linkRemovals.peek().at() <= now) {
            Timer timer = linkRemovals.poll();
            if (Long.valueOf(timer.at()).equals(lingering.get(timer.link()))) {
                lingering.remove(timer.link());
                order.remove(timer.link().unit(), timer.link().parent());
                notifyChange(Change.Type.REMOVED, timer.link());
            }
        }
        while (!moveEnds.isEmpty() && moveEnds.peek().at() <= now) {
            endMove(units.get(moveEnds.poll().link().unit()));
        }
        while (!seedEnds.isEmpty() && seedEnds.peek().at() <= now) {
            Link link = seedEnds.poll().link();
            if (seeds.getOrDefault(link, Long.MAX_VALUE) <= now) {
                endSeed(link);
            }
        }
        List<String> touched = new ArrayList<>(unsettled);
        while (!pendingUpdates.isEmpty() && pendingUpdates.peek().at() <= now) {
            TopologyUpdate update = pendingUpdates.poll().update();
            UnitState state = stateOf(update.unit());
            state.deferredUpdate = update;
            touched.add(update.unit());
            if (update.removed()) {
                touched.addAll(order.childrenOf(update.unit())); // its children must move away from it first
            }
        }
        settleUnits(new LinkedHashSet<>(touched));
    }

    /**
     * Makes all changes to these units that are possible now, in the given order: first the units that were unsettled,
     * by name, then those of new updates in the order of the updates.
     */
    private void settleUnits(Set<String> touched) {
        for (String name : touched) {
            adoptUpdate(stateOf(name));
        }
        boolean changed = true;
        while (changed) { // another unit may have waited for the one that now has its parents
            changed = false;
            for (String name : touched) {
                UnitState state = stateOf(name);
                Map<String, Double> currentBefore = state.current;
                addTargetParents(state);
                changed |= !state.current.equals(currentBefore);
            }
        }
        for (String name : touched) {
            UnitState state = stateOf(name);
            if (state.blocked.isEmpty() && state.deferredUpdate == null && !state.awaitsSeedEnd) {
                unsettled.remove(name);
            } else {
                unsettled.add(name);
            }
            removeIfGone(state);
        }
        if (touched.stream().map(units::get).anyMatch(s -> s != null && !s.blocked.isEmpty())) {
            // seed links are only an optimization and must not block a unit
            List.copyOf(seeds.keySet()).forEach(this::endSeed);
        }
    }

    /** Adopts the deferred update of a unit, unless its current migration must end first. */
    private void adoptUpdate(UnitState state) {
        TopologyUpdate update = state.deferredUpdate;
        if (update == null) {
            return;
        }
        Map<String, Double> target = update.removed() ? Map.of() : update.parents();
        boolean rollback = state.moving() && target.equals(state.previous);
        if (state.moving() && !rollback && !target.equals(state.target)
                || update.removed() && hasChildren(state.name)) {
            return;
        }
        if (rollback && waitsForSeeds(state.previous, state.current)) {
            return;
        }
        state.deferredUpdate = null;
        state.kind = update.kind();
        state.removed = update.removed();
        state.target = target;
        if (rollback) {
            counts[Count.BACK.ordinal()]++;
            state.startShare = 1 - share(state);
            state.reverting = !state.reverting;
            startMove(state, state.previous, state.current);
        } else if (update.removed() && !state.current.isEmpty()) {
            state.startShare = 0;
            startMove(state, Map.of(), state.current);
        }
    }

    /**
     * Returns whether other units may still fill from a unit that is to be removed. If only seed links lead to it, ends
     * them, so that they do not keep it longer than the gap.
     */
    private boolean hasChildren(String unit) {
        List<Link> links = order.childrenOf(unit).stream()
                .map(child -> new Link(child, unit))
                .toList();
        if (seeds.keySet().containsAll(links)) {
            links.forEach(this::endSeed);
        }
        return !links.isEmpty();
    }

    /** Adds the links to those target parents that close no loop, and starts a migration if the parents change. */
    private void addTargetParents(UnitState state) {
        state.awaitsSeedEnd = false;
        if (state.moving()) {
            return;
        }
        Map<String, Double> entering = new TreeMap<>();
        Set<String> blocked = new TreeSet<>();
        for (String parent : new TreeSet<>(state.target.keySet())) {
            UnitState parentState = units.get(parent);
            if (parentState == null
                    || parentState.removed
                    || parentState.deferredUpdate != null && parentState.deferredUpdate.removed()
                    || parentState.kind != Kind.ORIGIN && parentState.current.isEmpty()) {
                blocked.add(parent); // missing, without a fill path of its own yet, or about to be removed
            } else if (order.add(state.name, parent)) {
                entering.put(parent, state.target.get(parent));
            } else {
                blocked.add(parent);
                if (!state.blocked.contains(parent)) {
                    counts[Count.HELD.ordinal()]++;
                    notifyChange(Change.Type.BLOCKED, new Link(state.name, parent));
                }
            }
        }
        state.blocked = blocked;
        if (!entering.isEmpty() && !entering.equals(state.current)) { // otherwise the current parents stay
            if (!state.current.isEmpty() && waitsForSeeds(entering, state.current)) {
                state.awaitsSeedEnd = true;
                entering.keySet().forEach(parent -> removeUnused(new Link(state.name, parent)));
                return;
            }
            state.startShare = 0;
            startMove(state, entering, state.current);
        }
    }

    /** Starts the migration of a unit's objects from some parents to others. */
    private void startMove(UnitState state, Map<String, Double> to, Map<String, Double> from) {
        state.current = Map.copyOf(to);
        state.previous = Map.copyOf(from);
        state.moveStart = now;
        state.moveEnd = now + Math.round(timing.moveMicros() * (1 - state.startShare));
        to.keySet().stream().sorted().forEach(p -> markInUse(state, p));
        if (from.isEmpty()) {
            return; // the unit had no parents: there is nothing to migrate
        }
        counts[Count.MOVES.ordinal()]++;
        moveEnds.add(new Timer(state.moveEnd, new Link(state.name, "")));
        from.keySet().stream()
                .filter(p -> !to.containsKey(p))
                .sorted()
                .forEach(p -> notifyChange(Change.Type.LEAVING, new Link(state.name, p)));
        state.earlier = state.previous;
        seedsFor(to, from).forEach(l -> addSeed(l, state.moveEnd + timing.rememberMicros()));
    }

    private void markInUse(UnitState state, String parent) {
        Link link = new Link(state.name, parent);
        lingering.remove(link);
        seeds.remove(link); // it is a regular link now
        if (!state.previous.containsKey(parent)) {
            notifyChange(Change.Type.IN_USE, link);
        }
    }

    /** Returns the links over which new parents could fill from the previous ones, which hold the objects. */
    private List<Link> seedsFor(Map<String, Double> to, Map<String, Double> from) {
        List<Link> links = new ArrayList<>();
        for (String newParent : new TreeSet<>(to.keySet())) {
            for (String previousParent : new TreeSet<>(from.keySet())) {
                UnitState newState = units.get(newParent);
                UnitState previousState = units.get(previousParent);
                if (!newParent.equals(previousParent)
                        && !(from.containsKey(newParent) && to.containsKey(previousParent))
                        && newState != null
                        && previousState != null
                        && newState.kind == Kind.HUB
                        && previousState.kind == Kind.HUB
                        && !inUse(newState, previousParent)) {
                    links.add(new Link(newParent, previousParent));
                }
            }
        }
        return links;
    }

    /**
     * Ends the seed links of an earlier migration that run in the opposite direction. Returns whether any of them still
     * conflicts, which it does until the gap has passed.
     */
    private boolean waitsForSeeds(Map<String, Double> to, Map<String, Double> from) {
        boolean mustWait = false;
        for (Link link : seedsFor(to, from)) {
            Link opposite = new Link(link.parent(), link.unit());
            if (seeds.containsKey(opposite)) {
                endSeed(opposite);
                mustWait = true;
            } else if (lingering.containsKey(opposite) && !inUse(units.get(opposite.unit()), opposite.parent())) {
                mustWait = true;
            }
        }
        return mustWait;
    }

    private void addSeed(Link link, long until) {
        boolean known = seeds.containsKey(link);
        if (known || order.add(link.unit(), link.parent())) {
            lingering.remove(link);
            seeds.merge(link, until, Math::max);
            seedEnds.add(new Timer(until, link));
            if (!known) {
                counts[Count.SEEDS.ordinal()]++;
                notifyChange(Change.Type.SEED, link);
            }
        } else {
            counts[Count.SEEDS_LEFT_OUT.ordinal()]++;
        }
    }

    private void endMove(UnitState state) {
        if (state != null && state.moving() && state.moveEnd <= now) {
            Map<String, Double> previous = state.previous;
            state.previous = Map.of();
            state.reverting = false;
            previous.keySet().stream()
                    .filter(p -> !inUse(state, p))
                    .sorted()
                    .forEach(p -> linger(new Link(state.name, p)));
            unsettled.add(state.name); // an update may have been deferred until now
        }
    }

    private void endSeed(Link link) {
        if (seeds.remove(link) != null) {
            linger(link);
        }
    }

    /** Removes a link that was added to the order but is not used after all. */
    private void removeUnused(Link link) {
        if (!inUse(stateOf(link.unit()), link.parent()) && !seeds.containsKey(link) && !lingering.containsKey(link)) {
            order.remove(link.unit(), link.parent());
        }
    }

    /** Takes a link out of use but keeps it in the order for the gap, since other routers may still use it. */
    private void linger(Link link) {
        lingering.put(link, now + timing.gapMicros());
        linkRemovals.add(new Timer(now + timing.gapMicros(), link));
        notifyChange(Change.Type.OUT_OF_USE, link);
    }

    private void removeIfGone(UnitState state) {
        if (state.removed && !state.moving() && state.deferredUpdate == null) {
            units.remove(state.name);
            unsettled.remove(state.name);
        }
    }

    private static boolean inUse(UnitState state, String parent) {
        return state.current.containsKey(parent) || state.previous.containsKey(parent);
    }

    private void notifyChange(Change.Type type, Link link) {
        changes.accept(new Change(now, type, link));
    }

    // ---- queries --------------------------------------------------------------------

    private UnitState stateOf(String name) {
        return units.computeIfAbsent(name, UnitState::new);
    }

    UnitState unit(String name) {
        return units.get(name);
    }

    Iterable<UnitState> unitStates() {
        return units.values();
    }

    /** Returns the links over which a new parent may fill from a previous one. */
    Set<Link> seeds() {
        return seeds.keySet();
    }

    /** Returns the share of a unit's objects that has moved to the new parents by now, from 0 to 1. */
    double share(UnitState state) {
        if (!state.moving()) {
            return 1;
        }
        double remaining = timing.moveMicros() == 0 ? 0 : (state.moveEnd - now) / (double) timing.moveMicros();
        return Math.max(0, Math.min(1, 1 - remaining));
    }

    /** Returns every link that a fill may use now. */
    Set<Link> linksInUse() {
        Set<Link> links = new HashSet<>(seeds.keySet());
        for (UnitState state : units.values()) {
            state.current.keySet().forEach(p -> links.add(new Link(state.name, p)));
            state.previous.keySet().forEach(p -> links.add(new Link(state.name, p)));
        }
        return links;
    }

    /** Returns whether the change is complete: all target links are in use and no others are. */
    boolean complete() {
        return pendingUpdates.isEmpty() && unsettled.isEmpty() && moveEnds.isEmpty() && lingering.isEmpty();
    }

    /** Returns the number of links in the order: those in use and those kept for the gap. */
    int linksInOrder() {
        return order.links();
    }

    /** Returns the full state of a unit, for the messages of failing tests. */
    String describe(String unit) {
        UnitState state = units.get(unit);
        return state == null
                ? unit + " is not there"
                : unit + " target " + state.target + " current " + state.current + " previous "
                        + state.previous + " moving until " + state.moveEnd + " blocked " + state.blocked + " deferred "
                        + state.deferredUpdate + " removed "
                        + state.removed
                        + " awaits seed end " + state.awaitsSeedEnd + "; children " + order.childrenOf(unit) + "; now "
                        + now + ", seeds " + seeds
                        + ", lingering " + lingering + ", unsettled " + unsettled;
    }

    int blockedLinks() {
        return (int) unsettled.stream()
                .map(units::get)
                .filter(s -> s != null)
                .mapToInt(s -> s.blocked.size())
                .sum();
    }

    long now() {
        return now;
    }

    long count(Count count) {
        return counts[count.ordinal()];
    }
}
