package pumicemoor.lab;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;
import pumicemoor.lab.ProxyStandIn.CallOutcome;
import pumicemoor.lab.ProxyStandIn.CompletedCall;

/**
 * Plays proxies that call the real program for each request while it is killed, terminated and reloaded. The outcomes
 * of calls are taken from the records of the proxies, and the requests that ran from those of the caches. A proxy
 * retries a call once if it was not answered or its stream broke, whether or not the request has a side effect: the
 * program itself must not let a side effect run twice.
 */
final class ProxyRun {

    private static final int RETRY_DELAY_MILLIS = 150;
    private static final long WARM_UP_NANOS = 4_000_000_000L; // until the proxies' own code is compiled
    private static final long MAX_RECORDED_MICROS = 60_000_000; // highest value of the histogram

    /** Results of a run. */
    record Result(
            String name,
            Map<CallOutcome, Long> countsByOutcome,
            int callsPerMinute,
            int maxAnswersPerCall,
            int maxRunsOfOneEffect,
            int runs,
            long longestMillis,
            int openAtEnd,
            int unansweredAfterWarmUp,
            int maxOpenCalls,
            long idleMiB,
            long peakMiB,
            double medianMillis,
            double p99Millis,
            double p999Millis) {

        long count(CallOutcome outcome) {
            return countsByOutcome.getOrDefault(outcome, 0L);
        }

        String markdown() {
            return String.format(
                    Locale.ROOT,
                    "# %s%n%n| from the records of proxies and caches | |%n| --- | --- |%n"
                            + "| calls a minute | %d |%n| served, refused, failed | %d, %d, %d |%n"
                            + "| not answered within the message time-out (of these after the first 4 s), broken | %d (%d), %d |%n"
                            + "| still open at the end | %d |%n| most answers to one call's request | %d |%n"
                            + "| most runs of one request with an effect | %d of %d runs in all |%n"
                            + "| most calls open; memory of the program before, and at most | %d; %d, %d MiB |%n"
                            + "| longest call | %d ms |%n| served calls after the first 4 s, median, 99th, 99.9th percentile | %.2f, %.2f, %.2f ms |%n",
                    name,
                    callsPerMinute,
                    count(CallOutcome.SERVED),
                    count(CallOutcome.REFUSED),
                    count(CallOutcome.FAILED),
                    count(CallOutcome.NOT_ANSWERED),
                    unansweredAfterWarmUp,
                    count(CallOutcome.BROKEN),
                    openAtEnd,
                    maxAnswersPerCall,
                    maxRunsOfOneEffect,
                    runs,
                    maxOpenCalls,
                    idleMiB,
                    peakMiB,
                    longestMillis,
                    medianMillis,
                    p99Millis,
                    p999Millis);
        }
    }

    private final Scenario scenario;
    private final Path folder;
    private final PrintStream progress;
    private final Map<String, Integer> effectRuns = new HashMap<>(); // runs of requests with a side effect, by id
    private final Set<String> retriedIds = new HashSet<>();
    private int runs; // requests that reached a cache
    private int iterations;
    private long startNanos;
    private int maxOpenCalls;
    private long idleMiB; // resident memory of the program before the first call
    private long peakMiB; // highest resident memory during the run

    private ProxyRun(Scenario scenario, Path folder, PrintStream progress) {
        this.scenario = scenario;
        this.folder = folder;
        this.progress = progress;
    }

    static Result play(Scenario scenario, Path folder, PrintStream progress) throws IOException, InterruptedException {
        Files.createDirectories(folder);
        return new ProxyRun(scenario, folder, progress).play();
    }

