package pumicemoor.lab.scale;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Runs the measurements that a scale file asks for and writes the report. It owns the list of measurements. */
public final class ScaleRun {

    private ScaleRun() {}

    /** Runs the measurements, writes the report files into the folder and returns the Markdown table. */
    public static String run(Path file, Path folder, PrintStream progress) throws IOException {
        ScaleConfig config = ScaleConfig.read(file);
        List<Sample> samples = new ArrayList<>();
        for (RoleMeasurement measurement :
                measurements(config, samplesSoFar -> writeReport(config, samplesSoFar, folder))) {
            samples.addAll(measurement.measure(config, progress));
        }
        return new ScaleReport(config, samples).write(folder);
    }

    /** Writes a report of the samples so far, so that a run that is killed leaves the figures of the finished sizes. */
    private static void writeReport(ScaleConfig config, List<Sample> samples, Path folder) {
        try {
            new ScaleReport(config, samples).write(folder);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static List<RoleMeasurement> measurements(ScaleConfig config, Consumer<List<Sample>> onSamples) {
        List<RoleMeasurement> measurements = new ArrayList<>();
        if (config.roles().stream().anyMatch(r -> r != ScaleConfig.Role.READER)) {
            measurements.add(new FleetRoles(onSamples));
        }
        if (config.roles().contains(ScaleConfig.Role.READER)) {
            measurements.add(new ReaderRoles());
        }
        return measurements;
    }
}
