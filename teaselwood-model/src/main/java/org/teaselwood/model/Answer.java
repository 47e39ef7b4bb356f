package org.teaselwood.model;

import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Complete answer of a job or of one of its parts. Immutable: the content is copied on input and output.
 *
 * <p>Length and checksum are transmitted with the content, so that a truncated answer is never accepted as complete.
 */
public final class Answer {
    /** Maximum size of a job's answer, in bytes. */
    public static final int MAXIMUM_BYTES = 512 * 1024;

    private final byte[] content;
    private final int checksum;

    private Answer(byte[] content) {
        this.content = content;
        this.checksum = checksumOf(content);
    }

    /**
     * Creates an answer from its complete content.
     *
     * @throws TeaselwoodException of kind ANSWER_TOO_LARGE if the content exceeds {@link #MAXIMUM_BYTES}
     */
    public static Answer of(byte[] content) {
        if (content.length > MAXIMUM_BYTES) {
            throw TeaselwoodException.of(ErrorKind.ANSWER_TOO_LARGE, content.length, MAXIMUM_BYTES);
        }
        return new Answer(content.clone());
    }

    /**
     * Creates an answer from received content after checking its length in bytes and its CRC-32C.
     *
     * @throws TeaselwoodException of kind ANSWER_DAMAGED if the length or the checksum does not match, of kind
     *     ANSWER_TOO_LARGE if the content exceeds {@link #MAXIMUM_BYTES}
     */
    public static Answer verified(byte[] content, int length, int checksum) {
        Answer answer = of(content);
        if (content.length != length || answer.checksum != checksum) {
            throw TeaselwoodException.of(ErrorKind.ANSWER_DAMAGED, length, content.length);
        }
        return answer;
    }

    /**
     * Concatenates the answers of the parts in the given order.
     *
     * @throws TeaselwoodException of kind ANSWER_TOO_LARGE if the result exceeds {@link #MAXIMUM_BYTES}
     */
    public static Answer join(List<Answer> parts) {
        int length = parts.stream().mapToInt(Answer::length).sum();
        byte[] joined = new byte[Math.min(length, MAXIMUM_BYTES + 1)];
        int position = 0;
        for (Answer part : parts) {
            if (position + part.length() > MAXIMUM_BYTES) {
                throw TeaselwoodException.of(ErrorKind.ANSWER_TOO_LARGE, length, MAXIMUM_BYTES);
            }
            System.arraycopy(part.content, 0, joined, position, part.length());
            position += part.length();
        }
        return new Answer(joined);
    }

    /** Returns a copy of the content. */
    public byte[] content() {
        return content.clone();
    }

    /** Returns the length in bytes. */
    public int length() {
        return content.length;
    }

    /** Returns the CRC-32C of the content. */
    public int checksum() {
        return checksum;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Answer answer && Arrays.equals(content, answer.content);
    }

    @Override
    public int hashCode() {
        return checksum;
    }

    private static int checksumOf(byte[] content) {
        CRC32C crc = new CRC32C();
        crc.update(content);
        return (int) crc.getValue();
    }
}
