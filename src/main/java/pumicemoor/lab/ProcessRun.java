package pumicemoor.lab;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import pumicemoor.lab.MemberStandIn.Kind;
import pumicemoor.lab.scale.Sample;
import pumicemoor.lab.scale.ScaleConfig;

/**
 * Measures what its fleet costs a router that is a process of its own, so that the figures of hollow routers can be held
 * against it: so many real programs on loopback, calm, without requests; then the same without a section 'fleet', whose
 * cost is taken off. It owns the processes of the run and must never judge what it measured.
 */
public final class ProcessRun {

    private static final int MOST = 200; // processes
    private static final long MOST_MEMORY = 12 << 20; // KiB that all may hold together
    private static final int AT_ONCE = 16; // that start together
    private static final int LOOKED_INTO = 6; // of each role, whose heap is counted
    private static final int SEEDS = 3;

    /** What one size showed: the roles' costs with the fleet's own alone, the plain process without a fleet, and how it ran. */
    public record Result(
            int routers, List<Sample> samples, Map<String, Double> without, Map<String, Object> parameters) {}

    /** One process over the calm time: its role, and its figures in the units of their names. */
    private record Reading(String role, Map<String, Double> figures) {}

    private final ScaleConfig config;
    private final Path folder;
    private final PrintStream progress;
    private final int size;

    private ProcessRun(ScaleConfig config, int size, Path folder, PrintStream progress) {
        this.config = config;
        this.size = size;
        this.folder = folder;
        this.progress = progress;
    }

    /** Measures each size of a file; leaves NAME-SIZE.json and .md in the folder and gives back the tables. */
    public static String table(Path file, Path folder, PrintStream progress) throws IOException, InterruptedException {
        ScaleConfig config = ScaleConfig.read(file);
        for (int size : config.routers()) {
            if (size > MOST) {
                throw new IOException(file + ": routers: " + size + " is not from 2 to " + MOST + ", as processes");
            }
        }
        Files.createDirectories(folder);
        StringBuilder tables = new StringBuilder();
        for (int size : config.routers()) {
            Result result = new ProcessRun(config, size, folder, progress).measure();
            String name = config.name() + "-" + size;
            Files.writeString(
                    folder.resolve(name + ".json"),
                    new ObjectMapper()
                                    .enable(SerializationFeature.INDENT_OUTPUT)
                                    .writeValueAsString(result) + "\n");
            Files.writeString(folder.resolve(name + ".md"), markdown(result));
            tables.append(markdown(result)).append('\n');
        }
        return tables.toString();
    }

    private Result measure() throws IOException, InterruptedException {
        List<Reading> without = play(false);
        List<Reading> with = play(true);
        Map<String, Double> plain = mean(without);
        Map<String, List<Reading>> roles = new TreeMap<>(with.stream().collect(Collectors.groupingBy(Reading::role)));
        List<Sample> samples = new ArrayList<>();
        roles.forEach((role, readings) -> {
            Map<String, Double> all = mean(readings);
            Map<String, Double> figures = new LinkedHashMap<>();
            figures.put("routers", (double) readings.size());
            all.forEach((name, value) -> {
                if (!plain.containsKey(name)) {
                    figures.put(name, value);
                } else if (value >= 0 && plain.get(name) >= 0) {
                    figures.put(name, value - plain.get(name));
                    figures.put(name + ", whole process", value);
                }
            });
            figures.put(
                    "worst router cpu ms/s, whole process",
                    readings.stream()
                            .mapToDouble(r -> r.figures().get("cpu ms/s"))
                            .max()
                            .orElse(0));
            samples.add(new Sample(role + ", calm, processes", size, figures));
        });
        return new Result(size, samples, plain, parameters());
    }

    private Map<String, Object> parameters() {
        Map<String, Object> p = new LinkedHashMap<>();
        p.put("settle s", config.settle());
        p.put("calm s", config.seconds());
        p.put("period ms", config.periodMillis());
        p.put("lease ms", config.leaseMillis());
        p.put("guard ms", config.guardMillis());
        p.put("caches", config.caches());
        p.put("limits", 1);
        p.put("verdicts", config.verdicts());
        p.put("loss", config.loss());
        p.put("cells", config.cells() == null ? "none" : config.cells().toString());
        p.put("zones", config.cells() == null ? 1 : zones());
        p.put("cores of the machine", Runtime.getRuntime().availableProcessors());
        p.put("virtual machine", String.join(" ", RouterProcess.TIGHT));
        p.put("java", System.getProperty("java.version"));
        p.put("processor time by", "/proc/PID/task/*/schedstat");
        return p;
    }

    private int zones() {
        return Math.min(config.zones(), size);
    }

