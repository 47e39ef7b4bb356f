package org.teaselwood.protocol.message;

/**
 * Message between two processes. Messages are immutable records, and {@link org.teaselwood.protocol.MessageTypes}
 * assigns their wire numbers. New fields must be added at the end of a record, as records are encoded by position.
 */
public sealed interface Message
        permits AgentMessage, AgentCommand, ConnectionMessage, EntryMessage, FrontRequest, FrontReply, WorkMessage {}
