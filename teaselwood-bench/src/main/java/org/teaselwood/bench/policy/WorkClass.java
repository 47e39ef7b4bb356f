package org.teaselwood.bench.policy;

import org.teaselwood.model.Template;

/**
 * One kind of work in the stream. Immutable.
 *
 * @param template what the work takes
 * @param share part of the offered accelerator time, or of the jobs for work without accelerators
 * @param medianRunMilliseconds median of the log-normal run time
 * @param sigma spread of the logarithm of the run time
 * @param longestRunMilliseconds where the run time is cut off
 * @param burst jobs that arrive together in one burst
 */
record WorkClass(
        Template template,
        double share,
        long medianRunMilliseconds,
        double sigma,
        long longestRunMilliseconds,
        int burst) {
    /** Accelerators of one job. */
    int accelerators() {
        return template.shape().totalAccelerators();
    }
}
