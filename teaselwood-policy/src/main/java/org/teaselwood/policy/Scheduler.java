package org.teaselwood.policy;

import java.util.List;
import org.teaselwood.model.Configuration;
import org.teaselwood.model.JobIdentifier;

/**
 * Placement logic of one region. Implementations are deterministic, hold no clock, thread or I/O, and are confined to
 * one thread.
 */
public interface Scheduler {
    /**
     * Handles one event.
     *
     * @param nowMilliseconds time of the event; never falls
     * @return decisions in the order to act in
     */
    List<PolicyDecision> handle(PolicyEvent event, long nowMilliseconds);

    /** Why a job waits or where it runs, in lines of text; a single line for an unknown job. */
    List<String> explain(JobIdentifier job, long nowMilliseconds);

    /**
     * Checks that the guarantees of a configuration can all be packed on the backend servers now known.
     *
     * @throws org.teaselwood.model.TeaselwoodException of kind GUARANTEES_DO_NOT_FIT
     */
    void checkGuarantees(Configuration configuration);

    /** Share of idle accelerators, 0 to 1, that cannot serve the largest waiting or guaranteed shape. */
    double fragmentation();
}
