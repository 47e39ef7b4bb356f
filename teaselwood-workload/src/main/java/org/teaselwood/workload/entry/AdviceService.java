package org.teaselwood.workload.entry;

import io.vertx.core.Future;
import java.util.List;
import java.util.Map;

/** Client of the service that decides which backend servers may run the steps of some queues. Thread-safe. */
public interface AdviceService {
    /**
     * Requests the backend servers that may run a step.
     *
     * @param limitMilliseconds timeout of the call
     * @return tickets of the permitted backend servers by server identifier; fails if there is no response in time
     */
    Future<Map<String, String>> advise(String step, List<String> servers, long limitMilliseconds);

    /** Returns a client for deployments without an advice service; every call fails. */
    static AdviceService unavailable() {
        return (step, servers, limit) ->
                Future.failedFuture(new IllegalStateException("no advice service is configured"));
    }
}
