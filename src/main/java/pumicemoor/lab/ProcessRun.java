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
 * Measures what the fleet protocol costs a router that runs as a separate process, as a reference for the figures of
 * simulated routers. It runs router processes on loopback, without requests, first without a section 'fleet' and then
 * with one, and subtracts the cost of the first run. It owns the processes of the run and must not evaluate the
 * results.
 */
public final class ProcessRun {

    private static final int MAX_PROCESSES = 200;
    private static final long MAX_TOTAL_MEMORY_KIB = 12 << 20; // resident memory of all processes
    private static final int CONCURRENT_STARTS = 16;
    private static final int HEAP_SAMPLES_PER_ROLE = 6; // routers of each role whose live heap is measured
    private static final int MAX_SEEDS = 3;

    /**
     * Results for one fleet size: the costs of each role (those of the fleet alone, and those of the whole process),
     * the costs of a process without a fleet, and the parameters of the run.
     */
    public record Result(
            int routers, List<Sample> samples, Map<String, Double> without, Map<String, Object> parameters) {}

    /** Measurement of one process while idle: its role and its figures, in the units that their names give. */
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

    /** Measures each size in the file, writes NAME-SIZE.json and NAME-SIZE.md to the folder, and returns the tables. */
    public static String measureToMarkdown(Path file, Path folder, PrintStream progress)
            throws IOException, InterruptedException {
        ScaleConfig config = ScaleConfig.read(file);
        for (int size : config.routers()) {
            if (size > MAX_PROCESSES) {
                throw new IOException(file + ": routers: " + size + " is not from 2 to " + MAX_PROCESSES
                        + ", the range for separate processes");
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
        List<Reading> readingsWithoutFleet = measureProcesses(false);
        List<Reading> readingsWithFleet = measureProcesses(true);
        Map<String, Double> meanWithoutFleet = mean(readingsWithoutFleet);
        Map<String, List<Reading>> readingsByRole =
                new TreeMap<>(readingsWithFleet.stream().collect(Collectors.groupingBy(Reading::role)));
        List<Sample> samples = new ArrayList<>();
        readingsByRole.forEach((role, readings) -> {
            Map<String, Double> means = mean(readings);
            Map<String, Double> figures = new LinkedHashMap<>();
            figures.put("routers", (double) readings.size());
            means.forEach((name, value) -> {
                if (!meanWithoutFleet.containsKey(name)) {
                    figures.put(name, value);
                } else if (value >= 0 && meanWithoutFleet.get(name) >= 0) {
                    figures.put(name, value - meanWithoutFleet.get(name));
                    figures.put(name + ", whole process", value);
                }
            });
            figures.put(
                    "worst router cpu ms/s, whole process",
                    readings.stream()
                            .mapToDouble(reading -> reading.figures().get("cpu ms/s"))
                            .max()
                            .orElse(0));
            samples.add(new Sample(role + ", calm, processes", size, figures));
        });
        return new Result(size, samples, meanWithoutFleet, parameters());
    }

    private Map<String, Object> parameters() {
        Map<String, Object> parameters = new LinkedHashMap<>();
        parameters.put("settle s", config.settle());
        parameters.put("calm s", config.seconds());
        parameters.put("period ms", config.periodMillis());
        parameters.put("lease ms", config.leaseMillis());
        parameters.put("guard ms", config.guardMillis());
        parameters.put("caches", config.caches());
        parameters.put("limits", 1);
        parameters.put("verdicts", config.verdicts());
        parameters.put("loss", config.loss());
        parameters.put("cells", config.cells() == null ? "none" : config.cells().toString());
        parameters.put("zones", config.cells() == null ? 1 : zones());
        parameters.put("cores of the machine", Runtime.getRuntime().availableProcessors());
        parameters.put("virtual machine", String.join(" ", RouterProcess.SMALL_JVM_OPTIONS));
        parameters.put("java", System.getProperty("java.version"));
        parameters.put("processor time by", "/proc/PID/task/*/schedstat");
        return parameters;
    }

    private int zones() {
        return Math.min(config.zones(), size);
    }

    private static Map<String, Double> mean(List<Reading> readings) {
        Map<String, Double> mean = new LinkedHashMap<>();
        readings.forEach(reading -> reading.figures()
                .keySet()
                .forEach(name -> mean.computeIfAbsent(name, figure -> readings.stream()
                        .filter(other -> other.figures().containsKey(figure))
                        .mapToDouble(other -> other.figures().get(figure))
                        .average()
                        .orElse(0))));
        return mean;
    }

    /** Starts all processes, waits until they have settled, measures them while idle, and stops them. */
    private List<Reading> measureProcesses(boolean withFleet) throws IOException, InterruptedException {
        Path logs = Files.createDirectories(folder.resolve("logs-" + size + (withFleet ? "" : "-without")));
        ExecutorService executor = Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "process-run");
            thread.setDaemon(true);
            return thread;
        });
        List<MemberStandIn> members = new ArrayList<>();
        List<RouterProcess> routers = new ArrayList<>();
        RequestLog requestLog = new RequestLog();
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
        CoordinatorStandIn coordinator = new CoordinatorStandIn(executor, 0, config.seed());
        try (FaultNetwork network = new FaultNetwork(size, config.seed())) {
            network.setImpairments(config.loss(), 0, 0);
            members.add(new MemberStandIn("origin", Kind.ORIGIN, 1, 1, requestLog, name -> null, executor));
            for (int i = 0; i < config.caches(); i++) {
                members.add(new MemberStandIn("cache-" + i, Kind.CACHE, 1, 1, requestLog, name -> null, executor));
            }
            coordinator.publish("\"endpoints\":{\"generation\":1,\"reset\":true,\"instances\":["
                    + members.stream().map(LabRun::activeInstanceJson).collect(Collectors.joining(",")) + "]}");
            long startNanos = System.nanoTime();
            for (int i = 0; i < size; i++) {
                RouterProcess router = new RouterProcess(routerName(i), logs, null, RouterProcess.SMALL_JVM_OPTIONS);
                routers.add(router);
                router.start(
                        LabConfig.json(
                                routerName(i),
                                i,
                                router.address(),
                                scenario,
                                coordinator.address(),
                                coordinator.eventsAsJson()),
                        "log: {format: json}\n" + (withFleet ? fleetSection(i, network) : ""));
                if (i % CONCURRENT_STARTS == CONCURRENT_STARTS - 1 || i == size - 1) {
                    for (RouterProcess started : routers.subList(i / CONCURRENT_STARTS * CONCURRENT_STARTS, i + 1)) {
                        started.awaitReady();
                    }
                }
            }
            checkMemory(routers);
            progress.printf(
                    Locale.ROOT,
                    "%d processes %s a fleet ready after %.1f s%n",
                    size,
                    withFleet ? "with" : "without",
                    (System.nanoTime() - startNanos) / 1e9);
            Thread.sleep((long) (config.settle() * 1_000));
            checkMemory(routers);
            return measureIdle(routers, network, withFleet);
        } finally {
            routers.forEach(RouterProcess::close);
            for (MemberStandIn member : members) {
                member.close();
            }
            coordinator.close();
            executor.shutdownNow();
        }
    }

    private static String routerName(int index) {
        return String.format("router-%05d", index);
    }

    private void checkMemory(List<RouterProcess> routers) throws IOException {
        long totalKiB = routers.stream().mapToLong(RouterProcess::residentKiB).sum();
        progress.printf(Locale.ROOT, "they hold %.2f GB%n", totalKiB / 1e6 * 1.024);
        if (totalKiB > MAX_TOTAL_MEMORY_KIB) {
            throw new IOException("routers: " + size + " processes hold " + totalKiB / 1_024
                    + " MiB of memory; the maximum in MiB is " + MAX_TOTAL_MEMORY_KIB / 1_024);
        }
    }

    private String fleetSection(int i, FaultNetwork network) {
        String cells = config.cells() == null
                ? ""
                : "  cells: {root: zone-" + i * zones() / size + ", most: "
                        + config.cells().most() + ", delegates: "
                        + config.cells().delegates() + "}\n";
        return "fleet:\n  cluster: scale\n  listen: " + network.listenAddress(i) + "\n  advertise: "
                + network.advertisedAddress(i)
                + "\n  seeds: ["
                + IntStream.range(0, Math.min(MAX_SEEDS, size))
                        .mapToObj(network::advertisedAddress)
                        .collect(Collectors.joining(", "))
                + "]\n  size: " + size + "\n  period-ms: " + config.periodMillis() + "\n  lease-ms: "
                + config.leaseMillis()
                + "\n  guard-ms: " + config.guardMillis()
                + "\n  limits:\n    - {name: origin, members: origin, per-second: 10000}\n"
                + (config.verdicts() ? "  verdicts: {most-out: 0.2, witnesses: 2}\n" : "") + cells;
    }

    /** Reads the counters of all processes at the start and the end of the idle period. */
    private List<Reading> measureIdle(List<RouterProcess> routers, FaultNetwork network, boolean withFleet)
            throws IOException, InterruptedException {
        List<Map<String, String>> statusBefore =
                routers.stream().map(RouterProcess::status).toList();
        List<long[]> trafficBefore = new ArrayList<>();
        List<Map<String, Long>> cpuNanosBefore = new ArrayList<>();
        List<Long> tickMillisBefore = new ArrayList<>();
        List<Long> startNanos = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            trafficBefore.add(network.trafficCounters(i));
            cpuNanosBefore.add(routers.get(i).threadCpuNanos());
            tickMillisBefore.add(routers.get(i).processCpuMillis());
            startNanos.add(System.nanoTime());
        }
        Thread.sleep((long) (config.seconds() * 1_000));
        List<Reading> readings = new ArrayList<>();
        Map<String, Integer> heapSamples = new TreeMap<>();
        for (int i = 0; i < size; i++) {
            RouterProcess router = routers.get(i);
            Map<String, Long> nanosBefore = cpuNanosBefore.get(i);
            Map<String, Long> nanosAfter = router.threadCpuNanos();
            double seconds = (System.nanoTime() - startNanos.get(i)) / 1e9;
            double cpuNanos = nanosAfter.entrySet().stream()
                    .mapToLong(entry -> entry.getValue() - nanosBefore.getOrDefault(entry.getKey(), 0L))
                    .sum();
            Map<String, Double> figures = new LinkedHashMap<>();
            figures.put("cpu ms/s", cpuNanos / 1e6 / seconds);
            figures.put("cpu ms/s by ticks", (router.processCpuMillis() - tickMillisBefore.get(i)) / seconds);
            figures.put("resident KiB", (double) router.residentKiB());
            String role = "no fleet";
            if (withFleet) {
                long[] traffic = network.trafficCounters(i);
                Map<String, String> status = router.status();
                role = role(routerName(i), status);
                figures.put("bytes out/s", (traffic[1] - trafficBefore.get(i)[1]) / seconds);
                figures.put("bytes in/s", (traffic[3] - trafficBefore.get(i)[3]) / seconds);
                figures.put("packets out/s", (traffic[0] - trafficBefore.get(i)[0]) / seconds);
                figures.put("packets in/s", (traffic[2] - trafficBefore.get(i)[2]) / seconds);
                figures.put(
                        "bytes out/s by the router's count",
                        (statusNumber(status, "fleet-bytes-out") - statusNumber(statusBefore.get(i), "fleet-bytes-out"))
                                / seconds);
                figures.put("living known", statusNumber(status, "fleet-living"));
            }
            readings.add(new Reading(role, figures));
        }
        for (int i = 0; i < size; i++) { // last: a garbage collection takes CPU time; only live objects are counted
            if (heapSamples.merge(readings.get(i).role(), 1, Integer::sum) <= HEAP_SAMPLES_PER_ROLE) {
                readings.get(i).figures().put("heap bytes", (double)
                        routers.get(i).liveHeapBytes());
            }
        }
        return readings;
    }

    private static double statusNumber(Map<String, String> status, String field) {
        return Double.parseDouble(status.getOrDefault(field, "NaN"));
    }

    /** Returns the role of a router by its own status; a router with several roles gets the highest one. */
    private static String role(String name, Map<String, String> status) {
        boolean grantor = name.equals(status.get("fleet-grantor"));
        if (!status.containsKey("fleet-cell")) {
            return grantor ? "grantor" : "member";
        }
        return "yes".equals(status.get("fleet-keeper"))
                ? "upper grantor"
                : grantor ? "cell grantor" : "yes".equals(status.get("fleet-delegate")) ? "delegate" : "member";
    }

    private static String markdown(Result result) {
        StringBuilder text = new StringBuilder("# " + result.routers() + " router processes, calm\n\n"
                + result.parameters().entrySet().stream()
                        .map(entry -> entry.getKey() + ": " + entry.getValue())
                        .collect(Collectors.joining("; "))
                + "\n\n");
        List<String> columns = result.samples().stream()
                .flatMap(sample -> sample.figures().keySet().stream())
                .distinct()
                .toList();
        text.append("| figure, mean of the role | without a fleet |");
        result.samples()
                .forEach(sample -> text.append(' ').append(sample.role()).append(" |"));
        text.append("\n| --- | --- |")
                .append(" --- |".repeat(result.samples().size()))
                .append('\n');
        for (String column : columns) {
            text.append("| ")
                    .append(column)
                    .append(" | ")
                    .append(formatNumber(result.without().get(column.replace(", whole process", ""))))
                    .append(" |");
            result.samples().forEach(sample -> text.append(' ')
                    .append(formatNumber(sample.figures().get(column)))
                    .append(" |"));
            text.append('\n');
        }
        return text.append(
                        "\nCost of the fleet alone: the process less the same without a section 'fleet', but for rows that say"
                                + " otherwise. Bytes and packets are counted by the network between them, without headers of UDP and IP.\n")
                .toString();
    }

    private static String formatNumber(Double value) {
        return value == null ? "-" : String.format(Locale.ROOT, Math.abs(value) >= 100 ? "%.0f" : "%.3f", value);
    }
}
