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
public final class JobDesk {
    private static final Logger LOGGER = LoggerFactory.getLogger(JobDesk.class);
    private static final Duration RETRY_PAUSE = Duration.ofMillis(50);

    /** Age, three publishing intervals, from which the published counts of pending jobs are considered stale. */
    private static final long PENDING_AGE_MILLISECONDS = 3_000;

    /**
     * Time for which a request is retried during an outage of the store: short enough for the caller to try another
     * entry in time when only this one is partitioned from the store, long enough for the retries of a caller to span a
     * typical outage of a few seconds.
     */
    private static final long OUTAGE_WAIT_MILLISECONDS = 800;

    /** Length of an outage from which submissions are refused without an attempt. */
    private static final long LONG_OUTAGE_MILLISECONDS = 15_000;

    /** Maximum retry delay for callers; it spreads their four retries over an outage of ten seconds. */
    private static final int LONGEST_RETRY_SECONDS = 3;

    private final Vertx vertx;
    private final MonotonicClock clock;
    private final ObservedKeyValueService store;
    private volatile SeenCounts seenCounts = new SeenCounts(0, 0);

    private record SeenCounts(long revision, long firstSeenAt) {}

    /** Outcome of a submission. */
    public enum Submission {
        /** The job is stored. */
        ACCEPTED,
        /** The job is not stored, and this request cannot take effect later. */
        NOT_ACCEPTED,
        /** The identifier belongs to a job of another team. */
        IN_USE,
        /** The outcome is unknown: the job may be stored. */
        UNKNOWN
    }

    /** Creates the operations on the given store. */
    public JobDesk(Vertx vertx, MonotonicClock clock, ObservedKeyValueService store) {
        this.vertx = vertx;
        this.clock = clock;
        this.store = store;
    }

    /** Returns the delay after which a refused caller should retry, in seconds. */
    public long retryAfterSeconds() {
        // The longer an outage has lasted, the longer it is likely to continue.
        return Math.clamp((store.outageMilliseconds() + 999) / 1_000, 1, LONGEST_RETRY_SECONDS);
    }

    /**
     * Stores a job, with retries until the time limit in milliseconds. During an outage of the store the retries end
     * earlier, and after a long outage the submission is refused without an attempt.
     */
    public Uni<Submission> submit(JobSpecification job, long limitMilliseconds) {
        if (store.outageMilliseconds() > LONG_OUTAGE_MILLISECONDS) {
            return Uni.createFrom().item(Submission.NOT_ACCEPTED);
        }
        KeyValueTransaction creation = new KeyValueTransaction(
                List.of(new KeyValueCondition(WorkloadKeys.accepted(job.id()), 0)),
                List.of(new KeyValueOperation.Put(WorkloadKeys.accepted(job.id()), WorkloadJson.encode(job), 0)));
        return trySubmit(creation, job, Limits.of(clock.nowMilliseconds(), limitMilliseconds), false);
    }

    /** Times until which a request is retried, in milliseconds. Immutable. */
    private record Limits(long until, long untilInOutage) {
        static Limits of(long now, long limit) {
            return new Limits(now + limit, now + Math.min(limit, OUTAGE_WAIT_MILLISECONDS));
        }
    }

    private boolean isOver(Limits limits) {
        long next = clock.nowMilliseconds() + RETRY_PAUSE.toMillis();
        return next >= limits.until() || store.outageMilliseconds() > 0 && next >= limits.untilInOutage();
    }

    private Uni<Submission> trySubmit(
            KeyValueTransaction creation, JobSpecification job, Limits limits, boolean uncertain) {
        return store.transact(creation)
                .chain(result -> result.applied() ? Uni.createFrom().item(Submission.ACCEPTED) : existing(job))
                .onFailure()
                .recoverWithUni(failure -> {
                    boolean nowUncertain = uncertain || !isRefusal(failure);
                    LOGGER.debug("attempt to store job {} failed: {}", job.id(), failure.getMessage());
                    if (isOver(limits)) {
                        return Uni.createFrom().item(nowUncertain ? Submission.UNKNOWN : Submission.NOT_ACCEPTED);
                    }
                    return pause().chain(() -> trySubmit(creation, job, limits, nowUncertain));
                });
    }

    /** Returns the outcome if the identifier already exists: a repeated submission, or an identifier in use. */
    private Uni<Submission> existing(JobSpecification job) {
        return store.get(WorkloadKeys.accepted(job.id()))
                .map(item -> teamOf(job.id(), item.orElseThrow()).equals(job.team())
                        ? Submission.ACCEPTED
                        : Submission.IN_USE);
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
        return retried(
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
        return retried(
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
        return retried(
                () -> store.get(WorkloadKeys.PENDING).map(item -> {
                    long revision = item.map(found -> found.revision()).orElse(0L);
                    long now = clock.nowMilliseconds();
                    if (seenCounts.revision() != revision) {
                        seenCounts = new SeenCounts(revision, now);
                    }
                    if (revision == 0 || now - seenCounts.firstSeenAt() > PENDING_AGE_MILLISECONDS) {
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

    private <T> Uni<T> retried(Attempt<T> attempt, long limitMilliseconds) {
        long outage = store.outageMilliseconds();
        if (outage > 0) {
            return Uni.createFrom()
                    .failure(TeaselwoodException.of(ErrorKind.STORE_REFUSED, "no response for " + outage + " ms"));
        }
        return retriedUntil(attempt, clock.nowMilliseconds() + limitMilliseconds);
    }

    private <T> Uni<T> retriedUntil(Attempt<T> attempt, long until) {
        return attempt.get().onFailure().recoverWithUni(failure -> {
            if (clock.nowMilliseconds() + RETRY_PAUSE.toMillis() >= until || store.outageMilliseconds() > 0) {
                return Uni.createFrom().failure(failure);
            }
            return pause().chain(() -> retriedUntil(attempt, until));
        });
    }

    private Uni<Void> pause() {
        return Uni.createFrom()
                .emitter(emitter -> vertx.setTimer(RETRY_PAUSE.toMillis(), timer -> emitter.complete(null)));
    }
}
