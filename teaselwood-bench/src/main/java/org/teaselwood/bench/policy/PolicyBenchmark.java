package org.teaselwood.bench.policy;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Supplier;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.teaselwood.policy.GuaranteeScheduler;
import org.teaselwood.policy.Scheduler;

/** The command {@code bench policy}: simulates the policy and three baselines on the same work stream. */
@Parameters(commandDescription = "Compare the policy with three baselines on one seeded stream, in virtual time")
public final class PolicyBenchmark {
    private static final double MILLISECONDS = 1_000.0;

    @Parameter(names = "--deployment", description = "Cluster and work to simulate: lab, cooperativa or two-year")
    private String deployment = "lab";

    @Parameter(names = "--seed", description = "Seed of the first stream")
    private long seed = 1;

    @Parameter(names = "--seeds", description = "Number of streams; figures are medians over them")
    private int seeds = 1;

    @Parameter(names = "--load", description = "Offered load as a fraction of the capacity")
    private double load = 0.9;

    @Parameter(names = "--plot", description = "Output directory for charts")
    private String plot;

    @Parameter(names = "--scale", description = "Measure decisions and heap at 11, 110 and 1,100 workers instead")
    private boolean scale;

    @Parameter(
            names = "--micro",
            description = "Measure one placement and the packing of all guarantees with JMH instead")
    private boolean micro;

    /** Runs the benchmark and prints its results as name=value lines. */
    public void run(PrintStream output) {
        if (micro) {
            runMicrobenchmark();
            return;
        }
        if (scale) {
            new ScaleMeasurement(seed).run().forEach((name, value) -> print(output, name, value));
            return;
        }
        Map<String, List<Double>> values = new LinkedHashMap<>();
        for (int index = 0; index < seeds; index++) {
            simulate(seed + index)
                    .forEach((name, value) -> values.computeIfAbsent(name, key -> new ArrayList<>())
                            .add(value));
        }
        values.forEach((name, list) -> print(output, name, summary(name, list)));
    }

    private static void runMicrobenchmark() {
        try {
            new Runner(new OptionsBuilder()
                            .include(PolicyMicrobenchmark.class.getSimpleName())
                            .build())
                    .run();
        } catch (RunnerException failed) {
            throw new IllegalStateException(failed);
        }
    }

    private static void print(PrintStream output, String name, double value) {
        output.println(name + "=" + String.format(Locale.ROOT, "%.4f", value));
    }

    /** Aggregates over the seeds: the maximum of maxima, the sum of violations, and the median of everything else. */
    private static double summary(String name, List<Double> values) {
        double[] sorted = values.stream()
                .mapToDouble(Double::doubleValue)
                .filter(value -> !Double.isNaN(value))
                .sorted()
                .toArray();
        if (sorted.length == 0) {
            return Double.NaN;
        }
        if (name.contains("_max_")) {
            return sorted[sorted.length - 1];
        }
        if (name.endsWith("violations") || name.endsWith("starved_jobs")) {
            return Arrays.stream(sorted).sum();
        }
        return (sorted[(sorted.length - 1) / 2] + sorted[sorted.length / 2]) / 2;
    }

    private Map<String, Double> simulate(long streamSeed) {
        Deployment cluster = Deployment.named(deployment);
        WorkStream stream = WorkStream.of(cluster, streamSeed, load);
        Map<String, Supplier<Scheduler>> policies = new LinkedHashMap<>();
        policies.put("first_fit", Baselines::firstFit);
        policies.put("best_fit", Baselines::bestFit);
        policies.put("static", () -> Baselines.staticSplit(cluster));
        Map<String, SimulationStatistics> baselines = new LinkedHashMap<>();
        policies.forEach(
                (name, policy) -> baselines.put(name, new Simulation(cluster, stream, policy.get(), streamSeed).run()));
        SimulationStatistics policyStatistics =
                new Simulation(cluster, stream, new GuaranteeScheduler(), streamSeed).run();
        if (plot != null) {
            writePlots(policyStatistics, baselines);
        }
        Map<String, Double> values = new LinkedHashMap<>();
        values.put("jobs", (double) stream.jobs().size());
        compare(policyStatistics, baselines, values);
        addPolicyFigures(policyStatistics, values);
        addSlowdowns("policy", policyStatistics, values);
        baselines.forEach((name, baseline) -> addSlowdowns(name, baseline, values));
        return values;
    }

