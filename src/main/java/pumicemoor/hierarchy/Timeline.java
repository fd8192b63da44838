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
 * Which links are in use at each moment of a change. It owns the pieces that are to come, the links and their
 * order. It is a function of the shape it began with and the pieces alone, whenever they were heard: routers
 * that have reached the same moment with the same pieces have the same links. It must never read a clock.
 *
 * <p>What keeps it safe: a link enters only if it closes no loop with any link that is in use or was within the
 * gap. So all links that were in use anywhere from a moment less the gap until that moment are free of loops
 * together, and routers may differ by up to the gap. What gets it there: a unit whose new parents are all in
 * place can always follow, since nothing above it comes back to it; so a change works down from the origin.
 */
final class Timeline {

    /** What is counted. */
    enum Count {
        PIECES,
        LATE,
        HELD,
        MOVES,
        BACK,
        SEEDS,
        SEEDS_LEFT_OUT
    }

    /** Tells of one change of the links, for logs and plans. */
    record Change(long at, What what, Link link) {
        enum What {
            IN_USE,
            LEAVING,
            OUT_OF_USE,
            FREE,
            HELD,
            SEED
        }
    }

    /** What a unit fills from now and until its move is over, and how far the move has come. */
    static final class Branch {
        final String name;
        Kind kind;
        Map<String, Double> wanted = Map.of();
        Map<String, Double> current = Map.of();
        Map<String, Double> before = Map.of();
        Map<String, Double> earlier = Map.of(); // the same, remembered when the move is over
        Set<String> held = Set.of(); // wanted parents that would close a loop
        TopologyUpdate next; // waits for the end of the move
        long from = Long.MIN_VALUE; // when the move began
        long until = Long.MIN_VALUE; // when it ends
        double startShare; // share of the objects at the new parents when the move began
        boolean flipped; // the move goes back: the objects that had moved last return first
        boolean removed;
        boolean waits; // for seeds that run the other way

        Branch(String name) {
            this.name = name;
        }

        boolean moving() {
            return !before.isEmpty();
        }
    }

    private record Timer(long at, Link link) {}

    private record Coming(long at, TopologyUpdate piece) {}

    private final MigrationTiming timing;
    private final Consumer<Change> changes;
    private final FillOrder order = new FillOrder();
    private final TreeMap<String, Branch> branches = new TreeMap<>();
    private final Map<Link, Long> seeds = new TreeMap<>(); // a new parent fills from the one before, until
    private final Map<Link, Long> lingering = new HashMap<>(); // out of use, still in the order, until
    private final PriorityQueue<Timer> freeing = new PriorityQueue<>(
            (a, b) -> a.at() != b.at() ? Long.compare(a.at(), b.at()) : a.link().compareTo(b.link()));
    private final PriorityQueue<Timer> moveEnds = new PriorityQueue<>(
            (a, b) -> a.at() != b.at() ? Long.compare(a.at(), b.at()) : a.link().compareTo(b.link()));
    private final PriorityQueue<Timer> seedEnds = new PriorityQueue<>(
            (a, b) -> a.at() != b.at() ? Long.compare(a.at(), b.at()) : a.link().compareTo(b.link()));
    private final Queue<Coming> coming = new ArrayDeque<>();
    private final TreeSet<String> unmet = new TreeSet<>(); // units with held links or a piece that waits
    private final long[] counts = new long[Count.values().length];
    private long now;
    private long lastAt = Long.MIN_VALUE; // when the last piece acts

    /** Begins with a shape wholly in use. */
    Timeline(Topology shape, long start, MigrationTiming timing, Consumer<Change> changes) {
        this.timing = timing;
        this.changes = changes;
        this.now = start;
        for (Unit unit : shape.units().values()) {
            Branch branch = branch(unit.name());
            branch.kind = unit.kind();
            branch.wanted = unit.parents();
            branch.current = unit.parents();
            unit.parents().keySet().forEach(p -> {
                if (!order.add(unit.name(), p)) {
                    throw new IllegalArgumentException("the first shape has a loop at " + new Link(unit.name(), p));
                }
            });
        }
    }

