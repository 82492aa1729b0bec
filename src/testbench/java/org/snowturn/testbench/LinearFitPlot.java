package org.snowturn.testbench;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Draws measured points and the line fitted to them. */
final class LinearFitPlot {
  private static final int WIDTH_PX = 640;
  private static final int HEIGHT_PX = 400;

  private LinearFitPlot() {}

  /**
   * Writes a plot to an SVG file.
   *
   * @param points y values by x value
   * @param svg file that is written
   */
  static void write(
      Map<Double, Double> points, String title, String xAxisTitle, String yAxisTitle, Path svg)
      throws IOException {
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH_PX)
            .height(HEIGHT_PX)
            .title(title)
            .xAxisTitle(xAxisTitle)
            .yAxisTitle(yAxisTitle)
            .build();
    List<Double> xValues = new ArrayList<>(points.keySet());
    LinearFit line = LinearFit.fit(points);
    XYSeries measured = chart.addSeries("measured", xValues, new ArrayList<>(points.values()));
    measured.setXYSeriesRenderStyle(XYSeries.XYSeriesRenderStyle.Scatter);
    chart
        .addSeries("line", xValues, xValues.stream().map(line::predict).toList())
        .setMarker(SeriesMarkers.NONE);
    VectorGraphicsEncoder.saveVectorGraphic(chart, svg.toString(), VectorGraphicsFormat.SVG);
  }
}
