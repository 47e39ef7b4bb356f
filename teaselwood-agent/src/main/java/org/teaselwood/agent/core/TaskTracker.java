package org.teaselwood.agent.core;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.teaselwood.model.Answer;
import org.teaselwood.model.PartPhase;
import org.teaselwood.model.TeaselwoodException;
import org.teaselwood.protocol.message.AgentMessage;
import org.teaselwood.protocol.worker.TaskIdentifier;
import org.teaselwood.protocol.worker.WorkerCall;
import org.teaselwood.protocol.worker.WorkerReply;
import org.teaselwood.protocol.worker.WorkerTask;

/**
 * Updates the phases of parts from the task states that the worker reports. A task that is missing from a listing is
 * lost only if the listing was requested after the worker confirmed the task, because an older listing may be out of
 * date. Not thread-safe.
 */
final class TaskTracker {
    /** Smallest relative change of usage that is reported. */
    private static final double USAGE_REPORT_THRESHOLD = 0.1;

    private final PartTable parts;
    private final AnswerSender answers;
    private final WorkerCalls calls;
    private final AgentEffects effects;

    TaskTracker(PartTable parts, AnswerSender answers, WorkerCalls calls, AgentEffects effects) {
        this.parts = parts;
        this.answers = answers;
        this.calls = calls;
        this.effects = effects;
    }

    /** Adds a part for every unknown task of the worker, and drops the tasks whose attempt is fenced. */
    void adopted(WorkerReply.Adopted adopted, WorkerCalls.Pending pending, long now) {
        for (WorkerReply.AdoptedTask task : adopted.tasks()) {
            TaskIdentifier identifier = task.status().task();
            boolean known = parts.find(identifier) != null || parts.isOrphan(identifier);
            if (!known && !parts.fences().isFenced(identifier.attempt())) {
                Part part = new Part(identifier, task.specification(), task.firstAccelerator());
                part.phase = phaseOf(task.status().state());
                part.failure = task.status().failure();
                part.confirmationToken = pending.token();
                part.nextCheckpointAt = now + AgentTimings.CHECKPOINT_INTERVAL_MILLISECONDS;
                part.updateStatus(task.status());
                part.phaseChangedAt = now;
                part.gangDeadline = now + AgentTimings.GANG_LEASE_MILLISECONDS;
                parts.add(part);
                effects.log("adopted a task of the worker", part.job());
            }
        }
        listed(
                new WorkerReply.Tasks(
                        adopted.workerIncarnation(),
                        adopted.version(),
                        adopted.tasks().stream()
                                .map(WorkerReply.AdoptedTask::status)
                                .toList()),
                pending,
                now);
        parts.live().toList().forEach(part -> reconcileAdopted(part, pending, now));
    }

    /** Returns the phase of an adopted task. The answer of a succeeded task is fetched from the worker to be sent. */
    private static PartPhase phaseOf(WorkerTask.State state) {
        return switch (state) {
            case RUNNING -> PartPhase.RUNNING;
            case SUCCEEDED -> PartPhase.SUCCEEDED;
            case FAILED -> PartPhase.FAILED;
            case STOPPED -> PartPhase.STOPPED;
            case LEASE_EXPIRED -> PartPhase.LOST;
        };
    }

    /**
     * Extends the lease of a confirmed part, because Adopt renews the leases of all running tasks. Marks a part as lost
     * if its stop deadline has passed, or if its lease has expired and the worker never confirmed its task.
     */
    private void reconcileAdopted(Part part, WorkerCalls.Pending pending, long now) {
        if (part.phase == PartPhase.STOPPING && now >= part.stopDeadline) {
            markOrphaned(part, "worker did not stop the task in time", now);
        } else if (part.isConfirmed()) {
            part.leaseExpiresAt = pending.sentAt() + AgentTimings.LEASE_MILLISECONDS;
        } else if (now >= part.leaseExpiresAt) {
            calls.call(new WorkerCall.Stop(part.task, 0), now);
            markOrphaned(part, "worker did not confirm the task before its lease expired", now);
        }
    }

