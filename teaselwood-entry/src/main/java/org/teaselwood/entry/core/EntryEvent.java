package org.teaselwood.entry.core;

import org.teaselwood.protocol.message.AgentCommand.EntryAddress;
import org.teaselwood.protocol.message.FrontRequest;
import org.teaselwood.protocol.message.Message;

/** Events handled by the entry core. Immutable; the time of an event is passed separately. */
public sealed interface EntryEvent {
    /** A connection that a peer opened completed its handshake. */
    record ConnectionAccepted(long link) implements EntryEvent {}

    /** A connection that the core requested completed its handshake. */
    record ConnectionOpened(long link, EntryAddress address) implements EntryEvent {}

    /** A connection that the core requested could not be opened. */
    record ConnectFailed(EntryAddress address) implements EntryEvent {}

    /** A message arrived. */
    record MessageReceived(long link, Message message) implements EntryEvent {}

    /** A connection closed. */
    record ConnectionClosed(long link) implements EntryEvent {}

    /** A front end sent a request. The token is unique in the process. */
    record RequestReceived(long token, FrontRequest request) implements EntryEvent {}

    /** The caller of a request disconnected; no reply is needed. */
    record RequestAbandoned(long token) implements EntryEvent {}

    /** The key-value service replied, or the call failed. */
    record StoreReplied(long token, StoreReply reply) implements EntryEvent {}

    /**
     * Keys below {@code /teaselwood/configuration/} changed, or the watch was reopened and may have missed changes; the
     * head must be read again.
     */
    record ConfigurationMayHaveChanged() implements EntryEvent {}

    /**
     * The process was asked to stop. The core calls {@link EntryEffects#drained()} when no request is left to answer.
     */
    record ShutdownRequested() implements EntryEvent {}

    /** Periodic tick, sent every 100 ms. */
    record Tick() implements EntryEvent {}
}
