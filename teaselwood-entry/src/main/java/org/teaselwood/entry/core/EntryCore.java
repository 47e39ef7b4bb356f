package org.teaselwood.entry.core;

import org.teaselwood.model.Configuration;
import org.teaselwood.policy.Scheduler;

/** The state machine of an entry. Deterministic, without clock, thread or I/O; confined to one thread. */
public final class EntryCore {
    /** A core that has heard of nobody yet. */
    public EntryCore(EntryCoreSettings settings, Scheduler scheduler, EntryEffects effects) {}

    /**
     * Handles one event.
     *
     * @param nowMilliseconds monotonic time of the event; never falls
     */
    public void handle(EntryEvent event, long nowMilliseconds) {}

    /** Puts a configuration in force if its revision is higher than that of the present one. */
    public void applyConfiguration(Configuration configuration, long nowMilliseconds) {}
}
