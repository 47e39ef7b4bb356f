package org.teaselwood.agent;

import io.vertx.core.Vertx;
import java.util.concurrent.TimeUnit;
import org.teaselwood.protocol.SharedKey;
import org.teaselwood.standins.worker.WorkerStandIn;

/**
 * The peers of an agent process whose cost is measured: a fake entry and the worker stand-in, on the ports of the
 * arguments. Prints the bytes on the agent's connection every ten seconds and stops by itself.
 */
public final class MeasurementPeers {
    private static final int INTERVAL_SECONDS = 10;

    private MeasurementPeers() {}

    /** Arguments: port of the entry, port of the worker, shared key, seconds to run. */
    public static void main(String[] arguments) throws Exception {
        Vertx vertx = Vertx.vertx();
        SharedKey key = new SharedKey(arguments[2]);
        FakeEntry entry = new FakeEntry(vertx, "e1", key, Integer.parseInt(arguments[0]));
        WorkerStandIn.start(vertx, Integer.parseInt(arguments[1]))
                .toCompletionStage()
                .toCompletableFuture()
                .get(INTERVAL_SECONDS, TimeUnit.SECONDS);
        int intervals = Integer.parseInt(arguments[3]) / INTERVAL_SECONDS;
        for (int interval = 0; interval < intervals; interval++) {
            TimeUnit.SECONDS.sleep(INTERVAL_SECONDS);
            if (entry.connection() != null) {
                long bytes = entry.connection().bytesSent() + entry.connection().bytesReceived();
                System.out.println("seconds " + (interval + 1) * INTERVAL_SECONDS + " bytes " + bytes);
            }
        }
        vertx.close();
    }
}
