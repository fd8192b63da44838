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
import pumicemoor.wire.InvalidInputException;

/**
 * The command 'drain': sends drain requests for maintenance to the fleet of a running router, and shows the drain plan.
 * The routers decide the order of drains; this command must not.
 */
@Usage.Summary(
        "takes members out for work in an order that the routers settle: drain request|done|cancel|status HOST:PORT")
public final class DrainCommands extends NestedCommand {

    @Argument(handler = SubCommandHandler.class, metaVar = "request|done|cancel|status", required = true)
    @SubCommands({
        @SubCommand(name = "request", impl = Request.class),
        @SubCommand(name = "done", impl = Done.class),
        @SubCommand(name = "cancel", impl = Cancel.class),
        @SubCommand(name = "status", impl = ShowPlan.class)
    })
    private Command command;

    @Override
    Command selected() {
        return command;
    }

    /** A command that changes the drain plan and waits until the plan in force shows the change. */
    abstract static class PlanChange extends Command {

        private static final long POLL_INTERVAL_MILLIS = 200;

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
        private int waitSeconds = 10;

        private final String verb;

        PlanChange(String verb) {
            this.verb = verb;
        }

        /** Adds the fields of the request that only this command has. */
        abstract void addFields(Map<String, String> fields);

        /** Returns whether the plan in force shows that the command has taken effect. */
        abstract boolean hasTakenEffect(String address, String id) throws IOException, InvalidInputException;

        @Override
        void run() throws IOException, InvalidInputException, InterruptedException {
            Map<String, String> fields = new LinkedHashMap<>();
            fields.put("drain", verb);
            fields.put("id", id);
            fields.put("members", members);
            if (cluster != null) {
                fields.put("cluster", cluster);
            }
            addFields(fields);
            String answer = Status.command(address, fields);
            if (!answer.startsWith("waits")) {
                throw new InvalidInputException(answer);
            }
            long deadlineNanos = System.nanoTime() + waitSeconds * 1_000_000_000L;
            while (!hasTakenEffect(address, id)) {
                if (System.nanoTime() > deadlineNanos) {
                    throw new InvalidInputException("not agreed within " + waitSeconds
                            + " s: there is no majority of the routers, or they do not"
                            + " list these members; " + address + " keeps trying for a minute, and --id " + id
                            + " repeats the command with no second effect");
                }
                Thread.sleep(POLL_INTERVAL_MILLIS);
            }
            System.out.println("agreed: " + verb + " " + id);
        }

        static List<Map<String, Object>> drainRows(String address) throws IOException, InvalidInputException {
            return Status.rows(address, "drains");
        }

        /** Returns the rows of the drain plan for the members of this command. */
        List<Map<String, Object>> rowsOfMembers(String address) throws IOException, InvalidInputException {
            List<String> names = List.of(members.split("\\s*,\\s*"));
            return drainRows(address).stream()
                    .filter(row -> names.contains(row.get("member")))
                    .toList();
        }
    }

    /** Requests the drain of members for maintenance. */
    @Usage.Summary("asks the fleet to take members out for work, in an order that the routers settle")
    public static final class Request extends PlanChange {

        @Option(
                name = "--max-at-once",
                metaVar = "K",
                required = true,
                usage = "how many may be out at once in the whole fleet")
        private int maxAtOnce;

        @Option(
                name = "--min-serving",
                metaVar = "F",
                required = true,
                usage = "how many of each tier have to go on serving")
        private int minServing;

        public Request() {
            super("request");
        }

        @Override
        void addFields(Map<String, String> fields) {
            fields.put("max-at-once", Integer.toString(maxAtOnce));
            fields.put("min-serving", Integer.toString(minServing));
        }

        @Override
        boolean hasTakenEffect(String address, String id) throws IOException, InvalidInputException {
            return Status.rows(address, "drain-requests").stream()
                    .anyMatch(
                            row -> row.get("id").equals(id) && !row.get("state").equals("not-taken"));
        }
    }

    /** Reports that the maintenance of a member is done. */
    @Usage.Summary("says that the work on a member that is out is done: it is let back in and warms")
    public static final class Done extends PlanChange {

        @Option(
                name = "--fence",
                metaVar = "N",
                usage = "the fence that 'drain status' showed when the member went out")
        private Long fence;

        public Done() {
            super("done");
        }

        @Override
        void addFields(Map<String, String> fields) {
            if (fence != null) {
                fields.put("fence", fence.toString());
            }
        }

        @Override
        boolean hasTakenEffect(String address, String id) throws IOException, InvalidInputException {
            return rowsOfMembers(address).stream()
                    .noneMatch(row -> row.get("phase").equals("out"));
        }
    }

    /** Cancels the drains of members that are not out yet. */
    @Usage.Summary("leaves alone those of the members that are not out yet")
    public static final class Cancel extends PlanChange {

        public Cancel() {
            super("cancel");
        }

        @Override
        void addFields(Map<String, String> fields) {
            // a cancel has no field beside its members
        }

        @Override
        boolean hasTakenEffect(String address, String id) throws IOException, InvalidInputException {
            return rowsOfMembers(address).stream()
                    .noneMatch(row -> List.of("queued", "named", "draining").contains(row.get("phase")));
        }
    }

    /** Shows the drain plan. */
    @Usage.Summary("shows who is out, who comes next, since when, and what holds it up")
    public static final class ShowPlan extends FleetRows {
        public ShowPlan() {
            super("drains");
        }
    }
}
