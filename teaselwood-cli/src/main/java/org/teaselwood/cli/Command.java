package org.teaselwood.cli;

/** A command of {@code bin/teaselwood}. JCommander sets its annotated fields to the options. */
public interface Command {
    /**
     * Runs the command.
     *
     * @return the exit code
     * @throws CommandException if the command fails; the exception carries the exit code
     */
    ExitCode run(Console console);

    /** Returns whether {@code --help} was given. */
    boolean help();

    /** Returns whether errors are written as JSON. */
    default boolean json() {
        return false;
    }
}
