package org.teaselwood.cli;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.teaselwood.model.Configuration;
import org.teaselwood.model.ServiceState;

/** Tests the service states that are published with declarations. */
class DeclarationChangeTest {
    private static final Configuration IN_FORCE =
            new Configuration(4, Map.of(), Map.of(), Map.of("winder-01", ServiceState.DRAINING));

    private static Map<String, ServiceState> published(Map<String, ServiceState> declared) {
        Configuration declarations = new Configuration(0, Map.of(), Map.of(), declared);
        return DeclarationChange.of(IN_FORCE, DeclarationChange.difference(IN_FORCE, declarations))
                .serverStates();
    }

    /** Guards against publishing a template putting a drained backend server back into service. */
    @Test
    void a_server_that_the_file_does_not_name_keeps_its_state() {
        assertThat(published(Map.of())).isEmpty();
    }

    /** Guards against a declared service state being omitted from the change. */
    @Test
    void a_server_that_the_file_names_gets_the_declared_state() {
        assertThat(published(Map.of("winder-01", ServiceState.IN_SERVICE)))
                .containsExactly("winder-01", ServiceState.IN_SERVICE);
        assertThat(published(Map.of("winder-02", ServiceState.OUT_OF_SERVICE)))
                .containsExactly("winder-02", ServiceState.OUT_OF_SERVICE);
    }
}
