package org.teaselwood.workload.placer;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.teaselwood.protocol.message.WorkMessage;
import org.teaselwood.protocol.message.WorkMessage.EndKind;
import org.teaselwood.protocol.message.WorkMessage.OrderOutcome;
import org.teaselwood.workload.record.JobPhase;

/**
 * Guards what callers are promised while backend servers misbehave: jobs that can be done are completed, a task runs
 * once at a time, and a finished task is not run again.
 */
final class ServerTroubleTest {
    private static final long TASK_MILLISECONDS = 2_000;

    private final PlacerScenario scenario = new PlacerScenario();

    private void submit(String job, int tasks) {
        IntStream.range(0, tasks)
                .forEach(index -> scenario.workMilliseconds.put(job + ".0.0." + index, TASK_MILLISECONDS));
        scenario.submit(job, "normal", PlacerScenario.step(tasks, 2));
    }

    @Test
    void a_server_that_reports_good_health_and_fails_everything_does_not_fail_jobs_that_can_run_elsewhere() {
        scenario.server("s1", "r1").endKind = EndKind.FAILED;
        scenario.server("s2", "r1");
        List<String> jobs = IntStream.range(0, 6).mapToObj(job -> "job" + job).toList();
        jobs.forEach(job -> submit(job, 1));
        scenario.run(30_000);
        jobs.forEach(job -> assertThat(scenario.phase(job)).isEqualTo(JobPhase.COMPLETED));
    }

    @Test
    void a_task_on_a_server_that_goes_down_and_up_by_turns_is_completed_elsewhere_and_runs_once_at_a_time() {
        FakeServer flapping = scenario.server("flapping-0", "vm", "r1");
        submit("job", 1);
        scenario.run(300);
        FakeServer steady = scenario.server("steady", "vm2", "r1");
        for (int life = 1; life <= 4; life++) {
            flapping.connected = false;
            flapping.running.clear();
            scenario.servers.remove(flapping.description.server());
            flapping = scenario.server("flapping-" + life, "vm", "r1");
            scenario.run(700);
            assertThat(scenario.runningTasks()).isAtMost(1);
        }
        scenario.run(4_000);
        assertThat(scenario.phase("job")).isEqualTo(JobPhase.COMPLETED);
        assertThat(steady.acknowledgedSuccesses.size() + flapping.acknowledgedSuccesses.size())
                .isEqualTo(1);
    }

    @Test
    void a_task_whose_start_was_carried_out_without_an_answer_runs_once() {
        scenario.server("s1", "r1").answersOrders = false;
        scenario.server("s2", "r1").answersOrders = false;
        submit("job", 2);
        scenario.run(6_000);
        assertThat(scenario.phase("job")).isEqualTo(JobPhase.COMPLETED);
        assertThat(scenario.starts("job.0.0.0")).isEqualTo(1);
        assertThat(scenario.starts("job.0.0.1")).isEqualTo(1);
    }

    @Test
    void a_task_of_a_server_that_is_taken_away_at_short_notice_is_run_once_more_elsewhere() {
        FakeServer leaving = scenario.server("s1", "r1");
        submit("job", 1);
        scenario.run(300);
        FakeServer staying = scenario.server("s2", "r1");
        leaving.draining = true;
        scenario.run(1_000);
        submit("late", 1);
        scenario.run(100);
        assertThat(leaving.starts).hasSize(1);
        leaving.running.clear();
        scenario.placer.serverLeft(leaving.connection, "s1", leaving.description.incarnation(), scenario.now);
        scenario.servers.remove("s1");
        scenario.run(4_000);
        assertThat(scenario.phase("job")).isEqualTo(JobPhase.COMPLETED);
        assertThat(scenario.phase("late")).isEqualTo(JobPhase.COMPLETED);
        assertThat(staying.starts).hasSize(2);
    }

    @Test
    void a_task_of_a_server_that_crashed_and_does_not_return_is_run_elsewhere_once_its_agent_reports_it_as_gone() {
        FakeServer crashed = scenario.server("s1", "r1");
        submit("job", 1);
        scenario.run(300);
        crashed.silent = true;
        FakeServer other = scenario.server("s2", "r1");
        scenario.run(9_000);
        assertThat(other.starts).isEmpty();
        crashed.running.clear();
        scenario.placer.serverLeft(crashed.connection, "s1", crashed.description.incarnation(), scenario.now);
        scenario.servers.remove("s1");
        scenario.run(3_000);
        assertThat(scenario.phase("job")).isEqualTo(JobPhase.COMPLETED);
        assertThat(other.starts).hasSize(1);
    }

