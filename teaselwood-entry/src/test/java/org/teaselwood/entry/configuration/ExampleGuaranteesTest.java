package org.teaselwood.entry.configuration;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.teaselwood.model.Configuration;
import org.teaselwood.policy.GuaranteeScheduler;
import org.teaselwood.policy.PolicyEvent;
import org.teaselwood.policy.Scheduler;
import org.teaselwood.settings.AgentSettings;
import org.teaselwood.store.declaration.DeclarationReader;

/** Tests of the guarantees in {@code examples/} with the guarantee check of the scheduler. */
class ExampleGuaranteesTest {
    /** Guards against example declarations that an entry refuses because their guarantees do not fit. */
    @ParameterizedTest
    @ValueSource(strings = {"lab", "cooperativa"})
    void the_guarantees_of_a_deployment_can_all_be_packed_on_its_servers(String deployment) throws IOException {
        Path directory = Path.of("..", "examples", deployment);
        Scheduler scheduler = new GuaranteeScheduler();
        try (Stream<Path> agents = Files.list(directory.resolve("agents"))) {
            agents.sorted()
                    .forEach(path -> scheduler.handle(
                            new PolicyEvent.ServerJoined(
                                    AgentSettings.read(path).server()),
                            0));
        }
        Configuration configuration = DeclarationReader.read(directory.resolve("declarations.ini"));
        assertDoesNotThrow(() -> scheduler.checkGuarantees(configuration));
    }
}
