package org.teaselwood.model;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * Accepted configuration. Immutable; maps iterate in name order. A process replaces its configuration only with one of
 * a higher revision.
 *
 * @param revision monotonically increasing revision number, 0 for the empty configuration
 * @param templates by name
 * @param teams by name
 * @param serverStates service state of backend servers by name; a server without an entry is in service
 */
public record Configuration(
        long revision,
        Map<String, Template> templates,
        Map<String, Team> teams,
        Map<String, ServiceState> serverStates) {
    /** Configuration before the first change. */
    public static final Configuration EMPTY = new Configuration(0, Map.of(), Map.of(), Map.of());

    /** Copies the maps in name order. */
    public Configuration {
        templates = Collections.unmodifiableMap(new TreeMap<>(templates));
        teams = Collections.unmodifiableMap(new TreeMap<>(teams));
        serverStates = Collections.unmodifiableMap(new TreeMap<>(serverStates));
    }

    /** Returns the service state of a backend server. */
    public ServiceState stateOf(String server) {
        return serverStates.getOrDefault(server, ServiceState.IN_SERVICE);
    }
}
