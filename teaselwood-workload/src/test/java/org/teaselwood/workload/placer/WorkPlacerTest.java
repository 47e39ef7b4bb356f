package org.teaselwood.workload.placer;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.teaselwood.protocol.message.WorkMessage.EndKind;
import org.teaselwood.workload.model.JobSpecification;
import org.teaselwood.workload.record.JobPhase;

/**
 * Guards the invariants of the placer in virtual time: order of steps, durability of starts and ends, takeover, gangs,
 * preemption and bounded load.
 */
final class WorkPlacerTest {
    private final PlacerScenario scenario = new PlacerScenario();

    @Test
    void a_job_of_two_steps_runs_in_order_and_completes() {
        scenario.server("s1", "r1");
        scenario.submit(
                "job", "normal", PlacerScenario.step(2, 1), PlacerScenario.step(1, 1, false, false, List.of(0)));
        scenario.run(600);
        assertThat(scenario.starts("job.0.1.0")).isEqualTo(0);
        scenario.run(3_000);
        assertThat(scenario.phase("job")).isEqualTo(JobPhase.COMPLETED);
        assertThat(scenario.starts("job.0.1.0")).isEqualTo(1);
    }

    @Test
    void nothing_is_started_while_its_start_cannot_be_stored() {
        scenario.server("s1", "r1");
        scenario.storeAvailable = false;
        scenario.submit("job", "normal", PlacerScenario.step(1, 1));
        scenario.run(1_000);
        assertThat(scenario.runningTasks()).isEqualTo(0);
        scenario.storeAvailable = true;
        scenario.run(2_500);
        assertThat(scenario.phase("job")).isEqualTo(JobPhase.COMPLETED);
    }

    @Test
    void an_end_is_not_acknowledged_before_it_is_stored() {
        FakeServer server = scenario.server("s1", "r1");
        scenario.submit("job", "normal", PlacerScenario.step(1, 1));
        scenario.run(500);
        scenario.storeAvailable = false;
        scenario.run(2_000);
        assertThat(server.ended).hasSize(1);
        scenario.storeAvailable = true;
        scenario.elect();
        scenario.run(500);
        assertThat(scenario.phase("job")).isEqualTo(JobPhase.COMPLETED);
        assertThat(server.ended).isEmpty();
        assertThat(scenario.starts("job.0.0.0")).isEqualTo(1);
    }

    @Test
    void a_checkpoint_survives_the_loss_of_power_on_all_vms() {
        FakeServer lost = scenario.server("s1", "vm", "r1");
        lost.checkpoints = true;
        scenario.workMilliseconds.put("job.0.0.0", 20_000L);
        scenario.submit("job", "normal", PlacerScenario.step(1, 1));
        scenario.run(10_000);
        lost.connected = false;
        scenario.servers.clear();
        FakeServer restarted = scenario.server("s2", "vm", "r1");
        scenario.elect();
        scenario.run(1_000);
        assertThat(restarted.starts).hasSize(1);
        assertThat(Integer.parseInt(restarted.starts.getFirst().checkpoint().substring("at".length())))
                .isAtLeast(35);
    }

    @Test
    void a_new_placer_takes_over_active_runs() {
        scenario.server("s1", "r1");
        scenario.workMilliseconds.put("job.0.0.0", 5_000L);
        scenario.submit("job", "normal", PlacerScenario.step(1, 1));
        scenario.run(1_000);
        scenario.elect();
        scenario.run(6_000);
        assertThat(scenario.phase("job")).isEqualTo(JobPhase.COMPLETED);
        assertThat(scenario.starts("job.0.0.0")).isEqualTo(1);
    }

