package org.teaselwood.protocol.worker;

/**
 * State of one task, as reported by the worker. Immutable.
 *
 * @param task the task
 * @param state current state
 * @param progressPercent progress, 0 to 100
 * @param checkpoint number of the latest checkpoint, 0 for none
 * @param accelerators number of accelerators in use, as of the worker's last measurement
 * @param memoryMebibytes memory in use in MiB, as of the worker's last measurement
 * @param failure failure message, empty for none
 */
public record WorkerTask(
        TaskIdentifier task,
        State state,
        int progressPercent,
        int checkpoint,
        double accelerators,
        long memoryMebibytes,
        String failure) {
    /** State of a task, as tracked by the worker. */
    public enum State {
        RUNNING,
        /** Finished; its answer can be fetched until the task is forgotten. */
        SUCCEEDED,
        FAILED,
        /** Stopped on request, or fenced by a stop before it ran. */
        STOPPED,
        /** Stopped by the worker because its lease was not renewed. */
        LEASE_EXPIRED
    }
}
