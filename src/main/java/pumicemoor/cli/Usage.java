package pumicemoor.cli;

import java.io.ByteArrayOutputStream;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.nio.charset.StandardCharsets;
import org.kohsuke.args4j.CmdLineParser;

/** The usage texts of the command line. */
final class Usage {

    /** A summary of what a command does, in one line. */
    @Retention(RetentionPolicy.RUNTIME)
    @interface Summary {
        String value();
    }

    static final String OVERVIEW =
            """
            usage: java -jar pumicemoor.jar COMMAND
              serve          route requests on sockets, as the JSON file that RELAY_CONFIG names says
              processor      decide for proxies that call, and listen to no clients
              drill          decide for the simulator: events on standard input, actions on standard output
              status         ask a running router for its state and counters: status HOST:PORT
              self-check     start a router on loopback, have it serve one request, end it
              check-config   read a configuration and say whether it can be used: check-config [FILE]
              members        show the routers of the fleet as a running router knows them: members HOST:PORT [--json]
              limits         show the fleet's limits and the router's parts: limits HOST:PORT [--json]
              verdicts       show the fleet's verdicts on caches and parents: verdicts HOST:PORT [--json]
              drain          take members out for work in order: drain request|done|cancel|status HOST:PORT
              hierarchy      check a hierarchy, or plan the change from one to another: hierarchy check|plan
              lab            play a scenario with stand-ins on loopback: lab run|processes FILE
              version        print the version
            COMMAND --help says more of each""";

    private static final int WIDTH_COLUMNS = 110;

    private Usage() {}

    /** Returns the usage of a command: its summary and its options. */
    static String of(Command command) {
        CmdLineParser parser = new CmdLineParser(command);
        parser.getProperties().withUsageWidth(WIDTH_COLUMNS);
        ByteArrayOutputStream options = new ByteArrayOutputStream();
        parser.printUsage(options);
        Summary summary = command.getClass().getAnnotation(Summary.class);
        return (summary == null ? "" : summary.value() + "\n") + options.toString(StandardCharsets.UTF_8);
    }
}
