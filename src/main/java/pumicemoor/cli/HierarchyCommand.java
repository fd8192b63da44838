package pumicemoor.cli;

import java.nio.file.Path;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;
import pumicemoor.hierarchy.MigrationPlan;
import pumicemoor.operator.HierarchySection;
import pumicemoor.operator.OperatorException;
import pumicemoor.operator.OperatorFile;
import pumicemoor.wire.InvalidInputException;

/**
 * The command 'hierarchy': validates a topology, or computes the migration from one to another, with the code that
 * routers run. It works on files only and must not contact a router.
 */
@Usage.Summary(
        "checks a hierarchy, or shows the steps from one to another: hierarchy check FILE, hierarchy plan OLD NEW")
public final class HierarchyCommand extends NestedCommand {

    @Argument(handler = SubCommandHandler.class, metaVar = "check|plan", required = true)
    @SubCommands({@SubCommand(name = "check", impl = Check.class), @SubCommand(name = "plan", impl = Plan.class)})
    private Command command;

    @Override
    Command selected() {
        return command;
    }

    /** Validates the topology of an operator's file. */
    @Usage.Summary(
            "checks the hierarchy of an operator's file; exits 1 with the file, line and key of the first trouble")
    public static final class Check extends Command {
        @Argument(metaVar = "FILE", required = true, usage = "an operator's file with a section 'hierarchy'")
        private String file;

        @Override
        void run() throws OperatorException {
            HierarchySection section = OperatorFile.readHierarchy(Path.of(file));
            System.out.println("usable: version " + section.topology().version() + ", "
                    + section.topology().units().size() + " units, "
                    + section.topology().links() + " links");
        }
    }

    /** Prints the steps of the migration from one topology to another. */
    @Usage.Summary(
            "shows the steps from the hierarchy in OLD to that in NEW with the times of NEW, and what each moves;"
                    + " exits 1 where NEW would be refused")
    public static final class Plan extends Command {
        @Argument(index = 0, metaVar = "OLD", required = true, usage = "the operator's file that is in force")
        private String currentFile;

        @Argument(index = 1, metaVar = "NEW", required = true, usage = "the operator's file that is to follow it")
        private String nextFile;

        @Override
        void run() throws OperatorException, InvalidInputException {
            HierarchySection next = OperatorFile.readHierarchy(Path.of(nextFile));
            HierarchySection current = OperatorFile.readHierarchy(Path.of(currentFile));
            if (next.topology().version() <= current.topology().version()) {
                throw new InvalidInputException(
                        nextFile + ": version " + next.topology().version() + " is not above version "
                                + current.topology().version() + " of " + currentFile);
            }
            MigrationPlan plan = MigrationPlan.between(current.topology(), next.topology(), next.timing());
            if (!plan.usable()) {
                throw new InvalidInputException(nextFile + ": refused: "
                        + (plan.violations().isEmpty()
                                ? "the migration would never complete"
                                : plan.violations().get(0)));
            }
            System.out.println("version " + current.topology().version() + " to "
                    + next.topology().version() + ", " + plan.steps().size()
                    + " steps; times count from the announcement");
            for (MigrationPlan.Step step : plan.steps()) {
                System.out.printf("at %.1f s%n", step.afterMicros() / 1e6);
                print("begins to fill from", step.begin());
                print("leaves by a rising share", step.leave());
                print("may fill from the one before", step.seeds());
                print("out of use", step.end());
                print("held back, it would close a loop", step.blocked());
            }
        }

        private static void print(String label, List<String> links) {
            if (!links.isEmpty()) {
                System.out.println("  " + label + ": " + String.join(", ", links));
            }
        }
    }
}
