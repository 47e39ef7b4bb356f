package org.teaselwood.workload.placer;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.teaselwood.workload.model.AdviceSettings;
import org.teaselwood.workload.model.QueueSettings;
import org.teaselwood.workload.model.WorkloadConfiguration;
import org.teaselwood.workload.record.JobPhase;

/**
 * Guards against starts on backend servers that the advice service does not permit, and against steps that stall after
 * a failed call or an expired or refused ticket.
 */
final class PlacementAdviceTest {
    private static final AdviceSettings ADVICE = new AdviceSettings(10, 1, 2_000);

    private final PlacerScenario scenario = new PlacerScenario();

    PlacementAdviceTest() {
        scenario.configure(new WorkloadConfiguration(
                2,
                Map.of(
                        "advised", new QueueSettings("advised", "service", 1, 3, 3, 1_000, Optional.of(ADVICE)),
                        "normal", new QueueSettings("normal", "service", 1, 3, 3, 1_000, Optional.empty())),
                Map.of("team", 16)));
        for (String id : List.of("s1", "s2", "s3")) {
            scenario.server(id, "r1").needsTicket = true;
        }
    }

    @Test
    void a_task_starts_only_where_the_advice_service_permits_it_and_with_its_ticket() {
        scenario.permitted = Set.of("s2");
        scenario.submit("job", "advised", PlacerScenario.step(2, 1));
        scenario.run(2_500);
        assertThat(scenario.phase("job")).isEqualTo(JobPhase.COMPLETED);
        assertThat(scenario.servers.get("s2").starts).hasSize(2);
        assertThat(scenario.servers.get("s2").starts.getFirst().ticket()).isEqualTo("job.0.0@s2");
        assertThat(scenario.servers.get("s1").starts).isEmpty();
        assertThat(scenario.advised).containsExactly("job.0.0");
    }

    @Test
    void a_gang_runs_on_permitted_servers_only() {
        scenario.permitted = Set.of("s2", "s3");
        scenario.submit("job", "advised", PlacerScenario.gang(2, 8));
        scenario.run(600);
        assertThat(scenario.servers.get("s2").running).hasSize(1);
        assertThat(scenario.servers.get("s3").running).hasSize(1);
        assertThat(scenario.servers.get("s1").starts).isEmpty();
    }

    @Test
    void the_service_is_asked_again_after_a_call_without_an_answer() {
        scenario.permitted = Set.of("s1");
        scenario.adviceAvailable = false;
        scenario.submit("job", "advised", PlacerScenario.step(1, 1));
        scenario.run(1_000);
        assertThat(scenario.runningTasks()).isEqualTo(0);
        assertThat(scenario.advised.size()).isAtMost(6);
        scenario.adviceAvailable = true;
        scenario.run(600);
        assertThat(scenario.runningTasks()).isEqualTo(1);
    }

    @Test
    void an_expired_ticket_is_replaced_before_it_is_used_again() {
        scenario.permitted = Set.of("s1");
        scenario.workMilliseconds.put("job.0.0.0", 3_000L);
        scenario.submit(
                "job", "advised", PlacerScenario.step(1, 8), PlacerScenario.step(1, 8, false, false, List.of()));
        scenario.run(6_000);
        assertThat(scenario.phase("job")).isEqualTo(JobPhase.COMPLETED);
        assertThat(scenario.advised).contains("job.0.1");
        assertThat(scenario.advised.stream().filter("job.0.1"::equals).count()).isAtLeast(2L);
    }

    @Test
    void a_server_that_refuses_a_ticket_costs_no_attempt_and_is_asked_about_again() {
        scenario.permitted = Set.of("s1");
        FakeServer server = scenario.servers.get("s1");
        server.needsTicket = false;
        server.refusesTickets = 4;
        scenario.submit("job", "advised", PlacerScenario.step(1, 1));
        scenario.run(4_000);
        assertThat(scenario.phase("job")).isEqualTo(JobPhase.COMPLETED);
        assertThat(scenario.advised.size()).isAtLeast(5);
    }

    @Test
    void advice_is_requested_for_a_new_incarnation_of_a_server() {
        scenario.permitted = Set.of();
        scenario.submit("job", "advised", PlacerScenario.step(1, 1));
        scenario.run(600);
        assertThat(scenario.advised).hasSize(1);
        scenario.permitted = Set.of("s4");
        scenario.server("s4", "vm-s1", "r1");
        scenario.run(600);
        assertThat(scenario.runningTasks()).isEqualTo(1);
    }

    @Test
    void a_new_placer_requests_its_own_advice() {
        scenario.permitted = Set.of("s1");
        scenario.submit("job", "advised", PlacerScenario.step(20, 1));
        scenario.run(600);
        scenario.elect();
        scenario.run(5_000);
        assertThat(scenario.phase("job")).isEqualTo(JobPhase.COMPLETED);
    }

    @Test
    void open_jobs_of_a_removed_queue_continue() {
        scenario.servers.values().forEach(server -> server.needsTicket = false);
        scenario.workMilliseconds.put("job.0.0.0", 1_000L);
        scenario.submit(
                "job", "normal", PlacerScenario.step(1, 1), PlacerScenario.step(1, 1, false, false, List.of(0)));
        scenario.run(500);
        scenario.configure(new WorkloadConfiguration(3, Map.of(), Map.of()));
        scenario.run(3_000);
        assertThat(scenario.phase("job")).isEqualTo(JobPhase.COMPLETED);
    }
}
