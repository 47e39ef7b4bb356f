package org.teaselwood.bench.policy;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.JobIdentifier;
import org.teaselwood.policy.PolicyEvent;

/** Statistics of one simulation of a work stream. Mutable, confined to the thread of its simulation. */
final class SimulationStatistics {
    /** Lower bound of the run time in slowdowns, so that the overhead of starting a task does not dominate them. */
    private static final long SHORTEST_RUN_MILLISECONDS = 10_000;

    final Histogram decisionNanoseconds = new Histogram(3);
    final Histogram reclaimMilliseconds = new Histogram(3);
    final Histogram urgentStartMilliseconds = new Histogram(3);
    /** Slowdown of each succeeded job: the time from its submission to its answer, divided by its run time. */
    final Map<JobIdentifier, Double> slowdowns = new TreeMap<>();
    /** Completion time in milliseconds, from submission to answer, times the slowdown, of each succeeded job. */
    final Map<JobIdentifier, Double> weightedCompletions = new TreeMap<>();

    /** Time in milliseconds that each succeeded large job spent not running. */
    final Map<JobIdentifier, Double> largeWaits = new TreeMap<>();

    /** Sum and number of the slowdowns by template. */
    final Map<String, double[]> slowdownsByTemplate = new TreeMap<>();

    final Map<ErrorKind, Integer> jobsEndedByPolicy = new TreeMap<>();
    long quarantines;
    long reclaims;
    long gangViolations;
    long guaranteeViolations;
    long starvedJobs;
    long unfinished;

    private final Deployment deployment;
    private double workedMilliseconds;
    private double fragmentationSum;
    private long fragmentationSamples;

    SimulationStatistics(Deployment deployment) {
        this.deployment = deployment;
    }

    void recordDecision(long nanoseconds, PolicyEvent event) {
        boolean startup = event instanceof PolicyEvent.ConfigurationChanged;
        if (!startup) {
            decisionNanoseconds.recordValue(nanoseconds);
        }
    }

    void recordSuccess(SimulatedJob job, long nowMilliseconds) {
        long completionMilliseconds = nowMilliseconds - job.request().submittedMilliseconds();
        double run = Math.max(SHORTEST_RUN_MILLISECONDS, job.runMilliseconds());
        slowdowns.put(job.request().job(), Math.max(completionMilliseconds, run) / run);
        weightedCompletions.put(
                job.request().job(), completionMilliseconds * (Math.max(completionMilliseconds, run) / run));
        double[] sums =
                slowdownsByTemplate.computeIfAbsent(job.request().template().name(), name -> new double[2]);
        sums[0] += Math.max(completionMilliseconds, run) / run;
        sums[1]++;
        if (job.request().template().shape().totalAccelerators() >= deployment.largeAccelerators()) {
            largeWaits.put(job.request().job(), (double) Math.max(0, completionMilliseconds - job.runMilliseconds()));
        }
    }

    void recordEndByPolicy(ErrorKind kind) {
        jobsEndedByPolicy.merge(kind, 1, Integer::sum);
    }

    /** Adds completed work that was not lost, up to the end of the arrivals. */
    void recordWork(int accelerators, long fromMilliseconds, long toMilliseconds) {
        long end = Math.min(toMilliseconds, deployment.horizonMilliseconds());
        workedMilliseconds += (double) accelerators * Math.max(0, end - fromMilliseconds);
    }

    void recordFragmentation(double value) {
        fragmentationSum += value;
        fragmentationSamples++;
    }

    /** Returns the time-averaged fragmentation during the arrivals, 0 to 1. */
    double fragmentation() {
        return fragmentationSum / Math.max(1, fragmentationSamples);
    }

    /** Returns the share of the accelerator time spent on work that was not lost, 0 to 1. */
    double utilisation() {
        return workedMilliseconds / ((double) deployment.accelerators() * deployment.horizonMilliseconds());
    }

    /** Returns the ratio of the mean slowdown-weighted completion times of jobs that succeeded under both policies. */
    double completionRatio(SimulationStatistics other) {
        return mean(weightedCompletions, other.slowdowns) / mean(other.weightedCompletions, slowdowns);
    }

    /** Returns the ratio of the 99th percentiles of the slowdown-weighted completion times. */
    double completionRatioPercentile99(SimulationStatistics other) {
        return quantile(weightedCompletions, other.slowdowns, 0.99)
                / quantile(other.weightedCompletions, slowdowns, 0.99);
    }

    /** Returns the ratio of the mean slowdowns of the jobs that succeeded under both policies. */
    double slowdownRatio(SimulationStatistics other) {
        return mean(slowdowns, other.slowdowns) / mean(other.slowdowns, slowdowns);
    }

    /** Returns the ratio of the 99th percentiles of the slowdowns. */
    double slowdownRatioPercentile99(SimulationStatistics other) {
        return quantile(slowdowns, other.slowdowns, 0.99) / quantile(other.slowdowns, slowdowns, 0.99);
    }

    /** Returns the ratio of the 99th percentiles of the waiting times of large jobs. */
    double largeWaitRatioPercentile99(SimulationStatistics other) {
        return quantile(largeWaits, other.largeWaits, 0.99) / quantile(other.largeWaits, largeWaits, 0.99);
    }

    /** Returns the mean slowdown of all succeeded jobs; 1 means that no job waited. */
    double meanSlowdown() {
        return slowdowns.values().stream()
                .mapToDouble(Double::doubleValue)
                .average()
                .orElse(Double.NaN);
    }

    private static double mean(Map<JobIdentifier, Double> values, Map<JobIdentifier, Double> common) {
        return values.entrySet().stream()
                .filter(entry -> common.containsKey(entry.getKey()))
                .mapToDouble(Map.Entry::getValue)
                .average()
                .orElse(Double.NaN);
    }

    private static double quantile(
            Map<JobIdentifier, Double> values, Map<JobIdentifier, Double> common, double quantile) {
        double[] sorted = values.entrySet().stream()
                .filter(entry -> common.containsKey(entry.getKey()))
                .mapToDouble(Map.Entry::getValue)
                .sorted()
                .toArray();
        return sorted.length == 0 ? Double.NaN : sorted[(int) Math.min(sorted.length - 1, quantile * sorted.length)];
    }
}
