package org.teaselwood.workload.placer;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import org.teaselwood.protocol.message.WorkMessage;
import org.teaselwood.protocol.message.WorkMessage.ServerDescription;
import org.teaselwood.workload.model.Resources;

/**
 * State of one incarnation of a backend server. Mutable; confined to the placer's duty thread.
 *
 * <p>Invariant: the ends of runs are processed in the order of their numbers and acknowledged only up to the first
 * whose effect on its job is not stored, because the server discards acknowledged ends.
 */
final class ServerState {
    private static final double FAILURE_LIMIT = 2.5;
    private static final long QUARANTINE_MILLISECONDS = 4_000;

    final String id;
    final long start;
    final String host;
    final Map<String, Run> runs = new LinkedHashMap<>();

    /** Resources of runs that the server reports but that are not on record, by key of the run. */
    final Map<String, Resources> strayRuns = new LinkedHashMap<>();

    /** Description from the newest report, null until the agent has reported. */
    ServerDescription description;

    /** Connection of the agent, null if there is none. */
    AgentConnection connection;

    /** Number of the newest connection that reported. */
    long connectionNumber = -1;

    /** Whether orders have to be repeated because the connection has changed since they were sent. */
    boolean ordersMayBeLost;

    /** Incarnation of the agent process that reported last. */
    long agentLife;

    /** Clock of the agent at its newest report, in milliseconds. */
    long agentClock;

    /** Time of the last contact with the agent, in milliseconds. */
    long heardAt;

    boolean draining;
    boolean responsive = true;
    boolean reconciled;
    long processedEnds;
    long acknowledgedEnds;
    double failureScore;
    long quarantinedUntil;

    private final Deque<PendingEnd> pendingEnds = new ArrayDeque<>();

    private record PendingEnd(long number, JobState job, long version) {}

    ServerState(String id, long start, String host, long now) {
        this.id = id;
        this.start = start;
        this.host = host;
        this.heardAt = now;
    }

    /** Sends a message to the agent; drops it if there is no connection. */
    void send(WorkMessage message) {
        if (connection != null) {
            connection.send(message);
        }
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
        for (Resources stray : strayRuns.values()) {
            free = free.minus(stray);
        }
        return free;
    }

    /** Returns whether new tasks may be placed on the server. */
    boolean usable(long now, long suspectMilliseconds) {
        return hasReported()
                && connection != null
                && reconciled
                && responsive
                && !draining
                && now - heardAt <= suspectMilliseconds;
    }

    /**
     * Records that the end of a run was processed; it may be acknowledged once the given version of the job is stored.
     *
     * @param job job of the run, null if it is unknown and nothing has to be stored
     */
    void endProcessed(long number, JobState job, long version) {
        processedEnds = number;
        pendingEnds.add(new PendingEnd(number, job, version));
    }

    /** Advances the acknowledged number up to the last stored end; returns whether it has changed. */
    boolean acknowledgeStored() {
        long before = acknowledgedEnds;
        while (!pendingEnds.isEmpty() && isStored(pendingEnds.peek())) {
            acknowledgedEnds = pendingEnds.poll().number();
        }
        return acknowledgedEnds > before;
    }

    private static boolean isStored(PendingEnd end) {
        return end.job() == null || end.job().storedVersion >= end.version();
    }

    /** Counts a failed run; several failures in a row put the server into quarantine. */
    void countFailure(long now) {
        failureScore += 1;
        if (failureScore >= FAILURE_LIMIT) {
            quarantinedUntil = now + QUARANTINE_MILLISECONDS;
        }
    }

    /** Counts a successful run. */
    void countSuccess() {
        failureScore = failureScore / 2;
    }
}
