package org.teaselwood.agent;

import java.util.List;
import org.teaselwood.model.BackendServer;
import org.teaselwood.protocol.message.AgentCommand.EntryAddress;

/**
 * Settings of the agent process. Immutable.
 *
 * @param server description of the backend server
 * @param entries addresses to find the first entry
 * @param sharedKey key that all processes of the deployment share
 * @param workerHost IP number of the worker, usually loopback
 * @param workerPort port of the worker's HTTP interface
 */
public record AgentSettings(
        BackendServer server, List<EntryAddress> entries, String sharedKey, String workerHost, int workerPort) {
    /** Copies the list. */
    public AgentSettings {
        entries = List.copyOf(entries);
    }
}
