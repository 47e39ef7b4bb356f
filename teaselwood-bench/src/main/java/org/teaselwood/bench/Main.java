package org.teaselwood.bench;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.io.PrintStream;
import java.util.List;
import org.teaselwood.bench.control.ControlBenchmark;
import org.teaselwood.bench.policy.PolicyBenchmark;

/** Command {@code bin/bench}: runs the benchmark that the subcommand names. */
public final class Main {
    /** Exit status for invalid arguments, EX_USAGE of sysexits.h. */
    private static final int USAGE_EXIT = 64;

    private Main() {}

    /** Runs one benchmark and prints its results as name=value lines. */
    public static void main(String[] arguments) {
        PolicyBenchmark policy = new PolicyBenchmark();
        ControlBenchmark control = new ControlBenchmark();
        JCommander commander = JCommander.newBuilder()
                .programName("bench")
                .addCommand("policy", policy)
                .addCommand("control", control)
                .build();
        if (List.of(arguments).contains("--help")) {
            commander.usage();
            return;
        }
        try {
            commander.parse(arguments);
            if (commander.getParsedCommand() == null) {
                throw new ParameterException("a subcommand is required");
            }
        } catch (ParameterException wrong) {
            PrintStream errors = System.err;
            errors.println(wrong.getMessage());
            commander.usage();
            System.exit(USAGE_EXIT);
        }
        if (commander.getParsedCommand().equals("control")) {
            System.exit(control.run(System.out));
        }
        policy.run(System.out);
    }
}
