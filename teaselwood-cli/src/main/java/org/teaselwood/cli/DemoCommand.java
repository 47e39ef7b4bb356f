package org.teaselwood.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Files;
import java.nio.file.Path;
import org.teaselwood.cli.demo.Demo;
import org.teaselwood.cli.demo.LabFiles;

/** Starts a complete cluster in one process and runs the demo jobs on it. */
@Parameters(commandDescription = "Run a complete cluster in one process, submit jobs and verify their answers")
final class DemoCommand implements Command {
    private static final String HOME_PROPERTY = "teaselwood.home";

    @Parameter(names = "--examples", description = "Directory with the Lab's files (default: examples/lab)")
    private String examples;

    @Parameter(names = "--rounds", description = "Number of times each job is submitted")
    private int rounds = 2;

    @Parameter(names = "--keep-seconds", description = "Time to keep the cluster running after the jobs have ended")
    private int keepSeconds;

    @Parameter(names = "--help", help = true, description = "Show the options of this command")
    private boolean help;

    @Override
    public ExitCode run(Console console) {
        Path directory = examples == null
                ? Path.of(System.getProperty(HOME_PROPERTY, "."))
                        .resolve("examples")
                        .resolve("lab")
                : Path.of(examples);
        if (!Files.isDirectory(directory)) {
            throw new CommandException(ExitCode.USAGE, directory + " is not a directory; use --examples");
        }
        return new Demo(console, new LabFiles(directory), rounds, keepSeconds).run();
    }

    @Override
    public boolean help() {
        return help;
    }
}
