package org.teaselwood.workload.placer;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.teaselwood.workload.model.QueueSettings;
import org.teaselwood.workload.model.Resources;

/**
 * Guards the decision when an urgent step preempts: neither so late that it misses its objective although it preempts,
 * nor for a job that is late anyway at the expense of much work.
 */
final class PreemptionLimitsTest {
    private static final long STOP_MILLISECONDS = 400;
    private static final QueueSettings URGENT =
            new QueueSettings("urgent", "service", 0, 3, 1.5, 250, Optional.empty());

    private final RunTimes runTimes = new RunTimes();
    private final PreemptionLimits limits = new PreemptionLimits(runTimes, STOP_MILLISECONDS);

    /** Returns a step of one task with ten core-seconds of work for each second of its estimate. */
    private static StepState step(long estimateMilliseconds) {
        return new StepState(
                "job",
                0,
                0,
                PlacerScenario.step(
                        1,
                        new Resources(2_000, 1_000, 1),
                        estimateMilliseconds,
                        List.of(),
                        false,
                        false,
                        PlacerScenario.Sharing.NONE));
    }

    @Test
    void a_plan_that_loses_almost_nothing_is_carried_out_at_once() {
        assertThat(limits.allows(step(4_000), URGENT, 3, 0, false)).isTrue();
    }

    @Test
    void a_short_step_preempts_earlier_than_a_long_one() {
        assertThat(limits.allows(step(1_000), URGENT, 5, 100, false)).isTrue();
        assertThat(limits.allows(step(4_000), URGENT, 20, 100, false)).isFalse();
        assertThat(limits.allows(step(4_000), URGENT, 20, 900, false)).isTrue();
    }

    @Test
    void a_step_that_can_meet_its_objective_may_cause_a_larger_loss_than_a_late_one() {
        assertThat(limits.allows(step(4_000), URGENT, 60, 1_000, false)).isTrue();
        assertThat(limits.allows(step(4_000), URGENT, 60, 5_000, false)).isFalse();
    }

    @Test
    void a_guaranteed_step_preempts_within_a_second_whatever_the_loss() {
        assertThat(limits.allows(step(60_000), URGENT, 10_000, 1_000, true)).isTrue();
    }

    @Test
    void an_overstated_run_time_does_not_justify_a_loss_once_run_times_of_the_queue_are_known() {
        assertThat(limits.allows(step(40_000), URGENT, 600, 1_000, false)).isTrue();
        runTimes.completed("urgent", 2_000);
        assertThat(limits.allows(step(40_000), URGENT, 600, 1_000, false)).isFalse();
    }
}
