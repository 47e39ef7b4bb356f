package org.teaselwood.model;

/**
 * Response to a caller for an error kind: HTTP status, outcome and retryability. Immutable.
 *
 * @param httpStatus HTTP status code
 * @param outcome whether the request ran
 * @param retryable whether the same request may succeed when it is sent again later
 */
public record ErrorAnswer(int httpStatus, Outcome outcome, boolean retryable) {
    /** Returns the response for an error kind. */
    public static ErrorAnswer of(ErrorKind kind) {
        return switch (kind) {
            case BAD_REQUEST -> new ErrorAnswer(400, Outcome.NOT_RUN, false);
            case BAD_PARAMETER -> new ErrorAnswer(400, Outcome.NOT_RUN, false);
            case BODY_TOO_LARGE -> new ErrorAnswer(413, Outcome.NOT_RUN, false);
            case UNAUTHENTICATED -> new ErrorAnswer(401, Outcome.NOT_RUN, false);
            case FORBIDDEN -> new ErrorAnswer(403, Outcome.NOT_RUN, false);
            case UNKNOWN_TEAM -> new ErrorAnswer(404, Outcome.NOT_RUN, false);
            case UNKNOWN_TEMPLATE -> new ErrorAnswer(404, Outcome.NOT_RUN, false);
            case UNKNOWN_JOB -> new ErrorAnswer(404, Outcome.UNKNOWN, false);
            case UNKNOWN_SERVER -> new ErrorAnswer(404, Outcome.NOT_RUN, false);
            case KEY_CONFLICT -> new ErrorAnswer(409, Outcome.UNKNOWN, false);
            case OTHER_REGION -> new ErrorAnswer(409, Outcome.UNKNOWN, true);
            case QUEUE_FULL -> new ErrorAnswer(429, Outcome.NOT_RUN, true);
            case OVERLOADED -> new ErrorAnswer(503, Outcome.NOT_RUN, true);
            case NO_PLACER -> new ErrorAnswer(503, Outcome.UNKNOWN, true);
            case STOPPING -> new ErrorAnswer(503, Outcome.NOT_RUN, true);
            case NOT_READY -> new ErrorAnswer(503, Outcome.NOT_RUN, true);
            case STORE_UNAVAILABLE -> new ErrorAnswer(503, Outcome.UNKNOWN, true);
            case STORE_REFUSED -> new ErrorAnswer(503, Outcome.NOT_RUN, true);
            case DEADLINE_EXCEEDED -> new ErrorAnswer(504, Outcome.NOT_RUN, false);
            case IMPOSSIBLE -> new ErrorAnswer(422, Outcome.NOT_RUN, false);
            case ATTEMPTS_EXHAUSTED -> new ErrorAnswer(500, Outcome.FAILED, false);
            case TASK_FAILED -> new ErrorAnswer(500, Outcome.FAILED, false);
            case RETRY_BUDGET_EXHAUSTED -> new ErrorAnswer(500, Outcome.FAILED, true);
            case MAY_HAVE_RUN -> new ErrorAnswer(500, Outcome.UNKNOWN, false);
            case CANCELLED -> new ErrorAnswer(409, Outcome.CANCELLED, false);
            case ANSWER_TOO_LARGE -> new ErrorAnswer(500, Outcome.FAILED, false);
            case ANSWER_DAMAGED -> new ErrorAnswer(500, Outcome.UNKNOWN, true);
            case NOT_FINISHED -> new ErrorAnswer(409, Outcome.PENDING, true);
            case BAD_SETTING -> new ErrorAnswer(400, Outcome.NOT_RUN, false);
            case BAD_CONFIGURATION -> new ErrorAnswer(422, Outcome.NOT_RUN, false);
            case GUARANTEES_DO_NOT_FIT -> new ErrorAnswer(422, Outcome.NOT_RUN, false);
            case REVISION_MOVED -> new ErrorAnswer(409, Outcome.NOT_RUN, true);
            case CHANGE_UNCERTAIN -> new ErrorAnswer(503, Outcome.UNKNOWN, true);
            case FRAME_TOO_LARGE -> new ErrorAnswer(400, Outcome.NOT_RUN, false);
            case BAD_FRAME -> new ErrorAnswer(400, Outcome.NOT_RUN, false);
            case BAD_PEER -> new ErrorAnswer(403, Outcome.NOT_RUN, false);
            case STALE_TERM -> new ErrorAnswer(409, Outcome.NOT_RUN, false);
            case INSUFFICIENT_RESOURCES -> new ErrorAnswer(409, Outcome.NOT_RUN, true);
            case SERVER_LEAVING -> new ErrorAnswer(409, Outcome.NOT_RUN, true);
            case ATTEMPT_FENCED -> new ErrorAnswer(409, Outcome.NOT_RUN, false);
            case WORKER_UNAVAILABLE -> new ErrorAnswer(502, Outcome.UNKNOWN, true);
            case INTERNAL -> new ErrorAnswer(500, Outcome.UNKNOWN, true);
        };
    }
}
