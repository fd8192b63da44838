package pumicemoor.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pumicemoor.client.FrameClient;
import pumicemoor.node.NodeTestConfig;

/** The command line as a user meets it: output and exit code of a process of its own. */
class MainTest {

    @TempDir
    Path folder;

    private record Ended(int code, String out, String err) {}

    private Ended run(String config, String... words) throws IOException, InterruptedException {
        int code = start(config, words).waitFor();
        return new Ended(
                code,
                Files.readString(folder.resolve("out"), StandardCharsets.UTF_8),
                Files.readString(folder.resolve("err"), StandardCharsets.UTF_8));
    }

    private Process start(String config, String... words) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                Main.class.getName()));
        command.addAll(List.of(words));
        Path out = folder.resolve("out");
        Path err = folder.resolve("err");
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectOutput(out.toFile())
                .redirectError(err.toFile())
                .redirectInput(Files.writeString(folder.resolve("in"), "").toFile());
        builder.environment().remove("RELAY_CONFIG");
        if (config != null) {
            builder.environment()
                    .put(
                            "RELAY_CONFIG",
                            Files.writeString(folder.resolve("config.json"), config)
                                    .toString());
        }
        return builder.start();
    }

    @Test
    void askedToEndServeLogsItsCountersAndGoes() throws Exception {
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            port = free.getLocalPort();
        }
        Process router = start(NodeTestConfig.json("127.0.0.1:" + port, ""), "serve");
        try {
            FrameClient.Answer state = null;
            while (state == null && router.isAlive()) {
                try (FrameClient client = new FrameClient("127.0.0.1", port)) {
                    state = client.ask(1, Map.of(), 2);
                } catch (ConnectException e) {
                    Thread.sleep(20); // it does not listen yet
                }
            }
            assertEquals(0, state.code(), "without members it is not ready");
            assertEquals(Map.of(), state.fields());
            router.destroy();
            assertEquals(0, router.waitFor());
            String log = Files.readString(folder.resolve("err"), StandardCharsets.UTF_8);
            assertTrue(log.contains("counters: connections=1"), log);
        } finally {
            router.destroyForcibly();
        }
    }

    @Test
    void theLogIsJsonWhereTheOperatorSaysSo() throws Exception {
        String operator = Files.writeString(folder.resolve("operator.yaml"), "log: {format: json}\n")
                .toString();
        Process router = start(NodeTestConfig.json("127.0.0.1:0", ""), "serve", "--operator", operator);
        try {
            while (router.isAlive() && !Files.readString(folder.resolve("err")).contains("listens on")) {
                Thread.sleep(20);
            }
        } finally {
            router.destroy();
        }
        assertEquals(0, router.waitFor());
        for (String line : Files.readAllLines(folder.resolve("err"))) {
            assertTrue(line.startsWith("{") && line.endsWith("}") && line.contains("\"level\":\"INFO\""), line);
        }
    }

    /** Sends SIGHUP and waits for the counter that must grow by it; fails when the router ends instead. */
    private void reload(Process router, int port, String counter, String count) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("/bin/sh", "-c", "kill -HUP " + router.pid())
                        .start()
                        .waitFor());
        String seen = "";
        while (!seen.equals(count)) {
            assertTrue(router.isAlive(), "ended by SIGHUP");
            try (FrameClient client = new FrameClient("127.0.0.1", port)) {
                seen = client.ask(1, Map.of("counters", "1"), 2).fields().get(counter);
            }
        }
    }

    @Test
    void hangupReadsTheConfigurationAgainAndKeepsTheOldOneIfItCannotBeUsed() throws Exception {
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
                ServerSocket first = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"));
                ServerSocket second = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"))) {
            port = free.getLocalPort();
            free.close();
            String before = NodeTestConfig.json("127.0.0.1:" + port, "127.0.0.1:" + first.getLocalPort());
            Path config = folder.resolve("config.json");
            Process router = start(before, "serve");
            try {
                first.accept().getInputStream().read();
                boolean listens = false;
                while (!listens && router.isAlive()) {
                    try {
                        new FrameClient("127.0.0.1", port).close();
                        listens = true;
                    } catch (ConnectException e) {
                        Thread.sleep(20);
                    }
                }
                String[] bad = {
                    "",
                    before.substring(0, 200),
                    before.replace("\"listen\":\"127.0.0.1:" + port, "\"listen\":\"127.0.0.1:1"),
                    before.replace("\"max-open\":1000", "\"max-open\":9")
                };
                for (int i = 0; i < bad.length; i++) {
                    Files.writeString(config, bad[i]);
                    reload(router, port, "reloads-refused", Integer.toString(i + 1));
                }
                Files.delete(config);
                reload(router, port, "reloads-refused", "5");
                Files.writeString(
                        config, NodeTestConfig.json("127.0.0.1:" + port, "127.0.0.1:" + second.getLocalPort()));
                reload(router, port, "reloads", "1");
                second.setSoTimeout(20_000);
                assertEquals('G', second.accept().getInputStream().read(), "the new coordinator is asked");
            } finally {
                router.destroy();
            }
            assertEquals(0, router.waitFor());
        }
    }

    @Test
    void noOrAnUnknownCommandPrintsTheUsage() throws Exception {
        for (String[] words : new String[][] {{}, {"dance"}, {"version", "now"}}) {
            Ended ended = run(null, words);
            assertEquals(2, ended.code());
            assertTrue(ended.err().contains("usage: java -jar pumicemoor.jar COMMAND"), ended.err());
            assertEquals("", ended.out());
        }
    }

    @Test
    void versionIsPrinted() throws Exception {
        Ended ended = run(null, "version");
        assertEquals(0, ended.code());
        assertTrue(ended.out().startsWith("pumicemoor "), ended.out());
    }

    @Test
    void aRouterCheckedByItselfServesARequestAndTellsItsCounters() throws Exception {
        Ended ended = run(null, "self-check");
        assertEquals(0, ended.code(), ended.err());
        assertTrue(ended.out().startsWith("ready yes\nconnections 2\nrequests 1\n"), ended.out());
    }

    @Test
    void statusOfWhatDoesNotAnswerIsToldInOneLine() throws Exception {
        for (String[] words : new String[][] {{"status", "127.0.0.1:1"}, {"status", "nowhere"}}) {
            Ended ended = run(null, words);
            assertEquals(1, ended.code());
            assertEquals(1, ended.err().lines().count(), ended.err());
            assertTrue(ended.err().contains(words[1]), ended.err());
        }
    }

    @Test
    void drillEndsWithItsInput() throws Exception {
        assertEquals(new Ended(0, "", ""), run(null, "drill"));
    }

    @Test
    void theExamplesThatAreShippedAreUsable() throws Exception {
        Ended ended =
                run(null, "check-config", "deploy/serve.example.json", "--operator", "deploy/operator.example.yaml");
        assertEquals(0, ended.code(), ended.err());
        assertTrue(ended.out().contains("router 'router-1' on 127.0.0.1:9090, 2 classes"), ended.out());
    }

    @Test
    void aConfigurationThatCanBeUsedIsSummedUp() throws Exception {
        Ended ended = run(NodeTestConfig.json("127.0.0.1:9090", "127.0.0.1:7070"), "check-config");
        assertEquals(0, ended.code());
        assertTrue(ended.out().contains("router 'n0' on 127.0.0.1:9090, 2 classes"), ended.out());
    }

    @Test
    void aConfigurationThatCannotBeUsedIsNamedInOneLine() throws Exception {
        String good = NodeTestConfig.json("127.0.0.1:9090", "127.0.0.1:7070");
        String[][] bad = {
            {good.replace("127.0.0.1:9090", "here"), "listen"},
            {good.replace("8c1f", "zz"), "seed"},
            {good.replace("policy-limits", "limits"), "policy-limits"},
            {good.substring(1), "JSON"}
        };
        for (String[] each : bad) {
            for (String command : new String[] {"check-config", "serve"}) {
                Ended ended = run(each[0], command);
                assertEquals(1, ended.code(), each[1]);
                assertTrue(ended.err().contains(each[1]) && ended.err().lines().count() == 1, ended.err());
            }
        }
        assertEquals(1, run(null, "serve").code());
    }

    private static final String SHAPE =
            """
            hierarchy:
              shape:
                version: %d
                origin: o
                hubs: {hub-a: {fill-from: {%s: 1}}, hub-b: {fill-from: {%s: 1}}}
                depots: {west: {fill-from: {hub-a: 1}}}
            """;

    private String file(String name, int version, String aboveA, String aboveB) throws IOException {
        return Files.writeString(folder.resolve(name), SHAPE.formatted(version, aboveA, aboveB))
                .toString();
    }

    @Test
    void aChangeOfTheHierarchyIsPlannedBeforeAnyoneIsTold() throws Exception {
        String old = file("old.yaml", 1, "hub-b", "o");
        Ended plan = run(null, "hierarchy", "plan", old, file("new.yaml", 2, "o", "hub-a"));
        assertEquals(0, plan.code(), plan.err());
        assertTrue(plan.out().contains("held back, it would close a loop: hub-b <- hub-a"), plan.out());
        assertTrue(plan.out().contains("at 75.0 s\n  begins to fill from: hub-b <- hub-a"), plan.out());
        Ended refused = run(null, "hierarchy", "plan", old, file("bad.yaml", 2, "hub-b", "hub-a"));
        assertEquals(1, refused.code());
        assertTrue(refused.err().contains("bad.yaml:5: hierarchy.shape.hubs.hub-a: a loop"), refused.err());
        assertEquals(1, run(null, "hierarchy", "plan", old, old).code());
        assertTrue(run(null, "hierarchy", "check", old).out().startsWith("usable: version 1, 4 units"), old);
        assertTrue(run(null, "check-config", "--operator", old).out().contains("hierarchy of version 1"));
        assertEquals(1, run(null, "check-config", "--operator", "nowhere.yaml").code());
    }

    @Test
    void everyCommandTellsItsUsage() throws Exception {
        for (String words : List.of(
                "serve",
                "drill",
                "status",
                "self-check",
                "check-config",
                "version",
                "hierarchy",
                "hierarchy check",
                "hierarchy plan",
                "lab",
                "lab run",
                "lab processes")) {
            Ended ended = run(null, (words + " --help").split(" "));
            assertEquals(0, ended.code(), words + ended.err());
            assertTrue(ended.out().contains("--help"), words);
        }
        assertEquals(0, run(null, "--help").code());
    }

    @Test
    void labScaleRefusesABadFileInOneLineThatNamesTheKey() throws Exception {
        String file = Files.writeString(folder.resolve("scale.yaml"), "routers: [30]\nzones: many\n")
                .toString();
        Ended ended =
                run(null, "lab", "scale", file, "--out", folder.resolve("scale").toString());
        assertEquals(1, ended.code(), ended.err());
        List<String> said =
                ended.err().lines().filter(l -> !l.startsWith("Picked up ")).toList(); // of the JVM itself
        assertEquals(1, said.size(), ended.err());
        assertTrue(said.get(0).startsWith("pumicemoor: " + file + ": zones: "), ended.err());
        assertEquals("", ended.out());
        assertTrue(Files.notExists(folder.resolve("scale")));
    }
}
