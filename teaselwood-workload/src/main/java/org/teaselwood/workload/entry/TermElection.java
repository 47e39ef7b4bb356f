package org.teaselwood.workload.entry;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaselwood.protocol.MonotonicClock;
import org.teaselwood.store.KeyValue;
import org.teaselwood.store.KeyValueCondition;
import org.teaselwood.store.KeyValueOperation;
import org.teaselwood.store.KeyValueService;
import org.teaselwood.store.KeyValueTransaction;
import org.teaselwood.workload.agent.PlacerLink;
import org.teaselwood.workload.agent.PlacerLocation;
import org.teaselwood.workload.model.WorkloadTimings;
import org.teaselwood.workload.record.WorkloadKeys;

/**
 * Elects one placer through the key-value service. Confined to one event loop.
 *
 * <p>The elected entry holds one key under a lease. The revision of the key is the term: every later write of the
 * placer is conditional on it and every order carries it, so that correctness never depends on time; the lease only
 * determines how soon a failed placer is replaced. An entry that finds its own earlier election takes the key over.
 */
public final class TermElection {
    private static final Logger LOGGER = LoggerFactory.getLogger(TermElection.class);

    private static final long LEASE_SECONDS = WorkloadTimings.ELECTION_LEASE_MILLISECONDS / 1_000;

    private static final long RENEWAL_INTERVAL_MILLISECONDS = 500;
    private static final long RETRY_DELAY_MILLISECONDS = 200;
    private static final long READ_INTERVAL_MILLISECONDS = 1_000;

    /** Time for which an entry whose placer has failed leaves the election to others. */
    private static final long FAILURE_DELAY_MILLISECONDS = 2_000;

    private final Vertx vertx;
    private final MonotonicClock clock;
    private final KeyValueService store;
    private final Candidate candidate;
    private final Listener listener;
    private final PlacerFailureDetector failureDetector;
    private boolean stopped;
    private boolean eligible;
    private boolean operationInProgress;
    private long term;
    private long lease;
    private long nextActionAt;
    private long lastReadAt;

    /** Time before which this entry does not try to be elected, in milliseconds. */
    private long candidateAgainAt;

    /**
     * Entry that is a candidate in the election. Immutable.
     *
     * @param entry name of the entry
     * @param host IP address of its internal port
     * @param port internal port
     * @param candidacyDelayMilliseconds delay before it tries to be elected; longer on a weaker VM
     */
    public record Candidate(String entry, String host, int port, long candidacyDelayMilliseconds) {}

    /** Listener for the outcome of elections. Called on the event loop. */
    public interface Listener {
        /** Called when this entry is elected as the placer of a term. */
        void elected(long term);

        /** Called when the lease of the election is granted or renewed, with the time at which the call was sent. */
        void renewed(long sentAtMilliseconds);

        /** Called when this entry steps down as the placer. */
        void steppedDown();
    }

    /** Creates an election that {@link #start} starts. */
    public TermElection(
            Vertx vertx, MonotonicClock clock, KeyValueService store, Candidate candidate, Listener listener) {
        this.vertx = vertx;
        this.clock = clock;
        this.store = store;
        this.candidate = candidate;
        this.listener = listener;
        this.failureDetector = new PlacerFailureDetector(vertx, this::placerUnreachable);
    }

    /** Starts taking part in the election; must be called on the event loop. */
    public void start() {
        openWatch();
        vertx.setPeriodic(RETRY_DELAY_MILLISECONDS / 2, timer -> tick());
    }

    /** Sets whether this entry may be elected, which requires a configuration. */
    public void setEligible(boolean value) {
        eligible = value;
    }

    /** Steps down if the given term, which the store no longer holds, is the current term of this entry. */
    public void termLost(long lostTerm) {
        if (term == lostTerm && term != 0) {
            stepDown("the store no longer holds this term");
        }
    }

    /** Steps down after the placer of a term has failed, and leaves the election to other entries for a while. */
    public void placerFailed(long failedTerm) {
        if (term == failedTerm && term != 0) {
            candidateAgainAt = clock.nowMilliseconds() + FAILURE_DELAY_MILLISECONDS;
            giveUpTerm("the placer has failed");
        }
    }

    /** Steps down and deletes the election key, so that another entry is elected at once. */
    public void resign() {
        stopped = true;
        failureDetector.stopMonitoring();
        giveUpTerm("the entry is shutting down");
    }

    private void giveUpTerm(String reason) {
        if (term != 0) {
            long resigned = term;
            stepDown(reason);
            store.transact(new KeyValueTransaction(
                            List.of(new KeyValueCondition(WorkloadKeys.PLACER, resigned)),
                            List.of(new KeyValueOperation.Delete(WorkloadKeys.PLACER))))
                    .subscribe()
                    .with(
                            result -> LOGGER.info("resigned from term {}", resigned),
                            failure -> LOGGER.info(
                                    "could not delete the election key when resigning: {}", failure.getMessage()));
        }
    }

