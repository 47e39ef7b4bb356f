package org.teaselwood.policy;

import java.util.List;
import org.teaselwood.model.AttemptIdentifier;

/** An attempt that holds resources. Mutable, confined to its scheduler's thread. */
final class TrackedAttempt {
    final TrackedJob job;
    final AttemptIdentifier identifier;
    final List<PartPlacement> placements;
    boolean guaranteed;
    /** Time of the placement, or of the start once it is known. */
    long startedMilliseconds;

    boolean started;
    /** Time up to which the work is safe in a checkpoint; the start before the first checkpoint. */
    long safeUntilMilliseconds;
    /** Time of the reclaim decision, -1 while none was made. */
    long reclaimedMilliseconds = -1;
    /** Whether a checkpoint was taken after the reclaim decision. */
    boolean checkpointedForStop;

    TrackedAttempt(
            TrackedJob job,
            AttemptIdentifier identifier,
            List<PartPlacement> placements,
            boolean guaranteed,
            long startedMilliseconds) {
        this.job = job;
        this.identifier = identifier;
        this.placements = List.copyOf(placements);
        this.guaranteed = guaranteed;
        this.startedMilliseconds = startedMilliseconds;
        this.safeUntilMilliseconds = startedMilliseconds;
    }
}
