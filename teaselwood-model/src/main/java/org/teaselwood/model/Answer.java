package org.teaselwood.model;

import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * A whole answer or the whole answer of one part. Immutable: the content is copied on the way in and out.
 *
 * <p>Length and checksum travel beside the content, so that a piece of an answer is never taken for the whole.
 */
public final class Answer {
    /** Largest answer of a job, in bytes. */
    public static final int MAXIMUM_BYTES = 512 * 1024;

    private final byte[] content;
    private final int checksum;

    private Answer(byte[] content) {
        this.content = content;
        this.checksum = checksumOf(content);
    }

    /**
     * An answer made of whole content.
     *
     * @throws TeaselwoodException of kind ANSWER_TOO_LARGE
     */
    public static Answer of(byte[] content) {
        if (content.length > MAXIMUM_BYTES) {
            throw TeaselwoodException.of(ErrorKind.ANSWER_TOO_LARGE, content.length, MAXIMUM_BYTES);
        }
        return new Answer(content.clone());
    }

    /**
     * An answer received with its length in bytes and its CRC-32C.
     *
     * @throws TeaselwoodException of kind ANSWER_DAMAGED if either does not match
     */
    public static Answer verified(byte[] content, int length, int checksum) {
        Answer answer = of(content);
        if (content.length != length || answer.checksum != checksum) {
            throw TeaselwoodException.of(ErrorKind.ANSWER_DAMAGED, length, content.length);
        }
        return answer;
    }

    /** Joins the answers of the parts in part order. */
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

    /** A copy of the content. */
    public byte[] content() {
        return content.clone();
    }

    /** Length in bytes. */
    public int length() {
        return content.length;
    }

    /** CRC-32C of the content. */
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
