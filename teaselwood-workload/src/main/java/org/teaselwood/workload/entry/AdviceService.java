package org.teaselwood.workload.entry;

import io.vertx.core.Future;
import java.util.List;
import java.util.Map;

/** The service that knows which backend servers may run the steps of some queues. Thread-safe. */
public interface AdviceService {
    /**
     * Asks which of the backend servers may run a step.
     *
     * @param limitMilliseconds time after which the call fails
     * @return tickets of the permitted backend servers by identifier; failed when there is no answer
     */
    Future<Map<String, String>> advise(String step, List<String> servers, long limitMilliseconds);

    /** Stands in where the deployment has no such service; every call fails. */
    static AdviceService absent() {
        return (step, servers, limit) ->
                Future.failedFuture(new IllegalStateException("the settings name no advice service"));
    }
}
