package org.teaselwood.workload.placer;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaselwood.protocol.message.WorkMessage;
import org.teaselwood.workload.record.JobPhase;

/**
 * Orders, stops and removes runs, and keeps the phases of their jobs. Confined to the placer's duty thread.
 *
 * <p>Invariant: the members of a gang share their fate. As soon as one is stopped, lost or ended without success, the
 * others are stopped, and no member starts again before all have ended.
 */
final class Runs {
    private static final Logger LOGGER = LoggerFactory.getLogger(Runs.class);

    private final long term;
    private final JobWrites writes;
    private final PlacerEffects effects;
    private boolean changed = true;

    Runs(long term, JobWrites writes, PlacerEffects effects) {
        this.effects = effects;
        this.term = term;
        this.writes = writes;
    }

    private void measure(String name, JobState job, long now) {
        if (job.acceptedAt >= 0) {
            effects.measured(name, job.specification.team(), job.specification.queue(), now - job.acceptedAt);
        }
    }

    /** Whether room or waiting work may have changed since the last call. */
    boolean takeChanged() {
        boolean result = changed;
        changed = false;
        return result;
    }

    void markChanged() {
        changed = true;
    }

    /** Records a start; it is ordered once it is stored. */
    void start(JobState job, StepState step, TaskState task, ServerState server, int attempt, long now) {
        Run run = new Run(job, step, task, attempt, server, RunState.RECORDING, now);
        task.attempt = attempt;
        task.run = run;
        server.runs.put(run.key(), run);
        if (job.phase == JobPhase.QUEUED) {
            job.phase = JobPhase.RUNNING;
            measure("wait", job, now);
        }
        writes.changed(job);
        job.whenStored(() -> order(run));
    }

    private void order(Run run) {
        if (run.state != RunState.RECORDING || run.task.run != run) {
            return;
        }
        run.state = RunState.ORDERED;
        LOGGER.info("task {} attempt {} ordered on {}", run.task.name, run.attempt, run.server.id);
        sendStart(run);
    }

    void sendStart(Run run) {
        run.startsSent++;
        run.server.send(new WorkMessage.StartTask(
                term,
                run.server.agentClock,
                run.server.id,
                run.server.start,
                run.task.name.toString(),
                run.attempt,
                run.job.specification.payload(),
                run.step.checkpointFor(run.task),
                run.step.advice.ticketFor(run.server)));
    }

    void sendStop(ServerState server, String task, int attempt) {
        server.send(new WorkMessage.StopTask(term, server.id, server.start, task, attempt));
    }

    void sendPace(Run run) {
        run.server.send(new WorkMessage.PaceTask(
                term, run.server.id, run.server.start, run.task.name.toString(), run.attempt, run.pace));
    }

    void stop(Run run, long now) {
        switch (run.state) {
            case RECORDING -> remove(run, now);
            case ORDERED, RECOVERED, RUNNING -> {
                run.state = RunState.STOPPING;
                run.confirmedOperation = -1;
                sendStop(run.server, run.task.name.toString(), run.attempt);
                breakGang(run.step, now);
            }
            default -> LOGGER.debug("task {} is being stopped already", run.task.name);
        }
    }

    /** The run has surely ended and no end of it will be listed. */
    void remove(Run run, long now) {
        run.server.runs.remove(run.key());
        if (run.task.run == run) {
            run.task.run = null;
            writes.changed(run.job);
            breakGang(run.step, now);
            updatePhase(run.job, now);
        }
        changed = true;
    }

    void breakGang(StepState step, long now) {
        if (step.gang()) {
            step.runs().toList().forEach(run -> stop(run, now));
        }
    }

    void updatePhase(JobState job, long now) {
        if (job.phase.isFinal()) {
            return;
        }
        boolean exhausted = job.steps.stream()
                .filter(step -> !step.specification.longRunning())
                .flatMap(step -> step.tasks.stream())
                .anyMatch(task -> !task.done && task.failures >= job.maximumAttempts);
        if (exhausted) {
            finish(job, JobPhase.FAILED, now);
        } else if (job.steps.stream().allMatch(StepState::done)) {
            finish(job, JobPhase.COMPLETED, now);
        }
    }

    void finish(JobState job, JobPhase phase, long now) {
        job.phase = phase;
        job.endedAt = now;
        LOGGER.info("job {} is {}", job.id(), phase);
        measure(phase == JobPhase.COMPLETED ? "completion" : "end", job, now);
        writes.changed(job);
        if (phase != JobPhase.COMPLETED) {
            job.runs().toList().forEach(run -> stop(run, now));
        }
        changed = true;
    }
}
