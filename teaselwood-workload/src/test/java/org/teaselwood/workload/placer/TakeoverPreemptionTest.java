package org.teaselwood.workload.placer;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.teaselwood.workload.model.JobSpecification;
import org.teaselwood.workload.model.Resources;
import org.teaselwood.workload.model.StepSpecification;

/**
 * Guards against preemption that a new placer decides on incomplete knowledge: it does not know when the runs that it
 * took over began, and it hears of the backend servers one by one.
 */
final class TakeoverPreemptionTest {
    private static final long RUN_MILLISECONDS = 20_000;

    private final PlacerScenario scenario = new PlacerScenario();

    private static StepSpecification urgentStep() {
        return PlacerScenario.step(
                1, new Resources(1_000, 1_000, 8), 3_000, List.of(), false, false, PlacerScenario.Sharing.NONE);
    }

    private static StepSpecification longStep() {
        return PlacerScenario.step(
                1, new Resources(1_000, 1_000, 8), 20_000, List.of(), false, false, PlacerScenario.Sharing.NONE);
    }

    private void run(String job) {
        scenario.workMilliseconds.put(job + ".0.0.0", RUN_MILLISECONDS);
        scenario.submit(job, "batch", longStep());
    }

    @Test
    void a_new_placer_preempts_the_run_that_has_made_least_progress() {
        scenario.server("s1", "r1");
        run("advanced");
        scenario.run(12_000);
        scenario.server("s2", "r1");
        run("recent");
        scenario.run(1_000);
        scenario.elect();
        scenario.submit("urgent", "urgent", urgentStep());
        scenario.run(2_500);
        assertThat(scenario.servers.get("s1").stopped).isEmpty();
        assertThat(scenario.servers.get("s2").stopped).containsExactly("recent.0.0.0");
    }

    @Test
    void a_new_placer_does_not_preempt_runs_whose_work_outweighs_an_urgent_job_without_guarantee() {
        scenario.server("s1", "r1");
        run("advanced");
        scenario.run(12_000);
        scenario.elect();
        scenario.submit(new JobSpecification("urgent", "urgent", "other", "payload", List.of(urgentStep()), 0, 0, 0));
        scenario.run(3_000);
        assertThat(scenario.servers.get("s1").stopped).isEmpty();
    }

    @Test
    void a_new_placer_preempts_nothing_before_idle_backend_servers_had_time_to_report() {
        FakeServer busy = scenario.server("s1", "r1");
        run("recent");
        scenario.run(100);
        FakeServer idle = scenario.server("s2", "r1");
        scenario.run(200);
        scenario.accepted.put(
                "urgent", new JobSpecification("urgent", "urgent", "team", "payload", List.of(urgentStep()), 0, 0, 0));
        idle.connected = false;
        scenario.elect();
        scenario.run(300);
        idle.connected = true;
        scenario.connect(idle);
        scenario.run(500);
        assertThat(busy.stopped).isEmpty();
        assertThat(idle.running).hasSize(1);
    }
}
