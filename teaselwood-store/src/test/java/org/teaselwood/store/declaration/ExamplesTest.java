package org.teaselwood.store.declaration;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.teaselwood.model.BackendServer;
import org.teaselwood.model.Configuration;
import org.teaselwood.settings.AgentSettings;
import org.teaselwood.settings.EntrySettings;

/** Tests of the two example deployments in {@code examples/}. */
class ExamplesTest {
    private static final Path EXAMPLES = Path.of("..", "examples");

    /** An example deployment with the sizes that the design page states. */
    private record Deployment(String name, int cores, int memoryMebibytes, Set<String> templates) {
        Path directory() {
            return EXAMPLES.resolve(name);
        }
    }

    static List<Deployment> deployments() {
        return List.of(
                new Deployment("lab", 32, 131_072, Set.of("winding-plan", "drift-check", "chime-tuning-render")),
                new Deployment("cooperativa", 64, 262_144, Set.of("engraving-proof", "etching-path")));
    }

    /** Guards against examples whose sizes differ from those that the design page states. */
    @ParameterizedTest
    @MethodSource("deployments")
    void a_deployment_has_eleven_servers_in_three_data_centres(Deployment deployment) {
        List<BackendServer> servers = files(deployment, "agents")
                .map(path -> AgentSettings.read(path).server())
                .toList();
        assertThat(distinct(servers.stream().map(BackendServer::name))).hasSize(11);
        assertThat(distinct(servers.stream().map(BackendServer::dataCentre))).hasSize(3);
        servers.stream()
                .collect(Collectors.groupingBy(BackendServer::rack))
                .values()
                .forEach(rack -> assertThat(rack.size()).isAtMost(3));
        servers.forEach(server -> {
            assertThat(List.of(server.accelerators(), server.cores(), server.slots(), server.maximumConnections()))
                    .isEqualTo(List.of(8, deployment.cores, 8, 64));
            assertThat(server.memoryMebibytes()).isEqualTo(deployment.memoryMebibytes);
        });
    }

    /** Guards against an entry that lacks the token of a team or whose seeds are not addresses of entries. */
    @ParameterizedTest
    @MethodSource("deployments")
    void each_data_centre_has_an_entry_with_the_tokens_of_all_teams(Deployment deployment) {
        Configuration configuration = declarations(deployment);
        List<EntrySettings> entries =
                files(deployment, "entries").map(EntrySettings::read).toList();
        assertThat(distinct(entries.stream().map(EntrySettings::dataCentre))).hasSize(3);
        Set<Object> entryAddresses = distinct(entries.stream().map(EntrySettings::internalListen));
        entries.forEach(entry -> {
            assertThat(entry.teamTokens().keySet())
                    .isEqualTo(configuration.teams().keySet());
            assertThat(entryAddresses).containsAtLeastElementsIn(entry.seeds());
        });
        files(deployment, "agents").map(AgentSettings::read).forEach(agent -> {
            assertThat(entryAddresses).containsAtLeastElementsIn(agent.entries());
        });
    }

    /** Guards against templates whose capabilities no server provides, and against jobs that their template rejects. */
    @ParameterizedTest
    @MethodSource("deployments")
    void the_declarations_fit_the_servers_and_the_jobs(Deployment deployment) {
        Configuration configuration = declarations(deployment);
        assertThat(configuration.templates().keySet()).isEqualTo(deployment.templates);
        assertThat(configuration.teams()).hasSize(4);
        Set<Object> capabilities = distinct(
                files(deployment, "agents").flatMap(path -> AgentSettings.read(path).server().capabilities().stream()));
        configuration
                .templates()
                .values()
                .forEach(template -> assertThat(capabilities).containsAtLeastElementsIn(template.capabilities()));
        configuration
                .teams()
                .values()
                .forEach(team -> assertThat(team.guarantees()).isNotEmpty());
        files(deployment, "jobs")
                .map(SubmissionFile::read)
                .forEach(job -> configuration.templates().get(job.template()).resolveParameters(job.parameters()));
    }

    private static Configuration declarations(Deployment deployment) {
        return DeclarationReader.read(deployment.directory().resolve("declarations.ini"));
    }

    private static Stream<Path> files(Deployment deployment, String directory) {
        try (Stream<Path> files = Files.list(deployment.directory().resolve(directory))) {
            return files.sorted().toList().stream();
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        }
    }

    private static Set<Object> distinct(Stream<?> values) {
        return values.collect(Collectors.toSet());
    }
}
