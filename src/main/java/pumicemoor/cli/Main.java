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
import pumicemoor.wire.SimulatorAdapter;
import pumicemoor.wire.WireException;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * The command line: it owns the way in and the exit codes, and must never hold anything that serving or
 * deciding needs.
 */
public final class Main {

    @Argument(handler = SubCommandHandler.class, metaVar = "COMMAND", required = true)
    @SubCommands({
        @SubCommand(name = "serve", impl = Serve.class),
        @SubCommand(name = "drill", impl = Replay.class),
        @SubCommand(name = "processor", impl = Processor.class),
        @SubCommand(name = "status", impl = Status.class),
        @SubCommand(name = "self-check", impl = SelfCheck.class),
        @SubCommand(name = "check-config", impl = CheckConfig.class),
        @SubCommand(name = "members", impl = FleetRows.Members.class),
        @SubCommand(name = "limits", impl = FleetRows.Limits.class),
        @SubCommand(name = "verdicts", impl = FleetRows.Verdicts.class),
        @SubCommand(name = "drain", impl = DrainCommands.class),
        @SubCommand(name = "hierarchy", impl = HierarchyCommand.class),
        @SubCommand(name = "lab", impl = LabCommand.class),
        @SubCommand(name = "version", impl = Version.class)
    })
    private Command command;

    @Option(name = "--help", aliases = "-h", help = true, usage = "print this")
    private boolean help;

    private Main() {}

