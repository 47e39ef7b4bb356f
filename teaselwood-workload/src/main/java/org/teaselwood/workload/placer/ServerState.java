package org.teaselwood.workload.placer;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import org.teaselwood.protocol.message.WorkMessage;
import org.teaselwood.protocol.message.WorkMessage.ServerDescription;
import org.teaselwood.workload.model.Resources;

/**
 * One life of a backend server. Mutable; confined to the placer's duty thread.
 *
 * <p>Ends are processed in the order of their numbers and acknowledged only up to the first whose job is not stored,
 * because the server forgets what is acknowledged.
 */
final class ServerState {
    private static final double FAILURE_LIMIT = 2.5;
    private static final long QUARANTINE_MILLISECONDS = 4_000;

    final String id;
    final long start;
    final String host;
    final Map<String, Run> runs = new LinkedHashMap<>();

    /** Runs that the server reports and that do not count, with what they take. */
    final Map<String, Resources> strayRuns = new LinkedHashMap<>();

    /** Null until its agent has reported. */
    ServerDescription description;

    /** The agent's connection, null when there is none. */
    AgentConnection connection;

    /** Number of the newest connection that reported. */
    long connectionNumber = -1;

    /** Whether orders have to be repeated, because the connection has changed since. */
    boolean ordersMayBeLost;

    /** Process of the agent that reported last. */
    long agentLife;

    /** Clock of the agent in its newest report. */
    long agentClock;

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

    /** Sends a message to its agent; without a connection the message is dropped. */
    void send(WorkMessage message) {
        if (connection != null) {
            connection.send(message);
        }
    }

    /** Whether its agent has reported to this placer; otherwise it is known from records only. */
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

    /** Whether it may get new tasks. */
    boolean usable(long now, long suspectMilliseconds) {
        return hasReported()
                && connection != null
                && reconciled
                && responsive
                && !draining
                && now - heardAt <= suspectMilliseconds;
    }

    /** An end was processed; it may be acknowledged once the given version of the job is stored. */
    void endProcessed(long number, JobState job, long version) {
        processedEnds = number;
        pendingEnds.add(new PendingEnd(number, job, version));
    }

    /** Raises the acknowledged number as far as the ends are stored; true when it rose. */
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

    /** Counts a run that failed; several in a row keep new tasks away for a while. */
    void countFailure(long now) {
        failureScore += 1;
        if (failureScore >= FAILURE_LIMIT) {
            quarantinedUntil = now + QUARANTINE_MILLISECONDS;
        }
    }

    /** Counts a run that ended well. */
    void countSuccess() {
        failureScore = failureScore / 2;
    }
}
