package org.teaselwood.workload.placer;

import java.util.HashMap;
import java.util.Map;

/**
 * Expected run times of tasks, learned by queue from completed runs. Mutable; confined to the placer's duty thread.
 *
 * <p>Submitters' estimates may be off by a factor of two and more, while tasks of one queue are alike. The expected run
 * time is the geometric mean of the submitter's estimate and the queue's average: the estimate knows the job, the
 * average corrects a submitter who is wrong. The estimate alone would let a job whose run time is overstated discard
 * much more work than it does.
 */
final class RunTimes {
    /** Weight of the newest run in the moving average. */
    private static final double NEWEST_WEIGHT = 0.2;

    private final Map<String, Double> averageMilliseconds = new HashMap<>();

    /** Records a completed run of a task of the queue. */
    void completed(String queue, long milliseconds) {
        averageMilliseconds.merge(
                queue,
                (double) Math.max(1, milliseconds),
                (average, newest) -> average + NEWEST_WEIGHT * (newest - average));
    }

    /** Returns the expected run time of a task in milliseconds, at least 1. */
    double expectedMilliseconds(String queue, long estimateMilliseconds) {
        double estimate = Math.max(1, estimateMilliseconds);
        return Math.sqrt(estimate * averageMilliseconds.getOrDefault(queue, estimate));
    }
}
