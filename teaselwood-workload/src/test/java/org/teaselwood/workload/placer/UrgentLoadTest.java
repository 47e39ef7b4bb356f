package org.teaselwood.workload.placer;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.teaselwood.workload.model.JobSpecification;
import org.teaselwood.workload.model.Resources;
import org.teaselwood.workload.model.StepSpecification;
import org.teaselwood.workload.record.JobPhase;

/**
 * Plays a full deployment on which urgent jobs beyond the guarantees arrive, and checks what their callers get. Guards
 * against urgent jobs that wait past their objective and then preempt other work all the same.
 *
 * <p>The load: batch tasks of ten seconds without checkpoints occupy all accelerators of eight backend servers; every
 * two and a half seconds an urgent job arrives that needs three whole servers for one to three seconds, and submitters
 * misjudge its run time by up to a factor of two either way.
 */
final class UrgentLoadTest {
    private static final int SERVERS = 8;
    private static final long STEP_MILLISECONDS = 100;

    /** Time in which batch work fills the servers before the first urgent job. */
    private static final long FILLING_MILLISECONDS = 10_000;

    private static final long LOAD_MILLISECONDS = 60_000;

    /** Time after the last submission in which the remaining urgent jobs may end. */
    private static final long SETTLING_MILLISECONDS = 10_000;

    private static final long URGENT_INTERVAL_MILLISECONDS = 2_500;
    private static final long BATCH_INTERVAL_MILLISECONDS = 1_000;
    private static final int URGENT_TASKS = 3;
    private static final double URGENT_STRETCH = 1.5;
    private static final long URGENT_OBJECTIVE_MILLISECONDS = 250;

    /** Share of the urgent jobs that must meet their objective: the target for days with trouble. */
    private static final double PUNCTUAL_SHARE = 0.8;

    private final PlacerScenario scenario = new PlacerScenario();
    private final Map<String, Long> submittedAt = new HashMap<>();
    private final Map<String, Long> objective = new HashMap<>();
    private final List<String> punctual = new ArrayList<>();

    private void submitBatch(int number, Random random) {
        String id = "batch" + number;
        int tasks = 4 + random.nextInt(5);
        for (int index = 0; index < tasks; index++) {
            scenario.workMilliseconds.put(id + ".0.0." + index, 8_000L + random.nextInt(4_000));
        }
        scenario.submit(
                new JobSpecification(id, "batch", "other", "payload", List.of(step(tasks, 1, 10_000, false)), 0, 0, 0));
    }

    private void submitUrgent(int number, Random random) {
        String id = "urgent" + number;
        long work = 1_000 + random.nextInt(2_000);
        for (int index = 0; index < URGENT_TASKS; index++) {
            scenario.workMilliseconds.put(id + ".0.0." + index, work);
        }
        long estimate = Math.round(work * Math.pow(2, random.nextDouble(-1, 1)));
        submittedAt.put(id, scenario.now);
        objective.put(id, Math.round(work * URGENT_STRETCH) + URGENT_OBJECTIVE_MILLISECONDS);
        scenario.submit(new JobSpecification(
                id, "urgent", "other", "payload", List.of(step(URGENT_TASKS, 8, estimate, true)), 0, 0, 0));
    }

    private static StepSpecification step(int count, int accelerators, long estimateMilliseconds, boolean gang) {
        return PlacerScenario.step(
                count,
                new Resources(2_000, 2_000, accelerators),
                estimateMilliseconds,
                List.of(),
                gang,
                false,
                PlacerScenario.Sharing.NONE);
    }

    private void notePunctualJobs() {
        submittedAt.entrySet().removeIf(job -> {
            boolean completed = scenario.phase(job.getKey()) == JobPhase.COMPLETED;
            if (completed && scenario.now - job.getValue() <= objective.get(job.getKey())) {
                punctual.add(job.getKey());
            }
            return completed;
        });
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void urgent_jobs_beyond_the_guarantee_meet_their_objective_on_a_full_deployment(long seed) {
        Random random = new Random(seed);
        for (int server = 0; server < SERVERS; server++) {
            scenario.server("s" + server, "r" + server / 4);
        }
        int urgent = 0;
        int batch = 0;
        for (long at = 0; at < LOAD_MILLISECONDS + SETTLING_MILLISECONDS; at += STEP_MILLISECONDS) {
            if (at < LOAD_MILLISECONDS && at % BATCH_INTERVAL_MILLISECONDS == 0) {
                submitBatch(batch++, random);
            }
            if (at >= FILLING_MILLISECONDS && at < LOAD_MILLISECONDS && at % URGENT_INTERVAL_MILLISECONDS == 0) {
                submitUrgent(urgent++, random);
            }
            scenario.run(STEP_MILLISECONDS);
            notePunctualJobs();
        }
        assertWithMessage("punctual urgent jobs of %s", urgent)
                .that((double) punctual.size() / urgent)
                .isAtLeast(PUNCTUAL_SHARE);
    }
}
