package org.teaselwood.entry.core;

import static com.google.common.truth.Truth.assertThat;
import static org.teaselwood.entry.core.EntryCoreTest.viewOf;
import static org.teaselwood.entry.core.SimulatedRegion.TEAM;
import static org.teaselwood.entry.core.SimulatedRegion.submit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.JobState;
import org.teaselwood.protocol.message.AgentCommand;
import org.teaselwood.protocol.message.FrontReply;
import org.teaselwood.protocol.message.FrontRequest;
import org.teaselwood.protocol.message.JobView;

/** Tests of the graceful shutdown of an entry. */
class GracefulShutdownTest {
    /** Guards against work that is lost or interrupted by a graceful shutdown of the placer. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void a_leaving_placer_hands_its_jobs_over_and_drains(boolean storeDown) {
        SimulatedRegion region = new SimulatedRegion(3, 2);
        SimulatedRegion.Node placer = region.placer();
        SimulatedRegion.Node other = region.other(placer);
        region.store.down = storeDown;
        JobView job = viewOf(region.ask(placer, submit("k1", "gang", true)));
        region.run(500);
        long wait = placer.ask(new FrontRequest.WaitForJob(TEAM, job.job(), -1, true, 60_000));
        placer.event(new EntryEvent.ShutdownRequested());
        assertThat(placer.ready).isFalse();
        region.agents.values().stream()
                .filter(agent -> agent.received.stream().anyMatch(AgentCommand.EntryLeaving.class::isInstance))
                .forEach(agent -> region.connect(agent, other.address.entry()));
        region.run(1);
        region.agents.values().forEach(agent -> region.connect(agent, other.address.entry()));
        assertThat(region.runUntil(5_000, () -> placer.drained)).isTrue();
        assertThat(viewOf(placer.replies.get(wait)).state().isFinal()).isFalse();
        placer.running = false;
        region.run(3_000);
        region.agents.values().forEach(agent -> agent.running().forEach(part -> agent.succeed(part, "done")));
        region.run(2_000);
        JobView view = viewOf(region.ask(other, new FrontRequest.QueryJob(TEAM, job.job())));
        assertThat(view.state()).isEqualTo(JobState.SUCCEEDED);
        assertThat(region.agents.values().stream()
                        .mapToInt(agent -> agent.starts.size())
                        .sum())
                .isEqualTo(2);
    }

    /**
     * Guards against a single entry that never completes its shutdown, and against requests that it accepts
     * during the shutdown.
     */
    @Test
    void a_single_entry_answers_its_open_requests_and_drains() {
        SimulatedRegion region = new SimulatedRegion(1, 1);
        SimulatedRegion.Node entry = region.nodes.get("e1");
        JobView job = viewOf(region.ask(entry, submit("k1", "plan", true)));
        long wait = entry.ask(new FrontRequest.WaitForJob(TEAM, job.job(), -1, true, 60_000));
        region.run(100);
        entry.event(new EntryEvent.ShutdownRequested());
        FrontReply refused = region.ask(entry, submit("k2", "plan", true));
        assertThat(((FrontReply.Refused) refused).kind()).isEqualTo(ErrorKind.STOPPING);
        assertThat(region.runUntil(2_000, () -> entry.drained)).isTrue();
        assertThat(entry.replies).containsKey(wait);
    }
}
