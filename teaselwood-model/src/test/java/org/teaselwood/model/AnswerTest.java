package org.teaselwood.model;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that a truncated or corrupted answer is never accepted as complete. */
class AnswerTest {
    private static final byte[] CONTENT = "bell 4: 523.25 Hz".getBytes(StandardCharsets.UTF_8);

    /** Guards against accepting an answer that was truncated in transit. */
    @Test
    void every_truncation_of_an_answer_is_refused() {
        Answer whole = Answer.of(CONTENT);
        for (int length = 0; length < CONTENT.length; length++) {
            byte[] truncated = Arrays.copyOf(CONTENT, length);
            TeaselwoodException exception = assertThrows(
                    TeaselwoodException.class, () -> Answer.verified(truncated, whole.length(), whole.checksum()));
            assertThat(exception.kind()).isEqualTo(ErrorKind.ANSWER_DAMAGED);
        }
    }

    /** Guards against accepting corrupted content of the expected length. */
    @Test
    void a_changed_byte_is_refused() {
        Answer whole = Answer.of(CONTENT);
        byte[] changed = CONTENT.clone();
        changed[3] ^= 1;
        assertThrows(TeaselwoodException.class, () -> Answer.verified(changed, whole.length(), whole.checksum()));
    }

    /** Guards against joining parts in the order of their arrival. */
    @Test
    void parts_are_joined_in_part_order() {
        Answer joined =
                Answer.join(List.of(Answer.of(new byte[] {1, 2}), Answer.of(new byte[0]), Answer.of(new byte[] {3})));
        assertThat(joined.content()).isEqualTo(new byte[] {1, 2, 3});
    }

    /** Guards against checking the size limit only for each part and not for their sum. */
    @Test
    void a_joined_answer_over_the_limit_is_refused() {
        Answer part = Answer.of(new byte[Answer.MAXIMUM_BYTES / 2 + 1]);
        TeaselwoodException exception = assertThrows(TeaselwoodException.class, () -> Answer.join(List.of(part, part)));
        assertThat(exception.kind()).isEqualTo(ErrorKind.ANSWER_TOO_LARGE);
    }
}
