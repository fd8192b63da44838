package pumicemoor.cli;

import java.io.IOException;
import org.kohsuke.args4j.Option;
import pumicemoor.operator.OperatorException;
import pumicemoor.wire.InvalidInputException;

/** A sub-command of the command line. The process exits with 0 when it is done and with 1 on bad input. */
abstract class Command {

    @Option(name = "--help", aliases = "-h", help = true, usage = "print this")
    boolean helpRequested;

    /** Returns the command to run: this one, or the selected one of its sub-commands. */
    Command innermost() {
        return this;
    }

    abstract void run() throws IOException, InvalidInputException, OperatorException, InterruptedException;
}
