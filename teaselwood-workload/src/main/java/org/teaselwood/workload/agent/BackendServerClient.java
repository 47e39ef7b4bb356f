package org.teaselwood.workload.agent;

import io.vertx.core.Future;
import java.util.List;
import java.util.OptionalLong;
import org.teaselwood.protocol.message.WorkMessage.EndedTask;
import org.teaselwood.protocol.message.WorkMessage.RunningTask;

/**
 * Client of the backend server of an agent. The methods are called on the agent's event loop and complete there. A
 * failed future means that there was no usable response: the outcome is unknown and the call may still take effect.
 */
public interface BackendServerClient {
    /**
     * Request that renews the lease of all runs and reads the lists of running and ended tasks.
     *
     * @param server identifier of the addressed incarnation of the server
     * @param term fencing token
     * @param acknowledged number up to which the server may remove ended tasks from its list
     * @param expiresAtMilliseconds new expiry of the lease on the server's clock, empty to leave it unchanged
     * @param waitMilliseconds maximum time for which the server delays the response until a task ends
     */
    record LeaseRenewalRequest(
            String server, long term, long acknowledged, OptionalLong expiresAtMilliseconds, long waitMilliseconds) {}

    /**
     * Response to a {@link LeaseRenewalRequest}.
     *
     * @param startMilliseconds start time of the server's incarnation, in milliseconds since 1970; 0 if unknown
     * @param clockMilliseconds the server's clock, negative if unknown
     * @param moreEnded whether the list of ended tasks may be incomplete, because the server limits its length
     */
    record LeaseRenewalResponse(
            long startMilliseconds,
            long clockMilliseconds,
            List<RunningTask> running,
            List<EndedTask> ended,
            boolean moreEnded) {}

    /**
     * Request to start a task; the fields are those of {@link
     * org.teaselwood.protocol.message.WorkMessage.StartTask}.
     */
    record StartRequest(
            String server,
            long term,
            String task,
            int attempt,
            String payload,
            String checkpoint,
            String ticket,
            long expiresAtMilliseconds) {}

    /** Request to stop a task. */
    record StopRequest(String server, long term, String task, int attempt) {}

    /** Request to change the pace of a task. */
    record PaceRequest(String server, long term, String task, int attempt, int percent) {}

    /** Response of the server to an order. */
    enum OrderResponse {
        /** The order was carried out, now or earlier. */
        DONE,
        /** A run of the same or a later attempt has ended or was stopped on this server. */
        SUPERSEDED,
        /** The lease in the order had expired on arrival. */
        LEASE_EXPIRED,
        /** The server has seen a higher fencing token. */
        STALE_TERM,
        /** The free resources are insufficient. */
        INSUFFICIENT_RESOURCES,
        /** The ticket is not valid. */
        INVALID_TICKET,
        /** The server is currently unable to carry out orders. */
        UNAVAILABLE,
        /** The order is not valid. */
        INVALID,
        /** Another incarnation of the server answered. */
        OTHER_INCARNATION
    }

    /** Renews leases and reads the lists of running and ended tasks. */
    Future<LeaseRenewalResponse> renewLeases(LeaseRenewalRequest request);

    /** Starts a task. */
    Future<OrderResponse> start(StartRequest request);

    /** Stops a task. */
    Future<OrderResponse> stop(StopRequest request);

    /** Sets the pace of a task. */
    Future<OrderResponse> pace(PaceRequest request);
}
