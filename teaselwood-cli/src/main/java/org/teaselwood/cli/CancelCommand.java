package org.teaselwood.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vertx.core.json.JsonObject;

/** Cancels a job. */
@Parameters(commandDescription = "Cancel a job")
final class CancelCommand extends ClientCommand {
    @Parameter(description = "JOB", validateWith = PositionalArgument.class, required = true)
    private String job;

    @Override
    ExitCode run(EntryClient client, Console console) {
        JsonObject state = client.cancel(job);
        write(console, state, describe(state));
        return ExitCode.OK;
    }
}
