package org.teaselwood.workload.placer;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.teaselwood.protocol.message.WorkMessage.EndKind;
import org.teaselwood.workload.model.StepSpecification;
import org.teaselwood.workload.record.JobPhase;

/**
 * Guards jobs against ends of runs that a backend server reports again or late, because an acknowledgement was lost or
 * the server could not be reached.
 */
final class EarlierEndsTest {
    private final PlacerScenario scenario = new PlacerScenario();
    private FakeServer server;

    @BeforeEach
    void addServer() {
        server = scenario.server("s1", "r1");
    }

    /** Lets the first attempt fail and the second one run without an acknowledgement of the failure. */
    private void failOnceWithoutAcknowledgement(StepSpecification step) {
        server.endKind = EndKind.FAILED;
        server.losesAcknowledgements = true;
        scenario.workMilliseconds.put("job.0.0.0", 6_000L);
        scenario.workMilliseconds.put("job.0.0.1", 6_000L);
        scenario.submit("job", "normal", step);
        scenario.run(6_300);
        assertThat(server.failures).isNotEmpty();
        server.endKind = EndKind.DONE;
    }

    private void electTwice() {
        for (int election = 0; election < 2; election++) {
            scenario.elect();
            scenario.run(1_000);
        }
    }

    @Test
    void a_failure_that_is_reported_to_three_placers_counts_as_one_attempt() {
        failOnceWithoutAcknowledgement(PlacerScenario.step(1, 1));
        electTwice();
        scenario.run(8_000);
        assertThat(scenario.phase("job")).isEqualTo(JobPhase.COMPLETED);
    }

    @Test
    void a_failure_in_a_gang_that_is_reported_to_three_placers_counts_as_one_attempt() {
        failOnceWithoutAcknowledgement(PlacerScenario.gang(2, 1));
        electTwice();
        scenario.run(20_000);
        assertThat(scenario.phase("job")).isEqualTo(JobPhase.COMPLETED);
    }

    @Test
    void a_failure_that_a_lost_server_reports_again_when_it_is_back_counts_as_one_attempt() {
        failOnceWithoutAcknowledgement(PlacerScenario.step(1, 1));
        for (int loss = 0; loss < 2; loss++) {
            server.connected = false;
            server.dropConnection(scenario.placer);
            server.expireLease();
            scenario.run(PlacerScenario.TIMINGS.lostAfterMilliseconds() + 200);
            server.connected = true;
            scenario.connect(server);
            scenario.run(1_000);
        }
        scenario.run(8_000);
        assertThat(scenario.phase("job")).isEqualTo(JobPhase.COMPLETED);
    }

    /** Starts a gang on two servers and a second attempt of it while the first server cannot be reached. */
    private void startSecondAttemptOfGang() {
        scenario.server("s2", "r1");
        scenario.workMilliseconds.put("job.0.0.0", 20_000L);
        scenario.workMilliseconds.put("job.0.0.1", 20_000L);
        scenario.submit("job", "normal", PlacerScenario.gang(2, 8));
        scenario.run(1_000);
        scenario.server("s3", "r1");
        server.connected = false;
        server.dropConnection(scenario.placer);
        server.expireLease();
        scenario.run(PlacerScenario.TIMINGS.lostAfterMilliseconds() + 1_000);
        assertThat(scenario.servers.get("s3").running).hasSize(1);
    }

    @ParameterizedTest
    @EnumSource(names = {"LAPSED", "BROKEN", "STOPPED", "FAILED"})
    void the_end_of_an_earlier_attempt_does_not_stop_the_current_run_of_a_gang(EndKind kind) {
        server.expiryKind = kind;
        startSecondAttemptOfGang();
        server.connected = true;
        scenario.connect(server);
        scenario.run(2_000);
        assertThat(server.ended).isEmpty();
        assertThat(scenario.servers.get("s3").stopped).isEmpty();
        scenario.run(20_000);
        assertThat(scenario.phase("job")).isEqualTo(JobPhase.COMPLETED);
        assertThat(scenario.starts("job.0.0.1")).isEqualTo(2);
    }
}
