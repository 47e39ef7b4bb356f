package org.teaselwood.settings;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.teaselwood.model.BackendServer;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.TeaselwoodException;

/** Tests of the settings of entries and agents: parsed values, defaults, and the reported errors with their lines. */
class SettingsTest {
    private static final String AGENT = """
            # The agent of one backend server.
            [agent]
            name = winder-07
            region = trinidad
            data-centre = arima
            rack = arima-1
            capabilities = chime-tuning, drift-check
            accelerators = 8
            cores = 32
            memory = 128 GiB
            slots = 8
            entries = 127.0.0.1:7400, [::1]:7401
            worker = 127.0.0.1:7500
            drain-timeout = 10 min
            """;
    private static final String ENTRY = """
            [entry]
            identifier = entry-1
            region = trinidad
            data-centre = arima
            http-listen = 127.0.0.1:8080
            internal-listen = 127.0.0.1:7400
            operator-token = operator-token-0001
            [key-value]
            endpoints = 127.0.0.1:2379
            [team-tokens]
            winding = winding-token-00001
            [timings]
            hold = 4 s
            """;

    /** A replacement in a valid file, and the prefix of each error message that it must cause. */
    private record InvalidFile(
            String name, String base, String original, String replacement, List<String> expectedErrors) {
        @Override
        public String toString() {
            return name;
        }
    }

    private static InvalidFile agent(String name, String original, String replacement, String... expectedErrors) {
        return new InvalidFile(name, AGENT, original, replacement, List.of(expectedErrors));
    }

    private static InvalidFile entry(String name, String original, String replacement, String... expectedErrors) {
        return new InvalidFile(name, ENTRY, original, replacement, List.of(expectedErrors));
    }

    static Stream<InvalidFile> invalidAgentFiles() {
        return Stream.of(
                agent("a missing required key", "cores = 32\n", "", "f.ini:2: [agent] cores: the key is missing"),
                agent("an unknown key", "slots = 8", "slot = 8", "f.ini:11: [agent] slot: unknown key"),
                agent("a size without its unit", "128 GiB", "128", "f.ini:10: [agent] memory: the unit is missing"),
                agent("a size with a time unit", "128 GiB", "9 s", "f.ini:10: [agent] memory: the unit s is unknown"),
                agent("a unit of the wrong case", "10 min", "10 MIN", "f.ini:14: [agent] drain-timeout: the unit MIN"),
                agent("a huge duration", "10 min", "999999999999999 d", "f.ini:14: [agent] drain-timeout: "),
                agent("a negative count", "= 32", "= -1", "f.ini:9: [agent] cores: -1 is not within 1 to 65536"),
                agent("a count in words", "= 32", "= many", "f.ini:9: [agent] cores: 'many' is not a whole number"),
                agent("an empty value", "winder-07", "", "f.ini:3: [agent] name: '' is not a name"),
                agent("a host name", "[::1]:7401", "localhost:1", "f.ini:12: [agent] entries: 'localhost:1' is not an"),
                agent("a bad IP address", "[::1]:7401", "1.2.3.999:1", "f.ini:12: [agent] entries: '1.2.3.999' is not"),
                agent("a port out of range", "[::1]:7401", "[::1]:70000", "f.ini:12: [agent] entries: port 70000"),
                agent(
                        "a repeated element",
                        "[::1]:7401",
                        "127.0.0.1:7400",
                        "f.ini:12: [agent] entries: the list contains"),
                agent("a remote worker", "127.0.0.1:7500", "10.0.0.1:7500", "f.ini:13: [agent] worker: the worker"),
                agent("remote entries without a key", "[::1]:7401", "10.0.0.9:1", "f.ini:12: [agent] entries: without"),
                agent(
                        "a duplicate key",
                        "slots = 8",
                        "cores = 8",
                        "f.ini:11: [agent] cores: duplicate key; first defined on line 9"),
                agent("a line without a value", "slots = 8", "slots", "f.ini:11: [agent]: the line is not of the form"),
                agent("a key outside a section", "# The", "x = 1\n#", "f.ini:1: a key must follow a section header"),
                agent(
                        "a duplicate section",
                        "slots",
                        "[agent]\nslots",
                        "f.ini:11: [agent]: duplicate section; first defined on line 2"),
                agent(
                        "an unknown section",
                        "slots = 8",
                        "[slots]\nn = 8",
                        "f.ini:2: [agent] entries: the key is missing",
                        "f.ini:2: [agent] worker: the key is missing",
                        "f.ini:11: [slots]: unknown section"),
                agent(
                        "two errors at once",
                        "accelerators = 8\ncores = 32",
                        "accelerators = x\ncores = y",
                        "f.ini:8: [agent] accelerators: 'x' is not",
                        "f.ini:9: [agent] cores: 'y' is not"));
    }

