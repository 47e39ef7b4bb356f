package org.teaselwood.entry.placer;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.teaselwood.entry.core.EntryContext;
import org.teaselwood.entry.core.Outbox;
import org.teaselwood.entry.core.Requester;
import org.teaselwood.entry.core.StoreCall;
import org.teaselwood.entry.core.StoreReply;
import org.teaselwood.entry.jobs.JobKeys;
import org.teaselwood.entry.jobs.JobReplicator;
import org.teaselwood.entry.jobs.TransactionBatcher;
import org.teaselwood.entry.membership.Membership;
import org.teaselwood.model.Answer;
import org.teaselwood.model.Configuration;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.JobIdentifier;
import org.teaselwood.model.Term;
import org.teaselwood.policy.Scheduler;
import org.teaselwood.protocol.message.AgentMessage;
import org.teaselwood.protocol.message.EntryMessage;
import org.teaselwood.protocol.message.EntryMessage.JobRecord;
import org.teaselwood.protocol.message.FrontReply;
import org.teaselwood.protocol.message.FrontReply.Refused;
import org.teaselwood.protocol.message.FrontRequest;

/**
 * The placer role of an entry. The entry that ranks first requests snapshots of the agents from all relays, and waits
 * for these and the job records of the key-value service, but not longer than the snapshot timeout. It then takes the
 * highest observed term plus one and becomes active. It steps down as soon as it observes a higher term. If that term
 * belongs to a higher-ranking entry, it stays passive until it ranks first; otherwise it takes over again under a
 * higher term after a delay.
 */
public final class Placer {
    private static final int MAXIMUM_QUEUED_REQUESTS = 4_096;
    private static final long RECORDS_RETRY_MILLISECONDS = 1_000;
    /** Time after which an active placer counts as stable: it is not one of two entries that displace each other. */
    private static final long STABLE_MILLISECONDS = 30_000;

    private static final int MAXIMUM_DELAY_DOUBLINGS = 3;
    private static final long SNAPSHOT_RETRY_MILLISECONDS = 500;
    private static final long EVICTION_INTERVAL_MILLISECONDS = 1_000;

    private final EntryContext context;
    private final Outbox outbox;
    private final Membership membership;
    private final JobReplicator replicator;
    private final PlacerState state;
    private final RegionCoordinator coordinator;
    /** Applies configuration changes. */
    private final BiConsumer<Requester, FrontRequest.ChangeConfiguration> configurationChangeHandler;

    private final Deque<QueuedRequest> queuedRequests = new ArrayDeque<>();
    /** Relays that have sent all their snapshots for the current term over their current connection. */
    private final Set<String> completedRelays = new TreeSet<>();
    /** Time of the last snapshot request, by relay. */
    private final Map<String, Long> snapshotRequestedAt = new TreeMap<>();

    private Role role = Role.PASSIVE;
    private Term requestedTerm = Term.NONE;
    private long collectingSince;
    private long takeoverNotBefore = Long.MIN_VALUE;
    private long activatedAt;
    private int displacements;
    private boolean readingRecords;
    private long recordsReadAt = Long.MIN_VALUE;
    /** Incremented with every change of the role, so that delayed replies of the key-value service are ignored. */
    private long roleEpoch;

    private long evictedAt = Long.MIN_VALUE;

    /** The roles of an entry with respect to placement. */
    public enum Role {
        PASSIVE,
        COLLECTING,
        ACTIVE
    }

    /** A request that was received during a takeover. Immutable. */
    private record QueuedRequest(Requester requester, FrontRequest request) {}

    /** Receiver of the placer's replies to front ends. */
    public interface Replies {
        /** Sends a reply to a front end of this or another entry. */
        void reply(Requester requester, FrontReply reply);
    }

    /** Creates a passive placer. */
    public Placer(
            EntryContext context,
            Outbox outbox,
            Membership membership,
            Supplier<Scheduler> schedulers,
            Replies replies,
            BiConsumer<Requester, FrontRequest.ChangeConfiguration> configurationChangeHandler) {
        this.configurationChangeHandler = configurationChangeHandler;
        this.context = context;
        this.outbox = outbox;
        this.membership = membership;
        this.replicator = new JobReplicator(context, outbox);
        this.state = new PlacerState(context, outbox, replicator, replies::reply);
        this.coordinator = new RegionCoordinator(state, membership, schedulers, new TransactionBatcher(context));
    }

    /**
     * Checks that the guarantees of a configuration fit on the backend servers known to this placer.
     *
     * @throws org.teaselwood.model.TeaselwoodException when they do not
     */
    public void checkGuarantees(Configuration next) {
        coordinator.scheduler().checkGuarantees(next);
    }

    /** Returns the current role. */
    public Role role() {
        return role;
    }

    /** Returns the term under which this entry is the active placer, NONE if it is not. */
    public Term term() {
        return role == Role.ACTIVE ? state.term() : Term.NONE;
    }

