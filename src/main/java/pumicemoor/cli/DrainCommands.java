package pumicemoor.cli;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;
import pumicemoor.wire.WireException;

/** Asks a running router's fleet to take members out for work, one after the other; it must never order them itself. */
@Usage.Text(
        "takes members out for work in an order that the routers settle: drain request|done|cancel|status HOST:PORT")
public final class DrainCommands extends NestedCommand {

    @Argument(handler = SubCommandHandler.class, metaVar = "request|done|cancel|status", required = true)
    @SubCommands({
        @SubCommand(name = "request", impl = Request.class),
        @SubCommand(name = "done", impl = Done.class),
        @SubCommand(name = "cancel", impl = Cancel.class),
        @SubCommand(name = "status", impl = Shown.class)
    })
    private Command command;

    @Override
    Command inner() {
        return command;
    }

    /** A command that waits until the plan in force shows it. */
    abstract static class Told extends Command {

        private static final long POLL = 200; // milliseconds

        @Argument(
                metaVar = "HOST:PORT",
                required = true,
                usage = "where any router of the fleet listens, on this machine")
        private String address;

        @Option(
                name = "--members",
                metaVar = "A,B,C",
                required = true,
                usage = "names as listed; a router is router/NAME")
        String members;

        @Option(name = "--cluster", metaVar = "NAME", usage = "refuse where the router is of another fleet")
        private String cluster;

        @Option(
                name = "--id",
                metaVar = "HEX",
                usage = "the command's own number; a repeat under it has no second effect")
        private String id = Long.toHexString(ThreadLocalRandom.current().nextLong());

        @Option(name = "--wait", metaVar = "SECONDS", usage = "how long to wait until the routers have agreed (10)")
        private int wait = 10;

        private final String verb;

        Told(String verb) {
            this.verb = verb;
        }

        /** What this command has beside its members. */
        abstract void add(Map<String, String> fields);

        /** Whether the plan in force shows that it was taken. */
        abstract boolean taken(String address, String id) throws IOException, WireException;

        @Override
        void run() throws IOException, WireException, InterruptedException {
            Map<String, String> fields = new LinkedHashMap<>();
            fields.put("drain", verb);
            fields.put("id", id);
            fields.put("members", members);
            if (cluster != null) {
                fields.put("cluster", cluster);
            }
            add(fields);
            String said = Status.command(address, fields);
            if (!said.startsWith("waits")) {
                throw new WireException(said);
            }
            long end = System.nanoTime() + wait * 1_000_000_000L;
            while (!taken(address, id)) {
                if (System.nanoTime() > end) {
                    throw new WireException(
                            "not agreed within " + wait + " s: no majority of the routers, or they do not"
                                    + " list these members; " + address + " goes on asking for a minute, and --id " + id
                                    + " repeats it with no second effect");
                }
                Thread.sleep(POLL);
            }
            System.out.println("agreed: " + verb + " " + id);
        }

        static List<Map<String, Object>> rows(String address) throws IOException, WireException {
            return Status.rows(address, "drains");
        }

        /** The rows of this command's members. */
        List<Map<String, Object>> mine(String address) throws IOException, WireException {
            List<String> names = List.of(members.split("\\s*,\\s*"));
            return rows(address).stream()
                    .filter(r -> names.contains(r.get("member")))
                    .toList();
        }
    }

    /** Asks for maintenance. */
    @Usage.Text("asks the fleet to take members out for work, in an order that the routers settle")
    public static final class Request extends Told {

        @Option(
                name = "--max-at-once",
                metaVar = "K",
                required = true,
                usage = "how many may be out at once in the whole fleet")
        private int most;

        @Option(
                name = "--min-serving",
                metaVar = "F",
                required = true,
                usage = "how many of each tier have to go on serving")
        private int least;

        public Request() {
            super("request");
        }

        @Override
        void add(Map<String, String> fields) {
            fields.put("max-at-once", Integer.toString(most));
            fields.put("min-serving", Integer.toString(least));
        }

        @Override
        boolean taken(String address, String id) throws IOException, WireException {
            return Status.rows(address, "drain-requests").stream()
                    .anyMatch(r -> r.get("id").equals(id) && !r.get("state").equals("not-taken"));
        }
    }

    /** Says that the work on a member is done. */
    @Usage.Text("says that the work on a member that is out is done: it is let back in and warms")
    public static final class Done extends Told {

        @Option(
                name = "--fence",
                metaVar = "N",
                usage = "the fence that 'drain status' showed when the member went out")
        private Long fence;

        public Done() {
            super("done");
        }

        @Override
        void add(Map<String, String> fields) {
            if (fence != null) {
                fields.put("fence", fence.toString());
            }
        }

        @Override
        boolean taken(String address, String id) throws IOException, WireException {
            return mine(address).stream().noneMatch(r -> r.get("phase").equals("out"));
        }
    }

    /** Calls off what has not gone out yet. */
    @Usage.Text("leaves alone those of the members that are not out yet")
    public static final class Cancel extends Told {

        public Cancel() {
            super("cancel");
        }

        @Override
        void add(Map<String, String> fields) {
            // the members say it all
        }

        @Override
        boolean taken(String address, String id) throws IOException, WireException {
            return mine(address).stream()
                    .noneMatch(r -> List.of("queued", "named", "draining").contains(r.get("phase")));
        }
    }

    /** Shows the plan. */
    @Usage.Text("shows who is out, who comes next, since when, and what holds it up")
    public static final class Shown extends FleetRows {
        public Shown() {
            super("drains");
        }
    }
}
