package org.teaselwood.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.teaselwood.model.BackendServer;
import org.teaselwood.model.Configuration;
import org.teaselwood.model.Level;
import org.teaselwood.model.PartResources;
import org.teaselwood.model.ServiceState;
import org.teaselwood.model.Shape;

/**
 * Backend servers of a region, grouped into racks and data centres. Iterates in order of names. Mutable, confined to
 * its scheduler's thread.
 */
public final class Cluster {
    private final Map<String, ServerState> servers = new TreeMap<>();
    private final Map<Level, Map<String, List<ServerState>>> cells = new TreeMap<>();
    private Configuration configuration = Configuration.EMPTY;

    /** Returns the servers in order of name, including lost servers on which attempts still hold resources. */
    public Collection<ServerState> servers() {
        return servers.values();
    }

    /** Returns a server by name, or null if it is unknown. */
    public ServerState find(String name) {
        return servers.get(name);
    }

    /** Returns a server by name; adds it without an announcement if it is unknown. */
    ServerState findOrAdd(String name) {
        return servers.computeIfAbsent(name, ServerState::new);
    }

    /** Returns the cells of a level by name; each lists its announced servers in order of name. */
    public Map<String, List<ServerState>> cells(Level level) {
        if (cells.isEmpty()) {
            indexCells();
        }
        return cells.get(level);
    }

    /** Returns the name of the cell of a level that contains a server. */
    public static String cellName(Level level, BackendServer server) {
        return switch (level) {
            case SERVER -> server.name();
            case RACK -> server.dataCentre() + "/" + server.rack();
            case DATA_CENTRE -> server.dataCentre();
            case REGION -> server.region();
        };
    }

    /** Applies the service states of a configuration. */
    public void configure(Configuration next) {
        configuration = next;
        servers.values().forEach(this::applyServiceState);
    }

    /** Adds a server or replaces its announced properties. */
    public void join(BackendServer server) {
        ServerState state = servers.computeIfAbsent(server.name(), ServerState::new);
        state.announce(server);
        applyServiceState(state);
        cells.clear();
    }

    /** Excludes a server from new work until it joins again. */
    public void markUnavailable(String name) {
        ServerState state = servers.get(name);
        if (state != null) {
            state.setReachable(false);
        }
    }

    /** Removes a lost server. Resources that attempts hold on it are tracked until the attempts end. */
    public void markLost(String name) {
        ServerState state = servers.get(name);
        if (state != null) {
            state.markLost();
            cells.clear();
            removeIfUnused(state);
        }
    }

    /** Records the parts of an attempt as held. */
    public void hold(List<PartPlacement> placements, PartResources part) {
        placements.forEach(placement -> servers.computeIfAbsent(placement.server(), ServerState::new)
                .held
                .add(part, placement.firstAccelerator()));
    }

    /** Frees the parts of an attempt. */
    public void release(List<PartPlacement> placements, PartResources part) {
        placements.forEach(placement -> {
            ServerState state = servers.get(placement.server());
            if (state != null) {
                state.held.remove(part, placement.firstAccelerator());
                removeIfUnused(state);
            }
        });
    }

    /** Returns whether the shape would fit on the servers that the predicate accepts if they were empty. */
    public boolean fitsWhenEmpty(Shape shape, Predicate<ServerState> accepts) {
        return cells(shape.adjacency()).values().stream().anyMatch(cell -> {
            long parts = 0;
            for (ServerState server : cell) {
                parts += accepts.test(server) ? server.countFittingPartsWhenEmpty(shape.part()) : 0;
            }
            return parts >= shape.parts();
        });
    }

    /** Returns whether a server is announced and has the capabilities. */
    public static boolean isCapable(ServerState server, Set<String> capabilities) {
        return server.announced() != null && server.announced().capabilities().containsAll(capabilities);
    }

    private void applyServiceState(ServerState state) {
        state.setInService(configuration.stateOf(state.name()) == ServiceState.IN_SERVICE);
    }

    void removeIfUnused(ServerState state) {
        if (state.announced() == null && state.isUnused() && !state.isQuarantined()) {
            servers.remove(state.name());
        }
    }

    private void indexCells() {
        for (Level level : Level.values()) {
            Map<String, List<ServerState>> byName = new TreeMap<>();
            servers.values().stream()
                    .filter(state -> state.announced() != null)
                    .forEach(state -> byName.computeIfAbsent(
                                    cellName(level, state.announced()), name -> new ArrayList<>())
                            .add(state));
            cells.put(level, byName);
        }
    }
}
