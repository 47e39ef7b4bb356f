package org.teaselwood.workload.placer;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.teaselwood.workload.model.JobSpecification;
import org.teaselwood.workload.model.Resources;
import org.teaselwood.workload.model.StepSpecification;

/**
 * Guards against repeated preemption: capacity that is freed for an urgent job must not be used by another job first.
 */
final class CapacityReservationTest {
    private static final long LONG_MILLISECONDS = 60_000;

    private final PlacerScenario scenario = new PlacerScenario();

    private static StepSpecification gang(int count, int accelerators) {
        return gang(count, accelerators, 20_000);
    }

    private static StepSpecification gang(int count, int accelerators, long estimateMilliseconds) {
        return PlacerScenario.step(
                count,
                new Resources(1_000, 1_000, accelerators),
                estimateMilliseconds,
                List.of(),
                true,
                false,
                PlacerScenario.Sharing.NONE);
    }

    private void fill(String job, int accelerators) {
        for (int index = 0; index < accelerators; index++) {
            scenario.workMilliseconds.put(job + ".0.0." + index, LONG_MILLISECONDS);
        }
        scenario.submit(job, "batch", PlacerScenario.step(accelerators, 1));
        scenario.run(300);
    }

    private void submitWithoutGuarantee(String id, StepSpecification step) {
        for (int index = 0; index < step.count(); index++) {
            scenario.workMilliseconds.put(id + ".0.0." + index, LONG_MILLISECONDS);
        }
        scenario.submit(new JobSpecification(id, "urgent", "other", "payload", List.of(step), 0, 0, 0));
    }

    private long stopped() {
        return scenario.servers.values().stream()
                .flatMap(server -> server.stopped.stream())
                .filter(task -> task.startsWith("batch"))
                .count();
    }

    @Test
    void a_guaranteed_job_does_not_take_capacity_freed_for_an_earlier_urgent_job() {
        scenario.server("s1", "r1");
        scenario.server("s2", "r1");
        fill("batch", 16);
        submitWithoutGuarantee("first", gang(1, 8));
        scenario.run(100);
        scenario.workMilliseconds.put("second.0.0.0", LONG_MILLISECONDS);
        // With an estimate of three seconds, the second job preempts for itself only after the end of this test.
        scenario.submit("second", "urgent", gang(1, 4, 3_000));
        scenario.run(400);
        assertThat(scenario.starts("first.0.0.0")).isEqualTo(1);
        assertThat(stopped()).isEqualTo(8);
    }

    @Test
    void a_slow_stop_does_not_make_the_job_preempt_more_runs() {
        scenario.server("s3", "r1");
        fill("batch2", 8);
        scenario.run(2_000);
        scenario.server("s1", "r1");
        scenario.server("s2", "r1").stopMilliseconds = 1_600;
        fill("batch", 16);
        submitWithoutGuarantee("first", gang(2, 8));
        scenario.run(3_500);
        assertThat(scenario.starts("first.0.0.0")).isEqualTo(1);
        assertThat(stopped()).isEqualTo(16);
    }

    @Test
    void a_guaranteed_job_preempts_ordinary_work_rather_than_an_urgent_job() {
        scenario.server("s1", "r1");
        scenario.server("s2", "r1");
        fill("batch", 16);
        submitWithoutGuarantee("first", gang(1, 8));
        scenario.run(100);
        scenario.workMilliseconds.put("second.0.0.0", LONG_MILLISECONDS);
        scenario.submit("second", "urgent", PlacerScenario.step(1, 4));
        scenario.run(1_500);
        assertThat(scenario.starts("first.0.0.0")).isEqualTo(1);
        assertThat(scenario.starts("second.0.0.0")).isEqualTo(1);
        assertThat(stopped()).isEqualTo(12);
    }

    @Test
    void a_reservation_expires_when_its_victims_do_not_end() {
        scenario.server("s1", "r1").stopMilliseconds = LONG_MILLISECONDS;
        fill("batch", 8);
        submitWithoutGuarantee("first", gang(1, 8));
        scenario.run(1_000);
        scenario.server("s2", "r1");
        scenario.run(4_000);
        assertThat(scenario.starts("first.0.0.0")).isEqualTo(1);
    }
}
