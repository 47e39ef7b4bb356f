package org.teaselwood.workload.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongConsumer;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaselwood.model.TeaselwoodException;
import org.teaselwood.protocol.DutyThread;
import org.teaselwood.protocol.message.WorkMessage;
import org.teaselwood.store.KeyValue;
import org.teaselwood.store.KeyValueCondition;
import org.teaselwood.store.KeyValueOperation;
import org.teaselwood.store.KeyValueService;
import org.teaselwood.store.KeyValueTransaction;
import org.teaselwood.workload.model.WorkloadConfiguration;
import org.teaselwood.workload.model.WorkloadTimings;
import org.teaselwood.workload.placer.AgentConnection;
import org.teaselwood.workload.placer.PlacerEffects;
import org.teaselwood.workload.placer.WorkPlacer;
import org.teaselwood.workload.record.WorkloadJson;
import org.teaselwood.workload.record.WorkloadKeys;

/**
 * Runs the placer on its duty thread and performs the calls of the store and the advice service that it requests. The
 * handler is confined to the duty thread; {@link #offer} may be called from any thread.
 */
final class PlacerDuty implements DutyThread.Handler<PlacerEvent>, PlacerEffects {
    private static final Logger LOGGER = LoggerFactory.getLogger(PlacerDuty.class);
    private static final long ADVANCE_MILLISECONDS = 50;
    private static final long LOAD_RETRY_MILLISECONDS = 300;

    private final KeyValueService store;
    private final WorkloadTimings timings;
    private final LongConsumer termLost;
    private final JobTimes times;
    private final AdviceService advice;
    private DutyThread<PlacerEvent> thread;
    private WorkloadConfiguration configuration;
    private final List<KeyValue> early = new ArrayList<>();
    private long term;
    private long loadAt;
    private long advancedAt;
    private WorkPlacer placer;

    /**
     * Time until which agents are answered. A successor relies on it when it decides that a server is lost. Set on the
     * event loop of the election.
     */
    private volatile long answersUntil = Long.MIN_VALUE;

    PlacerDuty(
            KeyValueService store,
            AdviceService advice,
            WorkloadTimings timings,
            JobTimes times,
            LongConsumer termLost) {
        this.advice = advice;
        this.times = times;
        this.store = store;
        this.timings = timings;
        this.termLost = termLost;
    }

    /** Sets the thread that runs this handler. */
    void runOn(DutyThread<PlacerEvent> newThread) {
        thread = newThread;
    }

    /** Records that the lease of the election was renewed by a call that was sent at this time. */
    void renewed(long sentAtMilliseconds) {
        answersUntil = sentAtMilliseconds
                + WorkloadTimings.ELECTION_LEASE_MILLISECONDS
                + WorkloadTimings.UNRENEWED_MILLISECONDS;
    }

    void offer(PlacerEvent event) {
        if (!thread.offer(event)) {
            LOGGER.error(
                    "the ring buffer of the placer is full; dropped event {}",
                    event.getClass().getSimpleName());
        }
    }

    @Override
    public void handle(PlacerEvent event, long now) {
        switch (event) {
            case PlacerEvent.Answer outdated when outdated.term() != term -> LOGGER.debug("ignored late {}", outdated);
            case PlacerEvent.Elected elected -> {
                term = elected.term();
                placer = null;
                early.clear();
                load();
            }
            case PlacerEvent.Deposed deposed -> {
                term = 0;
                placer = null;
                early.clear();
            }
            case PlacerEvent.Loaded loaded -> loaded(loaded, now);
            case PlacerEvent.Configured configured -> {
                configuration = configured.configuration();
                withPlacer(running -> running.configurationChanged(configuration));
            }
            case PlacerEvent.Requested requested -> requested(requested.requests(), now);
            case PlacerEvent.Received received -> withPlacer(running -> received(running, received, now));
            case PlacerEvent.Disconnected disconnected ->
                withPlacer(running -> running.disconnected(disconnected.connection()));
            case PlacerEvent.Written written -> withPlacer(running -> running.written(written.revision()));
            case PlacerEvent.RevisionsRead read -> withPlacer(running -> running.revisionsRead(read.revisions()));
            case PlacerEvent.WriteFailed failed -> withPlacer(running -> running.writeFailed(now));
            case PlacerEvent.Removed removed -> withPlacer(WorkPlacer::removed);
            case PlacerEvent.RemoveFailed failed -> withPlacer(WorkPlacer::removeFailed);
            case PlacerEvent.Advised advised ->
                withPlacer(running -> running.advised(advised.step(), advised.tickets(), now));
            case PlacerEvent.AdviceFailed failed -> withPlacer(running -> running.adviceFailed(failed.step(), now));
        }
        // Queued events are handled first: a placement pass after each of them would let the ring buffer fill up.
        if (thread.depth() == 0 || now - advancedAt >= ADVANCE_MILLISECONDS) {
            advancedAt = now;
            withPlacer(running -> running.advance(now));
        }
    }

