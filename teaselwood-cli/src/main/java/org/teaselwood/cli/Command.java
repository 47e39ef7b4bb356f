package org.teaselwood.cli;

/** One command of {@code bin/teaselwood}. Its annotated fields hold its options. */
public interface Command {
    /**
     * Runs the command.
     *
     * @throws CommandException to end with another exit code than the one returned
     */
    ExitCode run(Console console);

    /** Whether {@code --help} was given. */
    boolean help();

    /** Whether errors are written in JSON. */
    default boolean json() {
        return false;
    }
}
