package org.teaselwood.agent.core;

import java.util.List;
import org.teaselwood.model.BackendServer;
import org.teaselwood.model.PartPhase;
import org.teaselwood.protocol.message.AgentCommand;
import org.teaselwood.protocol.message.AgentMessage;
import org.teaselwood.protocol.message.AgentMessage.HeldPart;

/**
 * Manages one backend server: its accelerators, slots, cores and memory, the parts that hold them and their tasks at
 * the worker. A deterministic state machine: {@link #handle} takes one event with the current time and calls {@link
 * AgentEffects}. It has no clock, thread or I/O; equal events at equal times give equal effects. Not thread-safe.
 *
 * <p>Usage: create a core for every start of the agent process, each with a new incarnation; pass it {@link
 * AgentEvent.ProcessStarted}, then events in any order with non-decreasing times, and an {@link AgentEvent.Tick} about
 * every 100 ms.
 *
 * <p>Invariants: a part runs at most once, and only after Hold, Commit (for an attempt of several parts) and Start of
 * the highest term seen; resources are never granted twice; a part that was reported as released never starts; nothing
 * is reported while the state of the worker is unknown. Expired holds and leases are processed before each event, so
 * that a command that arrives after a pause of the process is applied to the state as it is after the pause.
 */
public final class AgentCore {
    private final BackendServer server;
    private final String incarnation;
    private final AgentEffects effects;
    private final EntryLink link;
    private final PartTable parts;
    private final AnswerSender answers;
    private final WorkerDriver worker;
    private final CommandHandler commands;
    private boolean drained;

    /**
     * Creates a core in its initial state.
     *
     * @param server description of the backend server
     * @param incarnation differs for every start of the agent process
     * @param effects receives the effects of every event
     */
    public AgentCore(BackendServer server, String incarnation, AgentEffects effects) {
        this.server = server;
        this.incarnation = incarnation;
        this.effects = effects;
        this.link = new EntryLink(effects);
        this.parts = new PartTable(server, link);
        this.answers = new AnswerSender(parts, link);
        this.worker = new WorkerDriver(parts, answers, effects, incarnation);
        this.commands = new CommandHandler(server.name(), parts, worker, answers, link);
    }

    /**
     * Handles one event.
     *
     * @param now monotonic time in milliseconds, non-decreasing from call to call
     */
    public void handle(AgentEvent event, long now) {
        expire(now);
        switch (event) {
            case AgentEvent.ProcessStarted ignored -> worker.readState(now);
            case AgentEvent.ConnectionOpened opened -> link.opened(opened.link());
            case AgentEvent.ConnectionClosed closed -> link.closed(closed.link());
            case AgentEvent.CommandReceived received
            when link.isCurrent(received.link()) -> received(received.command(), now);
            case AgentEvent.CommandReceived ignored -> effects.log("ignored a command of a replaced connection", "");
            case AgentEvent.WorkerReplied replied -> worker.replied(replied.token(), replied.reply(), now);
            case AgentEvent.ShutdownRequested ignored -> startShutdown(now);
            case AgentEvent.Tick ignored -> tick(now);
        }
        sendHello(now);
        checkDrained(now);
    }

    /** Returns every part that AgentHello reports, fenced parts included, in a fixed order; for status and tests. */
    public List<HeldPart> parts() {
        return parts.heldParts();
    }

    /** Returns whether new holds are refused because the agent is shutting down or the server is not in service. */
    public boolean refusesNewWork() {
        return commands.refusesNewWork();
    }

    private void expire(long now) {
        if (worker.leaseExpired(now)) {
            effects.log("a task lease may have expired; reading the state of the worker", "");
            link.close();
            worker.readState(now);
        }
        parts.fences().expire(now);
        parts.all().stream()
                .filter(part -> part.phase == PartPhase.HELD || part.phase == PartPhase.COMMITTED)
                .filter(part -> now >= part.deadline || part.phase == PartPhase.HELD && commands.holdsExpired(now))
                .toList()
                .forEach(part -> {
                    effects.log("hold or commit expired; releasing the part", part.job());
                    parts.fence(part.task.attempt(), null, now);
                });
    }

    private void received(AgentCommand command, long now) {
        link.recordReceived(now);
        switch (command) {
            case AgentCommand.Welcome welcome -> effects.entriesReceived(welcome.entry(), welcome.entries());
            case AgentCommand.HeartbeatReply ignored -> {
                // The time of its arrival was recorded above.
            }
            case AgentCommand.EntryLeaving ignored -> effects.connectToAnotherEntry();
            case AgentCommand other when link.isHelloSent() -> commands.handle(other, now);
            case AgentCommand ignored -> effects.log("ignored a command that arrived before AgentHello was sent", "");
        }
    }

    private void startShutdown(long now) {
        if (!commands.isShuttingDown()) {
            commands.startShutdown(now);
            link.send(new AgentMessage.AgentLeaving());
        }
    }

    private void tick(long now) {
        worker.tick(now);
        link.tick(now);
        answers.tick(now);
    }

    private void sendHello(long now) {
        if (!link.needsHello() || !worker.isStateKnown()) {
            return;
        }
        link.sendHello(
                new AgentMessage.AgentHello(
                        server,
                        incarnation,
                        commands.term(),
                        commands.configurationRevision(),
                        commands.isShuttingDown(),
                        parts.heldParts()),
                now);
        answers.resendAll();
        if (commands.isShuttingDown()) {
            link.send(new AgentMessage.AgentLeaving());
        }
    }

    /**
     * Signals once that the graceful shutdown has drained the agent. Answers are kept until they are forgotten; other
     * finished parts are kept for at most {@link AgentTimings#SHUTDOWN_FORGET_TIMEOUT_MILLISECONDS}.
     */
    private void checkDrained(long now) {
        if (!commands.isShuttingDown() || drained || !worker.isStateKnown() && !worker.hasTimedOut(now)) {
            return;
        }
        boolean finished = parts.all().stream()
                .allMatch(part -> !part.phase.holdsResources()
                        && part.phase != PartPhase.SUCCEEDED
                        && now - part.phaseChangedAt >= AgentTimings.SHUTDOWN_FORGET_TIMEOUT_MILLISECONDS);
        if (finished) {
            drained = true;
            effects.drained();
        }
    }
}
