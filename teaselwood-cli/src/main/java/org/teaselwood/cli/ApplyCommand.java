package org.teaselwood.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.file.Path;
import org.teaselwood.model.Configuration;
import org.teaselwood.protocol.message.ConfigurationChange;
import org.teaselwood.store.configuration.ConfigurationDifference;
import org.teaselwood.store.declaration.DeclarationReader;

/** Publishes declarations, or only validates them if {@code --dry-run} is given. */
@Parameters(commandDescription = "Publish declarations; rejected if the configuration has changed in the meantime")
final class ApplyCommand extends ClientCommand {
    /** Requests per change. All carry the same change identifier, so that the entries apply the change only once. */
    private static final int MAXIMUM_REQUESTS = 5;

    private static final long RETRY_DELAY_MILLISECONDS = 1_000;

    @Parameter(
            description = "FILE: INI file with declarations",
            validateWith = PositionalArgument.class,
            required = true)
    private String file;

    @Parameter(names = "--dry-run", description = "Validate only; change nothing")
    private boolean dryRun;

    @Override
    ExitCode run(EntryClient client, Console console) {
        Configuration declared = DeclarationReader.read(Path.of(file));
        Configuration inForce = client.configuration();
        ConfigurationDifference difference = DeclarationChange.difference(inForce, declared);
        Configuration result =
                difference.isEmpty() ? inForce : publish(client, DeclarationChange.of(inForce, difference));
        boolean inForceEverywhere = !dryRun && new RevisionWaiter(client).await(result.revision());
        JsonObject json = new JsonObject()
                .put("dryRun", dryRun)
                .put("revision", result.revision())
                .put("inForceEverywhere", inForceEverywhere)
                .put("differences", new JsonArray(difference.lines()));
        difference.lines().stream().filter(line -> !json()).forEach(console::line);
        write(console, json, summary(difference.isEmpty(), result.revision(), inForceEverywhere));
        return ExitCode.OK;
    }

    private String summary(boolean unchanged, long revision, boolean inForceEverywhere) {
        if (dryRun) {
            return "declarations are valid; nothing was changed";
        }
        return (unchanged ? "nothing to change; revision " : "revision ")
                + revision
                + (inForceEverywhere
                        ? " is in force everywhere"
                        : " was accepted but is not yet in force at every entry");
    }

    private Configuration publish(EntryClient client, ConfigurationChange change) {
        for (int requests = 1; true; requests++) {
            try {
                return client.change(change, dryRun);
            } catch (CommandException exception) {
                if (requests == MAXIMUM_REQUESTS || exception.code() != ExitCode.UNAVAILABLE) {
                    throw exception;
                }
                JobWaiter.sleep(RETRY_DELAY_MILLISECONDS);
            }
        }
    }
}
