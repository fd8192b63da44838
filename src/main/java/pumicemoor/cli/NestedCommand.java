package pumicemoor.cli;

import java.io.IOException;
import pumicemoor.operator.OperatorException;
import pumicemoor.wire.WireException;

/** A sub-command that only holds others. */
abstract class NestedCommand extends Command {

    /** The one that was asked for; null where only help was. */
    abstract Command inner();

    @Override
    Command innermost() {
        return inner() == null ? this : inner().innermost();
    }

    @Override
    void run() throws IOException, WireException, OperatorException, InterruptedException {
        inner().run();
    }
}