    private static Map<String, Double> mean(List<Reading> readings) {
        Map<String, Double> mean = new LinkedHashMap<>();
        readings.forEach(r -> r.figures()
                .keySet()
                .forEach(name -> mean.computeIfAbsent(name, n -> readings.stream()
                        .filter(x -> x.figures().containsKey(n))
                        .mapToDouble(x -> x.figures().get(n))
                        .average()
                        .orElse(0))));
        return mean;
    }

    /** Starts all, waits, reads twice and ends all. */
    private List<Reading> play(boolean fleet) throws IOException, InterruptedException {
        Path logs = Files.createDirectories(folder.resolve("logs-" + size + (fleet ? "" : "-without")));
        ExecutorService work = Executors.newCachedThreadPool(r -> {
            Thread t = new Thread(r, "process-run");
            t.setDaemon(true);
            return t;
        });
        List<MemberStandIn> members = new ArrayList<>();
        List<RouterProcess> routers = new ArrayList<>();
        Record record = new Record();
        Scenario scenario = new Scenario(
                config.name(),
                config.seed(),
                1,
                1,
                1,
                size,
                config.caches(),
                1,
                1,
                2_000,
                null,
                null,
                null,
                null,
                null,
                null);
        CoordinatorStandIn coordinator = new CoordinatorStandIn(work, 0, config.seed());
        try (FaultNetwork network = new FaultNetwork(size, config.seed())) {
            network.weather(config.loss(), 0, 0);
            members.add(new MemberStandIn("origin", Kind.ORIGIN, 1, 1, record, n -> null, work));
            for (int i = 0; i < config.caches(); i++) {
                members.add(new MemberStandIn("cache-" + i, Kind.CACHE, 1, 1, record, n -> null, work));
            }
            coordinator.tell("\"endpoints\":{\"generation\":1,\"reset\":true,\"instances\":["
                    + members.stream().map(LabRun::activeLine).collect(Collectors.joining(",")) + "]}");
            long began = System.nanoTime();
            for (int i = 0; i < size; i++) {
                RouterProcess r = new RouterProcess(name(i), logs, null, RouterProcess.TIGHT);
                routers.add(r);
                r.start(
                        LabConfig.json(name(i), i, r.address(), scenario, coordinator.address(), coordinator.known()),
                        "log: {format: json}\n" + (fleet ? section(i, network) : ""));
                if (i % AT_ONCE == AT_ONCE - 1 || i == size - 1) {
                    for (RouterProcess started : routers.subList(i / AT_ONCE * AT_ONCE, i + 1)) {
                        started.awaitReady();
                    }
                }
            }
            checkMemory(routers);
            progress.printf(
                    Locale.ROOT,
                    "%d processes %s a fleet ready after %.1f s%n",
                    size,
                    fleet ? "with" : "without",
                    (System.nanoTime() - began) / 1e9);
            Thread.sleep((long) (config.settle() * 1_000));
            checkMemory(routers);
            return calm(routers, network, fleet);
        } finally {
            routers.forEach(RouterProcess::close);
            for (MemberStandIn m : members) {
                m.close();
            }
            coordinator.close();
            work.shutdownNow();
        }
    }

    private static String name(int i) {
        return String.format("router-%05d", i);
    }

    private void checkMemory(List<RouterProcess> routers) throws IOException {
        long all = routers.stream().mapToLong(RouterProcess::residentKiB).sum();
        progress.printf(Locale.ROOT, "they hold %.2f GB%n", all / 1e6 * 1.024);
        if (all > MOST_MEMORY) {
            throw new IOException(
                    "routers: " + size + " processes hold " + all / 1_024 + " MiB, over " + MOST_MEMORY / 1_024);
        }
    }

    private String section(int i, FaultNetwork network) {
        String cells = config.cells() == null
                ? ""
                : "  cells: {root: zone-" + i * zones() / size + ", most: "
                        + config.cells().most() + ", delegates: "
                        + config.cells().delegates() + "}\n";
        return "fleet:\n  cluster: scale\n  listen: " + network.listen(i) + "\n  advertise: " + network.advertise(i)
                + "\n  seeds: ["
                + IntStream.range(0, Math.min(SEEDS, size))
                        .mapToObj(network::advertise)
                        .collect(Collectors.joining(", "))
                + "]\n  size: " + size + "\n  period-ms: " + config.periodMillis() + "\n  lease-ms: "
                + config.leaseMillis()
                + "\n  guard-ms: " + config.guardMillis()
                + "\n  limits:\n    - {name: origin, members: origin, per-second: 10000}\n"
                + (config.verdicts() ? "  verdicts: {most-out: 0.2, witnesses: 2}\n" : "") + cells;
    }

