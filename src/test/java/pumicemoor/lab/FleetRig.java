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
import pumicemoor.lab.Scenario.Way;
import pumicemoor.wire.Rows;

/** Processes of the program with a fault network between them, before stand-in caches that keep their own record. */
final class FleetRig implements AutoCloseable {

    final Record record = new Record();
    final FaultNetwork network;
    final List<RouterProcess> routers = new ArrayList<>();
    final List<MemberStandIn> members = new ArrayList<>();
    final LoadClients clients;
    private final ExecutorService work = Executors.newCachedThreadPool(r -> {
        Thread t = new Thread(r, "rig");
        t.setDaemon(true);
        return t;
    });
    CoordinatorStandIn coordinator;
    private final Scenario scenario;
    private final IntFunction<String> fleets; // the end of the section, by router; empty: no such section
    private final List<Integer> seeds;
    private final List<String> machine;
    private final UnaryOperator<String>[] shapes; // of the configuration, by router, in turn
    private static final UnaryOperator<String>[] NO_SHAPES = noShapes();
    private final long began = System.nanoTime();
    private long asked;
    private double askedUntil;
    private long generation = 1;
    private final Map<Integer, Long> loggedBeforeStart = new HashMap<>(); // bytes, by router

    @SafeVarargs
    FleetRig(Path folder, int routerCount, int caches, double rate, String fleet, UnaryOperator<String>... shapes)
            throws Exception {
        this(folder, routerCount, caches, rate, 1, fleet, shapes);
    }

    /** One whose members take so many milliseconds to warm. */
    @SafeVarargs
    FleetRig(
            Path folder,
            int routerCount,
            int caches,
            double rate,
            int cold,
            String fleet,
            UnaryOperator<String>... shapes)
            throws Exception {
        this(
                folder,
                routerCount,
                routerCount,
                caches,
                rate,
                cold,
                r -> fleet,
                routerCount < 2 ? List.of(0) : List.of(0, 1),
                RouterProcess.ROOMY,
                shapes);
    }

    /** One of many small processes, of which the first so many are started here; each has its own end of the section. */
    static FleetRig ofMany(
            Path folder,
            int routerCount,
            int started,
            int caches,
            double rate,
            IntFunction<String> fleets,
            List<Integer> seeds)
            throws Exception {
        return new FleetRig(
                folder, routerCount, started, caches, rate, 1, fleets, seeds, RouterProcess.TIGHT, NO_SHAPES);
    }

    private FleetRig(
            Path folder,
            int routerCount,
            int started,
            int caches,
            double rate,
            int cold,
            IntFunction<String> fleets,
            List<Integer> seeds,
            List<String> machine,
            UnaryOperator<String>[] shapes)
            throws Exception {
        this.fleets = fleets;
        this.seeds = seeds;
        this.machine = machine;
        this.shapes = shapes;
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
                new Change(Way.FEED, 1, 1, 1, cold, 1),
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
        coordinator = new CoordinatorStandIn(work, 0, 5);
        coordinator.tell("\"endpoints\":{\"generation\":1,\"reset\":true,\"instances\":["
                + members.stream().map(FleetRig::line).collect(Collectors.joining(",")) + "]}");
        for (int i = 0; i < routerCount; i++) {
            routers.add(new RouterProcess("router-" + i, folder, null, machine));
        }
        for (int i = 0; i < started; i++) {
            start(i);
        }
        for (RouterProcess r : routers.subList(0, started)) {
            r.awaitReady();
        }
        clients = new LoadClients(
                scenario, record, routers.stream().map(RouterProcess::address).toList());
    }

    @SafeVarargs
    private static UnaryOperator<String>[] noShapes(UnaryOperator<String>... none) {
        return none;
    }

    private void add(String name, Kind kind) throws IOException {
        members.add(new MemberStandIn(
                name,
                kind,
                scenario.cacheHolds(),
                scenario.fillMillis(),
                record,
                n -> members.stream().filter(m -> m.name.equals(n)).findFirst().orElse(null),
                work));
    }

    private static String line(MemberStandIn m) {
        return "{\"instanceId\":\"" + m.name + "\",\"hostPort\":\"" + m.address() + "\",\"zone\":\""
                + (m.kind == Kind.CACHE ? "home" : "hub") + "\",\"machineType\":\""
                + m.kind.name().toLowerCase()
                + "\",\"lifecycle\":\"active\",\"weight\":8,\"startedAtMs\":" + m.startedAt + "}";
    }

    void start(int i) throws IOException {
        Path log = routers.get(i).logFile();
        loggedBeforeStart.put(i, Files.exists(log) ? Files.size(log) : 0L);
        String fleet = fleets.apply(i);
        String asked = seeds.stream().map(network::advertise).collect(Collectors.joining(", "));
        String config =
                LabConfig.json(i, routers.get(i).address(), scenario, coordinator.address(), coordinator.known());
        routers.get(i)
                .start(
                        shapes.length == 0 ? config : shapes[i % shapes.length].apply(config),
                        fleet.isEmpty()
                                ? "log: {format: json}\n"
                                : "log: {format: json}\nfleet:\n  cluster: rig\n  listen: " + network.listen(i)
                                        + "\n  advertise: " + network.advertise(i) + "\n  seeds: [" + asked
                                        + "]\n  size: "
                                        + scenario.routers() + "\n" + fleet);
    }

