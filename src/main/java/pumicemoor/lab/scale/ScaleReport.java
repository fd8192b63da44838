package pumicemoor.lab.scale;

import com.fasterxml.jackson.core.util.DefaultIndenter;
import com.fasterxml.jackson.core.util.DefaultPrettyPrinter;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectWriter;
import java.io.IOException;
import java.math.BigDecimal;
import java.math.MathContext;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import pumicemoor.lab.scale.Fit.BudgetCrossing;
import pumicemoor.lab.scale.Fit.Point;

/**
 * Writes the samples of a run as JSON, as Markdown tables and as plots. It owns the budgets for a router's control
 * traffic, CPU time and heap, and selects the figures that are compared with them. It must never leave out a
 * sample or show a fit without its range.
 */
final class ScaleReport {

    /**
     * The name of a figure in samples, its budget (infinite for none) and the prefix of the file names of its plots.
     */
    record Budget(String figure, double max, String filePrefix) {

        static Budget none(String figure) {
            return new Budget(figure, Double.POSITIVE_INFINITY, figure.replaceAll("[^A-Za-z0-9]+", "-"));
        }
    }

    /** 26 KB a second in and out together, 2.6 % of a core, 32 MB of heap. */
    static final List<Budget> BUDGETS = List.of(
            new Budget("bytes/s", 26_000, "bytes"),
            new Budget("worst second bytes/s", 26_000, "worst-second"),
            new Budget("cpu ms/s", 26, "cpu"),
            new Budget("heap bytes", 32_000_000, "heap"));

    /** The figures that the first table shows or covers. Of these only the ones with a budget are fitted. */
    private static final Set<String> TABLE_FIGURES = Set.of(
            "routers",
            "bytes/s",
            "bytes in/s",
            "bytes out/s",
            "packets in/s",
            "packets out/s",
            "cpu ms/s",
            "heap bytes",
            "worst router bytes/s",
            "worst router bytes in/s",
            "worst router bytes out/s",
            "worst router cpu ms/s",
            "worst second bytes/s",
            "worst second bytes in/s",
            "worst second bytes out/s",
            "living known",
            "cells",
            "delegates known",
            SimulatedFleet.SPENDABLE_SHARE);

    /** One figure of one role by size; {@code fit} is null if there are fewer than three sizes. */
    record Slope(String role, Budget budget, List<Point> points, Fit fit, Optional<BudgetCrossing> crossing) {

        /**
         * What the sizes of the role count: what the role's name says after 'by' or implies otherwise, else routers.
         */
        String axis() {
            int by = role.lastIndexOf(", by ");
            if (by >= 0) {
                return role.substring(by + 5);
            }
            return role.endsWith("purges a second")
                    ? "purges a second"
                    : role.endsWith("seconds cut off")
                            ? "seconds cut off"
                            : role.startsWith("reader")
                                            || role.startsWith("decider")
                                            || role.startsWith("cold start")
                                            || role.endsWith("at each cache")
                                    ? "members"
                                    : "routers";
        }

        /** The part of the role's name after its first comma, or the whole name. Roles of one scenario share a plot. */
        String scenario() {
            int comma = role.indexOf(", ");
            return comma < 0 ? role : role.substring(comma + 2);
        }
    }

    private final ScaleConfig config;
    private final List<Sample> samples;

    ScaleReport(ScaleConfig config, List<Sample> samples) {
        this.config = config;
        this.samples = samples.stream().map(ScaleReport::withTotalBytes).toList();
    }

    /** Adds the sum of bytes in and out to a sample that has one or both of them but no sum. */
    private static Sample withTotalBytes(Sample sample) {
        if (sample.figures().containsKey("bytes/s")
                || sample.figures().keySet().stream()
                        .noneMatch(f -> f.equals("bytes in/s") || f.equals("bytes out/s"))) {
            return sample;
        }
        Map<String, Double> figures = new LinkedHashMap<>(sample.figures());
        figures.put(
                "bytes/s",
                sample.figures().getOrDefault("bytes in/s", 0.0)
                        + sample.figures().getOrDefault("bytes out/s", 0.0));
        return new Sample(sample.role(), sample.size(), figures);
    }

