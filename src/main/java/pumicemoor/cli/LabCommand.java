package pumicemoor.cli;

import java.io.IOException;
import java.nio.file.Path;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;
import pumicemoor.lab.LabRun;

/** The way into the lab; it must never be needed by serving. */
@Usage.Text("plays scenarios with stand-ins on loopback against the real program: lab run FILE")
public final class LabCommand extends NestedCommand {

    @Argument(handler = SubCommandHandler.class, metaVar = "run", required = true)
    @SubCommands(@SubCommand(name = "run", impl = Run.class))
    private Command command;

    @Override
    Command inner() {
        return command;
    }

    /** Plays one scenario. */
    @Usage.Text("plays a scenario and prints what was measured; report.md, report.csv and asked.csv stay in the folder")
    public static final class Run extends Command {
        @Argument(metaVar = "FILE", required = true, usage = "the scenario, as YAML (docs/lab.md)")
        private String file;

        @Option(name = "--out", metaVar = "FOLDER", usage = "where reports and logs go (default: logs/lab)")
        private String folder = "logs/lab";

        @Option(name = "--by", metaVar = "feed|file|restart", usage = "how changes are told, in place of the scenario's way")
        private String by;

        @Override
        void run() throws IOException, InterruptedException {
            String table = LabRun.table(Path.of(file), by, Path.of(folder), System.out);
            System.out.println();
            System.out.print(table);
        }
    }
}
