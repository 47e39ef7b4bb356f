package org.teaselwood.workload.agent;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards that a departure notice takes a backend server out of use if, and only if, the server has left. */
final class DepartureNoticeTest {
    private final AgentScenario scenario = new AgentScenario();

    @BeforeEach
    void announce() throws Exception {
        scenario.heartbeat("i-1", 10, false, 1);
        scenario.connect();
        scenario.advance(1_000);
    }

    @AfterEach
    void close() throws Exception {
        scenario.close();
    }

    @Test
    void a_server_that_has_left_is_reported_as_gone_at_once_and_is_not_used_after_a_delayed_heartbeat()
            throws Exception {
        scenario.heartbeat("i-1", 10, true, 2);
        scenario.depart("i-1");
        scenario.answering = false;
        scenario.advance(500);
        assertThat(scenario.isGone(10)).isTrue();
        scenario.sent.clear();
        scenario.heartbeat("i-1", 10, false, 3);
        scenario.advance(2_000);
        assertThat(scenario.reportsResponsive(10)).isFalse();
    }

    @Test
    void a_server_that_has_sent_a_departure_notice_gets_no_new_tasks() throws Exception {
        scenario.depart("i-1");
        scenario.start("job.0.0.0");
        assertThat(scenario.started).isEmpty();
    }

    @Test
    void a_late_notice_of_a_former_incarnation_does_not_end_the_runs_of_its_successor() throws Exception {
        scenario.incarnation = 20;
        scenario.heartbeat("i-1", 20, false, 1);
        scenario.advance(1_000);
        scenario.depart("i-1");
        scenario.advance(1_000);
        scenario.heartbeat("i-1", 20, false, 2);
        scenario.advance(1_000);
        assertThat(scenario.isGone(20)).isFalse();
        assertThat(scenario.now - scenario.lastRenewalAt).isAtMost(500);
        scenario.start("job.0.0.0");
        assertThat(scenario.started).containsExactly("job.0.0.0");
    }

    @Test
    void a_server_that_was_wrongly_taken_for_gone_is_in_use_again_once_it_answers_and_sends_a_heartbeat()
            throws Exception {
        scenario.depart("i-1");
        scenario.answering = false;
        scenario.advance(500);
        assertThat(scenario.isGone(10)).isTrue();
        scenario.sent.clear();
        scenario.answering = true;
        scenario.heartbeat("i-1", 10, false, 2);
        scenario.advance(1_500);
        assertThat(scenario.reportsResponsive(10)).isTrue();
        scenario.start("job.0.0.0");
        assertThat(scenario.started).containsExactly("job.0.0.0");
    }
}
