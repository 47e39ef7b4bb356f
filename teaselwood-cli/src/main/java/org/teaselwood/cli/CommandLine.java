package org.teaselwood.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import io.vertx.core.json.JsonObject;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaselwood.model.ServiceState;
import org.teaselwood.model.TeaselwoodException;

/** Parses the arguments of {@code bin/teaselwood} and runs the selected command. */
public final class CommandLine {
    private static final String PROGRAM = "teaselwood";

    private final Console console;
    private final Map<String, Supplier<Command>> factories = new LinkedHashMap<>();

    /** Options that precede the command. */
    private static final class GlobalOptions {
        @Parameter(names = "--help", help = true, description = "Show the commands and their options")
        private boolean help;

        @Parameter(names = "--version", description = "Show the version")
        private boolean version;
    }

    /** Creates a command line that writes to a console. */
    public CommandLine(Console console) {
        this.console = console;
        factories.put("entry", EntryCommand::new);
        factories.put("submit", SubmitCommand::new);
        factories.put("status", StatusCommand::new);
        factories.put("answer", AnswerCommand::new);
        factories.put("cancel", CancelCommand::new);
        factories.put("explain", ExplainCommand::new);
        factories.put("diff", DiffCommand::new);
        factories.put("apply", ApplyCommand::new);
        factories.put("drain", () -> new DrainCommand(ServiceState.DRAINING));
        factories.put("undrain", () -> new DrainCommand(ServiceState.IN_SERVICE));
        factories.put("check-settings", CheckSettingsCommand::new);
        factories.put("trace", TraceCommand::new);
        factories.put("demo", DemoCommand::new);
    }

    /** Parses the arguments, runs the command and returns its exit code. */
    public ExitCode run(String... arguments) {
        GlobalOptions global = new GlobalOptions();
        JCommander parser =
                JCommander.newBuilder().programName(PROGRAM).addObject(global).build();
        Map<String, Command> commands = new LinkedHashMap<>();
        factories.forEach((name, factory) -> {
            Command command = factory.get();
            commands.put(name, command);
            parser.addCommand(name, command);
        });
        try {
            parser.parse(arguments);
        } catch (ParameterException exception) {
            console.error(exception.getMessage() + "; see " + PROGRAM + " --help");
            return ExitCode.USAGE;
        }
        if (global.version) {
            console.line(PROGRAM + " " + version());
            return ExitCode.OK;
        }
        Command command = commands.get(parser.getParsedCommand());
        if (command == null || global.help || command.help()) {
            return showUsage(parser, command == null ? null : parser.getParsedCommand(), global.help);
        }
        return run(command);
    }

    private ExitCode run(Command command) {
        try {
            return command.run(console);
        } catch (CommandException exception) {
            report(command, exception.getMessage(), exception.problem());
            return exception.code();
        } catch (TeaselwoodException exception) {
            JsonObject problem =
                    new JsonObject().put("errorKind", exception.kind().code()).put("detail", exception.getMessage());
            report(command, exception.getMessage(), problem);
            return ExitCode.of(exception.kind());
        } catch (RuntimeException exception) {
            Logger logger = LoggerFactory.getLogger(CommandLine.class);
            logger.error("command failed with an unexpected exception", exception);
            report(command, "internal error: " + exception, new JsonObject().put("detail", exception.toString()));
            return ExitCode.INTERNAL;
        }
    }

    private void report(Command command, String message, JsonObject problem) {
        if (command.json()) {
            console.errors().println(problem.encodePrettily());
        } else {
            console.error(message);
        }
    }

    /** Writes requested help to the output; if the command is missing, writes the usage to the error stream. */
    private ExitCode showUsage(JCommander parser, String command, boolean requested) {
        StringBuilder text = new StringBuilder();
        if (command == null) {
            parser.getUsageFormatter().usage(text);
        } else {
            parser.getUsageFormatter().usage(command, text);
        }
        if (command == null && !requested) {
            console.errors().print(text);
            return ExitCode.USAGE;
        }
        console.output().print(text);
        return ExitCode.OK;
    }

    private static String version() {
        String version = CommandLine.class.getPackage().getImplementationVersion();
        return version == null ? "(not packaged)" : version;
    }
}
