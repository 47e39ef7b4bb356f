package org.teaselwood.workload.model;

/**
 * How the advice service answers for a queue whose tasks only some backend servers may run. Immutable.
 *
 * @param decideMilliseconds time of an answer, whatever is asked
 * @param periodMilliseconds additional time for each backend server that is asked about
 * @param validMilliseconds time that a ticket holds
 */
public record AdviceSettings(long decideMilliseconds, long periodMilliseconds, long validMilliseconds) {
    /** Time in which the service answers for a number of backend servers, in milliseconds. */
    public long answerMilliseconds(int servers) {
        return decideMilliseconds + periodMilliseconds * servers;
    }
}
