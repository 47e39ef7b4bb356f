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
    /** Usage reports above the declaration in a row. */
    int overuseReports;
    /** Whether the attempt was throttled for using more than it declared. */
    boolean throttled;
    /** Whether it was stopped for using more than it declared. */
    boolean stoppedForOveruse;
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

    boolean isStopping() {
        return reclaimedMilliseconds >= 0;
    }

    /** Accelerators that the attempt holds on a server, as a bit set. */
    long acceleratorsOn(String server) {
        long bits = 0;
        int length = job.shape().part().accelerators();
        for (PartPlacement placement : placements) {
            if (placement.server().equals(server)) {
                bits |= ServerState.range(placement.firstAccelerator(), length);
            }
        }
        return bits;
    }

    /** Number of parts on a server. */
    int partsOn(String server) {
        int count = 0;
        for (PartPlacement placement : placements) {
            count += placement.server().equals(server) ? 1 : 0;
        }
        return count;
    }
}
