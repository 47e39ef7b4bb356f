package org.teaselwood.agent.core;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Runs the scenarios of agent-scenarios.txt, each of which names the failure that it guards against. */
class AgentCoreTest {
    /** A scenario with its expected effects. */
    record Scenario(String name, String text) {
        @Override
        public String toString() {
            return name;
        }
    }

    static List<Scenario> scenarios() throws IOException {
        try (InputStream stream = AgentCoreTest.class.getResourceAsStream("agent-scenarios.txt")) {
            String text = new String(stream.readAllBytes(), StandardCharsets.UTF_8);
            return Arrays.stream(text.split("\n== "))
                    .skip(1)
                    .map(AgentCoreTest::scenario)
                    .toList();
        }
    }

    private static Scenario scenario(String block) {
        Stream<String> lines = block.lines().skip(1).filter(line -> !line.isBlank() && !line.startsWith("#"));
        return new Scenario(block.lines().findFirst().orElseThrow(), lines.collect(Collectors.joining("\n")));
    }

    @ParameterizedTest
    @MethodSource("scenarios")
    void the_effects_match_the_scenario(Scenario scenario) {
        assertThat(new ScenarioRunner().run(scenario.text())).isEqualTo(scenario.text());
    }

    /** Guards against a dependency of the core on a clock, random numbers or the order of an unordered collection. */
    @ParameterizedTest
    @MethodSource("scenarios")
    void the_same_events_give_the_same_effects(Scenario scenario) {
        assertThat(new ScenarioRunner().run(scenario.text())).isEqualTo(new ScenarioRunner().run(scenario.text()));
    }
}