    private void openWatch() {
        store.watch(WorkloadKeys.PLACER, new KeyValueService.WatchListener() {
            @Override
            public void onOpened() {
                vertx.runOnContext(ignored -> readElection());
            }

            @Override
            public void onChanged(List<KeyValue> changes, long revision) {
                vertx.runOnContext(ignored -> changes.forEach(item -> {
                    if (item.key().equals(WorkloadKeys.PLACER)) {
                        electionKeyRead(item.value().length == 0 ? Optional.empty() : Optional.of(item));
                    }
                }));
            }

            @Override
            public void onFailure(Throwable cause) {
                vertx.setTimer(RETRY_DELAY_MILLISECONDS, timer -> openWatch());
            }
        });
    }

    private void tick() {
        long now = clock.nowMilliseconds();
        if (stopped || operationInProgress || now < nextActionAt) {
            return;
        }
        if (term != 0) {
            renew();
        } else if (now - lastReadAt > READ_INTERVAL_MILLISECONDS) {
            readElection();
        }
    }

    private void readElection() {
        lastReadAt = clock.nowMilliseconds();
        store.get(WorkloadKeys.PLACER)
                .subscribe()
                .with(
                        this::electionKeyRead,
                        failure -> LOGGER.debug("could not read the election key: {}", failure.getMessage()));
    }

    private void electionKeyRead(Optional<KeyValue> item) {
        if (term != 0) {
            if (item.isEmpty() || item.get().revision() > term) {
                stepDown("the store no longer holds this term");
            } else {
                return;
            }
        }
        if (stopped || !eligible || operationInProgress || clock.nowMilliseconds() < candidateAgainAt) {
            return;
        }
        if (item.isEmpty()) {
            scheduleCampaign(0);
            return;
        }
        long revision = item.get().revision();
        PlacerLink.decode(item.get())
                .ifPresentOrElse(
                        found -> {
                            if (isCandidate(found)) {
                                campaign(revision);
                            } else {
                                failureDetector.monitor(found);
                            }
                        },
                        // No agent can find a placer by this key, and nobody may ever delete it.
                        () -> scheduleCampaign(revision));
    }

    private void placerUnreachable(long failedTerm) {
        if (!stopped && eligible && !operationInProgress && term == 0) {
            scheduleCampaign(failedTerm);
        }
    }

    private void scheduleCampaign(long expectedRevision) {
        operationInProgress = true;
        vertx.setTimer(Math.max(1, candidate.candidacyDelayMilliseconds()), timer -> {
            operationInProgress = false;
            if (!stopped && term == 0) {
                campaign(expectedRevision);
            }
        });
    }

    private boolean isCandidate(PlacerLocation found) {
        return found.entry().equals(candidate.entry()) && found.host().equals(candidate.host());
    }

    private void campaign(long expectedRevision) {
        operationInProgress = true;
        long sentAt = clock.nowMilliseconds();
        byte[] value = new JsonObject()
                .put("entry", candidate.entry())
                .put("host", candidate.host())
                .put("port", candidate.port())
                .toBuffer()
                .getBytes();
        store.grantLease(LEASE_SECONDS)
                .invoke(granted -> lease = granted)
                .chain(granted -> store.transact(new KeyValueTransaction(
                        List.of(new KeyValueCondition(WorkloadKeys.PLACER, expectedRevision)),
                        List.of(new KeyValueOperation.Put(WorkloadKeys.PLACER, value, granted)))))
                .subscribe()
                .with(
                        result -> {
                            operationInProgress = false;
                            if (result.applied()) {
                                becomePlacer(result.revision(), sentAt);
                            }
                        },
                        failure -> {
                            // If the write took effect nevertheless, the next read finds this entry's own election.
                            operationInProgress = false;
                            lastReadAt =
                                    clock.nowMilliseconds() - READ_INTERVAL_MILLISECONDS + RETRY_DELAY_MILLISECONDS;
                            LOGGER.info("could not acquire the election key: {}", failure.getMessage());
                        });
    }

    private void becomePlacer(long newTerm, long sentAt) {
        if (stopped) {
            return;
        }
        failureDetector.stopMonitoring();
        term = newTerm;
        nextActionAt = clock.nowMilliseconds() + RENEWAL_INTERVAL_MILLISECONDS;
        LOGGER.info("elected as the placer of term {}", newTerm);
        listener.renewed(sentAt);
        listener.elected(newTerm);
    }

    private void renew() {
        operationInProgress = true;
        long renewedTerm = term;
        long sentAt = clock.nowMilliseconds();
        store.renewLease(lease)
                .subscribe()
                .with(
                        ignored -> {
                            operationInProgress = false;
                            nextActionAt = clock.nowMilliseconds() + RENEWAL_INTERVAL_MILLISECONDS;
                            listener.renewed(sentAt);
                        },
                        failure -> {
                            operationInProgress = false;
                            nextActionAt = clock.nowMilliseconds() + RETRY_DELAY_MILLISECONDS;
                            LOGGER.debug(
                                    "could not renew the election lease of term {}: {}",
                                    renewedTerm,
                                    failure.getMessage());
                            if (term == renewedTerm) {
                                readElection();
                            }
                        });
    }

    private void stepDown(String reason) {
        LOGGER.info("placer of term {} steps down: {}", term, reason);
        term = 0;
        lastReadAt = 0;
        listener.steppedDown();
    }
}
