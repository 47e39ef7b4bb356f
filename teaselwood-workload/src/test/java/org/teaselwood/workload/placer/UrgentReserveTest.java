package org.teaselwood.workload.placer;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.teaselwood.workload.model.Resources;

/** Guards against work that is kept out of an almost empty deployment for urgent jobs that no longer exist. */
final class UrgentReserveTest {
    private static final long LONG_MILLISECONDS = 60_000;

    /** Time after which the users count a task that could run as lost is three seconds; this leaves a second. */
    private static final long LONGEST_WAIT_MILLISECONDS = 2_000;

    private final PlacerScenario scenario = new PlacerScenario();

    @BeforeEach
    void addServers() {
        List.of("s1", "s2", "s3", "s4").forEach(id -> scenario.server(id, "r1"));
    }

    private void submit(String job, String queue, int tasks, int accelerators) {
        for (int index = 0; index < tasks; index++) {
            scenario.workMilliseconds.put(job + ".0.0." + index, LONG_MILLISECONDS);
        }
        scenario.submit(job, queue, PlacerScenario.step(tasks, accelerators));
    }

    @Test
    void work_does_not_wait_on_an_empty_deployment_after_urgent_jobs_that_used_all_of_it_were_cancelled() {
        submit("urgent", "urgent", 4, 8);
        scenario.run(1_000);
        assertThat(scenario.runningTasks()).isEqualTo(4);
        scenario.placer.jobCancelled("urgent", scenario.now);
        scenario.run(500);
        submit("batch", "batch", 2, 1);
        scenario.run(LONGEST_WAIT_MILLISECONDS);
        assertThat(scenario.starts("batch.0.0.0")).isEqualTo(1);
        assertThat(scenario.starts("batch.0.0.1")).isEqualTo(1);
    }

    @Test
    void urgent_jobs_that_were_cancelled_before_they_could_run_reserve_nothing() {
        submit("batch", "batch", 20, 1);
        scenario.run(300);
        submit("urgent", "urgent", 40, 8);
        scenario.run(10);
        scenario.placer.jobCancelled("urgent", scenario.now);
        submit("late", "batch", 1, 1);
        scenario.run(500);
        assertThat(scenario.starts("late.0.0.0")).isEqualTo(1);
    }

    @Test
    void work_without_accelerators_is_not_kept_out_of_reserved_accelerators() {
        submit("filling", "batch", 24, 1);
        submit("urgent", "urgent", 1, 8);
        scenario.run(1_000);
        scenario.placer.jobCancelled("urgent", scenario.now);
        scenario.run(500);
        scenario.servers.values().stream()
                .filter(server -> server.running.isEmpty())
                .forEach(server -> server.draining = true);
        scenario.run(600);
        scenario.submit(
                "processors",
                "batch",
                PlacerScenario.step(
                        1,
                        new Resources(1_000, 1_000, 0),
                        1_000,
                        List.of(),
                        false,
                        false,
                        PlacerScenario.Sharing.NONE));
        scenario.run(200);
        assertThat(scenario.starts("processors.0.0.0")).isEqualTo(1);
    }

    @Test
    void a_long_running_task_waits_only_shortly_for_the_reserve_of_a_busy_deployment() {
        submit("filling", "batch", 24, 1);
        submit("urgent", "urgent", 1, 8);
        scenario.run(1_000);
        assertThat(scenario.runningTasks()).isEqualTo(25);
        scenario.placer.jobCancelled("urgent", scenario.now);
        scenario.run(500);
        scenario.submit(
                "serving",
                "normal",
                PlacerScenario.step(
                        1,
                        new Resources(1_000, 1_000, 1),
                        1_000,
                        List.of(),
                        false,
                        false,
                        new PlacerScenario.Sharing(true, false, 100, 0)));
        scenario.run(LONGEST_WAIT_MILLISECONDS);
        assertThat(scenario.starts("serving.0.0.0")).isEqualTo(1);
    }

    @Test
    void work_stays_out_of_the_reserve_of_a_busy_deployment() {
        submit("filling", "batch", 24, 1);
        submit("urgent", "urgent", 1, 8);
        scenario.run(1_000);
        assertThat(scenario.runningTasks()).isEqualTo(25);
        scenario.placer.jobCancelled("urgent", scenario.now);
        scenario.run(500);
        submit("late", "batch", 1, 1);
        scenario.run(4_000);
        assertThat(scenario.starts("late.0.0.0")).isEqualTo(0);
    }
}