    /**
     * The figures of a role that are fitted: those with a budget, and those that are not in the first table, except
     * derived values ("worked out") and the minimum and maximum of rounds.
     */
    private List<Budget> fittedBudgets(String role) {
        List<Budget> fitted = new ArrayList<>(BUDGETS);
        samples.stream()
                .filter(s -> s.role().equals(role))
                .flatMap(s -> s.figures().keySet().stream())
                .distinct()
                .filter(f -> !TABLE_FIGURES.contains(f)
                        && !f.startsWith("worked out")
                        && !f.endsWith(" least")
                        && !f.endsWith(" most"))
                .forEach(f -> fitted.add(Budget.none(f)));
        return fitted;
    }

    /** The slopes of all fitted figures, role by role. */
    List<Slope> slopes() {
        List<Slope> slopes = new ArrayList<>();
        for (String role :
                new LinkedHashSet<>(samples.stream().map(Sample::role).toList())) {
            for (Budget budget : fittedBudgets(role)) {
                List<Point> points = samples.stream()
                        .filter(s -> s.role().equals(role) && s.figures().containsKey(budget.figure()))
                        .map(s -> new Point(s.size(), s.figures().get(budget.figure())))
                        .toList();
                if (!points.isEmpty()) {
                    Fit fit = Fit.of(points);
                    slopes.add(new Slope(role, budget, points, fit, Fit.budgetCrossing(points, fit, budget.max())));
                }
            }
        }
        return slopes;
    }

    /** Writes scale.json, scale.md and the plots into the folder and returns the contents of scale.md. */
    String write(Path folder) throws IOException {
        Files.createDirectories(folder);
        List<Slope> slopes = slopes();
        ObjectWriter json = new ObjectMapper()
                .writer(new DefaultPrettyPrinter()
                        .withObjectIndenter(new DefaultIndenter("  ", "\n"))
                        .withArrayIndenter(new DefaultIndenter("  ", "\n")));
        Files.writeString(folder.resolve("scale.json"), json.writeValueAsString(jsonTree(slopes)) + "\n");
        String table = markdown(slopes);
        Files.writeString(folder.resolve("scale.md"), table);
        for (Budget budget :
                new LinkedHashSet<>(slopes.stream().map(Slope::budget).toList())) {
            for (String scenario :
                    new TreeSet<>(slopes.stream().map(Slope::scenario).toList())) {
                List<Slope> shown = slopes.stream()
                        .filter(s -> s.budget().equals(budget)
                                && s.scenario().equals(scenario)
                                && s.points().stream().anyMatch(p -> p.value() > 0 && p.size() > 0))
                        .toList();
                if (!shown.isEmpty()) {
                    SlopePlot.write(
                            budget,
                            scenario,
                            shown,
                            folder.resolve(
                                    budget.filePrefix() + "-" + scenario.replaceAll("[^A-Za-z0-9]+", "-") + ".svg"));
                }
            }
        }
        return table;
    }