    /** Takes a piece, each after the one before it; it acts the lead after its announcement. */
    void take(TopologyUpdate piece) {
        long at = Math.max(lastAt, piece.announced() + timing.lead());
        if (at < now) {
            counts[Count.LATE.ordinal()]++;
            at = now;
        }
        lastAt = at;
        coming.add(new Coming(at, piece));
        counts[Count.PIECES.ordinal()]++;
    }

    /** Lives through all that happens until then. */
    void advance(long until) {
        for (long at = nextChange(); at <= until; at = nextChange()) {
            now = Math.max(now, at);
            step();
        }
        now = Math.max(now, until);
    }

    /** When something happens next; Long.MAX_VALUE for never. */
    long nextChange() {
        long at = Long.MAX_VALUE;
        while (!freeing.isEmpty()
                && !Long.valueOf(freeing.peek().at())
                        .equals(lingering.get(freeing.peek().link()))) {
            freeing.poll(); // the link came back into use
        }
        if (!freeing.isEmpty()) {
            at = freeing.peek().at();
        }
        if (!moveEnds.isEmpty()) {
            at = Math.min(at, moveEnds.peek().at());
        }
        if (!seedEnds.isEmpty()) {
            at = Math.min(at, seedEnds.peek().at());
        }
        return coming.isEmpty() ? at : Math.min(at, coming.peek().at());
    }

    private void step() {
        while (!freeing.isEmpty() && freeing.peek().at() <= now) {
            Timer timer = freeing.poll();
            if (Long.valueOf(timer.at()).equals(lingering.get(timer.link()))) {
                lingering.remove(timer.link());
                order.remove(timer.link().unit(), timer.link().parent());
                tell(Change.What.FREE, timer.link());
            }
        }
        while (!moveEnds.isEmpty() && moveEnds.peek().at() <= now) {
            endMove(branches.get(moveEnds.poll().link().unit()));
        }
        while (!seedEnds.isEmpty() && seedEnds.peek().at() <= now) {
            Link link = seedEnds.poll().link();
            if (seeds.getOrDefault(link, Long.MAX_VALUE) <= now) {
                endSeed(link);
            }
        }
        List<String> touched = new ArrayList<>(unmet);
        while (!coming.isEmpty() && coming.peek().at() <= now) {
            TopologyUpdate piece = coming.poll().piece();
            Branch branch = branch(piece.unit());
            branch.next = piece;
            touched.add(piece.unit());
            if (piece.removed()) {
                touched.addAll(order.below(piece.unit())); // they must leave it first
            }
        }
        settle(new LinkedHashSet<>(touched));
    }

    /** Does for these units what can be done now; the order is that of news, then of names. */
    private void settle(Set<String> touched) {
        for (String name : touched) {
            adopt(branch(name));
        }
        boolean more = true;
        while (more) { // who was let in may be what another waits for
            more = false;
            for (String name : touched) {
                Branch branch = branch(name);
                Map<String, Double> had = branch.current;
                enter(branch);
                more |= !branch.current.equals(had);
            }
        }
        for (String name : touched) {
            Branch branch = branch(name);
            if (branch.held.isEmpty() && branch.next == null && !branch.waits) {
                unmet.remove(name);
            } else {
                unmet.add(name);
            }
            forgetIfGone(branch);
        }
        if (touched.stream().map(branches::get).anyMatch(b -> b != null && !b.held.isEmpty())) {
            List.copyOf(seeds.keySet()).forEach(this::endSeed); // a help only; it must hold nobody up
        }
    }

    /** Takes over the piece that waits for a unit, unless its move must be over first. */
    private void adopt(Branch branch) {
        TopologyUpdate piece = branch.next;
        if (piece == null) {
            return;
        }
        Map<String, Double> wanted = piece.removed() ? Map.of() : piece.parents();
        boolean back = branch.moving() && wanted.equals(branch.before);
        if (branch.moving() && !back && !wanted.equals(branch.wanted) || piece.removed() && followed(branch.name)) {
            return;
        }
        if (back && waitsForSeeds(branch.before, branch.current)) {
            return;
        }
        branch.next = null;
        branch.kind = piece.kind();
        branch.removed = piece.removed();
        branch.wanted = wanted;
        if (back) {
            counts[Count.BACK.ordinal()]++;
            branch.startShare = 1 - share(branch);
            branch.flipped = !branch.flipped;
            begin(branch, branch.before, branch.current);
        } else if (piece.removed() && !branch.current.isEmpty()) {
            branch.startShare = 0;
            begin(branch, Map.of(), branch.current);
        }
    }

