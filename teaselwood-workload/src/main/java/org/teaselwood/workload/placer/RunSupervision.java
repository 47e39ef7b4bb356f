package org.teaselwood.workload.placer;

import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaselwood.workload.model.WorkloadTimings;

/**
 * Stops runs that get nowhere: gangs that do not become complete and tasks that stand still. Confined to the placer's
 * duty thread.
 */
final class RunSupervision {
    private static final Logger LOGGER = LoggerFactory.getLogger(RunSupervision.class);

    /** A task whose progress stands still this long is moved; progress is reported in whole percents. */
    private static final long STALL_MILLISECONDS = 4_000;

    /** Work that is paced down to less than this may need longer than the limit for one percent. */
    private static final int SLOW_PERCENT = 60;

    private final Map<String, ServerState> servers;
    private final Runs runs;
    private final WorkloadTimings timings;

    RunSupervision(Map<String, ServerState> servers, Runs runs, WorkloadTimings timings) {
        this.servers = servers;
        this.runs = runs;
        this.timings = timings;
    }

    /** Looks at every run. */
    void check(long now) {
        breakIncompleteGangs(now);
        moveStalledRuns(now);
    }

    /**
     * A lone member ends by itself after the gang wait, so an incomplete gang is stopped before. A gang of which a
     * former placer had lost a member, and could not stop the others, is stopped at once.
     */
    private void breakIncompleteGangs(long now) {
        long limit = timings.gangWaitMilliseconds() / 2;
        servers.values().stream()
                .flatMap(server -> server.runs.values().stream())
                .filter(run -> run.step.gang() && run.state != RunState.STOPPING)
                .filter(run -> run.state == RunState.ORDERED && now - run.createdAt > limit
                        || run.step.tasks.stream().anyMatch(TaskState::waits))
                .toList()
                .forEach(run -> {
                    LOGGER.info(
                            "gang of task {} is incomplete {} ms after its start", run.task.name, now - run.createdAt);
                    runs.stop(run, now);
                });
    }

    /**
     * Stops runs that stand still. The members of a gang end together, so that those that are ahead may stand still
     * while they wait for the slowest; only the last of them is judged.
     */
    private void moveStalledRuns(long now) {
        servers.values().stream()
                .flatMap(server -> server.runs.values().stream())
                .filter(run -> run.state == RunState.RUNNING
                        && !run.step.specification.longRunning()
                        && !run.isComplete()
                        && run.pace >= SLOW_PERCENT
                        && now - run.progressAt > STALL_MILLISECONDS
                        && now - run.server.heardAt < WorkloadTimings.SUSPECT_MILLISECONDS)
                .filter(run -> !run.step.gang() || isLastOfGang(run))
                .toList()
                .forEach(run -> {
                    LOGGER.info(
                            "task {} attempt {} on {} stands still at {} percent",
                            run.task.name,
                            run.attempt,
                            run.server.id,
                            run.percent);
                    run.server.countFailure(now);
                    run.task.failedOn.add(run.server.id);
                    runs.stop(run, now);
                });
    }

    private static boolean isLastOfGang(Run run) {
        return run.step.runs().allMatch(member -> member.percent >= run.percent);
    }
}
