package org.teaselwood.cli;

import org.teaselwood.model.ErrorKind;

/** Exit codes of the commands. The codes above 1 follow {@code sysexits.h}. */
public enum ExitCode {
    OK(0),
    /** A request was rejected, or a job did not succeed. */
    FAILED(1),
    USAGE(64),
    UNAVAILABLE(69),
    INTERNAL(70),
    BAD_SETTINGS(78);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    /** Returns the exit status of the process. */
    public int number() {
        return number;
    }

    /** Returns the exit code for an error kind. */
    public static ExitCode of(ErrorKind kind) {
        return switch (kind) {
            case BAD_SETTING -> BAD_SETTINGS;
            case OVERLOADED, NO_PLACER, STOPPING, NOT_READY, STORE_UNAVAILABLE, CHANGE_UNCERTAIN -> UNAVAILABLE;
            case INTERNAL -> INTERNAL;
            default -> FAILED;
        };
    }
}