    @Test
    void a_task_on_an_unresponsive_server_is_not_placed_again_before_its_lease_has_expired() {
        FakeServer disconnected = scenario.server("s1", "r1");
        scenario.workMilliseconds.put("job.0.0.0", 20_000L);
        scenario.submit("job", "normal", PlacerScenario.step(1, 1));
        scenario.run(1_000);
        scenario.server("s2", "r1");
        disconnected.connected = false;
        scenario.elect();
        scenario.run(PlacerScenario.TIMINGS.lostAfterElectionMilliseconds() - 600);
        assertThat(scenario.servers.get("s2").running).isEmpty();
        disconnected.expireLease();
        scenario.run(1_500);
        assertThat(scenario.servers.get("s2").running).hasSize(1);
    }

    @Test
    void a_newer_incarnation_on_the_same_vm_shows_that_runs_of_the_older_one_have_ended() {
        FakeServer older = scenario.server("s1", "vm", "r1");
        scenario.workMilliseconds.put("job.0.0.0", 20_000L);
        scenario.submit("job", "normal", PlacerScenario.step(1, 1));
        scenario.run(1_000);
        older.connected = false;
        FakeServer newer = scenario.server("s2", "vm", "r1");
        scenario.elect();
        scenario.run(500);
        assertThat(newer.running).hasSize(1);
    }

    @Test
    void a_gang_starts_only_where_all_its_members_fit() {
        scenario.server("s1", "r1");
        scenario.submit("job", "normal", PlacerScenario.gang(3, 4));
        scenario.run(1_000);
        assertThat(scenario.runningTasks()).isEqualTo(0);
        scenario.server("s2", "r1");
        scenario.run(300);
        assertThat(scenario.runningTasks()).isEqualTo(3);
    }

    @Test
    void a_gang_restricted_to_one_rack_runs_in_a_rack_that_can_hold_it() {
        scenario.server("s1", "r1");
        scenario.server("s2", "r2");
        scenario.submit("job", "normal", PlacerScenario.gang(2, 4));
        scenario.run(300);
        assertThat(scenario.servers.get("s1").running.size()
                        * scenario.servers.get("s2").running.size())
                .isEqualTo(0);
        assertThat(scenario.runningTasks()).isEqualTo(2);
    }

    @Test
    void a_failed_gang_counts_one_attempt_and_the_job_fails_after_the_last() {
        FakeServer server = scenario.server("s1", "r1");
        server.endKind = EndKind.FAILED;
        scenario.submit("job", "normal", PlacerScenario.gang(2, 1));
        scenario.run(30_000);
        assertThat(scenario.phase("job")).isEqualTo(JobPhase.FAILED);
        assertThat(scenario.starts("job.0.0.0")).isEqualTo(3);
    }

    @Test
    void an_urgent_job_preempts_other_work_when_no_capacity_is_free() {
        scenario.server("s1", "r1");
        scenario.workMilliseconds.put("low.0.0.0", 60_000L);
        scenario.submit("low", "batch", PlacerScenario.step(1, 8));
        scenario.run(500);
        scenario.submit("high", "urgent", PlacerScenario.gang(2, 4));
        scenario.run(1_000);
        assertThat(scenario.servers.get("s1").running.keySet()).containsExactly("high.0.0.0#1", "high.0.0.1#1");
    }

    @Test
    void an_urgent_job_without_a_guarantee_does_not_discard_many_times_its_own_work() {
        scenario.server("s1", "r1");
        scenario.workMilliseconds.put("low.0.0.0", 20_000L);
        scenario.submit("low", "batch", PlacerScenario.step(1, 8));
        scenario.run(10_000);
        scenario.submit(new JobSpecification(
                "high", "urgent", "other team", "payload", List.of(PlacerScenario.gang(1, 8)), 0, 0, 0));
        scenario.run(5_000);
        assertThat(scenario.servers.get("s1").running.keySet()).containsExactly("low.0.0.0#1");
    }

