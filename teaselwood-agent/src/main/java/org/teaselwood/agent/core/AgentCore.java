package org.teaselwood.agent.core;

import java.util.List;
import org.teaselwood.model.BackendServer;
import org.teaselwood.model.PartPhase;
import org.teaselwood.protocol.message.AgentCommand;
import org.teaselwood.protocol.message.AgentMessage;
import org.teaselwood.protocol.message.AgentMessage.HeldPart;

/**
 * Owns one backend server: its accelerators, slots, cores and memory, the parts that hold them and their tasks at the
 * worker. A pure state machine: {@link #handle} takes one event with the present time and calls {@link AgentEffects}.
 * It holds no clock, thread or I/O, and the same events at the same times give the same effects. Not thread-safe.
 *
 * <p>Use: make a core for every start of the agent process, each with another incarnation; hand it {@link
 * AgentEvent.ProcessStarted}, then events in any order with times that never fall, and a {@link AgentEvent.Tick} about
 * every 100 ms.
 *
 * <p>Invariants: a part runs only after Hold, Commit (for several parts) and Start of the highest term seen, once;
 * resources are never granted twice; a part that was answered as released never starts; nothing is reported while the
 * state of the worker is not known. What is due is expired before any event is handled, so that a command that arrives
 * after a pause of the process meets the state that the pause left.
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
     * A core in its initial state.
     *
     * @param server description of the backend server
     * @param incarnation differs for every start of the agent process
     * @param effects told what to do
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
     * @param now monotonic time in milliseconds, never lower than before
     */
    public void handle(AgentEvent event, long now) {
        expire(now);
        switch (event) {
            case AgentEvent.ProcessStarted ignored -> worker.read(now);
            case AgentEvent.LinkOpened opened -> link.opened(opened.link());
            case AgentEvent.LinkClosed closed -> link.closed(closed.link());
            case AgentEvent.CommandReceived received
            when link.isCurrent(received.link()) -> received(received.command(), now);
            case AgentEvent.CommandReceived ignored -> effects.logged("ignored a command of an earlier connection", "");
            case AgentEvent.WorkerReplied replied -> worker.replied(replied.token(), replied.reply(), now);
            case AgentEvent.ShutdownRequested ignored -> leave(now);
            case AgentEvent.Tick ignored -> tick(now);
        }
        introduce(now);
        finish(now);
    }

    /** Every part that is held or remembered, in order; for status and tests. */
    public List<HeldPart> parts() {
        return parts.held();
    }

    /** Whether new holds are refused because the backend server is leaving or not in service. */
    public boolean refusesNewWork() {
        return commands.refusesNewWork();
    }

    private void expire(long now) {
        if (worker.leaseExpired(now)) {
            effects.logged("a lease may have expired; reading the worker", "");
            link.close();
            worker.read(now);
        }
        parts.fences().expire(now);
        parts.all().stream()
                .filter(part -> part.phase == PartPhase.HELD || part.phase == PartPhase.COMMITTED)
                .filter(part -> now >= part.deadline || part.phase == PartPhase.HELD && commands.holdsAreOver(now))
                .toList()
                .forEach(part -> {
                    effects.logged("no command came in time; releasing a part", part.job());
                    parts.fence(part.task.attempt(), null, now);
                });
    }

    private void received(AgentCommand command, long now) {
        link.received(now);
        switch (command) {
            case AgentCommand.Welcome welcome -> effects.entriesChanged(welcome.entry(), welcome.entries());
            case AgentCommand.HeartbeatReply ignored -> {
                // Only its arrival matters.
            }
            case AgentCommand.EntryLeaving ignored -> effects.changeEntry();
            case AgentCommand other when link.isIntroduced() -> commands.handle(other, now);
            case AgentCommand ignored -> effects.logged("ignored a command before AgentHello", "");
        }
    }

    private void leave(long now) {
        if (!commands.isLeaving()) {
            commands.leave(now);
            link.send(new AgentMessage.AgentLeaving());
        }
    }

    private void tick(long now) {
        worker.tick(now);
        link.tick(now);
        answers.tick(now);
    }

    private void introduce(long now) {
        if (!link.needsIntroduction() || !worker.isRead()) {
            return;
        }
        link.introduce(
                new AgentMessage.AgentHello(
                        server,
                        incarnation,
                        commands.term(),
                        commands.configurationRevision(),
                        commands.isLeaving(),
                        parts.held()),
                now);
        answers.repeatAll();
        if (commands.isLeaving()) {
            link.send(new AgentMessage.AgentLeaving());
        }
    }

    /** Tells once that nothing is left. A part without an answer is not waited for without limit. */
    private void finish(long now) {
        if (!commands.isLeaving() || drained || !worker.isRead() && !worker.givenUp(now)) {
            return;
        }
        boolean finished = parts.all().stream()
                .allMatch(part -> !part.phase.holdsResources()
                        && part.phase != PartPhase.SUCCEEDED
                        && now - part.changedAt >= AgentTimings.LEAVING_FORGET_MILLISECONDS);
        if (finished) {
            drained = true;
            effects.drained();
        }
    }
}
