package org.teaselwood.cli;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.json.JsonObject;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the exit codes, which operators' scripts depend on, and the output of the commands. */
class CommandLineTest {
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

    @TempDir
    private Path directory;

    @ParameterizedTest
    @CsvSource({
        "--help, OK",
        "--version, OK",
        "submit --help, OK",
        "'', USAGE",
        "nonsense, USAGE",
        "answer, USAGE",
        "submit --unknown-option, USAGE",
        "submit, USAGE",
        "status j/../x, USAGE",
        "cancel j-1 --server http://127.0.0.1:1, UNAVAILABLE",
        "status --server not-an-address, USAGE",
        "entry --settings missing.ini, BAD_SETTINGS",
        "check-settings missing.ini, BAD_SETTINGS",
        "submit missing.ini, BAD_SETTINGS",
        "trace j-1, USAGE",
        "trace j-1 missing.log, USAGE",
        "explain j-1 --token-file missing, BAD_SETTINGS"
    })
    void every_invocation_ends_with_the_expected_exit_code(String arguments, ExitCode code) {
        assertThat(run(arguments.isEmpty() ? new String[0] : arguments.split(" ")))
                .isEqualTo(code);
    }

    @Test
    void an_error_is_written_as_json_if_requested() {
        run("status", "--json", "--server", "http://127.0.0.1:1");

        assertThat(new JsonObject(errors.toString(StandardCharsets.UTF_8)).getString("detail"))
                .contains("cannot be reached");
        assertThat(output.size()).isEqualTo(0);
    }

    @Test
    void a_trace_merges_the_lines_of_all_processes_in_timestamp_order() throws Exception {
        Path entry = directory.resolve("entry.log");
        Files.writeString(entry, "not JSON 5c0e\n" + logLine(20, "job 5c0e accepted") + logLine(10, "job 77 accepted"));
        Path agent = directory.resolve("agent.log");
        Files.writeString(agent, "1.5 side-1 " + logLine(15, "task 5c0e.0.0.0 started"));

        assertThat(run("trace", "5c0e", entry.toString(), agent.toString())).isEqualTo(ExitCode.OK);
        List<String> lines = output.toString(StandardCharsets.UTF_8).lines().toList();
        assertThat(lines).hasSize(2);
        assertThat(lines.get(0)).contains("1.5 side-1");
        assertThat(lines.get(1)).contains("job 5c0e accepted");
    }

    private static String logLine(long milliseconds, String message) {
        return new JsonObject()
                        .put("timestamp", milliseconds)
                        .put("level", "INFO")
                        .put("formattedMessage", message)
                        .encode()
                + "\n";
    }

    @Test
    void each_error_in_a_submission_file_is_reported_with_its_line_number() throws Exception {
        Path file = directory.resolve("job.ini");
        Files.writeString(file, "[submission]\ntemplate = plan\ndeadline = soon\n[extra]\na = b\n");

        assertThat(run("submit", file.toString())).isEqualTo(ExitCode.BAD_SETTINGS);
        assertThat(errors.toString(StandardCharsets.UTF_8)).contains("job.ini:3: [submission] deadline");
        assertThat(errors.toString(StandardCharsets.UTF_8)).contains("job.ini:4: [extra]");
    }

    private ExitCode run(String... arguments) {
        return new CommandLine(new Console(new PrintStream(output), new PrintStream(errors))).run(arguments);
    }
}
