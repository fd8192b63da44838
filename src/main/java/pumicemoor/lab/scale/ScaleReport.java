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
import pumicemoor.lab.scale.Fit.Leaves;
import pumicemoor.lab.scale.Fit.Point;

/**
 * What was measured, as JSON, as a table for people and as plots. It owns the budgets of a router's control
 * and which figures are held against them, and must never leave out a sample or show a fit without its range.
 */
final class ScaleReport {

    /** A figure by its name in samples, its budget (infinite for none) and the word its plots' files begin with. */
    record Budget(String figure, double most, String file) {

        static Budget none(String figure) {
            return new Budget(figure, Double.POSITIVE_INFINITY, figure.replaceAll("[^A-Za-z0-9]+", "-"));
        }
    }

    /** 26 KB a second in and out together, 2.6 % of a core, 32 MB. */
    static final List<Budget> BUDGETS = List.of(
            new Budget("bytes/s", 26_000, "bytes"),
            new Budget("worst second bytes/s", 26_000, "worst-second"),
            new Budget("cpu ms/s", 26, "cpu"),
            new Budget("heap bytes", 32_000_000, "heap"));

    /** The columns of the first table, of which only those with a budget are fitted. */
    private static final Set<String> COLUMNS = Set.of(
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
            HollowFleet.OF_THE_LIMIT);

    /** One figure of one role over its sizes; fit is null where there are fewer than three sizes. */
    record Slope(String role, Budget budget, List<Point> points, Fit fit, Optional<Leaves> leaves) {

        /** What the size of the role counts: routers, or what its name says after 'by'. */
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

        /** What was going on, or by what it grows: roles of one scenario share a plot. */
        String scenario() {
            int comma = role.indexOf(", ");
            return comma < 0 ? role : role.substring(comma + 2);
        }
    }

    private final ScaleConfig config;
    private final List<Sample> samples;

    ScaleReport(ScaleConfig config, List<Sample> samples) {
        this.config = config;
        this.samples = samples.stream().map(ScaleReport::inAndOut).toList();
    }

    /** With the bytes in and out together where a measurement tells them apart alone. */
    private static Sample inAndOut(Sample s) {
        if (s.figures().containsKey("bytes/s")
                || s.figures().keySet().stream().noneMatch(f -> f.equals("bytes in/s") || f.equals("bytes out/s"))) {
            return s;
        }
        Map<String, Double> figures = new LinkedHashMap<>(s.figures());
        figures.put(
                "bytes/s",
                s.figures().getOrDefault("bytes in/s", 0.0) + s.figures().getOrDefault("bytes out/s", 0.0));
        return new Sample(s.role(), s.size(), figures);
    }

    /** The figures of a role that are fitted: those with a budget, and those that are no column of the first table. */
    private List<Budget> fitted(String role) {
        List<Budget> fitted = new ArrayList<>(BUDGETS);
        samples.stream()
                .filter(s -> s.role().equals(role))
                .flatMap(s -> s.figures().keySet().stream())
                .distinct()
                .filter(f -> !COLUMNS.contains(f)
                        && !f.startsWith("worked out")
                        && !f.endsWith(" least")
                        && !f.endsWith(" most"))
                .forEach(f -> fitted.add(Budget.none(f)));
        return fitted;
    }

    /** All slopes, role by role. */
    List<Slope> slopes() {
        List<Slope> slopes = new ArrayList<>();
        for (String role :
                new LinkedHashSet<>(samples.stream().map(Sample::role).toList())) {
            for (Budget b : fitted(role)) {
                List<Point> points = samples.stream()
                        .filter(s -> s.role().equals(role) && s.figures().containsKey(b.figure()))
                        .map(s -> new Point(s.size(), s.figures().get(b.figure())))
                        .toList();
                if (!points.isEmpty()) {
                    Fit fit = Fit.of(points);
                    slopes.add(new Slope(role, b, points, fit, Fit.leaves(points, fit, b.most())));
                }
            }
        }
        return slopes;
    }

