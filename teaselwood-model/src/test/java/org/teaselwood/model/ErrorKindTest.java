package org.teaselwood.model;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.Range;
import java.util.Arrays;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** Tests of the table of error kinds. */
class ErrorKindTest {
    private static final Pattern PLACEHOLDER = Pattern.compile("\\{[0-9]}");

    /** Guards against a message that shows a placeholder or loses an apostrophe. */
    @Test
    void messages_are_filled_in_with_arguments_that_hold_braces_and_apostrophes() {
        assertThat(ErrorKind.BAD_PARAMETER.message("tower", "don't use {0}"))
                .isEqualTo("Parameter tower: don't use {0}");
    }

    /** Guards against numbers that are grouped by the locale, such as port 8,080. */
    @Test
    void numbers_are_written_without_grouping() {
        assertThat(ErrorKind.REVISION_MOVED.message(1234567L, 12L))
                .isEqualTo("The configuration is at revision 1234567, not 12");
    }

    /** Guards against a status that tells success, and against a retryable failure of the caller's own input. */
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
