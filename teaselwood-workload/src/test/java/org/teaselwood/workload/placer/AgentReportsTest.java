package org.teaselwood.workload.placer;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.teaselwood.protocol.message.WorkMessage;
import org.teaselwood.protocol.message.WorkMessage.OrderOutcome;
import org.teaselwood.workload.record.JobPhase;

/**
 * Guards against runs that are lost or started twice because a report was delayed, repeated or incomplete after an
 * agent reconnected or restarted.
 */
final class AgentReportsTest {
    private final PlacerScenario scenario = new PlacerScenario();

    @Test
    void reports_that_an_old_connection_delivers_late_do_not_end_runs() {
        FakeServer server = scenario.server("s1", "r1");
        scenario.run(600);
        AgentConnection old = server.connection;
        WorkMessage.ServerReport before = server.lastReport;
        scenario.connect(server);
        scenario.workMilliseconds.put("job.0.0.0", 10_000L);
        scenario.submit("job", "normal", PlacerScenario.step(1, 1));
        scenario.run(600);
        scenario.placer.reportReceived(old, before, scenario.now);
        scenario.placer.reportReceived(old, before, scenario.now);
        scenario.run(1_000);
        assertThat(scenario.starts("job.0.0.0")).isEqualTo(1);
        assertThat(server.running).hasSize(1);
    }

    @Test
    void lists_that_are_sent_again_on_a_new_connection_do_not_end_runs_that_began_after_them() {
        FakeServer server = scenario.server("s1", "r1");
        scenario.run(600);
        WorkMessage.ServerReport before = server.lastReport;
        scenario.workMilliseconds.put("job.0.0.0", 10_000L);
        scenario.submit("job", "normal", PlacerScenario.step(1, 1));
        scenario.run(100);
        assertThat(server.running).hasSize(1);
        scenario.connect(server);
        scenario.placer.reportReceived(server.connection, before, scenario.now);
        scenario.placer.reportReceived(server.connection, before, scenario.now);
        scenario.run(1_000);
        assertThat(scenario.starts("job.0.0.0")).isEqualTo(1);
        assertThat(server.running).hasSize(1);
    }

    @Test
    void a_new_placer_stops_a_gang_that_lost_a_member_under_its_predecessor() {
        FakeServer first = scenario.server("s1", "r1");
        FakeServer second = scenario.server("s2", "r1");
        scenario.workMilliseconds.put("job.0.0.0", 60_000L);
        scenario.workMilliseconds.put("job.0.0.1", 60_000L);
        scenario.submit("job", "normal", PlacerScenario.gang(2, 8));
        scenario.run(1_000);
        second.connected = false;
        second.dropConnection(scenario.placer);
        first.expireLease();
        scenario.run(1_000);
        scenario.elect();
        scenario.run(300);
        second.connected = true;
        scenario.connect(second);
        scenario.run(1_000);
        assertThat(first.running.keySet()).containsExactly("job.0.0.0#2");
        assertThat(second.running.keySet()).containsExactly("job.0.0.1#2");
    }

    @Test
    void a_refusal_of_a_repeated_order_does_not_end_the_run_that_the_first_copy_began() {
        FakeServer server = scenario.server("s1", "r1");
        scenario.run(600);
        WorkMessage.ServerReport before = server.lastReport;
        scenario.workMilliseconds.put("job.0.0.0", 60_000L);
        server.answersOrders = false;
        server.stopMilliseconds = 800;
        scenario.submit("job", "normal", PlacerScenario.step(1, 1));
        scenario.run(40);
        assertThat(server.running).hasSize(1);
        scenario.connect(server);
        scenario.placer.reportReceived(server.connection, before, scenario.now);
        scenario.placer.orderAnswered(
                server.connection,
                new WorkMessage.OrderResult(
                        "s1", server.description.incarnation(), "job.0.0.0", 1, OrderOutcome.UNAVAILABLE, 9),
                scenario.now);
        scenario.server("s2", "r1");
        for (int slice = 0; slice < 200; slice++) {
            scenario.run(10);
            assertThat(scenario.runningTasks()).isAtMost(1);
        }
        assertThat(scenario.starts("job.0.0.0")).isAtLeast(2);
    }

