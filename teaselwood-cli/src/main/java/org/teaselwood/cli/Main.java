package org.teaselwood.cli;

import java.util.Arrays;

/** Entry point of {@code bin/teaselwood}. */
public final class Main {
    private Main() {}

    /** Runs a command and exits with its exit code. */
    public static void main(String[] arguments) {
        if (System.getProperty(CommandLogConfigurator.LEVEL_PROPERTY) == null) {
            boolean runsEntry = Arrays.asList(arguments).contains("entry");
            System.setProperty(CommandLogConfigurator.LEVEL_PROPERTY, runsEntry ? "INFO" : "ERROR");
        }
        ExitCode code = new CommandLine(new Console(System.out, System.err)).run(arguments);
        System.out.flush();
        System.exit(code.number());
    }
}
