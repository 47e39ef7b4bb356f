package org.teaselwood.entry.http;

import io.vertx.core.Future;
import org.teaselwood.protocol.message.FrontReply;
import org.teaselwood.protocol.message.FrontRequest;

/** The way of a front to the entry core. Call on an event loop; replies arrive on the same one. */
public interface CoreGateway {
    /**
     * Asks the core. The reply never fails: a full ring or a missing reply is a {@link FrontReply.Refused}.
     *
     * @param timeoutMilliseconds longest time to wait for the reply
     */
    Call ask(FrontRequest request, long timeoutMilliseconds);

    /** Whether the entry can serve requests. */
    Readiness readiness();

    /** One question under way. */
    interface Call {
        /** The reply. */
        Future<FrontReply> reply();

        /** The caller has gone: no reply is needed. */
        void abandon();
    }

    /**
     * Whether the entry can serve requests.
     *
     * @param ready false while starting, without a configuration, and from the begin of a shutdown
     * @param reason text for operators
     * @param leaving whether a shutdown has begun
     */
    record Readiness(boolean ready, String reason, boolean leaving) {}
}
