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
 * The agents connected to this entry. The relay answers heartbeats, keeps the last state of each agent and forwards
 * changes to the placer that last asked for snapshots under the highest term. A placer that lost messages asks for
 * snapshots again, so nothing is queued for a placer that is not connected.
 */
public final class AgentRelay {
    private static final int MAXIMUM_AGENTS = 4_096;
    private static final int SNAPSHOT_BYTES = 256 * 1024;
    private static final long REPORT_MILLISECONDS = 1_000;

    private final EntryContext context;
    private final Outbox outbox;
    private final Membership membership;
    private final Map<String, Connected> agents = new TreeMap<>();
    private final Map<Long, String> serverOfLink = new HashMap<>();
    private String placer = "";
    private Term placerTerm = Term.NONE;
    private long reportedAt = Long.MIN_VALUE;

    /** A relay without agents. */
    public AgentRelay(EntryContext context, Outbox outbox, Membership membership) {
        this.context = context;
        this.outbox = outbox;
        this.membership = membership;
    }

    /** A message arrived on a connection that does not belong to an entry. */
    public void received(long link, AgentMessage message) {
        if (message instanceof AgentMessage.AgentHello hello) {
            greeted(link, hello);
            return;
        }
        Connected agent = agents.get(serverOfLink.getOrDefault(link, ""));
        if (agent == null) {
            context.effects().closeLink(link);
            return;
        }
        agent.heardAt = context.now();
        if (agent.reportedSilent) {
            agent.reportedSilent = false;
            forward(agent, agent.state.hello());
        }
        if (message instanceof AgentMessage.AgentHeartbeat heartbeat) {
            context.effects().send(link, new AgentCommand.HeartbeatReply(heartbeat.sequence()));
            return;
        }
        agent.state.apply(message);
        forward(agent, message);
    }

    /** A connection closed. */
    public void closed(long link) {
        Connected agent = agents.get(Objects.requireNonNullElse(serverOfLink.remove(link), ""));
        if (agent != null && agent.link == link) {
            agent.open = false;
            reportedAt = Long.MIN_VALUE;
        }
    }

    /** A placer, or an entry that is about to become placer, asks for snapshots. */
    public void snapshotsRequested(String entry, Term term) {
        Term highest = agents.values().stream().map(agent -> agent.state.term()).reduce(placerTerm, AgentRelay::higher);
        if (term.compareTo(placerTerm) >= 0) {
            placer = entry;
            placerTerm = term;
            sendSnapshots(entry);
        }
        outbox.toEntry(entry, new EntryMessage.SnapshotComplete(term, higher(highest, context.highestTerm())));
    }

    /** Commands of a placer arrived. */
    public void commanded(String entry, EntryMessage.ToAgents batch) {
        if (batch.term().compareTo(placerTerm) < 0) {
            AgentMessage refusal = new AgentMessage.StaleTerm(batch.term(), placerTerm);
            outbox.fromAgent(entry, new FromAgent("", "", refusal));
            return;
        }
        placer = entry;
        placerTerm = batch.term();
        Set<String> missing = new TreeSet<>();
        batch.commands().stream()
                .filter(command -> !command(command, batch.term()))
                .forEach(command -> missing.add(command.server()));
        if (!missing.isEmpty()) {
            outbox.toEntry(
                    entry,
                    new EntryMessage.UnresponsiveAgents(
                            missing.stream().map(this::missingAgent).toList()));
        }
    }

    /** Reports silent agents to the placer and drops those that are gone. */
    public void tick() {
        if (context.now() - REPORT_MILLISECONDS < reportedAt) {
            return;
        }
        reportedAt = context.now();
        long suspect = context.timings().agentSuspectMilliseconds();
        List<Connected> quiet = agents.values().stream()
                .filter(agent -> !agent.open || silence(agent) >= suspect)
                .toList();
        quiet.forEach(agent -> agent.reportedSilent = true);
        List<EntryMessage.UnresponsiveAgent> silent = quiet.stream()
                .map(agent -> new EntryMessage.UnresponsiveAgent(
                        agent.state.server().name(), agent.state.incarnation(), silence(agent)))
                .toList();
        if (!silent.isEmpty() && !placer.isEmpty()) {
            outbox.toEntry(placer, new EntryMessage.UnresponsiveAgents(silent));
        }
        agents.values().stream()
                .filter(agent ->
                        agent.open && silence(agent) >= context.timings().agentLostMilliseconds())
                .forEach(agent -> {
                    agent.open = false;
                    context.effects().closeLink(agent.link);
                });
        long dropped = 3 * context.timings().agentLostMilliseconds();
        agents.values().removeIf(agent -> !agent.open && silence(agent) >= dropped);
    }

