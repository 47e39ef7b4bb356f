package org.teaselwood.store.configuration;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.teaselwood.model.Configuration;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.ServiceState;
import org.teaselwood.model.TeaselwoodException;
import org.teaselwood.store.KeyValue;
import org.teaselwood.store.KeyValueCondition;
import org.teaselwood.store.KeyValueOperation;
import org.teaselwood.store.KeyValueTransaction;
import org.teaselwood.store.declaration.DeclarationReader;

/** Tests of the documents, transactions and differences of configurations. */
class ConfigurationSnapshotTest {
    private static final Configuration LAB = DeclarationReader.read(Path.of("../examples/lab/declarations.ini"));

    /** Guards against values that are lost when a configuration is encoded and decoded. */
    @Test
    void the_documents_of_a_change_are_decoded_to_an_equal_configuration() {
        Configuration first = revision(1, LAB, Map.of("winder-01", ServiceState.DRAINING));
        ConfigurationSnapshot snapshot =
                apply(ConfigurationSnapshot.EMPTY, ConfigurationSnapshot.EMPTY.transactionTo(first, "c1", "d1"), 7);
        assertThat(snapshot).isEqualTo(new ConfigurationSnapshot(first, 7, Map.of("c1", new AcceptedChange(1, "d1"))));
    }

    /** Guards against a removed object that stays in the key-value service, and against rewriting unchanged objects. */
    @Test
    void a_change_writes_only_what_differs() {
        Configuration first = revision(1, LAB, Map.of("winder-01", ServiceState.DRAINING));
        ConfigurationSnapshot snapshot = new ConfigurationSnapshot(first, 7, Map.of());
        KeyValueTransaction transaction = snapshot.transactionTo(revision(2, LAB, Map.of()), "c2", "d2");
        assertThat(transaction.operations().stream().map(KeyValueOperation::key))
                .containsExactly(
                        ConfigurationKeys.HEAD,
                        ConfigurationKeys.CHANGE + "c2",
                        ConfigurationKeys.SERVER + "winder-01");
        assertThat(transaction.conditions())
                .containsExactly(
                        new KeyValueCondition(ConfigurationKeys.HEAD, 7),
                        new KeyValueCondition(ConfigurationKeys.CHANGE + "c2", 0));
        assertThat(ConfigurationDifference.between(first, revision(2, LAB, Map.of()))
                        .lines())
                .containsExactly("- server winder-01");
    }

    /** Guards against unbounded growth of the records of accepted changes in the key-value service. */
    @Test
    void old_records_of_changes_are_removed() {
        int retained = ConfigurationSnapshot.RETAINED_CHANGES;
        Map<String, AcceptedChange> changes =
                Map.of("old", new AcceptedChange(1, "d"), "newer", new AcceptedChange(2, "d"));
        ConfigurationSnapshot snapshot = new ConfigurationSnapshot(revision(retained, LAB, Map.of()), 9, changes);
        assertThat(snapshot.transactionTo(revision(retained + 1, LAB, Map.of()), "c", "d").operations().stream()
                        .filter(KeyValueOperation.Delete.class::isInstance)
                        .map(KeyValueOperation::key))
                .containsExactly(ConfigurationKeys.CHANGE + "old");
    }

    /** Guards against a transaction that the key-value service would reject for its size. */
    @Test
    void a_change_with_too_many_documents_is_rejected() {
        Map<String, ServiceState> states = new TreeMap<>();
        for (int number = 0; number < ConfigurationSnapshot.MAXIMUM_OPERATIONS; number++) {
            states.put("server-" + number, ServiceState.DRAINING);
        }
        Configuration next = revision(1, Configuration.EMPTY, states);
        assertThat(assertThrows(
                                TeaselwoodException.class,
                                () -> ConfigurationSnapshot.EMPTY.transactionTo(next, "c", "d"))
                        .kind())
                .isEqualTo(ErrorKind.BAD_CONFIGURATION);
    }

    /** Guards against a malformed document that terminates the process or is accepted as a valid configuration. */
    @Test
    void a_malformed_document_is_rejected() {
        List<String> documents = List.of("", "{", "[]", "{}", "{\"kind\":7}", "{\"kind\":\"JOB\",\"shape\":{}}");
        for (String document : documents) {
            KeyValue pair =
                    new KeyValue(ConfigurationKeys.TEMPLATE + "t", document.getBytes(StandardCharsets.UTF_8), 3);
            TeaselwoodException exception =
                    assertThrows(TeaselwoodException.class, () -> ConfigurationSnapshot.decode(List.of(pair)));
            assertThat(exception.kind()).isEqualTo(ErrorKind.BAD_CONFIGURATION);
            assertThat(exception).hasMessageThat().contains(ConfigurationKeys.TEMPLATE + "t");
        }
    }

    private static Configuration revision(long revision, Configuration base, Map<String, ServiceState> states) {
        return new Configuration(revision, base.templates(), base.teams(), states);
    }

    /** Returns the snapshot that a transaction creates in an empty key-value service. */
    private static ConfigurationSnapshot apply(
            ConfigurationSnapshot before, KeyValueTransaction transaction, long serviceRevision) {
        assertThat(before).isEqualTo(ConfigurationSnapshot.EMPTY);
        return ConfigurationSnapshot.decode(transaction.operations().stream()
                .map(KeyValueOperation.Put.class::cast)
                .map(put -> new KeyValue(put.key(), put.value(), serviceRevision))
                .toList());
    }
}
