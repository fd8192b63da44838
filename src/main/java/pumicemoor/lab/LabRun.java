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
import pumicemoor.lab.Scenario.ChangeDelivery;
import pumicemoor.lab.Scenario.ScheduledEvent;

/**
 * Plays one scenario: starts the stand-ins and the real program, sends the clients' requests, applies the scheduled
 * events, stops everything and builds the report. It owns the clock of the run and must not evaluate the results.
 */
public final class LabRun {

    private static final long SETTLE_MILLIS = 1_500; // time for the last responses to arrive
    private static final int WARM_UP_SECONDS = 3; // load before time 0 of the scenario

    private final Scenario scenario;
    private final Path folder;
    private final PrintStream progress;
    private final RequestLog requestLog = new RequestLog();
    private final ExecutorService executor = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "lab");
        thread.setDaemon(true);
        return thread;
    });
    private final Map<String, MemberStandIn> members = new LinkedHashMap<>();
    private final List<RouterProcess> routers = new ArrayList<>();
    private final List<Long> changeMillis = new ArrayList<>(); // time of each topology change, by the clock of the log
    private CoordinatorStandIn coordinator;
    private Map<String, Map<String, Double>> hubs;
    private Map<String, Double> depot;
    private long topologyVersion = 1;
    private long updateCount; // topology updates published so far
    private long generation = 1; // of the next endpoints event
    private long announcedAtMillis; // since the Unix epoch; 0: topologies are written without an announcement time

    private LabRun(Scenario scenario, Path folder, PrintStream progress) {
        this.scenario = scenario;
        this.folder = folder;
        this.progress = progress;
        this.hubs = new TreeMap<>(scenario.hubs());
        this.depot = scenario.depot();
    }

    /** Plays the scenario in a file, with clients or with proxies, and returns the results as Markdown tables. */
    public static String playToMarkdown(Path scenario, String changesBy, Path folder, PrintStream progress)
            throws IOException, InterruptedException {
        Scenario parsed = Scenario.read(scenario);
        return parsed.proxies() == null
                ? play(scenario, changesBy, folder, progress).markdown()
                : ProxyRun.play(parsed, folder, progress).markdown();
    }

    /**
     * Plays the scenario in a file and writes all output to the folder. Topology changes are delivered by {@code
     * changesBy} (feed, file or restart), or as the scenario says if it is null.
     */
    public static Report play(Path scenario, String changesBy, Path folder, PrintStream progress)
            throws IOException, InterruptedException {
        Scenario parsed = Scenario.read(scenario);
        return play(changesBy == null ? parsed : parsed.withChangesBy(changesBy), folder, progress);
    }

    static Report play(Scenario scenario, Path folder, PrintStream progress) throws IOException, InterruptedException {
        Files.createDirectories(folder);
        if (scenario.proxies() != null) {
            throw new IOException("the scenario describes proxies, not clients");
        }
        LabRun run = new LabRun(scenario, folder, progress);
        try {
            return run.play();
        } finally {
            run.close();
        }
    }

    private Report play() throws IOException, InterruptedException {
        long startNanos = System.nanoTime();
        addMember("origin", Kind.ORIGIN, 1);
        List<String> hubNames = new ArrayList<>(hubs.keySet());
        scenario.happenings().stream()
                .filter(event -> event.hubs() != null)
                .forEach(event -> event.hubs().keySet().stream()
                        .filter(name -> !hubNames.contains(name))
                        .forEach(hubNames::add));
        for (String hub : hubNames) {
            addMember(hub, Kind.HUB, 1_000_000);
        }
        for (int i = 1; i <= scenario.caches(); i++) {
            addMember("box-" + i, Kind.CACHE, scenario.cacheHolds());
        }
        coordinator = new CoordinatorStandIn(executor, scenario.change().jitterMillis(), scenario.seed());
        coordinator.publish(endpointsJson(
                true,
                members.values().stream()
                        .map(member -> instanceJson(member, "active"))
                        .toList()));
        announcedAtMillis = System.currentTimeMillis() - 3_600_000;
        for (int i = 0; i < scenario.routers(); i++) {
            RouterProcess router = new RouterProcess("router-" + i, folder, scenario.cpu());
            routers.add(router);
            router.start(config(i), operatorYaml());
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
                (System.nanoTime() - startNanos) / 1e9);
        LoadClients clients = new LoadClients(
                scenario,
                requestLog,
                routers.stream().map(RouterProcess::address).toList());
        long loadStartNanos = System.nanoTime();
        List<ScheduledEvent> pendingEvents = new ArrayList<>(scenario.happenings());
        pendingEvents.sort(Comparator.comparingDouble(ScheduledEvent::at));
        List<Runnable> repairs = new ArrayList<>();
        List<Double> repairSeconds = new ArrayList<>();
        long sentRequests = 0;
        int topologyCompleteCount = 0;
        long warmUpEndMillis = 0;
        for (double elapsedSeconds = 0;
                elapsedSeconds < WARM_UP_SECONDS + scenario.seconds();
                elapsedSeconds = (System.nanoTime() - loadStartNanos) / 1e9) {
            while (sentRequests < elapsedSeconds * scenario.rate()) {
                clients.sendNext();
                sentRequests++;
            }
            if (warmUpEndMillis == 0 && elapsedSeconds >= WARM_UP_SECONDS) {
                warmUpEndMillis = requestLog.nowMillis();
            }
            if (!pendingEvents.isEmpty()
                    && elapsedSeconds >= WARM_UP_SECONDS + pendingEvents.get(0).at()) {
                applyEvent(pendingEvents.remove(0), elapsedSeconds, repairs, repairSeconds);
            }
            for (int i = 0; i < repairs.size(); i++) {
                if (elapsedSeconds >= repairSeconds.get(i)) {
                    repairs.remove(i).run();
                    repairSeconds.remove(i--);
                }
            }
            if (scenario.change().by() == ChangeDelivery.FEED && (int) (elapsedSeconds * 5) > topologyCompleteCount) {
                topologyCompleteCount = (int) (elapsedSeconds * 5);
                coordinator.publishTopologyComplete();
            }
            if ((int) elapsedSeconds % 5 == 0 && elapsedSeconds - (int) elapsedSeconds < 0.002) {
                progress.printf(
                        "  %2.0f s: %d asked, %d done%n",
                        elapsedSeconds, sentRequests, clients.completed().size());
                Thread.sleep(2);
            }
            Thread.sleep(1);
        }
        for (int i = 0; i < SETTLE_MILLIS / 100; i++) {
            if (scenario.change().by() == ChangeDelivery.FEED) {
                coordinator.publishTopologyComplete();
            }
            Thread.sleep(100);
        }
        Map<String, Map<String, String>> status = new LinkedHashMap<>();
        for (int i = 0; i < routers.size(); i++) {
            status.put("router-" + i, routers.get(i).status());
        }
        clients.finish();
        return Report.of(scenario, requestLog, clients.completed(), changeMillis, warmUpEndMillis, status, folder);
    }

    private void addMember(String name, Kind kind, int capacity) throws IOException {
        members.put(
                name,
                new MemberStandIn(name, kind, capacity, scenario.fillMillis(), requestLog, members::get, executor));
    }

    private void applyEvent(
            ScheduledEvent event, double elapsedSeconds, List<Runnable> repairs, List<Double> repairSeconds)
            throws IOException, InterruptedException {
        if (event.hubs() != null || event.depot() != null) {
            changeTopology(event);
        }
        if (event.restart() != null) {
            members.get(event.restart()).restart();
            coordinator.publish(endpointsJson(false, List.of(instanceJson(members.get(event.restart()), "active"))));
        }
        if (event.drain() != null) {
            coordinator.publish(endpointsJson(false, List.of(instanceJson(members.get(event.drain()), "leaving"))));
            requestLog.drainStarted(event.drain());
        }
        if (event.purge() != null) {
            members.values().forEach(member -> member.purge(event.purge()));
            coordinator.publish(
                    "\"evict\":{\"ref\":\"" + event.purge() + "\",\"unix_ms\":" + System.currentTimeMillis() + "}");
        }
        if (event.fault() != null) {
            MemberStandIn member = members.get(event.fault().member());
            member.faultMillis = event.fault().millis();
            member.fault = event.fault().kind();
            repairs.add(() -> {
                member.fault = "";
                member.faultMillis = 0;
            });
            repairSeconds.add(elapsedSeconds + event.fault().seconds());
        }
        if (event.killRouter() != null) {
            RouterProcess router = routers.get(event.killRouter());
            router.kill();
            router.start(config(event.killRouter()), operatorYaml());
        }
    }

    private void changeTopology(ScheduledEvent event) throws IOException, InterruptedException {
        Map<String, Map<String, Double>> oldHubs = hubs;
        Map<String, Double> oldDepot = depot;
        String previousTopology = topologyYaml("before", 2);
        hubs = event.hubs() == null ? hubs : new TreeMap<>(event.hubs());
        depot = event.depot() == null ? depot : event.depot();
        topologyVersion++;
        announcedAtMillis = System.currentTimeMillis();
        changeMillis.add(requestLog.nowMillis());
        switch (scenario.change().by()) {
            case FEED -> publishTopologyUpdates(oldHubs, oldDepot);
            case FILE -> {
                for (RouterProcess router : routers) {
                    Files.writeString(router.operatorFile(), operatorYaml() + previousTopology);
                    router.reload();
                }
            }
            case RESTART -> {
                announcedAtMillis = 0;
                String operatorFile = operatorYaml();
                executor.execute(() -> restartOneByOne(operatorFile));
            }
        }
    }

    /** Restarts the routers one after the other with a new topology, as an operator without a change plan would. */
    private void restartOneByOne(String operatorFile) {
        try {
            for (int i = 0; i < routers.size(); i++) {
                routers.get(i).terminate();
                routers.get(i).start(config(i), operatorFile);
                routers.get(i).awaitReady();
            }
        } catch (IOException e) {
            progress.println("  a restart failed: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void publishTopologyUpdates(Map<String, Map<String, Double>> oldHubs, Map<String, Double> oldDepot) {
        List<String> updates = new ArrayList<>();
        hubs.forEach((hub, parents) -> {
            if (!parents.equals(oldHubs.get(hub))) {
                updates.add("\"unit\":\"" + hub + "\",\"kind\":\"hub\",\"parents\":" + json(parents));
            }
        });
        if (!depot.equals(oldDepot)) {
            updates.add("\"unit\":\"home\",\"kind\":\"depot\",\"parents\":" + json(depot));
        }
        oldHubs.keySet().stream()
                .filter(hub -> !hubs.containsKey(hub))
                .forEach(hub -> updates.add("\"unit\":\"" + hub + "\",\"kind\":\"hub\",\"removed\":true"));
        for (String update : updates) {
            updateCount++;
            coordinator.publishTopologyUpdate(
                    updateCount,
                    "\"piece\":" + updateCount + ",\"version\":" + topologyVersion + ",\"pieces\":" + updates.size()
                            + ",\"announced_ms\":" + announcedAtMillis + "," + update);
        }
    }

    private static String json(Map<String, Double> parents) {
        return parents.entrySet().stream()
                .map(entry -> "\"" + entry.getKey() + "\":" + entry.getValue())
                .collect(Collectors.joining(",", "{", "}"));
    }

    private String endpointsJson(boolean complete, List<String> instances) {
        return "\"endpoints\":{\"generation\":" + generation++ + ",\"reset\":" + complete + ",\"instances\":["
                + String.join(",", instances) + "]}";
    }

    private static String instanceJson(MemberStandIn member, String lifecycle) {
        return "{\"instanceId\":\"" + member.name + "\",\"hostPort\":\"" + member.address() + "\",\"zone\":\""
                + (member.kind == Kind.CACHE ? "home" : "hub") + "\",\"machineType\":\""
                + member.kind.name().toLowerCase(java.util.Locale.ROOT) + "\",\"lifecycle\":\"" + lifecycle
                + "\",\"weight\":8,\"startedAtMs\":"
                + member.startedAtMillis + "}";
    }

    static String activeInstanceJson(MemberStandIn member) {
        return instanceJson(member, "active");
    }

    private String operatorYaml() {
        Scenario.Change change = scenario.change();
        return "hierarchy:\n  news: " + (change.by() == ChangeDelivery.FEED ? "feed" : "file") + "\n  lead-ms: "
                + change.leadMillis()
                + "\n  move-ms: " + change.moveMillis() + "\n  gap-ms: " + change.gapMillis() + "\n"
                + (change.by() == ChangeDelivery.FEED ? "  last-piece: " + updateCount + "\n" : "")
                + topologyYaml("shape", 2);
    }

    private String topologyYaml(String key, int indent) {
        String padding = " ".repeat(indent);
        StringBuilder text =
                new StringBuilder(padding + key + ":\n" + padding + "  version: " + topologyVersion + "\n");
        if (announcedAtMillis > 0) {
            text.append(padding)
                    .append("  announced: ")
                    .append(java.time.Instant.ofEpochMilli(announcedAtMillis))
                    .append('\n');
        }
        text.append(padding).append("  allow-skips: true\n").append(padding).append("  origin: origin\n");
        text.append(padding).append("  hubs:\n");
        hubs.forEach((hub, parents) -> text.append(padding)
                .append("    ")
                .append(hub)
                .append(": {fill-from: ")
                .append(json(parents).replace(":", ": "))
                .append("}\n"));
        text.append(padding)
                .append("  depots:\n")
                .append(padding)
                .append("    home: {fill-from: ")
                .append(json(depot).replace(":", ": "))
                .append("}\n");
        return text.toString();
    }

    /** Returns the platform's configuration for one router, in which all events published so far are known. */
    private String config(int index) {
        List<String> knownEvents = coordinator.eventsAsJson();
        return LabConfig.json(index, routers.get(index).address(), scenario, coordinator.address(), knownEvents);
    }

    private void close() throws IOException {
        routers.forEach(RouterProcess::close);
        for (MemberStandIn member : members.values()) {
            member.close();
        }
        if (coordinator != null) {
            coordinator.close();
        }
        executor.shutdownNow();
    }
}
