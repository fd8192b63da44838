package pumicemoor.hierarchy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Adds and removes one link in a hierarchy with the given number of links: the online topological order compared with
 * a search from the parent upstream each time. Each unit fills from two of the units above it.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class FillOrderBenchmark {

    @Param({"10", "1000", "100000"})
    int links;

    /**
     * In a tree most units are at the bottom, like depots and caches; in the deep form a unit may have any unit before
     * it as a parent, so that paths are far longer than in a real deployment.
     */
    @Param({"tree", "deep"})
    String form;

    private FillOrder order;
    private Map<String, Set<String>> linksByUnit;
    private List<String[]> probes;
    private int next;

    @Setup(Level.Trial)
    public void build() {
        Random random = new Random(7);
        int units = Math.max(4, links / 2);
        List<String[]> allLinks = new ArrayList<>();
        for (int unit = 1; unit < units; unit++) {
            int parentRange = form.equals("tree") ? Math.max(1, (int) Math.sqrt(unit)) : unit;
            for (int i = 0; i < 2; i++) {
                allLinks.add(new String[] {"u" + unit, "u" + random.nextInt(parentRange)});
            }
        }
        Collections.shuffle(allLinks, random);
        order = new FillOrder();
        linksByUnit = new HashMap<>();
        for (String[] link : allLinks) {
            order.add(link[0], link[1]);
            linksByUnit.computeIfAbsent(link[0], k -> new HashSet<>()).add(link[1]);
        }
        probes = new ArrayList<>();
        for (int i = 0; i < 1_024; i++) {
            int child = 1 + random.nextInt(units - 1);
            String[] probe = {
                "u" + child, "u" + random.nextInt(form.equals("tree") ? Math.max(1, (int) Math.sqrt(child)) : child)
            };
            if (!linksByUnit.getOrDefault(probe[0], Set.of()).contains(probe[1])) {
                probes.add(probe);
            }
        }
        if (probes.isEmpty()) {
            probes.add(new String[] {"fresh", "u0"});
        }
    }

    private String[] probe() {
        next = (next + 1) % probes.size();
        return probes.get(next);
    }

    @Benchmark
    public boolean onlineOrder() {
        String[] probe = probe();
        boolean added = order.add(probe[0], probe[1]);
        order.remove(probe[0], probe[1]);
        return added;
    }

    @Benchmark
    public boolean searchFromParent() {
        String[] probe = probe();
        Set<String> seen = new HashSet<>();
        ArrayDeque<String> open = new ArrayDeque<>(List.of(probe[1]));
        boolean loop = false;
        while (!open.isEmpty() && !loop) {
            String current = open.poll();
            loop = current.equals(probe[0]);
            if (seen.add(current)) {
                open.addAll(linksByUnit.getOrDefault(current, Set.of()));
            }
        }
        if (!loop) {
            linksByUnit.computeIfAbsent(probe[0], k -> new HashSet<>()).add(probe[1]);
            linksByUnit.get(probe[0]).remove(probe[1]);
        }
        return !loop;
    }
}
