package org.teaselwood.bench.control;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.teaselwood.bench.control.LeastSquares.Point;

/** Records figures by name and size, prints each immediately, and fits slopes at the end. Confined to one thread. */
final class FigureRecorder {
    private final PrintStream output;
    private final Map<String, List<Point>> byAgents = new LinkedHashMap<>();
    private final Map<String, List<Point>> byCause = new LinkedHashMap<>();
    private int agents;

    FigureRecorder(PrintStream output) {
        this.output = output;
    }

    /** Sets the number of agents to which the following figures belong. */
    void setAgents(int numberOfAgents) {
        agents = numberOfAgents;
    }

    /** Prints a value that is not used for fitting. */
    void print(String name, String value) {
        output.println(agents + "." + name + "=" + value);
        output.flush();
    }

    /** Prints a quantity that may depend on the number of agents, and records it for fitting. */
    void record(String name, double value) {
        print(name, format(value));
        byAgents.computeIfAbsent(name, ignored -> new ArrayList<>()).add(new Point(agents, value));
    }

    /**
     * Prints the increase of a quantity per job or team, and records it for fitting.
     *
     * @param name name of the quantity, which ends in its cause
     * @param count number of jobs or teams that caused the increase
     * @param growth total increase of the quantity
     */
    void recordPerCause(String name, double count, double growth) {
        print(name, format(count == 0 ? 0 : growth / count));
        byCause.computeIfAbsent(name, ignored -> new ArrayList<>()).add(new Point(count, growth));
    }

    /** Fits and prints the slopes of all recorded quantities. */
    void printSlopes() {
        byAgents.forEach((name, points) -> {
            LeastSquares line = LeastSquares.fit(points);
            output.println("slope." + name + ".per-agent=" + format(line.slope()));
            output.println("slope." + name + ".at-0-agents=" + format(line.intercept()));
        });
        byCause.forEach((name, points) -> output.println("slope." + name + "="
                + format(LeastSquares.fitThroughOrigin(points).slope())));
    }

    private static String format(double value) {
        return String.format(Locale.ROOT, Math.abs(value) < 1 ? "%.5f" : "%.2f", value);
    }
}
