package org.teaselwood.protocol.message;

/**
 * A message between two processes. Messages are immutable records; {@link org.teaselwood.protocol.MessageTypes} gives
 * each its number on the wire. New fields go to the end of a record.
 */
public sealed interface Message
        permits AgentMessage, AgentCommand, ConnectionMessage, EntryMessage, FrontRequest, FrontReply, WorkMessage {}
