package org.teaselwood.workload.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
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
import org.teaselwood.workload.placer.StoredProgress;
import org.teaselwood.workload.placer.WorkPlacer;
import org.teaselwood.workload.record.WorkloadJson;
import org.teaselwood.workload.record.WorkloadKeys;

/**
 * Runs the placer on its duty thread and performs the calls of the store and the advice service that it requests. The
 * handler is confined to the duty thread; {@link #offer} may be called from any thread.
 */
final class PlacerEventHandler implements DutyThread.EventHandler<PlacerEvent>, PlacerEffects {
    private static final Logger LOGGER = LoggerFactory.getLogger(PlacerEventHandler.class);
    private static final long ADVANCE_INTERVAL_MILLISECONDS = 50;
    private static final long LOAD_RETRY_DELAY_MILLISECONDS = 300;

    private final KeyValueService store;
    private final WorkloadTimings timings;
    private final TermListener termListener;
    private final JobTimeRecorder timeRecorder;
    private final AdviceService advice;
    private DutyThread<PlacerEvent> thread;
    private WorkloadConfiguration configuration;
    private final List<KeyValue> bufferedRequests = new ArrayList<>();
    private final RequestList requestList = new RequestList(this::listRequests);
    private long term;
    private long nextLoadAt;
    private long lastAdvanceAt;
    private WorkPlacer placer;

    /**
     * Time until which agents are answered. A successor relies on it when it decides that a server is lost. Set on the
     * event loop of the election.
     */
    private volatile long answerAgentsUntil = Long.MIN_VALUE;

    /** Listener for events that end the term of this placer before its election is lost. Called on any thread. */
    interface TermListener {
        /** Called when the store no longer holds the term. */
        void termLost(long term);

        /** Called when the placer has failed, so that another entry should be elected. */
        void placerFailed(long term);
    }

    PlacerEventHandler(
            KeyValueService store,
            AdviceService advice,
            WorkloadTimings timings,
            JobTimeRecorder timeRecorder,
            TermListener termListener) {
        this.advice = advice;
        this.timeRecorder = timeRecorder;
        this.store = store;
        this.timings = timings;
        this.termListener = termListener;
    }

    /** Sets the thread that runs this handler. */
    void runOn(DutyThread<PlacerEvent> newThread) {
        thread = newThread;
    }

    /** Records that the lease of the election was renewed by a call that was sent at this time. */
    void renewed(long sentAtMilliseconds) {
        answerAgentsUntil = sentAtMilliseconds
                + WorkloadTimings.ELECTION_LEASE_MILLISECONDS
                + WorkloadTimings.RENEWAL_GRACE_MILLISECONDS;
    }

    /** Passes an event to the duty thread; drops events of agents if the ring buffer is full. */
    void offer(PlacerEvent event) {
        if (!(event instanceof PlacerEvent.FromAgent)) {
            thread.enqueue(event);
        } else if (!thread.offer(event)) {
            LOGGER.error(
                    "the ring buffer of the placer is full; dropped event {}",
                    event.getClass().getSimpleName());
        }
    }

    @Override
    public void handle(PlacerEvent event, long now) {
        switch (event) {
            case PlacerEvent.Result outdated when outdated.term() != term -> LOGGER.debug("ignored late {}", outdated);
            case PlacerEvent.Elected elected -> {
                beginTerm(elected.term());
                load();
            }
            case PlacerEvent.SteppedDown steppedDown -> beginTerm(0);
            case PlacerEvent.JobsLoaded loaded -> loaded(loaded, now);
            case PlacerEvent.ConfigurationChanged configured -> {
                configuration = configured.configuration();
                withPlacer(activePlacer -> activePlacer.configurationChanged(configuration));
            }
            case PlacerEvent.RequestsReceived requested -> requestsReceived(requested.requests(), now);
            case PlacerEvent.WatchOpened opened -> {
                // Without a term there is nothing to read: an elected placer reads all requests afterwards.
                if (term != 0) {
                    requestList.require();
                }
            }
            case PlacerEvent.RequestsListed listed ->
                listed.requests()
                        .ifPresentOrElse(
                                requests -> requestsReceived(requestList.completed(requests), now),
                                () -> requestList.failed(now));
            case PlacerEvent.MessageReceived received ->
                withPlacer(activePlacer -> messageReceived(activePlacer, received, now));
            case PlacerEvent.AgentDisconnected disconnected ->
                withPlacer(activePlacer -> activePlacer.disconnected(disconnected.connection()));
            case PlacerEvent.WriteApplied written ->
                withPlacer(activePlacer -> activePlacer.recordsWritten(written.revision()));
            case PlacerEvent.WriteRejected rejected ->
                withPlacer(activePlacer -> activePlacer.writeRejected(rejected.revisions()));
            case PlacerEvent.WriteFailed failed -> withPlacer(activePlacer -> activePlacer.writeFailed(now));
            case PlacerEvent.JobsRemoved removed -> {
                requestList.jobsRemoved(removed.jobs());
                withPlacer(WorkPlacer::jobsRemoved);
            }
            case PlacerEvent.RemovalFailed failed -> withPlacer(WorkPlacer::jobRemovalFailed);
            case PlacerEvent.AdviceReceived advised ->
                withPlacer(activePlacer -> activePlacer.adviceReceived(advised.step(), advised.tickets(), now));
            case PlacerEvent.AdviceFailed failed ->
                withPlacer(activePlacer -> activePlacer.adviceFailed(failed.step(), now));
        }
        requestList.readIfRequired(now);
        // Queued events are handled first: a placement pass after each of them would let the ring buffer fill up.
        if (thread.queueSize() == 0 || now - lastAdvanceAt >= ADVANCE_INTERVAL_MILLISECONDS) {
            lastAdvanceAt = now;
            withPlacer(activePlacer -> activePlacer.advance(now));
        }
    }

