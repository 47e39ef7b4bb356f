package org.teaselwood.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vertx.core.json.JsonObject;
import java.util.stream.Collectors;

/** Tells why a job waits, or where it runs. */
@Parameters(commandDescription = "Tell why a job waits or where it runs")
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
