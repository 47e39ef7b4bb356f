package org.teaselwood.model;

import java.text.MessageFormat;
import java.util.Arrays;
import java.util.Locale;

/** Error kinds and their message templates. {@link ErrorAnswer} maps each kind to the response sent to the caller. */
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
    OVERLOADED("The process is overloaded: {0}"),
    NO_PLACER("No placer is reachable; retry the request (a submission with the same request key)"),
    STOPPING("The entry is shutting down; use another one"),
    NOT_READY("The entry is not ready: {0}"),
    STORE_UNAVAILABLE("The key-value service cannot be reached: {0}"),
    STORE_REFUSED("The key-value service did not execute the request: {0}"),
    DEADLINE_EXCEEDED("The job did not start before its deadline"),
    IMPOSSIBLE("No backend server or set of servers can run the job: {0}"),
    ATTEMPTS_EXHAUSTED("The job failed on {0} distinct backend servers; last failure: {1}"),
    TASK_FAILED("The task failed: {0}"),
    RETRY_BUDGET_EXHAUSTED("The retry budget of team {0} is exhausted; last failure: {1}"),
    MAY_HAVE_RUN("The job may have run and is not repeatable, so it was not retried"),
    CANCELLED("The job was cancelled"),
    ANSWER_TOO_LARGE("The answer has {0} bytes; at most {1} are allowed"),
    ANSWER_DAMAGED("The answer is damaged: expected {0} bytes, received {1}"),
    NOT_FINISHED("Job {0} has not finished"),
    BAD_SETTING("{0}"),
    BAD_CONFIGURATION("The configuration is not valid: {0}"),
    GUARANTEES_DO_NOT_FIT("The guarantees cannot all be placed at the same time: {0}"),
    REVISION_MOVED("The configuration is at revision {0}, not {1}"),
    CHANGE_UNCERTAIN("The outcome of change {0} is not known yet; retry with the same identifier"),
    FRAME_TOO_LARGE("A frame of {0} bytes exceeds the limit of {1} bytes"),
    BAD_FRAME("A frame cannot be decoded: {0}"),
    BAD_PEER("The peer could not be authenticated: {0}"),
    STALE_TERM("Term {0} is older than term {1}"),
    INSUFFICIENT_RESOURCES("The backend server cannot reserve resources for the part: {0}"),
    SERVER_LEAVING("Backend server {0} does not accept new work"),
    ATTEMPT_FENCED("Attempt {0} was released and cannot start"),
    WORKER_UNAVAILABLE("The worker cannot be reached: {0}"),
    INTERNAL("Internal error: {0}");

    private final String messageTemplate;

    ErrorKind(String messageTemplate) {
        this.messageTemplate = messageTemplate;
    }

    /** Returns the message with its placeholders replaced by the arguments. */
    public String message(Object... arguments) {
        Object[] texts = Arrays.stream(arguments).map(String::valueOf).toArray();
        return MessageFormat.format(messageTemplate.replace("'", "''"), texts);
    }

    /** Returns the stable machine-readable code, for example {@code queue-full}. */
    public String code() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
