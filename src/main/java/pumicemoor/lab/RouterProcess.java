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

/** Runs the real program as a separate process with the given configuration and operator's file. */
final class RouterProcess implements AutoCloseable {

    private static final long READY_TIMEOUT_MILLIS = 30_000;

    /** JVM options for a run of a few processes. */
    static final List<String> DEFAULT_JVM_OPTIONS = List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx96m");

    /**
     * JVM options for dozens of processes: those of deploy/balancer.toml for a router, without the class data archive.
     */
    static final List<String> SMALL_JVM_OPTIONS = List.of(
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

    private static final int READY_REQUEST_FRAME = 1;
    private static final int READY_RESPONSE_FRAME = 2;

    private final String name;
    private final Path folder;
    private final int port;
    private final Integer cpu;
    private final List<String> jvmOptions;
    private Map<String, String> environment = Map.of();
    private boolean sighupIgnored;
    private Process process;

    /** Binds the process to one core with taskset; a null cpu allows all cores. */
    RouterProcess(String name, Path folder, Integer cpu) throws IOException {
        this(name, folder, cpu, DEFAULT_JVM_OPTIONS);
    }

    /** Binds the process to one core like the other constructor, and starts it with the given JVM options. */
    RouterProcess(String name, Path folder, Integer cpu, List<String> jvmOptions) throws IOException {
        this.name = name;
        this.cpu = cpu;
        this.jvmOptions = jvmOptions;
        this.folder = folder;
        this.port = FreePorts.allocate();
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    /** Makes all later starts inherit an ignored SIGHUP, as under nohup. */
    void ignoreSighup() {
        sighupIgnored = true;
    }

    /** Sets environment variables that all later starts get in addition to the inherited ones. */
    void setEnvironment(Map<String, String> variables) {
        environment = Map.copyOf(variables);
    }

    /** Returns the file to which all starts append their output. */
    Path logFile() {
        return folder.resolve(name + ".log");
    }

    Path configFile() {
        return folder.resolve(name + "-config.json");
    }

    Path operatorFile() {
        return folder.resolve(name + "-operator.yaml");
    }

    /** Starts the process without waiting until it is ready. */
    void start(String config, String operator) throws IOException {
        start("serve", config, operator);
    }

    void start(String subcommand, String config, String operator) throws IOException {
        Path file = Files.writeString(configFile(), config);
        Files.writeString(operatorFile(), operator);
        List<String> command = new ArrayList<>(cpu == null ? List.of() : List.of("taskset", "-c", cpu.toString()));
        if (sighupIgnored) {
            command.addAll(List.of("/bin/sh", "-c", "trap '' HUP; exec \"$@\"", "sh"));
        }
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(jvmOptions);
        command.addAll(List.of(
                "-cp",
                System.getProperty("java.class.path"),
                "pumicemoor.cli.Main",
                subcommand,
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
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MILLIS);
        while (System.nanoTime() < deadlineNanos && process.isAlive()) {
            try (FrameClient client = new FrameClient("127.0.0.1", port)) {
                if (client.request(READY_REQUEST_FRAME, Map.of(), READY_RESPONSE_FRAME)
                                .code()
                        == 1) {
                    return;
                }
            } catch (IOException e) {
                // the process does not listen yet
            }
            Thread.sleep(50);
        }
        throw new IOException("router " + name + " did not become ready; its log is " + folder.resolve(name + ".log"));
    }

    /** Returns the counters and state that the router reports; reports list them beside the stand-ins' results. */
    Map<String, String> status() {
        try (FrameClient client = new FrameClient("127.0.0.1", port)) {
            return client.request(READY_REQUEST_FRAME, Map.of("counters", "1"), READY_RESPONSE_FRAME)
                    .fields();
        } catch (IOException e) {
            return Map.of("status", e.toString());
        }
    }

    /** Makes the process reload its files, by SIGHUP. */
    void reload() throws IOException, InterruptedException {
        signal("HUP");
    }

    /** Sends a signal by name; STOP and CONT pause and resume the process. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid())
                .start()
                .waitFor();
    }

    /** Returns the resident memory in MiB as the system counts it; 0 if that is not available. */
    long residentMiB() {
        return residentKiB() / 1_024;
    }

    /** Returns the resident memory in KiB (VmRSS); 0 if it is not available. */
    long residentKiB() {
        try {
            return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                    .filter(line -> line.startsWith("VmRSS:"))
                    .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                    .sum();
        } catch (IOException e) {
            return 0;
        }
    }

    /**
     * Returns the CPU time of each thread in nanoseconds, by thread id; empty if the system does not report it. The CPU
     * time between two readings is the sum of the differences of all threads in the later one; a new thread counts from
     * 0.
     */
    Map<String, Long> threadCpuNanos() {
        Map<String, Long> nanosByThread = new HashMap<>();
        try (DirectoryStream<Path> threads = Files.newDirectoryStream(Path.of("/proc/" + process.pid() + "/task"))) {
            for (Path thread : threads) {
                threadCpuTime(thread)
                        .ifPresent(
                                nanos -> nanosByThread.put(thread.getFileName().toString(), nanos));
            }
        } catch (IOException e) {
            // the process has ended
        }
        return nanosByThread;
    }

    private static Optional<Long> threadCpuTime(Path thread) {
        try {
            return Optional.of(
                    Long.parseLong(Files.readString(thread.resolve("schedstat")).split(" ")[0]));
        } catch (IOException e) {
            return Optional.empty(); // the thread has ended
        }
    }

    /** Returns the CPU time of the process in milliseconds, in ticks of 10 ms (/proc/PID/stat); -1 if not available. */
    long processCpuMillis() {
        try {
            String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) * 10;
        } catch (IOException e) {
            return -1;
        }
    }

    /** Triggers a garbage collection and returns the bytes of live heap; -1 if the process does not report them. */
    long liveHeapBytes() throws IOException, InterruptedException {
        Process jcmd = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "jcmd").toString(),
                        "-J-Xmx32m",
                        "-J-XX:+UseSerialGC",
                        Long.toString(process.pid()),
                        "GC.class_histogram")
                .redirectErrorStream(true)
                .start();
        String histogram = new String(jcmd.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        jcmd.waitFor();
        return histogram
                .lines()
                .filter(line -> line.startsWith("Total"))
                .mapToLong(line -> Long.parseLong(line.trim().split("\\s+")[2]))
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
