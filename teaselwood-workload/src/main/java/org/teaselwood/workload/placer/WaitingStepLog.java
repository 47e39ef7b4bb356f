package org.teaselwood.workload.placer;

import java.util.List;
import java.util.function.IntSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs why ready steps are not placed. Mutable; confined to the placer's duty thread.
 *
 * <p>The numbers are computed only for the lines that are written, and the lines are bounded for each step and for the
 * placer as a whole, so that a long backlog costs almost nothing.
 */
final class WaitingStepLog {
    private static final Logger LOGGER = LoggerFactory.getLogger(WaitingStepLog.class);

    /** Time for which a step has been ready when its first line is written. */
    private static final long FIRST_LINE_MILLISECONDS = 2_000;

    /** Interval between the lines of one step. */
    private static final long REPEAT_MILLISECONDS = 10_000;

    /** Shortest interval between the lines of all steps. */
    private static final long MINIMUM_INTERVAL_MILLISECONDS = 200;

    private long nextLineAt;

    /**
     * Logs the numbers that keep a step waiting, if a line is due.
     *
     * @param reserve number of accelerators that the step must leave free, 0 if it need not leave any; evaluated only
     *     for a line that is due
     */
    void stepWaits(StepState step, String service, FreeCapacity freeCapacity, IntSupplier reserve, long now) {
        if (!isDue(step, now)) {
            return;
        }
        List<ServerState> eligible = freeCapacity.eligible(service, step).toList();
        List<ServerState> fitting = freeCapacity.fitting(service, step).toList();
        LOGGER.info(
                "step {} has been ready for {} ms and waits: tasks={} waiting={} delayed={} gang={} sameRack={}"
                        + " usableServers={} eligible={} quarantined={} free={} freeInQuarantine={}"
                        + " reservedForOthers={} unadvised={} freeAccelerators={} urgentReserve={}",
                step.name(),
                now - step.readySince,
                step.tasks.size(),
                step.tasks.stream().filter(TaskState::isWaiting).count(),
                step.tasks.stream()
                        .filter(task -> task.isWaiting() && task.notBefore > now)
                        .count(),
                step.gang(),
                step.specification.sameRack(),
                freeCapacity.serverCount(service),
                eligible.size(),
                eligible.stream()
                        .filter(server -> Quarantine.contains(server, now))
                        .count(),
                fitting.size(),
                fitting.stream()
                        .filter(server -> Quarantine.contains(server, now))
                        .count(),
                eligible.stream()
                        .filter(server ->
                                server.free().covers(step.specification.reserved()) && !fitting.contains(server))
                        .count(),
                step.advice.required ? freeCapacity.unadvised(service, step).count() : 0,
                freeCapacity.freeAccelerators(),
                reserve.getAsInt());
    }

    /** Logs that a job cannot be placed because no configuration has its queue, if a line is due. */
    void queueMissing(JobState job, long now) {
        job.steps().findFirst().ifPresent(step -> {
            if (step.readySince == 0) {
                step.readySince = now;
            }
            if (isDue(step, now)) {
                LOGGER.warn(
                        "job {} waits: its queue {} is missing in the configuration",
                        job.id(),
                        job.specification.queue());
            }
        });
    }

    private boolean isDue(StepState step, long now) {
        if (now - step.readySince < FIRST_LINE_MILLISECONDS || now < step.nextWaitLineAt || now < nextLineAt) {
            return false;
        }
        step.nextWaitLineAt = now + REPEAT_MILLISECONDS;
        nextLineAt = now + MINIMUM_INTERVAL_MILLISECONDS;
        return true;
    }
}
