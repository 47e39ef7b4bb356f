package org.teaselwood.protocol.message;

import java.util.List;
import org.teaselwood.model.Configuration;
import org.teaselwood.model.ErrorAnswer;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.Outcome;
import org.teaselwood.model.TeaselwoodException;

/** Replies of the core to a front. */
public sealed interface FrontReply extends Message {
    /** Current state of a job. */
    record JobReply(JobView job) implements FrontReply {}

    /** Job with its complete answer; the view contains the answer's length and CRC-32C. */
    record AnswerReply(JobView job, byte[] content) implements FrontReply {}

    /** Explanation of why a job waits or where it runs, as lines of text. */
    record ExplainReply(List<String> lines) implements FrontReply {}

    /** Current state of the region. */
    record RegionReply(RegionView region) implements FrontReply {}

    /** Configuration in force, or the one that results from a change. */
    record ConfigurationReply(Configuration configuration) implements FrontReply {}

    /**
     * Rejection or error.
     *
     * @param kind error kind
     * @param message error message for the caller
     * @param outcome whether the request ran; may be more specific than that of {@link ErrorAnswer}
     */
    record Refused(ErrorKind kind, String message, Outcome outcome) implements FrontReply {
        /** Creates a reply for an error kind, with the outcome given by {@link ErrorAnswer}. */
        public static Refused of(ErrorKind kind, Object... arguments) {
            return new Refused(
                    kind, kind.message(arguments), ErrorAnswer.of(kind).outcome());
        }

        /** Creates a reply from an exception, with the outcome given by {@link ErrorAnswer}. */
        public static Refused of(TeaselwoodException exception) {
            return new Refused(
                    exception.kind(),
                    exception.getMessage(),
                    ErrorAnswer.of(exception.kind()).outcome());
        }
    }
}
