package org.teaselwood.workload.agent;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.teaselwood.protocol.message.WorkMessage;
import org.teaselwood.protocol.message.WorkMessage.ServerReport;

/** Guards that a backend server is used after the time of day was set back, which gives it an earlier start time. */
final class ClockStepTest {
    private final AgentScenario scenario = new AgentScenario();

    @BeforeEach
    void announce() throws Exception {
        scenario.incarnation = 50;
        scenario.heartbeat("i-1", 50, false, 9);
        scenario.connect();
        scenario.advance(1_000);
    }

    @AfterEach
    void close() throws Exception {
        scenario.close();
    }

    @Test
    void an_incarnation_with_an_earlier_start_time_replaces_the_former_one_if_it_answers() throws Exception {
        scenario.server = "i-2";
        scenario.incarnation = 20;
        scenario.heartbeat("i-2", 20, false, 1);
        scenario.advance(1_000);
        assertThat(scenario.reportsResponsive(20)).isTrue();
        assertThat(scenario.now - scenario.lastRenewalAt).isAtMost(500);
        assertThat(firstIndexOfNotice(50)).isAtLeast(0);
        assertThat(firstIndexOfNotice(50)).isLessThan(firstIndexOfReport(20));
    }

    @Test
    void an_incarnation_with_an_earlier_start_time_replaces_a_former_one_of_the_same_identifier() throws Exception {
        scenario.incarnation = 20;
        scenario.heartbeat("i-1", 20, false, 1);
        scenario.advance(1_000);
        assertThat(scenario.reportsResponsive(20)).isTrue();
    }

    @Test
    void a_delayed_heartbeat_of_a_dead_incarnation_does_not_replace_its_successor() throws Exception {
        scenario.heartbeat("i-0", 20, false, 7);
        scenario.heartbeat("i-1", 20, false, 7);
        scenario.advance(1_000);
        assertThat(scenario.isGone(50)).isFalse();
        assertThat(scenario.reportsResponsive(20)).isFalse();
        scenario.answering = false;
        scenario.heartbeat("i-0", 20, false, 8);
        scenario.advance(500);
        assertThat(scenario.isGone(50)).isFalse();
    }

    private int firstIndexOfNotice(long startMilliseconds) {
        return scenario.sent.indexOf(new WorkMessage.ServerLeft("i-1", startMilliseconds));
    }

    private int firstIndexOfReport(long startMilliseconds) {
        return scenario.sent.indexOf(scenario.sent.stream()
                .filter(message -> message instanceof ServerReport report
                        && report.description().incarnation() == startMilliseconds)
                .findFirst()
                .orElseThrow());
    }
}