    private Result play() throws IOException, InterruptedException {
        Scenario.Proxies parameters = scenario.proxies();
        ScheduledExecutorService executor = Executors.newScheduledThreadPool(64, task -> {
            Thread thread = new Thread(task, "lab-proxy");
            thread.setDaemon(true);
            return thread;
        });
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            port = free.getLocalPort();
        }
        RouterProcess router = new RouterProcess("processor", folder, scenario.cpu());
        String config = LabConfig.json(0, router.address(), scenario, "", knownEvents());
        String operatorYaml =
                """
                processor:
                  listen: 127.0.0.1:%d
                  message-timeout-ms: %d
                  calls-per-second: 100000
                  calls-per-connection: 20000
                  open-calls: 40000
                  rules:
                    - {method: GET, path: "/file/(?P<object>.+)", class: file}
                    - {method: POST, path: "/booking/(?P<object>.+)", class: booking}
                """
                        .formatted(port, parameters.messageTimeoutMillis());
        router.start("processor", config, operatorYaml);
        awaitListening(port);
        idleMiB = router.residentMiB();
        List<ProxyStandIn> proxies = new ArrayList<>();
        for (int i = 0; i < parameters.count(); i++) {
            proxies.add(new ProxyStandIn(
                    "proxy-" + i,
                    "127.0.0.1",
                    port,
                    parameters.messageTimeoutMillis(),
                    this::requestRan,
                    parameters.cacheMillis(),
                    executor));
        }
        Random random = new Random(scenario.seed());
        TreeMap<Double, String> pendingActions = new TreeMap<>();
        parameters.killAt().forEach(elapsedSeconds -> pendingActions.put(elapsedSeconds, "kill"));
        parameters.endAt().forEach(elapsedSeconds -> pendingActions.put(elapsedSeconds, "end"));
        parameters.reloadAt().forEach(elapsedSeconds -> pendingActions.put(elapsedSeconds, "reload"));
        startNanos = System.nanoTime();
        int sentCalls = 0;
        for (double elapsedSeconds = 0;
                elapsedSeconds < scenario.seconds();
                elapsedSeconds = (System.nanoTime() - startNanos) / 1e9) {
            while (sentCalls < elapsedSeconds * scenario.rate()) {
                ProxyStandIn proxy = proxies.get(sentCalls % proxies.size());
                boolean sideEffect = random.nextDouble() < parameters.effectShare();
                String object = sideEffect ? "b" + sentCalls : "o" + random.nextInt(scenario.objects());
                proxy.call(
                        (sideEffect ? "b" : "r") + sentCalls,
                        sideEffect ? "POST" : "GET",
                        (sideEffect ? "/booking/" : "/file/") + object,
                        object,
                        1);
                sentCalls++;
            }
            if (!pendingActions.isEmpty() && elapsedSeconds >= pendingActions.firstKey()) {
                String action = pendingActions.pollFirstEntry().getValue();
                progress.printf(
                        "  %4.1f s: %s with %d calls open%n",
                        elapsedSeconds,
                        action,
                        proxies.stream().mapToInt(ProxyStandIn::openCalls).sum());
                applyAction(action, router, config, operatorYaml);
            }
            retryUnanswered(proxies, executor);
            maxOpenCalls = Math.max(
                    maxOpenCalls,
                    proxies.stream().mapToInt(ProxyStandIn::openCalls).sum());
            if (++iterations % 200 == 0) {
                peakMiB = Math.max(peakMiB, router.residentMiB());
            }
            Thread.sleep(1);
        }
        int openCalls = 0;
        for (ProxyStandIn proxy : proxies) {
            openCalls += proxy.awaitIdle(scenario.deadlineMillis() + 2_000L) ? 0 : proxy.openCalls();
        }
        Result result = result(proxies, sentCalls, openCalls);
        proxies.forEach(ProxyStandIn::close);
        router.close();
        executor.shutdownNow();
        Files.writeString(folder.resolve("report.md"), result.markdown());
        return result;
    }

    /** Retries unanswered and broken calls once under the same id, as proxies with a retry policy do. */
    private void retryUnanswered(List<ProxyStandIn> proxies, ScheduledExecutorService executor) {
        for (ProxyStandIn proxy : proxies) {
            for (CompletedCall call : proxy.takeUnanswered()) {
                if (retriedIds.add(call.id())) {
                    boolean sideEffect = call.id().startsWith("b");
                    executor.schedule(
                            () -> proxy.call(
                                    call.id(),
                                    sideEffect ? "POST" : "GET",
                                    (sideEffect ? "/booking/" : "/file/") + call.id(),
                                    call.id(),
                                    2),
                            RETRY_DELAY_MILLIS,
                            TimeUnit.MILLISECONDS);
                }
            }
        }
    }

    private synchronized boolean requestRan(
            String cache, String object, String id, Map<String, String> responseHeaders) {
        runs++;
        if (object.startsWith("b")) {
            effectRuns.merge(id, 1, Integer::sum);
        }
        return true;
    }

    private void applyAction(String action, RouterProcess router, String config, String operatorYaml)
            throws IOException, InterruptedException {
        switch (action) {
            case "kill" -> {
                router.kill();
                router.start("processor", config, operatorYaml);
            }
            case "end" -> {
                Thread terminator = new Thread(() -> {
                    try {
                        router.terminate();
                        router.start("processor", config, operatorYaml);
                    } catch (IOException e) {
                        progress.println("  the program could not be restarted: " + e.getMessage());
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
                terminator.setDaemon(true);
                terminator.start();
            }
            default -> {
                Files.writeString(
                        router.operatorFile(), operatorYaml + "    - {path: \"/new/(?P<object>.+)\", class: file}\n");
                router.reload();
            }
        }
    }

    private static void awaitListening(int port) throws IOException, InterruptedException {
        for (int i = 0; i < 400; i++) {
            try (Socket probe = new Socket()) {
                probe.connect(new InetSocketAddress("127.0.0.1", port), 200);
                return;
            } catch (IOException e) {
                Thread.sleep(50);
            }
        }
        throw new IOException("the program does not accept connections on port " + port);
    }

    private List<String> knownEvents() {
        List<String> instances = new ArrayList<>();
        for (int i = 1; i <= Math.max(2, scenario.caches()); i++) {
            instances.add(instanceJson("box-" + i, "home", "cache", 9_100 + i));
        }
        instances.add(instanceJson("hub-a", "hub", "hub", 9_201));
        instances.add(instanceJson("hub-b", "hub", "hub", 9_202));
        instances.add(instanceJson("origin", "hub", "origin", 9_301));
        return List.of("{\"index\":1,\"endpoints\":{\"generation\":1,\"reset\":true,\"instances\":["
                + instances.stream().collect(Collectors.joining(",")) + "]}}");
    }

    private static String instanceJson(String name, String zone, String kind, int port) {
        return "{\"instanceId\":\"" + name + "\",\"hostPort\":\"127.0.0.1:" + port + "\",\"zone\":\"" + zone
                + "\",\"machineType\":\"" + kind + "\",\"lifecycle\":\"active\",\"weight\":20000,\"startedAtMs\":0}";
    }

    private Result result(List<ProxyStandIn> proxies, int sentCalls, int openCalls) {
        Map<CallOutcome, Long> countsByOutcome = new HashMap<>();
        Histogram served = new Histogram(MAX_RECORDED_MICROS, 3);
        long longestMicros = 0;
        int unanswered = 0;
        for (ProxyStandIn proxy : proxies) {
            for (CompletedCall call : proxy.completed()) {
                countsByOutcome.merge(call.outcome(), 1L, Long::sum);
                longestMicros = Math.max(longestMicros, call.micros());
                boolean warmedUp = call.startNanos() - startNanos > WARM_UP_NANOS;
                unanswered += warmedUp && call.outcome() == CallOutcome.NOT_ANSWERED ? 1 : 0;
                if (call.outcome() == CallOutcome.SERVED && warmedUp) {
                    served.recordValue(Math.max(1, Math.min(MAX_RECORDED_MICROS, call.micros())));
                }
            }
        }
        synchronized (this) {
            return new Result(
                    scenario.name(),
                    countsByOutcome,
                    (int) (sentCalls / scenario.seconds() * 60),
                    proxies.stream()
                            .mapToInt(ProxyStandIn::maxAnswersPerCall)
                            .max()
                            .orElse(0),
                    effectRuns.values().stream().mapToInt(i -> i).max().orElse(0),
                    runs,
                    longestMicros / 1_000,
                    openCalls,
                    unanswered,
                    maxOpenCalls,
                    idleMiB,
                    peakMiB,
                    served.getValueAtPercentile(50) / 1e3,
                    served.getValueAtPercentile(99) / 1e3,
                    served.getValueAtPercentile(99.9) / 1e3);
        }
    }
}
