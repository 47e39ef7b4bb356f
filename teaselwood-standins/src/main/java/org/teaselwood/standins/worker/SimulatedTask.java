package org.teaselwood.standins.worker;

import org.teaselwood.protocol.message.TaskSpecification;
import org.teaselwood.protocol.worker.TaskIdentifier;
import org.teaselwood.protocol.worker.WorkerTask;

/** A simulated task of the worker stand-in. Its progress depends only on the times passed to it. Not thread-safe. */
final class SimulatedTask {
    private static final String DEFAULT_CHECKPOINT_MILLISECONDS = "50";
    private static final int MAXIMUM_GROWTH = 2;

    final TaskIdentifier task;

    /** Null for a task that was stopped before it was started. */
    final TaskSpecification specification;

    final int firstAccelerator;
    private final BuiltInCommand command;
    private final double runMilliseconds;
    private double completedMilliseconds;
    private long lastAdvance;
    private long leaseExpiry;
    private long stopTime = Long.MAX_VALUE;
    private boolean checkpointAtStop;
    private boolean throttled;
    private int checkpoint;
    private int sampledPercent;
    private long nextSample;
    private WorkerTask.State state = WorkerTask.State.RUNNING;
    private String failure = "";

    /** Creates a stopped task for a stop that arrived before the run, so that a delayed run does not start it. */
    SimulatedTask(TaskIdentifier task) {
        this.task = task;
        this.specification = null;
        this.firstAccelerator = -1;
        this.command = BuiltInCommand.TRANSFORM;
        this.runMilliseconds = 0;
        this.state = WorkerTask.State.STOPPED;
    }

    /** Creates a running task; call {@link #start} next. */
    SimulatedTask(TaskIdentifier task, TaskSpecification specification, int firstAccelerator, BuiltInCommand command) {
        this.task = task;
        this.specification = specification;
        this.firstAccelerator = firstAccelerator;
        this.command = command;
        this.runMilliseconds =
                Double.parseDouble(specification.parameters().getOrDefault(BuiltInCommand.RUN_MILLISECONDS, "0"));
    }

    void start(long now, long leaseMilliseconds) {
        lastAdvance = now;
        leaseExpiry = now + leaseMilliseconds;
        nextSample = now;
        checkpoint = checkpointNumber(specification.resumeFrom());
        completedMilliseconds = runMilliseconds * checkpoint / 100;
    }

    boolean running() {
        return state == WorkerTask.State.RUNNING;
    }

    boolean succeeded() {
        return state == WorkerTask.State.SUCCEEDED;
    }

    void renew(long now, long leaseMilliseconds) {
        leaseExpiry = now + leaseMilliseconds;
    }

    void throttle() {
        throttled = true;
    }

    void fail(String reason) {
        state = WorkerTask.State.FAILED;
        failure = reason;
    }

    /**
     * Takes a checkpoint if the task has progressed since the last one; returns whether it did. The checkpoint number
     * is the progress in percent, so that any worker can resume from it.
     */
    boolean takeCheckpoint() {
        int percent = percent();
        if (specification.checkpointable() && percent > checkpoint) {
            checkpoint = percent;
            return true;
        }
        return false;
    }

    void stop(long now, long graceMilliseconds) {
        long checkpointMilliseconds = Long.parseLong(specification
                .parameters()
                .getOrDefault(BuiltInCommand.CHECKPOINT_MILLISECONDS, DEFAULT_CHECKPOINT_MILLISECONDS));
        boolean canCheckpoint = specification.checkpointable() && checkpointMilliseconds <= graceMilliseconds;
        checkpointAtStop |= canCheckpoint && stopTime == Long.MAX_VALUE;
        stopTime = Math.min(stopTime, canCheckpoint ? now + checkpointMilliseconds : now);
    }

    /** Advances the task to the given time; returns whether its state changed. */
    boolean advance(long now, WorkerFaults faults, long usageSampleIntervalMilliseconds) {
        if (!running()) {
            return false;
        }
        long until = Math.min(now, Math.min(leaseExpiry, stopTime));
        completedMilliseconds += Math.max(0, until - lastAdvance) / faults.slowdown();
        lastAdvance = Math.max(lastAdvance, until);
        if (now >= nextSample) {
            sampledPercent = percent();
            nextSample = now + usageSampleIntervalMilliseconds;
        }
        if (completedMilliseconds >= runMilliseconds) {
            complete();
        } else if (now >= stopTime && stopTime <= leaseExpiry) {
            if (checkpointAtStop) {
                takeCheckpoint();
            }
            state = WorkerTask.State.STOPPED;
        } else if (now >= leaseExpiry) {
            state = WorkerTask.State.LEASE_EXPIRED;
        }
        return !running();
    }

    WorkerTask status() {
        double factor = command == BuiltInCommand.GROW && !throttled ? 1 + MAXIMUM_GROWTH * sampledPercent / 100.0 : 1;
        boolean usesResources = running() && specification != null;
        return new WorkerTask(
                task,
                state,
                specification == null ? 0 : percent(),
                checkpoint,
                usesResources ? specification.resources().accelerators() * factor : 0,
                usesResources ? Math.round(specification.resources().memoryMebibytes() * factor) : 0,
                failure);
    }

    private void complete() {
        if (command == BuiltInCommand.FAIL) {
            fail("the command failed");
        } else {
            state = WorkerTask.State.SUCCEEDED;
        }
    }

    private int percent() {
        return runMilliseconds <= 0 ? 100 : (int) Math.min(100, 100 * completedMilliseconds / runMilliseconds);
    }

    /** Returns the number after the last slash of the checkpoint reference, or 0 if there is none. */
    private static int checkpointNumber(String resumeFrom) {
        String number = resumeFrom.substring(resumeFrom.lastIndexOf('/') + 1);
        return number.matches("[0-9]{1,3}") ? Math.min(100, Integer.parseInt(number)) : 0;
    }
}
