package org.teaselwood.workload.model;

/**
 * Bounds of the deployment, in milliseconds. Immutable.
 *
 * @param longestHoldMilliseconds longest lease that a backend server grants to what runs on it
 * @param gangWaitMilliseconds time after which a member of a gang that is alone ends by itself
 * @param stopMilliseconds longest time that a backend server takes to stop a task
 * @param statusMilliseconds time for which the state of a job that has ended is told at least
 */
public record WorkloadTimings(
        long longestHoldMilliseconds, long gangWaitMilliseconds, long stopMilliseconds, long statusMilliseconds) {
    /** An agent renews leases only this long after its placer last answered it. */
    public static final long CONTACT_MILLISECONDS = 2_000;

    /** Lease of an election: short, because a lost placer's work waits for it, and four renewals long. */
    public static final long ELECTION_LEASE_MILLISECONDS = 2_000;

    /**
     * A placer that cannot renew its election goes on answering agents this long after its lease may have ended, so
     * that what runs outlasts the usual outage of the store. Its successor waits as much longer for silent agents.
     */
    public static final long UNRENEWED_MILLISECONDS = 2_500;

    /** Time between two reports of an agent, and so the granularity at which silence is noticed. */
    public static final long REPORT_MILLISECONDS = 500;

    /** An agent that is silent for two reports and a half gets no new tasks. */
    public static final long SUSPECT_MILLISECONDS = 1_250;

    /** Clocks of backend servers may be two percent slow, so that their leases last longer. */
    private static final double SLOWEST_CLOCK = 1.02;

    /** Margin for timers that fire late. */
    private static final long TIMER_SLACK_MILLISECONDS = 200;

    /**
     * Time after which a job that has ended is forgotten: twice the time for which its state is told, so that repeated
     * submissions, which come seconds later, always find it.
     */
    public long retentionMilliseconds() {
        return 2 * statusMilliseconds;
    }

    /**
     * Time after an election at which everything has surely ended on a backend server whose agent has not reported to
     * the new placer; until then the former placer may have answered the agent.
     */
    public long lostAfterElectionMilliseconds() {
        return UNRENEWED_MILLISECONDS + lostAfterMilliseconds();
    }

    /** Time after the last message of an agent at which everything on its backend server has surely ended. */
    public long lostAfterMilliseconds() {
        return CONTACT_MILLISECONDS
                + (long) Math.ceil(longestHoldMilliseconds * SLOWEST_CLOCK)
                + TIMER_SLACK_MILLISECONDS;
    }
}
