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
final class ClusterClients {
    private static final long START_MILLISECONDS = 30_000;
    private static final long PAUSE_MILLISECONDS = 100;

    private ClusterClients() {}

    /**
     * Waits until all backend servers have registered with the placer.
     *
     * @throws CommandException with UNAVAILABLE if they have not within 30 s
     */
    static void awaitServers(EntryClient client, int expected, Consumer<String> observer) {
        long end = System.nanoTime() + START_MILLISECONDS * 1_000_000;
        String last = "";
        while (System.nanoTime() < end) {
            try {
                JsonObject region = client.region();
                int known = region.getJsonArray("servers").size();
                last = known + " of " + expected + " backend servers are registered";
                if (known == expected) {
                    observer.accept(last + "; the placer is " + region.getString("placer"));
                    return;
                }
            } catch (CommandException exception) {
                last = exception.getMessage();
            }
            JobWaiter.pause(PAUSE_MILLISECONDS);
        }
        throw new CommandException(ExitCode.UNAVAILABLE, "the cluster did not become ready: " + last);
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
