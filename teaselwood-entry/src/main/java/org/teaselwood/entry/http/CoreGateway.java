package org.teaselwood.entry.http;

import io.vertx.core.Future;
import org.teaselwood.protocol.message.FrontReply;
import org.teaselwood.protocol.message.FrontRequest;

/** Access of the HTTP server to the entry core. Called on an event loop; replies arrive on the same event loop. */
public interface CoreGateway {
    /**
     * Sends a request to the core. The future of the reply never fails: a full ring buffer or a timeout completes it
     * with a {@link FrontReply.Refused}.
     *
     * @param timeoutMilliseconds maximum time to wait for the reply
     */
    Call send(FrontRequest request, long timeoutMilliseconds);

    /** Returns whether the entry can serve requests. */
    Readiness readiness();

    /** Pending request to the core. */
    interface Call {
        /** Returns the future of the reply. */
        Future<FrontReply> reply();

        /** Discards the reply, because the caller has disconnected. */
        void abandon();
    }

    /**
     * Readiness of the entry to serve requests.
     *
     * @param ready whether requests are served; false while starting, without a configuration, and during a shutdown
     * @param reason why the entry is not ready, for operators
     * @param shuttingDown whether a shutdown has started
     */
    record Readiness(boolean ready, String reason, boolean shuttingDown) {}
}
