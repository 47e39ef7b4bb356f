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

/** Publishes declarations, or only checks them. */
@Parameters(commandDescription = "Publish declarations; refused when the configuration moved meanwhile")
final class ApplyCommand extends ClientCommand {
    /** Tries with the same change identifier, which the entries know again. */
    private static final int TRIES = 5;

    private static final long PAUSE_MILLISECONDS = 1_000;

    @Parameter(
            description = "FILE: INI file with declarations",
            validateWith = PositionalArgument.class,
            required = true)
    private String file;

    @Parameter(names = "--dry-run", description = "Only check; change nothing")
    private boolean dryRun;

    @Override
    ExitCode run(EntryClient client, Console console) {
        Configuration declared = DeclarationReader.read(Path.of(file));
        Configuration inForce = client.configuration();
        ConfigurationDifference difference = DeclarationChange.difference(inForce, declared);
        Configuration result =
                difference.isEmpty() ? inForce : publish(client, DeclarationChange.of(inForce, difference));
        boolean everywhere = !dryRun && new RevisionWaiter(client).await(result.revision());
        JsonObject json = new JsonObject()
                .put("dryRun", dryRun)
                .put("revision", result.revision())
                .put("inForceEverywhere", everywhere)
                .put("differences", new JsonArray(difference.lines()));
        difference.lines().stream().filter(line -> !json()).forEach(console::line);
        write(console, json, summary(difference.isEmpty(), result.revision(), everywhere));
        return ExitCode.OK;
    }

    private String summary(boolean unchanged, long revision, boolean everywhere) {
        if (dryRun) {
            return "accepted by the check; nothing was changed";
        }
        return (unchanged ? "nothing to change; revision " : "revision ")
                + revision
                + (everywhere ? " is in force everywhere" : " is accepted, but not yet in force at every entry");
    }

    private Configuration publish(EntryClient client, ConfigurationChange change) {
        for (int tries = 1; true; tries++) {
            try {
                return client.change(change, dryRun);
            } catch (CommandException exception) {
                if (tries == TRIES || exception.code() != ExitCode.UNAVAILABLE) {
                    throw exception;
                }
                JobWaiter.pause(PAUSE_MILLISECONDS);
            }
        }
    }
}
