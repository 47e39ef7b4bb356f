package org.teaselwood.bench.policy;

import java.util.LinkedHashMap;
import java.util.Map;
import org.teaselwood.policy.GuaranteeScheduler;

/** Measures the decision time and the heap usage of the policy at three cluster sizes. Confined to one thread. */
final class ScaleMeasurement {
    private static final int[] WORKERS = {11, 110, 1_100};
    private static final int[] ACCELERATORS = {14, 140, 1_400};
    private static final int[] TEAMS = {4, 40, 130};
    private static final double LOAD = 0.9;
    private static final double KIBIBYTE = 1_024;

    private final long seed;

    ScaleMeasurement(long seed) {
        this.seed = seed;
    }

    /** Returns the figures by name. A slope below 1 means sublinear growth in the number of workers. */
    Map<String, Double> run() {
        Map<String, Double> values = new LinkedHashMap<>();
        // Warms up the JIT compiler; the result is discarded.
        warmUp(2);
        double[] percentiles = new double[WORKERS.length];
        double[] heaps = new double[WORKERS.length];
        for (int index = 0; index < WORKERS.length; index++) {
            String suffix = "_" + WORKERS[index];
            double before = usedHeap();
            GuaranteeScheduler scheduler = new GuaranteeScheduler();
            SimulationStatistics statistics = simulate(index, scheduler);
            percentiles[index] = statistics.decisionNanoseconds.getValueAtPercentile(99) / 1_000.0;
            values.put(
                    "decision_p50_microseconds" + suffix,
                    statistics.decisionNanoseconds.getValueAtPercentile(50) / 1_000.0);
            values.put("decision_p99_microseconds" + suffix, percentiles[index]);
            values.put("decision_max_microseconds" + suffix, statistics.decisionNanoseconds.getMaxValue() / 1_000.0);
            statistics = null;
            heaps[index] = (usedHeap() - before) / KIBIBYTE;
            values.put("heap_kibibytes" + suffix, heaps[index]);
            values.put("heap_holds" + suffix, scheduler.fragmentation() >= 0 ? 1.0 : 0.0);
        }
        values.put("decision_p99_slope_11_to_110", slope(percentiles[0], percentiles[1]));
        values.put("decision_p99_slope_110_to_1100", slope(percentiles[1], percentiles[2]));
        values.put("heap_slope_110_to_1100", slope(heaps[1], heaps[2]));
        return values;
    }

    private void warmUp(int index) {
        simulate(index, new GuaranteeScheduler());
    }

    private SimulationStatistics simulate(int index, GuaranteeScheduler scheduler) {
        Deployment cluster = Deployment.scaled(WORKERS[index], ACCELERATORS[index], TEAMS[index]);
        return new Simulation(cluster, WorkStream.of(cluster, seed, LOAD), scheduler, seed).run();
    }

    private static double slope(double small, double large) {
        return Math.log10(large / small);
    }

    private static double usedHeap() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
