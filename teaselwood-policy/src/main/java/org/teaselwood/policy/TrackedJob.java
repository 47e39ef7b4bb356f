package org.teaselwood.policy;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.teaselwood.model.Shape;

/**
 * A job between its submission and its end. Mutable, confined to its scheduler's thread.
 */
final class TrackedJob {
    /** Size of work without accelerators: about the share of a server that its cores take. */
    private static final double SIZE_WITHOUT_ACCELERATORS = 0.1;

    final JobRequest request;
    /** Orders jobs by submission; rises by one for each job of a scheduler. */
    final long sequence;
    /** Servers on which an attempt failed; the job is not placed there again. */
    final Set<String> failedServers = new TreeSet<>();
    /** Number of the newest attempt, 0 for none. */
    int attemptNumber;
    /** Attempts that ran and failed. */
    int failures;
    /** Failures that no longer count because their server was quarantined. */
    int forgiven;

    boolean cancelled;
    /** The open attempt, null while the job waits. */
    TrackedAttempt attempt;
    /** The guarantee unit that the job occupies, null when it waits or runs on borrowed capacity. */
    GuaranteeUnit unit;
    /** Positions kept for the job until their victims have stopped, null for none. */
    Claim claim;
    /** The class in which the job waits, set on its first wait and when its failed servers change. */
    WaitingClass waitingClass;
    /** Outcome of the last search, null until it is needed; used by {@link FirstFitScheduler} alone. */
    DemandState demand;
    /** Since when the job waits, for the present wait. */
    long queuedMilliseconds;
    /** Run time that checkpoints of ended attempts have saved. */
    long savedMilliseconds;
    /** How often an attempt was reclaimed. */
    int reclaims;
    /** How often an attempt was stopped because it used more than it declared. */
    int overuseStops;
    /** Attempts that were lost with a server. */
    int losses;
    /** Since when no set of known servers could run the job, -1 while one could. */
    long impossibleSinceMilliseconds = -1;

    TrackedJob(JobRequest request, long sequence) {
        this.request = request;
        this.sequence = sequence;
    }

    Shape shape() {
        return request.template().shape();
    }

    /** Accelerators of the whole job. */
    int accelerators() {
        return shape().totalAccelerators();
    }

    /** Size for shares and costs; work without accelerators counts as a part of one. */
    double size() {
        return Math.max(SIZE_WITHOUT_ACCELERATORS, accelerators());
    }

    /** Whether the job may run on borrowed capacity, where it can be stopped at any moment. */
    boolean mayBorrow() {
        return request.repeatable() || request.template().checkpointable();
    }

    /** Positions that the job holds or claims. */
    List<PartPlacement> positions() {
        return attempt != null ? attempt.placements : claim.placements();
    }
}
