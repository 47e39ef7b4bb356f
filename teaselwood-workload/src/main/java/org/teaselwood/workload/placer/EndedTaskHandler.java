package org.teaselwood.workload.placer;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaselwood.protocol.message.WorkMessage.EndKind;
import org.teaselwood.protocol.message.WorkMessage.EndedTask;
import org.teaselwood.workload.model.TaskName;

/**
 * Applies the ends of runs that backend servers report. Confined to the placer's duty thread.
 *
 * <p>Invariant: an end is applied once, in the order of its number, and acknowledged only after its effect is stored.
 * Until then the server keeps reporting it, so that no end is lost when a placer fails.
 */
final class EndedTaskHandler {
    private static final Logger LOGGER = LoggerFactory.getLogger(EndedTaskHandler.class);

    private final Map<String, JobState> jobs;
    private final JobWrites writes;
    private final RunLifecycle lifecycle;
    private final RunTimes runTimes;

    EndedTaskHandler(Map<String, JobState> jobs, JobWrites writes, RunLifecycle lifecycle, RunTimes runTimes) {
        this.runTimes = runTimes;
        this.jobs = jobs;
        this.writes = writes;
        this.lifecycle = lifecycle;
    }

    /** Applies the end of one run. */
    void handle(ServerState server, EndedTask ended, long now) {
        Optional<TaskName> name = TaskName.parse(ended.task());
        JobState job = name.map(value -> jobs.get(value.job())).orElse(null);
        Optional<TaskState> found = job == null ? Optional.empty() : job.task(name.get());
        if (found.isEmpty()) {
            LOGGER.warn("end of unknown task {} reported by backend server {}", ended.task(), server.id);
            server.endProcessed(ended.number(), null, 0);
            return;
        }
        TaskState task = found.get();
        StepState step = job.step(task.name.occurrence(), task.name.step()).orElseThrow();
        LOGGER.info(
                "task {} attempt {} ended with {} on backend server {}",
                ended.task(),
                ended.attempt(),
                ended.kind(),
                server.id);
        lifecycle.markChanged();
        Run run = server.runs.remove(Run.key(ended.task(), ended.attempt()));
        if (run != null && run.ranWhole() && ended.kind() == EndKind.DONE) {
            runTimes.completed(job.specification.queue(), now - run.startedAt);
        }
        if (run != null && task.run == run) {
            task.run = null;
            lifecycle.takeBackStart(run);
        }
        if (ended.attempt() >= task.attempt) {
            step.saveCheckpoint(task, ended.checkpoint());
        }
        if (!job.phase.isFinal() && !task.done) {
            applyEnd(job, step, task, ended, server, now);
        }
        writes.markChanged(job);
        server.endProcessed(ended.number(), job, job.version);
        lifecycle.updatePhase(job, now);
    }

    private void applyEnd(JobState job, StepState step, TaskState task, EndedTask ended, ServerState server, long now) {
        switch (ended.kind()) {
            case DONE -> {
                server.countSuccess();
                step.heldAfterCrash = false;
                if (!step.specification.longRunning()) {
                    List<TaskState> finished = step.gang() ? step.tasks : List.of(task);
                    finished.forEach(member -> member.done = true);
                    stopOthers(finished, ended.attempt(), now);
                }
            }
            case FAILED -> {
                // A failure after the first speaks against the task and not against the server.
                if (task.failures() == 0) {
                    server.countFailure(now);
                }
                task.addFailedOn(server.id);
                countFailure(step, task, ended.attempt());
                stopGangOf(step, task, ended);
            }
            default -> stopGangOf(step, task, ended);
        }
    }

    /**
     * Stops the other members of the gang after the end of a member. The end of an earlier attempt, which a server that
     * could not be reached reports late, does not concern the current one.
     */
    private void stopGangOf(StepState step, TaskState task, EndedTask ended) {
        if (ended.attempt() >= task.attempt) {
            lifecycle.stopGang(step);
        }
    }

    /**
     * Counts a failed attempt, also if several members of a gang report its failure. The attempt is stored with every
     * member.
     */
    private static void countFailure(StepState step, TaskState task, int attempt) {
        List<TaskState> members = step.gang() ? step.tasks : List.of(task);
        members.forEach(member -> member.addFailedAttempt(attempt));
    }

    /** Stops runs of other attempts of tasks that are done; runs of the same attempt end by themselves. */
    private void stopOthers(List<TaskState> tasks, int attempt, long now) {
        tasks.stream()
                .filter(member -> member.run != null && member.run.attempt != attempt)
                .map(member -> member.run)
                .toList()
                .forEach(run -> lifecycle.stop(run, now));
    }
}
