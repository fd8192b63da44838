package pumicemoor.lab.scale;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * A fit of one figure's growth with the size: the power law that fits best by least squares on logarithms, with the
 * 95 % confidence interval of its exponent, and the form among n^0, log n, n and n log n that fits best if a constant
 * factor is the only parameter. Residuals are factors: 1.1 means that the worst point lies 10 % off. It must
 * claim no more than its points show: values beyond their range are extrapolations.
 */
record Fit(
        int pointCount,
        int minSize,
        int maxSize,
        double slope,
        double slopeLow,
        double slopeHigh,
        double intercept,
        double maxResidual,
        String form,
        double formMaxResidual) {

    private static final double CONFIDENCE_LEVEL = 0.95;
    private static final double MAX_EXTRAPOLATION_FACTOR = 1_000; // relative to the largest measured size

    /** One measured value of the figure. */
    record Point(int size, double value) {}

    /** The size at which a figure exceeds its budget, and whether it lies in the measured range or is extrapolated. */
    record BudgetCrossing(double size, boolean measured) {}

    private enum Form {
        CONSTANT("n^0"),
        LOG("log n"),
        LINEAR("n"),
        N_LOG_N("n log n");

        private final String text;

        Form(String text) {
            this.text = text;
        }

        private double valueAt(double size) {
            return switch (this) {
                case CONSTANT -> 1;
                case LOG -> Math.log(size);
                case LINEAR -> size;
                case N_LOG_N -> size * Math.log(size);
            };
        }
    }

    /** Fits the points with positive values and sizes above 1; null if they have fewer than three different sizes. */
    static Fit of(List<Point> points) {
        List<Point> positive =
                points.stream().filter(p -> p.value() > 0 && p.size() > 1).toList();
        if (positive.stream().mapToInt(Point::size).distinct().count() < 3) {
            return null;
        }
        SimpleRegression regression = new SimpleRegression();
        positive.forEach(p -> regression.addData(Math.log(p.size()), Math.log(p.value())));
        double slopeMargin = regression.getSlopeStdErr()
                * new TDistribution(regression.getN() - 2).inverseCumulativeProbability(1 - (1 - CONFIDENCE_LEVEL) / 2);
        double maxLogResidual = positive.stream()
                .mapToDouble(p -> Math.abs(Math.log(p.value()) - regression.predict(Math.log(p.size()))))
                .max()
                .orElse(0);
        Form best = null;
        double leastSquaredError = Double.MAX_VALUE;
        double bestMaxLogResidual = 0;
        for (Form form : Form.values()) {
            double mean = positive.stream()
                    .mapToDouble(p -> Math.log(p.value() / form.valueAt(p.size())))
                    .average()
                    .orElse(0);
            double squaredError = positive.stream()
                    .mapToDouble(p -> Math.pow(Math.log(p.value() / form.valueAt(p.size())) - mean, 2))
                    .sum();
            if (squaredError < leastSquaredError) {
                leastSquaredError = squaredError;
                best = form;
                bestMaxLogResidual = positive.stream()
                        .mapToDouble(p -> Math.abs(Math.log(p.value() / form.valueAt(p.size())) - mean))
                        .max()
                        .orElse(0);
            }
        }
        return new Fit(
                positive.size(),
                positive.stream().mapToInt(Point::size).min().orElse(0),
                positive.stream().mapToInt(Point::size).max().orElse(0),
                regression.getSlope(),
                regression.getSlope() - slopeMargin,
                regression.getSlope() + slopeMargin,
                regression.getIntercept(),
                Math.exp(maxLogResidual),
                best.text,
                Math.exp(bestMaxLogResidual));
    }

    /** The value of the power law at a size. */
    double predict(double size) {
        return Math.exp(intercept + slope * Math.log(size));
    }

    /** The ratio of a size to the largest measured size; 1 for sizes within the range. */
    double extrapolationFactor(double size) {
        return Math.max(1, size / maxSize);
    }

    /**
     * The smallest size at which a figure exceeds its budget. Within the measured range it is interpolated on
     * logarithms between the first point over the budget and the one before, or is the first point itself if that is
     * over. Beyond the range it follows from the fit. Empty if the fit does not grow, or reaches the budget only
     * beyond a thousand times the largest measured size.
     */
    static Optional<BudgetCrossing> budgetCrossing(List<Point> points, Fit fit, double budget) {
        List<Point> sorted = points.stream()
                .sorted(java.util.Comparator.comparingInt(Point::size))
                .toList();
        for (int i = 0; i < sorted.size(); i++) {
            Point over = sorted.get(i);
            if (over.value() > budget) {
                if (i == 0 || sorted.get(i - 1).value() <= 0) {
                    return Optional.of(new BudgetCrossing(over.size(), true));
                }
                Point under = sorted.get(i - 1);
                double fraction = Math.log(budget / under.value()) / Math.log(over.value() / under.value());
                return Optional.of(new BudgetCrossing(
                        Math.exp(Math.log(under.size()) + fraction * Math.log((double) over.size() / under.size())),
                        true));
            }
        }
        OptionalDouble size = fit == null || fit.slope() <= 0 || Double.isInfinite(budget)
                ? OptionalDouble.empty()
                : OptionalDouble.of(Math.exp((Math.log(budget) - fit.intercept()) / fit.slope()));
        return size.isPresent() && size.getAsDouble() <= MAX_EXTRAPOLATION_FACTOR * fit.maxSize()
                ? Optional.of(new BudgetCrossing(Math.max(size.getAsDouble(), fit.maxSize()), false))
                : Optional.empty();
    }
}
