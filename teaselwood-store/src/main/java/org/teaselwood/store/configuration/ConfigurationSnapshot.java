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
 * One whole state of the configuration in the key-value service. Immutable.
 *
 * <p>It is decoded from one list of {@link ConfigurationKeys#PREFIX}, which the service answers from a single revision,
 * so that objects of two changes are never mixed.
 *
 * @param configuration the configuration
 * @param headRevision revision of the service at which the head was written, 0 before the first change
 * @param changes accepted changes by identifier, the newest {@value #KEPT_CHANGES}
 */
public record ConfigurationSnapshot(
        Configuration configuration, long headRevision, Map<String, AcceptedChange> changes) {
    /**
     * Accepted changes that the service keeps. At 2,200 changes a day this is almost three hours in which a repeated
     * change is recognised; each list of the configuration carries them, so that there must not be many.
     */
    public static final int KEPT_CHANGES = 256;

    /** Most writes in one transaction of the service. */
    public static final int MAXIMUM_OPERATIONS = 128;

    /** The state before the first change. */
    public static final ConfigurationSnapshot EMPTY = new ConfigurationSnapshot(Configuration.EMPTY, 0, Map.of());

    /** Copies the map. */
    public ConfigurationSnapshot {
        changes = Collections.unmodifiableMap(new TreeMap<>(changes));
    }

    /**
     * Decodes a list of {@link ConfigurationKeys#PREFIX}.
     *
     * @throws TeaselwoodException of kind BAD_CONFIGURATION when a document cannot be decoded
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
                switch (nameIn(pair.key())) {
                    case DocumentName(String kind, String name)
                    when kind.equals(ConfigurationKeys.TEMPLATE) ->
                        templates.put(name, ConfigurationDocuments.decodeTemplate(name, pair.value()));
                    case DocumentName(String kind, String name)
                    when kind.equals(ConfigurationKeys.TEAM) ->
                        teams.put(name, ConfigurationDocuments.decodeTeam(name, pair.value()));
                    case DocumentName(String kind, String name)
                    when kind.equals(ConfigurationKeys.SERVER) ->
                        states.put(name, ConfigurationDocuments.decodeState(pair.value()));
                    case DocumentName(String kind, String name)
                    when kind.equals(ConfigurationKeys.CHANGE) ->
                        changes.put(name, ConfigurationDocuments.decodeChange(pair.value()));
                    case DocumentName(String kind, String ignored)
                    when kind.equals(ConfigurationKeys.HEAD) -> {
                        revision = ConfigurationDocuments.decodeHead(pair.value());
                        headRevision = pair.revision();
                    }
                    case DocumentName ignored -> {
                        // A newer version of the program may keep further objects below the prefix.
                    }
                }
            } catch (RuntimeException exception) {
                throw malformed(pair.key(), exception);
            }
        }
        return new ConfigurationSnapshot(new Configuration(revision, templates, teams, states), headRevision, changes);
    }

    /**
     * Revision in a head document.
     *
     * @throws TeaselwoodException of kind BAD_CONFIGURATION when it cannot be decoded
     */
    public static long revisionOfHead(KeyValue head) {
        try {
            return ConfigurationDocuments.decodeHead(head.value());
        } catch (RuntimeException exception) {
            throw malformed(head.key(), exception);
        }
    }

    /**
     * The transaction that replaces this configuration by the next one. It applies only while the head and the change's
     * identifier are as in this snapshot, so that sending it twice has the effect of sending it once.
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
                .filter(entry -> entry.getValue().revision() <= next.revision() - KEPT_CHANGES)
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

    /** Kind and name of a document: the key up to its last separator, and the rest. */
    private record DocumentName(String kind, String name) {}

    private static DocumentName nameIn(String key) {
        if (key.equals(ConfigurationKeys.HEAD)) {
            return new DocumentName(key, "");
        }
        int end = key.lastIndexOf('/') + 1;
        return new DocumentName(key.substring(0, end), key.substring(end));
    }

    private static TeaselwoodException malformed(String key, RuntimeException cause) {
        return TeaselwoodException.causedBy(
                cause, ErrorKind.BAD_CONFIGURATION, "the document " + key + " is malformed: " + cause.getMessage());
    }
}