    /** Returns the replicator of the job table to the standby. */
    public JobReplicator replicator() {
        return replicator;
    }

    /** Returns whether all job records are written to the key-value service and replicated to the standby. */
    public boolean idle() {
        return role != Role.ACTIVE || coordinator.store().idle() && replicator.idle();
    }

    /**
     * Handles a request from a front end of this or another entry; during a takeover the request is queued.
     *
     * @return false if this entry is passive
     */
    public boolean handleRequest(Requester requester, FrontRequest request) {
        if (role == Role.ACTIVE) {
            handle(requester, request);
        } else if (role == Role.COLLECTING) {
            enqueue(requester, request);
        }
        return role != Role.PASSIVE;
    }

    /** Discards the pending requests of a caller that disconnected. */
    public void discardRequests(Requester requester) {
        queuedRequests.removeIf(request -> request.requester().equals(requester));
        coordinator.abandon(requester);
    }

    /** Handles a batch of agent messages forwarded by a relay. */
    public void agentMessagesReceived(EntryMessage.FromAgents batch) {
        batch.messages().forEach(message -> {
            if (message.message() instanceof AgentMessage.StaleTerm stale) {
                context.observeTerm(stale.highest());
            } else if (role != Role.PASSIVE) {
                coordinator.fromAgent(batch.relay(), message, role == Role.ACTIVE);
            }
        });
    }

    /** Handles snapshots of a relay's agents. */
    public void snapshotsReceived(EntryMessage.AgentSnapshots snapshots) {
        if (role != Role.PASSIVE) {
            snapshots.agents().forEach(agent -> coordinator.snapshot(snapshots.relay(), agent, role == Role.ACTIVE));
        }
    }

    /** Handles the end of a relay's snapshots, or its refusal to send them because it has observed a higher term. */
    public void snapshotsComplete(String relay, EntryMessage.SnapshotComplete message) {
        context.observeTerm(message.highest());
        if (role == Role.PASSIVE || !message.term().equals(placingTerm())) {
            return;
        }
        if (message.highest().compareTo(message.term()) <= 0) {
            completedRelays.add(relay);
        } else if (role == Role.ACTIVE) {
            // The next tick observes the higher term and steps down.
            return;
        } else if (membership.ranksAboveSelf(message.highest().entry())) {
            deactivate();
        } else {
            requestSnapshots();
        }
    }

    /** Handles a relay's report of unresponsive agents. */
    public void agentsUnresponsive(String relay, EntryMessage.UnresponsiveAgents message) {
        if (role != Role.PASSIVE && coordinator.agentsUnresponsive(relay, message)) {
            relays().forEach(this::requestSnapshot);
        }
    }

    /**
     * Handles a new connection to another entry. Its snapshots are requested again, because messages sent over an
     * earlier connection may be lost.
     */
    public void entryConnected(String entry) {
        completedRelays.remove(entry);
        if (role != Role.PASSIVE) {
            requestSnapshot(entry);
        }
    }

    /** Applies a configuration that came into force. */
    public void configurationChanged() {
        coordinator.configurationChanged(role == Role.ACTIVE);
    }

    /** Performs takeover and stepping down, and the periodic work of the active placer. */
    public void tick() {
        replicator.tick();
        List<String> ranking = membership.ranking();
        boolean first = !ranking.isEmpty() && ranking.getFirst().equals(context.self());
        if (role == Role.ACTIVE) {
            tickActive(ranking, first);
        } else if (role == Role.COLLECTING && !first) {
            deactivate();
        } else if (role == Role.COLLECTING && collectionComplete()) {
            activate();
        } else if (role == Role.PASSIVE && first && context.now() >= takeoverNotBefore) {
            startCollecting();
        }
    }

    /** Sends batched writes and replicates changed jobs to the standby. */
    public void flush() {
        if (role == Role.ACTIVE) {
            coordinator.sendDueWrites();
            String standby = membership.ranking().stream()
                    .filter(entry -> !entry.equals(context.self()))
                    .findFirst()
                    .orElse("");
            replicator.flush(standby, membership.connectionGeneration(standby), state.table());
        }
    }

    private void tickActive(List<String> ranking, boolean first) {
        Term highest = context.highestTerm();
        if (highest.compareTo(state.term()) > 0) {
            boolean above = membership.ranksAboveSelf(highest.entry());
            context.effects()
                    .log(
                            "stepping down as placer of term " + state.term() + ": observed higher term " + highest,
                            "",
                            "");
            deactivate();
            takeoverNotBefore = above || !first ? Long.MIN_VALUE : context.now() + takeoverDelay(highest.entry());
            return;
        }
        coordinator.relaysLost(membership::isAlive);
        retrySnapshotRequests();
        coordinator.tick();
        if (!state.recordsLoaded() && context.now() - RECORDS_RETRY_MILLISECONDS >= recordsReadAt) {
            readRecords();
        }
        if (context.now() - EVICTION_INTERVAL_MILLISECONDS >= evictedAt) {
            evictedAt = context.now();
            coordinator.evictExpired();
        }
    }

