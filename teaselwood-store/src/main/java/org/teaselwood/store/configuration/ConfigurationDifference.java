package org.teaselwood.store.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Function;
import org.teaselwood.model.Configuration;
import org.teaselwood.model.ServiceState;
import org.teaselwood.model.Team;
import org.teaselwood.model.Template;
import org.teaselwood.store.KeyValueOperation;

/**
 * Difference between two configurations. Immutable; every list is ordered by name.
 *
 * @param templates templates that were added, changed or removed
 * @param teams teams that were added, changed or removed
 * @param servers service states that were added, changed or removed
 */
public record ConfigurationDifference(
        List<Item<Template>> templates, List<Item<Team>> teams, List<Item<ServiceState>> servers) {
    /**
     * One object that differs.
     *
     * @param <T> type of the object
     * @param name name of the object
     * @param before previous object; empty if the object was added
     * @param after new object; empty if the object was removed
     */
    public record Item<T>(String name, Optional<T> before, Optional<T> after) {}

    /** Copies the lists. */
    public ConfigurationDifference {
        templates = List.copyOf(templates);
        teams = List.copyOf(teams);
        servers = List.copyOf(servers);
    }

    /**
     * Returns the difference between two configurations. Revisions are not compared, and a server in the state
     * IN_SERVICE is equal to one without a state.
     */
    public static ConfigurationDifference between(Configuration before, Configuration after) {
        return new ConfigurationDifference(
                changedItems(before.templates(), after.templates()),
                changedItems(before.teams(), after.teams()),
                changedItems(storedStates(before), storedStates(after)));
    }

    /** Returns whether the configurations are equal. */
    public boolean isEmpty() {
        return templates.isEmpty() && teams.isEmpty() && servers.isEmpty();
    }

    /** Returns one line for each object: {@code + team x}, {@code - team x} or {@code ~ team x}. */
    public List<String> lines() {
        List<String> lines = new ArrayList<>();
        templates.forEach(item -> lines.add(line("template", item)));
        teams.forEach(item -> lines.add(line("team", item)));
        servers.forEach(item -> lines.add(line("server", item)));
        return List.copyOf(lines);
    }

    /** Returns the operations that write or delete the documents that differ. */
    List<KeyValueOperation> operations() {
        List<KeyValueOperation> operations = new ArrayList<>();
        templates.forEach(item ->
                operations.add(operation(ConfigurationKeys.TEMPLATE, item, ConfigurationDocuments::encodeTemplate)));
        teams.forEach(
                item -> operations.add(operation(ConfigurationKeys.TEAM, item, ConfigurationDocuments::encodeTeam)));
        servers.forEach(
                item -> operations.add(operation(ConfigurationKeys.SERVER, item, ConfigurationDocuments::encodeState)));
        return operations;
    }

    private static <T> KeyValueOperation operation(String prefix, Item<T> item, Function<T, byte[]> encoder) {
        String key = prefix + item.name();
        return item.after()
                .map(value -> ConfigurationSnapshot.put(key, encoder.apply(value)))
                .orElseGet(() -> new KeyValueOperation.Delete(key));
    }

    private static <T> List<Item<T>> changedItems(Map<String, T> before, Map<String, T> after) {
        TreeSet<String> names = new TreeSet<>(before.keySet());
        names.addAll(after.keySet());
        return names.stream()
                .filter(name -> !Objects.equals(before.get(name), after.get(name)))
                .map(name ->
                        new Item<>(name, Optional.ofNullable(before.get(name)), Optional.ofNullable(after.get(name))))
                .toList();
    }

    private static Map<String, ServiceState> storedStates(Configuration configuration) {
        return ConfigurationRules.withoutServersInService(configuration.serverStates());
    }

    private static String line(String kind, Item<?> item) {
        String sign = item.before().isEmpty() ? "+ " : item.after().isEmpty() ? "- " : "~ ";
        return sign + kind + " " + item.name();
    }
}
