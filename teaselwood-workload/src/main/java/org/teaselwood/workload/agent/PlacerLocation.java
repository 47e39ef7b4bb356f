package org.teaselwood.workload.agent;

import java.util.Objects;

/**
 * Network location of the elected placer. Immutable.
 *
 * @param term term of the placer
 * @param entry name of the entry that runs it
 * @param host IP address of the internal port
 * @param port internal port
 */
public record PlacerLocation(long term, String entry, String host, int port) {
    private static final int MAXIMUM_PORT = 65_535;

    /** Fails if a text is missing or the port is out of range: an attempt to connect would fail unexpectedly. */
    public PlacerLocation {
        Objects.requireNonNull(entry, "entry");
        Objects.requireNonNull(host, "host");
        if (port < 1 || port > MAXIMUM_PORT) {
            throw new IllegalArgumentException("port " + port);
        }
    }
}
