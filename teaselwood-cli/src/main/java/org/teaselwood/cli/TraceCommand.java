package org.teaselwood.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.charset.MalformedInputException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Merges the log lines of several processes that contain a job identifier, or any other text, in timestamp order.
 *
 * <p>Lines that are not JSON are skipped, because a log may contain output of the JVM. Text before the JSON object is
 * shown as the source of the line. Timestamps come from the clocks of the machines and are not corrected for skew.
 */
@Parameters(commandDescription = "Show the log lines of a job from several log files in timestamp order")
final class TraceCommand implements Command {
    @Parameter(description = "JOB FILE...", required = true)
    private List<String> arguments = new ArrayList<>();

    @Parameter(names = "--help", help = true, description = "Show the options of this command")
    private boolean help;

    private record LogLine(long timestampMilliseconds, String source, String level, String message) {}

    @Override
    public ExitCode run(Console console) {
        if (arguments.size() < 2) {
            throw new CommandException(ExitCode.USAGE, "trace requires a job and at least one log file");
        }
        String job = arguments.getFirst();
        List<LogLine> lines = arguments.stream()
                .skip(1)
                .flatMap(file -> linesOf(Path.of(file), job))
                .sorted(Comparator.comparingLong(LogLine::timestampMilliseconds))
                .toList();
        lines.forEach(line -> console.line(String.format(
                "%s %-24s %-5s %s",
                Instant.ofEpochMilli(line.timestampMilliseconds()), line.source(), line.level(), line.message())));
        if (lines.isEmpty()) {
            console.error("no log line contains " + job);
        }
        return ExitCode.OK;
    }

    @Override
    public boolean help() {
        return help;
    }

    private static Stream<LogLine> linesOf(Path file, String job) {
        try {
            return Files.readAllLines(file).stream()
                    .filter(text -> text.contains(job))
                    .flatMap(text -> parse(file, text).stream());
        } catch (MalformedInputException exception) {
            throw new CommandException(ExitCode.USAGE, file + " is not UTF-8 text");
        } catch (IOException exception) {
            throw new CommandException(ExitCode.USAGE, file + " cannot be read: " + exception.getMessage());
        }
    }

    private static Optional<LogLine> parse(Path file, String text) {
        int jsonStart = text.indexOf('{');
        if (jsonStart < 0) {
            return Optional.empty();
        }
        try {
            JsonObject json = new JsonObject(text.substring(jsonStart));
            String source = jsonStart == 0
                    ? file.getFileName().toString()
                    : text.substring(0, jsonStart).strip();
            return Optional.of(new LogLine(
                    json.getLong("timestamp"), source, json.getString("level"), json.getString("formattedMessage")));
        } catch (DecodeException | ClassCastException | NullPointerException exception) {
            return Optional.empty();
        }
    }
}
