package org.teaselwood.bench.fuzz;

import java.util.Map;
import org.teaselwood.model.JobSubmission;
import org.teaselwood.model.Template;

/**
 * A submission by a caller of a fuzzing run. Immutable.
 *
 * @param team name of the team
 * @param requestKey the caller's request key
 * @param template the template
 * @param parameters parameters by name
 * @param repeatable whether the job may run more than once
 * @param urgent whether the job belongs to the urgent class
 * @param inBothRegions whether callers in both regions use the same request key
 */
record Submission(
        String team,
        String requestKey,
        Template template,
        Map<String, String> parameters,
        boolean repeatable,
        boolean urgent,
        boolean inBothRegions) {
    static String identityOf(String team, String requestKey) {
        return team + "/" + requestKey;
    }

    String identity() {
        return identityOf(team, requestKey);
    }

    JobSubmission toJobSubmission() {
        return new JobSubmission(requestKey, true, team, template.name(), parameters, 0, repeatable, urgent);
    }
}
