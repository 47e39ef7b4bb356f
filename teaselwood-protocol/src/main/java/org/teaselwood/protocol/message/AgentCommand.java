package org.teaselwood.protocol.message;

import java.util.List;
import org.teaselwood.model.AttemptIdentifier;
import org.teaselwood.model.ServiceState;
import org.teaselwood.model.Term;

/** Messages from an entry to an agent. Those of a placer carry its term and are idempotent. */
public sealed interface AgentCommand extends Message {
    /**
     * Address of an entry.
     *
     * @param entry identifier
     * @param dataCentre its data centre
     * @param host IP number
     * @param port port of the internal protocol
     */
    record EntryAddress(String entry, String dataCentre, String host, int port) {}

    /** Answer to AgentHello and sent again when the set of entries changes. */
    record Welcome(String entry, List<EntryAddress> entries) implements AgentCommand {}

    /** Answer to AgentHeartbeat. */
    record HeartbeatReply(long sequence) implements AgentCommand {}

    /**
     * Reserve resources for one part.
     *
     * @param firstAccelerator first of the adjacent accelerators, -1 when the part takes none
     * @param expiryMilliseconds the hold frees itself after this time
     */
    record Hold(
            Term term,
            AttemptIdentifier attempt,
            int part,
            int firstAccelerator,
            TaskSpecification specification,
            long expiryMilliseconds)
            implements AgentCommand {}

    /**
     * Keep a held part until Start or the timeout; after the timeout the attempt is fenced.
     *
     * @param timeoutMilliseconds time to wait for Start
     */
    record Commit(Term term, AttemptIdentifier attempt, int part, long timeoutMilliseconds) implements AgentCommand {}

    /** Start a committed part, or a held one when the attempt has a single part. */
    record Start(Term term, AttemptIdentifier attempt, int part) implements AgentCommand {}

    /**
     * Stop a part, after a checkpoint if it can take one.
     *
     * @param graceMilliseconds time for the checkpoint, 0 to stop at once
     */
    record Stop(Term term, AttemptIdentifier attempt, int part, long graceMilliseconds, String reason)
            implements AgentCommand {}

    /**
     * Release a part that has not started and fence its attempt on this backend server, even if it was never held
     * there. A part that has started is not touched; the reply tells its phase.
     */
    record Release(Term term, AttemptIdentifier attempt, int part) implements AgentCommand {}

    /** Slow a part down to what it declared. */
    record Throttle(Term term, AttemptIdentifier attempt, int part) implements AgentCommand {}

    /** The listed attempts that span servers may go on for another lease. */
    record RenewGang(Term term, List<AttemptIdentifier> attempts) implements AgentCommand {}

    /** The final record of an attempt is stored; its parts and answers can be dropped. */
    record ForgetAttempt(Term term, AttemptIdentifier attempt) implements AgentCommand {}

    /** Service state of the backend server at a configuration revision; older revisions are ignored. */
    record ServiceStateChanged(long revision, ServiceState state) implements AgentCommand {}

    /** The entry is leaving: connect to another one. */
    record EntryLeaving() implements AgentCommand {}
}
