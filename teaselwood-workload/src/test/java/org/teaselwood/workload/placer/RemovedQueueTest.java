package org.teaselwood.workload.placer;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.teaselwood.protocol.message.WorkMessage.EndKind;
import org.teaselwood.workload.model.AdviceSettings;
import org.teaselwood.workload.model.JobSpecification;
import org.teaselwood.workload.model.QueueSettings;
import org.teaselwood.workload.model.WorkloadConfiguration;
import org.teaselwood.workload.record.JobPhase;
import org.teaselwood.workload.record.WorkloadJson;

/** Guards against accepted jobs that never run because their queue left the configuration before they ended. */
final class RemovedQueueTest {
    private static final long COMPLETION_MILLISECONDS = 3_000;
    private static final QueueSettings FORMER =
            new QueueSettings("former", "service", 1, 3, 3, 1_000, Optional.empty());

    private final PlacerScenario scenario = new PlacerScenario();

    @Test
    void an_open_job_of_a_removed_queue_runs_under_a_new_placer() {
        scenario.configure(configuration(1, Map.of("former", FORMER)));
        submit("job");
        scenario.configure(configuration(2, Map.of()));
        scenario.elect();
        scenario.server("s1", "r1");
        scenario.run(COMPLETION_MILLISECONDS);
        assertThat(scenario.phase("job")).isEqualTo(JobPhase.COMPLETED);
    }

    @Test
    void a_job_that_reaches_the_placer_after_the_removal_of_its_queue_runs() {
        scenario.server("s1", "r1");
        scenario.configure(configuration(2, Map.of()));
        submit("job");
        scenario.run(COMPLETION_MILLISECONDS);
        assertThat(scenario.phase("job")).isEqualTo(JobPhase.COMPLETED);
    }

    @Test
    void a_job_of_a_removed_queue_fails_after_its_former_number_of_attempts() {
        FakeServer server = scenario.server("s1", "r1");
        server.endKind = EndKind.FAILED;
        scenario.configure(configuration(2, Map.of()));
        submit("job");
        scenario.run(20_000);
        assertThat(scenario.phase("job")).isEqualTo(JobPhase.FAILED);
        assertThat(scenario.starts("job.0.0.0")).isEqualTo(FORMER.maximumAttempts());
    }

    @Test
    void settings_of_the_newest_configuration_take_precedence_over_those_stored_with_the_job() {
        QueueSettings moved = new QueueSettings("former", "other-service", 1, 3, 3, 1_000, Optional.empty());
        scenario.server("s1", "r1");
        scenario.configure(configuration(2, Map.of("former", moved)));
        submit("job");
        scenario.run(COMPLETION_MILLISECONDS);
        assertThat(scenario.phase("job")).isEqualTo(JobPhase.QUEUED);
    }

    @Test
    void a_job_stored_without_settings_by_an_earlier_version_is_decoded() {
        JobSpecification job =
                new JobSpecification("job", "former", "team", "payload", List.of(PlacerScenario.step(1, 1)), 0, 0, 0);
        assertThat(WorkloadJson.decodeJob("job", WorkloadJson.encode(job))).isEqualTo(job);
    }

    @Test
    void stored_settings_of_a_queue_are_decoded() {
        QueueSettings settings =
                new QueueSettings("former", "service", 2, 4, 1.5, 250, Optional.of(new AdviceSettings(1, 2, 3)));
        JobSpecification job = job("job", settings);
        assertThat(WorkloadJson.decodeJob("job", WorkloadJson.encode(job))).isEqualTo(job);
    }

    private void submit(String id) {
        scenario.submit(job(id, FORMER));
    }

    private static JobSpecification job(String id, QueueSettings settings) {
        return new JobSpecification(
                id, "former", "team", "payload", List.of(PlacerScenario.step(1, 1)), 0, 0, 0, Optional.of(settings));
    }

    private static WorkloadConfiguration configuration(long version, Map<String, QueueSettings> queues) {
        return new WorkloadConfiguration(version, queues, Map.of());
    }
}
