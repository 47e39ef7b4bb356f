package org.teaselwood.workload.entry;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.TeaselwoodException;
import org.teaselwood.protocol.MonotonicClock;
import org.teaselwood.store.KeyValue;
import org.teaselwood.store.KeyValueCondition;
import org.teaselwood.store.KeyValueOperation;
import org.teaselwood.store.KeyValueTransaction;
import org.teaselwood.workload.model.JobSpecification;
import org.teaselwood.workload.record.JobPhase;
import org.teaselwood.workload.record.JobRecord;
import org.teaselwood.workload.record.WorkloadJson;
import org.teaselwood.workload.record.WorkloadKeys;

/**
 * Operations that callers can request from any entry: submission, state, cancellation, pending jobs. Thread-safe.
 *
 * <p>All state is read from and written to the key-value service, so that every entry gives the same answer whether or
 * not it can reach the placer. A job is accepted by a single write on condition that its key does not exist. A write
 * with an unknown outcome is retried; the condition makes the retry idempotent.
 */
public final class JobService {
    private static final Logger LOGGER = LoggerFactory.getLogger(JobService.class);
    private static final Duration RETRY_DELAY = Duration.ofMillis(50);

    /** Age, three publishing intervals, from which the published counts of pending jobs are considered stale. */
    private static final long MAXIMUM_PENDING_AGE_MILLISECONDS = 3_000;

    /**
     * Time for which a request is retried during an outage of the store: short enough for the caller to try another
     * entry in time when only this one is partitioned from the store, long enough for the retries of a caller to span a
     * typical outage of a few seconds.
     */
    private static final long OUTAGE_RETRY_MILLISECONDS = 800;

    /** Length of an outage from which submissions are refused without an attempt. */
    private static final long LONG_OUTAGE_MILLISECONDS = 15_000;

    /** Size up to which the store takes a value, in bytes. */
    private static final int MAXIMUM_JOB_BYTES = 1_048_576;

    /** Maximum retry delay for callers; it spreads their four retries over an outage of ten seconds. */
    private static final int MAXIMUM_RETRY_DELAY_SECONDS = 3;

    private final Vertx vertx;
    private final MonotonicClock clock;
    private final MonitoredKeyValueService store;
    private volatile PendingCountsVersion pendingCountsVersion = new PendingCountsVersion(0, 0);

    private record PendingCountsVersion(long revision, long firstReadAt) {}

    /** Outcome of a submission. */
    public enum Submission {
        /** The job is stored. */
        ACCEPTED,
        /** The job is not stored, and this request cannot take effect later. */
        NOT_ACCEPTED,
        /** The job does not fit into a value of the store, so that it can never be stored. */
        TOO_LARGE,
        /** The identifier belongs to a job of another team. */
        IDENTIFIER_IN_USE,
        /** The outcome is unknown: the job may be stored. */
        UNKNOWN
    }

    /** Creates the operations on the given store. */
    public JobService(Vertx vertx, MonotonicClock clock, MonitoredKeyValueService store) {
        this.vertx = vertx;
        this.clock = clock;
        this.store = store;
    }

    /** Returns the delay after which a refused caller should retry, in seconds. */
    public long retryAfterSeconds() {
        // The longer an outage has lasted, the longer it is likely to continue.
        return Math.clamp((store.outageMilliseconds() + 999) / 1_000, 1, MAXIMUM_RETRY_DELAY_SECONDS);
    }

    /**
     * Stores a job, with retries until the time limit in milliseconds. During an outage of the store the retries end
     * earlier, and after a long outage the submission is refused without an attempt, as is a job that is too large.
     */
    public Uni<Submission> submit(JobSpecification job, long limitMilliseconds) {
        byte[] encoded = WorkloadJson.encode(job);
        if (encoded.length > MAXIMUM_JOB_BYTES) {
            return Uni.createFrom().item(Submission.TOO_LARGE);
        }
        if (store.outageMilliseconds() > LONG_OUTAGE_MILLISECONDS) {
            return Uni.createFrom().item(Submission.NOT_ACCEPTED);
        }
        KeyValueTransaction creation = new KeyValueTransaction(
                List.of(new KeyValueCondition(WorkloadKeys.accepted(job.id()), 0)),
                List.of(new KeyValueOperation.Put(WorkloadKeys.accepted(job.id()), encoded, 0)));
        return trySubmit(creation, job, Deadlines.of(clock.nowMilliseconds(), limitMilliseconds), false);
    }

    /** Times until which a request is retried, in milliseconds. Immutable. */
    private record Deadlines(long deadline, long outageDeadline) {
        static Deadlines of(long now, long limit) {
            return new Deadlines(now + limit, now + Math.min(limit, OUTAGE_RETRY_MILLISECONDS));
        }
    }

    private boolean isExpired(Deadlines deadlines) {
        long next = clock.nowMilliseconds() + RETRY_DELAY.toMillis();
        return next >= deadlines.deadline() || store.outageMilliseconds() > 0 && next >= deadlines.outageDeadline();
    }

    private Uni<Submission> trySubmit(
            KeyValueTransaction creation, JobSpecification job, Deadlines deadlines, boolean outcomeUnknown) {
        return store.transact(creation)
                .chain(result ->
                        result.applied() ? Uni.createFrom().item(Submission.ACCEPTED) : outcomeForExistingJob(job))
                .onFailure()
                .recoverWithUni(failure -> {
                    boolean nowOutcomeUnknown = outcomeUnknown || !isRefusal(failure);
                    LOGGER.debug("attempt to store job {} failed: {}", job.id(), failure.getMessage());
                    if (isExpired(deadlines)) {
                        return Uni.createFrom().item(nowOutcomeUnknown ? Submission.UNKNOWN : Submission.NOT_ACCEPTED);
                    }
                    return awaitRetryDelay().chain(() -> trySubmit(creation, job, deadlines, nowOutcomeUnknown));
                });
    }

