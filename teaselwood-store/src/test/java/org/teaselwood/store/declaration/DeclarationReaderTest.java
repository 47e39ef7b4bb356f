package org.teaselwood.store.declaration;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.teaselwood.model.Configuration;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.ServiceState;
import org.teaselwood.model.TeaselwoodException;
import org.teaselwood.settings.IniDocument;

/** Tests of declarations files and their canonical form. */
class DeclarationReaderTest {
    private static final String TEXT = """
            [template proof]
            kind = request
            slots = 1
            memory = 2 GiB
            run-time = 3 s
            command = proof --quiet
            [parameter proof plate]
            pattern = [a-z]+
            default = none
            [team press]
            accelerator-quota = 8
            [guarantee press 1]
            count = 2
            accelerators = 4
            adjacency = rack
            [server press-01]
            state = draining
            [server press-02]
            state = in-service
            """;

    /** A replacement in the valid text, and the error that it must cause. */
    private record InvalidDeclaration(String original, String replacement, String expectedError) {}

    static Stream<InvalidDeclaration> invalidDeclarations() {
        return Stream.of(
                new InvalidDeclaration(
                        "kind = request", "kind = batch", "d.ini:2: [template proof] kind: 'batch' is not one of"),
                new InvalidDeclaration(
                        "kind = request",
                        "colour = red\nkind = request",
                        "d.ini:2: [template proof] colour: unknown key"),
                new InvalidDeclaration(
                        "run-time = 3 s", "run-time = 3", "d.ini:5: [template proof] run-time: the unit is missing"),
                new InvalidDeclaration(
                        "slots = 1", "parts = 129", "d.ini:3: [template proof] parts: 129 is not within 1 to 128"),
                new InvalidDeclaration(
                        "slots = 1", "slots = 0\ncores = 1", "d.ini:3: [template proof] slots: a request must use"),
                new InvalidDeclaration(
                        "slots = 1",
                        "slots = 1\nparts = 2",
                        "d.ini:4: [template proof] parts: a request must have exactly one"),
                new InvalidDeclaration(
                        "[a-z]+", "[a-z", "d.ini:8: [parameter proof plate] pattern: not a regular expression"),
                new InvalidDeclaration(
                        "= none", "= NONE", "d.ini:9: [parameter proof plate] default: the default does not match"),
                new InvalidDeclaration(
                        "[parameter proof", "[parameter prof", "d.ini:7: [parameter prof plate]: there is no"),
                new InvalidDeclaration(
                        "[guarantee press 1]", "[guarantee pres 1]", "d.ini:12: [guarantee pres 1]: there is no"),
                new InvalidDeclaration(
                        "[guarantee press 1]",
                        "[guarantee press 2]",
                        "d.ini:12: [guarantee press 2]: the guarantee number"),
                new InvalidDeclaration(
                        "quota = 8", "quota = 7", "d.ini:11: [team press] accelerator-quota: the guarantees total 8"),
                new InvalidDeclaration(
                        "accelerators = 4", "memory = 1 GiB", "d.ini:12: [guarantee press 1]: a part must use"),
                new InvalidDeclaration(
                        "adjacency = rack", "adjacency = room", "d.ini:15: [guarantee press 1] adjacency: 'room'"),
                new InvalidDeclaration(
                        "[team press]", "[team Press]", "d.ini:10: [team Press]: 'Press' is not a valid name"),
                new InvalidDeclaration(
                        "[server press-01]", "[machine press-01]", "d.ini:16: [machine press-01]: unknown section"),
                new InvalidDeclaration(
                        "state = draining", "state = off", "d.ini:17: [server press-01] state: 'off' is not one of"));
    }

    /** Guards against an invalid declaration that is accepted or reported at the wrong line. */
    @ParameterizedTest
    @MethodSource("invalidDeclarations")
    void an_invalid_declaration_is_rejected_with_file_section_key_and_line(InvalidDeclaration invalid) {
        assertThat(TEXT).contains(invalid.original);
        String text = TEXT.replace(invalid.original, invalid.replacement);
        TeaselwoodException exception = assertThrows(TeaselwoodException.class, () -> read(text));
        assertThat(exception.kind()).isEqualTo(ErrorKind.BAD_CONFIGURATION);
        assertThat(exception).hasMessageThat().contains(invalid.expectedError);
    }

    /** Guards against a canonical form that loses a value, or that is unstable and causes spurious differences. */
    @Test
    void the_canonical_form_is_read_back_to_an_equal_configuration() {
        List<Configuration> configurations = List.of(
                read(TEXT),
                DeclarationReader.read(Path.of("../examples/lab/declarations.ini")),
                DeclarationReader.read(Path.of("../examples/cooperativa/declarations.ini")));
        for (Configuration configuration : configurations) {
            String canonical = DeclarationWriter.write(configuration);
            assertThat(read(canonical)).isEqualTo(configuration);
            assertThat(DeclarationWriter.write(read(canonical))).isEqualTo(canonical);
        }
    }

    /** Guards against stored states that only repeat the default and would never be removed. */
    @Test
    void a_server_in_service_has_no_stored_state() {
        assertThat(read(TEXT).serverStates()).containsExactly("press-01", ServiceState.DRAINING);
    }

    private static Configuration read(String text) {
        return DeclarationReader.of(IniDocument.parse("d.ini", text, ErrorKind.BAD_CONFIGURATION));
    }
}
