package org.teaselwood.model;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.Range;
import java.util.Arrays;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** Tests of the error kinds, their message templates and their responses. */
class ErrorKindTest {
    private static final Pattern PLACEHOLDER = Pattern.compile("\\{[0-9]}");

    /** Guards against braces or apostrophes in an argument being interpreted as message format syntax. */
    @Test
    void messages_are_filled_in_with_arguments_that_hold_braces_and_apostrophes() {
        assertThat(ErrorKind.BAD_PARAMETER.message("tower", "don't use {0}"))
                .isEqualTo("Parameter tower: don't use {0}");
    }

    /** Guards against locale-specific digit grouping, such as 8,080 for a port. */
    @Test
    void numbers_are_written_without_grouping() {
        assertThat(ErrorKind.REVISION_MOVED.message(1234567L, 12L))
                .isEqualTo("The configuration is at revision 1234567, not 12");
    }

    /** Guards against a success status for an error, and against invalid input being reported as retryable. */
    @Test
    void every_kind_has_an_error_status_that_agrees_with_whether_a_retry_may_help() {
        Arrays.stream(ErrorKind.values()).forEach(kind -> {
            ErrorAnswer answer = ErrorAnswer.of(kind);
            assertWithMessage(kind.name()).that(answer.httpStatus()).isIn(Range.closed(400, 599));
            if (answer.httpStatus() == 400 || answer.httpStatus() == 422) {
                assertWithMessage(kind.name()).that(answer.retryable()).isFalse();
            }
            assertWithMessage(kind.name())
                    .that(PLACEHOLDER.matcher(kind.message("a", "b", "c")).find())
                    .isFalse();
        });
    }
}
