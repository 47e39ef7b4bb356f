package org.teaselwood.store.configuration;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.teaselwood.model.Configuration;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.ServiceState;
import org.teaselwood.model.Team;
import org.teaselwood.model.TeaselwoodException;
import org.teaselwood.model.Template;
import org.teaselwood.store.KeyValue;
import org.teaselwood.store.KeyValueCondition;
import org.teaselwood.store.KeyValueOperation;
import org.teaselwood.store.KeyValueTransaction;

/**
 * A consistent snapshot of the configuration in the key-value service. Immutable.
 *
 * <p>A snapshot is decoded from a single list request for {@link ConfigurationKeys#PREFIX}, which the service answers
 * from one revision, so that a snapshot never mixes objects of two changes.
 *
 * @param configuration the configuration
 * @param headRevision revision of the key-value service at which the head was last written; 0 before the first change
 * @param changes the {@value #RETAINED_CHANGES} most recent accepted changes by identifier
 */
public record ConfigurationSnapshot(
        Configuration configuration, long headRevision, Map<String, AcceptedChange> changes) {
    /**
     * Number of accepted changes that are retained for deduplication. At 2,200 changes a day, a repeated change is
     * recognised for almost three hours. The number is small because each list of the configuration includes them.
     */
    public static final int RETAINED_CHANGES = 256;

    /** Maximum number of operations in one transaction of the key-value service. */
    public static final int MAXIMUM_OPERATIONS = 128;

    /** Snapshot before the first change. */
    public static final ConfigurationSnapshot EMPTY = new ConfigurationSnapshot(Configuration.EMPTY, 0, Map.of());

    /** Copies the map. */
    public ConfigurationSnapshot {
        changes = Collections.unmodifiableMap(new TreeMap<>(changes));
    }

    /**
     * Decodes the result of a list request for {@link ConfigurationKeys#PREFIX}.
     *
     * @throws TeaselwoodException of kind BAD_CONFIGURATION if a document cannot be decoded
     */
    public static ConfigurationSnapshot decode(List<KeyValue> pairs) {
        long revision = 0;
        long headRevision = 0;
        Map<String, Template> templates = new TreeMap<>();
        Map<String, Team> teams = new TreeMap<>();
        Map<String, ServiceState> states = new TreeMap<>();
        Map<String, AcceptedChange> changes = new TreeMap<>();
        for (KeyValue pair : pairs) {
            try {
                switch (splitKey(pair.key())) {
                    case DocumentKey(String kind, String name)
                    when kind.equals(ConfigurationKeys.TEMPLATE) ->
                        templates.put(name, ConfigurationDocuments.decodeTemplate(name, pair.value()));
                    case DocumentKey(String kind, String name)
                    when kind.equals(ConfigurationKeys.TEAM) ->
                        teams.put(name, ConfigurationDocuments.decodeTeam(name, pair.value()));
                    case DocumentKey(String kind, String name)
                    when kind.equals(ConfigurationKeys.SERVER) ->
                        states.put(name, ConfigurationDocuments.decodeState(pair.value()));
                    case DocumentKey(String kind, String name)
                    when kind.equals(ConfigurationKeys.CHANGE) ->
                        changes.put(name, ConfigurationDocuments.decodeChange(pair.value()));
                    case DocumentKey(String kind, String ignored)
                    when kind.equals(ConfigurationKeys.HEAD) -> {
                        revision = ConfigurationDocuments.decodeHead(pair.value());
                        headRevision = pair.revision();
                    }
                    case DocumentKey ignored -> {
                        // A newer version of the software may store other objects below the prefix.
                    }
                }
            } catch (RuntimeException exception) {
                throw malformed(pair.key(), exception);
            }
        }
        return new ConfigurationSnapshot(new Configuration(revision, templates, teams, states), headRevision, changes);
    }

    /**
     * Returns the revision in a head document.
     *
     * @throws TeaselwoodException of kind BAD_CONFIGURATION when it cannot be decoded
     */
    public static long decodeHeadRevision(KeyValue head) {
        try {
            return ConfigurationDocuments.decodeHead(head.value());
        } catch (RuntimeException exception) {
            throw malformed(head.key(), exception);
        }
    }

    /**
     * Returns the transaction that replaces this configuration with the next one. It is idempotent: its conditions
     * require that the head is unchanged since this snapshot and that the change's identifier is not yet stored.
     *
     * @throws TeaselwoodException of kind BAD_CONFIGURATION when it would write more than
     *     {@value #MAXIMUM_OPERATIONS} keys
     */
    public KeyValueTransaction transactionTo(Configuration next, String change, String digest) {
        List<KeyValueOperation> operations = new ArrayList<>();
        operations.add(put(ConfigurationKeys.HEAD, ConfigurationDocuments.encodeHead(next.revision(), change)));
        AcceptedChange accepted = new AcceptedChange(next.revision(), digest);
        operations.add(put(ConfigurationKeys.CHANGE + change, ConfigurationDocuments.encodeChange(accepted)));
        operations.addAll(ConfigurationDifference.between(configuration, next).operations());
        if (operations.size() > MAXIMUM_OPERATIONS) {
            throw TeaselwoodException.of(
                    ErrorKind.BAD_CONFIGURATION,
                    "the change writes " + operations.size() + " documents, at most " + MAXIMUM_OPERATIONS
                            + " are allowed; publish it in several changes");
        }
        changes.entrySet().stream()
                .filter(entry -> entry.getValue().revision() <= next.revision() - RETAINED_CHANGES)
                .limit(MAXIMUM_OPERATIONS - operations.size())
                .forEach(entry ->
                        operations.add(new KeyValueOperation.Delete(ConfigurationKeys.CHANGE + entry.getKey())));
        return new KeyValueTransaction(
                List.of(
                        new KeyValueCondition(ConfigurationKeys.HEAD, headRevision),
                        new KeyValueCondition(ConfigurationKeys.CHANGE + change, 0)),
                operations);
    }

    static KeyValueOperation put(String key, byte[] value) {
        return new KeyValueOperation.Put(key, value, 0);
    }

    /** Key of a document, split after its last separator into a prefix, which identifies the kind, and a name. */
    private record DocumentKey(String kind, String name) {}

    private static DocumentKey splitKey(String key) {
        if (key.equals(ConfigurationKeys.HEAD)) {
            return new DocumentKey(key, "");
        }
        int end = key.lastIndexOf('/') + 1;
        return new DocumentKey(key.substring(0, end), key.substring(end));
    }

    private static TeaselwoodException malformed(String key, RuntimeException cause) {
        return TeaselwoodException.causedBy(
                cause, ErrorKind.BAD_CONFIGURATION, "the document " + key + " is malformed: " + cause.getMessage());
    }
}
