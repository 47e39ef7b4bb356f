package org.teaselwood.entry.jobs;

import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.JobIdentifier;
import org.teaselwood.model.JobSubmission;
import org.teaselwood.model.TeaselwoodException;
import org.teaselwood.protocol.MessageCodec;
import org.teaselwood.protocol.message.EntryMessage;
import org.teaselwood.protocol.message.Message;

/** Keys of jobs in the key-value service and the encoding of their values. Stateless. */
public final class JobKeys {
    private static final String PREFIX = "/teaselwood/";

    private JobKeys() {}

    /** Returns the prefix of the job records of a region. */
    public static String recordsOf(String region) {
        return PREFIX + "jobs/" + region + '/';
    }

    /** Returns the key of a job's record. */
    public static String record(String region, JobIdentifier job) {
        return recordsOf(region) + job;
    }

    /**
     * Returns the key of a job's answer. Answers have a prefix of their own so that the records of a region can be
     * listed without them.
     */
    public static String answer(String region, JobIdentifier job) {
        return PREFIX + "answers/" + region + '/' + job;
    }

    /** Returns the key under which a job claims its request key. */
    public static String claim(JobSubmission submission) {
        return PREFIX + "keys/" + submission.team() + '/' + submission.requestKey();
    }

    /** Returns the stored value of a record or claim. */
    public static byte[] encode(EntryMessage value) {
        return MessageCodec.encode(value);
    }

    /**
     * Decodes a record or claim from its stored value.
     *
     * @throws TeaselwoodException of kind BAD_FRAME if the value is not of the given type
     */
    public static <T extends EntryMessage> T decode(byte[] value, Class<T> type) {
        Message message = MessageCodec.decode(value);
        if (!type.isInstance(message)) {
            throw TeaselwoodException.of(ErrorKind.BAD_FRAME, "the value is not a " + type.getSimpleName());
        }
        return type.cast(message);
    }
}
