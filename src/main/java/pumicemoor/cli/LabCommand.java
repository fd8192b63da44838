package pumicemoor.cli;

import java.io.IOException;
import java.nio.file.Path;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;
import pumicemoor.lab.LabRun;
import pumicemoor.lab.ProcessRun;
import pumicemoor.lab.scale.ScaleRun;

/** The command 'lab', which runs scenarios and measurements. The serving path must not depend on it. */
@Usage.Summary("plays scenarios with stand-ins on loopback (lab run FILE), measures costs by size (lab scale FILE)")
public final class LabCommand extends NestedCommand {

    @Argument(handler = SubCommandHandler.class, metaVar = "run|scale|processes", required = true)
    @SubCommands({
        @SubCommand(name = "run", impl = Run.class),
        @SubCommand(name = "scale", impl = Scale.class),
        @SubCommand(name = "processes", impl = Processes.class)
    })
    private Command command;

    @Override
    Command selected() {
        return command;
    }

    /** Runs one scenario and prints its report. */
    @Usage.Summary(
            "plays a scenario and prints what was measured; report.md, report.csv and asked.csv stay in the folder")
    public static final class Run extends Command {
        @Argument(metaVar = "FILE", required = true, usage = "the scenario, as YAML (docs/lab.md)")
        private String file;

        @Option(name = "--out", metaVar = "FOLDER", usage = "where reports and logs go (default: logs/lab)")
        private String folder = "logs/lab";

        @Option(
                name = "--by",
                metaVar = "feed|file|restart",
                usage = "how changes are told, in place of the scenario's way")
        private String updatePath;

        @Override
        void run() throws IOException, InterruptedException {
            String table = LabRun.playToMarkdown(Path.of(file), updatePath, Path.of(folder), System.out);
            System.out.println();
            System.out.print(table);
        }
    }

    /** Measures what taking part in a fleet costs a router, with routers as real processes. */
    @Usage.Summary("measures bytes, processor time and memory of real router processes, calm, with a fleet and without")
    public static final class Processes extends Command {
        @Argument(metaVar = "FILE", required = true, usage = "the sizes and the fleet's times, as YAML (docs/lab.md)")
        private String file;

        @Option(name = "--out", metaVar = "FOLDER", usage = "where results and logs go (default: logs/processes)")
        private String folder = "logs/processes";

        @Override
        void run() throws IOException, InterruptedException {
            String tables = ProcessRun.measureToMarkdown(Path.of(file), Path.of(folder), System.out);
            System.out.println();
            System.out.print(tables);
        }
    }

    /** Measures what each role in a fleet costs a router, at several sizes of the fleet. */
    @Usage.Summary(
            "measures what each role costs as a fleet grows, in virtual time; scale.json, scale.md and plots stay in"
                    + " the folder")
    public static final class Scale extends Command {
        @Argument(metaVar = "FILE", required = true, usage = "what is measured, as YAML (docs/lab.md, \"Scale\")")
        private String file;

        @Option(name = "--out", metaVar = "FOLDER", usage = "where the report goes (default: logs/scale)")
        private String folder = "logs/scale";

        @Override
        void run() throws IOException {
            System.out.print(ScaleRun.run(Path.of(file), Path.of(folder), System.err));
        }
    }
}
