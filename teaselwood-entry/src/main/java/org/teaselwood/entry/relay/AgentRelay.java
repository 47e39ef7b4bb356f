package org.teaselwood.entry.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.teaselwood.entry.core.EntryContext;
import org.teaselwood.entry.core.Outbox;
import org.teaselwood.entry.membership.Membership;
import org.teaselwood.model.Term;
import org.teaselwood.protocol.message.AgentCommand;
import org.teaselwood.protocol.message.AgentMessage;
import org.teaselwood.protocol.message.EntryMessage;
import org.teaselwood.protocol.message.EntryMessage.FromAgent;

/**
 * Relay between the agents connected to this entry and the placer. It answers heartbeats, keeps the last state
 * of each agent and forwards changes to the placer that requested snapshots under the highest term. A placer
 * that lost messages requests snapshots again, so that nothing is queued for a placer that is not connected.
 * Confined to the core's thread.
 */
public final class AgentRelay {
    private static final int MAXIMUM_AGENTS = 4_096;
    private static final int SNAPSHOT_BYTES = 256 * 1024;
    private static final long REPORT_MILLISECONDS = 1_000;

    private final EntryContext context;
    private final Outbox outbox;
    private final Membership membership;
    private final Map<String, ConnectedAgent> agents = new TreeMap<>();
    private final Map<Long, String> serverOfLink = new HashMap<>();
    private String placer = "";
    private Term placerTerm = Term.NONE;
    private long reportedAt = Long.MIN_VALUE;

    /** Creates a relay without agents. */
    public AgentRelay(EntryContext context, Outbox outbox, Membership membership) {
        this.context = context;
        this.outbox = outbox;
        this.membership = membership;
    }

    /** Handles a message of a connection that does not belong to an entry. */
    public void received(long link, AgentMessage message) {
        if (message instanceof AgentMessage.AgentHello hello) {
            helloReceived(link, hello);
            return;
        }
        ConnectedAgent agent = agents.get(serverOfLink.getOrDefault(link, ""));
        if (agent == null) {
            context.effects().closeConnection(link);
            return;
        }
        agent.lastContactAt = context.now();
        if (agent.reportedUnresponsive) {
            agent.reportedUnresponsive = false;
            forward(agent, agent.state.hello());
        }
        if (message instanceof AgentMessage.AgentHeartbeat heartbeat) {
            context.effects().send(link, new AgentCommand.HeartbeatReply(heartbeat.sequence()));
            return;
        }
        agent.state.apply(message);
        forward(agent, message);
    }

    /** Marks the agent of a closed connection as disconnected. */
    public void closed(long link) {
        ConnectedAgent agent = agents.get(Objects.requireNonNullElse(serverOfLink.remove(link), ""));
        if (agent != null && agent.link == link) {
            agent.open = false;
            reportedAt = Long.MIN_VALUE;
        }
    }

    /**
     * Sends snapshots to a placer, or to an entry that is about to become placer, unless a higher term was seen here.
     */
    public void snapshotsRequested(String entry, Term term) {
        Term highest = agents.values().stream().map(agent -> agent.state.term()).reduce(placerTerm, AgentRelay::higher);
        if (term.compareTo(placerTerm) >= 0) {
            placer = entry;
            placerTerm = term;
            sendSnapshots(entry);
        }
        outbox.toEntry(entry, new EntryMessage.SnapshotComplete(term, higher(highest, context.highestTerm())));
    }

    /**
     * Forwards commands of a placer to the agents and reports the agents that are not connected here. Commands of a
     * stale term are rejected.
     */
    public void commandsReceived(String entry, EntryMessage.ToAgents batch) {
        if (batch.term().compareTo(placerTerm) < 0) {
            AgentMessage refusal = new AgentMessage.StaleTerm(batch.term(), placerTerm);
            outbox.fromAgent(entry, new FromAgent("", "", refusal));
            return;
        }
        placer = entry;
        placerTerm = batch.term();
        Set<String> missing = new TreeSet<>();
        batch.commands().stream()
                .filter(command -> !send(command, batch.term()))
                .forEach(command -> missing.add(command.server()));
        if (!missing.isEmpty()) {
            outbox.toEntry(
                    entry,
                    new EntryMessage.UnresponsiveAgents(
                            missing.stream().map(this::reportMissing).toList()));
        }
    }

    /**
     * Reports unresponsive agents to the placer, closes the connections of lost ones and removes agents without contact
     * for three times as long.
     */
    public void tick() {
        if (context.now() - REPORT_MILLISECONDS < reportedAt) {
            return;
        }
        reportedAt = context.now();
        long suspectMilliseconds = context.timings().agentSuspectMilliseconds();
        List<ConnectedAgent> unresponsive = agents.values().stream()
                .filter(agent -> !agent.open || sinceLastContact(agent) >= suspectMilliseconds)
                .toList();
        unresponsive.forEach(agent -> agent.reportedUnresponsive = true);
        List<EntryMessage.UnresponsiveAgent> reports = unresponsive.stream()
                .map(agent -> new EntryMessage.UnresponsiveAgent(
                        agent.state.server().name(), agent.state.incarnation(), sinceLastContact(agent)))
                .toList();
        if (!reports.isEmpty() && !placer.isEmpty()) {
            outbox.toEntry(placer, new EntryMessage.UnresponsiveAgents(reports));
        }
        agents.values().stream()
                .filter(agent -> agent.open
                        && sinceLastContact(agent) >= context.timings().agentLostMilliseconds())
                .forEach(agent -> {
                    agent.open = false;
                    context.effects().closeConnection(agent.link);
                });
        long removalMilliseconds = 3 * context.timings().agentLostMilliseconds();
        agents.values().removeIf(agent -> !agent.open && sinceLastContact(agent) >= removalMilliseconds);
    }