    /** Writes scale.json, scale.md and the plots into the folder; the table is given back. */
    String write(Path folder) throws IOException {
        Files.createDirectories(folder);
        List<Slope> slopes = slopes();
        ObjectWriter json = new ObjectMapper()
                .writer(new DefaultPrettyPrinter()
                        .withObjectIndenter(new DefaultIndenter("  ", "\n"))
                        .withArrayIndenter(new DefaultIndenter("  ", "\n")));
        Files.writeString(folder.resolve("scale.json"), json.writeValueAsString(tree(slopes)) + "\n");
        String table = markdown(slopes);
        Files.writeString(folder.resolve("scale.md"), table);
        for (Budget b : new LinkedHashSet<>(slopes.stream().map(Slope::budget).toList())) {
            for (String scenario :
                    new TreeSet<>(slopes.stream().map(Slope::scenario).toList())) {
                List<Slope> shown = slopes.stream()
                        .filter(s -> s.budget().equals(b)
                                && s.scenario().equals(scenario)
                                && s.points().stream().anyMatch(p -> p.value() > 0 && p.size() > 0))
                        .toList();
                if (!shown.isEmpty()) {
                    SlopePlot.write(
                            b,
                            scenario,
                            shown,
                            folder.resolve(b.file() + "-" + scenario.replaceAll("[^A-Za-z0-9]+", "-") + ".svg"));
                }
            }
        }
        return table;
    }

