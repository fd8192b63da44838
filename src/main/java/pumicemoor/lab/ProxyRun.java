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
import pumicemoor.lab.ProxyStandIn.Done;
import pumicemoor.lab.ProxyStandIn.End;

/**
 * Plays proxies that call the real program for each request while it is killed, ended and reloaded. What a call came to
 * is taken from the proxies' own record, what ran from that of the caches. A proxy asks again, once, for what was not
 * answered or broke, whether or not it has an effect: the program must know better.
 */
final class ProxyRun {

    private static final int ASK_AGAIN_AFTER = 150; // milliseconds
    private static final long WARM = 4_000_000_000L; // nanoseconds, for the proxies' own code to be compiled

    /** What was measured. */
    record Result(
            String name,
            Map<End, Long> ends,
            int callsPerMinute,
            int mostAnswers,
            int mostRunsOfAnEffect,
            int runs,
            long longestMillis,
            int stillOpen,
            int lateWhenWarm,
            int mostOpen,
            long idleMiB,
            long peakMiB,
            double medianMillis,
            double p99Millis,
            double p999Millis) {

        long ended(End end) {
            return ends.getOrDefault(end, 0L);
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
                    ended(End.SERVED),
                    ended(End.REFUSED),
                    ended(End.FAILED),
                    ended(End.NOT_ANSWERED),
                    lateWhenWarm,
                    ended(End.BROKEN),
                    stillOpen,
                    mostAnswers,
                    mostRunsOfAnEffect,
                    runs,
                    mostOpen,
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
    private final Map<String, Integer> effects = new HashMap<>(); // runs of requests with an effect, by id
    private final Set<String> askedAgain = new HashSet<>();
    private int runs;
    private int turns;
    private long began;
    private int mostOpen;
    private long idleMiB;
    private long peakMiB;

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
        Scenario.Proxies p = scenario.proxies();
        ScheduledExecutorService work = Executors.newScheduledThreadPool(64, r -> {
            Thread t = new Thread(r, "lab-proxy");
            t.setDaemon(true);
            return t;
        });
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            port = free.getLocalPort();
        }
        RouterProcess router = new RouterProcess("processor", folder, scenario.cpu());
        String config = LabConfig.json(0, router.address(), scenario, "", known());
        String operator =
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
                        .formatted(port, p.messageTimeout());
        router.start("processor", config, operator);
        awaitListening(port);
        idleMiB = router.residentMiB();
        List<ProxyStandIn> proxies = new ArrayList<>();
        for (int i = 0; i < p.count(); i++) {
            proxies.add(new ProxyStandIn(
                    "proxy-" + i, "127.0.0.1", port, p.messageTimeout(), this::ran, p.cacheMillis(), work));
        }
        Random random = new Random(scenario.seed());
        TreeMap<Double, String> due = new TreeMap<>();
        p.killAt().forEach(at -> due.put(at, "kill"));
        p.endAt().forEach(at -> due.put(at, "end"));
        p.reloadAt().forEach(at -> due.put(at, "reload"));
        began = System.nanoTime();
        int asked = 0;
        for (double at = 0; at < scenario.seconds(); at = (System.nanoTime() - began) / 1e9) {
            while (asked < at * scenario.rate()) {
                ProxyStandIn proxy = proxies.get(asked % proxies.size());
                boolean effect = random.nextDouble() < p.effectShare();
                String object = effect ? "b" + asked : "o" + random.nextInt(scenario.objects());
                proxy.call(
                        (effect ? "b" : "r") + asked,
                        effect ? "POST" : "GET",
                        (effect ? "/booking/" : "/file/") + object,
                        object,
                        1);
                asked++;
            }
            if (!due.isEmpty() && at >= due.firstKey()) {
                String what = due.pollFirstEntry().getValue();
                progress.printf(
                        "  %4.1f s: %s with %d calls open%n",
                        at, what, proxies.stream().mapToInt(ProxyStandIn::open).sum());
                happen(what, router, config, operator);
            }
            askAgain(proxies, work);
            mostOpen = Math.max(
                    mostOpen, proxies.stream().mapToInt(ProxyStandIn::open).sum());
            if (++turns % 200 == 0) {
                peakMiB = Math.max(peakMiB, router.residentMiB());
            }
            Thread.sleep(1);
        }
        int open = 0;
        for (ProxyStandIn proxy : proxies) {
            open += proxy.awaitQuiet(scenario.deadlineMillis() + 2_000L) ? 0 : proxy.open();
        }
        Result result = result(proxies, asked, open);
        proxies.forEach(ProxyStandIn::close);
        router.close();
        work.shutdownNow();
        Files.writeString(folder.resolve("report.md"), result.markdown());
        return result;
    }

