package org.teaselwood.workload.placer;

import java.util.List;

/**
 * Decides which servers in quarantine a step may use. Confined to one step in one pass.
 *
 * <p>Quarantine is a preference: a step waits shortly for a server without recent failures, and at once uses one with
 * failures if no other could hold it. Answers loads with a few eligible servers or with many jobs that can never be
 * done; if quarantine excluded servers, sound tasks would wait for its end while all servers are idle.
 */
final class Quarantine {
    /** Longest wait for a busy server without recent failures. */
    private static final long MAXIMUM_WAIT_MILLISECONDS = 1_500;

    /** Additional wait before a task returns to a server in quarantine on which it has failed. */
    private static final long ADDITIONAL_WAIT_AFTER_FAILURE_MILLISECONDS = 1_000;

    private final StepState step;
    private final long now;
    private final boolean othersCouldHoldStep;

    /**
     * Creates the decision for a step.
     *
     * @param eligible servers that may run the step, whether they have free resources or not
     */
    Quarantine(List<ServerState> eligible, StepState step, long now) {
        this.step = step;
        this.now = now;
        List<ServerState> others =
                eligible.stream().filter(server -> !contains(server, now)).toList();
        this.othersCouldHoldStep = step.gang()
                ? ServerChoice.fitsWhenEmpty(others, step)
                : others.stream().anyMatch(server -> server.capacity().covers(step.specification.reserved()));
    }

    /** Returns whether the server is in quarantine. */
    static boolean contains(ServerState server, long now) {
        return server.quarantinedUntil > now;
    }

    /** Returns whether the task may be placed on the server now. */
    boolean admits(ServerState server, TaskState task) {
        if (!contains(server, now)
                || !othersCouldHoldStep
                || step.reservation.resources().containsKey(server.id)) {
            return true;
        }
        long waited = now - Math.max(step.readySince, step.lastStartAt);
        return waited
                >= MAXIMUM_WAIT_MILLISECONDS
                        + (task.hasFailedOn(server.id) ? ADDITIONAL_WAIT_AFTER_FAILURE_MILLISECONDS : 0);
    }
}
