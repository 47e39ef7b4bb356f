package org.teaselwood.workload.placer;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaselwood.protocol.message.WorkMessage;
import org.teaselwood.workload.record.JobPhase;

/**
 * Starts, stops and removes runs and updates the phases of their jobs. Mutable; confined to the placer's duty thread.
 *
 * <p>Invariant: a gang runs as a whole or not at all. As soon as one member is stopped, lost or ends without success,
 * the others are stopped, and no member starts again before all have ended.
 */
final class RunLifecycle {
    private static final Logger LOGGER = LoggerFactory.getLogger(RunLifecycle.class);

    private final long term;
    private final JobWrites writes;
    private final PlacerEffects effects;
    private boolean changed = true;

    RunLifecycle(long term, JobWrites writes, PlacerEffects effects) {
        this.effects = effects;
        this.term = term;
        this.writes = writes;
    }

    private void recordDuration(String name, JobState job, long now) {
        if (job.acceptedAt >= 0) {
            effects.recordTime(name, job.specification.team(), job.specification.queue(), now - job.acceptedAt);
        }
    }

    /** Returns whether capacity or waiting work may have changed since the last call, and resets the mark. */
    boolean takeChanged() {
        boolean result = changed;
        changed = false;
        return result;
    }

    void markChanged() {
        changed = true;
    }

    /** Creates a run; its start order is sent once the attempt is stored. */
    void start(JobState job, StepState step, TaskState task, ServerState server, int attempt, long now) {
        Run run = new Run(job, step, task, attempt, server, RunState.RECORDING, now);
        task.attempt = attempt;
        task.crashes = task.crashes.withStart();
        task.run = run;
        server.runs.put(run.key(), run);
        if (job.phase == JobPhase.QUEUED) {
            job.phase = JobPhase.RUNNING;
            recordDuration("wait", job, now);
        }
        writes.markChanged(job);
        job.whenStored(() -> order(run));
    }

    private void order(Run run) {
        if (run.state != RunState.RECORDING || run.task.run != run) {
            return;
        }
        run.state = RunState.ORDERED;
        LOGGER.info(
                "start of task {} attempt {} ordered on backend server {}", run.task.name, run.attempt, run.server.id);
        sendStart(run);
    }

    void sendStart(Run run) {
        run.startsSent++;
        run.server.send(new WorkMessage.StartTask(
                term,
                run.server.agentClock,
                run.server.id,
                run.server.incarnation,
                run.task.name.toString(),
                run.attempt,
                run.job.specification.payload(),
                run.step.checkpointFor(run.task),
                run.step.advice.ticketFor(run.server)));
    }

    void sendStop(ServerState server, String task, int attempt) {
        server.send(new WorkMessage.StopTask(term, server.id, server.incarnation, task, attempt));
    }

    void sendPace(Run run) {
        run.server.send(new WorkMessage.PaceTask(
                term, run.server.id, run.server.incarnation, run.task.name.toString(), run.attempt, run.pace));
    }

    /** Stops a run, and with it the other members of its gang. */
    void stop(Run run, long now) {
        if (stopAlone(run)) {
            stopGang(run.step);
            updatePhase(run.job, now);
        }
    }

    /** Stops one run; returns false if it has been removed or is already being stopped. */
    private boolean stopAlone(Run run) {
        if (run.server.runs.get(run.key()) != run) {
            return false;
        }
        switch (run.state) {
            case RECORDING -> {
                takeBackStart(run);
                removeAlone(run);
            }
            case ORDERED, RECOVERED, RUNNING -> {
                run.state = RunState.STOPPING;
                run.confirmedOperation = -1;
                run.unconfirmedSince = 0;
                sendStop(run.server, run.task.name.toString(), run.attempt);
            }
            default -> {
                LOGGER.debug("task {} is already being stopped", run.task.name);
                return false;
            }
        }
        return true;
    }

    /** Removes a run that is known not to have started or to have ended on a server that is still up. */
    void removeHarmless(Run run, long now) {
        takeBackStart(run);
        remove(run, now);
    }

    /**
     * Takes back the start that was counted when the run was ordered; that of a late start stays counted for the
     * incarnation that it was ordered on.
     */
    void takeBackStart(Run run) {
        if (!run.isLateStart()) {
            run.task.crashes = run.task.crashes.withoutStart();
        }
    }

    /** Removes a run that is known to have ended and whose end the server will not report. */
    void remove(Run run, long now) {
        if (removeAlone(run)) {
            stopGang(run.step);
            updatePhase(run.job, now);
        }
    }

    /** Removes one run; returns whether it was the current run of its task. */
    private boolean removeAlone(Run run) {
        run.server.runs.remove(run.key());
        changed = true;
        if (run.task.run != run) {
            return false;
        }
        run.task.run = null;
        writes.markChanged(run.job);
        return true;
    }

    /**
     * Puts a late start of a run of a former incarnation on record for the successor with the same identifier. An agent
     * addresses a server by its identifier, so that a start which it repeats may reach the successor. The stop, which
     * is sent as soon as the agent of the successor is connected, makes the successor reject it; until it is confirmed
     * the task cannot start elsewhere.
     */
    void expectLateStart(Run former, ServerState successor, long now) {
        if (former.task.run != null || former.task.done) {
            return;
        }
        LOGGER.info(
                "task {} attempt {} may have started on the next incarnation of backend server {}; stopping it there",
                former.task.name,
                former.attempt,
                successor.id);
        Run late = former.lateStartOn(successor, now);
        former.task.run = late;
        successor.runs.put(late.key(), late);
        writes.markChanged(former.job);
    }

    /**
     * Stops all members of a gang. They are stopped one after the other and not by each other, because the depth of the
     * stack would grow with the size of the gang.
     */
    void stopGang(StepState step) {
        if (step.gang()) {
            step.runs().toList().forEach(this::stopAlone);
        }
    }

    void updatePhase(JobState job, long now) {
        if (job.phase.isFinal()) {
            return;
        }
        if (job.steps().anyMatch(step -> hasGivenUpTask(step, job.maximumAttempts))) {
            finish(job, JobPhase.FAILED, now);
        } else if (job.occurrences.allDone()) {
            finish(job, JobPhase.COMPLETED, now);
        }
    }

    private static boolean hasGivenUpTask(StepState step, int maximumAttempts) {
        boolean limitsFailures = !step.specification.longRunning();
        return step.openTasks().stream()
                .anyMatch(task -> !task.done
                        && (task.crashes.isGivenUp(task.run != null)
                                || limitsFailures && task.failures() >= maximumAttempts));
    }

    void finish(JobState job, JobPhase phase, long now) {
        job.phase = phase;
        job.endedAt = now;
        LOGGER.info("job {} is {}", job.id(), phase);
        recordDuration(phase == JobPhase.COMPLETED ? "completion" : "end", job, now);
        writes.markChanged(job);
        if (phase != JobPhase.COMPLETED) {
            job.runs().toList().forEach(run -> stop(run, now));
        }
        changed = true;
    }
}
