package pumicemoor.hierarchy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import pumicemoor.hierarchy.Hierarchy.UpdateSource;
import pumicemoor.hierarchy.Hierarchy.Setup;
import pumicemoor.hierarchy.Topology.Link;
import pumicemoor.hierarchy.Topology.Unit;

/**
 * Five routers that hear the same pieces at different times, out of order, twice, or not for a while. At every
 * moment the links that any of them follows are free of loops together, and in the end all follow the last shape.
 */
class ManyRoutersTest {

    private static final long SECOND = 1_000_000;
    private static final MigrationTiming TIMING = new MigrationTiming(4 * SECOND, 6 * SECOND, 4 * SECOND, 5 * SECOND);
    private static final int ROUTERS = 5;
    private static final int HUBS = 5;
    private static final long STEP = SECOND / 2;

    private record Told(long at, Runnable what) {}

    /** A random day; what it checks at each moment is the same for all days. */
    private static final class Day {
        final Random random;
        final boolean wholeOnly;
        final List<Hierarchy> routers = new ArrayList<>();
        final List<List<Told>> inbox = new ArrayList<>();
        final long[] skew = new long[ROUTERS];
        final Map<String, Unit> target = new TreeMap<>();
        final Set<String> alwaysThere = new HashSet<>();
        long number;
        long version = 1;

        Day(long seed, boolean wholeOnly) {
            random = new Random(seed);
            this.wholeOnly = wholeOnly;
            Topology first = randomShape(1, 0);
            target.putAll(first.units());
            first.units().keySet().stream().filter(n -> n.startsWith("d")).forEach(alwaysThere::add);
            for (int i = 0; i < ROUTERS; i++) {
                skew[i] = random.nextInt((int) (SECOND / 2));
                routers.add(new Hierarchy(first, 0, 0, new Setup("d0", UpdateSource.FEED, TIMING, 0), t -> {}));
                inbox.add(new ArrayList<>());
            }
        }

        /** Hubs in a random order, each filling from some behind it, so that two shapes often disagree. */
        Topology randomShape(long version, long announced) {
            List<String> order = new ArrayList<>();
            for (int i = 0; i < HUBS; i++) {
                if (random.nextInt(6) > 0) {
                    order.add("h" + i);
                }
            }
            java.util.Collections.shuffle(order, random);
            List<String> lines = new ArrayList<>();
            for (int i = 0; i < order.size(); i++) {
                int at = i;
                String above = order.subList(at + 1, order.size()).stream()
                        .filter(h -> random.nextInt(3) == 0)
                        .collect(Collectors.joining(","));
                lines.add(order.get(i) + ":" + (above.isEmpty() ? "o" : above));
            }
            for (int d = 0; d < 2; d++) {
                String hubs = order.stream().filter(h -> random.nextInt(3) == 0).collect(Collectors.joining(","));
                lines.add("d" + d + ":" + (hubs.isEmpty() ? "o" : hubs));
            }
            return Shapes.shape(version, announced, lines.toArray(String[]::new));
        }

        void announce(long now) {
            List<TopologyUpdate> pieces = new ArrayList<>();
            if (wholeOnly || random.nextInt(3) == 0) {
                Topology next = randomShape(++version, now);
                pieces.addAll(Hierarchy.pieces(target, next, number + 1));
                target.clear();
                target.putAll(next.units());
            } else { // one unit by itself, with no care for the others
                String unit = random.nextInt(4) == 0 ? "d" + random.nextInt(2) : "h" + random.nextInt(HUBS);
                boolean removed = unit.startsWith("h") && target.containsKey(unit) && random.nextInt(8) == 0;
                Map<String, Double> parents = new HashMap<>();
                for (int i = 0; i < 1 + random.nextInt(2) && !removed; i++) {
                    String parent = random.nextInt(4) == 0 ? "o" : "h" + random.nextInt(HUBS);
                    if (!parent.equals(unit)) {
                        parents.put(parent, 1.0);
                    }
                }
                if (!removed && parents.isEmpty()) {
                    parents.put("o", 1.0);
                }
                pieces.add(new TopologyUpdate(number + 1, now, ++version, 0, unit, Shapes.kind(unit), parents, removed));
                if (removed) {
                    target.remove(unit);
                } else {
                    target.put(unit, new Unit(unit, Shapes.kind(unit), parents));
                }
            }
            number += pieces.size();
            for (int r = 0; r < ROUTERS; r++) {
                for (TopologyUpdate p : pieces) {
                    tell(r, now, p);
                    if (random.nextInt(5) == 0) {
                        tell(r, now, p);
                    }
                }
            }
        }

