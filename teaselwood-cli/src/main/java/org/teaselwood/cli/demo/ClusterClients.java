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

/** Steps of clients that wait for a cluster. */
final class ClusterClients {
    private static final long START_MILLISECONDS = 30_000;
    private static final long PAUSE_MILLISECONDS = 100;

    private ClusterClients() {}

    /**
     * Waits until the placer knows all backend servers.
     *
     * @throws CommandException with UNAVAILABLE after 30 s
     */
    static void awaitServers(EntryClient client, int expected, Consumer<String> observer) {
        long end = System.nanoTime() + START_MILLISECONDS * 1_000_000;
        String last = "";
        while (System.nanoTime() < end) {
            try {
                JsonObject region = client.region();
                int known = region.getJsonArray("servers").size();
                last = known + " of " + expected + " backend servers are known";
                if (known == expected) {
                    observer.accept(last + "; the placer is " + region.getString("placer"));
                    return;
                }
            } catch (CommandException exception) {
                last = exception.getMessage();
            }
            JobWaiter.pause(PAUSE_MILLISECONDS);
        }
        throw new CommandException(ExitCode.UNAVAILABLE, "the cluster did not get ready: " + last);
    }

    /**
     * Publishes declarations and waits until they are in force everywhere; returns the configuration in force.
     *
     * @throws CommandException with UNAVAILABLE if they are not after 10 s
     */
    static Configuration publish(EntryClient client, Configuration declared) {
        Configuration inForce = client.configuration();
        ConfigurationDifference difference = ConfigurationDifference.between(inForce, declared);
        Configuration published = client.change(DeclarationChange.of(inForce, difference), false);
        if (!new RevisionWaiter(client).await(published.revision())) {
            throw new CommandException(ExitCode.UNAVAILABLE, "the declarations are not in force at every entry");
        }
        return published;
    }
}
