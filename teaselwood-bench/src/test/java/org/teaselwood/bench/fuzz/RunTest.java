package org.teaselwood.bench.fuzz;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.LongStream;
import net.jqwik.api.sessions.JqwikSession;
import org.junit.jupiter.api.Test;
import org.teaselwood.policy.GuaranteeScheduler;

/** Executes a fixed set of seeds, so that a change that violates a property fails before it is merged. */
class RunTest {
    private static final long FIRST_SEED = 1;
    private static final int SEEDS = 16;
    private static final int STEPS = 120;
    private static final int THREADS = 4;
    private static final int GENERATION_SIZE = 1_000;

    /** Guards against changes that violate a property under faults. */
    @Test
    void a_fixed_set_of_seeds_keeps_every_promise() throws Exception {
        List<List<Action>> sequences = new ArrayList<>();
        LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS).forEach(seed -> sequences.add(sequence(seed)));
        try (ExecutorService executor = Executors.newFixedThreadPool(THREADS)) {
            List<Future<List<String>>> runs = new ArrayList<>();
            for (int index = 0; index < SEEDS; index++) {
                long seed = FIRST_SEED + index;
                List<Action> actions = sequences.get(index);
                runs.add(executor.submit(() -> run(seed, false).execute(actions)));
            }
            for (int index = 0; index < SEEDS; index++) {
                assertWithMessage("seed " + (FIRST_SEED + index))
                        .that(runs.get(index).get())
                        .isEmpty();
            }
        }
    }

    /** Guards against cores or fakes that depend on anything but the seed, which would make failures irreproducible. */
    @Test
    void the_same_seed_gives_the_same_trace() {
        List<Action> actions = sequence(FIRST_SEED);
        Run first = run(FIRST_SEED, true);
        first.execute(actions);
        Run second = run(FIRST_SEED, true);
        second.execute(sequence(FIRST_SEED));
        assertThat(first.traceLines()).isNotEmpty();
        assertThat(second.traceLines()).isEqualTo(first.traceLines());
    }

    private static Run run(long seed, boolean tracing) {
        return new Run(seed, GuaranteeScheduler::new, tracing);
    }

    private static List<Action> sequence(long seed) {
        List<Action> actions = new ArrayList<>();
        JqwikSession.run(() -> actions.addAll(Action.sequences(STEPS)
                .generator(GENERATION_SIZE)
                .next(new Random(seed))
                .value()));
        return actions;
    }
}