        void tell(int r, long now, TopologyUpdate piece) {
            long delay = random.nextInt(10) == 0 ? random.nextInt((int) (20 * SECOND)) : random.nextInt((int) SECOND);
            inbox.get(r).add(new Told(now + delay, () -> routers.get(r).take(clock(r, now + delay), piece)));
        }

        void heartbeat(long now) {
            long last = number;
            for (int r = 0; r < ROUTERS; r++) {
                int router = r;
                if (random.nextInt(4) > 0) {
                    long delay = random.nextInt((int) (2 * SECOND));
                    inbox.get(r).add(new Told(now + delay, () -> routers.get(router)
                            .certain(clock(router, now + delay), now, last)));
                }
            }
        }

        long clock(int r, long now) {
            return now + skew[r];
        }

        void deliver(long now) {
            for (int r = 0; r < ROUTERS; r++) {
                List<Told> due = inbox.get(r).stream()
                        .filter(t -> t.at() <= now)
                        .sorted((a, b) -> Long.compare(a.at(), b.at()))
                        .toList();
                inbox.get(r).removeAll(due);
                due.forEach(t -> t.what().run());
                routers.get(r).advance(clock(r, now));
            }
        }

        void check(long now) {
            Set<Link> union = new HashSet<>();
            for (Hierarchy h : routers) {
                boolean silent = h.snapshot().stage() == Hierarchy.Stage.TOO_OLD;
                assertEquals(silent, h.sources(String::hashCode).lists().isEmpty() && silent);
                Set<Link> links = h.timeline().linksInUse();
                if (!silent) {
                    union.addAll(links);
                }
                if (wholeOnly) {
                    alwaysThere.forEach(d -> assertTrue(Shapes.reaches(links, d, "o"), d + " at " + now));
                }
            }
            assertFalse(Shapes.hasLoop(union), () -> "a loop at " + now + ": " + union);
        }
    }

    private static void play(long seed, boolean wholeOnly) {
        Day day = new Day(seed, wholeOnly);
        long now = 0;
        long quiet = 40 * SECOND;
        for (; now < quiet; now += STEP) {
            if (day.random.nextInt(6) == 0) {
                day.announce(now);
            }
            day.heartbeat(now);
            day.deliver(now);
            day.check(now);
        }
        long end = now + 40 * SECOND + (HUBS + 2) * 3 * (TIMING.move() + 2 * TIMING.gap() + TIMING.remember());
        for (; now < end; now += 4 * STEP) {
            day.heartbeat(now);
            day.deliver(now);
            day.check(now);
        }
        Set<Link> first = day.routers.get(0).timeline().linksInUse();
        Set<Link> wanted = day.target.values().stream()
                .flatMap(u -> u.parents().keySet().stream().map(p -> new Link(u.name(), p)))
                .collect(Collectors.toSet());
        for (Hierarchy h : day.routers) {
            assertEquals(first, h.timeline().linksInUse(), "all follow the same links in the end");
            assertEquals(day.target, h.wanted());
            assertEquals(first.size(), h.timeline().linksInOrder(), "no link is left behind in the order");
        }
        boolean allThere = wanted.stream().allMatch(l -> day.target.containsKey(l.parent()));
        if (!Shapes.hasLoop(wanted) && allThere) {
            assertEquals(
                    wanted,
                    first,
                    () -> "the last shape is reached; "
                            + first.stream()
                                    .map(l -> day.routers.get(0).timeline().describe(l.unit()))
                                    .toList());
        }
    }

    @Property(seed = "20261201")
    void loosePiecesNeverMakeALoopBetweenRouters(@ForAll long seed) {
        play(seed, false);
    }

    @Property(seed = "20261201")
    void wholeShapesNeverMakeALoopNorCutADepotOff(@ForAll long seed) {
        play(seed, true);
    }

    /** Found by ten thousand days: a hub that was told anew had children before it had a way of its own. */
    @Example
    void aHubThatComesBackHasAWayBeforeAnyoneFillsThroughIt() {
        play(-19076687409169L, true);
    }
}
