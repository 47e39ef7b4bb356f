package org.teaselwood.policy;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.teaselwood.model.Shape;

/** A job from its submission to its end. Mutable, confined to its scheduler's thread. */
final class TrackedJob {
    /** Size of a job without accelerators: approximately the share of a server that its cores take. */
    private static final double SIZE_WITHOUT_ACCELERATORS = 0.1;

    final JobRequest request;
    /** Sequence number in order of submission. */
    final long sequence;
    /**
     * Servers on which an attempt failed. They are used again only if the guarantee of the team has no other position.
     */
    final Set<String> failedServers = new TreeSet<>();
    /** Number of the latest attempt, 0 if there was none. */
    int attemptNumber;
    /** Number of attempts that ran and failed. */
    int failures;
    /** Number of failures that are not counted because their server was quarantined. */
    int excusedFailures;

    boolean cancelled;
    /** The open attempt, null while the job is waiting. */
    TrackedAttempt attempt;
    /** The guarantee unit that the job occupies, null if it is waiting or runs on borrowed capacity. */
    GuaranteeUnit unit;
    /** Positions claimed for the job, null if there are none. */
    Claim claim;
    /** The class in which the job last waited; null before its first wait. */
    WaitingClass waitingClass;
    /** Search outcome for the demand of the job, null until it is needed; used only by {@link FirstFitScheduler}. */
    DemandState demand;
    /** Time at which the present wait began. */
    long queuedMilliseconds;
    /** Run time saved by checkpoints of ended attempts. */
    long savedMilliseconds;
    /** Number of times that an attempt was preempted. */
    int preemptions;
    /** Number of times that an attempt was stopped for using more than it declared. */
    int overuseStops;
    /** Number of attempts that were lost with a server or worker. */
    int lostAttempts;
    /** Time since which no set of known servers could run the job, -1 if one can. */
    long impossibleSinceMilliseconds = -1;

    TrackedJob(JobRequest request, long sequence) {
        this.request = request;
        this.sequence = sequence;
    }

    Shape shape() {
        return request.template().shape();
    }

    /** Returns the accelerators of all parts. */
    int accelerators() {
        return shape().totalAccelerators();
    }

    /** Returns the size for shares and costs; a job without accelerators counts as a fraction of one. */
    double size() {
        return Math.max(SIZE_WITHOUT_ACCELERATORS, accelerators());
    }

    /** Returns whether the job may run on borrowed capacity, where it can be preempted at any time. */
    boolean mayBorrow() {
        return request.idempotent() || request.template().checkpointable();
    }

    /** Returns the positions that the job holds or claims. */
    List<PartPlacement> positions() {
        return attempt != null ? attempt.placements : claim.placements();
    }
}
