package org.teaselwood.entry.core;

import static com.google.common.truth.Truth.assertThat;
import static org.teaselwood.entry.core.EntryCoreTest.viewOf;
import static org.teaselwood.entry.core.SimulatedRegion.TEAM;
import static org.teaselwood.entry.core.SimulatedRegion.submit;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.teaselwood.entry.relay.PartKey;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.JobState;
import org.teaselwood.model.Outcome;
import org.teaselwood.model.PartPhase;
import org.teaselwood.protocol.message.FrontReply;
import org.teaselwood.protocol.message.FrontRequest;
import org.teaselwood.protocol.message.JobView;

/** Tests of several entries: forwarding, takeover, placers of a stale term and partitions. */
class TakeoverTest {
    private final SimulatedRegion region = new SimulatedRegion(3, 2);
    private final SimulatedRegion.Node placer = region.placer();
    private final SimulatedRegion.Node other = region.other(placer);

    private int starts() {
        return region.agents.values().stream()
                .mapToInt(agent -> agent.starts.size())
                .sum();
    }

    private void succeedAll() {
        List.copyOf(region.agents.values())
                .forEach(agent -> agent.running().forEach(part -> agent.succeed(part, "part " + part.part() + ";")));
    }

    private JobView query(SimulatedRegion.Node node, JobView job) {
        return viewOf(region.ask(node, new FrontRequest.QueryJob(TEAM, job.job())));
    }

    /** Guards against two active placers at the same time. */
    @Test
    void exactly_one_entry_is_the_active_placer() {
        assertThat(region.nodes.values().stream()
                        .filter(node -> node.core.placing())
                        .toList())
                .containsExactly(placer);
    }

    /** Guards against requests that are answered only at the placer's own front end. */
    @Test
    void requests_at_every_front_end_reach_the_placer() {
        JobView job = viewOf(region.ask(other, submit("k1", "plan", true)));
        long wait = other.ask(new FrontRequest.WaitForJob(TEAM, job.job(), -1, true, 60_000));
        region.run(500);
        succeedAll();
        region.run(200);
        assertThat(viewOf(other.replies.get(wait)).state()).isEqualTo(JobState.SUCCEEDED);
    }

    /**
     * Guards against a second job under the same request key, and against a different request under a used key that is
     * answered with the first job.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void the_same_request_key_at_two_entries_leads_to_one_job(boolean repeatable) {
        long first = placer.ask(submit("k1", "plan", repeatable));
        long second = other.ask(submit("k1", "plan", repeatable));
        region.run(1_000);
        assertThat(viewOf(other.replies.get(second)).job())
                .isEqualTo(viewOf(placer.replies.get(first)).job());
        assertThat(starts()).isEqualTo(1);
        FrontReply conflict = region.ask(other, submit("k1", "gang", repeatable));
        assertThat(((FrontReply.Refused) conflict).kind()).isEqualTo(ErrorKind.KEY_CONFLICT);
    }

    /** Guards against work that is lost, started again or only partially adopted when the placer fails. */
    @ParameterizedTest
    @ValueSource(strings = {"plan", "gang"})
    void a_new_placer_adopts_running_jobs_and_delivers_their_answers(String template) {
        JobView job = viewOf(region.ask(other, submit("k1", template, false)));
        region.run(500);
        int started = starts();
        long wait = other.ask(new FrontRequest.WaitForJob(TEAM, job.job(), -1, true, 60_000));
        region.kill(placer.address.entry(), other.address.entry());
        assertThat(region.runUntil(
                        4_500,
                        () -> region.nodes.values().stream().anyMatch(node -> node.running && node.core.placing())))
                .isTrue();
        region.run(1_500);
        assertThat(query(other, job).state()).isEqualTo(JobState.RUNNING);
        succeedAll();
        region.run(2_000);
        assertThat(viewOf(other.replies.get(wait)).state()).isEqualTo(JobState.SUCCEEDED);
        assertThat(starts()).isEqualTo(started);
    }

    /** Guards against the loss of an answer when the job finishes while there is no placer. */
    @Test
    void a_job_that_finishes_during_the_takeover_is_answered_afterwards() {
        JobView job = viewOf(region.ask(other, submit("k1", "gang", false)));
        region.run(500);
        region.kill(placer.address.entry(), other.address.entry());
        region.run(1_000);
        succeedAll();
        region.run(8_000);
        FrontReply answer = region.ask(other, new FrontRequest.FetchAnswer(TEAM, job.job()));
        assertThat(new String(((FrontReply.AnswerReply) answer).content(), StandardCharsets.UTF_8))
                .isEqualTo("part 0;part 1;");
        assertThat(starts()).isEqualTo(2);
    }

    /**
     * Guards against the loss of answers that are only in the memory of the failed placer: those of short requests, and
     * all answers during an outage of the key-value service.
     */
    @ParameterizedTest
    @CsvSource({"short, false", "plan, true"})
    void an_answer_that_is_not_in_the_key_value_service_survives_the_loss_of_the_placer(
            String template, boolean storeDown) {
        JobView job = viewOf(region.ask(other, submit("k1", template, true)));
        region.run(500);
        region.store.down = storeDown;
        succeedAll();
        region.run(1_000);
        assertThat(query(other, job).state()).isEqualTo(JobState.SUCCEEDED);
        region.kill(placer.address.entry(), other.address.entry());
        region.run(6_000);
        FrontReply answer = region.ask(other, new FrontRequest.FetchAnswer(TEAM, job.job()));
        assertThat(new String(((FrontReply.AnswerReply) answer).content(), StandardCharsets.UTF_8))
                .isEqualTo("part 0;");
        assertThat(starts()).isEqualTo(1);
    }

