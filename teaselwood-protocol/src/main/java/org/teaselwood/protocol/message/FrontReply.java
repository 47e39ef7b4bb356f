package org.teaselwood.protocol.message;

import java.util.List;
import org.teaselwood.model.Configuration;
import org.teaselwood.model.ErrorAnswer;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.Outcome;
import org.teaselwood.model.TeaselwoodException;

/** What the core replies to a front. */
public sealed interface FrontReply extends Message {
    /** The state of a job. */
    record JobReply(JobView job) implements FrontReply {}

    /** A job with its whole answer; length and CRC-32C stand in the view. */
    record AnswerReply(JobView job, byte[] content) implements FrontReply {}

    /** Lines of an explanation. */
    record ExplainReply(List<String> lines) implements FrontReply {}

    /** The state of the region. */
    record RegionReply(RegionView region) implements FrontReply {}

    /** The configuration in force, or the one that a change gives. */
    record ConfigurationReply(Configuration configuration) implements FrontReply {}

    /**
     * A refusal or error.
     *
     * @param kind the error kind
     * @param message text for the caller
     * @param outcome whether the request ran; may be more exact than the table's
     */
    record Refused(ErrorKind kind, String message, Outcome outcome) implements FrontReply {
        /** A refusal with the outcome of the table. */
        public static Refused of(ErrorKind kind, Object... arguments) {
            return new Refused(
                    kind, kind.message(arguments), ErrorAnswer.of(kind).outcome());
        }

        /** A refusal made of an exception. */
        public static Refused of(TeaselwoodException exception) {
            return new Refused(
                    exception.kind(),
                    exception.getMessage(),
                    ErrorAnswer.of(exception.kind()).outcome());
        }
    }
}
