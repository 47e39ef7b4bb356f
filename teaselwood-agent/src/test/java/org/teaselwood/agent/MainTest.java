package org.teaselwood.agent;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the command line of the agent. */
class MainTest {
    /** Guards against a usage error that is reported as success or as invalid settings. */
    @ParameterizedTest
    @CsvSource({
        "--help, 0",
        "--version, 0",
        "'', 64",
        "--unknown, 64",
        "--settings, 64",
        "--settings /nonexistent/agent.ini, 78",
    })
    void the_exit_status_distinguishes_usage_errors_from_invalid_settings(String line, int expected) {
        String[] arguments = line.isEmpty() ? new String[0] : line.split(" ");
        assertThat(Main.run(arguments)).isEqualTo(expected);
    }

    /** Guards against an agent that starts with a mistyped key in its settings. */
    @Test
    void an_unknown_settings_key_is_refused(@TempDir Path directory) throws Exception {
        Path file = Files.writeString(directory.resolve("agent.ini"), "[agent]\nnmae = w1\n");
        assertThat(Main.run(new String[] {"--settings", file.toString()})).isEqualTo(78);
    }
}
