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
    private static final double USAGE_CHANGE = 0.1;

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
            boolean known = parts.find(identifier) != null || parts.isGhost(identifier);
            if (!known && !parts.fences().isFenced(identifier.attempt())) {
                Part part = new Part(identifier, task.specification(), task.firstAccelerator());
                part.phase = phaseOf(task.status().state());
                part.failure = task.status().failure();
                part.confirmedBy = pending.token();
                part.nextCheckpoint = now + AgentTimings.CHECKPOINT_MILLISECONDS;
                part.measure(task.status());
                part.changedAt = now;
                part.gangDeadline = now + AgentTimings.GANG_LEASE_MILLISECONDS;
                parts.add(part);
                effects.logged("adopted a task of the worker", part.job());
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
        parts.live().toList().forEach(part -> settleAdopted(part, pending, now));
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
    private void settleAdopted(Part part, WorkerCalls.Pending pending, long now) {
        if (part.phase == PartPhase.STOPPING && now >= part.stopDeadline) {
            loseUncertainly(part, "worker did not stop the task in time", now);
        } else if (part.confirmed()) {
            part.leaseEnd = pending.sentAt() + AgentTimings.LEASE_MILLISECONDS;
        } else if (now >= part.leaseEnd) {
            calls.call(new WorkerCall.Stop(part.task, 0), now);
            loseUncertainly(part, "worker did not confirm the task before its lease expired", now);
        }
    }

    /** Applies a listing of all tasks. */
    void listed(WorkerReply.Tasks tasks, WorkerCalls.Pending pending, long now) {
        Map<TaskIdentifier, WorkerTask> byTask = new TreeMap<>();
        tasks.tasks().forEach(status -> byTask.put(status.task(), status));
        List<TaskIdentifier> unwanted = byTask.keySet().stream()
                .filter(task -> parts.find(task) == null && !parts.isGhost(task))
                .toList();
        if (!unwanted.isEmpty()) {
            calls.call(new WorkerCall.Forget(unwanted), now);
        }
        settleGhosts(byTask, pending, now);
        for (Part part : parts.live().toList()) {
            WorkerTask status = byTask.get(part.task);
            if (status != null) {
                confirm(part, status, pending, now);
            } else if (part.confirmed() && pending.token() > part.confirmedBy) {
                lose(part, "worker lost the task", now);
            }
        }
    }

    /** Applies the reply to Run. */
    void ran(WorkerCall.Run run, WorkerReply reply, WorkerCalls.Pending pending, long now) {
        Part part = parts.find(run.task());
        if (part == null || !part.live()) {
            return;
        }
        if (reply instanceof WorkerReply.Ran ran) {
            confirm(part, ran.status(), pending, now);
        } else if (reply instanceof WorkerReply.Refused refused && !part.confirmed()) {
            refused(part, refused, now);
        }
    }

    /**
     * Handles a refused run. If Run was called more than once, the part is lost: the previous incarnation of a
     * restarted worker may have carried out an earlier call.
     */
    private void refused(Part part, WorkerReply.Refused refused, long now) {
        if (refused.reason() == WorkerReply.Reason.INVALID) {
            part.failure = refused.detail();
            end(part, PartPhase.FAILED, now);
        } else if (part.runCalls > 1) {
            lose(part, refused.detail(), now);
        } else {
            part.runCalls = 0;
        }
    }

    /** Extends the leases after a renewal that the worker confirmed. */
    void renewed(WorkerCall.Renew renewal, WorkerCalls.Pending pending, long now) {
        for (TaskIdentifier task : renewal.tasks()) {
            Part part = parts.find(task);
            if (part != null) {
                part.leaseEnd = Math.max(part.leaseEnd, pending.sentAt() + renewal.leaseMilliseconds());
            }
        }
    }

    /** Applies the reply to FetchAnswer. */
    void fetched(WorkerCall.FetchAnswer fetch, WorkerReply reply, long now) {
        Part part = parts.find(fetch.task());
        if (part == null || part.forgotten || !(part.live() || part.phase == PartPhase.SUCCEEDED)) {
            return;
        }
        switch (reply) {
            case WorkerReply.AnswerContent content -> succeed(part, content, now);
            case WorkerReply.Refused refused -> lose(part, "answer lost: " + refused.detail(), now);
            default -> part.nextCall = now + AgentTimings.WORKER_RETRY_MILLISECONDS;
        }
    }

    /** Fetches the next answer that is due, one at a time because answers are large. */
    void fetchNext(long now) {
        if (calls.isPending(WorkerCall.FetchAnswer.class::isInstance)) {
            return;
        }
        parts.all().stream()
                .filter(part -> !part.forgotten && now >= part.nextCall)
                .filter(part -> part.live() && part.answerReady || answers.needsFetch(part, now))
                .findFirst()
                .ifPresent(part -> calls.call(new WorkerCall.FetchAnswer(part.task), now));
    }

    /** Drops a part that holds no resources, and its task at the worker. */
    void forget(Part part, long now) {
        answers.drop(part);
        parts.drop(part);
        if (part.phase.mayHaveRun()) {
            calls.call(new WorkerCall.Forget(List.of(part.task)), now);
        }
    }

    /** Marks a part as lost whose task may have run and no longer runs. */
    void lose(Part part, String failure, long now) {
        part.failure = failure;
        answers.drop(part);
        end(part, PartPhase.LOST, now);
    }

    /** Marks a part as lost whose task may still run; keeps its resources until the worker reports that it does not. */
    void loseUncertainly(Part part, String failure, long now) {
        part.failure = failure;
        answers.drop(part);
        parts.loseUncertainly(part, now);
        if (part.forgotten) {
            forget(part, now);
        }
    }

    /** Frees the resources of lost parts whose tasks no longer run according to a listing, and stops the others. */
    private void settleGhosts(Map<TaskIdentifier, WorkerTask> byTask, WorkerCalls.Pending pending, long now) {
        for (Part ghost : parts.ghosts()) {
            WorkerTask status = byTask.get(ghost.task);
            boolean gone = status == null && ghost.confirmed() && pending.token() > ghost.confirmedBy;
            if (gone || status != null && status.state() != WorkerTask.State.RUNNING) {
                parts.ended(ghost);
            } else {
                calls.call(new WorkerCall.Stop(ghost.task, 0), now);
            }
        }
    }

    void tick(long now) {
        fetchNext(now);
        parts.live().filter(part -> now >= part.nextProgressReport).forEach(part -> reportProgress(part, now));
    }

    private void confirm(Part part, WorkerTask status, WorkerCalls.Pending pending, long now) {
        if (!part.confirmed()) {
            part.confirmedBy = calls.lastToken();
            part.leaseEnd = Math.max(part.leaseEnd, pending.sentAt() + AgentTimings.LEASE_MILLISECONDS);
            part.nextCheckpoint = now + AgentTimings.CHECKPOINT_MILLISECONDS;
        }
        int checkpoint = part.checkpoint;
        part.measure(status);
        switch (status.state()) {
            case RUNNING -> running(part, checkpoint, now);
            case SUCCEEDED -> {
                part.answerReady = true;
                part.nextCall = Math.min(part.nextCall, now);
            }
            case FAILED -> {
                part.failure = status.failure();
                end(part, PartPhase.FAILED, now);
            }
            case STOPPED -> end(part, PartPhase.STOPPED, now);
            default -> lose(part, "task lease expired at the worker", now);
        }
    }

    private void running(Part part, int earlierCheckpoint, long now) {
        if (part.phase == PartPhase.STARTED) {
            parts.change(part, PartPhase.RUNNING, now);
        } else if (part.checkpoint != earlierCheckpoint) {
            parts.report(part);
        }
    }

    private void succeed(Part part, WorkerReply.AnswerContent content, long now) {
        try {
            Answer answer = Answer.verified(content.content(), content.length(), content.checksum());
            if (part.phase != PartPhase.SUCCEEDED) {
                part.progressPercent = 100;
                end(part, PartPhase.SUCCEEDED, now);
            }
            answers.fetched(part, answer, now);
        } catch (TeaselwoodException exception) {
            part.failure = exception.getMessage();
            answers.drop(part);
            end(part, PartPhase.FAILED, now);
        }
    }

    private void end(Part part, PartPhase phase, long now) {
        parts.change(part, phase, now);
        if (part.forgotten) {
            forget(part, now);
        }
    }

    private void reportProgress(Part part, long now) {
        part.nextProgressReport = now + AgentTimings.PROGRESS_MILLISECONDS;
        if (part.progressPercent != part.reportedProgress) {
            parts.report(part);
        }
        if (changed(part.acceleratorsUsed, part.reportedAccelerators)
                || changed(part.memoryMebibytes, part.reportedMemory)) {
            part.reportedAccelerators = part.acceleratorsUsed;
            part.reportedMemory = part.memoryMebibytes;
            parts.usage(new AgentMessage.PartUsage(
                    part.task.attempt(), part.task.part(), part.acceleratorsUsed, part.memoryMebibytes));
        }
    }

    private static boolean changed(double value, double reported) {
        return Math.abs(value - reported) > USAGE_CHANGE * Math.max(Math.abs(value), Math.abs(reported));
    }
}