    /** Waits until the log of a router has a line with this text behind all that it logged in earlier starts. */
    void awaitLogged(int router, String text) throws IOException, InterruptedException {
        Path log = routers.get(router).logFile();
        long before = Files.exists(log) ? loggedBeforeStart.getOrDefault(router, 0L) : 0;
        long end = System.nanoTime() + 30_000_000_000L;
        while (Files.readString(log).substring((int) before).lines().noneMatch(l -> l.contains(text))) {
            if (System.nanoTime() > end) {
                throw new IOException("router " + router + " did not log '" + text + "'");
            }
            Thread.sleep(10);
        }
    }

    /** A router's configuration names another coordinator, which knows what was told; the router is told nothing of it. */
    void movesTo(int router, CoordinatorStandIn next) throws IOException {
        coordinator.events().forEach(next::tell);
        Path file = routers.get(router).configFile();
        Files.writeString(file, Files.readString(file).replace(coordinator.address(), next.address()));
        CoordinatorStandIn before = coordinator;
        coordinator = next;
        before.close();
    }

    /** Tells all routers that a member drains. */
    void drain(String member) {
        tell(line(member(member)).replace("active", "leaving"));
        record.drained(member);
    }

    /** Tells all routers that a member takes requests again. */
    void undrain(String member) {
        tell(line(member(member)));
    }

    /** Starts a member anew, with nothing, and tells all routers. */
    void restart(String member) throws IOException {
        member(member).restart();
        tell(line(member(member)));
    }

    private MemberStandIn member(String name) {
        return members.stream().filter(x -> x.name.equals(name)).findFirst().orElseThrow();
    }

    private void tell(String line) {
        generation++;
        coordinator.tell(
                "\"endpoints\":{\"generation\":" + generation + ",\"reset\":false,\"instances\":[" + line + "]}");
    }

    /** What a router says to an operator's command; empty where it does not answer. */
    String command(int router, Map<String, String> fields) {
        String[] address = routers.get(router).address().split(":");
        try (FrameClient client = new FrameClient(address[0], Integer.parseInt(address[1]))) {
            return client.ask(1, fields, 2).fields().getOrDefault("said", "");
        } catch (IOException e) {
            return "";
        }
    }

    /** Clients of some routers alone. */
    LoadClients clientsOf(List<RouterProcess> some) {
        return new LoadClients(
                scenario, record, some.stream().map(RouterProcess::address).toList());
    }

    /** Asks at the scenario's rate for so long, in seconds. */
    void play(double seconds) throws InterruptedException {
        play(seconds, List.of(clients));
    }

    /** The same, the clients taking turns. */
    void play(double seconds, List<LoadClients> turns) throws InterruptedException {
        double end = (System.nanoTime() - began) / 1e9 + seconds;
        askedUntil = Math.max(askedUntil, (System.nanoTime() - began) / 1e9);
        double from = askedUntil;
        long before = asked;
        for (double at = from; at < end; at = (System.nanoTime() - began) / 1e9) {
            while (asked - before < (at - from) * scenario.rate()) {
                turns.get((int) (asked % turns.size())).askNext();
                asked++;
            }
            Thread.sleep(1);
        }
        askedUntil = end;
    }

    /** A paused or dead router is not asked: it would hold up whoever asks. */
    final java.util.Set<Integer> away = new java.util.HashSet<>();

    /** What a router shows of a subject; empty where it does not answer. */
    List<Map<String, Object>> rows(int router, String subject) {
        if (away.contains(router)) {
            return List.of();
        }
        String[] address = routers.get(router).address().split(":");
        try (FrameClient client = new FrameClient(address[0], Integer.parseInt(address[1]))) {
            return Rows.read(String.join(
                    "", client.ask(1, Map.of("rows", subject), 2).fields().values()));
        } catch (IOException | pumicemoor.wire.WireException e) {
            return List.of();
        }
    }

    /** When requests came to a member, by its own record: milliseconds, fills counted at whom they are taken from. */
    long[] cameTo(String member) {
        return record.asked().stream()
                .filter(a -> a.member().equals(member))
                .mapToLong(Record.Asked::at)
                .sorted()
                .toArray();
    }

    /** The most that came within any time of this length. */
    static int most(long[] at, long window) {
        int most = 0;
        for (int from = 0, to = 0; to < at.length; to++) {
            while (at[to] - at[from] > window) {
                from++;
            }
            most = Math.max(most, to - from + 1);
        }
        return most;
    }

    @Override
    public void close() throws Exception {
        routers.forEach(RouterProcess::close);
        clients.close();
        for (MemberStandIn m : members) {
            m.close();
        }
        coordinator.close();
        network.close();
        work.shutdownNow();
    }
}