    @Override
    public void tick(long now) {
        if (term != 0 && placer == null && now >= loadAt) {
            load();
        }
        withPlacer(running -> running.advance(now));
    }

    @Override
    public void write(List<RecordWrite> writes) {
        long writeTerm = term;
        List<KeyValueCondition> conditions = new ArrayList<>();
        conditions.add(new KeyValueCondition(WorkloadKeys.PLACER, writeTerm));
        writes.forEach(write ->
                conditions.add(new KeyValueCondition(WorkloadKeys.progress(write.job()), write.expectedRevision())));
        List<KeyValueOperation> operations = writes.stream()
                .<KeyValueOperation>map(
                        write -> new KeyValueOperation.Put(WorkloadKeys.progress(write.job()), write.value(), 0))
                .toList();
        store.transact(new KeyValueTransaction(conditions, operations))
                .subscribe()
                .with(
                        result -> {
                            if (result.applied()) {
                                offer(new PlacerEvent.Written(writeTerm, result.revision()));
                            } else {
                                readBack(writeTerm);
                            }
                        },
                        failure -> {
                            LOGGER.debug(
                                    "the outcome of a write of {} records is unknown: {}",
                                    writes.size(),
                                    failure.getMessage());
                            offer(new PlacerEvent.WriteFailed(writeTerm));
                        });
    }

    @Override
    public void remove(List<String> jobs) {
        long removeTerm = term;
        List<KeyValueOperation> operations = jobs.stream()
                .flatMap(job ->
                        Stream.of(WorkloadKeys.accepted(job), WorkloadKeys.cancelled(job), WorkloadKeys.progress(job)))
                .<KeyValueOperation>map(KeyValueOperation.Delete::new)
                .toList();
        store.transact(new KeyValueTransaction(
                        List.of(new KeyValueCondition(WorkloadKeys.PLACER, removeTerm)), operations))
                .subscribe()
                .with(
                        result -> offer(
                                result.applied()
                                        ? new PlacerEvent.Removed(removeTerm)
                                        : new PlacerEvent.RemoveFailed(removeTerm)),
                        failure -> {
                            LOGGER.info("could not remove jobs whose retention ended: {}", failure.getMessage());
                            offer(new PlacerEvent.RemoveFailed(removeTerm));
                        });
    }

    @Override
    public void advise(String step, List<String> servers, long limitMilliseconds) {
        long askTerm = term;
        advice.advise(step, servers, limitMilliseconds)
                .onSuccess(tickets -> offer(new PlacerEvent.Advised(askTerm, step, tickets)))
                .onFailure(failure -> {
                    LOGGER.info("no advice for step {}: {}", step, failure.getMessage());
                    offer(new PlacerEvent.AdviceFailed(askTerm, step));
                });
    }

    @Override
    public void publishPending(Map<String, Integer> pending) {
        store.transact(new KeyValueTransaction(
                        List.of(new KeyValueCondition(WorkloadKeys.PLACER, term)),
                        List.of(new KeyValueOperation.Put(
                                WorkloadKeys.PENDING, WorkloadJson.encodePending(pending), 0))))
                .subscribe()
                .with(
                        result -> LOGGER.debug("published the number of pending jobs: {}", pending),
                        failure ->
                                LOGGER.debug("could not publish the number of pending jobs: {}", failure.getMessage()));
    }

    @Override
    public void measured(String name, String team, String queue, long milliseconds) {
        times.measured(name, team, queue, milliseconds);
    }

    @Override
    public long wallMilliseconds() {
        return System.currentTimeMillis();
    }

    private interface PlacerUse {
        void with(WorkPlacer running);
    }

    private void withPlacer(PlacerUse use) {
        if (placer != null) {
            use.with(placer);
        }
    }

