package org.teaselwood.bench.fuzz;

import java.util.Arrays;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.RandomDistribution;
import net.jqwik.api.Tuple;

/**
 * One step of a fuzzing run. Immutable.
 *
 * @param kind the kind of action
 * @param target selects the process, caller or data centre, modulo the number of candidates
 * @param amount selects a duration or a quantity, 0 to 999
 */
record Action(Kind kind, int target, int amount) {
    private static final int MAXIMUM_TARGET = 11;
    private static final int MAXIMUM_AMOUNT = 999;

    /** Kinds of actions, each with its relative frequency. */
    enum Kind {
        ADVANCE(14),
        SUBMIT(20),
        SUBMIT_BURST(2),
        SUBMIT_IN_BOTH_REGIONS(3),
        CANCEL(3),
        CANCEL_ALL(1),
        REPEAT_SUBMISSION(5),
        KILL_ENTRY(3),
        STOP_ENTRY(2),
        PAUSE_ENTRY(3),
        KILL_AGENT(3),
        STOP_AGENT(2),
        PAUSE_AGENT(3),
        KILL_VM(3),
        KILL_RACK(1),
        KILL_DATA_CENTRE(1),
        ISOLATE_DATA_CENTRE(2),
        CUT_ONE_WAY(2),
        CUT_BOTH_WAYS(2),
        SLOW_NETWORK(1),
        DUPLICATE_MESSAGES(2),
        STORE_DOWN(2),
        STORE_DOWN_FOR_ONE_REGION(1),
        STORE_SLOW(1),
        STORE_LOSES_REPLIES(2),
        WORKER_FAILS_EVERYTHING(1),
        DRAIN(2),
        UNDRAIN(2),
        RACE_CHANGES(2);

        private final int frequency;

        Kind(int frequency) {
            this.frequency = frequency;
        }
    }

    /** Returns a generator of sequences of 1 to {@code steps} actions. */
    static Arbitrary<List<Action>> sequences(int steps) {
        @SuppressWarnings({"unchecked", "rawtypes"})
        Tuple.Tuple2<Integer, Kind>[] frequencies = Arrays.stream(Kind.values())
                .map(kind -> Tuple.of(kind.frequency, kind))
                .toArray(Tuple.Tuple2[]::new);
        return Combinators.combine(
                        Arbitraries.frequency(frequencies),
                        Arbitraries.integers().between(0, MAXIMUM_TARGET),
                        Arbitraries.integers().between(0, MAXIMUM_AMOUNT))
                .as(Action::new)
                .list()
                .ofMinSize(1)
                .ofMaxSize(steps)
                .withSizeDistribution(RandomDistribution.uniform());
    }

    @Override
    public String toString() {
        return kind + "(" + target + ", " + amount + ")";
    }
}
