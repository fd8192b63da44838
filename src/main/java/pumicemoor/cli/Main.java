package pumicemoor.cli;

import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import pumicemoor.wire.Drill;
import pumicemoor.wire.WireException;

/** The command line. */
public final class Main {

    private static final String USAGE = "usage: java -jar pumicemoor.jar drill\n"
            + "  drill   decide for the simulator: events on standard input, actions on standard output";

    private Main() {
    }

    /** Runs the subcommand; exits 0 at the end of input, 1 on bad input, 2 on bad usage. */
    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("drill")) {
            System.err.println(USAGE);
            System.exit(2);
        }
        try (FileInputStream in = new FileInputStream(FileDescriptor.in);
                BufferedOutputStream out =
                        new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), 1 << 16)) {
            new Drill(in, out).run();
        } catch (WireException | IOException e) {
            System.err.println("pumicemoor: " + e.getMessage());
            System.exit(1);
        }
    }
}
