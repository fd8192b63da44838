package pumicemoor.cli;

import java.io.IOException;
import org.kohsuke.args4j.Option;
import pumicemoor.operator.OperatorException;
import pumicemoor.wire.WireException;

/** A sub-command; it exits 0 when done, 1 on bad input, and prints its own usage when asked. */
abstract class Command {

    @Option(name = "--help", aliases = "-h", help = true, usage = "print this")
    boolean help;

    /** The command to run: this one, or one inside it. */
    Command innermost() {
        return this;
    }

    abstract void run() throws IOException, WireException, OperatorException, InterruptedException;
}