    @Test
    void a_server_that_answers_after_it_was_reported_as_gone_gets_tasks_again_and_stops_what_it_still_runs() {
        FakeServer silent = scenario.server("s1", "r1");
        submit("job", 1);
        scenario.run(300);
        silent.silent = true;
        scenario.placer.serverLeft(silent.connection, "s1", silent.description.incarnation(), scenario.now);
        scenario.run(10);
        silent.silent = false;
        scenario.run(5_000);
        assertThat(scenario.phase("job")).isEqualTo(JobPhase.COMPLETED);
        assertThat(silent.starts).hasSize(2);
        assertThat(silent.stopped).contains("job.0.0.0");
    }

    @Test
    void a_late_notice_of_an_earlier_connection_does_not_end_the_runs_of_a_server_that_is_back() {
        FakeServer server = scenario.server("s1", "r1");
        AgentConnection earlier = server.connection;
        submit("job", 1);
        scenario.run(300);
        scenario.connect(server);
        scenario.run(100);
        scenario.placer.serverLeft(earlier, "s1", server.description.incarnation(), scenario.now);
        scenario.run(4_000);
        assertThat(scenario.phase("job")).isEqualTo(JobPhase.COMPLETED);
        assertThat(server.starts).hasSize(1);
    }

    @Test
    void an_incarnation_with_an_earlier_start_time_is_used_at_once_after_the_former_one_is_reported_as_gone() {
        FakeServer former = scenario.server("s1", "vm", "r1");
        submit("job", 1);
        scenario.run(300);
        scenario.placer.serverLeft(former.connection, "s1", former.description.incarnation(), scenario.now);
        scenario.servers.remove("s1");
        scenario.serverWithStartTime("s2", 1, "vm");
        scenario.run(4_000);
        assertThat(scenario.phase("job")).isEqualTo(JobPhase.COMPLETED);
    }

    @Test
    void an_incarnation_with_an_earlier_start_time_is_used_when_the_notice_of_the_former_one_was_lost() {
        scenario.server("s1", "vm", "r1");
        submit("job", 1);
        scenario.run(300);
        scenario.servers.remove("s1");
        scenario.serverWithStartTime("s2", 1, "vm");
        scenario.run(PlacerScenario.TIMINGS.lostAfterMilliseconds() + 4_000);
        assertThat(scenario.phase("job")).isEqualTo(JobPhase.COMPLETED);
    }

    @Test
    void a_job_that_can_never_be_done_fails_after_its_attempts_and_does_not_keep_others_from_running() {
        FakeServer failing = scenario.server("s1", "r1");
        failing.endKind = EndKind.FAILED;
        submit("hopeless", 1);
        scenario.run(8_000);
        failing.endKind = EndKind.DONE;
        submit("sound", 1);
        scenario.run(12_000);
        assertThat(scenario.phase("hopeless")).isEqualTo(JobPhase.FAILED);
        assertThat(scenario.starts("hopeless.0.0.0")).isEqualTo(3);
        assertThat(scenario.phase("sound")).isEqualTo(JobPhase.COMPLETED);
    }

    @Test
    void a_start_that_reaches_the_next_incarnation_under_the_same_identifier_does_not_run_beside_its_replacement() {
        FakeServer first = startOnCrashedServer();
        returnUnderSameIdentifier(first);
        assertRunsOnce();
    }

    @Test
    void a_start_that_the_next_incarnation_answers_before_its_first_heartbeat_does_not_run_beside_its_replacement() {
        FakeServer first = startOnCrashedServer();
        scenario.placer.orderAnswered(
                first.connection,
                new WorkMessage.OrderResult(
                        "s1", first.description.incarnation(), "job.0.0.0", 1, OrderOutcome.STARTED, 99),
                scenario.now);
        returnUnderSameIdentifier(first);
        assertRunsOnce();
    }

    private FakeServer startOnCrashedServer() {
        FakeServer first = scenario.server("s1", "vm", "r1");
        scenario.run(600);
        first.crash(scenario.now);
        scenario.run(20);
        submit("job", 1);
        scenario.run(100);
        return first;
    }

    /** Starts the next incarnation, which has already carried out the start of the first attempt. */
    private void returnUnderSameIdentifier(FakeServer first) {
        scenario.servers.remove("s1");
        FakeServer next = scenario.server("s1", "vm", "r1");
        next.agentIncarnation = first.agentIncarnation;
        next.running.put("job.0.0.0#1", scenario.now);
        scenario.server("s2", "vm2", "r1");
    }

    private void assertRunsOnce() {
        for (int slice = 0; slice < 400; slice++) {
            scenario.run(10);
            assertThat(scenario.runningTasks()).isAtMost(1);
        }
        assertThat(scenario.phase("job")).isEqualTo(JobPhase.COMPLETED);
    }
}
