package org.teaselwood.bench.policy;

import org.teaselwood.model.Template;

/**
 * A class of work in the stream. Immutable.
 *
 * @param template template of the jobs
 * @param share share of the offered accelerator time, or of the number of jobs for work without accelerators
 * @param medianRunMilliseconds median of the log-normal run time
 * @param sigma standard deviation of the logarithm of the run time
 * @param longestRunMilliseconds upper bound of the run time
 * @param burst number of jobs in one burst
 */
record WorkClass(
        Template template,
        double share,
        long medianRunMilliseconds,
        double sigma,
        long longestRunMilliseconds,
        int burst) {
    /** Returns the number of accelerators of one job. */
    int accelerators() {
        return template.shape().totalAccelerators();
    }
}
