package org.teaselwood.protocol.message;

import java.util.List;
import org.teaselwood.model.Configuration;
import org.teaselwood.model.JobIdentifier;
import org.teaselwood.model.JobState;
import org.teaselwood.model.JobSubmission;
import org.teaselwood.model.Template;
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

    /** The entries that the sender knows; a receiver connects to those that are new to it. */
    record KnownEntries(List<AgentCommand.EntryAddress> entries) implements EntryMessage {}

    /** A new placer asks a relay for the state of its agents and to forward their messages from now on. */
    record SnapshotRequest(Term term) implements EntryMessage {}

    /** Reply to SnapshotRequest: an AgentHello of every agent that is connected to the relay. */
    record AgentSnapshots(String relay, List<FromAgent> agents) implements EntryMessage {}

    /**
     * Follows the snapshots.
     *
     * @param term term of the request
     * @param highest highest term seen by the relay or its agents; above the request's term the request was refused
     */
    record SnapshotComplete(Term term, Term highest) implements EntryMessage {}

    /** An agent from which its relay has not heard for a time. */
    record SilentAgent(String server, String incarnation, long silentMilliseconds) {}

    /** Agents that are silent, sent by their relay to the placer every second. */
    record SilentAgents(List<SilentAgent> agents) implements EntryMessage {}

    /** An agent that a starting mark lists. */
    record MarkedAgent(int part, String server, String incarnation) {}

    /**
     * A job as it is written to the key-value service and mirrored to the standby. Immutable.
     *
     * @param template the template in force when the job was accepted
     * @param state {@code QUEUED}, {@code STARTING} or a final state
     * @param term term of the placer that wrote it
     * @param writer incarnation of the entry that wrote it
     * @param version rises with every change
     * @param attempt number of the marked attempt, 0 for none
     * @param ordinal how many attempts there were
     * @param marked agents of the marked attempt
     * @param resumeFrom checkpoint to resume from, empty for none
     * @param startedMilliseconds time of the newest start, since the epoch, 0 before it
     * @param finishedMilliseconds time of the final state, since the epoch, 0 before it
     * @param errorKind code of the error kind, empty for none
     * @param answerLength length of the answer in bytes, -1 for none
     * @param answerChecksum CRC-32C of the answer
     */
    record JobRecord(
            JobIdentifier job,
            String region,
            JobSubmission submission,
            Template template,
            JobState state,
            Term term,
            String writer,
            long version,
            int attempt,
            int ordinal,
            List<MarkedAgent> marked,
            String resumeFrom,
            long submittedMilliseconds,
            long startedMilliseconds,
            long finishedMilliseconds,
            String errorKind,
            String message,
            int answerLength,
            int answerChecksum)
            implements EntryMessage {}

    /** Value of a claimed request key in the key-value service. */
    record KeyClaim(JobIdentifier job, String region) implements EntryMessage {}

    /**
     * Changes of the job table, sent by the placer to its standby.
     *
     * @param sequence rises by one with every message of a term
     * @param reset whether the standby drops what it had before
     */
    record JobTableChange(Term term, long sequence, boolean reset, List<JobRecord> changed, List<JobIdentifier> removed)
            implements EntryMessage {}

    /** The standby has a change and all before it. */
    record JobTableAcknowledged(Term term, long sequence) implements EntryMessage {}

    /**
     * A finished job whose answer is not in the key-value service, sent by the placer to its standby after the change.
     *
     * @param content the whole answer, empty for a job without one; length and CRC-32C stand in the record
     */
    record FinishedJob(Term term, JobRecord record, byte[] content) implements EntryMessage {}

    /** Asks a peer for its configuration if that is newer than the given revision. */
    record ConfigurationRequest(long revision) implements EntryMessage {}

    /** A whole accepted configuration, for a peer that is behind. */
    record ConfigurationDocument(Configuration configuration) implements EntryMessage {}
}
