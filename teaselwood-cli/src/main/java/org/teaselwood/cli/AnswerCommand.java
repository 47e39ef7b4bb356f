package org.teaselwood.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.teaselwood.entry.http.JobJson;
import org.teaselwood.model.Answer;

/** Writes the complete answer of a job to a file or standard output after verifying its length and checksum. */
@Parameters(commandDescription = "Write the complete answer of a job")
final class AnswerCommand extends ClientCommand {
    @Parameter(description = "JOB", validateWith = PositionalArgument.class, required = true)
    private String job;

    @Parameter(names = "--output", description = "File to write (default: standard output)")
    private String file;

    @Override
    ExitCode run(EntryClient client, Console console) {
        Answer answer = client.answer(job);
        if (file == null) {
            console.output().writeBytes(answer.content());
            console.output().flush();
            return ExitCode.OK;
        }
        try {
            Files.write(Path.of(file), answer.content());
        } catch (IOException exception) {
            throw new CommandException(ExitCode.FAILED, file + " cannot be written: " + exception.getMessage());
        }
        JsonObject json = new JsonObject()
                .put("file", file)
                .put("length", answer.length())
                .put("crc32c", JobJson.checksum(answer.checksum()));
        write(console, json, answer.length() + " bytes written to " + file);
        return ExitCode.OK;
    }
}
