package org.teaselwood.model;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * Job submission of a caller. Immutable.
 *
 * @param requestKey deduplication key; submissions of a team with the same key denote the same request
 * @param keySuppliedByCaller whether the caller supplied the key; false if the entry generated it, in which case no
 *     earlier submission can have used it
 * @param team name of the team
 * @param template name of the template
 * @param parameters parameters by name
 * @param deadlineMilliseconds time after submission at which the job is no longer started, 0 for no deadline
 * @param repeatable whether the job may run more than once
 * @param urgent whether the job belongs to the urgent class
 */
public record JobSubmission(
        String requestKey,
        boolean keySuppliedByCaller,
        String team,
        String template,
        Map<String, String> parameters,
        long deadlineMilliseconds,
        boolean repeatable,
        boolean urgent) {
    /** Copies the parameters in name order. */
    public JobSubmission {
        parameters = Collections.unmodifiableMap(new TreeMap<>(parameters));
    }
}
