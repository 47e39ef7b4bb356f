package org.teaselwood.bench.control;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.teaselwood.bench.control.LeastSquares.Point;

/** Collects figures by name and size, prints each at once, and fits slopes at the end. Confined to one thread. */
final class Figures {
    private final PrintStream output;
    private final Map<String, List<Point>> byAgents = new LinkedHashMap<>();
    private final Map<String, List<Point>> byCause = new LinkedHashMap<>();
    private int agents;

    Figures(PrintStream output) {
        this.output = output;
    }

    /** Figures that follow belong to this number of agents. */
    void begin(int numberOfAgents) {
        agents = numberOfAgents;
    }

    /** Prints a text that is not fitted. */
    void note(String name, String value) {
        output.println(agents + "." + name + "=" + value);
        output.flush();
    }

    /** Adds a quantity that may depend on the number of agents. */
    void add(String name, double value) {
        note(name, format(value));
        byAgents.computeIfAbsent(name, ignored -> new ArrayList<>()).add(new Point(agents, value));
    }

    /**
     * Adds the growth of a quantity that some jobs or teams caused.
     *
     * @param name quantity, ending in its cause
     * @param count number of jobs or teams
     * @param growth growth of the quantity
     */
    void addCaused(String name, double count, double growth) {
        note(name, format(count == 0 ? 0 : growth / count));
        byCause.computeIfAbsent(name, ignored -> new ArrayList<>()).add(new Point(count, growth));
    }

    /** Prints the fitted slopes. */
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
