package org.teaselwood.protocol.message;

import org.teaselwood.model.JobIdentifier;
import org.teaselwood.model.JobState;
import org.teaselwood.model.Outcome;

/**
 * Caller-visible state of a job. Immutable.
 *
 * @param job identifier
 * @param region region that runs the job
 * @param requestKey deduplication key of the submission
 * @param team name of the team
 * @param template name of the template
 * @param state current state
 * @param outcome whether the job ran, as far as known
 * @param version number that increases with every change of the other fields, within the term of one placer
 * @param attempt number of the latest attempt, 0 before the first
 * @param progressPercent progress, 0 to 100
 * @param submittedMilliseconds time of submission, since the epoch
 * @param startedMilliseconds time of the latest start, since the epoch, 0 before the first start
 * @param finishedMilliseconds time at which the final state was reached, since the epoch, 0 before then
 * @param durable whether the acceptance is recorded in the key-value service
 * @param errorKind code of the error kind, empty for none
 * @param message error message for the caller, empty for none
 * @param answerLength length of the answer in bytes, -1 if there is none yet
 * @param answerChecksum CRC-32C of the answer
 */
public record JobView(
        JobIdentifier job,
        String region,
        String requestKey,
        String team,
        String template,
        JobState state,
        Outcome outcome,
        long version,
        int attempt,
        int progressPercent,
        long submittedMilliseconds,
        long startedMilliseconds,
        long finishedMilliseconds,
        boolean durable,
        String errorKind,
        String message,
        int answerLength,
        int answerChecksum) {}
