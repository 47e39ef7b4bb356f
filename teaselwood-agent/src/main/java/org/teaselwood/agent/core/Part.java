package org.teaselwood.agent.core;

import org.teaselwood.model.PartPhase;
import org.teaselwood.model.PartReport;
import org.teaselwood.protocol.message.AgentMessage.HeldPart;
import org.teaselwood.protocol.message.TaskSpecification;
import org.teaselwood.protocol.worker.TaskIdentifier;
import org.teaselwood.protocol.worker.WorkerTask;

/** One part of an attempt on this backend server. Not thread-safe; times are in milliseconds of the core's clock. */
final class Part {
    final TaskIdentifier task;
    final TaskSpecification specification;
    final int firstAccelerator;

    PartPhase phase = PartPhase.HELD;

    /** Expiry of the hold, or of the wait for Start after Commit. */
    long deadline;

    /** Time at which the part is stopped unless RenewGang arrives. */
    long gangDeadline;

    /** Time of the last change of phase. */
    long phaseChangedAt;

    /** Latest call token at the time the worker confirmed the task, 0 before; listings up to it may lack the task. */
    long confirmationToken;

    /** Time at which the worker stops the task unless its lease is renewed; its state is read again afterwards. */
    long leaseExpiresAt;

    /**
     * Number of Run calls. After more than one, a refusal of the last does not tell whether an earlier one took effect.
     */
    int runCallCount;

    /** Incarnation of the worker at the first Run call; retries are sent with the same one. */
    long workerIncarnation;

    /** Time at which the current call for this task is retried. */
    long nextCallAt;

    /** Shortest grace period of the Stop commands received, in milliseconds. */
    long stopGraceMilliseconds = Long.MAX_VALUE;

    /** Time by which the task must have stopped; its lease is not renewed afterwards. */
    long stopDeadline;

    /** Time of the next checkpoint. */
    long nextCheckpointAt;

    /** Whether the final record of the attempt is stored; the part is dropped once the task has stopped. */
    boolean forgotten;

    /** Whether the task has succeeded and its answer can be fetched. */
    boolean answerReady;

    int progressPercent;
    int checkpoint;
    double acceleratorsUsed;
    long memoryMebibytes;
    String failure = "";

    /** Progress in the last report; the fields below hold the last reported usage and the time of the next report. */
    int reportedProgress;

    double reportedAccelerators;
    long reportedMemory;
    long nextProgressReportAt;

    Part(TaskIdentifier task, TaskSpecification specification, int firstAccelerator) {
        this.task = task;
        this.specification = specification;
        this.firstAccelerator = firstAccelerator;
    }

    PartReport report() {
        return new PartReport(
                task.attempt(),
                task.part(),
                specification.parts(),
                phase,
                specification.resources(),
                firstAccelerator,
                progressPercent,
                checkpoint,
                failure);
    }

    HeldPart toHeldPart() {
        return new HeldPart(report(), specification);
    }

    boolean isConfirmed() {
        return confirmationToken > 0;
    }

    /** Returns whether the worker has or may have an unfinished task for the part. */
    boolean isLive() {
        return phase == PartPhase.STARTED || phase == PartPhase.RUNNING || phase == PartPhase.STOPPING;
    }

    /** Updates progress, checkpoint and usage from the status of the task. */
    void updateStatus(WorkerTask status) {
        progressPercent = status.progressPercent();
        checkpoint = Math.max(checkpoint, status.checkpoint());
        acceleratorsUsed = status.accelerators();
        memoryMebibytes = status.memoryMebibytes();
    }

    String job() {
        return task.attempt().job().value();
    }
}
