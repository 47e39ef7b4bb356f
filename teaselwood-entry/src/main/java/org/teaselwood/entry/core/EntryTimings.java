package org.teaselwood.entry.core;

/**
 * Intervals and limits of an entry core; times in milliseconds. Immutable.
 *
 * @param startMilliseconds time after its start during which an entry only discovers other entries
 * @param heartbeatMilliseconds interval of heartbeats between entries
 * @param suspicionMilliseconds time without contact after which an entry is removed from the ranking
 * @param snapshotMilliseconds longest wait of a new placer for the snapshots of the relays
 * @param agentSuspectMilliseconds time without contact after which an agent gets no new work
 * @param agentLostMilliseconds time without contact after which an agent and its attempts are lost
 * @param holdMilliseconds expiry of a hold, and longest wait for {@code Start} after {@code Commit}
 * @param resendMilliseconds interval at which an unanswered command is sent again
 * @param gangRenewalMilliseconds interval of {@code RenewGang}
 * @param forwardMilliseconds longest time that a front-end request waits while there is no placer
 * @param retentionMilliseconds retention of finished jobs
 * @param leavingMilliseconds longest time between a shutdown request and the end of the process
 * @param maximumJobs maximum number of unfinished jobs in the table
 * @param maximumWaits maximum number of open front-end requests
 * @param answerMemoryBytes maximum size in bytes of answers that are kept in memory although they can be read back from
 *     the key-value service
 */
public record EntryTimings(
        long startMilliseconds,
        long heartbeatMilliseconds,
        long suspicionMilliseconds,
        long snapshotMilliseconds,
        long agentSuspectMilliseconds,
        long agentLostMilliseconds,
        long holdMilliseconds,
        long resendMilliseconds,
        long gangRenewalMilliseconds,
        long forwardMilliseconds,
        long retentionMilliseconds,
        long leavingMilliseconds,
        int maximumJobs,
        int maximumWaits,
        long answerMemoryBytes) {
    private static final long DAY_MILLISECONDS = 24L * 60 * 60 * 1000;

    /** Default timings, as given on the design page. */
    public static final EntryTimings DEFAULT = new EntryTimings(
            1_000,
            500,
            2_000,
            1_500,
            6_000,
            20_000,
            10_000,
            1_000,
            3_000,
            10_000,
            DAY_MILLISECONDS,
            15_000,
            50_000,
            20_000,
            32L * 1024 * 1024);
}
