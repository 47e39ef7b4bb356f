package org.teaselwood.workload.placer;

import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Slows filling work beside work that serves users. Confined to the placer's duty thread.
 *
 * <p>How much a filling task disturbs differs by image and changes within seconds, so that no fixed share is right:
 * its pace is halved while a serving task is near its latency target and raised in small steps while all are far from
 * it. Invariant: a serving task stays over its target only for a few reports while filling work beside it moves.
 */
final class Pacing {
    private static final Logger LOGGER = LoggerFactory.getLogger(Pacing.class);

    static final int FULL_PERCENT = 100;

    /** A task that begins to fill beside serving work starts slowly, because its effect is not known yet. */
    private static final int FIRST_PERCENT = 30;

    /** A pace below this does no useful work, and the task stands still instead. */
    private static final int SMALLEST_PERCENT = 5;

    private static final int RAISE_PERCENT = 10;

    /** Shares of the latency target above which the pace falls and below which it rises. */
    private static final double STRAINED = 0.85;

    private static final double RELAXED = 0.6;

    /** The latency is that of the last half second, so that a change shows after this time. */
    private static final long SETTLE_MILLISECONDS = 700;

    /** An order may be lost; a pace that is not full is ordered again after this time. */
    private static final long REPEAT_MILLISECONDS = 2_000;

    private final Runs runs;

    Pacing(Runs runs) {
        this.runs = runs;
    }

    /** Adjusts the pace of all that fills on a server, after a report of its loads. */
    void adjust(ServerState server, long now) {
        List<Run> filling = server.runs.values().stream()
                .filter(run -> run.state == RunState.RUNNING && run.step.specification.fills())
                .toList();
        if (filling.isEmpty()) {
            return;
        }
        double strain = server.runs.values().stream()
                .filter(run -> run.state == RunState.RUNNING && run.step.specification.latencyTargetMilliseconds() > 0)
                .mapToDouble(run -> (double) run.load / run.step.specification.latencyTargetMilliseconds())
                .max()
                .orElse(-1);
        filling.forEach(run -> adjust(run, strain, now));
    }

    private void adjust(Run run, double strain, long now) {
        int wanted = wantedPercent(run, strain, now);
        boolean repeat = run.pace < FULL_PERCENT && now - run.pacedAt >= REPEAT_MILLISECONDS;
        if (wanted == run.pace && !repeat) {
            return;
        }
        if (wanted != run.pace) {
            LOGGER.info("task {} attempt {} works at {} percent", run.task.name, run.attempt, wanted);
        }
        run.pace = wanted;
        run.pacedAt = now;
        runs.sendPace(run);
    }

    /** The pace that the strain asks for; a negative strain means that nothing serves there. */
    private static int wantedPercent(Run run, double strain, long now) {
        if (strain < 0) {
            return FULL_PERCENT;
        }
        if (run.pacedAt == 0) {
            return FIRST_PERCENT;
        }
        if (now - run.pacedAt < SETTLE_MILLISECONDS) {
            return run.pace;
        }
        if (strain > STRAINED) {
            int half = run.pace / 2;
            return half < SMALLEST_PERCENT ? 0 : half;
        }
        return strain < RELAXED ? Math.min(FULL_PERCENT, run.pace + RAISE_PERCENT) : run.pace;
    }
}
