package org.teaselwood.protocol.message;

import org.teaselwood.model.JobIdentifier;
import org.teaselwood.model.JobState;
import org.teaselwood.model.Outcome;

/**
 * A job as its caller sees it. Immutable.
 *
 * @param job identifier
 * @param region region that runs it
 * @param requestKey the caller's request key
 * @param team name of the team
 * @param template name of the template
 * @param state present state
 * @param outcome whether it ran, as far as it is known
 * @param version rises with every change of the other fields, within one placer's term
 * @param attempt number of the newest attempt, 0 before the first
 * @param progressPercent 0 to 100
 * @param submittedMilliseconds time of submission, since the epoch
 * @param startedMilliseconds time of the newest start, since the epoch, 0 before it
 * @param finishedMilliseconds time of the final state, since the epoch, 0 before it
 * @param durable whether the acceptance is recorded in the key-value service
 * @param errorKind code of the error kind, empty for none
 * @param message text for the caller, empty for none
 * @param answerLength length of the answer in bytes, -1 before there is one
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
