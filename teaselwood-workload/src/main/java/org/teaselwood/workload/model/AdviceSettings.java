package org.teaselwood.workload.model;

/**
 * Response times of the advice service for a queue whose tasks may run only on some backend servers. Immutable.
 *
 * @param fixedResponseMilliseconds fixed part of the response time
 * @param responseMillisecondsPerServer additional response time for each backend server in the request
 * @param ticketValidityMilliseconds time for which a ticket is valid
 */
public record AdviceSettings(
        long fixedResponseMilliseconds, long responseMillisecondsPerServer, long ticketValidityMilliseconds) {
    /** Returns the response time for a request about the given number of backend servers, in milliseconds. */
    public long responseMilliseconds(int servers) {
        return fixedResponseMilliseconds + responseMillisecondsPerServer * servers;
    }
}
