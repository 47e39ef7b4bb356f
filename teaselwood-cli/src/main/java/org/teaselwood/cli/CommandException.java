package org.teaselwood.cli;

import io.vertx.core.json.JsonObject;

/** Ends a command with an exit code and a message, or the problem document that an entry answered. */
public final class CommandException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ExitCode code;
    private final transient JsonObject problem;

    /** An error of the command itself. */
    public CommandException(ExitCode code, String message) {
        this(code, message, new JsonObject().put("detail", message));
    }

    /** An error that an entry answered. */
    public CommandException(ExitCode code, String message, JsonObject problem) {
        super(message);
        this.code = code;
        this.problem = problem;
    }

    /** The exit code. */
    public ExitCode code() {
        return code;
    }

    /** The error in JSON. */
    public JsonObject problem() {
        return problem;
    }
}
