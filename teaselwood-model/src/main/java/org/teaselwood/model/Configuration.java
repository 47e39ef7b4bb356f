package org.teaselwood.model;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * One accepted configuration. Immutable; maps iterate by name. A process replaces it only by one of a higher revision.
 *
 * @param revision rising number, 0 for the empty configuration
 * @param templates by name
 * @param teams by name
 * @param serverStates service state of backend servers by name; a server without an entry is in service
 */
public record Configuration(
        long revision,
        Map<String, Template> templates,
        Map<String, Team> teams,
        Map<String, ServiceState> serverStates) {
    /** The configuration before the first change. */
    public static final Configuration EMPTY = new Configuration(0, Map.of(), Map.of(), Map.of());

    /** Copies the maps, ordered by name. */
    public Configuration {
        templates = Collections.unmodifiableMap(new TreeMap<>(templates));
        teams = Collections.unmodifiableMap(new TreeMap<>(teams));
        serverStates = Collections.unmodifiableMap(new TreeMap<>(serverStates));
    }

    /** Service state of a backend server. */
    public ServiceState stateOf(String server) {
        return serverStates.getOrDefault(server, ServiceState.IN_SERVICE);
    }
}
