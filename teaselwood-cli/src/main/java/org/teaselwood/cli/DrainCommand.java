package org.teaselwood.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import org.teaselwood.entry.http.ConfigurationJson;
import org.teaselwood.model.Configuration;
import org.teaselwood.model.ServiceState;
import org.teaselwood.protocol.message.ConfigurationChange;

/** Implements {@code drain} and {@code undrain}, which publish the service state of backend servers. */
@Parameters(
        commandDescription = "Publish the service state of backend servers: drain stops new work, undrain allows it")
final class DrainCommand extends ClientCommand {
    @Parameter(description = "SERVER...", validateWith = PositionalArgument.class, required = true)
    private List<String> servers = new ArrayList<>();

    private final ServiceState state;

    DrainCommand(ServiceState state) {
        this.state = state;
    }

    @Override
    ExitCode run(EntryClient client, Console console) {
        Map<String, ServiceState> states = new HashMap<>();
        servers.forEach(server -> states.put(server, state));
        ConfigurationChange change = new ConfigurationChange(
                UUID.randomUUID().toString(),
                client.configuration().revision(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                states);
        Configuration applied = client.change(change, false);
        JsonObject json = new JsonObject()
                .put("revision", applied.revision())
                .put("serverStates", ConfigurationJson.of(change).getJsonObject("serverStates"));
        write(
                console,
                json,
                String.join(", ", servers) + ": " + state.name().toLowerCase().replace('_', '-') + " at revision "
                        + applied.revision());
        return ExitCode.OK;
    }
}
