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
 * One link that comes and goes in a hierarchy of so many links: the order kept up as links arrive, beside a plain
 * walk up from the parent each time. Links are of units that each fill from two of the units above them.
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

    /** Most units at the bottom, as depots and caches are; or all in one deep order, as no operator has them. */
    @Param({"tree", "deep"})
    String form;

    private FillOrder order;
    private Map<String, Set<String>> plain;
    private List<String[]> probes;
    private int next;

    @Setup(Level.Trial)
    public void build() {
        Random random = new Random(7);
        int units = Math.max(4, links / 2);
        List<String[]> all = new ArrayList<>();
        for (int i = 1; i < units; i++) {
            int reach = form.equals("tree") ? Math.max(1, (int) Math.sqrt(i)) : i;
            for (int p = 0; p < 2; p++) {
                all.add(new String[] {"u" + i, "u" + random.nextInt(reach)});
            }
        }
        Collections.shuffle(all, random);
        order = new FillOrder();
        plain = new HashMap<>();
        for (String[] l : all) {
            order.add(l[0], l[1]);
            plain.computeIfAbsent(l[0], k -> new HashSet<>()).add(l[1]);
        }
        probes = new ArrayList<>();
        for (int i = 0; i < 1_024; i++) {
            int child = 1 + random.nextInt(units - 1);
            String[] probe = {
                "u" + child, "u" + random.nextInt(form.equals("tree") ? Math.max(1, (int) Math.sqrt(child)) : child)
            };
            if (!plain.getOrDefault(probe[0], Set.of()).contains(probe[1])) {
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
    public boolean keptOrder() {
        String[] p = probe();
        boolean taken = order.add(p[0], p[1]);
        order.remove(p[0], p[1]);
        return taken;
    }

    @Benchmark
    public boolean plainWalk() {
        String[] p = probe();
        Set<String> seen = new HashSet<>();
        ArrayDeque<String> open = new ArrayDeque<>(List.of(p[1]));
        boolean loop = false;
        while (!open.isEmpty() && !loop) {
            String at = open.poll();
            loop = at.equals(p[0]);
            if (seen.add(at)) {
                open.addAll(plain.getOrDefault(at, Set.of()));
            }
        }
        if (!loop) {
            plain.computeIfAbsent(p[0], k -> new HashSet<>()).add(p[1]);
            plain.get(p[0]).remove(p[1]);
        }
        return !loop;
    }
}