    @Override
    public void tick(long now) {
        if (term != 0 && placer == null && now >= nextLoadAt) {
            load();
        }
        requestList.readIfRequired(now);
        withPlacer(activePlacer -> activePlacer.advance(now));
    }

    /** Discards the state of the former term; 0 stands for no term. */
    private void beginTerm(long newTerm) {
        term = newTerm;
        placer = null;
        bufferedRequests.clear();
        requestList.reset();
    }

    /** Gives up the term: a placer with a damaged state might start tasks twice, and one without state does nothing. */
    @Override
    public void discardState() {
        long failedTerm = term;
        beginTerm(0);
        if (failedTerm != 0) {
            termListener.placerFailed(failedTerm);
        }
    }

    @Override
    public void writeRecords(List<RecordWrite> writes) {
        long writeTerm = term;
        List<KeyValueCondition> conditions = new ArrayList<>();
        conditions.add(new KeyValueCondition(WorkloadKeys.PLACER, writeTerm));
        writes.forEach(write -> conditions.add(new KeyValueCondition(write.key(), write.expectedRevision())));
        List<KeyValueOperation> operations = writes.stream()
                .map(write -> write.value()
                        .<KeyValueOperation>map(value -> new KeyValueOperation.Put(write.key(), value, 0))
                        .orElseGet(() -> new KeyValueOperation.Delete(write.key())))
                .toList();
        store.transact(new KeyValueTransaction(conditions, operations))
                .subscribe()
                .with(
                        result -> {
                            if (result.applied()) {
                                offer(new PlacerEvent.WriteApplied(writeTerm, result.revision()));
                            } else {
                                readRevisions(writeTerm);
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
    public void removeJobs(List<String> jobs) {
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
                                        ? new PlacerEvent.JobsRemoved(removeTerm, jobs)
                                        : new PlacerEvent.RemovalFailed(removeTerm)),
                        failure -> {
                            LOGGER.info("could not remove jobs whose retention ended: {}", failure.getMessage());
                            offer(new PlacerEvent.RemovalFailed(removeTerm));
                        });
    }

    @Override
    public void requestAdvice(String step, List<String> servers, long limitMilliseconds) {
        long requestTerm = term;
        advice.advise(step, servers, limitMilliseconds)
                .onSuccess(tickets -> offer(new PlacerEvent.AdviceReceived(requestTerm, step, tickets)))
                .onFailure(failure -> {
                    LOGGER.info("no advice for step {}: {}", step, failure.getMessage());
                    offer(new PlacerEvent.AdviceFailed(requestTerm, step));
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
    public void recordTime(String name, String team, String queue, long milliseconds) {
        timeRecorder.recordTime(name, team, queue, milliseconds);
    }

    @Override
    public long wallMilliseconds() {
        return System.currentTimeMillis();
    }

    private interface PlacerAction {
        void apply(WorkPlacer activePlacer);
    }

    private void withPlacer(PlacerAction action) {
        if (placer != null) {
            action.apply(placer);
        }
    }

    /** Reads the stored jobs. The requests are read last, so that no job that was accepted earlier is missed. */
    private void load() {
        long loadTerm = term;
        nextLoadAt = Long.MAX_VALUE;
        store.list(WorkloadKeys.PROGRESS)
                .chain(progress -> store.list(WorkloadKeys.REQUESTS)
                        .map(requests -> new PlacerEvent.JobsLoaded(loadTerm, progress, requests)))
                .subscribe()
                .with(this::offer, failure -> {
                    LOGGER.info("could not read the stored jobs: {}", failure.getMessage());
                    offer(new PlacerEvent.JobsLoaded(loadTerm, null, null));
                });
    }

    private void listRequests() {
        long listTerm = term;
        store.list(WorkloadKeys.REQUESTS)
                .subscribe()
                .with(requests -> offer(new PlacerEvent.RequestsListed(listTerm, Optional.of(requests))), failure -> {
                    LOGGER.debug("could not read the requests: {}", failure.getMessage());
                    offer(new PlacerEvent.RequestsListed(listTerm, Optional.empty()));
                });
    }

    private void loaded(PlacerEvent.JobsLoaded loaded, long now) {
        if (placer != null) {
            return;
        }
        if (loaded.progress() == null || configuration == null) {
            nextLoadAt = now + LOAD_RETRY_DELAY_MILLISECONDS;
            return;
        }
        placer = new WorkPlacer(term, timings, configuration, this);
        Map<String, List<KeyValue>> progress = loaded.progress().stream()
                .collect(Collectors.groupingBy(item -> WorkloadKeys.jobOfProgress(item.key())));
        loaded.requests().stream()
                .filter(item -> WorkloadKeys.isAccepted(item.key()))
                .forEach(item -> applyRequest(placer, item, progress, now));
        loaded.requests().stream()
                .filter(item -> WorkloadKeys.isCancelled(item.key()))
                .forEach(item -> applyRequest(placer, item, progress, now));
        bufferedRequests.forEach(item -> applyRequest(placer, item, progress, now));
        bufferedRequests.clear();
        LOGGER.info(
                "placer of term {} loaded {} requests", term, loaded.requests().size());
    }

    /** Passes a request to the placer. A value that cannot be decoded is skipped and does not block the others. */
    private static void applyRequest(
            WorkPlacer activePlacer, KeyValue item, Map<String, List<KeyValue>> progress, long now) {
        if (item.value().length == 0) {
            return;
        }
        String job = WorkloadKeys.jobOf(item.key());
        try {
            if (WorkloadKeys.isCancelled(item.key())) {
                activePlacer.jobCancelled(job, now);
            } else if (WorkloadKeys.isAccepted(item.key())) {
                activePlacer.jobAccepted(
                        WorkloadJson.decodeJob(job, item.value()),
                        item.revision(),
                        storedProgress(progress.getOrDefault(job, List.of())),
                        now);
            }
        } catch (TeaselwoodException exception) {
            LOGGER.error("could not decode the value of {}: {}", item.key(), exception.getMessage());
        } catch (RuntimeException exception) {
            LOGGER.error("could not apply the value of {}", item.key(), exception);
        }
    }

    /** Decodes the stored progress of one job, empty if there is none. */
    private static Optional<StoredProgress> storedProgress(List<KeyValue> items) {
        List<StoredProgress.Chunk> chunks = items.stream()
                .flatMap(item -> WorkloadKeys.chunkOf(item.key())
                        .map(chunk -> new StoredProgress.Chunk(
                                chunk, WorkloadJson.decodeChunk(item.value()), item.revision()))
                        .stream())
                .toList();
        return items.stream()
                .filter(item -> WorkloadKeys.chunkOf(item.key()).isEmpty())
                .findFirst()
                .map(item -> new StoredProgress(WorkloadJson.decodeRecord(item.value()), item.revision(), chunks));
    }

    /** Passes on requests; buffers them while the stored jobs are read, because the result may not contain them. */
    private void requestsReceived(List<KeyValue> requests, long now) {
        if (placer == null) {
            if (term != 0) {
                bufferedRequests.addAll(requests);
            }
        } else {
            requests.forEach(item -> applyRequest(placer, item, Map.of(), now));
        }
    }

    private void messageReceived(WorkPlacer activePlacer, PlacerEvent.MessageReceived received, long now) {
        if (now > answerAgentsUntil) {
            LOGGER.debug("ignored a message from an agent: the election was not renewed in time");
            return;
        }
        AgentConnection connection = received.connection();
        switch (received.message()) {
            case WorkMessage.ServerReport report -> activePlacer.reportReceived(connection, report, now);
            case WorkMessage.OrderResult result -> activePlacer.orderAnswered(connection, result, now);
            case WorkMessage.ServerLeft left ->
                activePlacer.serverLeft(connection, left.server(), left.incarnation(), now);
            case WorkMessage order ->
                LOGGER.warn("ignored {} from an agent", order.getClass().getSimpleName());
        }
    }

    private void readRevisions(long writeTerm) {
        store.get(WorkloadKeys.PLACER)
                .chain(item -> {
                    if (item.isEmpty() || item.get().revision() != writeTerm) {
                        termListener.termLost(writeTerm);
                    }
                    return store.list(WorkloadKeys.PROGRESS);
                })
                .subscribe()
                .with(
                        items -> {
                            Map<String, Long> revisions = new HashMap<>();
                            items.forEach(item -> revisions.put(item.key(), item.revision()));
                            offer(new PlacerEvent.WriteRejected(writeTerm, revisions));
                        },
                        failure -> offer(new PlacerEvent.WriteFailed(writeTerm)));
    }
}
