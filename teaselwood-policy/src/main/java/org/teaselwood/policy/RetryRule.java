package org.teaselwood.policy;

import java.util.List;
import java.util.Optional;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.policy.PolicyDecision.EndJob;

/** Decides whether a job is retried after an attempt that did not succeed. Stateless. */
final class RetryRule {
    /** Number of distinct failed servers after which a job ends. Two servers may both be faulty, three rarely are. */
    static final int DISTINCT_FAILED_SERVERS = 3;

    private RetryRule() {}

    /** Returns the end of the job, or empty if the job is queued again. The failed servers must already be recorded. */
    static Optional<EndJob> endAfter(TrackedJob job, TrackedAttempt attempt, AttemptResult result) {
        return switch (result) {
            case SUCCEEDED, CANCELLED, REFUSED -> Optional.empty();
            case FAILED -> afterFailure(job);
            case LOST -> job.request.idempotent() ? Optional.empty() : mayHaveRun(job);
            case STOPPED ->
                job.request.idempotent() || !attempt.started || attempt.checkpointedWhileStopping
                        ? Optional.empty()
                        : mayHaveRun(job);
        };
    }

    private static Optional<EndJob> afterFailure(TrackedJob job) {
        if (job.failedServers.size() >= DISTINCT_FAILED_SERVERS) {
            return Optional.of(new EndJob(
                    job.request.job(),
                    ErrorKind.ATTEMPTS_EXHAUSTED,
                    List.of(Integer.toString(job.failedServers.size()), "the work failed")));
        }
        int attempts = Math.max(1, job.request.template().maximumAttempts());
        if (!job.request.idempotent() || job.failures >= attempts) {
            return Optional.of(
                    new EndJob(job.request.job(), ErrorKind.TASK_FAILED, List.of("attempt " + job.attemptNumber)));
        }
        return Optional.empty();
    }

    private static Optional<EndJob> mayHaveRun(TrackedJob job) {
        return Optional.of(new EndJob(job.request.job(), ErrorKind.MAY_HAVE_RUN, List.of()));
    }
}
