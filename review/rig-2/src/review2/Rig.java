package review2;

import java.io.BufferedWriter;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * What every case needs: a temporary folder, free ports, router processes started with the run line of the deploy file,
 * and the record. Closing it ends every process that it started.
 */
final class Rig implements AutoCloseable {

    /** Thrown where a case could not run; the script then exits with 2. */
    static final class NotRun extends RuntimeException {
        private static final long serialVersionUID = 1;

        NotRun(String reason) {
            super(reason);
        }
    }

    final Path root = Path.of("").toAbsolutePath(); // the script changes to the repository's root
    final Path folder;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final BufferedWriter record;
    private final long startNanos = System.nanoTime();
    private final long startMillis = System.currentTimeMillis();
    private final List<Process> processes = new ArrayList<>();

    Rig(Path caseFolder) throws IOException {
        folder = Files.createTempDirectory("review-2-");
        record = Files.newBufferedWriter(caseFolder.resolve("record.txt"));
        note("started at Unix ms " + startMillis + ", TROUBLE=" + (trouble ? 1 : 0));
    }

    /** Milliseconds since the start of the case. */
    long ms() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    /** Writes one line, with the time since the start, to the record. */
    synchronized void note(String text) {
        try {
            record.write(String.format(Locale.ROOT, "%9.3f %s%n", (System.nanoTime() - startNanos) / 1e9, text));
            record.flush();
        } catch (IOException e) {
            throw new NotRun("the record can't be written: " + e);
        }
    }

    /** Writes a line to the record and to standard output. */
    void say(String text) {
        note(text);
        System.out.println(text);
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** One router process. */
    final class Router {
        final String name;
        final int port;
        final Path config;
        private final Path operator;
        Process process;

        Router(String name, String configJson, String operatorYaml) throws IOException {
            this.name = name;
            this.port = freePort();
            this.config = folder.resolve(name + ".json");
            Files.writeString(config, configJson.replace("@LISTEN@", "127.0.0.1:" + port).replace("@NAME@", name));
            this.operator = operatorYaml == null ? null : folder.resolve(name + ".yaml");
            if (operator != null) {
                Files.writeString(operator, operatorYaml);
            }
        }

        /** Starts it as operators do: /bin/sh -c with the run line, from the root. */
        Router start() throws IOException {
            String run = runLine() + (operator == null ? "" : " --operator " + operator);
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run)
                    .directory(root.toFile())
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
            Path temporary = Files.createTempDirectory(folder, "tmp-");
            builder.environment().put("RELAY_NAME", name);
            builder.environment().put("RELAY_LISTEN", "127.0.0.1:" + port);
            builder.environment().put("RELAY_CONFIG", config.toString());
            builder.environment().put("TMPDIR", temporary.toString());
            process = builder.start();
            processes.add(process);
            note("router " + name + " started, port " + port);
            return this;
        }

        /** Waits until the router answers a readiness request (type 1) with code 1. */
        Router awaitReady() throws InterruptedException {
            long until = ms() + 30_000;
            while (ms() < until) {
                if (!process.isAlive()) {
                    throw new NotRun("router " + name + " ended at its start: " + log());
                }
                if (Client.ready(port)) {
                    note("router " + name + " is ready");
                    return this;
                }
                Thread.sleep(50);
            }
            throw new NotRun("router " + name + " is not ready within 30 s: " + log());
        }

        String log() {
            try {
                return Files.readString(folder.resolve(name + ".log"));
            } catch (IOException e) {
                return e.toString();
            }
        }
    }

    private String runLine() throws IOException {
        try (Stream<String> lines = Files.lines(root.resolve("deploy/balancer.toml"))) {
            String line = lines.filter(l -> l.startsWith("run = \""))
                    .findFirst()
                    .orElseThrow(() -> new NotRun("the deploy file has no run line"));
            return line.substring("run = \"".length(), line.lastIndexOf('"'));
        }
    }

    @Override
    public void close() throws IOException {
        for (Process process : processes) {
            process.destroyForcibly();
        }
        for (Process process : processes) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP_LOGS") != null) {
            System.out.println("logs: " + folder);
        } else {
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
            }
        }
        record.close();
    }

    /** Runs a case, which returns whether the rule held, and exits: 0 it held, 1 it was broken, 2 could not run. */
    static void run(Rig rig, Callable<Boolean> body) throws IOException {
        int code;
        try (rig) {
            Runtime.getRuntime().addShutdownHook(new Thread(() -> rig.processes.forEach(Process::destroyForcibly)));
            try {
                boolean held = body.call();
                code = held ? 0 : 1;
                rig.say(held ? "RESULT held" : "RESULT broken");
            } catch (Exception e) {
                code = 2;
                rig.say("RESULT not run: " + e);
                e.printStackTrace();
            }
        }
        Runtime.getRuntime().halt(code);
    }
}
