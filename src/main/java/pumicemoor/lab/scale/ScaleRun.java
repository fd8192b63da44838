package pumicemoor.lab.scale;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Measures what a file asks for and writes the report; it owns the list of what can measure roles. */
public final class ScaleRun {

    private ScaleRun() {
    }

    /** Measures; the report's table is given back, it and the other files are left in the folder. */
    public static String run(Path file, Path folder, PrintStream progress) throws IOException {
        ScaleConfig config = ScaleConfig.read(file);
        List<Sample> samples = new ArrayList<>();
        for (RoleMeasurement m : measurements(config)) {
            samples.addAll(m.measure(config, progress));
        }
        return new ScaleReport(config, samples).write(folder);
    }

    private static List<RoleMeasurement> measurements(ScaleConfig config) {
        List<RoleMeasurement> all = new ArrayList<>();
        if (config.roles().stream().anyMatch(r -> r != ScaleConfig.Role.READER)) {
            all.add(new FleetRoles());
        }
        if (config.roles().contains(ScaleConfig.Role.READER)) {
            all.add(new ReaderRoles());
        }
        return all;
    }
}
