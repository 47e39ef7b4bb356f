package org.teaselwood.protocol.message;

import java.util.List;
import org.teaselwood.model.Configuration;
import org.teaselwood.model.Term;

/** Messages between entries. */
public sealed interface EntryMessage extends Message {
    /**
     * First message of an entry on a connection to another entry.
     *
     * @param address where it listens
     * @param region its region
     * @param incarnation differs for every start of the process
     */
    record EntryHello(AgentCommand.EntryAddress address, String region, String incarnation) implements EntryMessage {}

    /**
     * Sent every 500 ms to every other entry.
     *
     * @param term highest term seen
     * @param configurationRevision revision in force
     * @param leaving whether the entry is shutting down
     * @param ready whether the entry holds a complete configuration
     */
    record EntryHeartbeat(String entry, Term term, long configurationRevision, boolean leaving, boolean ready)
            implements EntryMessage {}

    /** One message of an agent, forwarded by its relay. */
    record FromAgent(String server, String incarnation, AgentMessage message) {}

    /** Messages of agents, forwarded by their relay to the placer. */
    record FromAgents(String relay, List<FromAgent> messages) implements EntryMessage {}

    /** One command for an agent, to be forwarded by its relay. */
    record ToAgent(String server, AgentCommand command) {}

    /** Commands for agents, sent by the placer to their relay. */
    record ToAgents(Term term, List<ToAgent> commands) implements EntryMessage {}

    /** A front's request, forwarded to the placer. The token is unique on the sending entry. */
    record ForwardedRequest(long token, FrontRequest request) implements EntryMessage {}

    /** The placer's reply to a forwarded request. */
    record ForwardedReply(long token, FrontReply reply) implements EntryMessage {}

    /** The sender does not wait for a forwarded request any more. */
    record ForwardedRequestAbandoned(long token) implements EntryMessage {}

    /** Asks a peer for its configuration if that is newer than the given revision. */
    record ConfigurationRequest(long revision) implements EntryMessage {}

    /** A whole accepted configuration, for a peer that is behind. */
    record ConfigurationDocument(Configuration configuration) implements EntryMessage {}
}