    /** Guards against a submission that is lost or refused during a takeover. */
    @Test
    void a_submission_during_a_takeover_is_answered_by_the_new_placer() {
        region.kill(placer.address.entry(), other.address.entry());
        FrontReply reply = region.ask(other, submit("k1", "plan", true));
        assertThat(viewOf(reply).durable()).isTrue();
        region.run(3_000);
        assertThat(starts()).isEqualTo(1);
    }

    /** Guards against a paused placer that resumes and continues to place under its old term. */
    @Test
    void a_resumed_placer_steps_down_or_takes_a_higher_term_and_starts_nothing_twice() {
        JobView job = viewOf(region.ask(other, submit("k1", "plan", false)));
        region.run(300);
        placer.paused = true;
        region.run(6_000);
        JobView second = viewOf(region.ask(other, submit("k2", "plan", false)));
        placer.resume();
        region.run(8_000);
        assertThat(region.nodes.values().stream()
                        .filter(node -> node.core.placing())
                        .toList())
                .hasSize(1);
        assertThat(starts()).isEqualTo(2);
        succeedAll();
        region.run(2_000);
        assertThat(query(other, job).state()).isEqualTo(JobState.SUCCEEDED);
        assertThat(query(other, second).state()).isEqualTo(JobState.SUCCEEDED);
    }

    /** Guards against a job that is not idempotent but runs on both sides of a partition. */
    @Test
    void two_placers_of_a_partition_start_a_job_that_is_not_repeatable_once() {
        List<String> names = List.copyOf(region.nodes.keySet());
        names.stream()
                .filter(name -> !name.equals(placer.address.entry()))
                .forEach(name -> region.setPartitioned(placer.address.entry(), name, true));
        region.run(6_000);
        long first = placer.ask(submit("k1", "plan", false));
        long second = other.ask(submit("k1", "plan", false));
        region.run(5_000);
        assertThat(starts()).isAtMost(1);
        names.stream()
                .filter(name -> !name.equals(placer.address.entry()))
                .forEach(name -> region.setPartitioned(placer.address.entry(), name, false));
        region.run(15_000);
        assertThat(starts()).isEqualTo(1);
        assertThat(region.nodes.values().stream()
                        .filter(node -> node.core.placing())
                        .toList())
                .hasSize(1);
        assertThat(placer.replies.containsKey(first) || other.replies.containsKey(second))
                .isTrue();
    }

    /**
     * Guards against a request that gets no reply, or is reported as not run although it was sent, when no entry can
     * become placer.
     */
    @Test
    void a_request_without_a_placer_ends_with_no_placer() {
        SimulatedRegion lone = new SimulatedRegion(2, 1);
        SimulatedRegion.Node first = lone.placer();
        SimulatedRegion.Node second = lone.other(first);
        first.paused = true;
        long token = second.ask(submit("k1", "plan", true));
        lone.run(100);
        second.event(new EntryEvent.ShutdownRequested());
        lone.run(20_000);
        FrontReply.Refused refused = (FrontReply.Refused) second.replies.get(token);
        assertThat(refused.kind()).isEqualTo(ErrorKind.NO_PLACER);
        assertThat(refused.outcome()).isEqualTo(Outcome.UNKNOWN);
    }

    /**
     * Guards against a marked job that stays undecided or starts twice after a takeover: it starts again only after its
     * agent fenced the attempt, and its outcome is unknown if the agent is lost.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void a_marked_job_starts_again_only_when_its_agent_fenced_the_attempt(boolean agentLives) {
        List<FakeAgent> agents = List.copyOf(region.agents.values());
        agents.forEach(agent -> agent.ignoresStart = true);
        JobView job = viewOf(region.ask(other, submit("k1", "whole", false)));
        region.runUntil(2_000, () -> query(other, job).state() == JobState.STARTING);
        region.run(300);
        region.kill(placer.address.entry(), other.address.entry());
        FakeAgent marked = agents.stream()
                .filter(agent -> !agent.parts.isEmpty())
                .findFirst()
                .orElseThrow();
        agents.forEach(agent -> agent.ignoresStart = false);
        if (!agentLives) {
            region.removeAgent(marked.server.name());
        }
        region.run(30_000);
        JobState expected = agentLives ? JobState.RUNNING : JobState.UNKNOWN;
        assertThat(query(other, job).state()).isEqualTo(expected);
        assertThat(agents.stream().mapToInt(agent -> agent.starts.size()).sum()).isEqualTo(agentLives ? 1 : 0);
    }

    /** Guards against attempts of two terms that have the same number. */
    @Test
    void attempts_of_a_new_placer_have_higher_numbers() {
        viewOf(region.ask(other, submit("k1", "plan", true)));
        region.run(500);
        FakeAgent agent = region.agents.values().stream()
                .filter(candidate -> !candidate.starts.isEmpty())
                .findFirst()
                .orElseThrow();
        PartKey first = agent.starts.getFirst();
        region.kill(placer.address.entry(), other.address.entry());
        region.run(6_000);
        agent.end(first, PartPhase.LOST, "lost");
        region.run(3_000);
        PartKey second = region.agents.values().stream()
                .flatMap(candidate -> candidate.starts.stream())
                .filter(part -> !part.equals(first))
                .findFirst()
                .orElseThrow();
        assertThat(second.attempt().number()).isGreaterThan(first.attempt().number());
    }
}
