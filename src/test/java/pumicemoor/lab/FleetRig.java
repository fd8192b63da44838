package pumicemoor.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.IntFunction;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import pumicemoor.client.FrameClient;
import pumicemoor.lab.MemberStandIn.Kind;
import pumicemoor.lab.Scenario.Change;
import pumicemoor.lab.Scenario.ChangeDelivery;
import pumicemoor.wire.JsonRows;

/**
 * Test fixture: processes of the program with a fault network between them, in front of stand-in caches that log what
 * they receive, with clients that send load.
 */
final class FleetRig implements AutoCloseable {

    final RequestLog requestLog = new RequestLog();
    final FaultNetwork network;
    final List<RouterProcess> routers = new ArrayList<>();
    final List<MemberStandIn> members = new ArrayList<>();
    final LoadClients clients;
    private final ExecutorService executor = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "rig");
        thread.setDaemon(true);
        return thread;
    });
    CoordinatorStandIn coordinator;
    private final Scenario scenario;
    private final IntFunction<String> fleetSections; // last lines of section 'fleet', by router; empty: no section
    private final List<Integer> seeds;
    private final List<String> jvmOptions;
    private final UnaryOperator<String>[] configEdits; // edits of the configuration, assigned to the routers in turn
    private static final UnaryOperator<String>[] NO_CONFIG_EDITS = noConfigEdits();
    private final long startNanos = System.nanoTime();
    private long sentRequests;
    private double loadEndSeconds;
    private long generation = 1;
    private final Map<Integer, Long> loggedBeforeStart = new HashMap<>(); // bytes of log, by router

    @SafeVarargs
    FleetRig(Path folder, int routerCount, int caches, double rate, String fleet, UnaryOperator<String>... configEdits)
            throws Exception {
        this(folder, routerCount, caches, rate, 1, fleet, configEdits);
    }

    /** Creates a rig whose members are in slow start for the given time in milliseconds. */
    @SafeVarargs
    FleetRig(
            Path folder,
            int routerCount,
            int caches,
            double rate,
            int slowStartMillis,
            String fleet,
            UnaryOperator<String>... configEdits)
            throws Exception {
        this(
                folder,
                routerCount,
                routerCount,
                caches,
                rate,
                slowStartMillis,
                router -> fleet,
                routerCount < 2 ? List.of(0) : List.of(0, 1),
                RouterProcess.DEFAULT_JVM_OPTIONS,
                configEdits);
    }

    /**
     * Creates a rig of many small processes and starts the first {@code startedCount} of them; each process has its own
     * last lines of the section 'fleet'.
     */
    static FleetRig ofSmallProcesses(
            Path folder,
            int routerCount,
            int startedCount,
            int caches,
            double rate,
            IntFunction<String> fleetSections,
            List<Integer> seeds)
            throws Exception {
        return new FleetRig(
                folder,
                routerCount,
                startedCount,
                caches,
                rate,
                1,
                fleetSections,
                seeds,
                RouterProcess.SMALL_JVM_OPTIONS,
                NO_CONFIG_EDITS);
    }

    private FleetRig(
            Path folder,
            int routerCount,
            int startedCount,
            int caches,
            double rate,
            int slowStartMillis,
            IntFunction<String> fleetSections,
            List<Integer> seeds,
            List<String> jvmOptions,
            UnaryOperator<String>[] configEdits)
            throws Exception {
        this.fleetSections = fleetSections;
        this.seeds = seeds;
        this.jvmOptions = jvmOptions;
        this.configEdits = configEdits;
        scenario = new Scenario(
                "fleet",
                3,
                60,
                rate,
                4_000,
                routerCount,
                caches,
                1_000,
                2,
                1_500,
                new Change(ChangeDelivery.FEED, 1, 1, 1, slowStartMillis, 1),
                Map.of(),
                Map.of(),
                List.of(),
                null,
                null);
        network = new FaultNetwork(routerCount, 11);
        add("origin", Kind.ORIGIN);
        for (int i = 0; i < caches; i++) {
            add("box-" + i, Kind.CACHE);
        }
        coordinator = new CoordinatorStandIn(executor, 0, 5);
        coordinator.publish("\"endpoints\":{\"generation\":1,\"reset\":true,\"instances\":["
                + members.stream().map(FleetRig::instanceJson).collect(Collectors.joining(",")) + "]}");
        for (int i = 0; i < routerCount; i++) {
            routers.add(new RouterProcess("router-" + i, folder, null, jvmOptions));
        }
        for (int i = 0; i < startedCount; i++) {
            start(i);
        }
        for (RouterProcess router : routers.subList(0, startedCount)) {
            router.awaitReady();
        }
        clients = new LoadClients(
                scenario,
                requestLog,
                routers.stream().map(RouterProcess::address).toList());
    }

    @SafeVarargs
    private static UnaryOperator<String>[] noConfigEdits(UnaryOperator<String>... none) {
        return none;
    }

    private void add(String name, Kind kind) throws IOException {
        members.add(new MemberStandIn(
                name,
                kind,
                scenario.cacheHolds(),
                scenario.fillMillis(),
                requestLog,
                n -> members.stream()
                        .filter(member -> member.name.equals(n))
                        .findFirst()
                        .orElse(null),
                executor));
    }

    private static String instanceJson(MemberStandIn member) {
        return "{\"instanceId\":\"" + member.name + "\",\"hostPort\":\"" + member.address() + "\",\"zone\":\""
                + (member.kind == Kind.CACHE ? "home" : "hub") + "\",\"machineType\":\""
                + member.kind.name().toLowerCase()
                + "\",\"lifecycle\":\"active\",\"weight\":8,\"startedAtMs\":" + member.startedAtMillis + "}";
    }

    void start(int i) throws IOException {
        Path log = routers.get(i).logFile();
        loggedBeforeStart.put(i, Files.exists(log) ? Files.size(log) : 0L);
        String fleet = fleetSections.apply(i);
        String seedAddresses = seeds.stream().map(network::advertisedAddress).collect(Collectors.joining(", "));
        String config = LabConfig.json(
                i, routers.get(i).address(), scenario, coordinator.address(), coordinator.eventsAsJson());
        routers.get(i)
                .start(
                        configEdits.length == 0 ? config : configEdits[i % configEdits.length].apply(config),
                        fleet.isEmpty()
                                ? "log: {format: json}\n"
                                : "log: {format: json}\nfleet:\n  cluster: rig\n  listen: " + network.listenAddress(i)
                                        + "\n  advertise: " + network.advertisedAddress(i) + "\n  seeds: ["
                                        + seedAddresses
                                        + "]\n  size: "
                                        + scenario.routers() + "\n" + fleet);
    }

    /** Waits until a router has logged a line with this text since its latest start. */
    void awaitLogged(int router, String text) throws IOException, InterruptedException {
        Path log = routers.get(router).logFile();
        long before = Files.exists(log) ? loggedBeforeStart.getOrDefault(router, 0L) : 0;
        long deadlineNanos = System.nanoTime() + 30_000_000_000L;
        while (Files.readString(log).substring((int) before).lines().noneMatch(l -> l.contains(text))) {
            if (System.nanoTime() > deadlineNanos) {
                throw new IOException("router " + router + " did not log '" + text + "' within 30 s");
            }
            Thread.sleep(10);
        }
    }

    /**
     * Replaces the coordinator in the configuration file of a router, and closes the old one. The new coordinator
     * publishes all events published so far. The router is not notified.
     */
    void moveCoordinator(int router, CoordinatorStandIn next) throws IOException {
        coordinator.eventFields().forEach(next::publish);
        Path file = routers.get(router).configFile();
        Files.writeString(file, Files.readString(file).replace(coordinator.address(), next.address()));
        CoordinatorStandIn previous = coordinator;
        coordinator = next;
        previous.close();
    }

    /** Publishes to all routers that a member drains. */
    void drain(String member) {
        publishInstance(instanceJson(member(member)).replace("active", "leaving"));
        requestLog.drainStarted(member);
    }

    /** Publishes to all routers that a member accepts requests again. */
    void undrain(String member) {
        publishInstance(instanceJson(member(member)));
    }

    /** Restarts a member with an empty store and publishes that to all routers. */
    void restart(String member) throws IOException {
        member(member).restart();
        publishInstance(instanceJson(member(member)));
    }

    private MemberStandIn member(String name) {
        return members.stream().filter(x -> x.name.equals(name)).findFirst().orElseThrow();
    }

    private void publishInstance(String instance) {
        generation++;
        coordinator.publish(
                "\"endpoints\":{\"generation\":" + generation + ",\"reset\":false,\"instances\":[" + instance + "]}");
    }

    /** Returns a router's response to an operator's command; empty if it does not respond. */
    String command(int router, Map<String, String> fields) {
        String[] address = routers.get(router).address().split(":");
        try (FrameClient client = new FrameClient(address[0], Integer.parseInt(address[1]))) {
            return client.request(1, fields, 2).fields().getOrDefault("said", "");
        } catch (IOException e) {
            return "";
        }
    }

    /** Creates clients that send to some of the routers only. */
    LoadClients clientsOf(List<RouterProcess> selected) {
        return new LoadClients(
                scenario,
                requestLog,
                selected.stream().map(RouterProcess::address).toList());
    }

    /** Sends requests at the scenario's rate for the given time in seconds. */
    void runLoad(double seconds) throws InterruptedException {
        runLoad(seconds, List.of(clients));
    }

    /** Sends requests at the scenario's rate for the given time in seconds; the groups of clients take turns. */
    void runLoad(double seconds, List<LoadClients> groups) throws InterruptedException {
        double endSeconds = (System.nanoTime() - startNanos) / 1e9 + seconds;
        loadEndSeconds = Math.max(loadEndSeconds, (System.nanoTime() - startNanos) / 1e9);
        double startSeconds = loadEndSeconds;
        long sentBefore = sentRequests;
        for (double elapsedSeconds = startSeconds;
                elapsedSeconds < endSeconds;
                elapsedSeconds = (System.nanoTime() - startNanos) / 1e9) {
            while (sentRequests - sentBefore < (elapsedSeconds - startSeconds) * scenario.rate()) {
                groups.get((int) (sentRequests % groups.size())).sendNext();
                sentRequests++;
            }
            Thread.sleep(1);
        }
        loadEndSeconds = endSeconds;
    }

    /** Paused or killed routers. They are not queried, because a query would block the test. */
    final java.util.Set<Integer> unreachable = new java.util.HashSet<>();

    /** Returns the rows that a router shows for a subject; empty if it does not respond. */
    List<Map<String, Object>> rows(int router, String subject) {
        if (unreachable.contains(router)) {
            return List.of();
        }
        String[] address = routers.get(router).address().split(":");
        try (FrameClient client = new FrameClient(address[0], Integer.parseInt(address[1]))) {
            return JsonRows.decode(String.join(
                    "", client.request(1, Map.of("rows", subject), 2).fields().values()));
        } catch (IOException | pumicemoor.wire.InvalidInputException e) {
            return List.of();
        }
    }

    /**
     * Returns the times in milliseconds at which a member received requests; a fill counts at the member it reads from.
     */
    long[] receivedAtMillis(String member) {
        return requestLog.requests().stream()
                .filter(request -> request.member().equals(member))
                .mapToLong(RequestLog.ReceivedRequest::atMillis)
                .sorted()
                .toArray();
    }

    /** Returns the highest number of events within any window of this length. */
    static int maxInWindow(long[] receivedMillis, long windowMillis) {
        int max = 0;
        for (int from = 0, to = 0; to < receivedMillis.length; to++) {
            while (receivedMillis[to] - receivedMillis[from] > windowMillis) {
                from++;
            }
            max = Math.max(max, to - from + 1);
        }
        return max;
    }

    @Override
    public void close() throws Exception {
        routers.forEach(RouterProcess::close);
        clients.close();
        for (MemberStandIn member : members) {
            member.close();
        }
        coordinator.close();
        network.close();
        executor.shutdownNow();
    }
}
