package org.teaselwood.entry.core;

import static com.google.common.truth.Truth.assertThat;
import static org.teaselwood.entry.core.EntryCoreTest.viewOf;
import static org.teaselwood.entry.core.SimulatedRegion.TEAM;
import static org.teaselwood.entry.core.SimulatedRegion.submit;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.JobState;
import org.teaselwood.model.JobSubmission;
import org.teaselwood.model.Outcome;
import org.teaselwood.protocol.message.FrontReply;
import org.teaselwood.protocol.message.FrontRequest;
import org.teaselwood.protocol.message.JobView;
import org.teaselwood.protocol.message.Principal;

/** Tests of job records under outages and lost replies of the key-value service. */
class DurabilityTest {
    private final SimulatedRegion region = new SimulatedRegion(2, 2);
    private final SimulatedRegion.Node placer = region.placer();
    private final SimulatedRegion.Node other = region.other(placer);

    private int starts() {
        return region.agents.values().stream()
                .mapToInt(agent -> agent.starts.size())
                .sum();
    }

    private JobView query(SimulatedRegion.Node node, JobView job) {
        return viewOf(region.ask(node, new FrontRequest.QueryJob(TEAM, job.job())));
    }

    private void succeedAll() {
        region.agents.values().forEach(agent -> agent.running().forEach(part -> agent.succeed(part, "done")));
    }

    /** Guards against a write that takes effect twice, or is reported as failed, because its reply was lost. */
    @ParameterizedTest
    @CsvSource({"1, plan", "2, plan", "3, gang", "5, whole"})
    void a_job_that_is_not_repeatable_runs_once_when_replies_are_lost(int lostReplies, String template) {
        region.store.lostReplies = lostReplies;
        JobView job = viewOf(region.ask(other, submit("k1", template, false)));
        assertThat(job.durable()).isTrue();
        region.run(10_000);
        int expected = template.equals("gang") ? 2 : 1;
        assertThat(starts()).isEqualTo(expected);
        region.store.lostReplies = 1;
        succeedAll();
        region.run(3_000);
        assertThat(query(other, job).state()).isEqualTo(JobState.SUCCEEDED);
        assertThat(starts()).isEqualTo(expected);
    }

    /**
     * Guards against idempotent work that waits for the end of an outage, and against jobs that are reported as durable
     * before they are written.
     */
    @Test
    void repeatable_jobs_are_accepted_in_memory_during_an_outage_and_written_afterwards() {
        region.store.down = true;
        JobView job = viewOf(region.ask(other, submit("k1", "plan", true)));
        assertThat(job.durable()).isFalse();
        region.run(1_000);
        assertThat(starts()).isEqualTo(1);
        region.store.down = false;
        region.run(3_000);
        assertThat(query(other, job).durable()).isTrue();
        assertThat(region.store.keysOf("/jobs/r1/")).hasSize(1);
    }

    /**
     * Guards against a refusal that reports a request as not run although an earlier request under its key may
     * have run.
     */
    @ParameterizedTest
    @CsvSource({"true, UNKNOWN", "false, NOT_RUN"})
    void a_job_that_is_not_repeatable_is_refused_during_an_outage(boolean callerGaveKey, Outcome outcome) {
        region.store.down = true;
        region.ask(other, submit("k0", "plan", true));
        JobSubmission made = SimulatedRegion.submission("k1", "plan", false);
        JobSubmission submission =
                new JobSubmission("k1", callerGaveKey, "winding", "plan", made.parameters(), 0, false, false);
        FrontReply.Refused refused =
                (FrontReply.Refused) region.ask(other, new FrontRequest.SubmitJob(TEAM, submission));
        assertThat(refused.kind()).isEqualTo(ErrorKind.STORE_UNAVAILABLE);
        assertThat(refused.outcome()).isEqualTo(outcome);
    }

    /** Guards against an attempt that starts before its start marker is written. */
    @Test
    void an_accepted_job_that_is_not_repeatable_waits_for_the_service_to_start() {
        region.ask(other, submit("k0", "gang", true));
        JobView job = viewOf(region.ask(other, submit("k1", "whole", false)));
        region.store.down = true;
        region.run(2_000);
        succeedAll();
        region.run(10_000);
        assertThat(starts()).isEqualTo(2);
        assertThat(query(other, job).state().isFinal()).isFalse();
        region.store.down = false;
        region.run(15_000);
        assertThat(starts()).isEqualTo(3);
    }

    /** Guards against the loss of a job that was accepted in memory only when the placer fails. */
    @Test
    void a_job_accepted_in_memory_survives_the_loss_of_the_placer() {
        region.store.down = true;
        region.agents.values().forEach(agent -> agent.refusals = 1_000);
        JobView job = viewOf(region.ask(other, submit("k1", "plan", true)));
        region.kill(placer.address.entry(), other.address.entry());
        region.agents.values().forEach(agent -> agent.refusals = 0);
        region.run(30_000);
        assertThat(query(other, job).state()).isEqualTo(JobState.RUNNING);
    }

    /** Guards against the loss of answers and states of finished jobs when the placer fails. */
    @Test
    void a_finished_job_is_answered_by_the_next_placer_from_its_record() {
        JobView job = viewOf(region.ask(other, submit("k1", "plan", true)));
        region.run(500);
        succeedAll();
        region.run(1_000);
        region.kill(placer.address.entry(), other.address.entry());
        region.run(5_000);
        FrontReply answer = region.ask(other, new FrontRequest.FetchAnswer(TEAM, job.job()));
        assertThat(((FrontReply.AnswerReply) answer).content()).isEqualTo("done".getBytes(StandardCharsets.UTF_8));
        assertThat(viewOf(region.ask(other, submit("k1", "plan", true))).job()).isEqualTo(job.job());
    }

    /** Guards against a burst that exceeds the write rate of the service. */
    @Test
    void a_burst_of_submissions_is_written_in_batches() {
        List<Long> tokens = IntStream.range(0, 640)
                .mapToObj(index -> placer.ask(submit("k" + index, "gang", true)))
                .toList();
        region.runUntil(10_000, () -> placer.replies.keySet().containsAll(tokens));
        assertThat(placer.replies.keySet()).containsAtLeastElementsIn(tokens);
        assertThat(region.store.batchSizes.size()).isLessThan(60);
        assertThat(region.store.batchSizes.stream().mapToInt(size -> size).max().orElse(0))
                .isAtMost(32);
    }

    /** Guards against a write for a short request. */
    @Test
    void repeatable_short_requests_are_never_written() {
        JobView job = viewOf(region.ask(other, submit("k1", "short", true)));
        region.run(300);
        succeedAll();
        region.run(300);
        assertThat(query(other, job).state()).isEqualTo(JobState.SUCCEEDED);
        assertThat(region.store.keysOf("/jobs/")).isEmpty();
    }

    /** Guards against access to the jobs of another team. */
    @ParameterizedTest
    @ValueSource(strings = {"query", "cancel", "answer"})
    void a_job_of_another_team_is_unknown(String operation) {
        JobView job = viewOf(region.ask(other, submit("k1", "plan", true)));
        Principal otherTeam = new Principal("other", false);
        FrontRequest request =
                switch (operation) {
                    case "query" -> new FrontRequest.QueryJob(otherTeam, job.job());
                    case "cancel" -> new FrontRequest.CancelJob(otherTeam, job.job());
                    default -> new FrontRequest.FetchAnswer(otherTeam, job.job());
                };
        assertThat(((FrontReply.Refused) region.ask(other, request)).kind()).isEqualTo(ErrorKind.UNKNOWN_JOB);
    }
}
