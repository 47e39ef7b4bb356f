package org.teaselwood.workload.agent;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards that a backend server that does not answer is reported as gone, so that its tasks can run elsewhere, and that
 * it is not reported while a run may be active on it.
 */
final class UnresponsiveServerTest {
    private static final long LEASE_MILLISECONDS = AgentScenario.TIMINGS.maximumLeaseMilliseconds();

    private final AgentScenario scenario = new AgentScenario();

    @BeforeEach
    void announce() throws Exception {
        scenario.heartbeat("i-1", 10, false, 1);
        scenario.connect();
        scenario.advance(2_000);
    }

    @AfterEach
    void close() throws Exception {
        scenario.close();
    }

    @Test
    void a_server_that_crashed_and_does_not_return_is_reported_as_gone_once_its_leases_have_expired() throws Exception {
        scenario.answering = false;
        while (!scenario.isGone(10) && scenario.now < 120_000) {
            scenario.advance(500);
        }
        assertThat(scenario.isGone(10)).isTrue();
        assertThat(scenario.now).isAtLeast(scenario.lastRenewalAt + LEASE_MILLISECONDS * 102 / 100);
        assertThat(scenario.now).isAtMost(scenario.lastRenewalAt + LEASE_MILLISECONDS * 102 / 100 + 1_500);
    }

    @Test
    void a_server_that_is_silent_for_a_while_keeps_its_leases() throws Exception {
        scenario.answering = false;
        scenario.advance(6_000);
        assertThat(scenario.now - scenario.lastRenewalAt).isLessThan(LEASE_MILLISECONDS);
        scenario.answering = true;
        scenario.advance(2_000);
        assertThat(scenario.now - scenario.lastRenewalAt).isAtMost(500);
        assertThat(scenario.isGone(10)).isFalse();
    }

    @Test
    void a_start_that_may_have_been_carried_out_delays_the_report_until_its_lease_has_expired() throws Exception {
        scenario.answering = false;
        scenario.advance(6_000);
        long startedAt = scenario.now;
        scenario.start("job.0.0.0");
        while (!scenario.isGone(10) && scenario.now < 120_000) {
            scenario.advance(500);
        }
        assertThat(scenario.isGone(10)).isTrue();
        assertThat(scenario.now).isAtLeast(startedAt + LEASE_MILLISECONDS * 102 / 100);
    }

    @Test
    void a_server_that_answers_after_it_was_reported_as_gone_is_in_use_again() throws Exception {
        scenario.answering = false;
        scenario.advance(14_000);
        assertThat(scenario.isGone(10)).isTrue();
        scenario.sent.clear();
        scenario.advance(1_000);
        assertThat(scenario.reportsResponsive(10)).isFalse();
        scenario.answering = true;
        scenario.advance(1_000);
        assertThat(scenario.reportsResponsive(10)).isTrue();
        assertThat(scenario.now - scenario.lastRenewalAt).isAtMost(500);
    }
}
