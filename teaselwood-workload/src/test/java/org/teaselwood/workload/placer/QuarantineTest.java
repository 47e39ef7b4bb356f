package org.teaselwood.workload.placer;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.teaselwood.protocol.message.WorkMessage.EndKind;
import org.teaselwood.workload.record.JobPhase;

/** Guards against sound tasks that wait for the quarantine of their servers to end while these are idle. */
final class QuarantineTest {
    /** Time after which the users count a task that could run as lost is three seconds; this leaves a second. */
    private static final long LONGEST_WAIT_MILLISECONDS = 2_000;

    private final PlacerScenario scenario = new PlacerScenario();

    private void submitWithEnd(String job, EndKind end) {
        scenario.workMilliseconds.put(job + ".0.0.0", 100L);
        scenario.submit(job, "normal", PlacerScenario.step(1, 1));
        scenario.servers.values().forEach(server -> server.endKinds.put(job + ".0.0.0", end));
    }

    private void submitHopeless(int count) {
        IntStream.range(0, count).forEach(job -> submitWithEnd("hopeless" + job, EndKind.FAILED));
    }

    @Test
    void a_sound_task_does_not_wait_after_hopeless_jobs_have_failed_on_every_server() {
        List.of("s1", "s2", "s3").forEach(id -> scenario.server(id, "r1"));
        submitHopeless(12);
        scenario.run(1_000);
        submitWithEnd("sound", EndKind.DONE);
        scenario.run(LONGEST_WAIT_MILLISECONDS);
        assertThat(scenario.starts("sound.0.0.0")).isEqualTo(1);
    }

    @Test
    void a_gang_does_not_wait_after_hopeless_jobs_have_failed_on_every_server() {
        List.of("s1", "s2", "s3").forEach(id -> scenario.server(id, "r1"));
        submitHopeless(12);
        scenario.run(1_000);
        scenario.submit("gang", "normal", PlacerScenario.gang(2, 8));
        scenario.run(LONGEST_WAIT_MILLISECONDS);
        assertThat(scenario.starts("gang.0.0.0")).isEqualTo(1);
    }

    @Test
    void hopeless_jobs_do_not_put_servers_into_quarantine_by_their_second_attempts() {
        List.of("s1", "s2", "s3").forEach(id -> scenario.server(id, "r1"));
        submitHopeless(3);
        scenario.run(1_500);
        assertThat(scenario.phase("hopeless1")).isEqualTo(JobPhase.FAILED);
        FakeServer fourth = scenario.server("s4", "r1");
        scenario.run(300);
        IntStream.range(0, 3).forEach(job -> scenario.submit("sound" + job, "normal", PlacerScenario.step(1, 8)));
        scenario.run(300);
        assertThat(scenario.runningTasks()).isEqualTo(3);
        assertThat(fourth.starts.size()).isAtMost(1);
    }

    @Test
    void a_task_does_not_wait_for_a_busy_server_while_servers_in_quarantine_are_idle() {
        FakeServer busy = scenario.server("busy", "r1");
        scenario.workMilliseconds.put("long.0.0.0", 60_000L);
        scenario.submit("long", "normal", PlacerScenario.step(1, 8));
        scenario.run(300);
        assertThat(busy.running).hasSize(1);
        List.of("s1", "s2", "s3").forEach(id -> scenario.server(id, "r1"));
        submitHopeless(12);
        scenario.run(1_500);
        submitWithEnd("sound", EndKind.DONE);
        scenario.run(LONGEST_WAIT_MILLISECONDS);
        assertThat(scenario.starts("sound.0.0.0")).isEqualTo(1);
    }

    @Test
    void a_task_waits_shortly_for_a_busy_server_rather_than_run_where_every_task_fails() {
        FakeServer failing = scenario.server("failing", "r1");
        failing.endKind = EndKind.FAILED;
        IntStream.range(0, 4).forEach(job -> {
            scenario.workMilliseconds.put("job" + job + ".0.0.0", 100L);
            scenario.submit("job" + job, "normal", PlacerScenario.step(1, 1));
        });
        scenario.run(200);
        scenario.server("busy", "r1");
        scenario.run(200);
        int failures = failing.starts.size();
        scenario.submit("filling", "normal", PlacerScenario.step(1, 8));
        scenario.run(200);
        scenario.submit("late", "normal", PlacerScenario.step(1, 1));
        scenario.run(3_000);
        assertThat(failing.starts).hasSize(failures);
        assertThat(scenario.phase("late")).isEqualTo(JobPhase.COMPLETED);
        IntStream.range(0, 4)
                .forEach(job -> assertThat(scenario.phase("job" + job)).isEqualTo(JobPhase.COMPLETED));
    }
}
