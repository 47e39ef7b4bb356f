package org.teaselwood.bench.policy;

import org.teaselwood.policy.JobRequest;

/**
 * A job of the stream with properties that are known only to the simulated workers. Immutable.
 *
 * @param request the request that the policy receives
 * @param runMilliseconds run time on a server of speed 1
 * @param cancelMilliseconds time at which the caller cancels the job, or {@link Long#MAX_VALUE} for never
 * @param failsAlways whether every attempt fails
 * @param failsFirst whether the first attempt fails halfway
 * @param overuses whether the job uses more resources than declared until it is throttled
 */
record SimulatedJob(
        JobRequest request,
        long runMilliseconds,
        long cancelMilliseconds,
        boolean failsAlways,
        boolean failsFirst,
        boolean overuses) {}
