package org.teaselwood.workload.agent;

import org.teaselwood.protocol.message.WorkMessage.ServerDescription;

/**
 * Heartbeat that a backend server sends to its agent. Immutable.
 *
 * @param draining whether the server accepts no new tasks
 * @param clockMilliseconds the server's clock, negative if unknown
 * @param sequence sequence number; increases with each heartbeat of one incarnation
 */
public record ServerHeartbeat(ServerDescription description, boolean draining, long clockMilliseconds, long sequence) {}
