package org.teaselwood.workload.placer;

import org.teaselwood.protocol.message.WorkMessage;

/** The placer's side of a connection with an agent. Called on the placer's duty thread. */
public interface AgentConnection {
    /**
     * Returns the sequence number of the connection, in the order of acceptance; messages of a connection with a
     * lower number are older.
     */
    long sequenceNumber();

    /** Sends a message; a message that cannot be sent is dropped and the connection is closed. */
    void send(WorkMessage message);
}
