package org.teaselwood.workload.placer;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.teaselwood.workload.model.JobSpecification;
import org.teaselwood.workload.model.Resources;
import org.teaselwood.workload.model.StepSpecification;

/** Guards against a gang that waits without bound for one rack while servers of several racks are free. */
final class GangInOneRackTest {
    private static final long LONG_MILLISECONDS = 60_000;
    private static final List<String> RACKS = List.of("r1", "r2", "r3", "r4");

    private final PlacerScenario scenario = new PlacerScenario();

    private void submit(String job, String queue, StepSpecification step) {
        for (int index = 0; index < step.count(); index++) {
            scenario.workMilliseconds.put(job + ".0.0." + index, LONG_MILLISECONDS);
        }
        scenario.submit(new JobSpecification(job, queue, "other", "payload", List.of(step), 0, 0, 0));
    }

    private static StepSpecification gang(int count, long estimateMilliseconds) {
        return wholeServers(count, estimateMilliseconds, true);
    }

    private static StepSpecification longRunningGang(int count) {
        return PlacerScenario.step(
                count,
                new Resources(30_000, 1_000, 8),
                LONG_MILLISECONDS,
                List.of(),
                true,
                true,
                new PlacerScenario.Sharing(true, false, 0, 0));
    }

    private static StepSpecification filling(int count) {
        return wholeServers(count, LONG_MILLISECONDS, false);
    }

    private static StepSpecification wholeServers(int count, long estimateMilliseconds, boolean gang) {
        return PlacerScenario.step(
                count,
                new Resources(30_000, 1_000, 8),
                estimateMilliseconds,
                List.of(),
                gang,
                gang,
                PlacerScenario.Sharing.NONE);
    }

    /** Occupies one server of each rack with a small task and adds free servers to each rack. */
    private void occupyOneServerOfEachRack(int freePerRack) {
        RACKS.forEach(rack -> scenario.server("busy-" + rack, rack));
        submit(
                "small",
                "batch",
                new StepSpecification(
                        RACKS.size(),
                        new Resources(1_000, 1_000, 1),
                        LONG_MILLISECONDS,
                        List.of(),
                        false,
                        false,
                        false,
                        "",
                        "",
                        1,
                        false,
                        false,
                        0,
                        0));
        scenario.run(1_000);
        for (int index = 0; index < freePerRack; index++) {
            String number = String.valueOf(index);
            RACKS.forEach(rack -> scenario.server("free" + number + "-" + rack, rack));
        }
        scenario.run(100);
        assertThat(scenario.runningTasks()).isEqualTo(RACKS.size());
    }

    @Test
    void a_gang_spreads_over_racks_of_a_mostly_free_service_rather_than_wait_for_a_long_task() {
        occupyOneServerOfEachRack(1);
        submit("gang", "normal", gang(2, LONG_MILLISECONDS));
        scenario.run(2_000);
        assertThat(scenario.starts("gang.0.0.0")).isEqualTo(1);
        assertThat(scenario.starts("gang.0.0.1")).isEqualTo(1);
    }

    @Test
    void a_gang_waits_shortly_for_one_rack() {
        occupyOneServerOfEachRack(1);
        submit("gang", "normal", gang(2, LONG_MILLISECONDS));
        scenario.run(1_000);
        assertThat(scenario.starts("gang.0.0.0")).isEqualTo(0);
        scenario.placer.jobCancelled("small", scenario.now);
        scenario.run(1_000);
        assertThat(scenario.starts("gang.0.0.0")).isEqualTo(1);
        assertThat(scenario.servers.values().stream()
                        .filter(server -> server.running.keySet().stream().anyMatch(run -> run.startsWith("gang")))
                        .map(server -> server.description.rack())
                        .distinct()
                        .count())
                .isEqualTo(1);
    }

    @Test
    void a_long_running_gang_spreads_over_racks_of_a_busy_service_after_a_short_wait() {
        occupyOneServerOfEachRack(2);
        submit("filling", "batch", filling(6));
        scenario.run(300);
        submit("serving", "normal", longRunningGang(2));
        scenario.run(2_000);
        assertThat(scenario.starts("serving.0.0.0")).isEqualTo(1);
    }

    @Test
    void a_short_gang_spreads_over_racks_of_a_busy_service_once_it_has_waited_as_long_as_that_costs() {
        occupyOneServerOfEachRack(2);
        submit("filling", "batch", filling(4));
        scenario.run(300);
        submit("more", "batch", filling(2));
        scenario.run(300);
        submit("gang", "normal", gang(2, 2_000));
        scenario.run(3_000);
        assertThat(scenario.starts("gang.0.0.0")).isEqualTo(0);
        scenario.run(2_000);
        assertThat(scenario.starts("gang.0.0.0")).isEqualTo(1);
    }
}