    /** What was not answered or broke is asked for once more under the same id, as proxies with a retry policy do. */
    private void askAgain(List<ProxyStandIn> proxies, ScheduledExecutorService work) {
        for (ProxyStandIn proxy : proxies) {
            for (Done d : proxy.takeUnanswered()) {
                if (askedAgain.add(d.id())) {
                    boolean effect = d.id().startsWith("b");
                    work.schedule(
                            () -> proxy.call(
                                    d.id(),
                                    effect ? "POST" : "GET",
                                    (effect ? "/booking/" : "/file/") + d.id(),
                                    d.id(),
                                    2),
                            ASK_AGAIN_AFTER,
                            TimeUnit.MILLISECONDS);
                }
            }
        }
    }

    private synchronized boolean ran(String cache, String object, String id, Map<String, String> told) {
        runs++;
        if (object.startsWith("b")) {
            effects.merge(id, 1, Integer::sum);
        }
        return true;
    }

    private void happen(String what, RouterProcess router, String config, String operator)
            throws IOException, InterruptedException {
        switch (what) {
            case "kill" -> {
                router.kill();
                router.start("processor", config, operator);
            }
            case "end" -> {
                Thread ending = new Thread(() -> {
                    try {
                        router.terminate();
                        router.start("processor", config, operator);
                    } catch (IOException e) {
                        progress.println("  not started again: " + e.getMessage());
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
                ending.setDaemon(true);
                ending.start();
            }
            default -> {
                Files.writeString(
                        router.operatorFile(), operator + "    - {path: \"/new/(?P<object>.+)\", class: file}\n");
                router.hangUp();
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
        throw new IOException("the program does not listen on port " + port);
    }

    private List<String> known() {
        List<String> lines = new ArrayList<>();
        for (int i = 1; i <= Math.max(2, scenario.caches()); i++) {
            lines.add(line("box-" + i, "home", "cache", 9_100 + i));
        }
        lines.add(line("hub-a", "hub", "hub", 9_201));
        lines.add(line("hub-b", "hub", "hub", 9_202));
        lines.add(line("origin", "hub", "origin", 9_301));
        return List.of("{\"index\":1,\"endpoints\":{\"generation\":1,\"reset\":true,\"instances\":["
                + lines.stream().collect(Collectors.joining(",")) + "]}}");
    }

    private static String line(String name, String zone, String kind, int port) {
        return "{\"instanceId\":\"" + name + "\",\"hostPort\":\"127.0.0.1:" + port + "\",\"zone\":\"" + zone
                + "\",\"machineType\":\"" + kind + "\",\"lifecycle\":\"active\",\"weight\":20000,\"startedAtMs\":0}";
    }

    private Result result(List<ProxyStandIn> proxies, int asked, int open) {
        Map<End, Long> ends = new HashMap<>();
        Histogram served = new Histogram(60_000_000, 3);
        long longest = 0;
        int late = 0;
        for (ProxyStandIn proxy : proxies) {
            for (Done d : proxy.done()) {
                ends.merge(d.end(), 1L, Long::sum);
                longest = Math.max(longest, d.micros());
                boolean warm = d.began() - began > WARM;
                late += warm && d.end() == End.NOT_ANSWERED ? 1 : 0;
                if (d.end() == End.SERVED && warm) {
                    served.recordValue(Math.max(1, Math.min(60_000_000, d.micros())));
                }
            }
        }
        synchronized (this) {
            return new Result(
                    scenario.name(),
                    ends,
                    (int) (asked / scenario.seconds() * 60),
                    proxies.stream().mapToInt(ProxyStandIn::mostAnswers).max().orElse(0),
                    effects.values().stream().mapToInt(i -> i).max().orElse(0),
                    runs,
                    longest / 1_000,
                    open,
                    late,
                    mostOpen,
                    idleMiB,
                    peakMiB,
                    served.getValueAtPercentile(50) / 1e3,
                    served.getValueAtPercentile(99) / 1e3,
                    served.getValueAtPercentile(99.9) / 1e3);
        }
    }
}