    /** Runs the subcommand; exits 0 at its end, 1 on bad input, 2 on bad usage. */
    public static void main(String[] args) throws InterruptedException {
        Main main = new Main();
        CmdLineParser parser = new CmdLineParser(main);
        try {
            parser.parseArgument(args);
        } catch (CmdLineException e) {
            System.err.println(
                    "pumicemoor: " + e.getMessage().lines().findFirst().orElse(""));
            System.err.println(Usage.OF_ALL);
            System.exit(2);
        }
        if (main.help) {
            System.out.println(Usage.OF_ALL);
            return;
        }
        Command asked = main.command.innermost();
        if (!(asked instanceof Serve)) {
            Logging.choose(LogFormat.TEXT);
        }
        if (asked.help) {
            System.out.print(Usage.of(asked));
            return;
        }
        try {
            asked.run();
        } catch (NoSuchFileException e) {
            System.err.println("pumicemoor: there is no file '" + e.getMessage() + "'");
            System.exit(1);
        } catch (WireException | IOException | OperatorException e) {
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

    private static OperatorConfig operator(String file) throws OperatorException {
        return file == null ? OperatorConfig.NONE : OperatorFile.read(Path.of(file));
    }

    /** Routes requests until the process is asked to end. */
    @Usage.Text("routes requests on sockets, as the JSON file that RELAY_CONFIG names says, until SIGTERM")
    public static class Serve extends Command {
        private static final long LONGEST_END = 10_000;

        @Option(
                name = "--operator",
                metaVar = "FILE",
                usage = "the operator's YAML file; none: all as the platform has it")
        private String operatorFile;

        @Override
        void run() throws IOException, WireException, OperatorException, InterruptedException {
            String file = System.getenv("RELAY_CONFIG");
            // from here on SIGHUP ends nothing; a signal that comes before the server can take it waits for that
            Semaphore reload = new Semaphore(0);
            CountDownLatch end = new CountDownLatch(1);
            boolean deaf = Signal.handle(new Signal("HUP"), signal -> reload.release()) == SignalHandler.SIG_IGN;
            Signal.handle(new Signal("TERM"), signal -> end.countDown());
            Signal.handle(new Signal("INT"), signal -> end.countDown());
            OperatorConfig operator = operator(operatorFile);
            Logging.choose(operator.log());
            Logger log = LoggerFactory.getLogger(Serve.class);
            if (deaf) { // as under nohup; the JVM takes no signal that its parent had it ignore, and says nothing
                log.warn("this process was started with SIGHUP ignored: its files are read again when they change");
                watch(file, operatorFile, reload);
            }
            NodeConfig config = config(file);
            NodeServer server = new NodeServer(config, operator);
            if (operator.processor().isPresent()) {
                ProcessorFront.check(operator.processor().get(), config.words());
                ProcessorFront front = new ProcessorFront(operator.processor().get(), config.words());
                front.rehearse();
                server.attach(front);
            }
            server.follow();
            Thread reloading = new Thread(() -> reload(server, file, operatorFile, reload), "reload");
            reloading.setDaemon(true);
            reloading.start();
            server.open(clientsWanted());
            end.await();
            server.terminate();
            server.awaitEnd(LONGEST_END);
            log.info("counters: {}", server.counters());
            if (operatorFile != null) {
                log.info("state: {}", server.state());
            }
            System.exit(0);
        }

        boolean clientsWanted() {
            return true;
        }

        /** Asks for a reload whenever a file has changed. */
        private static void watch(String file, String operatorFile, Semaphore reload) {
            List<Path> files = Stream.of(file, operatorFile)
                    .filter(Objects::nonNull)
                    .map(Path::of)
                    .toList();
            ConfigWatch watch = new ConfigWatch(files);
            ScheduledExecutorService watching = Executors.newSingleThreadScheduledExecutor(task -> {
                Thread thread = new Thread(task, "config-watch");
                thread.setDaemon(true);
                return thread;
            });
            watching.scheduleWithFixedDelay(
                    () -> {
                        if (watch.changed()) {
                            reload.release();
                        }
                    },
                    ConfigWatch.INTERVAL,
                    ConfigWatch.INTERVAL,
                    TimeUnit.MILLISECONDS);
        }

        /** Reads the file once for all the signals that have come by then, and hands over what it found. */
        private static void reload(NodeServer server, String file, String operatorFile, Semaphore asked) {
            try {
                while (true) {
                    asked.acquire();
                    asked.drainPermits();
                    NodeConfig next = null;
                    OperatorConfig nextOperator = null;
                    String problem = null;
                    try {
                        next = config(file);
                        nextOperator = operator(operatorFile);
                    } catch (WireException | IOException | OperatorException | RuntimeException e) {
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

    /** Decides for proxies alone. */
    @Usage.Text(
            "decides for proxies that call, as 'processor' in the operator's file says; clients are not listened to")
    public static final class Processor extends Serve {
        @Override
        boolean clientsWanted() {
            return false;
        }
    }

    /** Decides for the simulator. */
    @Usage.Text("decides for the simulator: events on standard input, actions on standard output")
    public static final class Replay extends Command {
        @Override
        void run() throws IOException, WireException {
            try (FileInputStream in = new FileInputStream(FileDescriptor.in);
                    BufferedOutputStream out =
                            new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), 1 << 16)) {
                new SimulatorAdapter(in, out).run();
            }
        }
    }

    /** Reads a configuration and says what it found. */
    @Usage.Text("reads a configuration, and the operator's file where one is named, and says whether they can be used")
    public static final class CheckConfig extends Command {
        @Argument(metaVar = "FILE", usage = "the configuration; RELAY_CONFIG names it otherwise")
        private String file = System.getenv("RELAY_CONFIG");

        @Option(name = "--operator", metaVar = "FILE", usage = "the operator's YAML file")
        private String operatorFile;

        @Override
        void run() throws IOException, WireException, OperatorException {
            if (operatorFile != null) {
                OperatorConfig operator = operator(operatorFile);
                System.out.println("usable: " + operatorFile
                        + operator.hierarchy()
                                .map(h -> ", hierarchy of version " + h.shape().version() + " with "
                                        + h.shape().units().size() + " units")
                                .orElse(operator.fleet()
                                        .map(f -> ", fleet '" + f.cluster() + "' of " + f.size() + " routers with "
                                                + f.limits().size() + " limits")
                                        .orElse(", all off")));
                if (file == null) {
                    return;
                }
            }
            NodeConfig config = config(file);
            System.out.println("usable: router '" + config.name() + "' on " + config.listen() + ", "
                    + config.words().settings().classes().size() + " classes, "
                    + config.known().size()
                    + " events known");
        }
    }

    /** Prints the version. */
    @Usage.Text("prints the version")
    public static final class Version extends Command {
        @Override
        void run() {
            String version = Main.class.getPackage().getImplementationVersion();
            System.out.println("pumicemoor " + (version == null ? "(not packaged)" : version));
        }
    }
}
