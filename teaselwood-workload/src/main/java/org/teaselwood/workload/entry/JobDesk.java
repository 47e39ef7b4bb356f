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
 * What callers ask of any entry. Thread-safe.
 *
 * <p>Everything is read from and written to the key-value service, so that every entry gives the same answer whether or
 * not it can reach the placer. Accepting a job is one write on condition that its key does not exist; a write without
 * an
 * answer is repeated, which its condition makes harmless.
 */
public final class JobDesk {
    private static final Logger LOGGER = LoggerFactory.getLogger(JobDesk.class);
    private static final Duration RETRY_PAUSE = Duration.ofMillis(50);

    /** Published counts that did not change hands for this long are not given out: three publishing intervals. */
    private static final long PENDING_AGE_MILLISECONDS = 3_000;

    /**
     * A request waits this long for the end of an outage: short enough for another entry to be tried in time when only
     * this one is cut off, long enough for the tries of a caller to span the usual outage of a few seconds.
     */
    private static final long OUTAGE_WAIT_MILLISECONDS = 800;

    /** After an outage of this length its end is not waited for. */
    private static final long LONG_OUTAGE_MILLISECONDS = 15_000;

    /** Callers try four more times; this spreads their tries over an outage of ten seconds. */
    private static final int LONGEST_RETRY_SECONDS = 3;

    private final Vertx vertx;
    private final MonotonicClock clock;
    private final ObservedKeyValueService store;
    private volatile SeenCounts seenCounts = new SeenCounts(0, 0);

    private record SeenCounts(long revision, long firstSeenAt) {}

    /** What became of a submission. */
    public enum Submission {
        /** The job is stored. */
        ACCEPTED,
        /** The job is not stored and never will be under this request. */
        NOT_ACCEPTED,
        /** Another team has a job of this identifier. */
        IN_USE,
        /** The job may be stored. */
        UNKNOWN
    }

    /** A desk on the given store. */
    public JobDesk(Vertx vertx, MonotonicClock clock, ObservedKeyValueService store) {
        this.vertx = vertx;
        this.clock = clock;
        this.store = store;
    }

    /** Time after which a refused caller should come back, in seconds. */
    public long retryAfterSeconds() {
        // An outage that has lasted a while is likely to last as long again.
        return Math.clamp((store.outageMilliseconds() + 999) / 1_000, 1, LONGEST_RETRY_SECONDS);
    }

    /**
     * Stores a job, trying until the time limit in milliseconds. During an outage of the store it tries for a shorter
     * time, and not at all when the outage has lasted long.
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

    /** Times until which a request is tried, in milliseconds. Immutable. */
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
                    LOGGER.debug("job {} not stored yet: {}", job.id(), failure.getMessage());
                    if (isOver(limits)) {
                        return Uni.createFrom().item(nowUncertain ? Submission.UNKNOWN : Submission.NOT_ACCEPTED);
                    }
                    return pause().chain(() -> trySubmit(creation, job, limits, nowUncertain));
                });
    }

    /** The outcome when a job of this identifier is stored already: a repeated submission, or an identifier in use. */
    private Uni<Submission> existing(JobSpecification job) {
        return store.get(WorkloadKeys.accepted(job.id()))
                .map(item -> teamOf(job.id(), item.orElseThrow()).equals(job.team())
                        ? Submission.ACCEPTED
                        : Submission.IN_USE);
    }

    private static String teamOf(String job, KeyValue accepted) {
        return WorkloadJson.decodeJob(job, accepted.value()).team();
    }

    /** Whether the store said that it did nothing. */
    private static boolean isRefusal(Throwable failure) {
        return failure instanceof TeaselwoodException exception && exception.kind() == ErrorKind.STORE_REFUSED;
    }

    /** The state of a job of the team, empty when there is no such job. */
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

    /** The accepted job of the team, empty when there is no such job. */
    private Uni<Optional<KeyValue>> accepted(String job, String team) {
        return store.get(WorkloadKeys.accepted(job))
                .map(accepted -> accepted.filter(item -> teamOf(job, item).equals(team)));
    }

    /** Cancels a job of the team; false when there is no such job. */
    public Uni<Boolean> cancel(String job, String team, long limitMilliseconds) {
        return retried(
                () -> accepted(job, team)
                        .chain(accepted -> accepted.isEmpty()
                                ? Uni.createFrom().item(false)
                                : storeCancellation(job, accepted.get().revision())),
                limitMilliseconds);
    }

    /** The condition keeps a cancellation from being stored for a job that is being forgotten. */
    private Uni<Boolean> storeCancellation(String job, long acceptedRevision) {
        return store.transact(new KeyValueTransaction(
                        List.of(new KeyValueCondition(WorkloadKeys.accepted(job), acceptedRevision)),
                        List.of(new KeyValueOperation.Put(WorkloadKeys.cancelled(job), new byte[] {1}, 0))))
                .map(result -> result.applied());
    }

    /** Number of jobs of a queue that have not started; fails when no placer has published it lately. */
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
                    .failure(TeaselwoodException.of(ErrorKind.STORE_REFUSED, "no answer for " + outage + " ms"));
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