    /** Tells the agents the entries of the region. */
    public void entriesChanged() {
        open().forEach(agent -> context.effects().send(agent.link, welcome()));
    }

    /** Tells the agents the service state of their backend servers. */
    public void configurationChanged() {
        open().forEach(this::sendServiceState);
    }

    /** Tells the agents to move to another entry. */
    public void leave() {
        open().forEach(agent -> context.effects().send(agent.link, new AgentCommand.EntryLeaving()));
    }

    /** Whether no agent is connected. */
    public boolean isEmpty() {
        return open().isEmpty();
    }

    private void greeted(long link, AgentMessage.AgentHello hello) {
        String name = hello.server().name();
        boolean full = !agents.containsKey(name) && agents.size() >= MAXIMUM_AGENTS;
        if (full || !hello.server().region().equals(context.settings().region())) {
            context.effects().closeLink(link);
            return;
        }
        Connected earlier = agents.get(name);
        if (earlier != null && earlier.open && earlier.link != link) {
            serverOfLink.remove(earlier.link);
            context.effects().closeLink(earlier.link);
        }
        Connected agent = new Connected(link, new AgentState(hello), context.now());
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

    /** An agent that is not connected here; the placer looks for it elsewhere. */
    private EntryMessage.UnresponsiveAgent missingAgent(String server) {
        Connected agent = agents.get(server);
        return agent == null
                ? new EntryMessage.UnresponsiveAgent(server, "", 0)
                : new EntryMessage.UnresponsiveAgent(server, agent.state.incarnation(), silence(agent));
    }

    private boolean command(EntryMessage.ToAgent command, Term term) {
        Connected agent = agents.get(command.server());
        if (agent == null || !agent.open) {
            return false;
        }
        if (command.command() instanceof AgentCommand.Hold hold) {
            agent.state.holdSent(new PartKey(hold.attempt(), hold.part()), hold.specification());
        } else if (command.command() instanceof AgentCommand.ForgetAttempt forget) {
            agent.state.forget(forget.attempt());
        }
        agent.state.observeTerm(term);
        context.effects().send(agent.link, command.command());
        return true;
    }

    private void forward(Connected agent, AgentMessage message) {
        if (!placer.isEmpty()) {
            outbox.fromAgent(placer, fromAgent(agent, message));
        }
    }

    private void sendSnapshots(String entry) {
        List<FromAgent> batch = new ArrayList<>();
        int bytes = 0;
        // A silent agent is sent as soon as it is heard again; in a snapshot it would count as heard.
        List<Connected> heard =
                open().stream().filter(agent -> !agent.reportedSilent).toList();
        for (Connected agent : heard) {
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

    private void sendServiceState(Connected agent) {
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

    private List<Connected> open() {
        return agents.values().stream().filter(agent -> agent.open).toList();
    }

    private long silence(Connected agent) {
        return context.now() - agent.heardAt;
    }

    private static FromAgent fromAgent(Connected agent, AgentMessage message) {
        return new FromAgent(agent.state.server().name(), agent.state.incarnation(), message);
    }

    private static Term higher(Term first, Term second) {
        return first.compareTo(second) >= 0 ? first : second;
    }

    /** An agent with its connection. Confined to the relay. */
    private static final class Connected {
        private final long link;
        private final AgentState state;
        private long heardAt;
        private boolean open = true;
        private boolean reportedSilent;

        Connected(long link, AgentState state, long now) {
            this.link = link;
            this.state = state;
            this.heardAt = now;
        }
    }
}
