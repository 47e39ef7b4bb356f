package org.teaselwood.model;

import java.text.MessageFormat;
import java.util.Arrays;
import java.util.Locale;

/** The closed list of error kinds with their message templates. {@link ErrorAnswer} maps each kind to its answer. */
public enum ErrorKind {
    BAD_REQUEST("The request is not valid: {0}"),
    BAD_PARAMETER("Parameter {0}: {1}"),
    BODY_TOO_LARGE("The body exceeds {0} bytes"),
    UNAUTHENTICATED("No valid token was given"),
    FORBIDDEN("The token does not allow this: {0}"),
    UNKNOWN_TEAM("Team {0} is not configured"),
    UNKNOWN_TEMPLATE("Template {0} is not configured"),
    UNKNOWN_JOB("Job {0} is not known; it may be older than the retention"),
    UNKNOWN_SERVER("Backend server {0} is not known"),
    KEY_CONFLICT("Request key {0} was used for a different request"),
    OTHER_REGION("The job belongs to region {0}"),
    QUEUE_FULL("The queue of team {0} is full ({1} jobs)"),
    OVERLOADED("The process cannot take more work now: {0}"),
    NO_PLACER("No placer can be reached; ask again or repeat with the same request key"),
    STOPPING("The entry is shutting down; use another one"),
    NOT_READY("The entry is not ready: {0}"),
    STORE_UNAVAILABLE("The key-value service cannot be reached: {0}"),
    STORE_REFUSED("The key-value service did nothing: {0}"),
    DEADLINE_EXCEEDED("The job did not start before its deadline"),
    IMPOSSIBLE("No backend server or set of servers can run the job: {0}"),
    ATTEMPTS_EXHAUSTED("The job failed on {0} distinct backend servers; last failure: {1}"),
    TASK_FAILED("The work failed: {0}"),
    RETRY_BUDGET_EXHAUSTED("The retry budget of team {0} is used up; last failure: {1}"),
    MAY_HAVE_RUN("The job may have run; it is not repeatable, so it is not run again"),
    CANCELLED("The job was cancelled"),
    ANSWER_TOO_LARGE("The answer has {0} bytes; at most {1} are allowed"),
    ANSWER_DAMAGED("The answer is damaged: expected {0} bytes, received {1}"),
    NOT_FINISHED("Job {0} has not finished"),
    BAD_SETTING("{0}"),
    BAD_CONFIGURATION("The configuration is not valid: {0}"),
    GUARANTEES_DO_NOT_FIT("The guarantees cannot all be packed: {0}"),
    REVISION_MOVED("The configuration is at revision {0}, not {1}"),
    CHANGE_UNCERTAIN("Whether change {0} was accepted is not known yet; ask again with its identifier"),
    FRAME_TOO_LARGE("A frame of {0} bytes exceeds {1} bytes"),
    BAD_FRAME("A frame cannot be decoded: {0}"),
    BAD_PEER("The peer could not be authenticated: {0}"),
    STALE_TERM("Term {0} is older than term {1}"),
    INSUFFICIENT_RESOURCES("The backend server cannot reserve the part: {0}"),
    SERVER_LEAVING("Backend server {0} takes no new work"),
    ATTEMPT_FENCED("Attempt {0} was released and cannot start"),
    WORKER_UNAVAILABLE("The worker cannot be reached: {0}"),
    INTERNAL("Internal error: {0}");

    private final String messageTemplate;

    ErrorKind(String messageTemplate) {
        this.messageTemplate = messageTemplate;
    }

    /** The message with its arguments filled in. */
    public String message(Object... arguments) {
        Object[] texts = Arrays.stream(arguments).map(String::valueOf).toArray();
        return MessageFormat.format(messageTemplate.replace("'", "''"), texts);
    }

    /** Stable code for machines, for example {@code queue-full}. */
    public String code() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
