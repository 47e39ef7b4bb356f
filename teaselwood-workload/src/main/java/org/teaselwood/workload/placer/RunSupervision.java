package org.teaselwood.workload.placer;

import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaselwood.workload.model.WorkloadTimings;

/**
 * Stops runs that make no progress: those of incomplete gangs and stalled ones. Confined to the placer's duty thread.
 */
final class RunSupervision {
    private static final Logger LOGGER = LoggerFactory.getLogger(RunSupervision.class);

    /**
     * Time without progress after which a run is stalled and its task is moved; progress is reported in whole percent.
     */
    private static final long STALL_TIMEOUT_MILLISECONDS = 4_000;

    /**
     * Smallest pace at which a stall is detected; slower runs may need longer than the timeout for one
     * percent of progress.
     */
    private static final int MINIMUM_PACE_PERCENT = 60;

    private final Map<String, ServerState> servers;
    private final RunLifecycle lifecycle;
    private final WorkloadTimings timings;

    RunSupervision(Map<String, ServerState> servers, RunLifecycle lifecycle, WorkloadTimings timings) {
        this.servers = servers;
        this.lifecycle = lifecycle;
        this.timings = timings;
    }

    /** Checks every run. */
    void check(long now) {
        stopIncompleteGangs(now);
        stopStalledRuns(now);
    }

    /**
     * Stops gangs that lack a member. A member without the others ends by itself after the gang wait timeout, so the
     * gang is stopped after half that time. A gang that lost a member under an earlier placer, which could not stop the
     * others, is stopped at once.
     */
    private void stopIncompleteGangs(long now) {
        long limit = timings.gangWaitTimeoutMilliseconds() / 2;
        servers.values().stream()
                .flatMap(server -> server.runs.values().stream())
                .filter(run -> run.step.gang() && run.state != RunState.STOPPING)
                .filter(run -> run.state == RunState.ORDERED && now - run.createdAt > limit
                        || run.step.tasks.stream().anyMatch(TaskState::isWaiting))
                .toList()
                .forEach(run -> {
                    LOGGER.info(
                            "gang of task {} is incomplete {} ms after its start; stopping it",
                            run.task.name,
                            now - run.createdAt);
                    lifecycle.stop(run, now);
                });
    }

    /**
     * Stops stalled runs so that their tasks are placed elsewhere. Members of a gang finish together, and faster ones
     * may make no progress while they wait for the slowest; only the slowest member is checked.
     */
    private void stopStalledRuns(long now) {
        servers.values().stream()
                .flatMap(server -> server.runs.values().stream())
                .filter(run -> run.state == RunState.RUNNING
                        && !run.step.specification.longRunning()
                        && !run.isComplete()
                        && run.pace >= MINIMUM_PACE_PERCENT
                        && now - run.progressAt > STALL_TIMEOUT_MILLISECONDS
                        && now - run.server.lastContactAt < WorkloadTimings.UNRESPONSIVE_AFTER_MILLISECONDS)
                .filter(run -> !run.step.gang() || isLastOfGang(run))
                .toList()
                .forEach(run -> {
                    LOGGER.info(
                            "task {} attempt {} on backend server {} stalled at {} percent; stopping it",
                            run.task.name,
                            run.attempt,
                            run.server.id,
                            run.percent);
                    run.server.countFailure(now);
                    run.task.addFailedOn(run.server.id);
                    lifecycle.stop(run, now);
                });
    }

    private static boolean isLastOfGang(Run run) {
        return run.step.runs().allMatch(member -> member.percent >= run.percent);
    }
}