    /** Two readings of all, the calm time between them. */
    private List<Reading> calm(List<RouterProcess> routers, FaultNetwork network, boolean fleet)
            throws IOException, InterruptedException {
        List<Map<String, String>> statusBefore =
                routers.stream().map(RouterProcess::status).toList();
        List<long[]> countedBefore = new ArrayList<>();
        List<Map<String, Long>> timesBefore = new ArrayList<>();
        List<Long> ticksBefore = new ArrayList<>();
        List<Long> at = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            countedBefore.add(network.counted(i));
            timesBefore.add(routers.get(i).processorTimes());
            ticksBefore.add(routers.get(i).processorMillis());
            at.add(System.nanoTime());
        }
        Thread.sleep((long) (config.seconds() * 1_000));
        List<Reading> readings = new ArrayList<>();
        Map<String, Integer> looked = new TreeMap<>();
        for (int i = 0; i < size; i++) {
            RouterProcess r = routers.get(i);
            Map<String, Long> before = timesBefore.get(i);
            Map<String, Long> after = r.processorTimes();
            double seconds = (System.nanoTime() - at.get(i)) / 1e9;
            double nanos = after.entrySet().stream()
                    .mapToLong(e -> e.getValue() - before.getOrDefault(e.getKey(), 0L))
                    .sum();
            Map<String, Double> f = new LinkedHashMap<>();
            f.put("cpu ms/s", nanos / 1e6 / seconds);
            f.put("cpu ms/s by ticks", (r.processorMillis() - ticksBefore.get(i)) / seconds);
            f.put("resident KiB", (double) r.residentKiB());
            String role = "no fleet";
            if (fleet) {
                long[] out = network.counted(i);
                Map<String, String> status = r.status();
                role = role(name(i), status);
                f.put("bytes out/s", (out[1] - countedBefore.get(i)[1]) / seconds);
                f.put("bytes in/s", (out[3] - countedBefore.get(i)[3]) / seconds);
                f.put("packets out/s", (out[0] - countedBefore.get(i)[0]) / seconds);
                f.put("packets in/s", (out[2] - countedBefore.get(i)[2]) / seconds);
                f.put(
                        "bytes out/s by the router's count",
                        (count(status, "fleet-bytes-out") - count(statusBefore.get(i), "fleet-bytes-out")) / seconds);
                f.put("living known", count(status, "fleet-living"));
            }
            readings.add(new Reading(role, f));
        }
        for (int i = 0; i < size; i++) { // last, since it takes processor time: only what is held after a collection
            if (looked.merge(readings.get(i).role(), 1, Integer::sum) <= LOOKED_INTO) {
                readings.get(i).figures().put("heap bytes", (double)
                        routers.get(i).liveHeap());
            }
        }
        return readings;
    }

    private static double count(Map<String, String> status, String field) {
        return Double.parseDouble(status.getOrDefault(field, "NaN"));
    }

    /** What a router is in its fleet, by what it says of itself; one that does several is the last of them. */
    private static String role(String name, Map<String, String> status) {
        boolean grantor = name.equals(status.get("fleet-grantor"));
        if (!status.containsKey("fleet-cell")) {
            return grantor ? "grantor" : "member";
        }
        return "yes".equals(status.get("fleet-keeper"))
                ? "upper grantor"
                : grantor ? "cell grantor" : "yes".equals(status.get("fleet-delegate")) ? "delegate" : "member";
    }

    private static String markdown(Result r) {
        StringBuilder text = new StringBuilder("# " + r.routers() + " router processes, calm\n\n"
                + r.parameters().entrySet().stream()
                        .map(e -> e.getKey() + ": " + e.getValue())
                        .collect(Collectors.joining("; "))
                + "\n\n");
        List<String> columns = r.samples().stream()
                .flatMap(s -> s.figures().keySet().stream())
                .distinct()
                .toList();
        text.append("| figure, mean of the role | without a fleet |");
        r.samples().forEach(s -> text.append(' ').append(s.role()).append(" |"));
        text.append("\n| --- | --- |")
                .append(" --- |".repeat(r.samples().size()))
                .append('\n');
        for (String c : columns) {
            text.append("| ")
                    .append(c)
                    .append(" | ")
                    .append(number(r.without().get(c.replace(", whole process", ""))))
                    .append(" |");
            r.samples()
                    .forEach(s ->
                            text.append(' ').append(number(s.figures().get(c))).append(" |"));
            text.append('\n');
        }
        return text.append(
                        "\nCost of the fleet alone: the process less the same without a section 'fleet', but for rows that say"
                                + " otherwise. Bytes and packets are counted by the network between them, without headers of UDP and IP.\n")
                .toString();
    }

    private static String number(Double value) {
        return value == null ? "-" : String.format(Locale.ROOT, Math.abs(value) >= 100 ? "%.0f" : "%.3f", value);
    }
}