    /** Applies a listing of all tasks. */
    void listed(WorkerReply.Tasks tasks, WorkerCalls.Pending pending, long now) {
        Map<TaskIdentifier, WorkerTask> byTask = new TreeMap<>();
        tasks.tasks().forEach(status -> byTask.put(status.task(), status));
        List<TaskIdentifier> unwanted = byTask.keySet().stream()
                .filter(task -> parts.find(task) == null && !parts.isOrphan(task))
                .toList();
        if (!unwanted.isEmpty()) {
            calls.call(new WorkerCall.Forget(unwanted), now);
        }
        reconcileOrphans(byTask, pending, now);
        for (Part part : parts.live().toList()) {
            WorkerTask status = byTask.get(part.task);
            if (status != null) {
                confirm(part, status, pending, now);
            } else if (part.isConfirmed() && pending.token() > part.confirmationToken) {
                markLost(part, "worker lost the task", now);
            }
        }
    }

    /** Applies the reply to Run. */
    void ran(WorkerCall.Run run, WorkerReply reply, WorkerCalls.Pending pending, long now) {
        Part part = parts.find(run.task());
        if (part == null || !part.isLive()) {
            return;
        }
        if (reply instanceof WorkerReply.Ran ran) {
            confirm(part, ran.status(), pending, now);
        } else if (reply instanceof WorkerReply.Refused refused && !part.isConfirmed()) {
            refused(part, refused, now);
        }
    }

    /**
     * Handles a refused run. The refusal of an invalid task fails the part. The refusal of the only Run call is
     * retried. After more than one call the part is lost, because the previous incarnation of a restarted worker may
     * have carried out an earlier one.
     */
    private void refused(Part part, WorkerReply.Refused refused, long now) {
        if (refused.reason() == WorkerReply.Reason.INVALID) {
            part.failure = refused.detail();
            finish(part, PartPhase.FAILED, now);
        } else if (part.runCallCount > 1) {
            markLost(part, refused.detail(), now);
        } else {
            part.runCallCount = 0;
        }
    }

    /** Extends the leases after a renewal that the worker confirmed. */
    void renewed(WorkerCall.Renew renewal, WorkerCalls.Pending pending, long now) {
        for (TaskIdentifier task : renewal.tasks()) {
            Part part = parts.find(task);
            if (part != null) {
                part.leaseExpiresAt = Math.max(part.leaseExpiresAt, pending.sentAt() + renewal.leaseMilliseconds());
            }
        }
    }

    /** Applies the reply to FetchAnswer. */
    void fetched(WorkerCall.FetchAnswer fetch, WorkerReply reply, long now) {
        Part part = parts.find(fetch.task());
        if (part == null || part.forgotten || !(part.isLive() || part.phase == PartPhase.SUCCEEDED)) {
            return;
        }
        switch (reply) {
            case WorkerReply.AnswerContent content -> succeed(part, content, now);
            case WorkerReply.Refused refused -> markLost(part, "answer lost: " + refused.detail(), now);
            default -> part.nextCallAt = now + AgentTimings.WORKER_RETRY_DELAY_MILLISECONDS;
        }
    }

    /** Fetches the next answer that is due, one at a time because answers are large. */
    void fetchNext(long now) {
        if (calls.isPending(WorkerCall.FetchAnswer.class::isInstance)) {
            return;
        }
        parts.all().stream()
                .filter(part -> !part.forgotten && now >= part.nextCallAt)
                .filter(part -> part.isLive() && part.answerReady || answers.needsFetch(part, now))
                .findFirst()
                .ifPresent(part -> calls.call(new WorkerCall.FetchAnswer(part.task), now));
    }

    /** Drops a part that holds no resources, and its task at the worker. */
    void forget(Part part, long now) {
        answers.drop(part);
        parts.remove(part);
        if (part.phase.mayHaveRun()) {
            calls.call(new WorkerCall.Forget(List.of(part.task)), now);
        }
    }

    /** Marks a part as lost whose task may have run and no longer runs. */
    void markLost(Part part, String failure, long now) {
        part.failure = failure;
        answers.drop(part);
        finish(part, PartPhase.LOST, now);
    }