    private Map<String, Object> tree(List<Slope> slopes) {
        Map<String, Object> tree = new LinkedHashMap<>();
        tree.put("parameters", config);
        List<Map<String, Object>> rows = new ArrayList<>();
        for (Sample s : samples) {
            Map<String, Object> row = new LinkedHashMap<>();
            row.put("role", s.role());
            row.put("size", s.size());
            Map<String, Double> figures = new LinkedHashMap<>();
            s.figures().forEach((figure, value) -> figures.put(figure, rounded(value, 7)));
            row.put("figures", figures);
            rows.add(row);
        }
        tree.put("samples", rows);
        List<Map<String, Object>> fits = new ArrayList<>();
        for (Slope s : slopes) {
            Map<String, Object> row = new LinkedHashMap<>();
            row.put("role", s.role());
            row.put("figure", s.budget().figure());
            if (Double.isFinite(s.budget().most())) {
                row.put("budget", s.budget().most());
            }
            s.leaves().ifPresent(l -> {
                row.put("leaves budget at", rounded(l.size()));
                row.put("leaves within the measured range", l.measured());
            });
            if (s.fit() != null) {
                Fit f = s.fit();
                row.put("measured from", f.least());
                row.put("measured to", f.most());
                row.put("slope", rounded(f.slope()));
                row.put("slope, 95 % low", rounded(f.slopeLow()));
                row.put("slope, 95 % high", rounded(f.slopeHigh()));
                row.put("worst residual, factor", rounded(f.worst()));
                row.put("form", f.form());
                row.put("form's worst residual, factor", rounded(f.formWorst()));
                if (s.axis().equals("routers")) {
                    row.put("at target", rounded(f.at(config.target())));
                    row.put("target past the range, factor", rounded(f.past(config.target())));
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
        if (config.cells() == null && config.routers().stream().anyMatch(n -> n > HollowFleet.TABLE)) {
            md.append("Beyond ")
                    .append(HollowFleet.TABLE)
                    .append(" routers the table was set to hold them all; a real" + " router's doesn't.\n\n");
        }
        md.append(
                "## Measured\n\n| role | size | routers of it | KB/s in | KB/s out | packets/s in | packets/s out | worst router"
                        + " KB/s in, out | worst second KB/s in, out | cpu ms/s | worst router | heap KB | all have of the limit |\n"
                        + "| --- | --: | --: | --: | --: | --: | --: | --: | --: | --: | --: | --: | --: |\n");
        for (Sample s : samples.stream()
                .filter(s -> s.figures().keySet().stream().anyMatch(COLUMNS::contains))
                .toList()) {
            md.append("| ")
                    .append(s.role())
                    .append(" | ")
                    .append(s.size())
                    .append(" | ")
                    .append(cell(s, "routers", 1))
                    .append(" | ")
                    .append(cell(s, "bytes in/s", 1e3))
                    .append(" | ")
                    .append(cell(s, "bytes out/s", 1e3))
                    .append(" | ")
                    .append(cell(s, "packets in/s", 1))
                    .append(" | ")
                    .append(cell(s, "packets out/s", 1))
                    .append(" | ")
                    .append(cell(s, "worst router bytes in/s", 1e3))
                    .append(", ")
                    .append(cell(s, "worst router bytes out/s", 1e3))
                    .append(" | ")
                    .append(cell(s, "worst second bytes in/s", 1e3))
                    .append(", ")
                    .append(cell(s, "worst second bytes out/s", 1e3))
                    .append(" | ")
                    .append(cell(s, "cpu ms/s", 1))
                    .append(" | ")
                    .append(cell(s, "worst router cpu ms/s", 1))
                    .append(" | ")
                    .append(cell(s, "heap bytes", 1e3))
                    .append(" | ")
                    .append(cell(s, HollowFleet.OF_THE_LIMIT, 1))
                    .append(" |\n");
        }
        List<Sample> others = samples.stream()
                .filter(s -> !COLUMNS.containsAll(s.figures().keySet()))
                .toList();
        if (!others.isEmpty()) {
            md.append("\n## Other figures\n\n| role | size | figure | value |\n| --- | --: | --- | --: |\n");
            others.forEach(s -> s.figures().forEach((figure, value) -> {
                if (!COLUMNS.contains(figure)) {
                    md.append("| ")
                            .append(s.role())
                            .append(" | ")
                            .append(s.size())
                            .append(" | ")
                            .append(figure)
                            .append(" | ")
                            .append(number(value))
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
        for (Slope s : slopes) {
            Fit f = s.fit();
            md.append("| ")
                    .append(s.role())
                    .append(" | ")
                    .append(s.budget().figure())
                    .append(" | ")
                    .append(f == null ? s.points().size() + " sizes" : f.least() + " to " + f.most())
                    .append(" | ")
                    .append(
                            f == null
                                    ? "too few sizes"
                                    : number(f.slope()) + " (" + number(f.slopeLow()) + " to " + number(f.slopeHigh())
                                            + ")")
                    .append(" | ")
                    .append(f == null ? "" : number(f.worst()))
                    .append(" | ")
                    .append(f == null ? "" : f.form() + " (" + number(f.formWorst()) + ")")
                    .append(" | ")
                    .append(
                            f == null || !s.axis().equals("routers")
                                    ? ""
                                    : number(f.at(config.target()))
                                            + (f.past(config.target()) > 1
                                                    ? ", " + number(f.past(config.target())) + " times past"
                                                    : ""))
                    .append(" | ")
                    .append(
                            Double.isFinite(s.budget().most())
                                    ? number(s.budget().most())
                                    : "none")
                    .append(" | ")
                    .append(
                            Double.isInfinite(s.budget().most())
                                    ? ""
                                    : s.leaves()
                                            .map(l -> number(l.size())
                                                    + (l.measured()
                                                            ? ", within the measured range"
                                                            : ", extrapolated " + number(f.past(l.size()))
                                                                    + " times past"))
                                            .orElse(
                                                    f == null
                                                            ? "not over it where measured"
                                                            : "not within 1,000 times the range by this fit"))
                    .append(" |\n");
        }
        return md.toString();
    }

    private static String cell(Sample s, String figure, double unit) {
        return s.figures().containsKey(figure) ? number(s.figures().get(figure) / unit) : "-";
    }

    /** Three figures that count, or whole where there are more before the point. */
    private static String number(double value) {
        if (!Double.isFinite(value)) {
            return "-";
        }
        return Math.abs(value) >= 100
                ? String.format(Locale.ROOT, value < 1e9 ? "%.0f" : "%.2g", value)
                : new BigDecimal(value).round(new MathContext(3)).toPlainString();
    }
}
