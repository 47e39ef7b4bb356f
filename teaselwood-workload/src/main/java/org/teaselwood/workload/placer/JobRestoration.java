package org.teaselwood.workload.placer;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaselwood.workload.record.CrashHistory;
import org.teaselwood.workload.record.StepRecord;
import org.teaselwood.workload.record.TaskRecord;

/**
 * Restores the state of jobs from their stored records after an election. Confined to the placer's duty thread.
 *
 * <p>Invariant: a run on record is treated as active until its backend server has reported under the new term or is
 * lost. Placing the task elsewhere before that could run it twice.
 */
final class JobRestoration {
    private static final Logger LOGGER = LoggerFactory.getLogger(JobRestoration.class);

    private final Map<String, ServerState> servers;
    private final JobWrites writes;

    JobRestoration(Map<String, ServerState> servers, JobWrites writes) {
        this.servers = servers;
        this.writes = writes;
    }

    void restore(JobState job, StoredProgress stored, long now) {
        job.phase = stored.record().phase();
        job.progress.restore(stored);
        job.endedAt = now;
        job.occurrences.restoreFinished(stored.record().finished());
        if (job.phase.isFinal() && !hasRuns(stored)) {
            if (!stored.chunks().isEmpty()) {
                // An earlier placer has not removed the chunks, and the job is removed only after them.
                writes.markChanged(job);
            }
            return;
        }
        stored.record().chunkedOccurrences().forEach(job.occurrences::begin);
        Set<TaskState> restored = new HashSet<>();
        stored.chunks().stream()
                .filter(chunk -> !job.occurrences.isFinished(chunk.id().occurrence()))
                .forEach(chunk -> {
                    job.occurrences.begin(chunk.id().occurrence());
                    restoreTasks(job, job.progress.tasksOf(chunk.id()), chunk.tasks(), restored, now);
                });
        stored.record().steps().forEach(stepRecord -> {
            job.occurrences.begin(stepRecord.occurrence());
            job.step(stepRecord.occurrence(), stepRecord.step())
                    .ifPresent(step -> restoreTasks(job, step.tasks, stepRecord.tasks(), restored, now));
        });
    }

    private static boolean hasRuns(StoredProgress stored) {
        return Stream.concat(
                        stored.chunks().stream().map(StoredProgress.Chunk::tasks),
                        stored.record().steps().stream().map(StepRecord::tasks))
                .flatMap(List::stream)
                .anyMatch(task -> !task.server().isEmpty());
    }

    /** Restores tasks, except for those that a record which takes precedence has restored. */
    private void restoreTasks(
            JobState job, List<TaskState> tasks, List<TaskRecord> records, Set<TaskState> restored, long now) {
        if (tasks.size() != records.size()) {
            LOGGER.error(
                    "ignored stored progress of job {}: {} tasks instead of {}",
                    job.id(),
                    records.size(),
                    tasks.size());
            return;
        }
        for (int index = 0; index < tasks.size(); index++) {
            TaskState task = tasks.get(index);
            if (!restored.add(task)) {
                continue;
            }
            StepState step = job.step(task.name.occurrence(), task.name.step()).orElseThrow();
            TaskRecord taskRecord = records.get(index);
            task.restore(taskRecord);
            step.heldAfterCrash |= !task.done && task.crashes.isSuspected();
            if (!taskRecord.server().isEmpty()) {
                restoreRun(job, step, task, taskRecord, now);
            }
        }
    }

    private void restoreRun(JobState job, StepState step, TaskState task, TaskRecord taskRecord, long now) {
        ServerState server = servers.computeIfAbsent(
                taskRecord.server(), id -> new ServerState(id, taskRecord.serverIncarnation(), taskRecord.host(), now));
        if (server.incarnation != taskRecord.serverIncarnation()) {
            // The run belongs to another incarnation of the server; only the later of the two can still be active.
            if (taskRecord.serverIncarnation() < server.incarnation) {
                if (!taskRecord.lateStart()) {
                    recordCrash(step, task, taskRecord.host(), taskRecord.serverIncarnation());
                }
                return;
            }
            for (Run earlier : server.runs.values()) {
                earlier.task.run = null;
                if (!earlier.isLateStart()) {
                    recordCrash(earlier.step, earlier.task, server.host, server.incarnation);
                }
            }
            server = new ServerState(taskRecord.server(), taskRecord.serverIncarnation(), taskRecord.host(), now);
            servers.put(server.id, server);
        }
        Run run = taskRecord.lateStart()
                ? Run.lateStart(job, step, task, taskRecord.attempt(), server, now)
                : new Run(job, step, task, taskRecord.attempt(), server, RunState.RECOVERED, now);
        server.runs.put(run.key(), run);
        task.run = run;
    }

    /** Records that a newer incarnation has replaced the server of a run that may have been its cause. */
    private static void recordCrash(StepState step, TaskState task, String host, long incarnation) {
        if (!step.checkpointFor(task).isEmpty()) {
            return;
        }
        task.crashes = task.crashes.with(new CrashHistory.Crash(host, incarnation, CrashHistory.Evidence.WEAK));
        step.heldAfterCrash = true;
    }
}