    private Map<String, Object> jsonTree(List<Slope> slopes) {
        Map<String, Object> tree = new LinkedHashMap<>();
        tree.put("parameters", config);
        List<Map<String, Object>> rows = new ArrayList<>();
        for (Sample sample : samples) {
            Map<String, Object> row = new LinkedHashMap<>();
            row.put("role", sample.role());
            row.put("size", sample.size());
            Map<String, Double> figures = new LinkedHashMap<>();
            sample.figures().forEach((figure, value) -> figures.put(figure, rounded(value, 7)));
            row.put("figures", figures);
            rows.add(row);
        }
        tree.put("samples", rows);
        List<Map<String, Object>> fits = new ArrayList<>();
        for (Slope slope : slopes) {
            Map<String, Object> row = new LinkedHashMap<>();
            row.put("role", slope.role());
            row.put("figure", slope.budget().figure());
            if (Double.isFinite(slope.budget().max())) {
                row.put("budget", slope.budget().max());
            }
            slope.crossing().ifPresent(crossing -> {
                row.put("leaves budget at", rounded(crossing.size()));
                row.put("leaves within the measured range", crossing.measured());
            });
            if (slope.fit() != null) {
                Fit fit = slope.fit();
                row.put("measured from", fit.minSize());
                row.put("measured to", fit.maxSize());
                row.put("slope", rounded(fit.slope()));
                row.put("slope, 95 % low", rounded(fit.slopeLow()));
                row.put("slope, 95 % high", rounded(fit.slopeHigh()));
                row.put("worst residual, factor", rounded(fit.maxResidual()));
                row.put("form", fit.form());
                row.put("form's worst residual, factor", rounded(fit.formMaxResidual()));
                if (slope.axis().equals("routers")) {
                    row.put("at target", rounded(fit.predict(config.target())));
                    row.put("target past the range, factor", rounded(fit.extrapolationFactor(config.target())));
                }
            }
            fits.add(row);
        }
        tree.put("fits", fits);
        return tree;
    }

    private static double rounded(double value) {
        return rounded(value, 4);
    }

    private static double rounded(double value, int digits) {
        return Double.isFinite(value)
                ? new BigDecimal(value).round(new MathContext(digits)).doubleValue()
                : value;
    }

