package org.teaselwood.workload.model;

/**
 * Time limits of the deployment, in milliseconds. Immutable.
 *
 * @param maximumLeaseMilliseconds maximum lease that a backend server grants to its runs
 * @param gangWaitTimeoutMilliseconds time after which a member of a gang ends by itself if the other members do not
 *     arrive
 * @param stopTimeoutMilliseconds maximum time that a backend server takes to stop a task
 * @param statusRetentionMilliseconds minimum time for which the state of a finished job can be queried
 */
public record WorkloadTimings(
        long maximumLeaseMilliseconds,
        long gangWaitTimeoutMilliseconds,
        long stopTimeoutMilliseconds,
        long statusRetentionMilliseconds) {
    /** Time after the last contact with the placer for which an agent still renews leases. */
    public static final long CONTACT_TIMEOUT_MILLISECONDS = 2_000;

    /**
     * Duration of the election lease: four renewal intervals. It is short because the work of a lost placer waits until
     * the lease expires.
     */
    public static final long ELECTION_LEASE_MILLISECONDS = 2_000;

    /**
     * Time for which a placer that cannot renew its election continues to answer agents after its lease may have
     * expired, so that runs survive a typical outage of the store. Its successor waits longer by the same time before
     * it considers unresponsive agents lost.
     */
    public static final long RENEWAL_GRACE_MILLISECONDS = 2_500;

    /** Interval between two reports of an agent, and thus the granularity of detecting unresponsive agents. */
    public static final long REPORT_INTERVAL_MILLISECONDS = 500;

    /** Time since the last contact, two and a half report intervals, after which an agent gets no new tasks. */
    public static final long UNRESPONSIVE_AFTER_MILLISECONDS = 1_250;

    /** Factor by which a lease may last longer because the clock of a backend server may be two percent slow. */
    private static final double CLOCK_DRIFT_FACTOR = 1.02;

    /** Safety margin for timers that fire late. */
    private static final long TIMER_MARGIN_MILLISECONDS = 200;

    /**
     * Returns the retention of a finished job: twice the minimum time for which its state can be queried, so that
     * repeated submissions, which arrive seconds later, always find it.
     */
    public long retentionMilliseconds() {
        return 2 * statusRetentionMilliseconds;
    }

    /**
     * Returns the time after an election after which all runs have ended on a backend server whose agent has not
     * reported to the new placer; it includes the time for which the former placer may have answered the agent.
     */
    public long lostAfterElectionMilliseconds() {
        return RENEWAL_GRACE_MILLISECONDS + lostAfterMilliseconds();
    }

    /** Returns the time after the last contact with an agent after which all runs on its backend server have ended. */
    public long lostAfterMilliseconds() {
        return CONTACT_TIMEOUT_MILLISECONDS + expiredAfterMilliseconds(maximumLeaseMilliseconds);
    }

    /** Returns the time after which a lease of the given duration on the clock of a backend server has expired. */
    public static long expiredAfterMilliseconds(long leaseMilliseconds) {
        return (long) Math.ceil(leaseMilliseconds * CLOCK_DRIFT_FACTOR) + TIMER_MARGIN_MILLISECONDS;
    }
}