    /**
     * Returns the delay before this entry takes a higher term. If it cannot reach the other placer but both can reach
     * the same relays, the two would keep displacing each other, so the delay doubles with each displacement.
     */
    private long takeoverDelay(String other) {
        long delay = context.timings().suspicionMilliseconds();
        if (membership.isAlive(other)) {
            return delay;
        }
        boolean stable = context.now() - activatedAt >= STABLE_MILLISECONDS;
        displacements = stable ? 0 : Math.min(MAXIMUM_DELAY_DOUBLINGS, displacements + 1);
        return delay << displacements;
    }

    private void startCollecting() {
        role = Role.COLLECTING;
        roleEpoch++;
        collectingSince = context.now();
        state.clear();
        requestSnapshots();
        readRecords();
    }

    private void requestSnapshots() {
        requestedTerm = context.highestTerm().next(context.self());
        context.observeTerm(requestedTerm);
        completedRelays.clear();
        snapshotRequestedAt.clear();
        relays().forEach(this::requestSnapshot);
    }

    private void requestSnapshot(String relay) {
        snapshotRequestedAt.put(relay, context.now());
        outbox.toEntry(relay, new EntryMessage.SnapshotRequest(placingTerm()));
    }

    /** Requests snapshots from the relays that reconnected, and retries the requests that were not answered. */
    private void retrySnapshotRequests() {
        completedRelays.removeIf(relay -> !membership.isAlive(relay));
        relays().filter(relay -> !completedRelays.contains(relay))
                .filter(relay -> context.now() - SNAPSHOT_RETRY_MILLISECONDS
                        >= snapshotRequestedAt.getOrDefault(relay, Long.MIN_VALUE))
                .forEach(this::requestSnapshot);
    }

    private Stream<String> relays() {
        return Stream.concat(Stream.of(context.self()), membership.alive().stream());
    }

    private Term placingTerm() {
        return role == Role.ACTIVE ? state.term() : requestedTerm;
    }

    private void readRecords() {
        if (readingRecords) {
            return;
        }
        readingRecords = true;
        recordsReadAt = context.now();
        long epochAtCall = roleEpoch;
        String prefix = JobKeys.recordsOf(context.settings().region());
        context.store().call(new StoreCall.ListPrefix(prefix), reply -> {
            readingRecords = false;
            if (epochAtCall != roleEpoch) {
                recordsReadAt = Long.MIN_VALUE;
            } else if (reply instanceof StoreReply.Values values) {
                coordinator.setPendingRecords(values.values());
                state.recordsLoaded(true);
                if (role == Role.ACTIVE) {
                    coordinator.loadRecords();
                }
            }
        });
    }

    private boolean collectionComplete() {
        retrySnapshotRequests();
        boolean timedOut = context.now() - collectingSince >= context.timings().snapshotMilliseconds();
        return timedOut || relays().allMatch(completedRelays::contains) && state.recordsLoaded();
    }

    private void activate() {
        Term term = context.highestTerm().entry().equals(context.self())
                ? context.highestTerm()
                : context.highestTerm().next(context.self());
        context.observeTerm(term);
        role = Role.ACTIVE;
        activatedAt = context.now();
        state.begin(term);
        List<JobRecord> replica = List.copyOf(replicator.replica());
        Map<JobIdentifier, Answer> answers = Map.copyOf(replicator.replicaAnswers());
        replicator.dropReplica();
        replicator.begin(term);
        context.effects().log("active as placer of term " + term, "", "");
        coordinator.begin(replica, answers);
        List<QueuedRequest> requests = List.copyOf(queuedRequests);
        queuedRequests.clear();
        requests.forEach(request -> handle(request.requester(), request.request()));
    }

    private void deactivate() {
        if (role == Role.ACTIVE) {
            replicator.retain(state.term(), coordinator.records(), state.table());
            replicator.end();
            coordinator.end();
        }
        role = Role.PASSIVE;
        roleEpoch++;
        state.clear();
        List<QueuedRequest> requests = List.copyOf(queuedRequests);
        queuedRequests.clear();
        requests.forEach(request -> state.reply(request.requester(), Refused.of(ErrorKind.NO_PLACER)));
    }

    private void handle(Requester requester, FrontRequest request) {
        if (request instanceof FrontRequest.ChangeConfiguration change) {
            configurationChangeHandler.accept(requester, change);
        } else {
            coordinator.request(requester, request);
        }
    }

    private void enqueue(Requester requester, FrontRequest request) {
        queuedRequests.removeIf(earlier -> earlier.requester().equals(requester));
        if (queuedRequests.size() >= MAXIMUM_QUEUED_REQUESTS) {
            state.reply(
                    requester,
                    Refused.of(ErrorKind.OVERLOADED, "too many requests queued during a takeover of the placer"));
        } else {
            queuedRequests.add(new QueuedRequest(requester, request));
        }
    }
}
