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
     * @param address address on which the entry listens
     * @param region region of the entry
     * @param incarnation identifier that is unique to this start of the entry process
     */
    record EntryHello(AgentCommand.EntryAddress address, String region, String incarnation) implements EntryMessage {}

    /**
     * Heartbeat sent to every other entry, by default every 500 ms.
     *
     * @param term highest term received
     * @param configurationRevision configuration revision in force
     * @param leaving whether the entry is shutting down
     * @param ready whether the entry holds a complete configuration
     */
    record EntryHeartbeat(String entry, Term term, long configurationRevision, boolean leaving, boolean ready)
            implements EntryMessage {}

    /** Message of one agent, forwarded by its relay. */
    record FromAgent(String server, String incarnation, AgentMessage message) {}

    /** Batch of messages of agents, forwarded by their relay to the placer. */
    record FromAgents(String relay, List<FromAgent> messages) implements EntryMessage {}

    /** Command for one agent, to be forwarded by its relay. */
    record ToAgent(String server, AgentCommand command) {}

    /** Batch of commands for agents, sent by the placer to their relay. */
    record ToAgents(Term term, List<ToAgent> commands) implements EntryMessage {}

    /** Request of a front, forwarded to the placer. The token is unique within the sending entry. */
    record ForwardedRequest(long token, FrontRequest request) implements EntryMessage {}

    /** Reply of the placer to a forwarded request. */
    record ForwardedReply(long token, FrontReply reply) implements EntryMessage {}

    /** Notice that the sender no longer waits for the reply to a forwarded request. */
    record ForwardedRequestAbandoned(long token) implements EntryMessage {}

    /** Entries known to the sender; the receiver connects to those that it does not know yet. */
    record KnownEntries(List<AgentCommand.EntryAddress> entries) implements EntryMessage {}

    /** Request of a new placer to a relay for the state of its agents and for all their later messages. */
    record SnapshotRequest(Term term) implements EntryMessage {}

    /** Reply to SnapshotRequest, with an AgentHello of every agent that is connected to the relay. */
    record AgentSnapshots(String relay, List<FromAgent> agents) implements EntryMessage {}

    /**
     * End of the reply to SnapshotRequest, sent after the snapshots.
     *
     * @param term term of the request
     * @param highest highest term received by the relay or its agents; if higher than the term of the request, the
     *     request was rejected
     */
    record SnapshotComplete(Term term, Term highest) implements EntryMessage {}

    /**
     * Agent that is unresponsive or not connected to the relay.
     *
     * @param incarnation incarnation of the agent, empty if the relay has no state of it
     * @param millisecondsSinceContact time since its last contact with the relay
     */
    record UnresponsiveAgent(String server, String incarnation, long millisecondsSinceContact) {}

    /**
     * Agents that are unresponsive, sent by their relay to the placer every second, or to which a command could not be
     * delivered, sent immediately.
     */
    record UnresponsiveAgents(List<UnresponsiveAgent> agents) implements EntryMessage {}

    /** Agent of one part of the attempt that a job record lists as starting. */
    record MarkedAgent(int part, String server, String incarnation) {}

    /**
     * State of a job as it is written to the key-value service and replicated to the standby. Immutable.
     *
     * @param template template in force when the job was accepted
     * @param state {@code QUEUED}, {@code STARTING} or a final state
     * @param term term of the placer that wrote the record
     * @param writer incarnation of the entry that wrote the record
     * @param version number that increases with every change
     * @param attempt number of the attempt recorded as starting, 0 for none
     * @param ordinal number of attempts so far
     * @param marked agents of the attempt recorded as starting
     * @param resumeFrom checkpoint to resume from, empty for none
     * @param startedMilliseconds time of the latest start, since the epoch, 0 before the first start
     * @param finishedMilliseconds time at which the final state was reached, since the epoch, 0 before then
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

    /** Value stored for a claimed request key in the key-value service, used for deduplication. */
    record KeyClaim(JobIdentifier job, String region) implements EntryMessage {}

    /**
     * Changes of the job table, replicated by the placer to its standby.
     *
     * @param sequence sequence number, incremented by one with every message of a term
     * @param reset whether the standby discards its previous copy
     */
    record JobTableChange(Term term, long sequence, boolean reset, List<JobRecord> changed, List<JobIdentifier> removed)
            implements EntryMessage {}

    /** Acknowledgement by the standby of a change and all earlier ones. */
    record JobTableAcknowledged(Term term, long sequence) implements EntryMessage {}

    /**
     * Finished job whose answer is not in the key-value service, sent by the placer to its standby after the change.
     *
     * @param content complete answer, empty for a job without one; the record contains its length and CRC-32C
     */
    record FinishedJob(Term term, JobRecord record, byte[] content) implements EntryMessage {}

    /** Request to a peer for its configuration if that is newer than the given revision. */
    record ConfigurationRequest(long revision) implements EntryMessage {}

    /** Complete accepted configuration, for a peer with an older revision. */
    record ConfigurationDocument(Configuration configuration) implements EntryMessage {}
}
