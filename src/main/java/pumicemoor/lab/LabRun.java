package pumicemoor.lab;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.Collectors;
import pumicemoor.lab.MemberStandIn.Kind;
import pumicemoor.lab.Scenario.Happening;
import pumicemoor.lab.Scenario.Way;

/**
 * Plays one scenario: starts the stand-ins and the real program, lets clients ask and things happen, ends all and
 * makes the report. It owns the clock of the run and must never judge what it saw.
 */
public final class LabRun {

    private static final long SETTLE = 1_500; // milliseconds, for the last answers
    private static final int WARM = 3; // seconds of load before the scenario's own time begins

    private final Scenario scenario;
    private final Path folder;
    private final PrintStream progress;
    private final Record record = new Record();
    private final ExecutorService work = Executors.newCachedThreadPool(r -> {
        Thread t = new Thread(r, "lab");
        t.setDaemon(true);
        return t;
    });
    private final Map<String, MemberStandIn> members = new LinkedHashMap<>();
    private final List<RouterProcess> routers = new ArrayList<>();
    private final List<Long> changes = new ArrayList<>(); // when a new hierarchy was told, milliseconds
    private CoordinatorStandIn coordinator;
    private Map<String, Map<String, Double>> hubs;
    private Map<String, Double> depot;
    private long version = 1;
    private long pieces;
    private long generation = 1;
    private long announced;

    private LabRun(Scenario scenario, Path folder, PrintStream progress) {
        this.scenario = scenario;
        this.folder = folder;
        this.progress = progress;
        this.hubs = new TreeMap<>(scenario.hubs());
        this.depot = scenario.depot();
    }

    /** Plays the scenario of a file, whichever kind it is, and gives back what was measured as tables for people. */
    public static String table(Path scenario, String by, Path folder, PrintStream progress)
            throws IOException, InterruptedException {
        Scenario read = Scenario.read(scenario);
        return read.proxies() == null
                ? play(scenario, by, folder, progress).markdown()
                : ProxyRun.play(read, folder, progress).markdown();
    }

    /** Plays the scenario of a file, told in that way or, where null, in its own; all that it writes goes to the folder. */
    public static Report play(Path scenario, String by, Path folder, PrintStream progress)
            throws IOException, InterruptedException {
        Scenario read = Scenario.read(scenario);
        return play(by == null ? read : read.told(by), folder, progress);
    }

    static Report play(Scenario scenario, Path folder, PrintStream progress) throws IOException, InterruptedException {
        Files.createDirectories(folder);
        if (scenario.proxies() != null) {
            throw new IOException("the scenario is one of proxies");
        }
        LabRun run = new LabRun(scenario, folder, progress);
        try {
            return run.play();
        } finally {
            run.end();
        }
    }

