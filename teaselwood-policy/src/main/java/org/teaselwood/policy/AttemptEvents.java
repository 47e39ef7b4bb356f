package org.teaselwood.policy;

import java.util.List;
import java.util.Optional;
import org.teaselwood.model.AttemptIdentifier;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.policy.PolicyDecision.EndJob;
import org.teaselwood.policy.PolicyDecision.Throttle;

/**
 * Applies events of attempts. Each event method returns whether a scheduling pass must follow. Confined to one thread.
 */
final class AttemptEvents {
    /** Factor over the declared usage up to which reported usage counts as measurement error. */
    private static final double USAGE_TOLERANCE_FACTOR = 1.1;

    /**
     * Consecutive reports above the declaration after which the attempt is throttled. One report is not enough because
     * usage is reported with a lag.
     */
    static final int REPORTS_BEFORE_THROTTLE = 2;

    /** Consecutive reports above the declaration after which a throttled attempt is stopped. */
    static final int REPORTS_BEFORE_STOP = 5;

    /** Number of stops for overuse after which the job ends. */
    static final int MAXIMUM_OVERUSE_STOPS = 2;

    /** Number of lost attempts after which the job ends, because it probably crashes its servers. */
    static final int MAXIMUM_LOST_ATTEMPTS = 8;

    /**
     * Maximum number of failures on quarantined servers that are not counted against a job. A job that keeps failing on
     * one quarantined server after another is itself the cause.
     */
    static final int MAXIMUM_EXCUSED_FAILURES = 2;

    private final PolicyState state;

    AttemptEvents(PolicyState state) {
        this.state = state;
    }

    /** Adopts an attempt that another placer started. The next pass restores the packing of the units. */
    boolean adopt(PolicyEvent.JobAdopted adopted) {
        TrackedJob known = state.jobs.get(adopted.request().job());
        TrackedJob job = known != null ? known : state.newJob(adopted.request());
        if (job.attempt != null) {
            return false;
        }
        if (job.claim != null) {
            state.dropClaim(job);
        }
        state.queue.remove(job);
        job.attemptNumber = Math.max(job.attemptNumber, adopted.attempt().number());
        TrackedAttempt attempt = new TrackedAttempt(
                job, adopted.attempt(), adopted.placements(), adopted.guaranteed(), adopted.startedMilliseconds());
        attempt.started = true;
        state.openAttempt(job, attempt);
        if (!new Adoption(state).enterUnit(job)) {
            state.becomeBorrowed(job);
        }
        state.restoreNeeded = true;
        return false;
    }

    boolean start(AttemptIdentifier identifier) {
        TrackedAttempt attempt = state.findOpenAttempt(identifier);
        if (attempt != null && !attempt.started) {
            attempt.started = true;
            attempt.startedMilliseconds = state.nowMilliseconds;
            attempt.checkpointedUntilMilliseconds = state.nowMilliseconds;
        }
        return false;
    }

    boolean checkpoint(AttemptIdentifier identifier) {
        TrackedAttempt attempt = state.findOpenAttempt(identifier);
        if (attempt != null) {
            attempt.checkpointedUntilMilliseconds = state.nowMilliseconds;
            attempt.checkpointedWhileStopping |= attempt.isStopping();
        }
        return false;
    }

    boolean end(PolicyEvent.AttemptEnded ended) {
        TrackedAttempt attempt = state.findOpenAttempt(ended.attempt());
        if (attempt == null) {
            return false;
        }
        TrackedJob job = attempt.job;
        state.closeAttempt(job);
        boolean finished =
                job.cancelled || ended.result() == AttemptResult.CANCELLED || ended.result() == AttemptResult.SUCCEEDED;
        if (ended.result() == AttemptResult.SUCCEEDED) {
            handleSuccess(job, attempt);
        }
        if (finished) {
            state.removeJob(job);
            return true;
        }
        Optional<EndJob> end = handleUnsuccessfulEnd(job, attempt, ended);
        if (end.isPresent()) {
            state.end(job, end.get().kind(), end.get().arguments());
        } else {
            state.queue.add(job, state.nowMilliseconds);
            state.teamsToTry.add(job.request.team());
        }
        return true;
    }

