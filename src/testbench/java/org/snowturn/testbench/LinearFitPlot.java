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

/** Draws measured points and the line through them. */
final class LinearFitPlot {
  private static final int WIDTH = 640;
  private static final int HEIGHT = 400;

  private LinearFitPlot() {}

  static void write(Map<Double, Double> points, String title, String x, String y, Path svg)
      throws IOException {
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title(title)
            .xAxisTitle(x)
            .yAxisTitle(y)
            .build();
    List<Double> xs = new ArrayList<>(points.keySet());
    LinearFit slope = LinearFit.fit(points);
    XYSeries measured = chart.addSeries("measured", xs, new ArrayList<>(points.values()));
    measured.setXYSeriesRenderStyle(XYSeries.XYSeriesRenderStyle.Scatter);
    chart
        .addSeries("line", xs, xs.stream().map(slope::predict).toList())
        .setMarker(SeriesMarkers.NONE);
    VectorGraphicsEncoder.saveVectorGraphic(chart, svg.toString(), VectorGraphicsFormat.SVG);
  }
}
