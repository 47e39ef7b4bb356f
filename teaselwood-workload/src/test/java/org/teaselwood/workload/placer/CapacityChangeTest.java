package org.teaselwood.workload.placer;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.teaselwood.workload.model.JobSpecification;
import org.teaselwood.workload.model.Resources;
import org.teaselwood.workload.record.JobPhase;

/**
 * Guards against starts beyond the capacity of a server that has shrunk while it runs, and against work that waits
 * although the capacity has grown again.
 */
final class CapacityChangeTest {
    private static final long LONG_MILLISECONDS = 60_000;
    private static final Resources HALF = new Resources(16_000, 65_536, 4);

    private final PlacerScenario scenario = new PlacerScenario();

    private void submit(String job, String queue, int tasks, int accelerators) {
        for (int index = 0; index < tasks; index++) {
            scenario.workMilliseconds.put(job + ".0.0." + index, LONG_MILLISECONDS);
        }
        scenario.submit(job, queue, PlacerScenario.step(tasks, accelerators));
    }

    @Test
    void nothing_starts_on_a_server_whose_capacity_has_shrunk_below_its_use() {
        FakeServer server = scenario.server("s1", "r1");
        submit("job", "normal", 6, 1);
        scenario.run(500);
        server.changeCapacity(HALF);
        scenario.run(600);
        submit("late", "normal", 1, 1);
        scenario.run(2_000);
        assertThat(server.running).hasSize(6);
        FakeServer other = scenario.server("s2", "r1");
        scenario.run(500);
        assertThat(other.running.keySet()).containsExactly("late.0.0.0#1");
    }

    @Test
    void a_start_that_is_still_being_stored_is_withdrawn_when_the_capacity_shrinks() {
        FakeServer server = scenario.server("s1", "r1");
        scenario.run(100);
        scenario.writeLatencyMilliseconds = 800;
        submit("job", "normal", 8, 1);
        scenario.run(100);
        server.changeCapacity(HALF);
        scenario.run(3_000);
        assertThat(server.starts).hasSize(4);
        server.changeCapacity(PlacerScenario.SERVER);
        scenario.run(3_000);
        assertThat(server.running).hasSize(8);
    }

    @Test
    void a_gang_whose_start_is_still_being_stored_is_withdrawn_as_a_whole_when_the_capacity_shrinks() {
        FakeServer first = scenario.server("s1", "r1");
        FakeServer second = scenario.server("s2", "r1");
        scenario.run(100);
        scenario.writeLatencyMilliseconds = 800;
        scenario.submit("gang", "normal", PlacerScenario.gang(2, 8));
        scenario.run(100);
        first.changeCapacity(HALF);
        scenario.run(3_000);
        assertThat(scenario.runningTasks()).isEqualTo(0);
        assertThat(second.starts).isEmpty();
        first.changeCapacity(PlacerScenario.SERVER);
        scenario.run(4_000);
        assertThat(scenario.phase("gang")).isEqualTo(JobPhase.COMPLETED);
    }

    @Test
    void a_start_order_that_may_be_lost_is_not_repeated_beyond_a_capacity_that_has_shrunk() {
        FakeServer server = scenario.server("s1", "r1");
        scenario.run(100);
        scenario.writeLatencyMilliseconds = 200;
        submit("job", "normal", 8, 1);
        scenario.run(100);
        server.connected = false;
        scenario.run(300);
        server.changeCapacity(HALF);
        server.connected = true;
        server.dropConnection(scenario.placer);
        scenario.connect(server);
        scenario.run(3_000);
        assertThat(server.running).hasSize(4);
    }

    @Test
    void preemption_for_a_plan_made_before_the_capacity_shrank_starts_nothing_beyond_it() {
        FakeServer server = scenario.server("s1", "r1");
        submit("batch", "batch", 8, 1);
        scenario.run(500);
        server.stopMilliseconds = 700;
        submit("urgent", "urgent", 1, 8);
        scenario.run(600);
        assertThat(server.stopped).hasSize(8);
        server.changeCapacity(HALF);
        scenario.run(3_000);
        assertThat(scenario.starts("urgent.0.0.0")).isEqualTo(0);
        server.changeCapacity(PlacerScenario.SERVER);
        scenario.run(3_000);
        assertThat(scenario.starts("urgent.0.0.0")).isEqualTo(1);
    }

    @Test
    void urgent_work_preempts_on_a_server_whose_capacity_has_shrunk_only_as_much_as_makes_room_for_it() {
        FakeServer server = scenario.server("s1", "r1");
        submit("batch", "batch", 8, 1);
        scenario.run(500);
        server.changeCapacity(HALF);
        scenario.run(600);
        submit("urgent", "urgent", 1, 2);
        scenario.run(3_000);
        assertThat(scenario.starts("urgent.0.0.0")).isEqualTo(1);
        assertThat(server.stopped).hasSize(6);
    }

    @Test
    void work_goes_on_when_the_capacity_grows_again() {
        FakeServer server = scenario.server("s1", "r1");
        scenario.run(100);
        server.changeCapacity(Resources.NONE);
        scenario.run(600);
        submit("job", "normal", 2, 4);
        scenario.run(5_000);
        assertThat(server.starts).isEmpty();
        server.changeCapacity(PlacerScenario.SERVER);
        scenario.run(1_000);
        assertThat(server.running).hasSize(2);
    }

    @Test
    void a_new_placer_starts_nothing_beyond_a_capacity_that_shrank_under_its_predecessor() {
        FakeServer server = scenario.server("s1", "r1");
        submit("job", "normal", 6, 1);
        scenario.run(500);
        server.changeCapacity(HALF);
        scenario.elect();
        scenario.submit(
                new JobSpecification("late", "normal", "team", "payload", List.of(PlacerScenario.step(1, 1)), 0, 0, 0));
        scenario.run(2_000);
        assertThat(server.running).hasSize(6);
        server.changeCapacity(PlacerScenario.SERVER);
        scenario.run(2_000);
        assertThat(scenario.phase("late")).isEqualTo(JobPhase.COMPLETED);
    }
}