    /** Marks a part as lost whose task may still run; keeps its resources until the worker reports that it does not. */
    void markOrphaned(Part part, String failure, long now) {
        part.failure = failure;
        answers.drop(part);
        parts.markOrphaned(part, now);
        if (part.forgotten) {
            forget(part, now);
        }
    }

    /** Frees the resources of lost parts whose tasks no longer run according to a listing, and stops the others. */
    private void reconcileOrphans(Map<TaskIdentifier, WorkerTask> byTask, WorkerCalls.Pending pending, long now) {
        for (Part orphan : parts.orphans()) {
            WorkerTask status = byTask.get(orphan.task);
            boolean ended = status == null && orphan.isConfirmed() && pending.token() > orphan.confirmationToken;
            if (ended || status != null && status.state() != WorkerTask.State.RUNNING) {
                parts.removeOrphan(orphan);
            } else {
                calls.call(new WorkerCall.Stop(orphan.task, 0), now);
            }
        }
    }

    void tick(long now) {
        fetchNext(now);
        parts.live().filter(part -> now >= part.nextProgressReportAt).forEach(part -> reportProgress(part, now));
    }

    private void confirm(Part part, WorkerTask status, WorkerCalls.Pending pending, long now) {
        if (!part.isConfirmed()) {
            part.confirmationToken = calls.lastToken();
            part.leaseExpiresAt = Math.max(part.leaseExpiresAt, pending.sentAt() + AgentTimings.LEASE_MILLISECONDS);
            part.nextCheckpointAt = now + AgentTimings.CHECKPOINT_INTERVAL_MILLISECONDS;
        }
        int checkpoint = part.checkpoint;
        part.updateStatus(status);
        switch (status.state()) {
            case RUNNING -> running(part, checkpoint, now);
            case SUCCEEDED -> {
                part.answerReady = true;
                part.nextCallAt = Math.min(part.nextCallAt, now);
            }
            case FAILED -> {
                part.failure = status.failure();
                finish(part, PartPhase.FAILED, now);
            }
            case STOPPED -> finish(part, PartPhase.STOPPED, now);
            default -> markLost(part, "task lease expired at the worker", now);
        }
    }

    private void running(Part part, int earlierCheckpoint, long now) {
        if (part.phase == PartPhase.STARTED) {
            parts.changePhase(part, PartPhase.RUNNING, now);
        } else if (part.checkpoint != earlierCheckpoint) {
            parts.report(part);
        }
    }

    private void succeed(Part part, WorkerReply.AnswerContent content, long now) {
        try {
            Answer answer = Answer.verified(content.content(), content.length(), content.checksum());
            if (part.phase != PartPhase.SUCCEEDED) {
                part.progressPercent = 100;
                finish(part, PartPhase.SUCCEEDED, now);
            }
            answers.fetched(part, answer, now);
        } catch (TeaselwoodException exception) {
            part.failure = exception.getMessage();
            answers.drop(part);
            finish(part, PartPhase.FAILED, now);
        }
    }

    private void finish(Part part, PartPhase phase, long now) {
        parts.changePhase(part, phase, now);
        if (part.forgotten) {
            forget(part, now);
        }
    }

    private void reportProgress(Part part, long now) {
        part.nextProgressReportAt = now + AgentTimings.PROGRESS_REPORT_INTERVAL_MILLISECONDS;
        if (part.progressPercent != part.reportedProgress) {
            parts.report(part);
        }
        if (isSignificantChange(part.acceleratorsUsed, part.reportedAccelerators)
                || isSignificantChange(part.memoryMebibytes, part.reportedMemory)) {
            part.reportedAccelerators = part.acceleratorsUsed;
            part.reportedMemory = part.memoryMebibytes;
            parts.sendUsage(new AgentMessage.PartUsage(
                    part.task.attempt(), part.task.part(), part.acceleratorsUsed, part.memoryMebibytes));
        }
    }

    private static boolean isSignificantChange(double value, double reported) {
        return Math.abs(value - reported) > USAGE_REPORT_THRESHOLD * Math.max(Math.abs(value), Math.abs(reported));
    }
}
