package org.teaselwood.protocol.message;

import java.util.List;

/**
 * Messages between the placer of multi-step jobs and the agents that run beside the backend servers. Every order names
 * the incarnation of the backend server for which it is intended and is idempotent. Immutable.
 */
public sealed interface WorkMessage extends Message {
    /**
     * Task that is running on a backend server.
     *
     * @param task name of the task
     * @param attempt attempt number
     * @param checkpoint latest checkpoint, empty for none
     * @param percent progress, 0 to 100
     * @param load tail latency in milliseconds for a task that serves users, CPU usage in millicores for any other task
     */
    record RunningTask(String task, int attempt, String checkpoint, int percent, int load) {}

    /** Reason for the end of a run. */
    enum EndKind {
        /** The task is complete. */
        DONE,
        /** The run failed because of an error of the task or of the backend server. */
        FAILED,
        /** The run was stopped by an order. */
        STOPPED,
        /** The lease of the run expired. */
        LAPSED,
        /** Another member of the gang ended. */
        BROKEN,
        /** The other members of the gang did not join in time. */
        ALONE
    }

    /**
     * Run that has ended.
     *
     * @param number sequence number within this incarnation of the backend server, from 1
     */
    record EndedTask(long number, String task, int attempt, EndKind kind, String checkpoint) {}

    /**
     * Capacity and location of a backend server.
     *
     * @param server identifier of the backend server
     * @param incarnation start time of this incarnation, in milliseconds since the epoch (1970)
     * @param host VM of the backend server; a VM runs one incarnation of a backend server at a time
     * @param rack rack of the VM
     * @param labels labels that a selector may match
     */
    record ServerDescription(
            String server,
            long incarnation,
            String host,
            String service,
            String dataCentre,
            String rack,
            List<String> labels,
            long milliCores,
            long memoryMebibytes,
            int accelerators) {
        /** Returns whether both describe the same incarnation of the same backend server. */
        public boolean isSameIncarnation(ServerDescription other) {
            return server.equals(other.server) && incarnation == other.incarnation;
        }
    }

    /**
     * State of a backend server, reported by its agent.
     *
     * @param agentIncarnation incarnation of the agent; call numbers of different incarnations cannot be compared
     * @param term highest term accepted by the backend server when its state was read
     * @param draining whether the backend server accepts no new tasks
     * @param responsive whether the backend server answered its agent recently
     * @param sentMilliseconds time of the agent's clock, returned in {@link Contact}
     * @param operation number of the call to the backend server that returned the lists; calls are numbered in the
     *     order in which they begin
     * @param running running tasks
     * @param ended ended runs that have not been acknowledged, in the order of their numbers
     * @param moreEnded whether further runs may have ended that are not in the list; a run in neither list may then
     *     have ended successfully
     */
    record ServerReport(
            ServerDescription description,
            long agentIncarnation,
            long term,
            boolean draining,
            boolean responsive,
            long sentMilliseconds,
            long operation,
            List<RunningTask> running,
            List<EndedTask> ended,
            @AbsentInEarlierBuilds boolean moreEnded)
            implements WorkMessage {
        /** Creates a report with a complete list of ended runs. */
        public ServerReport(
                ServerDescription description,
                long agentIncarnation,
                long term,
                boolean draining,
                boolean responsive,
                long sentMilliseconds,
                long operation,
                List<RunningTask> running,
                List<EndedTask> ended) {
            this(
                    description,
                    agentIncarnation,
                    term,
                    draining,
                    responsive,
                    sentMilliseconds,
                    operation,
                    running,
                    ended,
                    false);
        }
    }

    /** Outcome of an order. */
    enum OrderOutcome {
        /** The run is active on the backend server. */
        STARTED,
        /** The run has already ended or was already stopped on the backend server. */
        SUPERSEDED,
        /** The order had no effect: the backend server has too few free resources. */
        NO_ROOM,
        /** The order had no effect: the backend server is not healthy or is shutting down. */
        UNAVAILABLE,
        /** The order had no effect: it is not valid. */
        REFUSED,
        /** The order had no effect: its ticket is not valid. */
        NO_TICKET,
        /** The outcome is unknown: a request that was not answered may still take effect. */
        UNCERTAIN,
        /** The run has stopped or can no longer start. */
        STOPPED
    }

    /**
     * Result of an order.
     *
     * @param operation number of the latest call to the backend server that had begun when the result became known
     */
    record OrderResult(String server, long incarnation, String task, int attempt, OrderOutcome outcome, long operation)
            implements WorkMessage {}

    /**
     * Notice that nothing runs on an incarnation of a backend server any more: it has shut down, or it has not answered
     * its agent until all its leases had expired.
     */
    record ServerLeft(String server, long incarnation) implements WorkMessage {}

    /**
     * Order to start a task.
     *
     * @param echoMilliseconds time of the agent's clock in the latest report received by the placer, from which the
     *     agent determines the age of the order
     * @param ticket permission issued by the advice service, empty if the queue requires none
     */
    record StartTask(
            long term,
            long echoMilliseconds,
            String server,
            long incarnation,
            String task,
            int attempt,
            String payload,
            String checkpoint,
            String ticket)
            implements WorkMessage {}

    /** Order to stop a task, or to prevent its start. */
    record StopTask(long term, String server, long incarnation, String task, int attempt) implements WorkMessage {}

    /**
     * Order to set the speed of a task.
     *
     * @param percent percentage of full speed, 0 to 100; a task starts at 100
     */
    record PaceTask(long term, String server, long incarnation, String task, int attempt, int percent)
            implements WorkMessage {}

    /**
     * Reply to a report.
     *
     * @param echoMilliseconds time of the agent's clock in the report
     * @param acknowledged highest sequence number up to which ended runs are stored
     */
    record Contact(long term, long echoMilliseconds, String server, long incarnation, long acknowledged)
            implements WorkMessage {}
}
