package org.teaselwood.protocol.message;

import java.util.List;

/**
 * Messages between the placer of stepped jobs and the agents beside the backend servers. Every order names the life of
 * the backend server it is meant for and is idempotent. Immutable.
 */
public sealed interface WorkMessage extends Message {
    /**
     * A task that runs.
     *
     * @param task name of the task
     * @param attempt number of its start
     * @param checkpoint newest checkpoint, empty for none
     * @param percent progress, 0 to 100
     * @param load tail latency in milliseconds of a task that serves users, processor in use in millicores of any other
     */
    record RunningTask(String task, int attempt, String checkpoint, int percent, int load) {}

    /** How a run ended. */
    enum EndKind {
        /** The work is done. */
        DONE,
        /** The run failed by its own fault or the server's. */
        FAILED,
        /** It was stopped by an order. */
        STOPPED,
        /** Its lease ran out. */
        LAPSED,
        /** Another member of its gang ended. */
        BROKEN,
        /** The other members of its gang did not arrive. */
        ALONE
    }

    /**
     * A run that ended.
     *
     * @param number position in the list of this life of the server, from 1
     */
    record EndedTask(long number, String task, int attempt, EndKind kind, String checkpoint) {}

    /**
     * What a backend server offers.
     *
     * @param server identifier
     * @param start start of its life, in milliseconds since 1970
     * @param host VM that it runs on; a VM runs one life of a backend server at a time
     * @param rack rack that it stands in
     * @param labels everything that a selector may name
     */
    record ServerDescription(
            String server,
            long start,
            String host,
            String service,
            String dataCentre,
            String rack,
            List<String> labels,
            long milliCores,
            long memoryMebibytes,
            int accelerators) {}

    /**
     * State of the backend server beside an agent.
     *
     * @param agentLife identifies the process of the agent; numbers of server calls of two processes do not compare
     * @param term highest term that the server obeyed when it was read
     * @param draining whether the server takes no new task
     * @param responsive whether the server answered its agent recently
     * @param sentMilliseconds the agent's clock, returned by {@link Contact}
     * @param operation number of the server call that the lists come from; calls are numbered in the order they begin
     * @param running everything that runs
     * @param ended ends that were not acknowledged
     */
    record ServerReport(
            ServerDescription description,
            long agentLife,
            long term,
            boolean draining,
            boolean responsive,
            long sentMilliseconds,
            long operation,
            List<RunningTask> running,
            List<EndedTask> ended)
            implements WorkMessage {}

    /** What came of an order. */
    enum OrderOutcome {
        /** The run is there. */
        STARTED,
        /** The run ended or was stopped there before. */
        SUPERSEDED,
        /** Nothing was done, the server has no room. */
        NO_ROOM,
        /** Nothing was done, the server is not healthy or is leaving. */
        UNAVAILABLE,
        /** Nothing was done, the order is not valid. */
        REFUSED,
        /** Nothing was done, the ticket of the order does not hold. */
        NO_TICKET,
        /** A try without an answer may still take effect. */
        UNCERTAIN,
        /** The run is stopped or can no longer start. */
        STOPPED
    }

    /**
     * Result of an order.
     *
     * @param operation number of the newest server call that had begun when the result was known
     */
    record OrderResult(String server, long start, String task, int attempt, OrderOutcome outcome, long operation)
            implements WorkMessage {}

    /** The backend server has left. */
    record ServerLeft(String server, long start) implements WorkMessage {}

    /**
     * Starts a task.
     *
     * @param echoMilliseconds the agent's clock in its newest report that the placer has seen; it tells the age of the
     *     order
     * @param ticket permission of the advice service, empty when the queue needs none
     */
    record StartTask(
            long term,
            long echoMilliseconds,
            String server,
            long start,
            String task,
            int attempt,
            String payload,
            String checkpoint,
            String ticket)
            implements WorkMessage {}

    /** Stops a task, or keeps it from starting. */
    record StopTask(long term, String server, long start, String task, int attempt) implements WorkMessage {}

    /**
     * Sets the share of its speed at which a task works.
     *
     * @param percent 0 to 100; a task starts at 100
     */
    record PaceTask(long term, String server, long start, String task, int attempt, int percent)
            implements WorkMessage {}

    /**
     * Answers a report.
     *
     * @param echoMilliseconds the clock of the report
     * @param acknowledged ends up to this number are stored
     */
    record Contact(long term, long echoMilliseconds, String server, long start, long acknowledged)
            implements WorkMessage {}
}
