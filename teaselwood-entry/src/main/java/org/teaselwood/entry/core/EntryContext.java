package org.teaselwood.entry.core;

import org.teaselwood.model.Configuration;
import org.teaselwood.model.Term;

/**
 * State shared by the parts of an entry core: settings, time, the configuration in force and the highest term seen.
 * Confined to the core's thread; the highest term never falls.
 */
public final class EntryContext {
    private final EntryCoreSettings settings;
    private final EntryEffects effects;
    private final StoreClient store;
    private long now = Long.MIN_VALUE;
    private long startedAt;
    private boolean leaving;
    private Configuration configuration = Configuration.EMPTY;
    private Term highestTerm = Term.NONE;
    /** Reason why the configuration does not allow the entry to serve, empty if it does. */
    private String configurationProblem = "no configuration has been read yet";

    /** Creates a context that has not handled an event yet. */
    public EntryContext(EntryCoreSettings settings, EntryEffects effects) {
        this.settings = settings;
        this.effects = effects;
        this.store = new StoreClient(effects);
    }

    void advance(long nowMilliseconds) {
        if (now == Long.MIN_VALUE) {
            startedAt = nowMilliseconds;
        }
        now = Math.max(now, nowMilliseconds);
    }

    void markLeaving() {
        leaving = true;
    }

    void apply(Configuration newer) {
        configuration = newer;
    }

    /** Returns the settings of the entry. */
    public EntryCoreSettings settings() {
        return settings;
    }

    /** Returns the timings of the entry. */
    public EntryTimings timings() {
        return settings.timings();
    }

    /** Returns the identifier of this entry. */
    public String self() {
        return settings.self().entry();
    }

    /** Returns the side effects of the core: messages, connections, replies and log lines. */
    public EntryEffects effects() {
        return effects;
    }

    /** Returns the client of the key-value service. */
    public StoreClient store() {
        return store;
    }

    /** Returns the monotonic time of the current event, in milliseconds. */
    public long now() {
        return now;
    }

    /**
     * Returns the wall-clock time of the current event in milliseconds since the epoch. It is derived from the
     * monotonic time of the event, so that it never goes backwards.
     */
    public long wallClockMilliseconds() {
        return settings.epochMilliseconds() + now;
    }

    void configurationProblem(String problem) {
        configurationProblem = problem;
    }

    /** Returns whether the entry may serve requests. */
    public boolean ready() {
        return notReadyReason().isEmpty();
    }

    /** Returns why the entry may not serve requests, or an empty string if it may. */
    String notReadyReason() {
        boolean started = now - startedAt >= timings().startMilliseconds();
        return started ? configurationProblem : "discovering other entries";
    }

    /**
     * Returns whether this entry may become placer. After the start phase it waits for one more heartbeat interval, so
     * that entries that were started at the same time learn of each other's readiness.
     */
    public boolean eligible() {
        long waiting = timings().startMilliseconds() + timings().heartbeatMilliseconds();
        return now - startedAt > waiting && configurationProblem.isEmpty() && !leaving;
    }

    /** Returns whether the process was asked to stop. */
    public boolean leaving() {
        return leaving;
    }

    /** Returns the configuration in force. */
    public Configuration configuration() {
        return configuration;
    }

    /** Returns the highest term seen of any placer. */
    public Term highestTerm() {
        return highestTerm;
    }

    /** Records a term that was seen; a lower one than the highest has no effect. */
    public void observeTerm(Term term) {
        if (term.compareTo(highestTerm) > 0) {
            highestTerm = term;
        }
    }
}
