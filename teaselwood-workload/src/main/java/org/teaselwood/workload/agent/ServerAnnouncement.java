package org.teaselwood.workload.agent;

import org.teaselwood.protocol.message.WorkMessage.ServerDescription;

/**
 * What the backend server says of itself. Immutable.
 *
 * @param draining whether it takes no new task
 * @param clockMilliseconds its clock, negative when it was not told
 * @param sequence rises with each announcement of one life
 */
public record ServerAnnouncement(
        ServerDescription description, boolean draining, long clockMilliseconds, long sequence) {}
