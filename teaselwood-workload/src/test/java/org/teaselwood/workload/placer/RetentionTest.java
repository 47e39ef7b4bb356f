package org.teaselwood.workload.placer;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.teaselwood.workload.record.JobPhase;

/** Guards against takeovers that take longer with the age of the deployment because ended jobs stay in the store. */
final class RetentionTest {
    private static final long RETENTION = PlacerScenario.TIMINGS.retentionMilliseconds();

    private final PlacerScenario scenario = new PlacerScenario();

    @Test
    void an_ended_job_is_kept_for_the_retention_time_and_then_removed() {
        scenario.server("s1", "r1");
        scenario.submit("job", "normal", PlacerScenario.step(1, 1));
        scenario.run(2_000);
        scenario.run(RETENTION - 2_000);
        assertThat(scenario.phase("job")).isEqualTo(JobPhase.COMPLETED);
        scenario.run(6_000);
        assertThat(scenario.store).isEmpty();
        assertThat(scenario.accepted).isEmpty();
    }

    @Test
    void an_open_job_is_kept_however_old_it_is() {
        scenario.submit("job", "normal", PlacerScenario.step(1, 1));
        scenario.run(3 * RETENTION);
        scenario.server("s1", "r1");
        scenario.run(2_000);
        assertThat(scenario.phase("job")).isEqualTo(JobPhase.COMPLETED);
    }

    @Test
    void a_cancelled_job_is_kept_until_all_its_runs_have_ended() {
        FakeServer server = scenario.server("s1", "r1");
        server.stopMilliseconds = 2 * RETENTION;
        scenario.workMilliseconds.put("job.0.0.0", 100 * RETENTION);
        scenario.submit("job", "normal", PlacerScenario.step(1, 1));
        scenario.run(500);
        scenario.placer.jobCancelled("job", scenario.now);
        scenario.run(RETENTION + 5_000);
        assertThat(scenario.accepted).hasSize(1);
        scenario.run(2 * RETENTION);
        assertThat(scenario.accepted).isEmpty();
    }

    @Test
    void a_removal_that_fails_is_repeated() {
        scenario.server("s1", "r1");
        scenario.submit("job", "normal", PlacerScenario.step(1, 1));
        scenario.run(2_000);
        scenario.storeAvailable = false;
        scenario.run(RETENTION + 2_000);
        assertThat(scenario.accepted).hasSize(1);
        scenario.storeAvailable = true;
        scenario.run(5_000);
        assertThat(scenario.accepted).isEmpty();
    }

    @Test
    void many_jobs_are_removed_in_bounded_transactions() {
        scenario.server("s1", "r1");
        for (int number = 0; number < 25; number++) {
            scenario.submit("job" + number, "normal", PlacerScenario.step(1, 1));
        }
        scenario.run(6_000);
        scenario.run(RETENTION + 8_000);
        assertThat(scenario.store).isEmpty();
    }
}
