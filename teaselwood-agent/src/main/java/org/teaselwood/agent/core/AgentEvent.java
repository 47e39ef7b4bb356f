package org.teaselwood.agent.core;

import org.teaselwood.protocol.message.AgentCommand;
import org.teaselwood.protocol.worker.WorkerReply;

/** An input of the agent core. Immutable; the time is a separate argument. */
public sealed interface AgentEvent {
    /** The process has started; the first event. The core reads the worker before it sends anything to an entry. */
    record ProcessStarted() implements AgentEvent {}

    /** A connection to an entry completed its handshake; it replaces an earlier one. Link numbers are unique. */
    record ConnectionOpened(long link) implements AgentEvent {}

    /** A connection closed. Ignored if the link was replaced. */
    record ConnectionClosed(long link) implements AgentEvent {}

    /** A command arrived on a connection. Ignored if the link was replaced. */
    record CommandReceived(long link, AgentCommand command) implements AgentEvent {}

    /** Reply to {@link AgentEffects#callWorker}; a call without a reply counts as unavailable after 10 s. */
    record WorkerReplied(long token, WorkerReply reply) implements AgentEvent {}

    /** A graceful shutdown was requested; the core calls {@link AgentEffects#drained()} when it has completed. */
    record ShutdownRequested() implements AgentEvent {}

    /** Timer tick, sent every 100 ms. */
    record Tick() implements AgentEvent {}
}
