package org.teaselwood.workload.placer;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.teaselwood.workload.model.Resources;
import org.teaselwood.workload.record.JobPhase;

/**
 * Guards against finished tasks that are run again: a server that lists only a part of the ended runs lists neither as
 * running nor as ended those beyond that part.
 */
final class IncompleteEndsTest {
    private static final int TASKS = 100;
    private static final int LISTED = 20;
    private static final long OUTAGE_MILLISECONDS = 3_000;

    private final PlacerScenario scenario = new PlacerScenario();
    private FakeServer server;

    @BeforeEach
    void startTasks() {
        server = scenario.server("s1", "r1");
        server.maximumReportedEnds = LISTED;
        for (int index = 0; index < TASKS; index++) {
            scenario.workMilliseconds.put("job.0.0." + index, 2_000L);
        }
        scenario.submit(
                "job",
                "normal",
                PlacerScenario.step(
                        TASKS,
                        new Resources(100, 100, 0),
                        2_000,
                        List.of(),
                        false,
                        false,
                        PlacerScenario.Sharing.NONE));
        scenario.run(1_000);
        assertThat(server.running).hasSize(TASKS);
    }

    @Test
    void tasks_that_end_during_an_outage_of_the_store_are_not_run_again() {
        scenario.storeAvailable = false;
        scenario.run(OUTAGE_MILLISECONDS);
        scenario.storeAvailable = true;
        assertCompletedOnce();
    }

    @Test
    void tasks_that_end_before_a_new_placer_is_elected_are_not_run_again() {
        scenario.storeAvailable = false;
        scenario.run(OUTAGE_MILLISECONDS);
        scenario.storeAvailable = true;
        scenario.elect();
        assertCompletedOnce();
    }

    @Test
    void tasks_that_end_before_the_agent_restarts_are_not_run_again() {
        scenario.storeAvailable = false;
        scenario.run(OUTAGE_MILLISECONDS);
        server.restartAgent();
        scenario.storeAvailable = true;
        assertCompletedOnce();
    }

    private void assertCompletedOnce() {
        scenario.run(5_000);
        assertThat(scenario.phase("job")).isEqualTo(JobPhase.COMPLETED);
        Map<String, Long> starts =
                server.starts.stream().collect(Collectors.groupingBy(start -> start.task(), Collectors.counting()));
        assertThat(starts).hasSize(TASKS);
        assertThat(starts.values().stream().distinct().toList()).containsExactly(1L);
        assertThat(server.ended).isEmpty();
    }
}