    /**
     * Returns the outcome if the identifier already exists: a repeated submission, or an identifier in use. The outcome
     * is unknown if the stored job cannot be read, even if the store refuses the read.
     */
    private Uni<Submission> outcomeForExistingJob(JobSpecification job) {
        return store.get(WorkloadKeys.accepted(job.id()))
                .map(item -> teamOf(job.id(), item.orElseThrow()).equals(job.team())
                        ? Submission.ACCEPTED
                        : Submission.IDENTIFIER_IN_USE)
                .onFailure()
                .transform(failure -> TeaselwoodException.causedBy(
                        failure, ErrorKind.STORE_UNAVAILABLE, "stored job not read: " + failure.getMessage()));
    }

    private static String teamOf(String job, KeyValue accepted) {
        return WorkloadJson.decodeJob(job, accepted.value()).team();
    }

    /** Returns whether the store reported that the write had no effect. */
    private static boolean isRefusal(Throwable failure) {
        return failure instanceof TeaselwoodException exception && exception.kind() == ErrorKind.STORE_REFUSED;
    }

    /** Returns the state of a job of the team, empty if there is no such job. */
    public Uni<Optional<JobPhase>> phase(String job, String team, long limitMilliseconds) {
        return withRetries(
                () -> store.get(WorkloadKeys.progress(job))
                        .chain(progress -> progress.isPresent()
                                ? Uni.createFrom().item(phaseOf(progress.get(), team))
                                : accepted(job, team).map(accepted -> accepted.map(item -> JobPhase.QUEUED))),
                limitMilliseconds);
    }

    private static Optional<JobPhase> phaseOf(KeyValue progress, String team) {
        JobRecord record = WorkloadJson.decodeRecord(progress.value());
        return record.team().equals(team) ? Optional.of(record.phase()) : Optional.empty();
    }

    /** Returns the accepted job of the team, empty if there is no such job. */
    private Uni<Optional<KeyValue>> accepted(String job, String team) {
        return store.get(WorkloadKeys.accepted(job))
                .map(accepted -> accepted.filter(item -> teamOf(job, item).equals(team)));
    }

    /** Cancels a job of the team; returns false if there is no such job. */
    public Uni<Boolean> cancel(String job, String team, long limitMilliseconds) {
        return withRetries(
                () -> accepted(job, team)
                        .chain(accepted -> accepted.isEmpty()
                                ? Uni.createFrom().item(false)
                                : storeCancellation(job, accepted.get().revision())),
                limitMilliseconds);
    }

    /** Stores a cancellation, on condition that the job is not removed concurrently at the end of its retention. */
    private Uni<Boolean> storeCancellation(String job, long acceptedRevision) {
        return store.transact(new KeyValueTransaction(
                        List.of(new KeyValueCondition(WorkloadKeys.accepted(job), acceptedRevision)),
                        List.of(new KeyValueOperation.Put(WorkloadKeys.cancelled(job), new byte[] {1}, 0))))
                .map(result -> result.applied());
    }

    /** Returns the number of jobs of a queue that have not started; fails if no placer has published it recently. */
    public Uni<Integer> pending(String queue, long limitMilliseconds) {
        return withRetries(
                () -> store.get(WorkloadKeys.PENDING).map(item -> {
                    long revision = item.map(found -> found.revision()).orElse(0L);
                    long now = clock.nowMilliseconds();
                    if (pendingCountsVersion.revision() != revision) {
                        pendingCountsVersion = new PendingCountsVersion(revision, now);
                    }
                    if (revision == 0 || now - pendingCountsVersion.firstReadAt() > MAXIMUM_PENDING_AGE_MILLISECONDS) {
                        throw TeaselwoodException.of(ErrorKind.NO_PLACER);
                    }
                    Map<String, Integer> counts =
                            WorkloadJson.decodePending(item.orElseThrow().value());
                    return counts.getOrDefault(queue, 0);
                }),
                limitMilliseconds);
    }

    private interface Attempt<T> {
        Uni<T> get();
    }

    private <T> Uni<T> withRetries(Attempt<T> attempt, long limitMilliseconds) {
        long outage = store.outageMilliseconds();
        if (outage > 0) {
            return Uni.createFrom()
                    .failure(TeaselwoodException.of(ErrorKind.STORE_REFUSED, "no response for " + outage + " ms"));
        }
        return withRetriesUntil(attempt, clock.nowMilliseconds() + limitMilliseconds, Optional.empty());
    }

    /** Fails with the first failure whose outcome is unknown, even if a later attempt was refused. */
    private <T> Uni<T> withRetriesUntil(Attempt<T> attempt, long deadline, Optional<Throwable> unknownOutcome) {
        return attempt.get().onFailure().recoverWithUni(failure -> {
            Optional<Throwable> nowUnknownOutcome =
                    unknownOutcome.or(() -> isRefusal(failure) ? Optional.empty() : Optional.of(failure));
            if (clock.nowMilliseconds() + RETRY_DELAY.toMillis() >= deadline || store.outageMilliseconds() > 0) {
                return Uni.createFrom().failure(nowUnknownOutcome.orElse(failure));
            }
            return awaitRetryDelay().chain(() -> withRetriesUntil(attempt, deadline, nowUnknownOutcome));
        });
    }

    private Uni<Void> awaitRetryDelay() {
        return Uni.createFrom()
                .emitter(emitter -> vertx.setTimer(RETRY_DELAY.toMillis(), timer -> emitter.complete(null)));
    }
}