    private void handleSuccess(TrackedJob job, TrackedAttempt attempt) {
        long ran = job.savedMilliseconds + state.nowMilliseconds - attempt.startedMilliseconds;
        state.runTimes.record(job.request.team(), job.request.template(), ran);
        state.serversOf(attempt.placements).forEach(server -> state.health.recordSuccess(server.name()));
    }

    /**
     * Updates the job and the servers after an attempt that did not succeed, and returns the end of the job if it must
     * not be retried.
     */
    private Optional<EndJob> handleUnsuccessfulEnd(
            TrackedJob job, TrackedAttempt attempt, PolicyEvent.AttemptEnded ended) {
        switch (ended.result()) {
            case REFUSED -> state.backOff(ended.servers());
            case FAILED -> handleFailure(job, ended.servers());
            case LOST, STOPPED -> addSavedTime(job, attempt);
            default -> throw new IllegalStateException("the job is over");
        }
        if (ended.result() == AttemptResult.LOST) {
            job.lostAttempts++;
        }
        if (attempt.stoppedForOveruse && job.overuseStops >= MAXIMUM_OVERUSE_STOPS) {
            return Optional.of(new EndJob(
                    job.request.job(), ErrorKind.TASK_FAILED, List.of("resource usage exceeded the declaration")));
        }
        if (job.lostAttempts >= MAXIMUM_LOST_ATTEMPTS) {
            return Optional.of(new EndJob(
                    job.request.job(),
                    ErrorKind.ATTEMPTS_EXHAUSTED,
                    List.of(Integer.toString(job.lostAttempts), "the backend server was lost")));
        }
        Optional<EndJob> end = RetryRule.endAfter(job, attempt, ended.result());
        boolean retry = end.isEmpty() && ended.result() == AttemptResult.FAILED;
        if (retry && !state.retries.take(job.request.team(), state.nowMilliseconds)) {
            return Optional.of(new EndJob(
                    job.request.job(),
                    ErrorKind.RETRY_BUDGET_EXHAUSTED,
                    List.of(job.request.team(), "the work failed")));
        }
        return end;
    }

    private void addSavedTime(TrackedJob job, TrackedAttempt attempt) {
        if (job.request.template().checkpointable()) {
            job.savedMilliseconds += Math.max(0, attempt.checkpointedUntilMilliseconds - attempt.startedMilliseconds);
        }
    }

    private void handleFailure(TrackedJob job, List<String> servers) {
        job.failures++;
        job.failedServers.addAll(servers);
        if (job.failedServers.size() >= RetryRule.DISTINCT_FAILED_SERVERS) {
            state.health.discardFailures(job.request.job());
        }
        for (String server : servers) {
            if (state.health.recordFailure(server, job.request.job(), state.nowMilliseconds, state.decisions)) {
                state.restoreNeeded = true;
                excuseFailures(server);
            }
        }
    }

    /** Discounts earlier failures on a server that has been quarantined, up to a limit for each job. */
    private void excuseFailures(String server) {
        for (TrackedJob job : state.jobs.values()) {
            if (job.excusedFailures < MAXIMUM_EXCUSED_FAILURES && job.failedServers.remove(server)) {
                job.excusedFailures++;
                job.failures = Math.max(0, job.failures - 1);
            }
        }
    }

    /** Throttles an attempt that repeatedly uses more than it declared, and stops it if the overuse continues. */
    boolean reportUsage(PolicyEvent.UsageReported reported) {
        TrackedAttempt attempt = state.findOpenAttempt(reported.attempt());
        if (attempt == null || attempt.isStopping()) {
            return false;
        }
        TrackedJob job = attempt.job;
        int declaredMemory = job.shape().part().memoryMebibytes();
        boolean overuse = reported.accelerators() > job.accelerators() * USAGE_TOLERANCE_FACTOR
                || declaredMemory > 0 && reported.memoryMebibytes() > declaredMemory * USAGE_TOLERANCE_FACTOR;
        attempt.overuseReports = overuse ? attempt.overuseReports + 1 : 0;
        if (attempt.overuseReports >= REPORTS_BEFORE_THROTTLE && !attempt.throttled) {
            attempt.throttled = true;
            state.decisions.add(new Throttle(attempt.identifier));
        }
        if (attempt.overuseReports >= REPORTS_BEFORE_STOP) {
            attempt.stoppedForOveruse = true;
            job.overuseStops++;
            state.preempt(attempt, "resource usage exceeds the declaration");
        }
        return false;
    }
}
