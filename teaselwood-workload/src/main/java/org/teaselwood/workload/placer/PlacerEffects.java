package org.teaselwood.workload.placer;

import java.util.List;
import java.util.Map;

/** What the placer asks of its surroundings. Called on the placer's duty thread. */
public interface PlacerEffects {
    /**
     * One record to write.
     *
     * @param expectedRevision revision that the record must have, 0 when it must not exist
     */
    record RecordWrite(String job, byte[] value, long expectedRevision) {}

    /**
     * Writes the records together under the condition that this placer is still the elected one. Exactly one of {@link
     * WorkPlacer#written}, {@link WorkPlacer#revisionsRead} or {@link WorkPlacer#writeFailed} follows.
     */
    void write(List<RecordWrite> writes);

    /**
     * Asks the advice service which of the backend servers may run a step. Exactly one of {@link WorkPlacer#advised} or
     * {@link WorkPlacer#adviceFailed} follows.
     *
     * @param limitMilliseconds time after which no answer is waited for
     */
    void advise(String step, List<String> servers, long limitMilliseconds);

    /**
     * Removes everything that is stored of the jobs, under the condition that this placer is still the elected one.
     * Exactly one of {@link WorkPlacer#removed} or {@link WorkPlacer#removeFailed} follows.
     */
    void remove(List<String> jobs);

    /** Publishes the number of waiting jobs by queue; may be lost. */
    void publishPending(Map<String, Integer> pending);

    /** A time of a job was measured, such as its wait or its completion; in milliseconds. */
    void measured(String name, String team, String queue, long milliseconds);

    /** The time of day, in milliseconds since 1970. */
    long wallMilliseconds();
}
