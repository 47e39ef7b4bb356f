package org.teaselwood.workload.model;

/**
 * Response times of the advice service for a queue whose tasks may run only on some backend servers. Immutable.
 *
 * @param decideMilliseconds fixed part of the response time
 * @param periodMilliseconds additional response time for each backend server in the request
 * @param validMilliseconds time for which a ticket is valid
 */
public record AdviceSettings(long decideMilliseconds, long periodMilliseconds, long validMilliseconds) {
    /** Returns the response time for a request about the given number of backend servers, in milliseconds. */
    public long answerMilliseconds(int servers) {
        return decideMilliseconds + periodMilliseconds * servers;
    }
}
