package org.teaselwood.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.file.Path;
import org.teaselwood.model.Configuration;
import org.teaselwood.store.configuration.ConfigurationDifference;
import org.teaselwood.store.declaration.DeclarationReader;

/** Shows the changes that {@code apply} would publish. */
@Parameters(commandDescription = "Show how declarations differ from the configuration in force")
final class DiffCommand extends ClientCommand {
    @Parameter(
            description = "FILE: INI file with declarations",
            validateWith = PositionalArgument.class,
            required = true)
    private String file;

    @Override
    ExitCode run(EntryClient client, Console console) {
        Configuration declared = DeclarationReader.read(Path.of(file));
        Configuration inForce = client.configuration();
        ConfigurationDifference difference = DeclarationChange.difference(inForce, declared);
        JsonObject json = new JsonObject()
                .put("revision", inForce.revision())
                .put("differences", new JsonArray(difference.lines()));
        write(
                console,
                json,
                difference.isEmpty()
                        ? "no differences from revision " + inForce.revision()
                        : String.join("\n", difference.lines()));
        return ExitCode.OK;
    }
}
