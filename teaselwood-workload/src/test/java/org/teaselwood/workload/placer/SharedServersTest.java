package org.teaselwood.workload.placer;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.teaselwood.workload.model.JobSpecification;
import org.teaselwood.workload.model.Resources;
import org.teaselwood.workload.model.StepSpecification;

/**
 * Guards against best-effort tasks that keep latency-sensitive tasks on the same server over their latency targets, and
 * against preemption of more long-running tasks than their step allows to be unavailable.
 */
final class SharedServersTest {
    private static final long TARGET_MILLISECONDS = 100;

    private final PlacerScenario scenario = new PlacerScenario();

    private static StepSpecification serving(int count, int accelerators, int maximumUnavailable) {
        return PlacerScenario.step(
                count,
                new Resources(1_000, 1_000, accelerators),
                1_000,
                List.of(),
                false,
                false,
                new PlacerScenario.Sharing(true, false, TARGET_MILLISECONDS, maximumUnavailable));
    }

    private static StepSpecification bestEffort(int count) {
        return PlacerScenario.step(
                count,
                new Resources(8_000, 1_000, 0),
                1_000,
                List.of(),
                false,
                false,
                new PlacerScenario.Sharing(false, true, 0, 0));
    }

    private FakeServer longRunningServer(String id) {
        FakeServer server = scenario.server(id, "r1");
        server.longRunning = true;
        return server;
    }

    /** Adds a server and submits a serving task of the given latency in milliseconds and a best-effort task. */
    private FakeServer serverWithBestEffortBesideServing(int latency) {
        FakeServer server = longRunningServer("s1");
        scenario.submit("serving", "normal", serving(1, 1, 0));
        scenario.submit("best-effort", "batch", bestEffort(1));
        server.loads.put("serving.0.0.0", latency);
        return server;
    }

    @Test
    void best_effort_work_prefers_servers_without_serving_work() {
        FakeServer first = longRunningServer("s1");
        scenario.submit("serving", "normal", serving(1, 1, 0));
        scenario.run(600);
        scenario.server("s2", "r1");
        scenario.submit("best-effort", "batch", bestEffort(2));
        scenario.run(600);
        assertThat(first.running.keySet()).containsExactly("serving.0.0.0#1");
        assertThat(scenario.servers.get("s2").running).hasSize(2);
    }

    @Test
    void best_effort_work_runs_beside_serving_work_when_no_other_server_is_free() {
        FakeServer server = longRunningServer("s1");
        scenario.submit("serving", "normal", serving(1, 1, 0));
        scenario.run(600);
        scenario.submit("best-effort", "batch", bestEffort(1));
        scenario.run(600);
        assertThat(server.running).hasSize(2);
    }

    @Test
    void best_effort_work_is_slowed_until_the_serving_task_is_under_its_target() {
        FakeServer server = serverWithBestEffortBesideServing(50);
        scenario.run(1_500);
        assertThat(server.paces.get("best-effort.0.0.0")).isAtMost(40);
        server.loads.put("serving.0.0.0", 150);
        scenario.run(4_000);
        assertThat(server.paces.get("best-effort.0.0.0")).isEqualTo(0);
        server.loads.put("serving.0.0.0", 20);
        scenario.run(15_000);
        assertThat(server.paces.get("best-effort.0.0.0")).isEqualTo(100);
    }

    @Test
    void best_effort_work_returns_to_full_pace_after_the_serving_task_has_ended() {
        FakeServer server = serverWithBestEffortBesideServing(150);
        scenario.run(4_000);
        scenario.placer.jobCancelled("serving", scenario.now);
        scenario.run(2_000);
        assertThat(server.paces.get("best-effort.0.0.0")).isEqualTo(100);
    }

    @Test
    void a_new_placer_adjusts_a_pace_that_its_predecessor_ordered() {
        FakeServer server = serverWithBestEffortBesideServing(50);
        scenario.run(3_000);
        server.paces.put("best-effort.0.0.0", 0);
        scenario.elect();
        scenario.run(1_200);
        assertThat(server.paces.get("best-effort.0.0.0")).isGreaterThan(0);
    }

    @Test
    void work_without_progress_at_a_low_pace_is_not_treated_as_stalled() {
        FakeServer server = longRunningServer("s1");
        server.stalled = true;
        scenario.submit("serving", "normal", serving(1, 1, 0));
        scenario.submit("best-effort", "batch", bestEffort(1));
        server.loads.put("serving.0.0.0", 150);
        scenario.run(8_000);
        assertThat(scenario.starts("best-effort.0.0.0")).isEqualTo(1);
    }

    @Test
    void guaranteed_work_preempts_no_more_long_running_tasks_than_their_step_may_miss() {
        FakeServer first = longRunningServer("s1");
        FakeServer second = longRunningServer("s2");
        scenario.submit(job("lasting", "other", serving(2, 8, 1)));
        scenario.run(2_000);
        scenario.submit("urgent1", "urgent", PlacerScenario.step(1, 8));
        scenario.submit("urgent2", "urgent", PlacerScenario.step(1, 8));
        scenario.run(2_000);
        assertThat(first.running.keySet().stream()
                                .filter(key -> key.startsWith("lasting"))
                                .count()
                        + second.running.keySet().stream()
                                .filter(key -> key.startsWith("lasting"))
                                .count())
                .isEqualTo(1);
    }

    @Test
    void long_running_tasks_of_a_step_that_may_miss_none_are_never_preempted() {
        FakeServer server = longRunningServer("s1");
        scenario.submit(job("lasting", "other", serving(1, 8, 0)));
        scenario.run(2_000);
        scenario.submit("urgent", "urgent", PlacerScenario.step(1, 8));
        scenario.run(3_000);
        assertThat(server.running.keySet()).containsExactly("lasting.0.0.0#1");
    }

    private static JobSpecification job(String id, String team, StepSpecification step) {
        return new JobSpecification(id, "normal", team, "payload", List.of(step), 0, 0, 0);
    }
}
