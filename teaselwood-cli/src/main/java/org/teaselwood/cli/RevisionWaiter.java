package org.teaselwood.cli;

import io.vertx.core.json.JsonObject;

/** Waits until a configuration revision is in force at every live entry of the region. */
public final class RevisionWaiter {
    /** A change is in force everywhere within 7 s while the network is not partitioned. */
    private static final long LONGEST_MILLISECONDS = 10_000;

    private static final long PAUSE_MILLISECONDS = 50;

    private final EntryClient client;

    /** A waiter that needs an operator's client. */
    public RevisionWaiter(EntryClient client) {
        this.client = client;
    }

    /** Whether the revision is in force everywhere; false after 10 s. */
    public boolean await(long revision) {
        long end = System.nanoTime() + LONGEST_MILLISECONDS * 1_000_000;
        while (System.nanoTime() < end) {
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
            JobWaiter.pause(PAUSE_MILLISECONDS);
        }
        return false;
    }
}
