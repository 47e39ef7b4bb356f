package org.teaselwood.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vertx.core.json.JsonObject;

/** Shows the state of a job, or of the region for operators. */
@Parameters(commandDescription = "Show the state of a job, or of the region if no JOB is given (operators only)")
final class StatusCommand extends ClientCommand {
    @Parameter(description = "[JOB]", validateWith = PositionalArgument.class)
    private String job;

    @Override
    ExitCode run(EntryClient client, Console console) {
        if (job != null) {
            JsonObject state = client.job(job);
            write(console, state, describe(state));
            return ExitCode.OK;
        }
        JsonObject region = client.region();
        if (json()) {
            console.json(region);
        } else {
            writeRegion(console, region);
        }
        return ExitCode.OK;
    }

    private static void writeRegion(Console console, JsonObject region) {
        console.line("region " + region.getString("region") + ", placer " + region.getString("placer") + ", term "
                + region.getLong("term"));
        console.line("configuration revision " + region.getLong("configurationRevision") + ", lowest in force "
                + region.getLong("lowestRevision"));
        console.line("key-value service " + (region.getBoolean("storeReachable") ? "reachable" : "not reachable"));
        console.line(String.format("fragmentation %.1f %%", region.getDouble("fragmentation") * 100));
        console.line("waiting " + region.getJsonObject("waiting") + ", running " + region.getJsonObject("running"));
        region.getJsonArray("servers").stream()
                .map(JsonObject.class::cast)
                .forEach(server -> console.line(String.format(
                        "%-16s %-16s %-8s %-14s %d accelerators, %d parts",
                        server.getString("name"),
                        server.getString("dataCentre"),
                        server.getString("rack"),
                        server.getString("condition"),
                        server.getInteger("accelerators"),
                        server.getJsonArray("parts").size())));
    }
}
