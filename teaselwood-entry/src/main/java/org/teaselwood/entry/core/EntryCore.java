package org.teaselwood.entry.core;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Supplier;
import org.teaselwood.entry.membership.Membership;
import org.teaselwood.entry.placer.Placer;
import org.teaselwood.entry.relay.AgentRelay;
import org.teaselwood.model.Configuration;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.policy.Scheduler;
import org.teaselwood.protocol.message.AgentMessage;
import org.teaselwood.protocol.message.EntryMessage;
import org.teaselwood.protocol.message.FrontReply;
import org.teaselwood.protocol.message.FrontReply.Refused;
import org.teaselwood.protocol.message.FrontRequest;
import org.teaselwood.protocol.message.Message;

/**
 * State machine of an entry: membership, relay, placer and the requests of its front ends. Deterministic, without
 * clock, thread or I/O; confined to one thread. Messages of the entry to itself are handled within the same event.
 */
public final class EntryCore {
    private final EntryContext context;
    private final Membership membership;
    private final Outbox outbox;
    private final AgentRelay relay;
    private final Placer placer;
    private final RequestForwarder forwarder;
    private final ConfigurationAdapter configuration;
    /** Open connections; a message that arrives after its connection was closed is ignored. */
    private final Set<Long> openLinks = new HashSet<>();
    /** Connections that belong to agents. */
    private final Set<Long> agentLinks = new HashSet<>();

    private boolean announcedReady;
    private long shutdownStartedAt;
    private boolean drained;

    /** Creates a core that knows no other entry and no agent. */
    public EntryCore(EntryCoreSettings settings, Supplier<Scheduler> schedulers, EntryEffects effects) {
        context = new EntryContext(settings, effects);
        membership = new Membership(context);
        outbox = new Outbox(context, membership);
        relay = new AgentRelay(context, outbox, membership);
        placer = new Placer(context, outbox, membership, schedulers, this::replyTo, this::changeConfiguration);
        configuration = new ConfigurationAdapter(context, outbox, this::replyTo, this::apply, placer::checkGuarantees);
        forwarder = new RequestForwarder(context, outbox, membership, placer);
    }

    /**
     * Handles one event.
     *
     * @param nowMilliseconds monotonic time of the event in milliseconds; must not decrease
     */
    public void handle(EntryEvent event, long nowMilliseconds) {
        context.advance(nowMilliseconds);
        switch (event) {
            case EntryEvent.ConnectionAccepted accepted -> openLinks.add(accepted.link());
            case EntryEvent.ConnectionOpened opened -> {
                openLinks.add(opened.link());
                membership.connected(opened.link());
            }
            case EntryEvent.ConnectFailed ignored -> {}
            case EntryEvent.MessageReceived received
            when openLinks.contains(received.link()) -> received(received.link(), received.message());
            case EntryEvent.MessageReceived ignored -> {}
            case EntryEvent.ConnectionClosed closed -> closed(closed.link());
            case EntryEvent.RequestReceived requested -> requested(requested.token(), requested.request());
            case EntryEvent.RequestAbandoned abandoned -> forwarder.abandoned(abandoned.token());
            case EntryEvent.StoreReplied replied -> context.store().replied(replied.token(), replied.reply());
            case EntryEvent.ConfigurationMayHaveChanged ignored -> configuration.mayHaveChanged();
            case EntryEvent.ShutdownRequested ignored -> startShutdown();
            case EntryEvent.Tick ignored -> tick();
        }
        flushMessages();
    }

    /** Applies a configuration if its revision is higher than that of the one in force. */
    public void applyConfiguration(Configuration newer, long nowMilliseconds) {
        context.advance(nowMilliseconds);
        configuration.adopt(newer);
        flushMessages();
    }

    /** Returns whether this entry is the active placer; for tests and the status page. */
    public boolean placing() {
        return placer.role() == Placer.Role.ACTIVE;
    }

    private void apply(Configuration newer) {
        context.apply(newer);
        relay.configurationChanged();
        placer.configurationChanged();
    }

    private void changeConfiguration(Requester requester, FrontRequest.ChangeConfiguration request) {
        configuration.change(requester, request);
    }

    private void tick() {
        context.store().tick(context.now());
        configuration.tick();
        context.configurationProblem(configuration.notReadyReason().orElse(""));
        if (membership.tick()) {
            relay.entriesChanged();
        }
        relay.tick();
        placer.tick();
        forwarder.tick();
        announceReadiness();
        if (context.leaving()) {
            finishShutdownIfDrained();
        }
    }

    /** Handles the messages of the entry to itself, then sends the batches that are due. */
    private void flushMessages() {
        handleLocalMessages();
        placer.flush();
        handleLocalMessages();
        if (outbox.batchesDue()) {
            outbox.flush();
            handleLocalMessages();
        }
    }

    private void handleLocalMessages() {
        EntryMessage message = nextLocalMessage();
        while (message != null) {
            fromEntry(context.self(), message);
            message = nextLocalMessage();
        }
    }

    private EntryMessage nextLocalMessage() {
        outbox.flushLocal();
        return outbox.nextLocalMessage();
    }

