package org.teaselwood.workload.agent;

/**
 * Where the elected placer is. Immutable.
 *
 * @param term its term
 * @param entry name of its entry
 * @param host IP address
 * @param port internal port
 */
public record PlacerLocation(long term, String entry, String host, int port) {}
