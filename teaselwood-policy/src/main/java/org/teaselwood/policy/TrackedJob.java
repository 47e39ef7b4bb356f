package org.teaselwood.policy;

import java.util.Set;
import java.util.TreeSet;
import org.teaselwood.model.Shape;

/**
 * A job between its submission and its end. Mutable, confined to its scheduler's thread.
 */
final class TrackedJob {
    final JobRequest request;
    /** Orders jobs by submission; rises by one for each job of a scheduler. */
    final long sequence;
    /** Servers on which an attempt failed; the job is not placed there again. */
    final Set<String> failedServers = new TreeSet<>();
    /** Number of the newest attempt, 0 for none. */
    int attemptNumber;
    /** Attempts that ran and failed. */
    int failures;

    boolean cancelled;
    /** The open attempt, null while the job waits. */
    TrackedAttempt attempt;
    /** Since when no set of known servers could run the job, -1 while one could. */
    long impossibleSinceMilliseconds = -1;

    TrackedJob(JobRequest request, long sequence) {
        this.request = request;
        this.sequence = sequence;
    }

    Shape shape() {
        return request.template().shape();
    }

    boolean waits() {
        return attempt == null && !cancelled;
    }
}
