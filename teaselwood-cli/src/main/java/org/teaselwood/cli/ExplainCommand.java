package org.teaselwood.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vertx.core.json.JsonObject;
import java.util.stream.Collectors;

/** Shows why a job is waiting or where it is running. */
@Parameters(commandDescription = "Explain why a job is waiting or where it is running")
final class ExplainCommand extends ClientCommand {
    @Parameter(description = "JOB", validateWith = PositionalArgument.class, required = true)
    private String job;

    @Override
    ExitCode run(EntryClient client, Console console) {
        JsonObject reply = client.explain(job);
        write(
                console,
                reply,
                reply.getJsonArray("lines").stream().map(Object::toString).collect(Collectors.joining("\n")));
        return ExitCode.OK;
    }
}
