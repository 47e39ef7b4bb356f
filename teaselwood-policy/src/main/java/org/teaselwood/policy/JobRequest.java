package org.teaselwood.policy;

import org.teaselwood.model.JobIdentifier;
import org.teaselwood.model.Template;

/**
 * Properties of a job that determine its scheduling. Immutable.
 *
 * @param job identifier
 * @param team name of the team
 * @param template the template in force when the job was accepted
 * @param idempotent whether the job is idempotent and may run more than once
 * @param urgent whether the job belongs to the urgent class
 * @param submittedMilliseconds time of submission
 * @param deadlineMilliseconds time after which the job must not start, {@link Long#MAX_VALUE} for none
 */
public record JobRequest(
        JobIdentifier job,
        String team,
        Template template,
        boolean idempotent,
        boolean urgent,
        long submittedMilliseconds,
        long deadlineMilliseconds) {}
