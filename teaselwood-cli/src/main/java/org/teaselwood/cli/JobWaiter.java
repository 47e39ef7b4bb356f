package org.teaselwood.cli;

import io.vertx.core.json.JsonObject;
import java.util.function.Consumer;

/** Waits for the final state of a job with long polling, and retries while no entry can be reached. */
public final class JobWaiter {
    private static final long POLL_TIMEOUT_MILLISECONDS = 20_000;
    private static final long RETRY_DELAY_MILLISECONDS = 500;

    private final EntryClient client;
    private final Consumer<JsonObject> observer;

    /**
     * Creates a waiter.
     *
     * @param observer receives every state that is read
     */
    public JobWaiter(EntryClient client, Consumer<JsonObject> observer) {
        this.client = client;
        this.observer = observer;
    }

    /**
     * Waits for the final state of a job.
     *
     * @param timeoutMilliseconds maximum time to wait
     * @return the final state, or the current state if the timeout elapses first
     * @throws CommandException with UNAVAILABLE if no entry can be reached when the timeout elapses
     */
    public JsonObject waitFor(String job, long timeoutMilliseconds) {
        long deadline = System.nanoTime() + timeoutMilliseconds * 1_000_000;
        while (true) {
            long remainingMilliseconds = Math.max(0, (deadline - System.nanoTime()) / 1_000_000);
            try {
                JsonObject state = client.waitFor(job, Math.min(remainingMilliseconds, POLL_TIMEOUT_MILLISECONDS));
                observer.accept(state);
                if (state.getBoolean("final") || remainingMilliseconds == 0) {
                    return state;
                }
            } catch (CommandException exception) {
                if (exception.code() != ExitCode.UNAVAILABLE || remainingMilliseconds == 0) {
                    throw exception;
                }
                sleep(Math.min(remainingMilliseconds, RETRY_DELAY_MILLISECONDS));
            }
        }
    }

    /**
     * Blocks the calling thread for the given time.
     *
     * @throws CommandException with INTERNAL if the thread is interrupted
     */
    public static void sleep(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new CommandException(ExitCode.INTERNAL, "interrupted");
        }
    }
}
