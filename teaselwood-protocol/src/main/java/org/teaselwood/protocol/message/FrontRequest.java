package org.teaselwood.protocol.message;

import org.teaselwood.model.JobIdentifier;
import org.teaselwood.model.JobSubmission;

/** What a front asks the core for a caller or operator, and a front's entry asks the placer. */
public sealed interface FrontRequest extends Message {
    /** Submit a job, or meet the one that the same request key submitted before. */
    record SubmitJob(Principal principal, JobSubmission submission) implements FrontRequest {}

    /** The present state of a job. */
    record QueryJob(Principal principal, JobIdentifier job) implements FrontRequest {}

    /**
     * Wait until a job's version exceeds the given one, or the timeout.
     *
     * @param version version that the caller has seen, -1 for none
     * @param untilFinal whether only a final state ends the wait
     * @param timeoutMilliseconds longest wait; the present state is the answer then
     */
    record WaitForJob(
            Principal principal, JobIdentifier job, long version, boolean untilFinal, long timeoutMilliseconds)
            implements FrontRequest {}

    /** The whole answer of a job that succeeded. */
    record FetchAnswer(Principal principal, JobIdentifier job) implements FrontRequest {}

    /** Cancel a job. */
    record CancelJob(Principal principal, JobIdentifier job) implements FrontRequest {}

    /** Why a job waits or where it runs. */
    record ExplainJob(Principal principal, JobIdentifier job) implements FrontRequest {}

    /** The state of the region. */
    record QueryRegion(Principal principal) implements FrontRequest {}

    /** The configuration in force. */
    record QueryConfiguration(Principal principal) implements FrontRequest {}

    /** Publish a change, or only check it. */
    record ChangeConfiguration(Principal principal, ConfigurationChange change, boolean dryRun)
            implements FrontRequest {}
}
