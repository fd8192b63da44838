package pumicemoor.cli;

import java.io.IOException;
import pumicemoor.operator.OperatorException;
import pumicemoor.wire.InvalidInputException;

/** A sub-command that only groups other sub-commands. */
abstract class NestedCommand extends Command {

    /** Returns the selected sub-command, or null if only help was requested. */
    abstract Command selected();

    @Override
    Command innermost() {
        return selected() == null ? this : selected().innermost();
    }

    @Override
    void run() throws IOException, InvalidInputException, OperatorException, InterruptedException {
        selected().run();
    }
}
