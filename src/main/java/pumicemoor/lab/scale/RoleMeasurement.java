package pumicemoor.lab.scale;

import java.io.PrintStream;
import java.util.List;

/** One way of measuring what roles cost; it goes over the sizes of the configuration by itself. */
public interface RoleMeasurement {

    /** What was measured, in the order of sizes within each role; progress takes a line now and then on long runs. */
    List<Sample> measure(ScaleConfig config, PrintStream progress);
}
