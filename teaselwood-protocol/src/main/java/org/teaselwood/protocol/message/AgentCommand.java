package org.teaselwood.protocol.message;

import java.util.List;
import org.teaselwood.model.AttemptIdentifier;
import org.teaselwood.model.ServiceState;
import org.teaselwood.model.Term;

/** Messages from an entry to an agent. Commands of a placer carry its term and are idempotent. */
public sealed interface AgentCommand extends Message {
    /**
     * Address of an entry.
     *
     * @param entry identifier
     * @param dataCentre data centre of the entry
     * @param host IP address
     * @param port port of the internal protocol
     */
    record EntryAddress(String entry, String dataCentre, String host, int port) {}

    /** Reply to AgentHello, sent again when the set of entries changes. */
    record Welcome(String entry, List<EntryAddress> entries) implements AgentCommand {}

    /** Reply to AgentHeartbeat. */
    record HeartbeatReply(long sequence) implements AgentCommand {}

    /**
     * Command to reserve resources for one part.
     *
     * @param firstAccelerator index of the first of the adjacent accelerators, -1 if the part requires none
     * @param expiryMilliseconds time after which the reservation expires
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
     * Command to keep the reservation of a part until Start or the timeout; after the timeout the attempt is fenced.
     *
     * @param timeoutMilliseconds time to wait for Start
     */
    record Commit(Term term, AttemptIdentifier attempt, int part, long timeoutMilliseconds) implements AgentCommand {}

    /** Command to start a committed part, or a held one if the attempt has a single part. */
    record Start(Term term, AttemptIdentifier attempt, int part) implements AgentCommand {}

    /**
     * Command to stop a part, after a checkpoint if the task supports checkpoints.
     *
     * @param graceMilliseconds time allowed for the checkpoint, 0 to stop immediately
     */
    record Stop(Term term, AttemptIdentifier attempt, int part, long graceMilliseconds, String reason)
            implements AgentCommand {}

    /**
     * Command to release a part that has not started and to fence its attempt on this backend server, even if the part
     * was never held there. A part that has started is left unchanged, and the reply contains its phase.
     */
    record Release(Term term, AttemptIdentifier attempt, int part) implements AgentCommand {}

    /** Command to limit a part to the resources that it declared. */
    record Throttle(Term term, AttemptIdentifier attempt, int part) implements AgentCommand {}

    /** Renewal of the leases of attempts whose parts run on several backend servers. */
    record RenewGang(Term term, List<AttemptIdentifier> attempts) implements AgentCommand {}

    /** Command to discard the parts and answers of an attempt, whose final record is stored. */
    record ForgetAttempt(Term term, AttemptIdentifier attempt) implements AgentCommand {}

    /** Service state of the backend server as of a configuration revision; an older revision is ignored. */
    record ServiceStateChanged(long revision, ServiceState state) implements AgentCommand {}

    /** Notice that the entry is shutting down, so that the agent connects to another one. */
    record EntryLeaving() implements AgentCommand {}
}
