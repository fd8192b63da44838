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

/** Tests the command line by running it as a separate process and checking its output and exit code. */
class MainTest {

    private static final int READY_REQUEST_TYPE = 1;
    private static final int READY_ANSWER_TYPE = 2;

    @TempDir
    Path folder;

    private record Result(int code, String out, String err) {}

    private Result run(String config, String... arguments) throws IOException, InterruptedException {
        int code = start(config, arguments).waitFor();
        return new Result(
                code,
                Files.readString(folder.resolve("out"), StandardCharsets.UTF_8),
                Files.readString(folder.resolve("err"), StandardCharsets.UTF_8));
    }

    private Process start(String config, String... arguments) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                Main.class.getName()));
        command.addAll(List.of(arguments));
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
    void terminatedServeLogsItsCountersAndExitsWith0() throws Exception {
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            port = free.getLocalPort();
        }
        Process router = start(NodeTestConfig.json("127.0.0.1:" + port, ""), "serve");
        try {
            FrameClient.Answer state = null;
            while (state == null && router.isAlive()) {
                try (FrameClient client = new FrameClient("127.0.0.1", port)) {
                    state = client.request(READY_REQUEST_TYPE, Map.of(), READY_ANSWER_TYPE);
                } catch (ConnectException e) {
                    Thread.sleep(20); // the router does not listen yet
                }
            }
            assertEquals(0, state.code(), "a router without members is not ready");
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
    void logIsJsonIfTheOperatorConfiguresIt() throws Exception {
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

    /** Sends SIGHUP and waits until the counter has this value; fails if the router ends instead. */
    private void reload(Process router, int port, String counter, String expectedCount) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("/bin/sh", "-c", "kill -HUP " + router.pid())
                        .start()
                        .waitFor());
        String count = "";
        while (!count.equals(expectedCount)) {
            assertTrue(router.isAlive(), "SIGHUP ended the router");
            try (FrameClient client = new FrameClient("127.0.0.1", port)) {
                count = client.request(READY_REQUEST_TYPE, Map.of("counters", "1"), READY_ANSWER_TYPE)
                        .fields()
                        .get(counter);
            }
        }
    }

    @Test
    void hangupReloadsTheConfigurationAndKeepsTheOldOneIfTheNewIsInvalid() throws Exception {
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
                ServerSocket oldCoordinator = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"));
                ServerSocket newCoordinator = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"))) {
            port = free.getLocalPort();
            free.close();
            String original = NodeTestConfig.json("127.0.0.1:" + port, "127.0.0.1:" + oldCoordinator.getLocalPort());
            Path config = folder.resolve("config.json");
            Process router = start(original, "serve");
            try {
                oldCoordinator.accept().getInputStream().read();
                boolean listens = false;
                while (!listens && router.isAlive()) {
                    try {
                        new FrameClient("127.0.0.1", port).close();
                        listens = true;
                    } catch (ConnectException e) {
                        Thread.sleep(20);
                    }
                }
                String[] invalid = {
                    "",
                    original.substring(0, 200),
                    original.replace("\"listen\":\"127.0.0.1:" + port, "\"listen\":\"127.0.0.1:1"),
                    original.replace("\"max-open\":1000", "\"max-open\":9")
                };
                for (int i = 0; i < invalid.length; i++) {
                    Files.writeString(config, invalid[i]);
                    reload(router, port, "reloads-refused", Integer.toString(i + 1));
                }
                Files.delete(config);
                reload(router, port, "reloads-refused", "5");
                Files.writeString(
                        config, NodeTestConfig.json("127.0.0.1:" + port, "127.0.0.1:" + newCoordinator.getLocalPort()));
                reload(router, port, "reloads", "1");
                newCoordinator.setSoTimeout(20_000);
                assertEquals(
                        'G',
                        newCoordinator.accept().getInputStream().read(),
                        "the router connects to the new coordinator");
            } finally {
                router.destroy();
            }
            assertEquals(0, router.waitFor());
        }
    }

    @Test
    void missingOrInvalidCommandPrintsTheUsageAndExitsWith2() throws Exception {
        for (String[] arguments : new String[][] {{}, {"dance"}, {"version", "now"}}) {
            Result result = run(null, arguments);
            assertEquals(2, result.code());
            assertTrue(result.err().contains("usage: java -jar pumicemoor.jar COMMAND"), result.err());
            assertEquals("", result.out());
        }
    }

    @Test
    void versionIsPrinted() throws Exception {
        Result result = run(null, "version");
        assertEquals(0, result.code());
        assertTrue(result.out().startsWith("pumicemoor "), result.out());
    }

    @Test
    void selfCheckServesARequestAndPrintsTheCounters() throws Exception {
        Result result = run(null, "self-check");
        assertEquals(0, result.code(), result.err());
        assertTrue(result.out().startsWith("ready yes\nconnections 2\nrequests 1\n"), result.out());
    }

    @Test
    void statusOfAnUnreachableOrInvalidAddressFailsWithOneLine() throws Exception {
        for (String[] arguments : new String[][] {{"status", "127.0.0.1:1"}, {"status", "nowhere"}}) {
            Result result = run(null, arguments);
            assertEquals(1, result.code());
            assertEquals(1, result.err().lines().count(), result.err());
            assertTrue(result.err().contains(arguments[1]), result.err());
        }
    }

    @Test
    void drillExitsWith0AtTheEndOfItsInput() throws Exception {
        assertEquals(new Result(0, "", ""), run(null, "drill"));
    }

    @Test
    void shippedExamplesAreValid() throws Exception {
        Result result =
                run(null, "check-config", "deploy/serve.example.json", "--operator", "deploy/operator.example.yaml");
        assertEquals(0, result.code(), result.err());
        assertTrue(result.out().contains("router 'router-1' on 127.0.0.1:9090, 2 classes"), result.out());
    }

    @Test
    void checkConfigPrintsASummaryOfAValidConfiguration() throws Exception {
        Result result = run(NodeTestConfig.json("127.0.0.1:9090", "127.0.0.1:7070"), "check-config");
        assertEquals(0, result.code());
        assertTrue(result.out().contains("router 'n0' on 127.0.0.1:9090, 2 classes"), result.out());
    }

    @Test
    void invalidConfigurationFailsWithOneLineThatNamesTheField() throws Exception {
        String valid = NodeTestConfig.json("127.0.0.1:9090", "127.0.0.1:7070");
        String[][] invalid = {
            {valid.replace("127.0.0.1:9090", "here"), "listen"},
            {valid.replace("8c1f", "zz"), "seed"},
            {valid.replace("policy-limits", "limits"), "policy-limits"},
            {valid.substring(1), "JSON"}
        };
        for (String[] configAndField : invalid) {
            for (String command : new String[] {"check-config", "serve"}) {
                Result result = run(configAndField[0], command);
                assertEquals(1, result.code(), configAndField[1]);
                assertTrue(
                        result.err().contains(configAndField[1])
                                && result.err().lines().count() == 1,
                        result.err());
            }
        }
        assertEquals(1, run(null, "serve").code());
    }

    private static final String TOPOLOGY =
            """
            hierarchy:
              shape:
                version: %d
                origin: o
                hubs: {hub-a: {fill-from: {%s: 1}}, hub-b: {fill-from: {%s: 1}}}
                depots: {west: {fill-from: {hub-a: 1}}}
            """;

    /** Writes an operator's file with two hubs, each with one parent. */
    private String operatorFile(String name, int version, String parentOfA, String parentOfB) throws IOException {
        return Files.writeString(folder.resolve(name), TOPOLOGY.formatted(version, parentOfA, parentOfB))
                .toString();
    }

    @Test
    void hierarchyPlanPrintsTheMigrationAndRefusesAnInvalidOne() throws Exception {
        String old = operatorFile("old.yaml", 1, "hub-b", "o");
        Result plan = run(null, "hierarchy", "plan", old, operatorFile("new.yaml", 2, "o", "hub-a"));
        assertEquals(0, plan.code(), plan.err());
        assertTrue(plan.out().contains("held back, it would close a loop: hub-b <- hub-a"), plan.out());
        assertTrue(plan.out().contains("at 75.0 s\n  begins to fill from: hub-b <- hub-a"), plan.out());
        Result refused = run(null, "hierarchy", "plan", old, operatorFile("bad.yaml", 2, "hub-b", "hub-a"));
        assertEquals(1, refused.code());
        assertTrue(refused.err().contains("bad.yaml:5: hierarchy.shape.hubs.hub-a: a loop"), refused.err());
        assertEquals(1, run(null, "hierarchy", "plan", old, old).code());
        assertTrue(run(null, "hierarchy", "check", old).out().startsWith("usable: version 1, 4 units"), old);
        assertTrue(run(null, "check-config", "--operator", old).out().contains("hierarchy of version 1"));
        assertEquals(1, run(null, "check-config", "--operator", "nowhere.yaml").code());
    }

    @Test
    void everyCommandPrintsItsUsage() throws Exception {
        for (String arguments : List.of(
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
            Result result = run(null, (arguments + " --help").split(" "));
            assertEquals(0, result.code(), arguments + result.err());
            assertTrue(result.out().contains("--help"), arguments);
        }
        assertEquals(0, run(null, "--help").code());
    }

    @Test
    void labScaleRefusesAnInvalidFileWithOneLineThatNamesTheKey() throws Exception {
        String file = Files.writeString(folder.resolve("scale.yaml"), "routers: [30]\nzones: many\n")
                .toString();
        Result result =
                run(null, "lab", "scale", file, "--out", folder.resolve("scale").toString());
        assertEquals(1, result.code(), result.err());
        List<String> errors =
                result.err().lines().filter(l -> !l.startsWith("Picked up ")).toList(); // printed by the JVM itself
        assertEquals(1, errors.size(), result.err());
        assertTrue(errors.get(0).startsWith("pumicemoor: " + file + ": zones: "), result.err());
        assertEquals("", result.out());
        assertTrue(Files.notExists(folder.resolve("scale")));
    }
}
