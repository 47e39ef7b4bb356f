package org.teaselwood.workload.placer;

import org.teaselwood.protocol.message.WorkMessage;

/** The placer's side of a connection with an agent. Called on the placer's duty thread. */
public interface AgentConnection {
    /** Position in the order in which connections were accepted; what an earlier one delivers is older. */
    long number();

    /** Sends a message; what cannot be sent is dropped and the connection is closed. */
    void send(WorkMessage message);
}
