package org.teaselwood.cli.demo;

import io.vertx.core.json.JsonObject;
import java.util.function.Consumer;
import org.teaselwood.cli.CommandException;
import org.teaselwood.cli.DeclarationChange;
import org.teaselwood.cli.EntryClient;
import org.teaselwood.cli.ExitCode;
import org.teaselwood.cli.JobWaiter;
import org.teaselwood.cli.RevisionWaiter;
import org.teaselwood.model.Configuration;
import org.teaselwood.store.configuration.ConfigurationDifference;

/** Client steps that make a started cluster ready for jobs. */
final class ClusterSetup {
    private static final long START_TIMEOUT_MILLISECONDS = 30_000;
    private static final long POLL_INTERVAL_MILLISECONDS = 100;

    private ClusterSetup() {}

    /**
     * Waits until all backend servers have registered with the placer.
     *
     * @throws CommandException with UNAVAILABLE if they have not within 30 s
     */
    static void awaitServers(EntryClient client, int expected, Consumer<String> observer) {
        long deadline = System.nanoTime() + START_TIMEOUT_MILLISECONDS * 1_000_000;
        String lastStatus = "";
        while (System.nanoTime() < deadline) {
            try {
                JsonObject region = client.region();
                int registered = region.getJsonArray("servers").size();
                lastStatus = registered + " of " + expected + " backend servers are registered";
                if (registered == expected) {
                    observer.accept(lastStatus + "; the placer is " + region.getString("placer"));
                    return;
                }
            } catch (CommandException exception) {
                lastStatus = exception.getMessage();
            }
            JobWaiter.sleep(POLL_INTERVAL_MILLISECONDS);
        }
        throw new CommandException(ExitCode.UNAVAILABLE, "the cluster did not become ready: " + lastStatus);
    }

    /**
     * Publishes declarations, waits until they are in force at every entry, and returns the published configuration.
     *
     * @throws CommandException with UNAVAILABLE if they are not in force within 10 s
     */
    static Configuration publish(EntryClient client, Configuration declared) {
        Configuration inForce = client.configuration();
        ConfigurationDifference difference = ConfigurationDifference.between(inForce, declared);
        Configuration published = client.change(DeclarationChange.of(inForce, difference), false);
        if (!new RevisionWaiter(client).await(published.revision())) {
            throw new CommandException(ExitCode.UNAVAILABLE, "the declarations are not yet in force at every entry");
        }
        return published;
    }
}
