package org.teaselwood.settings;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.TeaselwoodException;

/** Tests that written values are read back unchanged. */
class IniWriterTest {
    private static final String ALPHABET = "ab =;#\"'\\[]{}$,:.|\u00e9";
    private static final int ROUNDS = 20_000;

    /** Guards against a value that the parser changes: comment characters, quotes, escapes, interpolation. */
    @Test
    void every_writable_value_is_read_back_unchanged() {
        Random random = new Random(20_261_204L);
        int written = 0;
        for (int round = 0; round < ROUNDS; round++) {
            String value = randomText(random);
            if (ValueTypes.isWritable(value)) {
                written++;
                String text = new IniWriter().section("s").entry("k", value).text();
                IniDocument document = IniDocument.parse("w.ini", text, ErrorKind.BAD_SETTING);
                assertThat(document.sections()).hasSize(1);
                assertThat(document.sections().getFirst().entries())
                        .isEqualTo(List.of(new IniDocument.Entry("k", value, 2)));
            }
        }
        assertThat(written).isGreaterThan(ROUNDS / 2);
    }

    /** Guards against a value that continues on the next line of the file. */
    @Test
    void a_value_that_cannot_be_written_on_one_line_is_rejected() {
        for (String value : List.of("two\nlines", "continued\\", "escaped \\\" quote")) {
            IniWriter writer = new IniWriter().section("s");
            assertThrows(TeaselwoodException.class, () -> writer.entry("k", value));
        }
    }

    /** Guards against a value that the library silently splits at the wrong separator. */
    @Test
    void a_line_that_the_library_splits_at_the_wrong_separator_is_rejected() {
        TeaselwoodException exception = assertThrows(
                TeaselwoodException.class, () -> IniDocument.parse("w.ini", "[s]\nk = :\"", ErrorKind.BAD_SETTING));
        assertThat(exception).hasMessageThat().contains("w.ini:1: [s]: the line with 'k =' is ambiguous");
    }

    private static String randomText(Random random) {
        StringBuilder text = new StringBuilder();
        int length = random.nextInt(8);
        for (int index = 0; index < length; index++) {
            text.append(ALPHABET.charAt(random.nextInt(ALPHABET.length())));
        }
        return text.toString();
    }
}
