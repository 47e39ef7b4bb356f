package org.teaselwood.workload.agent;

import io.vertx.core.Future;
import java.util.List;
import java.util.OptionalLong;
import org.teaselwood.protocol.message.WorkMessage.EndedTask;
import org.teaselwood.protocol.message.WorkMessage.RunningTask;

/**
 * Calls of the backend server beside the agent. Called on the agent's event loop and completed there. A failed future
 * means that there was no usable answer; the call may take effect later.
 */
public interface BackendServerCalls {
    /**
     * Renews the lease of everything that runs and reads both lists.
     *
     * @param server identifier of the life that is meant
     * @param term fencing token
     * @param acknowledged ends up to this number are forgotten
     * @param expiresAtMilliseconds new end of the lease on the server's clock, empty to leave it
     * @param waitMilliseconds longest time that the answer waits for an end
     */
    record HoldRequest(
            String server, long term, long acknowledged, OptionalLong expiresAtMilliseconds, long waitMilliseconds) {}

    /**
     * What the server said.
     *
     * @param start start of the server's life, in milliseconds since 1970; 0 when it was not told
     * @param clockMilliseconds the server's clock
     */
    record HoldReply(long start, long clockMilliseconds, List<RunningTask> running, List<EndedTask> ended) {}

    /** A start of a task; the fields are those of {@link org.teaselwood.protocol.message.WorkMessage.StartTask}. */
    record StartRequest(
            String server,
            long term,
            String task,
            int attempt,
            String payload,
            String checkpoint,
            String ticket,
            long expiresAtMilliseconds) {}

    /** A stop of a task. */
    record StopRequest(String server, long term, String task, int attempt) {}

    /** A new pace of a task. */
    record PaceRequest(String server, long term, String task, int attempt, int percent) {}

    /** Answer of the server to an order. */
    enum Answer {
        /** Carried out, now or before. */
        DONE,
        /** A run that is not older ended or was stopped there. */
        SUPERSEDED,
        /** The lease of the order had run out on arrival. */
        LATE,
        /** A higher fencing token was seen. */
        FENCED,
        /** There is no room. */
        NO_ROOM,
        /** The ticket does not hold. */
        NO_TICKET,
        /** The server does not work now. */
        UNHEALTHY,
        /** The order is not valid. */
        INVALID,
        /** Another life of the server answered. */
        OTHER_LIFE
    }

    /** Renews and reads. */
    Future<HoldReply> hold(HoldRequest request);

    /** Starts a task. */
    Future<Answer> start(StartRequest request);

    /** Stops a task. */
    Future<Answer> stop(StopRequest request);

    /** Sets the pace of a task. */
    Future<Answer> pace(PaceRequest request);
}
