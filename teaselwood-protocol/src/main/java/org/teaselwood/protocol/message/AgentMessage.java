package org.teaselwood.protocol.message;

import java.util.List;
import org.teaselwood.model.AttemptIdentifier;
import org.teaselwood.model.BackendServer;
import org.teaselwood.model.PartReport;
import org.teaselwood.model.Term;

/** Messages from an agent to an entry. */
public sealed interface AgentMessage extends Message {
    /** One part of an attempt with its specification, as the agent holds it. */
    record HeldPart(PartReport report, TaskSpecification specification) {}

    /**
     * First message of an agent on a connection: its whole state.
     *
     * @param server description of the backend server
     * @param incarnation differs for every start of the agent process
     * @param term highest term seen
     * @param configurationRevision highest configuration revision it was told
     * @param leaving whether the agent is stopping; a service state of the configuration is not repeated here
     * @param parts every part it holds or remembers, tombstones included
     */
    record AgentHello(
            BackendServer server,
            String incarnation,
            Term term,
            long configurationRevision,
            boolean leaving,
            List<HeldPart> parts)
            implements AgentMessage {}

    /** Sent every 2 s; the relay answers it. */
    record AgentHeartbeat(long sequence) implements AgentMessage {}

    /** A part changed its phase, progress or checkpoint. */
    record PartChanged(PartReport report) implements AgentMessage {}

    /**
     * Usage of a running part, reported with a lag.
     *
     * @param accelerators accelerators in use
     * @param memoryMebibytes memory in use, in MiB
     */
    record PartUsage(AttemptIdentifier attempt, int part, double accelerators, long memoryMebibytes)
            implements AgentMessage {}

    /**
     * Answer to Hold, Commit, Start, Stop or Release.
     *
     * @param request name of the request that is answered
     * @param report the part after the request
     * @param refusal code of the error kind, empty when the request was carried out
     * @param detail text for logs, empty for none
     */
    record PartReply(String request, PartReport report, String refusal, String detail) implements AgentMessage {}

    /**
     * The whole answer of one part; repeated on a new connection until forgotten.
     *
     * @param content the bytes
     * @param length their number
     * @param checksum their CRC-32C
     */
    record AnswerPart(AttemptIdentifier attempt, int part, byte[] content, int length, int checksum)
            implements AgentMessage {}

    /** A command of an older term was refused. */
    record StaleTerm(Term refused, Term highest) implements AgentMessage {}

    /** The agent was asked to stop: it takes no new work and exits when nothing is left. */
    record AgentLeaving() implements AgentMessage {}
}
