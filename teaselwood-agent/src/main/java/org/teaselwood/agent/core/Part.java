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

    /** End of the hold, or of the wait for Start. */
    long deadline;

    /** When the part stops without RenewGang. */
    long gangDeadline;

    /** When the phase last changed. */
    long changedAt;

    /** Token of the latest call when the worker confirmed the task; 0 before. Older listings may lack the task. */
    long confirmedBy;

    /** When the worker stops the task unless the lease is renewed; afterwards its state must be read again. */
    long leaseEnd;

    /** Calls of Run. With more than one, a refusal of the last says nothing about the others. */
    int runCalls;

    /** Incarnation of the worker that the first of them was meant for; repeats are meant for no other. */
    long workerIncarnation;

    /** When the present call for this task is repeated. */
    long nextCall;

    /** Shortest grace of a stop. */
    long stopGrace = Long.MAX_VALUE;

    /** When the task should have stopped; its lease is not renewed afterwards. */
    long stopDeadline;

    /** When the next checkpoint is asked for. */
    long nextCheckpoint;

    /** Whether the final record of the attempt is stored, so that the part is dropped when the task has stopped. */
    boolean forgotten;

    /** Whether the worker has finished the task, so that its answer can be fetched. */
    boolean answerReady;

    int progressPercent;
    int checkpoint;
    double acceleratorsUsed;
    long memoryMebibytes;
    String failure = "";

    /** What was last told of progress and usage, and when. */
    int reportedProgress;

    double reportedAccelerators;
    long reportedMemory;
    long nextProgressReport;

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

    HeldPart held() {
        return new HeldPart(report(), specification);
    }

    boolean confirmed() {
        return confirmedBy > 0;
    }

    /** Whether the worker has or may have a task for the part that has not ended. */
    boolean live() {
        return phase == PartPhase.STARTED || phase == PartPhase.RUNNING || phase == PartPhase.STOPPING;
    }

    /** Takes over progress, checkpoint and usage. */
    void measure(WorkerTask status) {
        progressPercent = status.progressPercent();
        checkpoint = Math.max(checkpoint, status.checkpoint());
        acceleratorsUsed = status.accelerators();
        memoryMebibytes = status.memoryMebibytes();
    }

    String job() {
        return task.attempt().job().value();
    }
}
