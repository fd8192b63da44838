package pumicemoor.lab.scale;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Measures what a file asks for and writes the report; it owns the list of what can measure roles. */
public final class ScaleRun {

    private ScaleRun() {}

    /** Measures; the report's table is given back, it and the other files are left in the folder. */
    public static String run(Path file, Path folder, PrintStream progress) throws IOException {
        ScaleConfig config = ScaleConfig.read(file);
        List<Sample> samples = new ArrayList<>();
        for (RoleMeasurement m : measurements(config, soFar -> keep(config, soFar, folder))) {
            samples.addAll(m.measure(config, progress));
        }
        return new ScaleReport(config, samples).write(folder);
    }

    /** A run that is ended before its time leaves what it had. */
    private static void keep(ScaleConfig config, List<Sample> samples, Path folder) {
        try {
            new ScaleReport(config, samples).write(folder);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static List<RoleMeasurement> measurements(ScaleConfig config, Consumer<List<Sample>> soFar) {
        List<RoleMeasurement> all = new ArrayList<>();
        if (config.roles().stream().anyMatch(r -> r != ScaleConfig.Role.READER)) {
            all.add(new FleetRoles(soFar));
        }
        if (config.roles().contains(ScaleConfig.Role.READER)) {
            all.add(new ReaderRoles());
        }
        return all;
    }
}
