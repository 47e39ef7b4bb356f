package org.teaselwood.workload.placer;

import static com.google.common.truth.Truth.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

/** Guards against a step that waits without a log line that says why, and against one line per pass. */
final class WaitingStepLogTest {
    private final Logger logger = (Logger) LoggerFactory.getLogger(WaitingStepLog.class);
    private final ListAppender<ILoggingEvent> appender = new ListAppender<>();
    private final PlacerScenario scenario = new PlacerScenario();

    @BeforeEach
    void captureLines() {
        appender.start();
        logger.setLevel(Level.INFO);
        logger.addAppender(appender);
    }

    @AfterEach
    void releaseLines() {
        logger.detachAppender(appender);
        logger.setLevel(null);
    }

    private List<String> lines() {
        return appender.list.stream().map(ILoggingEvent::getFormattedMessage).toList();
    }

    @Test
    void a_step_that_fits_on_no_server_is_logged_after_two_seconds_and_every_ten() {
        scenario.server("s1", "r1");
        scenario.submit("job", "normal", PlacerScenario.step(1, 9));
        scenario.run(1_900);
        assertThat(lines()).isEmpty();
        scenario.run(21_000);
        assertThat(lines()).hasSize(3);
        assertThat(lines().getFirst()).contains("step job.0.0 has been ready for");
        assertThat(lines().getFirst()).contains("eligible=1 quarantined=0 free=0");
    }

    @Test
    void a_backlog_of_many_steps_is_logged_in_a_bounded_number_of_lines() {
        scenario.server("s1", "r1");
        for (int job = 0; job < 100; job++) {
            scenario.submit("job" + job, "normal", PlacerScenario.step(1, 9));
        }
        scenario.run(5_000);
        assertThat(lines().size()).isGreaterThan(9);
        assertThat(lines().size()).isLessThan(17);
    }
}
