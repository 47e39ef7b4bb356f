package org.teaselwood.policy;

import java.util.List;
import org.teaselwood.model.AttemptIdentifier;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.JobIdentifier;

/** Decision of the policy. Decisions are immutable and must be carried out in the order of their list. */
public sealed interface PolicyDecision {
    /**
     * Starts an attempt.
     *
     * @param guaranteed whether it runs inside the guarantee of its team; otherwise it is borrowed and can be preempted
     */
    record Place(AttemptIdentifier attempt, List<PartPlacement> placements, boolean guaranteed)
            implements PolicyDecision {}

    /**
     * Preempts an attempt: takes a checkpoint if it can be checkpointed, then stops it. Its job is queued again after
     * the attempt has ended.
     *
     * @param graceMilliseconds time allowed for the checkpoint
     * @param reason text for logs and callers
     */
    record Preempt(AttemptIdentifier attempt, long graceMilliseconds, String reason) implements PolicyDecision {}

    /** Throttles an attempt that uses more than it declared. */
    record Throttle(AttemptIdentifier attempt) implements PolicyDecision {}

    /** Ends a waiting job, which will not run again. */
    record EndJob(JobIdentifier job, ErrorKind kind, List<String> arguments) implements PolicyDecision {}

    /** Excludes a backend server from work until a probe succeeds. */
    record Quarantine(String server) implements PolicyDecision {}

    /** Probes a quarantined backend server. */
    record Probe(String server) implements PolicyDecision {}
}
