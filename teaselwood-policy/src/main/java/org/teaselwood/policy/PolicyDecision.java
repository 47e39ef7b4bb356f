package org.teaselwood.policy;

import java.util.List;
import org.teaselwood.model.AttemptIdentifier;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.JobIdentifier;

/** What the policy decides. Every decision is immutable; the order of a list of decisions is the order to act in. */
public sealed interface PolicyDecision {
    /**
     * Start an attempt.
     *
     * @param guaranteed whether it runs inside its team's guarantee; otherwise it is borrowed and can be reclaimed
     */
    record Place(AttemptIdentifier attempt, List<PartPlacement> placements, boolean guaranteed)
            implements PolicyDecision {}

    /**
     * Checkpoint an attempt if it can, then stop it; it goes back to its queue when it has ended.
     *
     * @param graceMilliseconds time for the checkpoint
     * @param reason for logs and callers
     */
    record Reclaim(AttemptIdentifier attempt, long graceMilliseconds, String reason) implements PolicyDecision {}

    /** Throttle an attempt that uses more than it declared. */
    record Throttle(AttemptIdentifier attempt) implements PolicyDecision {}

    /** End a job that waits: it never runs (again). */
    record EndJob(JobIdentifier job, ErrorKind kind, List<String> arguments) implements PolicyDecision {}

    /** A backend server takes no work until a probe succeeds. */
    record Quarantine(String server) implements PolicyDecision {}

    /** Probe a quarantined backend server. */
    record Probe(String server) implements PolicyDecision {}
}
