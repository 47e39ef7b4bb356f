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
import org.teaselwood.model.JobState;
import org.teaselwood.model.PartPhase;
import org.teaselwood.protocol.message.AgentCommand;
import org.teaselwood.protocol.message.AgentMessage.AnswerPart;
import org.teaselwood.protocol.message.FrontReply;
import org.teaselwood.protocol.message.FrontRequest;
import org.teaselwood.protocol.message.JobView;

/** Tests of attempts that do not succeed: refusals, failures, lost agents, late answers and cancellations. */
class AttemptTest {
    private final SimulatedRegion region = new SimulatedRegion(2, 3);
    private final SimulatedRegion.Node entry = region.placer();

    private JobView submitted(String template, boolean repeatable) {
        JobView job = viewOf(region.ask(entry, submit("k1", template, repeatable)));
        region.run(500);
        return job;
    }

    private JobView query(JobView job) {
        return viewOf(region.ask(entry, new FrontRequest.QueryJob(TEAM, job.job())));
    }

    private List<FakeAgent> running() {
        return region.agents.values().stream()
                .filter(agent -> !agent.running().isEmpty())
                .toList();
    }

    /** Guards against a gang some of whose parts run although another part was refused. */
    @Test
    void a_gang_with_one_refused_hold_starts_nothing_and_is_placed_again() {
        region.agents.get("w2").refusals = 1;
        JobView job = viewOf(region.ask(entry, submit("k1", "gang", true)));
        region.runUntil(
                3_000,
                () -> region.agents.get("w1").received.stream().anyMatch(AgentCommand.Release.class::isInstance));
        assertThat(region.agents.get("w1").starts).isEmpty();
        region.run(3_000);
        assertThat(query(job).state()).isEqualTo(JobState.RUNNING);
        assertThat(running()).hasSize(2);
    }

    /** Guards against parts that keep running after another part of their gang failed. */
    @ParameterizedTest
    @CsvSource({"FAILED, true", "FAILED, false", "LOST, true", "LOST, false"})
    void when_a_part_ends_the_others_are_stopped(PartPhase phase, boolean repeatable) {
        JobView job = submitted("gang", repeatable);
        FakeAgent first = running().getFirst();
        FakeAgent second = running().getLast();
        PartKey sibling = second.running().getFirst();
        first.end(first.running().getFirst(), phase, "broken");
        region.run(200);
        assertThat(second.received.stream()
                        .filter(AgentCommand.Stop.class::isInstance)
                        .map(command -> ((AgentCommand.Stop) command).attempt()))
                .isNotNull();
        assertThat(second.running()).doesNotContain(sibling);
        region.run(3_000);
        JobState expected =
                repeatable ? JobState.RUNNING : phase == PartPhase.FAILED ? JobState.FAILED : JobState.UNKNOWN;
        assertThat(query(job).state()).isEqualTo(expected);
    }

    /** Guards against work that waits indefinitely for a lost backend server, or runs twice because of it. */
    @ParameterizedTest
    @CsvSource({"true, RUNNING", "false, UNKNOWN"})
    void an_agent_without_contact_for_twenty_seconds_is_lost_with_its_parts(boolean repeatable, JobState expected) {
        JobView job = submitted("plan", repeatable);
        FakeAgent agent = running().getFirst();
        region.removeAgent(agent.server.name());
        region.run(18_000);
        assertThat(query(job).state()).isEqualTo(JobState.RUNNING);
        assertThat(running()).isEmpty();
        region.run(5_000);
        assertThat(query(job).state()).isEqualTo(expected);
    }

    /** Guards against a part of a restarted agent that still counts as running although the restart ended it. */
    @ParameterizedTest
    @CsvSource({"true, RUNNING", "false, UNKNOWN"})
    void a_restarted_agent_that_does_not_list_a_part_has_lost_it(boolean repeatable, JobState expected) {
        JobView job = submitted("plan", repeatable);
        FakeAgent agent = running().getFirst();
        region.removeAgent(agent.server.name());
        region.addAgent(agent.server.name(), "a2", entry.address.entry());
        region.run(2_000);
        assertThat(query(job).state()).isEqualTo(expected);
        assertThat(running()).hasSize(repeatable ? 1 : 0);
    }

