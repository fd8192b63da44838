package pumicemoor.cli;

import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import pumicemoor.extproc.ProcessorFront;
import pumicemoor.net.NodeServer;
import pumicemoor.node.NodeConfig;
import pumicemoor.operator.OperatorConfig;
import pumicemoor.operator.OperatorConfig.LogFormat;
import pumicemoor.operator.OperatorException;
import pumicemoor.operator.OperatorFile;
import pumicemoor.wire.InvalidInputException;
import pumicemoor.wire.SimulatorAdapter;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * The entry point of the program. It parses the command line, runs the selected command and sets the exit code. It
 * must not contain code that serving or routing decisions depend on.
 */
public final class Main {

    @Argument(handler = SubCommandHandler.class, metaVar = "COMMAND", required = true)
    @SubCommands({
        @SubCommand(name = "serve", impl = Serve.class),
        @SubCommand(name = "drill", impl = ServeSimulator.class),
        @SubCommand(name = "processor", impl = Processor.class),
        @SubCommand(name = "status", impl = Status.class),
        @SubCommand(name = "self-check", impl = SelfCheck.class),
        @SubCommand(name = "check-config", impl = CheckConfig.class),
        @SubCommand(name = "members", impl = FleetRows.Members.class),
        @SubCommand(name = "limits", impl = FleetRows.Limits.class),
        @SubCommand(name = "verdicts", impl = FleetRows.Ejections.class),
        @SubCommand(name = "drain", impl = DrainCommands.class),
        @SubCommand(name = "hierarchy", impl = HierarchyCommand.class),
        @SubCommand(name = "lab", impl = LabCommand.class),
        @SubCommand(name = "version", impl = Version.class)
    })
    private Command command;

    @Option(name = "--help", aliases = "-h", help = true, usage = "print this")
    private boolean helpRequested;

    private Main() {}

    /** Runs the selected command; exits with 0 when it is done, 1 on bad input, 2 on an invalid command line. */
    public static void main(String[] args) throws InterruptedException {
        Main main = new Main();
        CmdLineParser parser = new CmdLineParser(main);
        try {
            parser.parseArgument(args);
        } catch (CmdLineException e) {
            System.err.println(
                    "pumicemoor: " + e.getMessage().lines().findFirst().orElse(""));
            System.err.println(Usage.OVERVIEW);
            System.exit(2);
        }
        if (main.helpRequested) {
            System.out.println(Usage.OVERVIEW);
            return;
        }
        Command selected = main.command.innermost();
        if (!(selected instanceof Serve)) {
            Logging.configure(LogFormat.TEXT);
        }
        if (selected.helpRequested) {
            System.out.print(Usage.of(selected));
            return;
        }
        try {
            selected.run();
        } catch (NoSuchFileException e) {
            System.err.println("pumicemoor: there is no file '" + e.getMessage() + "'");
            System.exit(1);
        } catch (InvalidInputException | IOException | OperatorException e) {
            System.err.println("pumicemoor: " + e.getMessage());
            System.exit(1);
        }
    }

    /** Reads a configuration; used at the start, at a reload and by check-config. */
    private static NodeConfig readConfig(String file) throws IOException, InvalidInputException {
        if (file == null) {
            throw new InvalidInputException("no configuration: RELAY_CONFIG is not set");
        }
        return NodeConfig.parse(Files.readString(Path.of(file)));
    }

    /** Reads an operator's file; null stands for none. */
    private static OperatorConfig readOperatorConfig(String file) throws OperatorException {
        return file == null ? OperatorConfig.NONE : OperatorFile.read(Path.of(file));
    }

    /** Routes requests until the process receives SIGTERM or SIGINT. */
    @Usage.Summary("routes requests on sockets, as the JSON file that RELAY_CONFIG names says, until SIGTERM")
    public static class Serve extends Command {
        private static final long SHUTDOWN_TIMEOUT_MILLIS = 10_000;

        @Option(
                name = "--operator",
                metaVar = "FILE",
                usage = "the operator's YAML file; none: all as the platform has it")
        private String operatorFile;

        @Override
        void run() throws IOException, InvalidInputException, OperatorException, InterruptedException {
            String configFile = System.getenv("RELAY_CONFIG");
            // From here on SIGHUP does not end the process; a signal that arrives before the server can reload stays
            // pending until it can.
            Semaphore reloadRequests = new Semaphore(0);
            CountDownLatch stopRequested = new CountDownLatch(1);
            boolean hangupIgnored =
                    Signal.handle(new Signal("HUP"), signal -> reloadRequests.release()) == SignalHandler.SIG_IGN;
            Signal.handle(new Signal("TERM"), signal -> stopRequested.countDown());
            Signal.handle(new Signal("INT"), signal -> stopRequested.countDown());
            OperatorConfig operator = readOperatorConfig(operatorFile);
            Logging.configure(operator.log());
            Logger log = LoggerFactory.getLogger(Serve.class);
            // The JVM silently installs no handler for a signal that the parent process set to ignored, as nohup does.
            if (hangupIgnored) {
                log.warn(
                        "SIGHUP was ignored when this process started; the configuration files are reloaded when they change instead");
                watch(configFile, operatorFile, reloadRequests);
            }
            NodeConfig config = readConfig(configFile);
            NodeServer server = new NodeServer(config, operator);
            if (operator.processor().isPresent()) {
                ProcessorFront.check(operator.processor().get(), config.settingsReader());
                ProcessorFront front = new ProcessorFront(operator.processor().get(), config.settingsReader());
                front.warmUp();
                server.attachCallFront(front);
            }
            server.followCoordinator();
            Thread reloader = new Thread(() -> reload(server, configFile, operatorFile, reloadRequests), "reload");
            reloader.setDaemon(true);
            reloader.start();
            server.openListener(acceptsClients());
            stopRequested.await();
            server.terminate();
            server.awaitEnd(SHUTDOWN_TIMEOUT_MILLIS);
            log.info("counters: {}", server.counters());
            if (operatorFile != null) {
                log.info("state: {}", server.state());
            }
            System.exit(0);
        }

