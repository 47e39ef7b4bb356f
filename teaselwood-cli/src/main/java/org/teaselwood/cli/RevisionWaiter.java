package org.teaselwood.cli;

import io.vertx.core.json.JsonObject;

/** Waits until a configuration revision is in force at every live entry of the region. */
public final class RevisionWaiter {
    /** A change is in force at every entry within 7 s unless the network is partitioned. */
    private static final long TIMEOUT_MILLISECONDS = 10_000;

    private static final long POLL_INTERVAL_MILLISECONDS = 50;

    private final EntryClient client;

    /** Creates a waiter. The client must have an operator's token. */
    public RevisionWaiter(EntryClient client) {
        this.client = client;
    }

    /** Waits until the revision is in force at every live entry; returns false if it is not within 10 s. */
    public boolean await(long revision) {
        long deadline = System.nanoTime() + TIMEOUT_MILLISECONDS * 1_000_000;
        while (System.nanoTime() < deadline) {
            try {
                JsonObject region = client.region();
                if (region.getLong("lowestRevision") >= revision
                        && region.getLong("configurationRevision") >= revision) {
                    return true;
                }
            } catch (CommandException exception) {
                if (exception.code() != ExitCode.UNAVAILABLE) {
                    throw exception;
                }
            }
            JobWaiter.sleep(POLL_INTERVAL_MILLISECONDS);
        }
        return false;
    }
}
