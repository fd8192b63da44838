package pumicemoor.lab.scale;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * How one figure grows with the size: the power of the size that fits best in logarithms, with the interval that
 * holds it with 95 %, and which of n^0, log n, n and n log n fits best when only its height is free. Residuals are factors:
 * 1.1 means that the worst point lies 10 % off. It must never say more than its points do: what it gives beyond them is extrapolated.
 */
record Fit(
        int points,
        int least,
        int most,
        double slope,
        double slopeLow,
        double slopeHigh,
        double height,
        double worst,
        String form,
        double formWorst) {

    private static final double LEVEL = 0.95;
    private static final double FURTHEST = 1_000; // times the range, beyond which nothing is extrapolated

    /** One measured point. */
    record Point(int size, double value) {}

    /** Where a figure leaves its budget, and whether that is within the measured range or beyond it by the fit. */
    record Leaves(double size, boolean measured) {}

    private enum Form {
        CONSTANT("n^0"),
        LOG("log n"),
        LINEAR("n"),
        N_LOG_N("n log n");

        private final String text;

        Form(String text) {
            this.text = text;
        }

        private double of(double n) {
            return switch (this) {
                case CONSTANT -> 1;
                case LOG -> Math.log(n);
                case LINEAR -> n;
                case N_LOG_N -> n * Math.log(n);
            };
        }
    }

    /** Fits points of at least three different sizes, all above 0; null where there are fewer. */
    static Fit of(List<Point> points) {
        List<Point> used =
                points.stream().filter(p -> p.value() > 0 && p.size() > 1).toList();
        if (used.stream().mapToInt(Point::size).distinct().count() < 3) {
            return null;
        }
        SimpleRegression line = new SimpleRegression();
        used.forEach(p -> line.addData(Math.log(p.size()), Math.log(p.value())));
        double half = line.getSlopeStdErr()
                * new TDistribution(line.getN() - 2).inverseCumulativeProbability(1 - (1 - LEVEL) / 2);
        double worst = used.stream()
                .mapToDouble(p -> Math.abs(Math.log(p.value()) - line.predict(Math.log(p.size()))))
                .max()
                .orElse(0);
        Form best = null;
        double least = Double.MAX_VALUE;
        double bestWorst = 0;
        for (Form form : Form.values()) {
            double mean = used.stream()
                    .mapToDouble(p -> Math.log(p.value() / form.of(p.size())))
                    .average()
                    .orElse(0);
            double squares = used.stream()
                    .mapToDouble(p -> Math.pow(Math.log(p.value() / form.of(p.size())) - mean, 2))
                    .sum();
            if (squares < least) {
                least = squares;
                best = form;
                bestWorst = used.stream()
                        .mapToDouble(p -> Math.abs(Math.log(p.value() / form.of(p.size())) - mean))
                        .max()
                        .orElse(0);
            }
        }
        return new Fit(
                used.size(),
                used.stream().mapToInt(Point::size).min().orElse(0),
                used.stream().mapToInt(Point::size).max().orElse(0),
                line.getSlope(),
                line.getSlope() - half,
                line.getSlope() + half,
                line.getIntercept(),
                Math.exp(worst),
                best.text,
                Math.exp(bestWorst));
    }

    /** What the power of the size gives. */
    double at(double size) {
        return Math.exp(height + slope * Math.log(size));
    }

    /** By what factor a size goes past the largest that was measured; 1 where it doesn't. */
    double past(double size) {
        return Math.max(1, size / most);
    }

    /**
     * The smallest size at which a figure is over its budget: within the measured range between the last point under
     * it and the first over it (in logarithms; the first point itself where that is over), else by the fit. Empty
     * where the fit does not grow, or comes there only past a thousand times the range.
     */
    static Optional<Leaves> leaves(List<Point> points, Fit fit, double budget) {
        List<Point> sorted = points.stream()
                .sorted(java.util.Comparator.comparingInt(Point::size))
                .toList();
        for (int i = 0; i < sorted.size(); i++) {
            Point over = sorted.get(i);
            if (over.value() > budget) {
                if (i == 0 || sorted.get(i - 1).value() <= 0) {
                    return Optional.of(new Leaves(over.size(), true));
                }
                Point under = sorted.get(i - 1);
                double part = Math.log(budget / under.value()) / Math.log(over.value() / under.value());
                return Optional.of(new Leaves(
                        Math.exp(Math.log(under.size()) + part * Math.log((double) over.size() / under.size())), true));
            }
        }
        OptionalDouble size = fit == null || fit.slope() <= 0 || Double.isInfinite(budget)
                ? OptionalDouble.empty()
                : OptionalDouble.of(Math.exp((Math.log(budget) - fit.height()) / fit.slope()));
        return size.isPresent() && size.getAsDouble() <= FURTHEST * fit.most()
                ? Optional.of(new Leaves(Math.max(size.getAsDouble(), fit.most()), false))
                : Optional.empty();
    }
}
