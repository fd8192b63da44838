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

/** Draws one figure of several roles over their sizes, both in logarithms, with the fits and the budget, as SVG. */
final class SlopePlot {

    private static final Pattern DIGITS = Pattern.compile("(\\d\\.\\d\\d)\\d+"); // a hundredth of a pixel is enough

    private SlopePlot() {}

    private static Document document() {
        try {
            return DocumentBuilderFactory.newInstance()
                    .newDocumentBuilder()
                    .getDOMImplementation()
                    .createDocument("http://www.w3.org/2000/svg", "svg", null);
        } catch (ParserConfigurationException e) {
            throw new IllegalStateException("the JDK has no XML documents", e);
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
                .setPlotGridLinesStroke(new BasicStroke(0.5f)) // dashes make the file ten times as large
                .setLegendPosition(Styler.LegendPosition.OutsideE)
                .setChartBackgroundColor(Color.WHITE);
        double least = Double.MAX_VALUE;
        double most = 0;
        for (Slope s : slopes) {
            List<Point> points = s.points().stream()
                    .filter(p -> p.value() > 0 && p.size() > 0)
                    .toList();
            XYSeries series = chart.addSeries(
                    s.role(),
                    points.stream().mapToDouble(Point::size).toArray(),
                    points.stream().mapToDouble(Point::value).toArray());
            series.setLineStyle(new BasicStroke(s.fit() == null ? 1 : 0.01f));
            if (s.fit() != null) {
                XYSeries line = chart.addSeries(
                        s.role() + ", fit",
                        new double[] {s.fit().least(), s.fit().most()},
                        new double[] {
                            s.fit().at(s.fit().least()), s.fit().at(s.fit().most())
                        });
                line.setMarker(SeriesMarkers.NONE).setShowInLegend(false);
                line.setLineStyle(new BasicStroke(1));
            }
            least = Math.min(least, points.get(0).size());
            most = Math.max(most, points.get(points.size() - 1).size());
        }
        if (least < most && Double.isFinite(budget.most())) {
            chart.addSeries("budget", new double[] {least, most}, new double[] {budget.most(), budget.most()})
                    .setMarker(SeriesMarkers.NONE);
        }
        SVGGraphics2D canvas = new SVGGraphics2D(document());
        canvas.setSVGCanvasSize(new Dimension(chart.getWidth(), chart.getHeight()));
        chart.paint(canvas, chart.getWidth(), chart.getHeight());
        StringWriter svg = new StringWriter();
        canvas.stream(svg, true);
        Files.writeString(file, DIGITS.matcher(svg.toString()).replaceAll("$1"));
    }
}