    static Stream<InvalidFile> invalidEntryFiles() {
        return Stream.of(
                entry(
                        "a short secret",
                        "winding-token-00001",
                        "short",
                        "f.ini:11: [team-tokens] winding: a secret must"),
                entry(
                        "a shared token",
                        "winding = winding-token-00001",
                        "a = winding-token-00001\nb = winding-token-00001",
                        "f.ini:10: [team-tokens]: two teams have the same token"),
                entry(
                        "a remote address without a key",
                        "= 127.0.0.1:7400",
                        "= 10.0.0.1:7400",
                        "f.ini:6: [entry] internal-listen: without shared-key"),
                entry(
                        "team tokens without the operator's",
                        "operator-token = operator-token-0001\n",
                        "",
                        "f.ini:1: [entry] operator-token: required when team tokens"),
                entry(
                        "a suspect timeout shorter than two heartbeat intervals",
                        "hold = 4 s",
                        "entry-suspect = 600 ms",
                        "f.ini:13: [timings] entry-suspect: must be at least 2 times entry-heartbeat"),
                entry(
                        "half of the TLS files",
                        "[timings]",
                        "[tls]\ncertificate = a.pem\n[timings]",
                        "f.ini:12: [tls] private-key: the key is missing",
                        "f.ini:12: [tls] authorities: the key is missing"));
    }

    /** Guards against an error that is not detected, is reported at the wrong line, or is hidden by an earlier one. */
    @ParameterizedTest
    @MethodSource({"invalidAgentFiles", "invalidEntryFiles"})
    void every_error_is_reported_with_file_section_key_and_line(InvalidFile invalid) {
        assertThat(invalid.base).contains(invalid.original);
        String text = invalid.base.replace(invalid.original, invalid.replacement);
        TeaselwoodException exception = assertThrows(TeaselwoodException.class, () -> read(invalid.base, text));
        assertThat(exception.kind()).isEqualTo(ErrorKind.BAD_SETTING);
        List<String> reported = exception.getMessage().lines().toList();
        assertThat(reported).hasSize(invalid.expectedErrors.size());
        for (int index = 0; index < reported.size(); index++) {
            assertThat(reported.get(index)).startsWith(invalid.expectedErrors.get(index));
        }
    }

    /** Guards against a value that is read from the wrong key or in the wrong unit. */
    @Test
    void an_agent_file_is_parsed_into_its_settings() {
        AgentSettings settings = AgentSettings.of(parse(AGENT));
        assertThat(settings)
                .isEqualTo(new AgentSettings(
                        new BackendServer(
                                "winder-07",
                                "trinidad",
                                "arima",
                                "arima-1",
                                Set.of("chime-tuning", "drift-check"),
                                8,
                                32,
                                131_072,
                                8,
                                64,
                                1.0),
                        List.of(new NetworkAddress("127.0.0.1", 7400), new NetworkAddress("::1", 7401)),
                        new NetworkAddress("127.0.0.1", 7500),
                        Optional.empty(),
                        Optional.empty(),
                        600_000));
    }

    /** Guards against defaults that differ from the documented ones, and against a configured value that is ignored. */
    @Test
    void an_entry_file_is_parsed_into_its_settings_with_defaults() {
        EntrySettings settings = EntrySettings.of(parse(ENTRY));
        assertThat(settings.timings())
                .isEqualTo(new EntryTimings(
                        500, 2_000, 1_500, 6_000, 20_000, 4_000, 10_000, 3_000, 3_000, 2_000, 10_000, 3_000));
        assertThat(settings.teamTokens()).isEqualTo(Map.of("winding", new Secret("winding-token-00001")));
        assertThat(settings.requiresTokens()).isTrue();
        assertThat(settings.seeds()).isEmpty();
        assertThat(settings.tls()).isEmpty();
    }

    /** Guards against secrets in logs. */
    @Test
    void the_string_form_of_a_settings_record_contains_no_secret() {
        assertThat(EntrySettings.of(parse(ENTRY)).toString()).doesNotContain("-token-0");
    }

    /** Guards against a missing file that is reported with another error kind than BAD_SETTING. */
    @Test
    void a_missing_file_is_reported_as_a_bad_setting() {
        TeaselwoodException exception =
                assertThrows(TeaselwoodException.class, () -> EntrySettings.read(Path.of("no-such-file.ini")));
        assertThat(exception.kind()).isEqualTo(ErrorKind.BAD_SETTING);
        assertThat(exception).hasMessageThat().startsWith("no-such-file.ini");
    }

    /** Guards against a library that interprets a value: interpolation, lists, dots in keys, inline comments. */
    @Test
    void values_are_read_literally() {
        Map<String, String> values =
                Map.of("a.b", "${sys:user.home}", "list", "x, y", "pattern", "[a-z]+\\.[0-9]{1,3}");
        String text = values.entrySet().stream()
                .map(value -> value.getKey() + " = " + value.getValue())
                .collect(Collectors.joining("\n", "[section one.two]\n", "\n"));
        IniDocument.Section section = parse(text).find("section one.two").orElseThrow();
        assertThat(section.entries().stream()
                        .collect(Collectors.toMap(IniDocument.Entry::key, IniDocument.Entry::value)))
                .isEqualTo(values);
    }

    private static Record read(String base, String text) {
        return base.equals(AGENT) ? AgentSettings.of(parse(text)) : EntrySettings.of(parse(text));
    }

    private static IniDocument parse(String text) {
        return IniDocument.parse("f.ini", text, ErrorKind.BAD_SETTING);
    }
}
