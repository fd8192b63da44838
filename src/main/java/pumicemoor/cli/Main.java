package pumicemoor.cli;

import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import pumicemoor.net.NodeServer;
import pumicemoor.node.NodeConfig;
import pumicemoor.wire.Drill;
import pumicemoor.wire.WireException;
import sun.misc.Signal;

/**
 * The command line: it owns the way in and the exit codes, and must never hold anything that serving or
 * deciding needs.
 */
public final class Main {

    private static final String USAGE = """
            usage: java -jar pumicemoor.jar COMMAND
              serve          route requests on sockets, as the JSON file that RELAY_CONFIG names says
              drill          decide for the simulator: events on standard input, actions on standard output
              status         ask a running router for its state and counters: status HOST:PORT
              self-check     start a router on loopback, have it serve one request, end it
              check-config   read a configuration and say whether it can be used: check-config [FILE]
              version        print the version""";

    /** A subcommand; it exits 0 when done, 1 on bad input. */
    interface Command {
        void run() throws IOException, WireException, InterruptedException;
    }

    @Argument(handler = SubCommandHandler.class, metaVar = "COMMAND", required = true)
    @SubCommands({@SubCommand(name = "serve", impl = Serve.class), @SubCommand(name = "drill", impl = Replay.class),
            @SubCommand(name = "status", impl = Status.class),
            @SubCommand(name = "self-check", impl = SelfCheck.class),
            @SubCommand(name = "check-config", impl = CheckConfig.class),
            @SubCommand(name = "version", impl = Version.class)})
    private Command command;

    private Main() {
    }

    /** Runs the subcommand; exits 0 at its end, 1 on bad input, 2 on bad usage. */
    public static void main(String[] args) throws InterruptedException {
        Main main = new Main();
        try {
            new CmdLineParser(main).parseArgument(args);
        } catch (CmdLineException e) {
            System.err.println("pumicemoor: " + e.getMessage().lines().findFirst().orElse(""));
            System.err.println(USAGE);
            System.exit(2);
        }
        try {
            main.command.run();
        } catch (WireException | IOException e) {
            System.err.println("pumicemoor: " + e.getMessage());
            System.exit(1);
        }
    }

    /** Reads a configuration: at the start, at a reload and for check-config alike. */
    private static NodeConfig config(String file) throws IOException, WireException {
        if (file == null) {
            throw new WireException("no configuration: RELAY_CONFIG is not set");
        }
        return NodeConfig.parse(Files.readString(Path.of(file)));
    }

    /** Routes requests until the process is asked to end. */
    public static final class Serve implements Command {
        private static final Logger LOG = LoggerFactory.getLogger(Serve.class);
        private static final long LONGEST_END = 10_000;

        @Override
        public void run() throws IOException, WireException, InterruptedException {
            String file = System.getenv("RELAY_CONFIG");
            // from here on SIGHUP ends nothing; a signal that comes before the server can take it waits for that
            Semaphore reload = new Semaphore(0);
            CountDownLatch end = new CountDownLatch(1);
            Signal.handle(new Signal("HUP"), signal -> reload.release());
            Signal.handle(new Signal("TERM"), signal -> end.countDown());
            Signal.handle(new Signal("INT"), signal -> end.countDown());
            NodeServer server = new NodeServer(config(file));
            server.start();
            Thread reloading = new Thread(() -> reload(server, file, reload), "reload");
            reloading.setDaemon(true);
            reloading.start();
            end.await();
            server.terminate();
            server.awaitEnd(LONGEST_END);
            LOG.info("counters: {}", server.counters());
            System.exit(0);
        }

        /** Reads the file once for all the signals that have come by then, and hands over what it found. */
        private static void reload(NodeServer server, String file, Semaphore asked) {
            try {
                while (true) {
                    asked.acquire();
                    asked.drainPermits();
                    NodeConfig next = null;
                    String problem = null;
                    try {
                        next = config(file);
                    } catch (WireException | IOException | RuntimeException e) {
                        problem = e.toString();
                    }
                    server.reload(next, problem);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Decides for the simulator. */
    public static final class Replay implements Command {
        @Override
        public void run() throws IOException, WireException {
            try (FileInputStream in = new FileInputStream(FileDescriptor.in);
                    BufferedOutputStream out =
                            new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), 1 << 16)) {
                new Drill(in, out).run();
            }
        }
    }

    /** Reads a configuration and says what it found. */
    public static final class CheckConfig implements Command {
        @Argument(metaVar = "FILE", usage = "the configuration; RELAY_CONFIG names it otherwise")
        private String file = System.getenv("RELAY_CONFIG");

        @Override
        public void run() throws IOException, WireException {
            NodeConfig config = config(file);
            System.out.println("usable: router '" + config.name() + "' on " + config.listen() + ", "
                    + config.words().settings().classes().size() + " classes, " + config.known().size()
                    + " events known");
        }
    }

    /** Prints the version. */
    public static final class Version implements Command {
        @Override
        public void run() {
            String version = Main.class.getPackage().getImplementationVersion();
            System.out.println("pumicemoor " + (version == null ? "(not packaged)" : version));
        }
    }
}