    @Test
    void an_urgent_job_waits_briefly_for_free_capacity_before_it_preempts_other_work() {
        scenario.server("s1", "r1");
        scenario.workMilliseconds.put("low.0.0.0", 5_500L);
        scenario.submit("low", "batch", PlacerScenario.step(1, 8));
        scenario.run(5_200);
        scenario.submit("high", "urgent", PlacerScenario.gang(1, 8));
        scenario.run(2_000);
        assertThat(scenario.phase("low")).isEqualTo(JobPhase.COMPLETED);
        assertThat(scenario.phase("high")).isEqualTo(JobPhase.COMPLETED);
        assertThat(scenario.starts("low.0.0.0")).isEqualTo(1);
    }

    @Test
    void capacity_freed_for_an_urgent_gang_is_not_taken_by_smaller_work() {
        scenario.server("s1", "r1");
        for (int index = 0; index < 8; index++) {
            scenario.workMilliseconds.put("low.0.0." + index, 60_000L);
        }
        scenario.submit("low", "batch", PlacerScenario.step(8, 1));
        scenario.run(500);
        scenario.submit("more", "batch", PlacerScenario.step(8, 1));
        scenario.submit("high", "urgent", PlacerScenario.gang(1, 8));
        scenario.run(1_000);
        assertThat(scenario.servers.get("s1").running.keySet()).containsExactly("high.0.0.0#1");
    }

    @Test
    void capacity_recently_used_by_urgent_jobs_is_kept_free_of_work_without_checkpoints() {
        FakeServer server = scenario.server("s1", "r1");
        scenario.submit("first", "urgent", PlacerScenario.gang(1, 6));
        scenario.run(1_500);
        scenario.submit("low", "batch", PlacerScenario.step(8, 1));
        scenario.run(500);
        assertThat(server.running).hasSize(2);
        scenario.submit("second", "urgent", PlacerScenario.gang(1, 6));
        scenario.run(200);
        assertThat(server.running.keySet()).contains("second.0.0.0#1");
    }

    @Test
    void the_reserve_for_urgent_jobs_does_not_starve_other_work() {
        FakeServer server = scenario.server("s1", "r1");
        scenario.submit("first", "urgent", PlacerScenario.gang(1, 6));
        scenario.run(1_500);
        scenario.workMilliseconds.put("low.0.0.0", 30_000L);
        scenario.submit("low", "batch", PlacerScenario.step(1, 8));
        scenario.run(5_500);
        assertThat(server.running.keySet()).containsExactly("low.0.0.0#1");
    }

    @Test
    void a_cancelled_job_stops_its_runs_and_starts_no_others() {
        FakeServer server = scenario.server("s1", "r1");
        scenario.workMilliseconds.put("job.0.0.0", 60_000L);
        scenario.submit("job", "normal", PlacerScenario.step(1, 1));
        scenario.run(500);
        scenario.placer.jobCancelled("job", scenario.now);
        scenario.run(500);
        assertThat(server.running).isEmpty();
        assertThat(scenario.phase("job")).isEqualTo(JobPhase.CANCELLED);
        scenario.run(2_000);
        assertThat(server.starts).hasSize(1);
    }

    @Test
    void a_draining_server_gets_no_new_tasks() {
        FakeServer server = scenario.server("s1", "r1");
        server.draining = true;
        scenario.run(1_000);
        scenario.submit("job", "normal", PlacerScenario.step(1, 1));
        scenario.run(1_000);
        assertThat(server.starts).isEmpty();
    }

    @Test
    void a_stalled_task_is_moved_to_another_server() {
        FakeServer stalledServer = scenario.server("s1", "r1");
        stalledServer.stalled = true;
        scenario.submit("job", "normal", PlacerScenario.step(1, 1));
        scenario.run(500);
        scenario.server("s2", "r1");
        scenario.run(6_500);
        assertThat(scenario.phase("job")).isEqualTo(JobPhase.COMPLETED);
    }

