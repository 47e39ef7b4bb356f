package org.teaselwood.agent.core;

import org.teaselwood.protocol.message.AgentCommand;
import org.teaselwood.protocol.worker.WorkerReply;

/** What the agent core is told. Immutable; the time is given beside it. */
public sealed interface AgentEvent {
    /** First event: the process has started; the core reads the worker before it says anything to an entry. */
    record ProcessStarted() implements AgentEvent {}

    /** A connection to an entry passed its handshake; it replaces an earlier one. Links have distinct numbers. */
    record LinkOpened(long link) implements AgentEvent {}

    /** A connection closed. Ignored for a link that was replaced. */
    record LinkClosed(long link) implements AgentEvent {}

    /** A command arrived on a connection. Ignored for a link that was replaced. */
    record CommandReceived(long link, AgentCommand command) implements AgentEvent {}

    /** Reply to {@link AgentEffects#callWorker}; a reply that never comes counts as unavailable after 10 s. */
    record WorkerReplied(long token, WorkerReply reply) implements AgentEvent {}

    /** The process was asked to stop; the core calls {@link AgentEffects#drained()} when nothing is left. */
    record ShutdownRequested() implements AgentEvent {}

    /** Time has passed; sent every 100 ms. */
    record Tick() implements AgentEvent {}
}
