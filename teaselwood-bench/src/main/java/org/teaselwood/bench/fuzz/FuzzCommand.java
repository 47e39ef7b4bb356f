package org.teaselwood.bench.fuzz;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import net.jqwik.api.RandomGenerator;
import net.jqwik.api.Shrinkable;
import net.jqwik.api.sessions.JqwikSession;
import org.teaselwood.policy.GuaranteeScheduler;
import org.teaselwood.policy.Scheduler;

/**
 * The command {@code bin/fuzz}: runs seeded sequences of actions and prints a shrunk sequence for each run that
 * violates a property. Exits with 0 if there was no violation, 1 if there was at least one, and 64 for invalid
 * arguments.
 */
public final class FuzzCommand {
    private static final int GENERATION_SIZE = 1_000;
    private static final int USAGE_EXIT = 64;

    @Parameter(names = "--seed", description = "Seed of the first run; run number i uses seed + i")
    private long seed = 1;

    @Parameter(names = "--runs", description = "Number of runs")
    private int runs = 100;

    @Parameter(names = "--steps", description = "Maximum number of actions per run")
    private int steps = 200;

    @Parameter(
            names = "--shrink",
            description = "Maximum number of candidates for shrinking a failing run; 0 disables shrinking")
    private int maximumShrinkCandidates = 300;

    @Parameter(names = "--threads", description = "Number of concurrent runs; does not affect the output")
    private int threads = 4;

    @Parameter(names = "--trace", description = "Print the trace of every failing run")
    private boolean trace;

    @Parameter(names = "--help", help = true, description = "Print this help")
    private boolean help;

    private final Supplier<Scheduler> schedulers = GuaranteeScheduler::new;

    /** The actions generated from one seed. */
    private record Sequence(long seed, Shrinkable<List<Action>> actions) {}

    /** The result of one run. */
    private record Result(Sequence sequence, List<String> violations, Map<String, Long> outcomes) {}

    private FuzzCommand() {}

    /** Runs the command and exits the process. */
    public static void main(String[] arguments) {
        FuzzCommand command = new FuzzCommand();
        JCommander parser =
                JCommander.newBuilder().programName("fuzz").addObject(command).build();
        try {
            parser.parse(arguments);
        } catch (ParameterException exception) {
            System.err.println("fuzz: " + exception.getMessage());
            System.exit(USAGE_EXIT);
        }
        if (command.help) {
            parser.usage();
            return;
        }
        int[] exit = {0};
        JqwikSession.run(() -> exit[0] = command.execute());
        System.exit(exit[0]);
    }

    private int execute() {
        List<Sequence> sequences = IntStream.range(0, runs)
                .mapToObj(index -> generateSequence(seed + index))
                .toList();
        List<Result> results = runAll(sequences);
        results.stream()
                .filter(result -> !result.violations().isEmpty())
                .forEach(result -> print(result.sequence().seed(), shrink(result)));
        printSummary(results);
        return results.stream().allMatch(result -> result.violations().isEmpty()) ? 0 : 1;
    }

    private Sequence generateSequence(long runSeed) {
        RandomGenerator<List<Action>> generator = Action.sequences(steps).generator(GENERATION_SIZE);
        return new Sequence(runSeed, generator.next(new Random(runSeed)));
    }

    /** Executes the runs concurrently. Each run is confined to one thread, so that runs do not affect each other. */
    private List<Result> runAll(List<Sequence> sequences) {
        try (ExecutorService executor = Executors.newFixedThreadPool(threads)) {
            List<Future<Result>> futures = sequences.stream()
                    .map(sequence -> executor.submit(() -> resultOf(sequence)))
                    .toList();
            return futures.stream().map(FuzzCommand::await).toList();
        }
    }

    private static Result await(Future<Result> future) {
        try {
            return future.get();
        } catch (InterruptedException | ExecutionException exception) {
            throw new IllegalStateException("a fuzzing run could not be executed", exception);
        }
    }

    private Result resultOf(Sequence sequence) {
        Run run = new Run(sequence.seed(), schedulers, false);
        List<String> violations = run.execute(sequence.actions().value());
        return new Result(sequence, violations, run.outcomes());
    }

    private void printSummary(List<Result> results) {
        Map<String, Long> outcomes = new TreeMap<>();
        results.forEach(
                result -> result.outcomes().forEach((outcome, count) -> outcomes.merge(outcome, count, Long::sum)));
        outcomes.forEach((outcome, count) -> System.out.println(outcome + "=" + count));
        System.out.println("runs=" + runs);
        System.out.println("steps="
                + results.stream()
                        .mapToInt(result -> result.sequence().actions().value().size())
                        .sum());
        System.out.println("violations="
                + results.stream()
                        .mapToInt(result -> result.violations().size())
                        .sum());
    }

    /** Repeatedly replaces the sequence by the first smaller one that still violates the same property. */
    private List<Action> shrink(Result failed) {
        long runSeed = failed.sequence().seed();
        String property = propertyOf(failed.violations().getFirst());
        Shrinkable<List<Action>> failing = failed.sequence().actions();
        Shrinkable<List<Action>> smallest = failing;
        int[] candidatesLeft = {maximumShrinkCandidates};
        Optional<Shrinkable<List<Action>>> smaller = Optional.of(failing);
        while (smaller.isPresent()) {
            smallest = smaller.get();
            smaller = smallest.shrink()
                    .takeWhile(candidate -> candidatesLeft[0]-- > 0)
                    .filter(candidate -> violates(runSeed, candidate.value(), property))
                    .findFirst();
        }
        return smallest.value();
    }

    private boolean violates(long runSeed, List<Action> actions, String property) {
        return new Run(runSeed, schedulers, false)
                .execute(actions).stream()
                        .anyMatch(violation -> propertyOf(violation).equals(property));
    }

    private void print(long runSeed, List<Action> actions) {
        Run run = new Run(runSeed, schedulers, trace);
        List<String> lines = new ArrayList<>();
        lines.add("seed " + runSeed + " violates a property with " + actions.size() + " actions:");
        run.execute(actions).forEach(violation -> lines.add("  " + violation));
        actions.forEach(action -> lines.add("    " + action));
        lines.addAll(run.traceLines());
        lines.forEach(System.out::println);
    }

    private static String propertyOf(String violation) {
        return violation.substring(0, violation.indexOf(' '));
    }
}
