package org.teaselwood.agent.core;

import java.util.List;
import org.teaselwood.protocol.message.AgentCommand.EntryAddress;
import org.teaselwood.protocol.message.AgentMessage;
import org.teaselwood.protocol.worker.WorkerCall;

/** Output of the agent core. Called on the core's thread only; implementations neither block nor call the core. */
public interface AgentEffects {
    /** Sends a message. It is dropped if the connection is not open. */
    void send(long link, AgentMessage message);

    /** Closes a connection. The process then connects to the next entry. */
    void closeConnection(long link);

    /** Calls the worker. The reply arrives as {@link AgentEvent.WorkerReplied} with the same token. */
    void callWorker(long token, WorkerCall call);

    /** Passes on the entries of the region, as received from the connected entry. */
    void entriesReceived(String connectedEntry, List<EntryAddress> entries);

    /**
     * Connects to another entry because the connected one is leaving. That connection is used until the new one opens.
     */
    void connectToAnotherEntry();

    /** Signals that the graceful shutdown has completed and the process may exit. */
    void drained();

    /** Writes a log line; the job is empty if the line concerns none. */
    void log(String message, String job);
}