    /** Whether others may still fill from a unit that is to go; what it only holds from before does not keep it. */
    private boolean followed(String unit) {
        List<Link> links =
                order.below(unit).stream().map(b -> new Link(b, unit)).toList();
        if (seeds.keySet().containsAll(links)) {
            links.forEach(this::endSeed);
        }
        return !links.isEmpty();
    }

    /** Lets those wanted parents in that close no loop; what is new is taken over by a move. */
    private void enter(Branch branch) {
        branch.waits = false;
        if (branch.moving()) {
            return;
        }
        Map<String, Double> entering = new TreeMap<>();
        Set<String> held = new TreeSet<>();
        for (String parent : new TreeSet<>(branch.wanted.keySet())) {
            Branch above = branches.get(parent);
            if (above == null
                    || above.removed
                    || above.next != null && above.next.removed()
                    || above.kind != Kind.ORIGIN && above.current.isEmpty()) {
                held.add(parent); // not there yet, without a way of its own yet, or about to go
            } else if (order.add(branch.name, parent)) {
                entering.put(parent, branch.wanted.get(parent));
            } else {
                held.add(parent);
                if (!branch.held.contains(parent)) {
                    counts[Count.HELD.ordinal()]++;
                    tell(Change.What.HELD, new Link(branch.name, parent));
                }
            }
        }
        branch.held = held;
        if (!entering.isEmpty() && !entering.equals(branch.current)) { // else what was is kept
            if (!branch.current.isEmpty() && waitsForSeeds(entering, branch.current)) {
                branch.waits = true;
                entering.keySet().forEach(parent -> release(new Link(branch.name, parent)));
                return;
            }
            branch.startShare = 0;
            begin(branch, entering, branch.current);
        }
    }

    /** Begins a move of a unit's objects from some parents to others. */
    private void begin(Branch branch, Map<String, Double> to, Map<String, Double> from) {
        branch.current = Map.copyOf(to);
        branch.before = Map.copyOf(from);
        branch.from = now;
        branch.until = now + Math.round(timing.move() * (1 - branch.startShare));
        to.keySet().stream().sorted().forEach(p -> use(branch, p));
        if (from.isEmpty()) {
            return; // its first parents: there is nothing to move
        }
        counts[Count.MOVES.ordinal()]++;
        moveEnds.add(new Timer(branch.until, new Link(branch.name, "")));
        from.keySet().stream()
                .filter(p -> !to.containsKey(p))
                .sorted()
                .forEach(p -> tell(Change.What.LEAVING, new Link(branch.name, p)));
        branch.earlier = branch.before;
        seedsFor(to, from).forEach(l -> seed(l, branch.until + timing.remember()));
    }

    private void use(Branch branch, String parent) {
        Link link = new Link(branch.name, parent);
        lingering.remove(link);
        seeds.remove(link); // it is a link in its own right now
        if (!branch.before.containsKey(parent)) {
            tell(Change.What.IN_USE, link);
        }
    }

    /** The links by which new parents would fill from those before, which held the objects. */
    private List<Link> seedsFor(Map<String, Double> to, Map<String, Double> from) {
        List<Link> links = new ArrayList<>();
        for (String fresh : new TreeSet<>(to.keySet())) {
            for (String old : new TreeSet<>(from.keySet())) {
                Branch above = branches.get(fresh);
                Branch below = branches.get(old);
                if (!fresh.equals(old)
                        && !(from.containsKey(fresh) && to.containsKey(old))
                        && above != null
                        && below != null
                        && above.kind == Kind.HUB
                        && below.kind == Kind.HUB
                        && !inUse(above, old)) {
                    links.add(new Link(fresh, old));
                }
            }
        }
        return links;
    }

    /** Whether seeds from an earlier move run the other way; they are ended, and a gap later there is room. */
    private boolean waitsForSeeds(Map<String, Double> to, Map<String, Double> from) {
        boolean waits = false;
        for (Link link : seedsFor(to, from)) {
            Link other = new Link(link.parent(), link.unit());
            if (seeds.containsKey(other)) {
                endSeed(other);
                waits = true;
            } else if (lingering.containsKey(other) && !inUse(branches.get(other.unit()), other.parent())) {
                waits = true;
            }
        }
        return waits;
    }

