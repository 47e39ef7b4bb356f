package org.teaselwood.cli;

import io.vertx.core.json.JsonObject;

/** Failure of a command, with its exit code and a problem document: its own or that of the entry's error response. */
public final class CommandException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ExitCode code;
    private final transient JsonObject problem;

    /** Creates an exception for an error of the command itself. */
    public CommandException(ExitCode code, String message) {
        this(code, message, new JsonObject().put("detail", message));
    }

    /** Creates an exception for an error response of an entry. */
    public CommandException(ExitCode code, String message, JsonObject problem) {
        super(message);
        this.code = code;
        this.problem = problem;
    }

    /** Returns the exit code of the command. */
    public ExitCode code() {
        return code;
    }

    /** Returns the problem document, which is written if {@code --json} was given. */
    public JsonObject problem() {
        return problem;
    }
}
