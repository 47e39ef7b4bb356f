package org.teaselwood.workload.placer;

import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Throttles best-effort tasks on servers that also run latency-sensitive tasks. Confined to the placer's duty thread.
 *
 * <p>The pace of a best-effort task is halved while a latency-sensitive task on the same server is near its latency
 * target, and raised in small steps while all of them are well below their targets. A fixed share fails, because the
 * interference differs by image and changes within seconds. Invariant: a latency-sensitive task exceeds its target only
 * for a few reports while a best-effort task on its server makes progress.
 */
final class Pacing {
    private static final Logger LOGGER = LoggerFactory.getLogger(Pacing.class);

    static final int FULL_PERCENT = 100;

    /** Initial pace beside a latency-sensitive task, low because the interference is not known yet. */
    private static final int INITIAL_PERCENT = 30;

    /** Smallest pace that does useful work; below it the task is suspended. */
    private static final int MINIMUM_PERCENT = 5;

    private static final int INCREMENT_PERCENT = 10;

    /** Ratio of latency to its target above which the pace is halved. */
    private static final double HIGH_LATENCY_RATIO = 0.85;

    /** Ratio of latency to its target below which the pace is raised. */
    private static final double LOW_LATENCY_RATIO = 0.6;

    /** Time until a change of the pace shows in the reported latency, which covers the last half second. */
    private static final long SETTLE_MILLISECONDS = 700;

    /** Interval at which a reduced pace is sent again, because an order may be lost. */
    private static final long RESEND_INTERVAL_MILLISECONDS = 2_000;

    private final RunLifecycle lifecycle;

    Pacing(RunLifecycle lifecycle) {
        this.lifecycle = lifecycle;
    }

    /** Adjusts the pace of all best-effort tasks on a server after a report of its latencies. */
    void adjust(ServerState server, long now) {
        List<Run> bestEffortRuns = server.runs.values().stream()
                .filter(run -> run.state == RunState.RUNNING && run.step.specification.bestEffort())
                .toList();
        if (bestEffortRuns.isEmpty()) {
            return;
        }
        double latencyRatio = server.runs.values().stream()
                .filter(run -> run.state == RunState.RUNNING && run.step.specification.latencyTargetMilliseconds() > 0)
                .mapToDouble(run -> (double) run.load / run.step.specification.latencyTargetMilliseconds())
                .max()
                .orElse(-1);
        bestEffortRuns.forEach(run -> adjust(run, latencyRatio, now));
    }

    private void adjust(Run run, double latencyRatio, long now) {
        int target = targetPercent(run, latencyRatio, now);
        boolean repeat = run.pace < FULL_PERCENT && now - run.pacedAt >= RESEND_INTERVAL_MILLISECONDS;
        if (target == run.pace && !repeat) {
            return;
        }
        if (target != run.pace) {
            LOGGER.info("pace of task {} attempt {} set to {} percent", run.task.name, run.attempt, target);
        }
        run.pace = target;
        run.pacedAt = now;
        lifecycle.sendPace(run);
    }

    /**
     * Returns the target pace for a run.
     *
     * @param latencyRatio highest ratio of latency to its target on the server, negative if no
     *     latency-sensitive task runs there
     */
    private static int targetPercent(Run run, double latencyRatio, long now) {
        if (latencyRatio < 0) {
            return FULL_PERCENT;
        }
        if (run.pacedAt == 0) {
            return INITIAL_PERCENT;
        }
        if (now - run.pacedAt < SETTLE_MILLISECONDS) {
            return run.pace;
        }
        if (latencyRatio > HIGH_LATENCY_RATIO) {
            int half = run.pace / 2;
            return half < MINIMUM_PERCENT ? 0 : half;
        }
        return latencyRatio < LOW_LATENCY_RATIO ? Math.min(FULL_PERCENT, run.pace + INCREMENT_PERCENT) : run.pace;
    }
}