    private void seed(Link link, long until) {
        boolean known = seeds.containsKey(link);
        if (known || order.add(link.unit(), link.parent())) {
            lingering.remove(link);
            seeds.merge(link, until, Math::max);
            seedEnds.add(new Timer(until, link));
            if (!known) {
                counts[Count.SEEDS.ordinal()]++;
                tell(Change.What.SEED, link);
            }
        } else {
            counts[Count.SEEDS_LEFT_OUT.ordinal()]++;
        }
    }

    private void endMove(Branch branch) {
        if (branch != null && branch.moving() && branch.until <= now) {
            Map<String, Double> left = branch.before;
            branch.before = Map.of();
            branch.flipped = false;
            left.keySet().stream()
                    .filter(p -> !inUse(branch, p))
                    .sorted()
                    .forEach(p -> linger(new Link(branch.name, p)));
            unmet.add(branch.name); // a piece may have waited for this
        }
    }

    private void endSeed(Link link) {
        if (seeds.remove(link) != null) {
            linger(link);
        }
    }

    /** A link that was let into the order and is not used after all. */
    private void release(Link link) {
        if (!inUse(branch(link.unit()), link.parent()) && !seeds.containsKey(link) && !lingering.containsKey(link)) {
            order.remove(link.unit(), link.parent());
        }
    }

    /** Out of use here, but others may still follow it. */
    private void linger(Link link) {
        lingering.put(link, now + timing.gap());
        freeing.add(new Timer(now + timing.gap(), link));
        tell(Change.What.OUT_OF_USE, link);
    }

    private void forgetIfGone(Branch branch) {
        if (branch.removed && !branch.moving() && branch.next == null) {
            branches.remove(branch.name);
            unmet.remove(branch.name);
        }
    }

    private static boolean inUse(Branch branch, String parent) {
        return branch.current.containsKey(parent) || branch.before.containsKey(parent);
    }

    private void tell(Change.What what, Link link) {
        changes.accept(new Change(now, what, link));
    }

    // ---- what is seen from outside --------------------------------------------------------------------

    private Branch branch(String name) {
        return branches.computeIfAbsent(name, Branch::new);
    }

    Branch find(String name) {
        return branches.get(name);
    }

    Iterable<Branch> all() {
        return branches.values();
    }

    /** The links over which a new parent may fill from the one before it. */
    Set<Link> seeds() {
        return seeds.keySet();
    }

    /** The share of a unit's objects that has moved by now. */
    double share(Branch branch) {
        if (!branch.moving()) {
            return 1;
        }
        double left = timing.move() == 0 ? 0 : (branch.until - now) / (double) timing.move();
        return Math.max(0, Math.min(1, 1 - left));
    }

    /** Every link that a fill may travel over now. */
    Set<Link> linksInUse() {
        Set<Link> links = new HashSet<>(seeds.keySet());
        for (Branch b : branches.values()) {
            b.current.keySet().forEach(p -> links.add(new Link(b.name, p)));
            b.before.keySet().forEach(p -> links.add(new Link(b.name, p)));
        }
        return links;
    }

    /** Whether nothing is left to be done: all that was wanted is in use, nothing else is. */
    boolean quiet() {
        return coming.isEmpty() && unmet.isEmpty() && moveEnds.isEmpty() && lingering.isEmpty();
    }

    /** How many links the order holds: those in use and those that linger. */
    int linksInOrder() {
        return order.links();
    }

    /** Everything of a unit, for tests that fail. */
    String describe(String unit) {
        Branch b = branches.get(unit);
        return b == null
                ? unit + " is not there"
                : unit + " wants " + b.wanted + " has " + b.current + " leaves "
                        + b.before + " until " + b.until + " held " + b.held + " next " + b.next + " removed "
                        + b.removed
                        + " waits " + b.waits + "; below " + order.below(unit) + "; now " + now + ", seeds " + seeds
                        + ", lingering " + lingering + ", unmet " + unmet;
    }

    int held() {
        return (int) unmet.stream()
                .map(branches::get)
                .filter(b -> b != null)
                .mapToInt(b -> b.held.size())
                .sum();
    }

    long now() {
        return now;
    }

    long count(Count count) {
        return counts[count.ordinal()];
    }
}
