package org.teaselwood.workload.placer;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.teaselwood.workload.record.JobPhase;

/**
 * Guards against orders that stay unconfirmed for ever because their answers were lost on a connection that remains
 * open: the run would hold its resources, and its task would not be placed again.
 */
final class LostAnswersTest {
    private static final long OUTAGE_MILLISECONDS = 500;
    private static final long RECOVERY_MILLISECONDS = 4_000;
    private static final int ACCELERATORS = PlacerScenario.SERVER.accelerators();

    private final PlacerScenario scenario = new PlacerScenario();
    private final FakeServer server = scenario.server("s1", "r1");

    @Test
    void a_start_is_repeated_after_the_answer_of_its_refusal_was_lost() {
        server.refusesStarts = 1;
        submitWithoutAnswers("job");
        scenario.run(RECOVERY_MILLISECONDS);
        assertThat(scenario.phase("job")).isEqualTo(JobPhase.COMPLETED);
        assertThat(scenario.starts("job.0.0.0")).isEqualTo(2);
    }

    @Test
    void a_start_that_is_refused_twice_is_stopped_and_its_task_is_placed_again() {
        server.refusesStarts = 2;
        submitWithoutAnswers("job");
        scenario.run(RECOVERY_MILLISECONDS);
        assertThat(scenario.phase("job")).isEqualTo(JobPhase.COMPLETED);
        assertThat(server.starts.getLast().attempt()).isEqualTo(2);
    }

    @Test
    void a_stop_is_repeated_after_its_answer_was_lost_and_frees_the_resources_of_a_run_that_never_began() {
        server.refusesStarts = 1;
        submitWithoutAnswers("cancelled");
        server.deliversAnswers = false;
        scenario.placer.jobCancelled("cancelled", scenario.now);
        scenario.run(OUTAGE_MILLISECONDS);
        server.deliversAnswers = true;
        scenario.submit("next", "normal", PlacerScenario.step(1, ACCELERATORS));
        scenario.run(RECOVERY_MILLISECONDS);
        assertThat(scenario.phase("next")).isEqualTo(JobPhase.COMPLETED);
    }

    /** Submits a job that fills the server and loses all answers to orders for some time. */
    private void submitWithoutAnswers(String job) {
        server.deliversAnswers = false;
        scenario.submit(job, "normal", PlacerScenario.step(1, ACCELERATORS));
        scenario.run(OUTAGE_MILLISECONDS);
        server.deliversAnswers = true;
    }
}
