package org.teaselwood.protocol.message;

import java.util.Map;
import org.teaselwood.model.PartResources;

/**
 * Description of a job from which an agent can run a part and a new placer can adopt the running attempt. Immutable.
 *
 * @param team name of the team
 * @param template name of the template
 * @param command command that the worker runs
 * @param parameters validated parameters by name, including default values
 * @param resources resources of each part
 * @param parts number of parts
 * @param servers number of distinct backend servers of the attempt
 * @param repeatable whether the job may run more than once
 * @param urgent whether the job belongs to the urgent class
 * @param guaranteed whether the attempt runs within a guarantee of its team
 * @param checkpointable whether the task can be checkpointed and resumed
 * @param submittedMilliseconds time of submission, since the epoch
 * @param requestKey deduplication key of the submission
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
    /** Returns whether the parts run on several backend servers, so that the attempt requires {@code RenewGang}. */
    public boolean spansServers() {
        return servers > 1;
    }
}
