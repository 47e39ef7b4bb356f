package org.teaselwood.protocol.message;

import java.util.Map;
import org.teaselwood.model.PartResources;

/**
 * What an agent must know of a job to run a part of it, and what a new placer must know to adopt it. Immutable.
 *
 * @param team name of the team
 * @param template name of the template
 * @param command what the worker runs
 * @param parameters resolved parameters by name
 * @param resources what each part takes
 * @param parts number of parts
 * @param servers number of distinct backend servers of the attempt
 * @param repeatable whether the job may run more than once
 * @param urgent whether the job belongs to the urgent class
 * @param guaranteed whether the attempt runs inside its team's guarantee
 * @param checkpointable whether the work can be checkpointed and resumed
 * @param submittedMilliseconds time of submission, since the epoch
 * @param requestKey the caller's request key
 * @param resumeFrom checkpoint to resume from, empty for none
 */
public record TaskSpecification(
        String team,
        String template,
        String command,
        Map<String, String> parameters,
        PartResources resources,
        int parts,
        int servers,
        boolean repeatable,
        boolean urgent,
        boolean guaranteed,
        boolean checkpointable,
        long submittedMilliseconds,
        String requestKey,
        String resumeFrom) {
    /** Whether parts run on several backend servers, so that the attempt needs {@code RenewGang}. */
    public boolean spansServers() {
        return servers > 1;
    }
}
