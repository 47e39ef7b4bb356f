package org.teaselwood.entry.core;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.teaselwood.entry.relay.PartKey;
import org.teaselwood.model.JobState;
import org.teaselwood.protocol.message.AgentCommand;
import org.teaselwood.protocol.message.FrontReply;
import org.teaselwood.protocol.message.FrontRequest;
import org.teaselwood.protocol.message.JobView;
import org.teaselwood.protocol.message.Principal;
import org.teaselwood.protocol.message.RegionView;

/** Tests of one entry without failures. */
class EntryCoreTest {
    private final SimulatedRegion region = new SimulatedRegion(1, 2);
    private final SimulatedRegion.Node entry = region.nodes.get("e1");

    static JobView viewOf(FrontReply reply) {
        assertThat(reply).isInstanceOf(FrontReply.JobReply.class);
        return ((FrontReply.JobReply) reply).job();
    }

    /** Guards against a status page that leaves out the parts that this placer started itself. */
    @Test
    void the_region_view_shows_the_parts_and_teams_on_the_servers() {
        JobView job = viewOf(region.ask(entry, SimulatedRegion.submit("k1", "gang", true)));
        region.run(500);
        FrontReply reply = region.ask(entry, new FrontRequest.QueryRegion(Principal.OPERATOR));
        List<RegionView.ServerView> servers =
                ((FrontReply.RegionReply) reply).region().servers();
        assertThat(servers.stream()
                        .flatMap(server -> server.parts().stream())
                        .map(part -> part.attempt().job()))
                .containsExactly(job.job(), job.job());
        assertThat(servers.stream().flatMap(server -> server.teams().stream())).containsExactly(job.team(), job.team());
    }

    /** Guards against a job with one part that is committed or started twice, or whose answer is incomplete. */
    @Test
    void a_job_with_one_part_is_held_started_and_answered() {
        JobView job = viewOf(region.ask(entry, SimulatedRegion.submit("k1", "plan", true)));
        assertThat(job.durable()).isTrue();
        region.run(500);
        FakeAgent agent = region.agents.get("w1");
        agent.succeed(agent.running().getFirst(), "plan A");
        FrontReply reply =
                region.ask(entry, new FrontRequest.WaitForJob(SimulatedRegion.TEAM, job.job(), -1, true, 5_000));
        assertThat(viewOf(reply).state()).isEqualTo(JobState.SUCCEEDED);
        FrontReply answer = region.ask(entry, new FrontRequest.FetchAnswer(SimulatedRegion.TEAM, job.job()));
        byte[] content = ((FrontReply.AnswerReply) answer).content();
        assertThat(new String(content, StandardCharsets.UTF_8)).isEqualTo("plan A");
        assertThat(agent.received.stream()
                        .filter(AgentCommand.Commit.class::isInstance)
                        .toList())
                .isEmpty();
        region.run(500);
        assertThat(agent.parts).isEmpty();
    }

    /** Guards against a gang that starts partially, and against answers that are joined in the order of arrival. */
    @Test
    void a_gang_is_held_committed_and_started_and_its_answers_are_joined_in_part_order() {
        JobView job = viewOf(region.ask(entry, SimulatedRegion.submit("k1", "gang", false)));
        region.run(500);
        List<FakeAgent> agents = List.copyOf(region.agents.values());
        agents.reversed().forEach(agent -> {
            PartKey part = agent.running().getFirst();
            agent.succeed(part, "<" + part.part() + ">");
            region.run(100);
        });
        FrontReply answer = region.ask(entry, new FrontRequest.FetchAnswer(SimulatedRegion.TEAM, job.job()));
        byte[] content = ((FrontReply.AnswerReply) answer).content();
        assertThat(new String(content, StandardCharsets.UTF_8)).isEqualTo("<0><1>");
        assertThat(region.store.keysOf("/keys/winding/k1")).hasSize(1);
    }
}
