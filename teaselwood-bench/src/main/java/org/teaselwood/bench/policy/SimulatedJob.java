package org.teaselwood.bench.policy;

import org.teaselwood.policy.JobRequest;

/**
 * One job of the stream, with what only the simulated workers know. Immutable.
 *
 * @param request what the policy is told
 * @param runMilliseconds run time on a server of speed 1
 * @param cancelMilliseconds when its caller cancels it, {@link Long#MAX_VALUE} for never
 * @param failsAlways whether every attempt fails
 * @param failsFirst whether the first attempt fails half-way
 * @param overuses whether it uses more than it declared until it is throttled
 */
record SimulatedJob(
        JobRequest request,
        long runMilliseconds,
        long cancelMilliseconds,
        boolean failsAlways,
        boolean failsFirst,
        boolean overuses) {}
