package pumicemoor.lab.scale;

import java.awt.BasicStroke;
import java.awt.Color;
import java.awt.Dimension;
import java.io.IOException;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import javax.xml.parsers.DocumentBuilderFactory;
import javax.xml.parsers.ParserConfigurationException;
import org.apache.batik.svggen.SVGGraphics2D;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.markers.SeriesMarkers;
import org.w3c.dom.Document;
import pumicemoor.lab.scale.Fit.Point;
import pumicemoor.lab.scale.ScaleReport.Budget;
import pumicemoor.lab.scale.ScaleReport.Slope;

/**
 * Draws one figure of several roles by size as an SVG plot with logarithmic axes, with the fitted power laws and the
 * budget.
 */
final class SlopePlot {

    /** A number with more than two decimals. The plot needs no more: they are hundredths of a pixel. */
    private static final Pattern EXCESS_DIGITS = Pattern.compile("(\\d\\.\\d\\d)\\d+");

    private SlopePlot() {}

    private static Document document() {
        try {
            return DocumentBuilderFactory.newInstance()
                    .newDocumentBuilder()
                    .getDOMImplementation()
                    .createDocument("http://www.w3.org/2000/svg", "svg", null);
        } catch (ParserConfigurationException e) {
            throw new IllegalStateException("the JDK provides no XML document builder", e);
        }
    }

    /** Writes the plot; the file's name ends in .svg. */
    static void write(Budget budget, String scenario, List<Slope> slopes, Path file) throws IOException {
        System.setProperty("java.awt.headless", "true");
        String axis = slopes.get(0).axis();
        XYChart chart = new XYChartBuilder()
                .width(900)
                .height(600)
                .title(budget.figure() + ", " + scenario)
                .xAxisTitle(axis)
                .yAxisTitle(budget.figure())
                .build();
        chart.getStyler()
                .setXAxisLogarithmic(true)
                .setYAxisLogarithmic(true)
                .setXAxisDecimalPattern("#,##0")
                .setYAxisDecimalPattern("#,##0.####")
                .setPlotGridLinesStroke(new BasicStroke(0.5f)) // the default dashes make the file ten times as large
                .setLegendPosition(Styler.LegendPosition.OutsideE)
                .setChartBackgroundColor(Color.WHITE);
        double minSize = Double.MAX_VALUE;
        double maxSize = 0;
        for (Slope slope : slopes) {
            List<Point> points = slope.points().stream()
                    .filter(p -> p.value() > 0 && p.size() > 0)
                    .toList();
            XYSeries series = chart.addSeries(
                    slope.role(),
                    points.stream().mapToDouble(Point::size).toArray(),
                    points.stream().mapToDouble(Point::value).toArray());
            series.setLineStyle(new BasicStroke(slope.fit() == null ? 1 : 0.01f));
            if (slope.fit() != null) {
                XYSeries fitLine = chart.addSeries(
                        slope.role() + ", fit",
                        new double[] {slope.fit().minSize(), slope.fit().maxSize()},
                        new double[] {
                            slope.fit().predict(slope.fit().minSize()),
                            slope.fit().predict(slope.fit().maxSize())
                        });
                fitLine.setMarker(SeriesMarkers.NONE).setShowInLegend(false);
                fitLine.setLineStyle(new BasicStroke(1));
            }
            minSize = Math.min(minSize, points.get(0).size());
            maxSize = Math.max(maxSize, points.get(points.size() - 1).size());
        }
        if (minSize < maxSize && Double.isFinite(budget.max())) {
            chart.addSeries("budget", new double[] {minSize, maxSize}, new double[] {budget.max(), budget.max()})
                    .setMarker(SeriesMarkers.NONE);
        }
        SVGGraphics2D canvas = new SVGGraphics2D(document());
        canvas.setSVGCanvasSize(new Dimension(chart.getWidth(), chart.getHeight()));
        chart.paint(canvas, chart.getWidth(), chart.getHeight());
        StringWriter svg = new StringWriter();
        canvas.stream(svg, true);
        Files.writeString(file, EXCESS_DIGITS.matcher(svg.toString()).replaceAll("$1"));
    }
}
