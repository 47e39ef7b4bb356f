package org.teaselwood.workload.agent;

import org.teaselwood.protocol.message.WorkMessage.ServerDescription;

/**
 * Announcement of a backend server to its agent. Immutable.
 *
 * @param draining whether the server accepts no new tasks
 * @param clockMilliseconds the server's clock, negative if unknown
 * @param sequence sequence number; increases with each announcement of one incarnation
 */
public record ServerAnnouncement(
        ServerDescription description, boolean draining, long clockMilliseconds, long sequence) {}
