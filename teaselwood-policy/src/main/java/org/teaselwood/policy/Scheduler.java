package org.teaselwood.policy;

import java.util.List;
import org.teaselwood.model.Configuration;
import org.teaselwood.model.JobIdentifier;

/**
 * Scheduling policy of one region. Implementations are deterministic, have no clock, threads or I/O, and are confined
 * to one thread.
 */
public interface Scheduler {
    /**
     * Handles one event.
     *
     * @param nowMilliseconds time of the event; must not decrease
     * @return decisions in the order in which they must be carried out
     */
    List<PolicyDecision> handle(PolicyEvent event, long nowMilliseconds);

    /** Explains in lines of text why a job is waiting or where it is running; a single line for an unknown job. */
    List<String> explain(JobIdentifier job, long nowMilliseconds);

    /**
     * Checks that all guarantees of a configuration can be packed on the backend servers that are known.
     *
     * @throws org.teaselwood.model.TeaselwoodException of kind GUARANTEES_DO_NOT_FIT if they cannot
     */
    void checkGuarantees(Configuration configuration);

    /** Returns the share of idle accelerators, 0 to 1, that cannot serve the largest waiting or guaranteed shape. */
    double fragmentation();
}
