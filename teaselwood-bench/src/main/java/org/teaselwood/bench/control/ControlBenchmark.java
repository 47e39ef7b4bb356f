package org.teaselwood.bench.control;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.teaselwood.cli.CommandException;

/** The command {@code bench control}: measures overhead and reaction times of real processes at several sizes. */
@Parameters(commandDescription = "Start real processes over loopback and measure the overhead of the control plane")
public final class ControlBenchmark {
    private static final String PACKAGE = ControlBenchmark.class.getPackageName();
    private static final int MAXIMUM_AGENTS = 200;
    private static final long MEBIBYTES_PER_AGENT = 60;
    private static final long FIXED_MEBIBYTES = 1_536;
    private static final long MAXIMUM_MEBIBYTES = 14 * 1_024;
    private static final long RESERVED_MEBIBYTES = 2_048;
    private static final long PREPARATION_SECONDS = 120;
    private static final int FAILURE_EXIT = 1;
    private static final int USAGE_EXIT = 64;

    @Parameter(names = "--agents", description = "Numbers of agents, measured in sequence")
    private List<Integer> agents = List.of(11);

    @Parameter(names = "--seed", description = "Seed for the random choice of teams")
    private long seed = 1;

    @Parameter(names = "--seconds", description = "Duration of each phase in seconds, 5 to 60")
    private int seconds = 15;

    /** Measures all sizes, prints the results as name=value lines and returns the exit status. */
    public int run(PrintStream output) {
        if (seconds < 5 || seconds > 60 || agents.stream().anyMatch(number -> number < 3 || number > MAXIMUM_AGENTS)) {
            System.err.println("bench: --agents must be 3 to " + MAXIMUM_AGENTS + ", --seconds 5 to 60");
            return USAGE_EXIT;
        }
        Path home = Path.of(System.getProperty("teaselwood.home", "."));
        FigureRecorder figures = new FigureRecorder(output);
        List<Integer> measured = new ArrayList<>();
        try {
            prepare(home);
            for (int number : agents) {
                requireMemory(number);
                measure(home, figures, number);
                measured.add(number);
            }
        } catch (IllegalStateException | UncheckedIOException | CommandException exception) {
            System.err.println("bench: " + exception + ", at "
                    + Arrays.stream(exception.getStackTrace())
                            .filter(frame -> frame.getClassName().startsWith(PACKAGE))
                            .findFirst()
                            .map(StackTraceElement::toString)
                            .orElse("an unknown location"));
            return FAILURE_EXIT;
        } finally {
            output.println("measured-agents=" + measured);
            figures.printSlopes();
        }
        return 0;
    }

    private void measure(Path home, FigureRecorder figures, int number) {
        figures.setAgents(number);
        long begin = System.nanoTime();
        try (ControlCluster cluster = ControlCluster.start(home, number)) {
            figures.print("start-seconds", Long.toString(secondsSince(begin)));
            new SizeMeasurement(cluster, new Workload(number, seed), figures, seconds).run();
        }
        figures.print("total-seconds", Long.toString(secondsSince(begin)));
    }

    /** Builds the programs and the agent's class-data archive in advance, so that not every agent builds them. */
    private static void prepare(Path home) {
        try (ProcessGroup group = new ProcessGroup()) {
            for (String program : List.of("teaselwood", "teaselwood-agent")) {
                Process process = group.start(
                        List.of(home.resolve("bin").resolve(program).toString(), "--help"), Path.of("/dev/null"));
                if (!process.waitFor(PREPARATION_SECONDS, TimeUnit.SECONDS) || process.exitValue() != 0) {
                    throw new IllegalStateException(program + " could not be built");
                }
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", exception);
        }
    }

    private static void requireMemory(int number) {
        long needed = number * MEBIBYTES_PER_AGENT + FIXED_MEBIBYTES;
        long available = availableMebibytes() - RESERVED_MEBIBYTES;
        if (needed > Math.min(available, MAXIMUM_MEBIBYTES)) {
            throw new IllegalStateException(
                    number + " agents need " + needed + " MiB of memory, but " + available + " MiB are available");
        }
    }

    private static long availableMebibytes() {
        try (var lines = Files.lines(Path.of("/proc/meminfo"))) {
            return lines.filter(line -> line.startsWith("MemAvailable:"))
                    .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024)
                    .findFirst()
                    .orElse(0);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    private static long secondsSince(long begin) {
        return TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - begin);
    }
}
