package org.teaselwood.agent.core;

import java.util.List;
import org.teaselwood.protocol.message.AgentCommand.EntryAddress;
import org.teaselwood.protocol.message.AgentMessage;
import org.teaselwood.protocol.worker.WorkerCall;

/** What the agent core does to the world outside. Called on the core's thread only; no call blocks or re-enters. */
public interface AgentEffects {
    /** Sends a message; it is lost when the connection is not open. */
    void send(long link, AgentMessage message);

    /** Closes a connection; the process then connects to the next entry. */
    void closeLink(long link);

    /** Calls the worker; ends in {@link AgentEvent.WorkerReplied} with the same token. */
    void callWorker(long token, WorkerCall call);

    /** The entry that the agent is connected to told the entries of the region. */
    void entriesChanged(String connectedEntry, List<EntryAddress> entries);

    /** The connected entry leaves: open a connection to another one; the present one stays in use until then. */
    void changeEntry();

    /** After ShutdownRequested: nothing is left and the process may exit. */
    void drained();

    /** A structured log line; job is empty when none is concerned. */
    void logged(String message, String job);
}
