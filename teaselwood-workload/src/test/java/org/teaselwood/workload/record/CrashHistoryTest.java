package org.teaselwood.workload.record;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.teaselwood.workload.record.CrashHistory.Crash;
import org.teaselwood.workload.record.CrashHistory.Evidence;

/** Guards the bounds at which a task is given up: neither a sound task too early nor a harmful one too late. */
final class CrashHistoryTest {
    private static CrashHistory history(Evidence... crashes) {
        CrashHistory history = CrashHistory.NONE;
        for (int index = 0; index < crashes.length; index++) {
            history = history.withStart().with(new Crash("vm" + index, index, crashes[index]));
        }
        return history;
    }

    @Test
    void two_conclusive_crashes_are_enough_and_one_is_not() {
        assertThat(history(Evidence.CONCLUSIVE, Evidence.CONCLUSIVE).isGivenUp(false))
                .isTrue();
        assertThat(history(Evidence.CONCLUSIVE, Evidence.SUSPICIOUS).isGivenUp(false))
                .isFalse();
    }

    @Test
    void three_suspicious_crashes_are_enough() {
        assertThat(history(Evidence.SUSPICIOUS, Evidence.SUSPICIOUS, Evidence.SUSPICIOUS)
                        .isGivenUp(false))
                .isTrue();
    }

    @Test
    void crashes_on_a_single_vm_do_not_convict_a_task() {
        CrashHistory history = CrashHistory.NONE;
        for (int incarnation = 1; incarnation <= 3; incarnation++) {
            history = history.withStart().with(new Crash("vm", incarnation, Evidence.CONCLUSIVE));
        }
        assertThat(history.isGivenUp(false)).isFalse();
    }

    @Test
    void a_crash_of_an_incarnation_counts_once() {
        Crash crash = new Crash("vm", 1, Evidence.CONCLUSIVE);
        assertThat(CrashHistory.NONE.with(crash).with(crash).crashes()).containsExactly(crash);
    }

    @Test
    void no_more_than_two_starts_follow_three_crashes_of_any_evidence() {
        CrashHistory history = history(Evidence.WEAK, Evidence.WEAK, Evidence.WEAK);
        assertThat(history.withStart().isGivenUp(false)).isFalse();
        assertThat(history.withStart().withStart().isGivenUp(true)).isFalse();
        assertThat(history.withStart().withStart().isGivenUp(false)).isTrue();
    }

    @Test
    void a_start_without_effect_does_not_count_towards_the_limit() {
        CrashHistory history = history(Evidence.WEAK, Evidence.WEAK, Evidence.WEAK)
                .withStart()
                .withoutStart()
                .withStart();
        assertThat(history.isGivenUp(false)).isFalse();
    }
}