    /** Returns the first report of an agent, which has not read any lists yet. */
    private WorkMessage.ServerReport firstReport(FakeServer server) {
        return new WorkMessage.ServerReport(
                server.description, server.agentIncarnation, 0, false, true, scenario.now, 0, List.of(), List.of());
    }

    @Test
    void the_first_lists_of_a_restarted_agent_do_not_end_a_run_that_began_while_it_read_them() {
        FakeServer server = scenario.server("s1", "r1");
        scenario.run(600);
        server.restartAgent();
        scenario.connect(server);
        scenario.workMilliseconds.put("job.0.0.0", 60_000L);
        scenario.submit("job", "normal", PlacerScenario.step(1, 1));
        scenario.run(100);
        assertThat(server.running).hasSize(1);
        scenario.run(1_000);
        assertThat(server.running.keySet()).containsExactly("job.0.0.0#1");
        assertThat(scenario.starts("job.0.0.0")).isEqualTo(1);
    }

    @Test
    void a_lost_order_is_repeated_although_the_new_connection_begins_without_lists() {
        FakeServer server = scenario.server("s1", "r1");
        scenario.run(600);
        scenario.workMilliseconds.put("job.0.0.0", 60_000L);
        server.connected = false;
        scenario.submit("job", "normal", PlacerScenario.step(1, 1));
        scenario.run(100);
        assertThat(server.starts).isEmpty();
        server.connected = true;
        scenario.connect(server);
        scenario.placer.reportReceived(server.connection, firstReport(server), scenario.now);
        scenario.run(1_000);
        assertThat(server.running.keySet()).containsExactly("job.0.0.0#1");
    }

    @Test
    void a_run_that_is_not_on_record_is_stopped() {
        FakeServer server = scenario.server("s1", "r1");
        scenario.run(600);
        server.running.put("job.0.0.0#5", scenario.now);
        scenario.run(900);
        assertThat(server.stopped).containsExactly("job.0.0.0");
        assertThat(server.running).isEmpty();
    }

    @Test
    void a_success_of_a_lost_attempt_stops_the_attempt_that_replaced_it() {
        FakeServer disconnected = scenario.server("s1", "r1");
        scenario.workMilliseconds.put("job.0.0.0", 3_000L);
        scenario.submit("job", "normal", PlacerScenario.step(1, 1));
        scenario.run(1_000);
        FakeServer other = scenario.server("s2", "r1");
        disconnected.connected = false;
        disconnected.dropConnection(scenario.placer);
        scenario.run(2_100);
        scenario.workMilliseconds.put("job.0.0.0", 60_000L);
        scenario.run(8_000);
        assertThat(other.running.keySet()).containsExactly("job.0.0.0#2");
        disconnected.connected = true;
        scenario.connect(disconnected);
        scenario.run(1_000);
        assertThat(other.running).isEmpty();
        assertThat(scenario.phase("job")).isEqualTo(JobPhase.COMPLETED);
    }

    @Test
    void a_task_whose_run_is_missing_after_an_agent_restart_is_placed_again() {
        FakeServer server = scenario.server("s1", "r1");
        scenario.workMilliseconds.put("job.0.0.0", 10_000L);
        scenario.submit("job", "normal", PlacerScenario.step(1, 1));
        scenario.run(20_000);
        scenario.submit("job2", "normal", PlacerScenario.step(1, 1));
        scenario.workMilliseconds.put("job2.0.0.0", 10_000L);
        scenario.run(1_000);
        server.running.clear();
        server.restartAgent();
        scenario.connect(server);
        scenario.run(1_000);
        assertThat(scenario.starts("job2.0.0.0")).isEqualTo(2);
    }
}