    /** Guards against an answer of an earlier attempt, or a duplicate answer, that is delivered as the current one. */
    @Test
    void late_and_repeated_answers_change_nothing() {
        JobView job = submitted("plan", true);
        FakeAgent agent = running().getFirst();
        PartKey first = agent.running().getFirst();
        region.disconnect(agent);
        region.run(25_000);
        FakeAgent second = running().stream()
                .filter(candidate -> candidate != agent)
                .findFirst()
                .orElseThrow();
        region.connect(agent, entry.address.entry());
        agent.succeed(first, "old");
        region.run(500);
        second.succeed(second.running().getFirst(), "new");
        region.run(500);
        second.repeatAnswers();
        agent.repeatAnswers();
        region.run(500);
        FrontReply answer = region.ask(entry, new FrontRequest.FetchAnswer(TEAM, job.job()));
        assertThat(new String(((FrontReply.AnswerReply) answer).content(), StandardCharsets.UTF_8))
                .isEqualTo("new");
        region.run(5_000);
        assertThat(agent.parts).isEmpty();
    }

    /** Guards against a corrupted answer that is delivered or never requested again. */
    @Test
    void a_damaged_answer_is_asked_for_again() {
        JobView job = submitted("plan", true);
        FakeAgent agent = running().getFirst();
        PartKey part = agent.running().getFirst();
        region.fromAgent(agent, new AnswerPart(part.attempt(), part.part(), new byte[] {1, 2}, 3, 4));
        region.run(100);
        agent.succeed(part, "whole");
        region.run(3_000);
        assertThat(query(job).answerLength()).isEqualTo(5);
    }

    /**
     * Guards against a job that waits indefinitely for an answer that the agent dropped on the order of an
     * earlier placer.
     */
    @ParameterizedTest
    @CsvSource({"true, RUNNING", "false, UNKNOWN"})
    void an_answer_that_the_agent_has_dropped_is_lost(boolean repeatable, JobState expected) {
        JobView job = submitted("plan", repeatable);
        FakeAgent agent = running().getFirst();
        PartKey part = agent.running().getFirst();
        agent.end(part, PartPhase.SUCCEEDED, "");
        agent.parts.clear();
        region.run(5_000);
        assertThat(query(job).state()).isEqualTo(expected);
        assertThat(running()).hasSize(repeatable ? 1 : 0);
    }

    /**
     * Guards against a job that the placer shows as running indefinitely although its agent was ordered to forget it.
     */
    @Test
    void a_part_that_its_agent_no_longer_has_is_detected_within_a_minute() {
        JobView job = submitted("plan", true);
        FakeAgent agent = running().getFirst();
        agent.parts.clear();
        region.run(62_000);
        assertThat(query(job).attempt()).isGreaterThan(1);
    }

    /** Guards against a cancelled job that keeps running or is not reported as cancelled. */
    @ParameterizedTest
    @ValueSource(strings = {"plan", "gang"})
    void a_running_job_is_stopped_and_cancelled(String template) {
        JobView job = submitted(template, false);
        region.ask(entry, new FrontRequest.CancelJob(TEAM, job.job()));
        region.run(1_000);
        assertThat(query(job).state()).isEqualTo(JobState.CANCELLED);
        assertThat(query(job).message()).contains("it had started");
        assertThat(running()).isEmpty();
        region.run(2_000);
        region.agents.values().forEach(agent -> assertThat(agent.parts).isEmpty());
    }

    /** Guards against a job that starts although it was cancelled while it was queued. */
    @Test
    void a_waiting_job_is_cancelled_without_a_start() {
        region.agents.values().forEach(agent -> agent.refusals = 1_000);
        JobView job = submitted("plan", true);
        region.ask(entry, new FrontRequest.CancelJob(TEAM, job.job()));
        region.agents.values().forEach(agent -> agent.refusals = 0);
        region.run(3_000);
        assertThat(query(job).state()).isEqualTo(JobState.CANCELLED);
        assertThat(query(job).message()).contains("it had not started");
        assertThat(region.agents.values().stream()
                        .mapToInt(agent -> agent.starts.size())
                        .sum())
                .isEqualTo(0);
    }

    /** Guards against a running gang whose parts stop because its renewals were not sent. */
    @Test
    void a_running_gang_is_renewed_every_three_seconds() {
        submitted("gang", true);
        FakeAgent agent = running().getFirst();
        agent.received.clear();
        region.run(12_000);
        long renewals = agent.received.stream()
                .filter(command -> command instanceof AgentCommand.RenewGang renewal
                        && !renewal.attempts().isEmpty())
                .count();
        assertThat(renewals).isAtLeast(3);
    }
}
