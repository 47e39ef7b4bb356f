package org.teaselwood.entry.core;

import org.teaselwood.model.Configuration;
import org.teaselwood.model.Term;

/** What the parts of an entry core share: settings, time, the configuration in force and the highest term seen. */
public final class EntryContext {
    private final EntryCoreSettings settings;
    private final EntryEffects effects;
    private final StoreClient store;
    private long now = Long.MIN_VALUE;
    private long startedAt;
    private boolean leaving;
    private Configuration configuration = Configuration.EMPTY;
    private Term highestTerm = Term.NONE;
    /** Why the configuration does not allow the entry to serve, empty when it does. */
    private String configurationProblem = "no configuration has been read yet";

    /** A context before the first event. */
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

    void startLeaving() {
        leaving = true;
    }

    void apply(Configuration newer) {
        configuration = newer;
    }

    /** Settings of the entry. */
    public EntryCoreSettings settings() {
        return settings;
    }

    /** Timings of the entry. */
    public EntryTimings timings() {
        return settings.timings();
    }

    /** Identifier of this entry. */
    public String self() {
        return settings.self().entry();
    }

    /** The world outside. */
    public EntryEffects effects() {
        return effects;
    }

    /** Calls of the key-value service. */
    public StoreClient store() {
        return store;
    }

    /** Monotonic time of the present event, in milliseconds. */
    public long now() {
        return now;
    }

    /** Wall clock time of the present event in milliseconds since the epoch; steady, because it is derived. */
    public long epoch() {
        return settings.epochMilliseconds() + now;
    }

    void configurationProblem(String problem) {
        configurationProblem = problem;
    }

    /** Whether the entry may serve. */
    public boolean ready() {
        return notReadyReason().isEmpty();
    }

    /** Why the entry may not serve, empty when it may. */
    String notReadyReason() {
        boolean started = now - startedAt >= timings().startMilliseconds();
        return started ? configurationProblem : "looking for other entries";
    }

    /**
     * Whether this entry may place. It waits for one heartbeat more, in which entries that were started at the same
     * time learn that the others are ready.
     */
    public boolean eligible() {
        long waiting = timings().startMilliseconds() + timings().heartbeatMilliseconds();
        return now - startedAt > waiting && configurationProblem.isEmpty() && !leaving;
    }

    /** Whether the process was asked to stop. */
    public boolean leaving() {
        return leaving;
    }

    /** The configuration in force. */
    public Configuration configuration() {
        return configuration;
    }

    /** Highest term seen of any placer. */
    public Term highestTerm() {
        return highestTerm;
    }

    /** Notes a term that was seen. */
    public void observeTerm(Term term) {
        if (term.compareTo(highestTerm) > 0) {
            highestTerm = term;
        }
    }
}
