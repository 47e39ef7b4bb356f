package org.teaselwood.workload.placer;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.teaselwood.protocol.message.WorkMessage.EndKind;
import org.teaselwood.workload.model.Resources;
import org.teaselwood.workload.record.JobPhase;

/**
 * Guards against a stack overflow of the placer when it stops a wide gang. The scenarios run with the stack size of the
 * deployed programs.
 */
final class WideGangTest {
    private static final int MEMBERS = 2_000;
    private static final int SERVERS = 22;
    private static final long STACK_BYTES = 256 * 1024;
    private static final String FIRST = "gang.0.0.0";

    private final PlacerScenario scenario = new PlacerScenario();

    @BeforeEach
    void connectServers() {
        for (int number = 0; number < SERVERS; number++) {
            scenario.server("s" + (10 + number), "r1");
        }
    }

    @Test
    void a_running_gang_is_cancelled() throws Exception {
        onSmallStack(() -> {
            startGang(1_000);
            scenario.placer.jobCancelled("gang", scenario.now);
            scenario.run(1_500);
            assertThat(scenario.phase("gang")).isEqualTo(JobPhase.CANCELLED);
            assertThat(scenario.runningTasks()).isEqualTo(0);
            assertLaterJobCompletes();
        });
    }

    @Test
    void a_gang_whose_starts_are_being_stored_is_cancelled() throws Exception {
        onSmallStack(() -> {
            scenario.writeLatencyMilliseconds = 700;
            startGang(300);
            scenario.placer.jobCancelled("gang", scenario.now);
            scenario.run(1_500);
            scenario.writeLatencyMilliseconds = 0;
            assertThat(scenario.phase("gang")).isEqualTo(JobPhase.CANCELLED);
            assertThat(scenario.runningTasks()).isEqualTo(0);
            assertLaterJobCompletes();
        });
    }

    @Test
    void a_gang_with_a_failed_member_is_stopped_and_started_again() throws Exception {
        onSmallStack(() -> {
            scenario.servers.values().forEach(server -> server.endKinds.put(FIRST, EndKind.FAILED));
            scenario.workMilliseconds.put(FIRST, 500L);
            startGang(2_500);
            assertThat(scenario.starts(FIRST)).isAtLeast(2);
        });
    }

    @Test
    void a_gang_that_has_lost_a_server_is_stopped_and_started_again() throws Exception {
        onSmallStack(() -> {
            startGang(1_000);
            FakeServer first = scenario.servers.get("s10");
            scenario.placer.serverLeft(
                    first.connection, first.description.server(), first.description.incarnation(), scenario.now);
            scenario.run(2_000);
            assertThat(scenario.starts(FIRST)).isAtLeast(2);
        });
    }

    private void startGang(long milliseconds) {
        for (int member = 0; member < MEMBERS; member++) {
            scenario.workMilliseconds.putIfAbsent("gang.0.0." + member, 60_000L);
        }
        scenario.submit(
                "gang",
                "normal",
                PlacerScenario.step(
                        MEMBERS,
                        new Resources(100, 100, 0),
                        60_000,
                        List.of(),
                        true,
                        false,
                        PlacerScenario.Sharing.NONE));
        scenario.run(milliseconds);
    }

    private void assertLaterJobCompletes() {
        scenario.submit("later", "normal", PlacerScenario.step(1, 1));
        scenario.run(3_000);
        assertThat(scenario.phase("later")).isEqualTo(JobPhase.COMPLETED);
    }

    private static void onSmallStack(Runnable action) throws Exception {
        FutureTask<Void> task = new FutureTask<>(action, null);
        Thread thread = new Thread(null, task, "placer", STACK_BYTES);
        thread.start();
        try {
            task.get();
        } catch (ExecutionException exception) {
            throw new AssertionError("the scenario failed", exception.getCause());
        }
    }
}