    private String markdown(List<Slope> slopes) {
        StringBuilder md = new StringBuilder("# " + config.name() + "\n\n");
        md.append("Seed ")
                .append(config.seed())
                .append(
                        config.cells() == null
                                ? ", one flat fleet"
                                : ", cells of " + config.cells().most() + " routers at most with "
                                        + config.cells().delegates() + " delegates")
                .append(", period ")
                .append(config.periodMillis())
                .append(" ms, lease ")
                .append(config.leaseMillis())
                .append(" ms, ")
                .append(config.loss() * 100)
                .append(" % of packets lost, churn ")
                .append(config.churn())
                .append(" a second at the largest size. Virtual time; bytes are those of the packets without the"
                        + " headers of UDP and IP; processor time is this machine's, without collections.\n\n");
        if (config.cells() == null && config.routers().stream().anyMatch(n -> n > SimulatedFleet.MAX_TABLE_ROUTERS)) {
            md.append("Beyond ")
                    .append(SimulatedFleet.MAX_TABLE_ROUTERS)
                    .append(" routers the table was set to hold them all; a real" + " router's doesn't.\n\n");
        }
        md.append(
                "## Measured\n\n| role | size | routers of it | KB/s in | KB/s out | packets/s in | packets/s out | worst router"
                        + " KB/s in, out | worst second KB/s in, out | cpu ms/s | worst router | heap KB | all have of the limit |\n"
                        + "| --- | --: | --: | --: | --: | --: | --: | --: | --: | --: | --: | --: | --: |\n");
        for (Sample sample : samples.stream()
                .filter(s -> s.figures().keySet().stream().anyMatch(TABLE_FIGURES::contains))
                .toList()) {
            md.append("| ")
                    .append(sample.role())
                    .append(" | ")
                    .append(sample.size())
                    .append(" | ")
                    .append(cell(sample, "routers", 1))
                    .append(" | ")
                    .append(cell(sample, "bytes in/s", 1e3))
                    .append(" | ")
                    .append(cell(sample, "bytes out/s", 1e3))
                    .append(" | ")
                    .append(cell(sample, "packets in/s", 1))
                    .append(" | ")
                    .append(cell(sample, "packets out/s", 1))
                    .append(" | ")
                    .append(cell(sample, "worst router bytes in/s", 1e3))
                    .append(", ")
                    .append(cell(sample, "worst router bytes out/s", 1e3))
                    .append(" | ")
                    .append(cell(sample, "worst second bytes in/s", 1e3))
                    .append(", ")
                    .append(cell(sample, "worst second bytes out/s", 1e3))
                    .append(" | ")
                    .append(cell(sample, "cpu ms/s", 1))
                    .append(" | ")
                    .append(cell(sample, "worst router cpu ms/s", 1))
                    .append(" | ")
                    .append(cell(sample, "heap bytes", 1e3))
                    .append(" | ")
                    .append(cell(sample, SimulatedFleet.SPENDABLE_SHARE, 1))
                    .append(" |\n");
        }
        List<Sample> others = samples.stream()
                .filter(s -> !TABLE_FIGURES.containsAll(s.figures().keySet()))
                .toList();
        if (!others.isEmpty()) {
            md.append("\n## Other figures\n\n| role | size | figure | value |\n| --- | --: | --- | --: |\n");
            others.forEach(sample -> sample.figures().forEach((figure, value) -> {
                if (!TABLE_FIGURES.contains(figure)) {
                    md.append("| ")
                            .append(sample.role())
                            .append(" | ")
                            .append(sample.size())
                            .append(" | ")
                            .append(figure)
                            .append(" | ")
                            .append(format(value))
                            .append(" |\n");
                }
            }));
        }
        md.append(
                        "\n## Slopes\n\nA slope is the power of the size, by least squares in logarithms, with the interval that holds it"
                                + " with 95 %; residuals are factors. A fit is extrapolated where it goes past the largest size measured; by what"
                                + " factor it does stands behind it.\n\n| role | figure | measured | slope (95 %) | worst residual | best form"
                                + " (worst residual) | at ")
                .append(config.target())
                .append(" | budget | leaves it at |\n" + "| --- | --- | --- | --- | --: | --- | --- | --: | --- |\n");
        for (Slope slope : slopes) {
            Fit fit = slope.fit();
            md.append("| ")
                    .append(slope.role())
                    .append(" | ")
                    .append(slope.budget().figure())
                    .append(" | ")
                    .append(fit == null ? slope.points().size() + " sizes" : fit.minSize() + " to " + fit.maxSize())
                    .append(" | ")
                    .append(
                            fit == null
                                    ? "too few sizes"
                                    : format(fit.slope()) + " (" + format(fit.slopeLow()) + " to "
                                            + format(fit.slopeHigh()) + ")")
                    .append(" | ")
                    .append(fit == null ? "" : format(fit.maxResidual()))
                    .append(" | ")
                    .append(fit == null ? "" : fit.form() + " (" + format(fit.formMaxResidual()) + ")")
                    .append(" | ")
                    .append(
                            fit == null || !slope.axis().equals("routers")
                                    ? ""
                                    : format(fit.predict(config.target()))
                                            + (fit.extrapolationFactor(config.target()) > 1
                                                    ? ", " + format(fit.extrapolationFactor(config.target()))
                                                            + " times past"
                                                    : ""))
                    .append(" | ")
                    .append(
                            Double.isFinite(slope.budget().max())
                                    ? format(slope.budget().max())
                                    : "none")
                    .append(" | ")
                    .append(
                            Double.isInfinite(slope.budget().max())
                                    ? ""
                                    : slope.crossing()
                                            .map(crossing -> format(crossing.size())
                                                    + (crossing.measured()
                                                            ? ", within the measured range"
                                                            : ", extrapolated "
                                                                    + format(fit.extrapolationFactor(crossing.size()))
                                                                    + " times past"))
                                            .orElse(
                                                    fit == null
                                                            ? "not over it where measured"
                                                            : "not within 1,000 times the range by this fit"))
                    .append(" |\n");
        }
        return md.toString();
    }

    private static String cell(Sample sample, String figure, double unit) {
        return sample.figures().containsKey(figure) ? format(sample.figures().get(figure) / unit) : "-";
    }

    /** Formats a value with three significant digits, or as a whole number if it has three or more integer digits. */
    private static String format(double value) {
        if (!Double.isFinite(value)) {
            return "-";
        }
        return Math.abs(value) >= 100
                ? String.format(Locale.ROOT, value < 1e9 ? "%.0f" : "%.2g", value)
                : new BigDecimal(value).round(new MathContext(3)).toPlainString();
    }
}
