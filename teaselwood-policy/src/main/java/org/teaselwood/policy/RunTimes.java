package org.teaselwood.policy;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import org.teaselwood.model.Template;

/**
 * Learned distributions of run times per team and template. Mutable, confined to its scheduler's thread.
 *
 * <p>Each distribution is a histogram with {@value #BUCKETS_PER_OCTAVE} buckets per power of two. Old samples decay:
 * all counts are halved when their sum reaches {@value #DECAY_THRESHOLD}. The weight of the declared run time is
 * {@value #DECLARED_WEIGHT} samples, spread over a factor of 16 because declarations are inaccurate by about that much;
 * the run times of a few finished jobs outweigh it. A team without samples starts from the distribution of all teams.
 */
final class RunTimes {
    private static final int BUCKETS_PER_OCTAVE = 2;
    private static final int BUCKETS = 72;
    private static final double DECAY_THRESHOLD = 400;
    private static final double DECLARED_WEIGHT = 2;
    /** Weight of the samples of all teams in the distribution of one team, until its own samples outnumber them. */
    private static final double SHARED_WEIGHT = 4;

    private final Map<Key, Samples> samples = new HashMap<>();

    /** Records the run time of a finished job. */
    void record(String team, Template template, long milliseconds) {
        samplesOf(team, template).add(milliseconds);
        samplesOf("", template).add(milliseconds);
    }

    /** Returns a quantile of the run time in milliseconds. */
    long quantile(String team, Template template, double quantile) {
        return remaining(team, template, 0, quantile);
    }

    /** Returns a quantile of the remaining run time in milliseconds of a job that has already run for some time. */
    long remaining(String team, Template template, long elapsedMilliseconds, double quantile) {
        double[] mixture = mixture(team, template);
        int from = elapsedMilliseconds <= 0 ? 0 : bucket(elapsedMilliseconds);
        double total = 0;
        for (int index = from; index < BUCKETS; index++) {
            total += mixture[index];
        }
        if (total <= 0) {
            // Longer than all samples: with a heavy tail, the elapsed time is the best estimate of the remaining time.
            return elapsedMilliseconds;
        }
        double sum = 0;
        int index = from;
        while (index < BUCKETS - 1 && sum + mixture[index] < quantile * total) {
            sum += mixture[index];
            index++;
        }
        return Math.max(1, midpoint(index) - elapsedMilliseconds);
    }

    private double[] mixture(String team, Template template) {
        Samples own = samplesOf(team, template);
        if (own.mixture != null) {
            return own.mixture;
        }
        Samples shared = samplesOf("", template);
        double[] mixture = own.counts.clone();
        int declared = bucket(template.declaredRunMilliseconds());
        int spread = 2 * BUCKETS_PER_OCTAVE;
        for (int offset = -spread; offset <= spread; offset++) {
            mixture[Math.clamp(declared + offset, 0, BUCKETS - 1)] += DECLARED_WEIGHT / (2 * spread + 1);
        }
        double scale = shared.total <= 0 ? 0 : Math.min(SHARED_WEIGHT, shared.total) / shared.total;
        for (int index = 0; index < BUCKETS; index++) {
            mixture[index] += shared.counts[index] * scale;
        }
        own.mixture = mixture;
        return mixture;
    }

    private Samples samplesOf(String team, Template template) {
        return samples.computeIfAbsent(new Key(team, template.name()), key -> new Samples());
    }

    private static int bucket(long milliseconds) {
        double octaves = Math.log(Math.max(1, milliseconds)) / Math.log(2);
        return Math.clamp((int) (octaves * BUCKETS_PER_OCTAVE), 0, BUCKETS - 1);
    }

    private static long midpoint(int bucket) {
        return (long) Math.pow(2, (bucket + 0.5) / BUCKETS_PER_OCTAVE);
    }

    private record Key(String team, String template) {}

    /** Decayed counts of samples, with the cached mixture that is valid until the next sample. */
    private static final class Samples {
        private final double[] counts = new double[BUCKETS];
        private double total;
        private double[] mixture;

        void add(long milliseconds) {
            counts[bucket(milliseconds)]++;
            total++;
            mixture = null;
            if (total >= DECAY_THRESHOLD) {
                Arrays.setAll(counts, index -> counts[index] / 2);
                total /= 2;
            }
        }
    }
}
