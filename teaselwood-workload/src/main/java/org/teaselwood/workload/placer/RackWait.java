package org.teaselwood.workload.placer;

/**
 * Decides how long a gang waits for one rack before it spreads over several. Stateless.
 *
 * <p>A gang that spreads runs several times as long, so that a wait up to the additional run time costs its caller at
 * most twice as much as the better choice. While most of the service is free, the wait is short: only a few long tasks
 * on every rack keep the gang waiting, and nothing indicates that they end soon. It is also short for a gang within its
 * team's guarantee and for a long-running gang, which have to start within a few seconds.
 */
final class RackWait {
    /** Run time of a gang that is spread over racks, relative to its run time in one rack. */
    private static final int SPREAD_SLOWDOWN = 3;

    /** Longest wait while most of the service is free and for a gang that has to start soon at any time. */
    private static final long MAXIMUM_SHORT_WAIT_MILLISECONDS = 1_500;

    private RackWait() {}

    /**
     * Returns whether a gang that fits in no rack now may spread over racks.
     *
     * @param waitedMilliseconds time for which the gang has been ready
     * @param expectedMilliseconds expected run time in one rack
     * @param mustStartSoon whether most of the service is free, or the gang is within a guarantee or long-running
     */
    static boolean isOver(long waitedMilliseconds, double expectedMilliseconds, boolean mustStartSoon) {
        return waitedMilliseconds >= (SPREAD_SLOWDOWN - 1) * expectedMilliseconds
                || mustStartSoon && waitedMilliseconds >= MAXIMUM_SHORT_WAIT_MILLISECONDS;
    }
}
