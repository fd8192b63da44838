package pumicemoor.lab.scale;

import java.io.PrintStream;
import java.util.List;

/** Measures the cost of a group of roles at all sizes that the configuration lists. */
public interface RoleMeasurement {

    /**
     * Measures the roles and returns the samples, ordered by size within each role. Long runs print a line to {@code
     * progress} from time to time.
     */
    List<Sample> measure(ScaleConfig config, PrintStream progress);
}
