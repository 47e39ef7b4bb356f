package org.teaselwood.workload.placer;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import org.teaselwood.protocol.message.WorkMessage;
import org.teaselwood.protocol.message.WorkMessage.ServerDescription;
import org.teaselwood.protocol.message.WorkMessage.ServerReport;
import org.teaselwood.workload.model.Resources;
import org.teaselwood.workload.model.WorkloadTimings;

/**
 * State of one incarnation of a backend server. Mutable; confined to the placer's duty thread.
 *
 * <p>Invariant: the ends of runs are processed in the order of their numbers and acknowledged only up to the first
 * whose effect on its job is not stored, because the server discards acknowledged ends.
 */
final class ServerState {
    private static final double QUARANTINE_THRESHOLD = 2.5;
    private static final long QUARANTINE_MILLISECONDS = 4_000;

    final String id;
    final long incarnation;
    final String host;
    final Map<String, Run> runs = new LinkedHashMap<>();

    /** Resources of runs that the server reports but that are not on record, by key of the run. */
    final Map<String, Resources> orphanedRuns = new LinkedHashMap<>();

    /** Description from the newest report, null until the agent has reported. */
    ServerDescription description;

    /** Connection of the agent, null if there is none. */
    AgentConnection connection;

    /** Number of the newest connection that reported. */
    long connectionNumber = -1;

    /** Whether orders have to be repeated because the connection has changed since they were sent. */
    boolean ordersMayBeLost;

    /** Incarnation of the agent process that reported last. */
    long agentIncarnation;

    /** Clock of the agent at its newest report, in milliseconds. */
    long agentClock;

    /** Time of the last contact with the agent, in milliseconds. */
    long lastContactAt;

    /** Number of the agent's newest call that the server has answered. */
    private long answeredOperation;

    /** Latest time at which the server is known to have announced itself or answered its agent, in milliseconds. */
    long respondedAt;

    boolean draining;
    boolean responsive = true;
    boolean reconciled;
    long lastProcessedEnd;
    long lastAcknowledgedEnd;
    double failureScore;
    long quarantinedUntil;

    private final Deque<PendingEnd> pendingEnds = new ArrayDeque<>();

    private record PendingEnd(long number, JobState job, long version) {}

    ServerState(String id, long incarnation, String host, long now) {
        this.id = id;
        this.incarnation = incarnation;
        this.host = host;
        this.lastContactAt = now;
        this.respondedAt = now;
    }

    /** Sends a message to the agent; drops it if there is no connection. */
    void send(WorkMessage message) {
        if (connection != null) {
            connection.send(message);
        }
    }

    /**
     * Records when the server last answered its agent: at most one report interval before the first report with a newer
     * call. Called before the incarnation of the agent process is updated.
     */
    void recordResponse(ServerReport report, long now) {
        if (report.agentIncarnation() == agentIncarnation && report.operation() > answeredOperation) {
            respondedAt = now - WorkloadTimings.REPORT_INTERVAL_MILLISECONDS;
        }
        answeredOperation = report.operation();
    }

    /**
     * Returns whether the agent has reported to this placer; otherwise the server is known only from stored records.
     */
    boolean hasReported() {
        return description != null;
    }

    Resources capacity() {
        return new Resources(description.milliCores(), description.memoryMebibytes(), description.accelerators());
    }

    Resources free() {
        Resources free = capacity();
        for (Run run : runs.values()) {
            free = free.minus(run.reserved());
        }
        for (Resources orphaned : orphanedRuns.values()) {
            free = free.minus(orphaned);
        }
        return free;
    }

    /**
     * Returns whether the run uses a resource of which the runs on record need more than the reported capacity; only a
     * capacity that shrinks, or a run that is not on record, leads to this.
     */
    boolean exceedsCapacity(Run run) {
        Resources free = free();
        Resources used = run.reserved();
        return free.milliCores() < 0 && used.milliCores() > 0
                || free.memoryMebibytes() < 0 && used.memoryMebibytes() > 0
                || free.accelerators() < 0 && used.accelerators() > 0;
    }

    /** Returns whether new tasks may be placed on the server. */
    boolean isUsable(long now, long unresponsiveAfterMilliseconds) {
        return hasReported()
                && connection != null
                && reconciled
                && responsive
                && !draining
                && now - lastContactAt <= unresponsiveAfterMilliseconds;
    }

    /**
     * Records that the end of a run was processed; it may be acknowledged once the given version of the job is stored.
     *
     * @param job job of the run, null if it is unknown and nothing has to be stored
     */
    void endProcessed(long number, JobState job, long version) {
        lastProcessedEnd = number;
        pendingEnds.add(new PendingEnd(number, job, version));
    }

    /** Advances the acknowledged number up to the last stored end; returns whether it has changed. */
    boolean acknowledgeStored() {
        long before = lastAcknowledgedEnd;
        while (!pendingEnds.isEmpty() && isStored(pendingEnds.peek())) {
            lastAcknowledgedEnd = pendingEnds.poll().number();
        }
        return lastAcknowledgedEnd > before;
    }

    private static boolean isStored(PendingEnd end) {
        return end.job() == null || end.job().storedVersion >= end.version();
    }

    /** Counts a failed run; several failures in a row put the server into quarantine. */
    void countFailure(long now) {
        failureScore += 1;
        if (failureScore >= QUARANTINE_THRESHOLD) {
            quarantinedUntil = now + QUARANTINE_MILLISECONDS;
        }
    }

    /** Counts a successful run. */
    void countSuccess() {
        failureScore = failureScore / 2;
    }
}
