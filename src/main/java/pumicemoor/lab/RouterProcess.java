package pumicemoor.lab;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import pumicemoor.client.FrameClient;

/** The real program as a process of its own, with a configuration and an operator's file that it is handed. */
final class RouterProcess implements AutoCloseable {

    private static final long READY_WITHIN = 30_000; // milliseconds

    /** A few processes at a time. */
    static final List<String> ROOMY = List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx96m");

    /** Dozens of processes: what deploy/balancer.toml starts a router with, without the archive of classes. */
    static final List<String> TIGHT = List.of(
            "-XX:+UseSerialGC",
            "-XX:-UsePerfData",
            "-XX:TieredStopAtLevel=1",
            "-Xms48m",
            "-Xmx48m",
            "-Xss256k",
            "-XX:MaxMetaspaceSize=40m",
            "-XX:ReservedCodeCacheSize=20m",
            "-XX:MaxDirectMemorySize=48m",
            "-Dio.netty.allocator.numDirectArenas=1",
            "-Dio.netty.allocator.numHeapArenas=1",
            "-Dio.netty.allocator.maxOrder=6");

    private static final int READY_ASKED = 1;
    private static final int READY = 2;

    private final String name;
    private final Path folder;
    private final int port;
    private final Integer cpu;
    private final List<String> machine;
    private Map<String, String> environment = Map.of();
    private boolean hangUpIgnored;
    private Process process;

    /** The cpu is that core alone, where the system has taskset; null for any. */
    RouterProcess(String name, Path folder, Integer cpu) throws IOException {
        this(name, folder, cpu, ROOMY);
    }

    /** The same with settings of the virtual machine of its own, ROOMY or TIGHT. */
    RouterProcess(String name, Path folder, Integer cpu, List<String> machine) throws IOException {
        this.name = name;
        this.cpu = cpu;
        this.machine = machine;
        this.folder = folder;
        this.port = FreePorts.take();
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    /** Its next starts find SIGHUP ignored, as under nohup. */
    void ignoreHangUp() {
        hangUpIgnored = true;
    }

    /** What its next starts find in their environment beyond what they inherit. */
    void environment(Map<String, String> more) {
        environment = Map.copyOf(more);
    }

    /** All that its starts have logged. */
    Path logFile() {
        return folder.resolve(name + ".log");
    }

    Path configFile() {
        return folder.resolve(name + "-config.json");
    }

    Path operatorFile() {
        return folder.resolve(name + "-operator.yaml");
    }

    /** Starts it and returns at once. */
    void start(String config, String operator) throws IOException {
        start("serve", config, operator);
    }

    void start(String verb, String config, String operator) throws IOException {
        Path file = Files.writeString(configFile(), config);
        Files.writeString(operatorFile(), operator);
        List<String> command = new ArrayList<>(cpu == null ? List.of() : List.of("taskset", "-c", cpu.toString()));
        if (hangUpIgnored) {
            command.addAll(List.of("/bin/sh", "-c", "trap '' HUP; exec \"$@\"", "sh"));
        }
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(machine);
        command.addAll(List.of(
                "-cp",
                System.getProperty("java.class.path"),
                "pumicemoor.cli.Main",
                verb,
                "--operator",
                operatorFile().toString()));
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile().toFile()))
                .redirectError(ProcessBuilder.Redirect.appendTo(logFile().toFile()));
        builder.environment().put("RELAY_CONFIG", file.toString());
        builder.environment().putAll(environment);
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
        new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid())
                .start()
                .waitFor();
    }

    /** What it holds of the machine's memory, as the system counts it; 0 where that is not told. */
    long residentMiB() {
        return residentKiB() / 1_024;
    }

    /** The same in KiB (VmRSS). */
    long residentKiB() {
        try {
            return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                    .filter(l -> l.startsWith("VmRSS:"))
                    .mapToLong(l -> Long.parseLong(l.replaceAll("\\D", "")))
                    .sum();
        } catch (IOException e) {
            return 0;
        }
    }

    /**
     * Processor time that each of its threads has had, in nanoseconds by thread number; empty where the system does not
     * tell. Of two readings the difference counts for threads that are in both or new in the later one.
     */
    Map<String, Long> processorTimes() {
        Map<String, Long> times = new HashMap<>();
        try (DirectoryStream<Path> threads = Files.newDirectoryStream(Path.of("/proc/" + process.pid() + "/task"))) {
            for (Path thread : threads) {
                threadTime(thread).ifPresent(t -> times.put(thread.getFileName().toString(), t));
            }
        } catch (IOException e) {
            // it has ended
        }
        return times;
    }

    private static Optional<Long> threadTime(Path thread) {
        try {
            return Optional.of(
                    Long.parseLong(Files.readString(thread.resolve("schedstat")).split(" ")[0]));
        } catch (IOException e) {
            return Optional.empty(); // this thread has ended
        }
    }

    /** Processor time of the whole process in milliseconds, in ticks of 10 ms (/proc/PID/stat); -1 where not told. */
    long processorMillis() {
        try {
            String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) * 10;
        } catch (IOException e) {
            return -1;
        }
    }

    /** Bytes of its heap that are in use after a collection, which this has it make; -1 where it does not say. */
    long liveHeap() throws IOException, InterruptedException {
        Process asked = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "jcmd").toString(),
                        "-J-Xmx32m",
                        "-J-XX:+UseSerialGC",
                        Long.toString(process.pid()),
                        "GC.class_histogram")
                .redirectErrorStream(true)
                .start();
        String said = new String(asked.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        asked.waitFor();
        return said.lines()
                .filter(l -> l.startsWith("Total"))
                .mapToLong(l -> Long.parseLong(l.trim().split("\\s+")[2]))
                .findFirst()
                .orElse(-1);
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