    private Report play() throws IOException, InterruptedException {
        long seconds = System.nanoTime();
        add("origin", Kind.ORIGIN, 1);
        List<String> hubNames = new ArrayList<>(hubs.keySet());
        scenario.happenings().stream().filter(h -> h.hubs() != null).forEach(h -> h.hubs().keySet().stream()
                .filter(n -> !hubNames.contains(n))
                .forEach(hubNames::add));
        for (String hub : hubNames) {
            add(hub, Kind.HUB, 1_000_000);
        }
        for (int i = 1; i <= scenario.caches(); i++) {
            add("box-" + i, Kind.CACHE, scenario.cacheHolds());
        }
        coordinator = new CoordinatorStandIn(work, scenario.change().jitter(), scenario.seed());
        coordinator.tell(
                list(true, members.values().stream().map(m -> line(m, "active")).toList()));
        announced = System.currentTimeMillis() - 3_600_000;
        for (int i = 0; i < scenario.routers(); i++) {
            RouterProcess router = new RouterProcess("router-" + i, folder, scenario.cpu());
            routers.add(router);
            router.start(config(i), operator());
        }
        for (RouterProcess router : routers) {
            router.awaitReady();
        }
        progress.printf(
                "%s: %d routers, %d caches, %d hubs ready after %.1f s%n",
                scenario.name(),
                routers.size(),
                scenario.caches(),
                hubNames.size(),
                (System.nanoTime() - seconds) / 1e9);
        LoadClients clients = new LoadClients(
                scenario, record, routers.stream().map(RouterProcess::address).toList());
        long began = System.nanoTime();
        List<Happening> due = new ArrayList<>(scenario.happenings());
        due.sort(Comparator.comparingDouble(Happening::at));
        List<Runnable> repairs = new ArrayList<>();
        List<Double> repairAt = new ArrayList<>();
        long asked = 0;
        int told = 0;
        long warmed = 0;
        for (double at = 0; at < WARM + scenario.seconds(); at = (System.nanoTime() - began) / 1e9) {
            while (asked < at * scenario.rate()) {
                clients.askNext();
                asked++;
            }
            if (warmed == 0 && at >= WARM) {
                warmed = record.now();
            }
            if (!due.isEmpty() && at >= WARM + due.get(0).at()) {
                happen(due.remove(0), at, repairs, repairAt);
            }
            for (int i = 0; i < repairs.size(); i++) {
                if (at >= repairAt.get(i)) {
                    repairs.remove(i).run();
                    repairAt.remove(i--);
                }
            }
            if (scenario.change().by() == Way.FEED && (int) (at * 5) > told) {
                told = (int) (at * 5);
                coordinator.certain();
            }
            if ((int) at % 5 == 0 && at - (int) at < 0.002) {
                progress.printf(
                        "  %2.0f s: %d asked, %d done%n",
                        at, asked, clients.done().size());
                Thread.sleep(2);
            }
            Thread.sleep(1);
        }
        for (int i = 0; i < SETTLE / 100; i++) {
            if (scenario.change().by() == Way.FEED) {
                coordinator.certain();
            }
            Thread.sleep(100);
        }
        Map<String, Map<String, String>> status = new LinkedHashMap<>();
        for (int i = 0; i < routers.size(); i++) {
            status.put("router-" + i, routers.get(i).status());
        }
        clients.finish();
        return Report.of(scenario, record, clients.done(), changes, warmed, status, folder);
    }

    private void add(String name, Kind kind, int holds) throws IOException {
        members.put(name, new MemberStandIn(name, kind, holds, scenario.fillMillis(), record, members::get, work));
    }

    private void happen(Happening h, double at, List<Runnable> repairs, List<Double> repairAt)
            throws IOException, InterruptedException {
        if (h.hubs() != null || h.depot() != null) {
            reshape(h);
        }
        if (h.restart() != null) {
            members.get(h.restart()).restart();
            coordinator.tell(list(false, List.of(line(members.get(h.restart()), "active"))));
        }
        if (h.drain() != null) {
            coordinator.tell(list(false, List.of(line(members.get(h.drain()), "leaving"))));
            record.drained(h.drain());
        }
        if (h.purge() != null) {
            members.values().forEach(m -> m.purge(h.purge()));
            coordinator.tell(
                    "\"evict\":{\"ref\":\"" + h.purge() + "\",\"unix_ms\":" + System.currentTimeMillis() + "}");
        }
        if (h.fault() != null) {
            MemberStandIn member = members.get(h.fault().member());
            member.faultMillis = h.fault().millis();
            member.fault = h.fault().kind();
            repairs.add(() -> {
                member.fault = "";
                member.faultMillis = 0;
            });
            repairAt.add(at + h.fault().seconds());
        }
        if (h.killRouter() != null) {
            RouterProcess router = routers.get(h.killRouter());
            router.kill();
            router.start(config(h.killRouter()), operator());
        }
    }

    private void reshape(Happening h) throws IOException, InterruptedException {
        Map<String, Map<String, Double>> old = hubs;
        Map<String, Double> oldDepot = depot;
        String before = shapeYaml("before", 2);
        hubs = h.hubs() == null ? hubs : new TreeMap<>(h.hubs());
        depot = h.depot() == null ? depot : h.depot();
        version++;
        announced = System.currentTimeMillis();
        changes.add(record.now());
        switch (scenario.change().by()) {
            case FEED -> tellPieces(old, oldDepot);
            case FILE -> {
                for (RouterProcess router : routers) {
                    Files.writeString(router.operatorFile(), operator() + before);
                    router.hangUp();
                }
            }
            case RESTART -> {
                announced = 0;
                String shape = operator();
                work.execute(() -> roll(shape));
            }
        }
    }

