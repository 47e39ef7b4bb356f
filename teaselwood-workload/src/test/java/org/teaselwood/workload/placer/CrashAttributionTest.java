package org.teaselwood.workload.placer;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.teaselwood.workload.record.JobPhase;

/** Guards the limit on starts after crashes, and sound tasks against waits and failures that it must not cause. */
final class CrashAttributionTest {
    private static final String TASK = "job.0.0.0";

    /** Largest number of starts by the users' rule: three crashes and three further starts. */
    private static final int MAXIMUM_STARTS = 6;

    private static final long SLICE_MILLISECONDS = 100;

    private final PlacerScenario scenario = new PlacerScenario();
    private final Map<String, JobPhase> ends = new HashMap<>();

    private void submit(int tasks, long workMilliseconds) {
        IntStream.range(0, tasks).forEach(index -> scenario.workMilliseconds.put("job.0.0." + index, workMilliseconds));
        scenario.submit("job", "normal", PlacerScenario.step(tasks, 1));
    }

    private void addServers(int count) {
        IntStream.range(0, count).forEach(index -> scenario.server("s" + index, "r" + index));
    }

    /** Runs the scenario and notes how jobs end, because their records are removed after some time. */
    private void run(long milliseconds) {
        for (long passed = 0; passed < milliseconds; passed += SLICE_MILLISECONDS) {
            scenario.run(SLICE_MILLISECONDS);
            scenario.store.keySet().stream()
                    .filter(job -> scenario.phase(job).isFinal())
                    .forEach(job -> ends.put(job, scenario.phase(job)));
        }
    }

    private FakeServer busyServer() {
        return scenario.servers.values().stream()
                .filter(server -> !server.running.isEmpty())
                .findFirst()
                .orElseThrow();
    }

    private void disconnect(FakeServer server) {
        server.connected = false;
        server.dropConnection(scenario.placer);
    }

    @Test
    void a_job_that_no_server_has_started_is_not_given_up() {
        addServers(6);
        run(1_000);
        scenario.servers.get("s0").crash(scenario.now);
        submit(1, 2_000);
        run(2_900);
        scenario.servers.get("s1").crash(scenario.now);
        run(2_900);
        scenario.servers.get("s2").crash(scenario.now);
        run(10_000);
        assertThat(scenario.crashed).hasSize(3);
        assertThat(ends.get("job")).isEqualTo(JobPhase.COMPLETED);
    }

    @Test
    void the_tasks_of_a_step_do_not_wait_until_a_probe_without_contact_is_lost() {
        addServers(6);
        submit(2, 20_000);
        run(500);
        assertThat(busyServer().running).hasSize(2);
        busyServer().crash(scenario.now);
        run(3_300);
        assertThat(scenario.runningTasks()).isEqualTo(1);
        disconnect(busyServer());
        long waited = 0;
        while (scenario.runningTasks() < 2 && waited < 15_000) {
            run(SLICE_MILLISECONDS);
            waited += SLICE_MILLISECONDS;
        }
        assertWithMessage("wait in milliseconds").that(waited).isLessThan(3_000L);
    }

    @Test
    void a_task_that_crashes_its_servers_three_seconds_after_the_start_is_not_started_without_limit() {
        addServers(6);
        scenario.deadlyTasks.add(TASK);
        submit(1, 10_000);
        for (int slice = 0; slice < 800; slice++) {
            scenario.servers.values().forEach(server -> server.crashDelayMilliseconds = 3_000);
            run(SLICE_MILLISECONDS);
        }
        assertThat(scenario.starts(TASK)).isAtMost(MAXIMUM_STARTS);
    }

    @Test
    void a_task_whose_servers_crash_while_their_agents_have_no_contact_is_not_started_without_limit() {
        addServers(6);
        scenario.deadlyTasks.add(TASK);
        scenario.restartMilliseconds = 15_000;
        submit(1, 10_000);
        for (int slice = 0; slice < 1_500; slice++) {
            scenario.servers.values().stream()
                    .filter(server -> server.isCrashed() && server.connected)
                    .toList()
                    .forEach(this::disconnect);
            run(SLICE_MILLISECONDS);
        }
        assertThat(scenario.starts(TASK)).isAtMost(MAXIMUM_STARTS);
    }

    @Test
    void a_task_whose_servers_are_reported_as_gone_to_a_new_placer_is_not_started_without_limit() {
        addServers(6);
        scenario.deadlyTasks.add(TASK);
        scenario.restartMilliseconds = 15_000;
        submit(1, 10_000);
        Set<FakeServer> reported = new HashSet<>();
        for (int slice = 0; slice < 2_000; slice++) {
            for (FakeServer server : List.copyOf(scenario.servers.values())) {
                long sinceCrash = server.isCrashed() ? scenario.now - server.crashedAt : 0;
                if (sinceCrash >= 9_600 && reported.add(server)) {
                    server.connected = true;
                    scenario.elect();
                } else if (sinceCrash >= 7_000 && server.connected && !reported.contains(server)) {
                    disconnect(server);
                }
            }
            run(SLICE_MILLISECONDS);
        }
        assertThat(scenario.starts(TASK)).isAtMost(MAXIMUM_STARTS);
    }
}
