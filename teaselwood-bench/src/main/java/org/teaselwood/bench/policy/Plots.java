package org.teaselwood.bench.policy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.DoubleStream;
import java.util.stream.IntStream;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/** Plots the distributions of slowdowns and of the waiting times of large jobs. Stateless. */
final class Plots {
    private Plots() {}

    /** Writes the charts as PNG files to a directory, which is created if necessary. */
    static void write(Path directory, SimulationStatistics policy, Map<String, SimulationStatistics> baselines)
            throws IOException {
        Files.createDirectories(directory);
        Map<String, SimulationStatistics> all = new LinkedHashMap<>();
        all.put("policy", policy);
        all.putAll(baselines);
        XYChart slowdowns = chart("Slowdown", "slowdown");
        XYChart waits = chart("Waiting times of large jobs", "seconds");
        all.forEach((name, statistics) -> {
            add(slowdowns, name, statistics.slowdowns.values().stream().mapToDouble(value -> value));
            add(waits, name, statistics.largeWaits.values().stream().mapToDouble(value -> value / 1_000));
        });
        BitmapEncoder.saveBitmap(slowdowns, directory.resolve("slowdown").toString(), BitmapEncoder.BitmapFormat.PNG);
        BitmapEncoder.saveBitmap(waits, directory.resolve("large-waits").toString(), BitmapEncoder.BitmapFormat.PNG);
    }

    private static XYChart chart(String title, String axisTitle) {
        XYChart chart = new XYChartBuilder()
                .width(900)
                .height(600)
                .title(title)
                .xAxisTitle("share of jobs")
                .yAxisTitle(axisTitle)
                .build();
        chart.getStyler().setYAxisLogarithmic(true);
        chart.getStyler().setMarkerSize(0);
        return chart;
    }

    private static void add(XYChart chart, String name, DoubleStream values) {
        double[] sorted = values.map(value -> Math.max(0.1, value)).sorted().toArray();
        if (sorted.length > 0) {
            double[] shares = IntStream.range(0, sorted.length)
                    .mapToDouble(index -> (index + 1.0) / sorted.length)
                    .toArray();
            chart.addSeries(name, shares, sorted);
        }
    }
}
