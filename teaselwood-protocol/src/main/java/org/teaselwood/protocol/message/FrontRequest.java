package org.teaselwood.protocol.message;

import org.teaselwood.model.JobIdentifier;
import org.teaselwood.model.JobSubmission;

/** Requests of a front to the core on behalf of a caller or operator, also forwarded by an entry to the placer. */
public sealed interface FrontRequest extends Message {
    /** Request to submit a job; returns the existing job if the request key was used before. */
    record SubmitJob(Principal principal, JobSubmission submission) implements FrontRequest {}

    /** Request for the current state of a job. */
    record QueryJob(Principal principal, JobIdentifier job) implements FrontRequest {}

    /**
     * Request to wait until the version of a job exceeds the given one, or until the timeout.
     *
     * @param version last version known to the caller, -1 for none
     * @param untilFinal whether to wait for a final state
     * @param timeoutMilliseconds maximum wait, after which the reply is the current state
     */
    record WaitForJob(
            Principal principal, JobIdentifier job, long version, boolean untilFinal, long timeoutMilliseconds)
            implements FrontRequest {}

    /** Request for the complete answer of a job that succeeded. */
    record FetchAnswer(Principal principal, JobIdentifier job) implements FrontRequest {}

    /** Request to cancel a job. */
    record CancelJob(Principal principal, JobIdentifier job) implements FrontRequest {}

    /** Request to explain why a job waits or where it runs. */
    record ExplainJob(Principal principal, JobIdentifier job) implements FrontRequest {}

    /** Request for the current state of the region. */
    record QueryRegion(Principal principal) implements FrontRequest {}

    /** Request for the configuration in force. */
    record QueryConfiguration(Principal principal) implements FrontRequest {}

    /** Request to publish a configuration change, or only to validate it. */
    record ChangeConfiguration(Principal principal, ConfigurationChange change, boolean dryRun)
            implements FrontRequest {}
}