        /** Returns whether the router listens for clients. */
        boolean acceptsClients() {
            return true;
        }

        /** Requests a reload whenever the content of a file has changed. */
        private static void watch(String configFile, String operatorFile, Semaphore reloadRequests) {
            List<Path> files = Stream.of(configFile, operatorFile)
                    .filter(Objects::nonNull)
                    .map(Path::of)
                    .toList();
            ConfigWatch watch = new ConfigWatch(files);
            ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor(task -> {
                Thread thread = new Thread(task, "config-watch");
                thread.setDaemon(true);
                return thread;
            });
            scheduler.scheduleWithFixedDelay(
                    () -> {
                        if (watch.changed()) {
                            reloadRequests.release();
                        }
                    },
                    ConfigWatch.INTERVAL_MILLIS,
                    ConfigWatch.INTERVAL_MILLIS,
                    TimeUnit.MILLISECONDS);
        }

        /** Waits for reload requests; reads the files once for all pending ones and passes the result to the server. */
        private static void reload(
                NodeServer server, String configFile, String operatorFile, Semaphore reloadRequests) {
            try {
                while (true) {
                    reloadRequests.acquire();
                    reloadRequests.drainPermits();
                    NodeConfig next = null;
                    OperatorConfig nextOperator = null;
                    String problem = null;
                    try {
                        next = readConfig(configFile);
                        nextOperator = readOperatorConfig(operatorFile);
                    } catch (InvalidInputException | IOException | OperatorException | RuntimeException e) {
                        next = null;
                        problem = e.toString();
                    }
                    server.reload(next, nextOperator, problem);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Serves routing decisions to proxies only, without listening for clients. */
    @Usage.Summary(
            "decides for proxies that call, as 'processor' in the operator's file says; clients are not listened to")
    public static final class Processor extends Serve {
        @Override
        boolean acceptsClients() {
            return false;
        }
    }

    /** Serves routing decisions to the simulator. */
    @Usage.Summary("decides for the simulator: events on standard input, actions on standard output")
    public static final class ServeSimulator extends Command {
        @Override
        void run() throws IOException, InvalidInputException {
            try (FileInputStream in = new FileInputStream(FileDescriptor.in);
                    BufferedOutputStream out =
                            new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), 1 << 16)) {
                new SimulatorAdapter(in, out).run();
            }
        }
    }

    /** Validates a configuration and an operator's file, and prints a summary of them. */
    @Usage.Summary(
            "reads a configuration, and the operator's file where one is named, and says whether they can be used")
    public static final class CheckConfig extends Command {
        @Argument(metaVar = "FILE", usage = "the configuration; RELAY_CONFIG names it otherwise")
        private String configFile = System.getenv("RELAY_CONFIG");

        @Option(name = "--operator", metaVar = "FILE", usage = "the operator's YAML file")
        private String operatorFile;

        @Override
        void run() throws IOException, InvalidInputException, OperatorException {
            if (operatorFile != null) {
                OperatorConfig operator = readOperatorConfig(operatorFile);
                System.out.println("usable: " + operatorFile
                        + operator.hierarchy()
                                .map(hierarchy -> ", hierarchy of version "
                                        + hierarchy.topology().version() + " with "
                                        + hierarchy.topology().units().size() + " units")
                                .orElse(operator.fleet()
                                        .map(fleet -> ", fleet '" + fleet.cluster() + "' of " + fleet.size()
                                                + " routers with "
                                                + fleet.limits().size() + " limits")
                                        .orElse(", all off")));
                if (configFile == null) {
                    return;
                }
            }
            NodeConfig config = readConfig(configFile);
            System.out.println("usable: router '" + config.name() + "' on " + config.listen() + ", "
                    + config.settingsReader().settings().classes().size() + " classes, "
                    + config.initialUpdates().size()
                    + " events known");
        }
    }

    @Usage.Summary("prints the version")
    public static final class Version extends Command {
        @Override
        void run() {
            String version = Main.class.getPackage().getImplementationVersion();
            System.out.println("pumicemoor " + (version == null ? "(not packaged)" : version));
        }
    }
}