    /** Sends the addresses of the entries of the region to the agents. */
    public void entriesChanged() {
        connectedAgents().forEach(agent -> context.effects().send(agent.link, welcome()));
    }

    /** Sends the service state of their backend servers to the agents. */
    public void configurationChanged() {
        connectedAgents().forEach(this::sendServiceState);
    }

    /** Asks the agents to connect to another entry. */
    public void sendEntryLeaving() {
        connectedAgents().forEach(agent -> context.effects().send(agent.link, new AgentCommand.EntryLeaving()));
    }

    /** Returns whether no agent is connected. */
    public boolean isEmpty() {
        return connectedAgents().isEmpty();
    }

    private void helloReceived(long link, AgentMessage.AgentHello hello) {
        String name = hello.server().name();
        boolean full = !agents.containsKey(name) && agents.size() >= MAXIMUM_AGENTS;
        if (full || !hello.server().region().equals(context.settings().region())) {
            context.effects().closeConnection(link);
            return;
        }
        ConnectedAgent earlier = agents.get(name);
        if (earlier != null && earlier.open && earlier.link != link) {
            serverOfLink.remove(earlier.link);
            context.effects().closeConnection(earlier.link);
        }
        ConnectedAgent agent = new ConnectedAgent(link, new AgentState(hello), context.now());
        agents.put(name, agent);
        serverOfLink.put(link, name);
        context.observeTerm(hello.term());
        context.effects().send(link, welcome());
        sendServiceState(agent);
        forward(agent, hello);
        if (context.leaving()) {
            context.effects().send(link, new AgentCommand.EntryLeaving());
        }
    }

    /** Returns the report on an agent that is not connected here, so that the placer looks for it at other entries. */
    private EntryMessage.UnresponsiveAgent reportMissing(String server) {
        ConnectedAgent agent = agents.get(server);
        return agent == null
                ? new EntryMessage.UnresponsiveAgent(server, "", 0)
                : new EntryMessage.UnresponsiveAgent(server, agent.state.incarnation(), sinceLastContact(agent));
    }

    private boolean send(EntryMessage.ToAgent command, Term term) {
        ConnectedAgent agent = agents.get(command.server());
        if (agent == null || !agent.open) {
            return false;
        }
        if (command.command() instanceof AgentCommand.Hold hold) {
            agent.state.holdSent(new PartKey(hold.attempt(), hold.part()), hold.specification());
        } else if (command.command() instanceof AgentCommand.ForgetAttempt forget) {
            agent.state.discardAttempt(forget.attempt());
        }
        agent.state.observeTerm(term);
        context.effects().send(agent.link, command.command());
        return true;
    }

    private void forward(ConnectedAgent agent, AgentMessage message) {
        if (!placer.isEmpty()) {
            outbox.fromAgent(placer, fromAgent(agent, message));
        }
    }

    private void sendSnapshots(String entry) {
        List<FromAgent> batch = new ArrayList<>();
        int bytes = 0;
        // An unresponsive agent is left out, because being in a snapshot counts as contact; its state is forwarded with
        // its next message.
        List<ConnectedAgent> responsive = connectedAgents().stream()
                .filter(agent -> !agent.reportedUnresponsive)
                .toList();
        for (ConnectedAgent agent : responsive) {
            AgentMessage hello = agent.state.hello();
            batch.add(fromAgent(agent, hello));
            bytes += Outbox.sizeOf(hello);
            if (bytes >= SNAPSHOT_BYTES) {
                outbox.toEntry(entry, new EntryMessage.AgentSnapshots(context.self(), List.copyOf(batch)));
                batch.clear();
                bytes = 0;
            }
        }
        outbox.toEntry(entry, new EntryMessage.AgentSnapshots(context.self(), List.copyOf(batch)));
    }

    private void sendServiceState(ConnectedAgent agent) {
        long revision = context.configuration().revision();
        agent.state.observeRevision(revision);
        String name = agent.state.server().name();
        context.effects()
                .send(
                        agent.link,
                        new AgentCommand.ServiceStateChanged(
                                revision, context.configuration().stateOf(name)));
    }

    private AgentCommand welcome() {
        return new AgentCommand.Welcome(context.self(), membership.addresses());
    }

    private List<ConnectedAgent> connectedAgents() {
        return agents.values().stream().filter(agent -> agent.open).toList();
    }

    private long sinceLastContact(ConnectedAgent agent) {
        return context.now() - agent.lastContactAt;
    }

    private static FromAgent fromAgent(ConnectedAgent agent, AgentMessage message) {
        return new FromAgent(agent.state.server().name(), agent.state.incarnation(), message);
    }

    private static Term higher(Term first, Term second) {
        return first.compareTo(second) >= 0 ? first : second;
    }

    /** Agent with its connection. Confined to the relay. */
    private static final class ConnectedAgent {
        private final long link;
        private final AgentState state;
        private long lastContactAt;
        private boolean open = true;
        private boolean reportedUnresponsive;

        ConnectedAgent(long link, AgentState state, long now) {
            this.link = link;
            this.state = state;
            this.lastContactAt = now;
        }
    }
}