    private void writePlots(SimulationStatistics policyStatistics, Map<String, SimulationStatistics> baselines) {
        try {
            Plots.write(Path.of(plot), policyStatistics, baselines);
        } catch (IOException failed) {
            throw new UncheckedIOException(failed);
        }
    }

    private static void compare(
            SimulationStatistics policyStatistics,
            Map<String, SimulationStatistics> baselines,
            Map<String, Double> values) {
        baselines.forEach((name, baseline) -> {
            values.put("completion_ratio_" + name, policyStatistics.completionRatio(baseline));
            values.put("completion_ratio_" + name + "_p99", policyStatistics.completionRatioPercentile99(baseline));
            values.put("slowdown_ratio_" + name, policyStatistics.slowdownRatio(baseline));
            values.put("slowdown_ratio_" + name + "_p99", policyStatistics.slowdownRatioPercentile99(baseline));
        });
        baselines.forEach((name, baseline) ->
                values.put("fragmentation_ratio_" + name, policyStatistics.fragmentation() / baseline.fragmentation()));
        values.put("fragmentation_policy", policyStatistics.fragmentation());
        baselines.forEach((name, baseline) -> values.put("fragmentation_" + name, baseline.fragmentation()));
        values.put("completion_over_ideal", policyStatistics.meanSlowdown());
        baselines.forEach((name, baseline) -> values.put("completion_over_ideal_" + name, baseline.meanSlowdown()));
        values.put(
                "large_wait_p99_ratio_first_fit",
                policyStatistics.largeWaitRatioPercentile99(baselines.get("first_fit")));
        values.put("utilisation_policy", policyStatistics.utilisation());
        baselines.forEach((name, baseline) -> values.put("utilisation_" + name, baseline.utilisation()));
        values.put("succeeded_policy", (double) policyStatistics.slowdowns.size());
        baselines.forEach((name, baseline) -> values.put("succeeded_" + name, (double) baseline.slowdowns.size()));
    }

    private static void addSlowdowns(String policy, SimulationStatistics statistics, Map<String, Double> values) {
        statistics.slowdownsByTemplate.forEach(
                (template, sums) -> values.put("slowdown_" + policy + "_" + template, sums[0] / sums[1]));
    }

    private static void addPolicyFigures(SimulationStatistics policyStatistics, Map<String, Double> values) {
        values.put("reclaims", (double) policyStatistics.reclaims);
        values.put("reclaim_p99_seconds", policyStatistics.reclaimMilliseconds.getValueAtPercentile(99) / MILLISECONDS);
        values.put("reclaim_max_seconds", policyStatistics.reclaimMilliseconds.getMaxValue() / MILLISECONDS);
        values.put("urgent_starts", (double) policyStatistics.urgentStartMilliseconds.getTotalCount());
        values.put("urgent_start_max_seconds", policyStatistics.urgentStartMilliseconds.getMaxValue() / MILLISECONDS);
        values.put("guarantee_violations", (double) policyStatistics.guaranteeViolations);
        values.put("starved_jobs", (double) policyStatistics.starvedJobs);
        values.put("gang_violations", (double) policyStatistics.gangViolations);
        values.put("unfinished", (double) policyStatistics.unfinished);
        values.put("quarantines", (double) policyStatistics.quarantines);
        policyStatistics.jobsEndedByPolicy.forEach(
                (kind, count) -> values.put("ended_" + kind.code().replace('-', '_'), (double) count));
        values.put(
                "decision_p50_microseconds",
                policyStatistics.decisionNanoseconds.getValueAtPercentile(50) / MILLISECONDS);
        values.put(
                "decision_p99_microseconds",
                policyStatistics.decisionNanoseconds.getValueAtPercentile(99) / MILLISECONDS);
    }
}
