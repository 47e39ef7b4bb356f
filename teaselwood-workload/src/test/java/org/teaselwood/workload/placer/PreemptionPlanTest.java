package org.teaselwood.workload.placer;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.teaselwood.protocol.message.WorkMessage.EndKind;
import org.teaselwood.workload.model.AdviceSettings;
import org.teaselwood.workload.model.JobSpecification;
import org.teaselwood.workload.model.QueueSettings;
import org.teaselwood.workload.model.Resources;
import org.teaselwood.workload.model.StepSpecification;
import org.teaselwood.workload.model.WorkloadConfiguration;

/**
 * Guards against plans of preemption that the following placement cannot carry out, so that runs are stopped for
 * nothing and reserved capacity stays idle.
 */
final class PreemptionPlanTest {
    private static final long LONG_MILLISECONDS = 60_000;

    private final PlacerScenario scenario = new PlacerScenario();

    private static StepSpecification step(int count, int accelerators, boolean gang, boolean sameRack, int perServer) {
        return new StepSpecification(
                count,
                new Resources(1_000, 1_000, accelerators),
                20_000,
                List.of(),
                false,
                gang,
                sameRack,
                "",
                "",
                perServer,
                false,
                false,
                0,
                0);
    }

    private void submit(String job, String queue, String team, StepSpecification step) {
        for (int index = 0; index < step.count(); index++) {
            scenario.workMilliseconds.put(job + ".0.0." + index, LONG_MILLISECONDS);
        }
        scenario.submit(new JobSpecification(job, queue, team, "payload", List.of(step), 0, 0, 0));
    }

    /** Adds a server that is full of batch tasks. */
    private FakeServer serverWithBatch(String id, String rack) {
        FakeServer server = scenario.server(id, rack);
        scenario.run(100);
        submit("batch-" + id, "batch", "other", PlacerScenario.step(8, 1));
        scenario.run(500);
        assertThat(server.running).hasSize(8);
        return server;
    }

    /** Adds a server that is full of a task that may not be preempted. */
    private FakeServer serverWithServing(String id, String rack) {
        FakeServer server = scenario.server(id, rack);
        server.longRunning = true;
        scenario.run(100);
        submit(
                "serving-" + id,
                "normal",
                "other",
                PlacerScenario.step(
                        1,
                        new Resources(1_000, 1_000, 8),
                        1_000,
                        List.of(),
                        false,
                        false,
                        new PlacerScenario.Sharing(true, false, 100, 0)));
        scenario.run(500);
        assertThat(server.running).hasSize(1);
        return server;
    }

    @Test
    void a_gang_whose_limit_per_server_cannot_be_met_stops_nothing_and_keeps_nothing_reserved() {
        FakeServer server = serverWithBatch("s1", "r1");
        serverWithServing("s2", "r1");
        submit("gang", "urgent", "team", step(2, 4, true, false, 1));
        scenario.run(2_000);
        assertThat(server.stopped).isEmpty();
        assertThat(server.running).hasSize(8);
    }

    @Test
    void a_gang_with_a_limit_per_server_preempts_on_as_many_servers_as_it_needs() {
        FakeServer older = serverWithBatch("s1", "r1");
        scenario.run(5_000);
        FakeServer newer = serverWithBatch("s2", "r1");
        submit("gang", "urgent", "team", step(2, 4, true, false, 1));
        scenario.run(2_000);
        assertThat(scenario.starts("gang.0.0.0")).isEqualTo(1);
        assertThat(older.stopped).hasSize(4);
        assertThat(newer.stopped).hasSize(4);
    }

    @Test
    void tasks_with_a_limit_per_server_preempt_on_as_many_servers_as_they_need() {
        FakeServer older = serverWithBatch("s1", "r1");
        scenario.run(5_000);
        FakeServer newer = serverWithBatch("s2", "r1");
        submit("urgent", "urgent", "team", step(2, 4, false, false, 1));
        scenario.run(2_000);
        assertThat(scenario.starts("urgent.0.0.0")).isEqualTo(1);
        assertThat(scenario.starts("urgent.0.0.1")).isEqualTo(1);
        assertThat(older.stopped).hasSize(4);
        assertThat(newer.stopped).hasSize(4);
    }

    @Test
    void a_task_starts_on_the_only_server_that_can_be_freed_when_the_limit_per_server_keeps_the_other_out() {
        FakeServer server = serverWithBatch("s1", "r1");
        serverWithServing("s2", "r1");
        submit("urgent", "urgent", "team", step(2, 4, false, false, 1));
        scenario.run(4_000);
        assertThat(scenario.starts("urgent.0.0.0")).isEqualTo(1);
        assertThat(server.stopped).hasSize(4);
    }

    @Test
    void tasks_fill_a_server_up_to_their_limit_per_server_in_one_pass() {
        FakeServer server = scenario.server("s1", "r1");
        scenario.run(100);
        submit("job", "normal", "other", step(4, 1, false, false, 4));
        scenario.run(50);
        assertThat(server.starts).hasSize(4);
    }

    @Test
    void a_gang_within_its_guarantee_starts_across_racks_when_no_rack_can_be_freed() {
        serverWithServing("s1", "r1");
        serverWithServing("s2", "r2");
        FakeServer first = serverWithBatch("s3", "r1");
        FakeServer second = serverWithBatch("s4", "r2");
        submit("gang", "urgent", "team", step(2, 8, true, true, 0));
        scenario.run(2_500);
        assertThat(scenario.starts("gang.0.0.0")).isEqualTo(1);
        assertThat(first.stopped.size() + second.stopped.size()).isEqualTo(16);
    }

    @Test
    void urgent_work_preempts_on_a_server_in_quarantine_when_no_other_can_hold_it() {
        FakeServer failing = scenario.server("s1", "r1");
        failing.endKind = EndKind.FAILED;
        for (int job = 0; job < 4; job++) {
            scenario.workMilliseconds.put("hopeless" + job + ".0.0.0", 100L);
            scenario.submit("hopeless" + job, "normal", PlacerScenario.step(1, 1));
        }
        submit("batch", "batch", "other", PlacerScenario.step(8, 1));
        scenario.run(2_000);
        assertThat(failing.running).hasSize(8);
        submit("urgent", "urgent", "team", PlacerScenario.step(1, 8));
        scenario.run(2_000);
        assertThat(scenario.starts("urgent.0.0.0")).isEqualTo(1);
    }

    @Test
    void a_ticket_that_expires_while_victims_stop_does_not_make_the_job_preempt_more_runs() {
        AdviceSettings advice = new AdviceSettings(10, 1, 400);
        scenario.configure(new WorkloadConfiguration(
                2,
                Map.of(
                        "urgent", new QueueSettings("urgent", "service", 0, 3, 1.5, 250, Optional.of(advice)),
                        "batch", new QueueSettings("batch", "service", 2, 3, 3, 3_000, Optional.empty())),
                Map.of("team", 16)));
        scenario.permitted = Set.of("s1", "s2");
        FakeServer first = serverWithBatch("s1", "r1");
        FakeServer second = serverWithBatch("s2", "r1");
        first.stopMilliseconds = 900;
        second.stopMilliseconds = 900;
        submit("urgent", "urgent", "team", step(1, 8, false, false, 0));
        scenario.run(3_000);
        assertThat(scenario.starts("urgent.0.0.0")).isEqualTo(1);
        assertThat(first.stopped.size() + second.stopped.size()).isEqualTo(8);
    }
}
