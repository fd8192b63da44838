package pumicemoor.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import pumicemoor.client.FrameClient;

/** The real program as a process of its own, with a configuration and an operator's file that it is handed. */
final class RouterProcess implements AutoCloseable {

    private static final long READY_WITHIN = 30_000;  // milliseconds
    private static final int READY_ASKED = 1;
    private static final int READY = 2;

    private final String name;
    private final Path folder;
    private final int port;
    private final Integer cpu;
    private Process process;

    /** The cpu is that core alone, where the system has taskset; null for any. */
    RouterProcess(String name, Path folder, Integer cpu) throws IOException {
        this.name = name;
        this.cpu = cpu;
        this.folder = folder;
        this.port = FreePorts.take();
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    Path operatorFile() {
        return folder.resolve(name + "-operator.yaml");
    }

    /** Starts it and returns at once. */
    void start(String config, String operator) throws IOException {
        start("serve", config, operator);
    }

    void start(String verb, String config, String operator) throws IOException {
        Path file = Files.writeString(folder.resolve(name + "-config.json"), config);
        Files.writeString(operatorFile(), operator);
        List<String> command = new ArrayList<>(cpu == null ? List.of() : List.of("taskset", "-c", cpu.toString()));
        command.addAll(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1", "-Xmx96m", "-cp", System.getProperty("java.class.path"),
                "pumicemoor.cli.Main", verb, "--operator", operatorFile().toString()));
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()))
                .redirectError(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        builder.environment().put("RELAY_CONFIG", file.toString());
        process = builder.start();
    }

    void awaitReady() throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_WITHIN);
        while (System.nanoTime() < end && process.isAlive()) {
            try (FrameClient client = new FrameClient("127.0.0.1", port)) {
                if (client.ask(READY_ASKED, Map.of(), READY).code() == 1) {
                    return;
                }
            } catch (IOException e) {
                // it does not listen yet
            }
            Thread.sleep(50);
        }
        throw new IOException("router " + name + " did not get ready; its log is " + folder.resolve(name + ".log"));
    }

    /** Its counters and state as it tells them, for people to read beside the record. */
    Map<String, String> status() {
        try (FrameClient client = new FrameClient("127.0.0.1", port)) {
            return client.ask(READY_ASKED, Map.of("counters", "1"), READY).fields();
        } catch (IOException e) {
            return Map.of("status", e.toString());
        }
    }

    /** Has it read its files again. */
    void hangUp() throws IOException, InterruptedException {
        signal("HUP");
    }

    /** Sends it a signal by name: STOP and CONT pause it and have it go on. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
    }

    /** What it holds of the machine's memory, as the system counts it; 0 where that is not told. */
    long residentMiB() {
        try {
            return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                    .filter(l -> l.startsWith("VmRSS:")).mapToLong(l -> Long.parseLong(l.replaceAll("\\D", ""))).sum() / 1_024;
        } catch (IOException e) {
            return 0;
        }
    }

    void terminate() throws InterruptedException {
        process.destroy();
        if (!process.waitFor(10, TimeUnit.SECONDS)) {
            process.destroyForcibly().waitFor();
        }
    }

    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
