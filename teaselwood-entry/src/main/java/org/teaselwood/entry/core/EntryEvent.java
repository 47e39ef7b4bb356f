package org.teaselwood.entry.core;

import org.teaselwood.protocol.message.AgentCommand.EntryAddress;
import org.teaselwood.protocol.message.FrontRequest;
import org.teaselwood.protocol.message.Message;

/** What the entry core is told. Immutable; the time is given beside it. */
public sealed interface EntryEvent {
    /** A connection that a peer opened passed its handshake. */
    record LinkAccepted(long link) implements EntryEvent {}

    /** A connection that the core asked for passed its handshake. */
    record LinkConnected(long link, EntryAddress address) implements EntryEvent {}

    /** A connection that the core asked for could not be opened. */
    record ConnectFailed(EntryAddress address) implements EntryEvent {}

    /** A message arrived. */
    record MessageReceived(long link, Message message) implements EntryEvent {}

    /** A connection closed. */
    record LinkClosed(long link) implements EntryEvent {}

    /** A front asks. The token is unique in the process. */
    record FrontRequested(long token, FrontRequest request) implements EntryEvent {}

    /** The caller of a request has gone; no reply is needed. */
    record FrontAbandoned(long token) implements EntryEvent {}

    /** The key-value service replied, or failed. */
    record StoreReplied(long token, StoreReply reply) implements EntryEvent {}

    /** Keys below {@code /teaselwood/configuration/} changed, or the watch was opened again: read the head. */
    record ConfigurationMayHaveChanged() implements EntryEvent {}

    /** The process was asked to stop; the core calls {@link EntryEffects#drained()} when nothing is left to answer. */
    record ShutdownRequested() implements EntryEvent {}

    /** Time has passed; sent every 100 ms. */
    record Tick() implements EntryEvent {}
}
