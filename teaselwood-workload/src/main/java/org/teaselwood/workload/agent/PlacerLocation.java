package org.teaselwood.workload.agent;

/**
 * Network location of the elected placer. Immutable.
 *
 * @param term term of the placer
 * @param entry name of the entry that runs it
 * @param host IP address of the internal port
 * @param port internal port
 */
public record PlacerLocation(long term, String entry, String host, int port) {}
