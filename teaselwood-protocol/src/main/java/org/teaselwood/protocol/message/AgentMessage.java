package org.teaselwood.protocol.message;

import java.util.List;
import org.teaselwood.model.AttemptIdentifier;
import org.teaselwood.model.BackendServer;
import org.teaselwood.model.PartReport;
import org.teaselwood.model.Term;

/** Messages from an agent to an entry. */
public sealed interface AgentMessage extends Message {
    /** Status of one part of an attempt with its specification, as stored by the agent. */
    record HeldPart(PartReport report, TaskSpecification specification) {}

    /**
     * First message of an agent on a connection, with its complete state.
     *
     * @param server description of the backend server
     * @param incarnation identifier that is unique to this start of the agent process
     * @param term highest term received
     * @param configurationRevision highest configuration revision received
     * @param leaving whether the agent is shutting down; does not include the service state from the configuration
     * @param parts all parts that the agent stores, including tombstones
     */
    record AgentHello(
            BackendServer server,
            String incarnation,
            Term term,
            long configurationRevision,
            boolean leaving,
            List<HeldPart> parts)
            implements AgentMessage {}

    /** Heartbeat sent every 2 s and answered by the relay. */
    record AgentHeartbeat(long sequence) implements AgentMessage {}

    /** Notice that the phase, progress or checkpoint of a part changed. */
    record PartChanged(PartReport report) implements AgentMessage {}

    /**
     * Resource usage of a running part, reported with a delay.
     *
     * @param accelerators number of accelerators in use
     * @param memoryMebibytes memory in use, in MiB
     */
    record PartUsage(AttemptIdentifier attempt, int part, double accelerators, long memoryMebibytes)
            implements AgentMessage {}

    /**
     * Reply to Hold, Commit, Start, Stop or Release.
     *
     * @param request name of the command
     * @param report status of the part after the command
     * @param refusal code of the error kind, empty if the command was executed
     * @param detail error detail for logs, empty for none
     */
    record PartReply(String request, PartReport report, String refusal, String detail) implements AgentMessage {}

    /**
     * Complete answer of one part, sent again on every new connection until ForgetAttempt.
     *
     * @param content content of the answer
     * @param length length of the content in bytes
     * @param checksum CRC-32C of the content
     */
    record AnswerPart(AttemptIdentifier attempt, int part, byte[] content, int length, int checksum)
            implements AgentMessage {}

    /** Notice that a command was rejected because its term is older than the highest received. */
    record StaleTerm(Term refused, Term highest) implements AgentMessage {}

    /** Notice of a graceful shutdown: the agent accepts no new work and exits when its parts have ended. */
    record AgentLeaving() implements AgentMessage {}
}