    private void received(long link, Message message) {
        switch (message) {
            case EntryMessage.EntryHello hello -> {
                if (!agentLinks.contains(link) && membership.helloReceived(link, hello)) {
                    placer.entryConnected(hello.address().entry());
                }
            }
            case EntryMessage entryMessage ->
                membership
                        .entryOf(link)
                        .ifPresentOrElse(
                                entry -> fromEntry(entry, entryMessage),
                                () -> context.effects().closeConnection(link));
            case AgentMessage agentMessage
            when membership.entryOf(link).isEmpty() -> {
                agentLinks.add(link);
                if (agentMessage instanceof AgentMessage.AgentHello hello) {
                    configuration.agentReported(hello.configurationRevision());
                }
                relay.received(link, agentMessage);
            }
            default -> context.effects().closeConnection(link);
        }
    }

    private void closed(long link) {
        openLinks.remove(link);
        if (agentLinks.remove(link)) {
            relay.closed(link);
        } else {
            membership.closed(link);
        }
    }

    private void fromEntry(String entry, EntryMessage message) {
        switch (message) {
            case EntryMessage.EntryHello ignored -> {}
            case EntryMessage.EntryHeartbeat heartbeat -> {
                membership.heartbeatReceived(entry, heartbeat);
                configuration.peerReported(entry, heartbeat.configurationRevision());
            }
            case EntryMessage.KnownEntries known -> membership.knownEntriesReceived(known.entries());
            case EntryMessage.FromAgents batch -> placer.agentMessagesReceived(batch);
            case EntryMessage.AgentSnapshots snapshots -> placer.snapshotsReceived(snapshots);
            case EntryMessage.SnapshotComplete complete -> placer.snapshotsComplete(entry, complete);
            case EntryMessage.SnapshotRequest request -> {
                context.observeTerm(request.term());
                relay.snapshotsRequested(entry, request.term());
            }
            case EntryMessage.UnresponsiveAgents unresponsive -> placer.agentsUnresponsive(entry, unresponsive);
            case EntryMessage.ToAgents commands -> {
                context.observeTerm(commands.term());
                relay.commandsReceived(entry, commands);
            }
            case EntryMessage.ForwardedRequest forwarded -> forwarded(entry, forwarded);
            case EntryMessage.ForwardedReply reply -> forwarder.replied(entry, reply.token(), reply.reply());
            case EntryMessage.ForwardedRequestAbandoned abandoned ->
                placer.discardRequests(new Requester(entry, abandoned.token()));
            case EntryMessage.JobTableChange change -> {
                context.observeTerm(change.term());
                placer.replicator().received(entry, change);
            }
            case EntryMessage.FinishedJob finished -> placer.replicator().received(finished);
            case EntryMessage.JobTableAcknowledged acknowledged ->
                placer.replicator().acknowledged(entry, acknowledged);
            case EntryMessage.JobRecord ignored -> {}
            case EntryMessage.KeyClaim ignored -> {}
            case EntryMessage.ConfigurationRequest request -> configuration.peerMessage(entry, request);
            case EntryMessage.ConfigurationDocument document -> configuration.peerMessage(entry, document);
        }
    }

    private void forwarded(String entry, EntryMessage.ForwardedRequest message) {
        Requester requester = new Requester(entry, message.token());
        if (!placer.handleRequest(requester, message.request())) {
            replyTo(requester, Refused.of(ErrorKind.NO_PLACER));
        }
    }

    private void requested(long token, FrontRequest request) {
        switch (request) {
            case FrontRequest.QueryConfiguration ignored ->
                context.effects().reply(token, new FrontReply.ConfigurationReply(context.configuration()));
            default -> {
                if (context.ready()) {
                    forwarder.requested(token, request);
                } else {
                    context.effects().reply(token, Refused.of(ErrorKind.NOT_READY, context.notReadyReason()));
                }
            }
        }
    }

    private void replyTo(Requester requester, FrontReply reply) {
        if (requester.entry().equals(context.self())) {
            forwarder.replied(requester.entry(), requester.token(), reply);
        } else {
            outbox.toEntry(requester.entry(), new EntryMessage.ForwardedReply(requester.token(), reply));
        }
    }

    private void announceReadiness() {
        boolean ready = context.ready() && !context.leaving();
        if (ready != announcedReady) {
            announcedReady = ready;
            membership.sendHeartbeats();
            String reason = context.leaving() ? "stopping" : context.notReadyReason();
            context.effects().readinessChanged(ready, reason);
        }
    }

    /**
     * Starts the graceful shutdown. The standby is brought up to date before the other entries and the agents learn
     * that this entry is leaving.
     */
    private void startShutdown() {
        if (context.leaving()) {
            return;
        }
        flushMessages();
        context.markLeaving();
        shutdownStartedAt = context.now();
        announceReadiness();
        membership.sendHeartbeats();
        relay.sendEntryLeaving();
        forwarder.replaceWaitsByQueries();
    }

    private void finishShutdownIfDrained() {
        boolean timedOut =
                context.now() - shutdownStartedAt >= context.timings().leavingMilliseconds();
        boolean noSuccessor = membership.ranking().isEmpty();
        boolean handedOver = noSuccessor || placer.role() == Placer.Role.PASSIVE;
        boolean done = forwarder.isEmpty() && placer.idle() && handedOver && (noSuccessor || relay.isEmpty());
        if (!drained && (timedOut || done)) {
            drained = true;
            forwarder.refuseAll();
            outbox.flush();
            context.effects().drained();
        }
    }
}
