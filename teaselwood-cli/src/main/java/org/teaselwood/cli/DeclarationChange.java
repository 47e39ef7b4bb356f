package org.teaselwood.cli;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.UUID;
import org.teaselwood.model.Configuration;
import org.teaselwood.model.ServiceState;
import org.teaselwood.protocol.message.ConfigurationChange;
import org.teaselwood.store.configuration.ConfigurationDifference;
import org.teaselwood.store.configuration.ConfigurationDifference.Item;

/** Computes the change that turns the configuration in force into the declared one. */
public final class DeclarationChange {
    private DeclarationChange() {}

    /**
     * Returns the differences between the configuration in force and the declarations. A backend server that the
     * declarations do not name keeps its service state; otherwise publishing a template would put a drained server
     * back into service.
     */
    public static ConfigurationDifference difference(Configuration inForce, Configuration declared) {
        Map<String, ServiceState> states = new TreeMap<>(inForce.serverStates());
        states.putAll(declared.serverStates());
        return ConfigurationDifference.between(
                inForce, new Configuration(declared.revision(), declared.templates(), declared.teams(), states));
    }

    /**
     * Returns a change with a new identifier. Entries reject it if the configuration has changed since
     * {@code inForce} was read.
     */
    public static ConfigurationChange of(Configuration inForce, ConfigurationDifference difference) {
        Map<String, ServiceState> states = new TreeMap<>();
        difference
                .servers()
                .forEach(item -> states.put(item.name(), item.after().orElse(ServiceState.IN_SERVICE)));
        return new ConfigurationChange(
                UUID.randomUUID().toString(),
                inForce.revision(),
                published(difference.templates()),
                removed(difference.templates()),
                published(difference.teams()),
                removed(difference.teams()),
                states);
    }

    private static <T> List<T> published(List<Item<T>> items) {
        return items.stream().map(Item::after).flatMap(Optional::stream).toList();
    }

    private static <T> List<String> removed(List<Item<T>> items) {
        return items.stream()
                .filter(item -> item.after().isEmpty())
                .map(Item::name)
                .toList();
    }
}