    /** Reads the stored jobs. The requests are read last, so that no job that was accepted earlier is missed. */
    private void load() {
        long loadTerm = term;
        loadAt = Long.MAX_VALUE;
        store.list(WorkloadKeys.PROGRESS)
                .chain(progress -> store.list(WorkloadKeys.REQUESTS)
                        .map(requests -> new PlacerEvent.Loaded(loadTerm, progress, requests)))
                .subscribe()
                .with(this::offer, failure -> {
                    LOGGER.info("could not read the stored jobs: {}", failure.getMessage());
                    offer(new PlacerEvent.Loaded(loadTerm, null, null));
                });
    }

    private void loaded(PlacerEvent.Loaded loaded, long now) {
        if (placer != null) {
            return;
        }
        if (loaded.progress() == null || configuration == null) {
            loadAt = now + LOAD_RETRY_MILLISECONDS;
            return;
        }
        placer = new WorkPlacer(term, timings, configuration, this);
        Map<String, KeyValue> progress = new HashMap<>();
        loaded.progress().forEach(item -> progress.put(WorkloadKeys.jobOf(item.key()), item));
        loaded.requests().stream()
                .filter(item -> WorkloadKeys.isAccepted(item.key()))
                .forEach(item -> request(placer, item, progress, now));
        loaded.requests().stream()
                .filter(item -> WorkloadKeys.isCancelled(item.key()))
                .forEach(item -> request(placer, item, progress, now));
        early.forEach(item -> request(placer, item, progress, now));
        early.clear();
        LOGGER.info(
                "placer of term {} loaded {} requests", term, loaded.requests().size());
    }

    /** Passes a request to the placer. A value that cannot be decoded is skipped and does not block the others. */
    private static void request(WorkPlacer running, KeyValue item, Map<String, KeyValue> progress, long now) {
        if (item.value().length == 0) {
            return;
        }
        String job = WorkloadKeys.jobOf(item.key());
        try {
            if (WorkloadKeys.isCancelled(item.key())) {
                running.jobCancelled(job, now);
            } else if (WorkloadKeys.isAccepted(item.key())) {
                Optional<WorkPlacer.StoredRecord> stored = Optional.ofNullable(progress.get(job))
                        .map(record -> new WorkPlacer.StoredRecord(
                                WorkloadJson.decodeRecord(record.value()), record.revision()));
                running.jobAccepted(WorkloadJson.decodeJob(job, item.value()), item.revision(), stored, now);
            }
        } catch (TeaselwoodException exception) {
            LOGGER.error("could not decode the value of {}: {}", item.key(), exception.getMessage());
        }
    }

    /** Passes on requests; buffers them while the stored jobs are read, because the result may not contain them. */
    private void requested(List<KeyValue> requests, long now) {
        if (placer == null) {
            if (term != 0) {
                early.addAll(requests);
            }
        } else {
            requests.forEach(item -> request(placer, item, Map.of(), now));
        }
    }

    private void received(WorkPlacer running, PlacerEvent.Received received, long now) {
        if (now > answersUntil) {
            LOGGER.debug("ignored a message from an agent: the election was not renewed in time");
            return;
        }
        AgentConnection connection = received.connection();
        switch (received.message()) {
            case WorkMessage.ServerReport report -> running.report(connection, report, now);
            case WorkMessage.OrderResult result -> running.orderAnswered(connection, result, now);
            case WorkMessage.ServerLeft left -> running.serverLeft(left.server(), left.start(), now);
            case WorkMessage order ->
                LOGGER.warn("ignored {} from an agent", order.getClass().getSimpleName());
        }
    }

    private void readBack(long writeTerm) {
        store.get(WorkloadKeys.PLACER)
                .chain(item -> {
                    if (item.isEmpty() || item.get().revision() != writeTerm) {
                        termLost.accept(writeTerm);
                    }
                    return store.list(WorkloadKeys.PROGRESS);
                })
                .subscribe()
                .with(
                        items -> {
                            Map<String, Long> revisions = new HashMap<>();
                            items.forEach(item -> revisions.put(WorkloadKeys.jobOf(item.key()), item.revision()));
                            offer(new PlacerEvent.RevisionsRead(writeTerm, revisions));
                        },
                        failure -> offer(new PlacerEvent.WriteFailed(writeTerm)));
    }
}