    /** Restarts one router after the other with a new shape, as an operator without a plan would. */
    private void roll(String operator) {
        try {
            for (int i = 0; i < routers.size(); i++) {
                routers.get(i).terminate();
                routers.get(i).start(config(i), operator);
                routers.get(i).awaitReady();
            }
        } catch (IOException e) {
            progress.println("  a restart failed: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void tellPieces(Map<String, Map<String, Double>> old, Map<String, Double> oldDepot) {
        List<String> told = new ArrayList<>();
        hubs.forEach((hub, parents) -> {
            if (!parents.equals(old.get(hub))) {
                told.add("\"unit\":\"" + hub + "\",\"kind\":\"hub\",\"parents\":" + json(parents));
            }
        });
        if (!depot.equals(oldDepot)) {
            told.add("\"unit\":\"home\",\"kind\":\"depot\",\"parents\":" + json(depot));
        }
        old.keySet().stream()
                .filter(hub -> !hubs.containsKey(hub))
                .forEach(hub -> told.add("\"unit\":\"" + hub + "\",\"kind\":\"hub\",\"removed\":true"));
        for (String piece : told) {
            pieces++;
            coordinator.piece(
                    pieces,
                    "\"piece\":" + pieces + ",\"version\":" + version + ",\"pieces\":" + told.size()
                            + ",\"announced_ms\":" + announced + "," + piece);
        }
    }

    private static String json(Map<String, Double> parents) {
        return parents.entrySet().stream()
                .map(e -> "\"" + e.getKey() + "\":" + e.getValue())
                .collect(Collectors.joining(",", "{", "}"));
    }

    private String list(boolean whole, List<String> lines) {
        return "\"endpoints\":{\"generation\":" + generation++ + ",\"reset\":" + whole + ",\"instances\":["
                + String.join(",", lines) + "]}";
    }

    private static String line(MemberStandIn m, String lifecycle) {
        return "{\"instanceId\":\"" + m.name + "\",\"hostPort\":\"" + m.address() + "\",\"zone\":\""
                + (m.kind == Kind.CACHE ? "home" : "hub") + "\",\"machineType\":\""
                + m.kind.name().toLowerCase(java.util.Locale.ROOT) + "\",\"lifecycle\":\"" + lifecycle
                + "\",\"weight\":8,\"startedAtMs\":"
                + m.startedAt + "}";
    }

    static String activeLine(MemberStandIn m) {
        return line(m, "active");
    }

    private String operator() {
        Scenario.Change c = scenario.change();
        return "hierarchy:\n  news: " + (c.by() == Way.FEED ? "feed" : "file") + "\n  lead-ms: " + c.lead()
                + "\n  move-ms: " + c.move() + "\n  gap-ms: " + c.gap() + "\n"
                + (c.by() == Way.FEED ? "  last-piece: " + pieces + "\n" : "") + shapeYaml("shape", 2);
    }

    private String shapeYaml(String key, int indent) {
        String in = " ".repeat(indent);
        StringBuilder text = new StringBuilder(in + key + ":\n" + in + "  version: " + version + "\n");
        if (announced > 0) {
            text.append(in)
                    .append("  announced: ")
                    .append(java.time.Instant.ofEpochMilli(announced))
                    .append('\n');
        }
        text.append(in).append("  allow-skips: true\n").append(in).append("  origin: origin\n");
        text.append(in).append("  hubs:\n");
        hubs.forEach((hub, parents) -> text.append(in)
                .append("    ")
                .append(hub)
                .append(": {fill-from: ")
                .append(json(parents).replace(":", ": "))
                .append("}\n"));
        text.append(in)
                .append("  depots:\n")
                .append(in)
                .append("    home: {fill-from: ")
                .append(json(depot).replace(":", ": "))
                .append("}\n");
        return text.toString();
    }

    /** The platform's configuration for one router; the events known are those told so far. */
    private String config(int number) {
        List<String> known = coordinator.known();
        return LabConfig.json(number, routers.get(number).address(), scenario, coordinator.address(), known);
    }

    private void end() throws IOException {
        routers.forEach(RouterProcess::close);
        for (MemberStandIn m : members.values()) {
            m.close();
        }
        if (coordinator != null) {
            coordinator.close();
        }
        work.shutdownNow();
    }
}