    @Test
    void gang_members_that_wait_for_the_slowest_are_not_treated_as_stalled() {
        FakeServer fast = scenario.server("s1", "r1");
        scenario.server("s2", "r1");
        scenario.workMilliseconds.put("job.0.0.1", 9_000L);
        fast.holdsFinishedRuns = true;
        scenario.submit("job", "normal", PlacerScenario.gang(2, 8));
        scenario.run(8_500);
        assertThat(scenario.starts("job.0.0.0")).isEqualTo(1);
        fast.holdsFinishedRuns = false;
        scenario.run(1_500);
        assertThat(scenario.phase("job")).isEqualTo(JobPhase.COMPLETED);
    }

    @Test
    void a_stalled_gang_member_is_detected_while_the_others_make_progress() {
        FakeServer stalledServer = scenario.server("s1", "r1");
        stalledServer.stalled = true;
        scenario.server("s2", "r1");
        scenario.workMilliseconds.put("job.0.0.0", 30_000L);
        scenario.workMilliseconds.put("job.0.0.1", 30_000L);
        scenario.submit("job", "normal", PlacerScenario.gang(2, 8));
        scenario.run(5_500);
        assertThat(scenario.starts("job.0.0.0")).isAtLeast(2);
    }

    @Test
    void a_gang_whose_orders_are_not_answered_is_stopped_before_its_members_end_alone() {
        FakeServer server = scenario.server("s1", "r1");
        server.answersOrders = false;
        server.stalled = true;
        scenario.submit("job", "normal", PlacerScenario.gang(1, 1));
        scenario.run(400);
        assertThat(server.running).hasSize(1);
    }

    @Test
    void a_server_is_never_assigned_more_than_its_capacity() {
        FakeServer server = scenario.server("s1", "r1");
        scenario.submit("job", "normal", PlacerScenario.step(20, 3));
        for (int slice = 0; slice < 150; slice++) {
            scenario.run(100);
            assertThat(server.running.size()).isAtMost(2);
        }
        assertThat(scenario.phase("job")).isEqualTo(JobPhase.COMPLETED);
    }

    @Test
    void an_occurrence_starts_at_its_due_time_and_not_before() {
        FakeServer server = scenario.server("s1", "r1");
        scenario.submit(new JobSpecification(
                "job",
                "normal",
                "team",
                "payload",
                List.of(PlacerScenario.step(1, 1)),
                scenario.now + 2_000,
                1_000,
                2));
        scenario.run(1_900);
        assertThat(server.starts).isEmpty();
        scenario.run(400);
        assertThat(server.starts).hasSize(1);
        scenario.run(3_000);
        assertThat(scenario.phase("job")).isEqualTo(JobPhase.COMPLETED);
    }

    @Test
    void the_number_of_passes_is_bounded_however_many_ends_are_reported() {
        for (int index = 0; index < 70; index++) {
            scenario.server("s" + index, "r" + index / 11);
        }
        for (int index = 0; index < 100; index++) {
            scenario.submit("job" + index, "batch", PlacerScenario.step(20, 1));
        }
        scenario.run(2_000);
        long before = scenario.placer.passes();
        scenario.run(2_000);
        // 100 open jobs and 70 servers: one pass in 70 ms.
        assertThat(scenario.placer.passes() - before).isAtMost(2_000 / 70 + 1);
        scenario.run(6_000);
        assertThat(scenario.phase("job99")).isEqualTo(JobPhase.COMPLETED);
    }

    @Test
    void the_wait_and_the_completion_of_a_job_are_measured_once() {
        scenario.server("s1", "r1");
        scenario.submit("job", "normal", PlacerScenario.step(2, 1));
        scenario.run(3_000);
        assertThat(scenario.measured).containsExactly("wait normal", "completion normal");
    }

    @Test
    void waiting_jobs_are_counted_by_queue() {
        scenario.submit("job", "normal", PlacerScenario.step(1, 1));
        scenario.run(2_000);
        assertThat(scenario.pending).containsEntry("normal", 1);
        scenario.server("s1", "r1");
        scenario.run(2_000);
        assertThat(scenario.pending).containsEntry("normal", 0);
    }
}
