package org.teaselwood.workload.placer;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Operations that the placer requests from its environment. Called on the placer's duty thread. */
public interface PlacerEffects {
    /**
     * Write of the record of a job, or of a chunk of its progress. Immutable.
     *
     * @param value new value, empty to remove the key
     * @param expectedRevision revision that the value must have, 0 if it must not exist
     */
    record RecordWrite(String key, Optional<byte[]> value, long expectedRevision) {
        /** Returns the size of the value in bytes. */
        int size() {
            return value.map(bytes -> bytes.length).orElse(0);
        }
    }

    /**
     * Writes the records in one transaction on the condition that this placer still holds its term. Exactly one of
     * {@link WorkPlacer#recordsWritten}, {@link WorkPlacer#writeRejected} or {@link WorkPlacer#writeFailed} is
     * called afterwards.
     */
    void writeRecords(List<RecordWrite> writes);

    /**
     * Asks the advice service which of the backend servers may run a step. Exactly one of
     * {@link WorkPlacer#adviceReceived} or {@link WorkPlacer#adviceFailed} is called afterwards.
     *
     * @param limitMilliseconds timeout for the answer
     */
    void requestAdvice(String step, List<String> servers, long limitMilliseconds);

    /**
     * Removes all stored data of the jobs on the condition that this placer still holds its term. Exactly one of
     * {@link WorkPlacer#jobsRemoved} or {@link WorkPlacer#jobRemovalFailed} is called afterwards.
     */
    void removeJobs(List<String> jobs);

    /** Publishes the number of waiting jobs by queue, without a guarantee of delivery. */
    void publishPending(Map<String, Integer> pending);

    /** Records a duration of a job, such as its waiting or completion time, in milliseconds. */
    void recordTime(String name, String team, String queue, long milliseconds);

    /** Returns the wall-clock time in milliseconds since 1970. */
    long wallMilliseconds();
}
