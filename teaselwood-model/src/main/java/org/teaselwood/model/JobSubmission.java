package org.teaselwood.model;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * What a caller submits. Immutable.
 *
 * @param requestKey the caller's key; the same key of the same team means the same request
 * @param callerGaveKey false if the entry made up the key, so that no earlier submission can have used it
 * @param team name of the team
 * @param template name of the template
 * @param parameters parameters by name
 * @param deadlineMilliseconds time from submission after which the job is not started any more, 0 for none
 * @param repeatable whether the job may run more than once
 * @param urgent whether the job belongs to the urgent class
 */
public record JobSubmission(
        String requestKey,
        boolean callerGaveKey,
        String team,
        String template,
        Map<String, String> parameters,
        long deadlineMilliseconds,
        boolean repeatable,
        boolean urgent) {
    /** Copies the parameters, ordered by name. */
    public JobSubmission {
        parameters = Collections.unmodifiableMap(new TreeMap<>(parameters));
    }
}
