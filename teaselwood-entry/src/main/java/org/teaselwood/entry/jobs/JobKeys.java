package org.teaselwood.entry.jobs;

import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.JobIdentifier;
import org.teaselwood.model.JobSubmission;
import org.teaselwood.model.TeaselwoodException;
import org.teaselwood.protocol.MessageCodec;
import org.teaselwood.protocol.message.EntryMessage;
import org.teaselwood.protocol.message.Message;

/** Keys of jobs in the key-value service, and the codec of their values. */
public final class JobKeys {
    private static final String PREFIX = "/teaselwood/";

    private JobKeys() {}

    /** Prefix of the records of a region. */
    public static String recordsOf(String region) {
        return PREFIX + "jobs/" + region + '/';
    }

    /** Key of a job's record. */
    public static String record(String region, JobIdentifier job) {
        return recordsOf(region) + job;
    }

    /** Key of a job's answer; answers lie apart so that the records of a region can be listed. */
    public static String answer(String region, JobIdentifier job) {
        return PREFIX + "answers/" + region + '/' + job;
    }

    /** Key of the claim of a request key. */
    public static String claim(JobSubmission submission) {
        return PREFIX + "keys/" + submission.team() + '/' + submission.requestKey();
    }

    /** Value of a record or claim. */
    public static byte[] encode(EntryMessage value) {
        return MessageCodec.encode(value);
    }

    /**
     * A record or claim of its value.
     *
     * @throws TeaselwoodException of kind BAD_FRAME when the value is of another type
     */
    public static <T extends EntryMessage> T decode(byte[] value, Class<T> type) {
        Message message = MessageCodec.decode(value);
        if (!type.isInstance(message)) {
            throw TeaselwoodException.of(ErrorKind.BAD_FRAME, "the value is not a " + type.getSimpleName());
        }
        return type.cast(message);
    }
}
